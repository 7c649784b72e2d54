#include <oriole/ctl/operations.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <sstream>
#include <vector>

using namespace oriole::ctl;
using nlohmann::json;

namespace {

/// @brief Answers by method and path, and keeps what it was sent.
class fake_entry final : public entry_api {
public:
    void answer(const std::string& call, unsigned status, const json& body)
    {
        replies.insert_or_assign(call, oriole::http_reply { status, {}, body.dump() });
    }

    oriole::result<oriole::http_reply> call(const oriole::http_request& request) override
    {
        sent.push_back(request);
        const auto found = replies.find(request.method + " " + request.path);
        if (found == replies.end())
            return oriole::notRun(oriole::failure_kind::Unavailable, "no connection");
        return found->second;
    }

    std::map<std::string, oriole::result<oriole::http_reply>> replies;
    std::vector<oriole::http_request> sent;
};

struct console {
    std::ostringstream out;
    std::ostringstream error;
    unsigned slept = 0;

    command_context context(output_format format = output_format::Json)
    {
        return { out, error, format, "anna", [this](auto) { ++slept; } };
    }
};

const json document { { "environment", "trial" }, { "limits", { { "promotion_soak_ms", 5000 } } } };

fake_entry provenTrial()
{
    fake_entry trial;
    trial.answer("GET /v1/config", 200, { { "revision", 4 }, { "document", document } });
    trial.answer("GET /v1/config/in-force", 200,
        { { "revision", 4 }, { "everywhere", true }, { "in_force_ms", 5000 }, { "invariant_violations", 0 } });
    return trial;
}

fake_entry productionAt(unsigned revision)
{
    fake_entry production;
    production.answer("GET /v1/config", 200,
        { { "revision", revision }, { "document", { { "environment", "production" } } } });
    production.answer("PUT /v1/config?expected_revision=" + std::to_string(revision), 200, { { "revision", revision + 1 } });
    return production;
}

} // namespace

TEST_CASE("the exit code follows the verdict of the reply")
{
    struct sample {
        unsigned status;
        const char* verdict;
        exit_code code;
    };
    const auto [status, verdict, code]
        = GENERATE(sample { 200, "completed", exit_code::Ok }, sample { 500, "completed", exit_code::Ok },
            sample { 503, "not-run", exit_code::NotRun }, sample { 429, "not-run", exit_code::NotRun },
            sample { 504, "may-have-run", exit_code::MayHaveRun }, sample { 409, "not-run", exit_code::Conflict },
            sample { 200, "may-have-run", exit_code::MayHaveRun });
    fake_entry entry;
    const std::string call = "POST /v1/organisations/a%2Fb/requests/column";
    entry.replies.insert_or_assign(call, oriole::http_reply { status, { { "orioleway-verdict", verdict } }, "{}" });
    console console;
    REQUIRE(sendRequest(entry, console.context(), { "a/b", "column", "x", true, "key", {} }) == code);
    REQUIRE(entry.sent.front().headers.at("Orioleway-Unrepeatable") == "true");
    REQUIRE(entry.sent.front().headers.at("Idempotency-Key") == "key");
}

TEST_CASE("an entry that cannot be reached, and a write whose reply was lost")
{
    fake_entry entry;
    console console;
    REQUIRE(showPage(entry, console.context(), "/v1/status") == exit_code::Unreachable);
    REQUIRE(setFailureDomain(entry, console.context(), "praha", true) == exit_code::Unreachable);
    entry.replies.insert_or_assign(
        "PUT /v1/failure-domains/praha", oriole::mayHaveRun(oriole::failure_kind::Timeout, "no reply"));
    REQUIRE(setFailureDomain(entry, console.context(), "praha", true) == exit_code::MayHaveRun);
}

