#include <oriole/entry/request_parser.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

oriole::configuration makeConfiguration()
{
    oriole::organisation_config editors;
    editors.policy.name = "editors";
    editors.policy.acceleratorQuota = 16;
    oriole::service_config column;
    column.name = "column";
    column.largestBodyBytes = 10;
    oriole::configuration config;
    config.organisations = { editors };
    config.services = { column };
    config.failureDomains = { { "praha-1", "praha", 4, 3, 8, 128, 512 } };
    return config;
}

oriole::http_call requestCall(const std::map<std::string, std::string>& headers = {}, const std::string& body = "x")
{
    return { "POST", "/v1/organisations/editors/requests/column", "", headers, body };
}

oriole::http_call jobCall(const std::string& body)
{
    return { "POST", "/v1/organisations/editors/jobs", "", {}, body };
}

const auto config = makeConfiguration();

} // namespace

TEST_CASE("a request is read with its headers and the service's defaults")
{
    const auto plain = oriole::parseRequest(requestCall(), config);
    REQUIRE(plain.has_value());
    CHECK(plain.value().repeatable);
    CHECK(plain.value().timeout == 2000ms);
    CHECK_FALSE(plain.value().idempotencyKey.has_value());

    const auto marked = oriole::parseRequest(requestCall({ { "orioleway-unrepeatable", "true" },
                                                 { "idempotency-key", "k-1" }, { "orioleway-timeout-ms", "70" } }),
        config);
    REQUIRE(marked.has_value());
    CHECK_FALSE(marked.value().repeatable);
    CHECK(marked.value().idempotencyKey == "k-1");
    CHECK(marked.value().timeout == 70ms);
}

TEST_CASE("a faulty request is refused as not-run with the kind of its fault")
{
    using oriole::failure_kind;
    const auto [call, kind] = GENERATE(as<std::pair<oriole::http_call, failure_kind>> {},
        std::pair { requestCall({}, "longer than ten"), failure_kind::TooLarge },
        std::pair { requestCall({ { "orioleway-timeout-ms", "0" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "orioleway-timeout-ms", "-5" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "orioleway-timeout-ms", "5s" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "orioleway-timeout-ms", "30001" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "orioleway-timeout-ms", "99999999999999999999" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "orioleway-unrepeatable", "yes" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "idempotency-key", "" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "idempotency-key", "a b" } }), failure_kind::InvalidInput },
        std::pair { requestCall({ { "idempotency-key", std::string(129, 'k') } }), failure_kind::InvalidInput },
        std::pair { oriole::http_call { "POST", "/v1/organisations/other/requests/column", "", {}, "" },
            failure_kind::NotFound },
        std::pair { oriole::http_call { "POST", "/v1/organisations/editors/requests/other", "", {}, "" },
            failure_kind::NotFound },
        std::pair { oriole::http_call { "POST", "/v1/organisations/editors/requests/column/", "", {}, "" },
            failure_kind::NotFound },
        std::pair { oriole::http_call { "POST", "", "", {}, "" }, failure_kind::NotFound });
    const auto parsed = oriole::parseRequest(call, config);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().kind == kind);
    CHECK(parsed.error().ran == oriole::verdict::NotRun);
}

TEST_CASE("a job is read with its defaults")
{
    const auto parsed = oriole::parseJob(
        jobCall(R"({"shape":{"accelerators":8,"processors":16,"memory_gb":64},"run_ms":1000,"repeatable":false})"),
        config);
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().job.shape == oriole::shape { 8, oriole::adjacency::Worker, 16, 64 });
    CHECK(parsed.value().job.declaredRun == 1000ms);
    CHECK_FALSE(parsed.value().job.repeatable);
    CHECK(parsed.value().job.organisation == "editors");
}

TEST_CASE("a faulty job body is refused and the path of the fault named")
{
    const auto [body, path] = GENERATE(as<std::pair<std::string, std::string>> {}, std::pair { "{", "not JSON" },
        std::pair { "[]", "the body" }, std::pair { R"({"run_ms":1})", "shape" },
        std::pair { R"({"run_ms":1,"shape":3})", "shape must" },
        std::pair { R"({"run_ms":1,"shape":{}})", "shape.accelerators" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":0}})", "shape.accelerators" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":-8}})", "shape.accelerators" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1.5}})", "shape.accelerators" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":18446744073709551615}})", "shape.accelerators" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1,"adjacency":"zone"}})", "shape.adjacency" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1,"colour":1}})", "shape.colour" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1},"colour":1})", "colour" },
        std::pair { R"({"shape":{"accelerators":1}})", "run_ms" },
        std::pair { R"({"run_ms":-1,"shape":{"accelerators":1}})", "run_ms" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1},"class":"vip"})", "class" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1},"repeatable":1})", "repeatable" },
        std::pair { R"({"run_ms":1,"shape":{"accelerators":1},"payload":{}})", "payload" });
    INFO(body);
    const auto parsed = oriole::parseJob(jobCall(body), config);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().kind == oriole::failure_kind::InvalidInput);
    CHECK(parsed.error().reason.find(path) != std::string::npos);
}

TEST_CASE("a job that no configuration could hold is refused as impossible")
{
    const auto body = GENERATE(as<std::string> {}, R"({"run_ms":1,"shape":{"accelerators":9}})",
        R"({"run_ms":1,"shape":{"accelerators":25,"adjacency":"rack"}})",
        R"({"run_ms":1,"shape":{"accelerators":33,"adjacency":"failure-domain"}})",
        R"({"run_ms":1,"shape":{"accelerators":1,"processors":129}})",
        R"({"run_ms":1,"shape":{"accelerators":1,"memory_gb":513}})",
        R"({"run_ms":1,"shape":{"accelerators":17,"adjacency":"rack"}})",
        R"({"run_ms":1,"shape":{"accelerators":1},"class":"urgent"})");
    INFO(body);
    const auto parsed = oriole::parseJob(jobCall(body), config);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().kind == oriole::failure_kind::Impossible);
}