TEST_CASE("a racing operator's apply is a conflict that shows the other's change")
{
    fake_entry entry;
    entry.answer("PUT /v1/config?expected_revision=3", 409,
        { { "verdict", "not-run" }, { "reason", "revision 4 by 'boris' came first" } });
    console console;
    REQUIRE(applyDocument(entry, console.context(), document.dump(), { 3, true, {} }) == exit_code::Conflict);
    REQUIRE(console.error.str().find("boris") != std::string::npos);
    REQUIRE(entry.sent.size() == 1);
    REQUIRE(entry.sent.front().headers.at("Orioleway-Author") == "anna");
}

TEST_CASE("apply --wait polls until the revision is in force, and gives up at its limit")
{
    fake_entry entry;
    entry.answer("PUT /v1/config?expected_revision=3", 200, { { "revision", 4 } });
    entry.answer("GET /v1/config/in-force", 200, { { "revision", 4 }, { "everywhere", true } });
    console console;
    const apply_options options { 3, true, std::chrono::milliseconds(1000) };
    REQUIRE(applyDocument(entry, console.context(), document.dump(), options) == exit_code::Ok);
    REQUIRE(console.slept == 0);

    const auto page = GENERATE(json { { "revision", 4 }, { "everywhere", false } }, json { { "revision", 3 }, { "everywhere", true } });
    entry.answer("GET /v1/config/in-force", 200, page);
    REQUIRE(applyDocument(entry, console.context(), document.dump(), options) == exit_code::NotInForce);
    REQUIRE(console.slept == 5);
}

TEST_CASE("a proven trial document is promoted under production's name and revision")
{
    auto trial = provenTrial();
    auto production = productionAt(7);
    console console;
    REQUIRE(promote(trial, production, console.context(), "") == exit_code::Ok);
    REQUIRE(production.sent.back().path == "/v1/config?expected_revision=7");
    auto expected = document;
    expected["environment"] = "production";
    REQUIRE(json::parse(production.sent.back().body) == expected);
}

TEST_CASE("a trial document that is not proven is not promoted")
{
    const auto change = GENERATE(json { { "everywhere", false } }, json { { "in_force_ms", 4999 } },
        json { { "invariant_violations", 1 } }, json { { "revision", 3 } }, json { { "invariant_violations", nullptr } });
    auto trial = provenTrial();
    json page = json::parse(trial.replies.at("GET /v1/config/in-force").value().body);
    page.merge_patch(change);
    trial.answer("GET /v1/config/in-force", 200, page);
    auto production = productionAt(7);
    console console;
    REQUIRE(promote(trial, production, console.context(), "") == exit_code::NotRun);
    REQUIRE(production.sent.empty());
}

TEST_CASE("a first promotion needs the name of the environment")
{
    auto trial = provenTrial();
    fake_entry production;
    production.answer("GET /v1/config", 404, { { "verdict", "not-run" }, { "reason", "none yet" } });
    production.answer("PUT /v1/config?expected_revision=0", 200, { { "revision", 1 } });
    console console;
    REQUIRE(promote(trial, production, console.context(), "") == exit_code::NotRun);
    REQUIRE(promote(trial, production, console.context(), "production") == exit_code::Ok);
}

TEST_CASE("check and diff need no more than the document and the head")
{
    console console;
    REQUIRE(checkDocument(console.context(), document.dump()) == exit_code::Ok);
    REQUIRE(checkDocument(console.context(), "{}") == exit_code::NotRun);

    fake_entry entry;
    entry.answer("GET /v1/config", 200, { { "revision", 4 }, { "document", document } });
    REQUIRE(diffDocument(entry, console.context(output_format::Table), R"({"environment":"trial"})") == exit_code::Ok);
    REQUIRE(console.out.str().find("- limits.promotion_soak_ms: 5000") != std::string::npos);
}

TEST_CASE("a table has a row for each element")
{
    std::ostringstream out;
    print(out, output_format::Table, json { { { "name", "praha" }, { "out", true } }, { { "name", "brno" } } });
    REQUIRE(out.str() == "name   out\npraha  true\nbrno   \n");
}
