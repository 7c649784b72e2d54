#include <oriole/entry/request_parser.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

namespace oriole {

namespace {

using nlohmann::json;

constexpr std::size_t longestKey = 128;
constexpr std::int64_t longestRunMs = std::int64_t { 30 } * 24 * 3600 * 1000;
constexpr std::size_t largestPayloadBytes = 64 << 10;
constexpr std::string_view defaultContentType = "application/octet-stream";

failure invalid(const std::string& reason)
{
    return notRun(failure_kind::InvalidInput, reason);
}

result<const organisation_config*> findOrganisation(const configuration& config, const std::string& name)
{
    if (const auto* organisation = config.findOrganisation(name))
        return organisation;
    return notRun(failure_kind::NotFound, "unknown organisation '" + name + "'");
}

result<std::optional<std::string>> parseKey(const http_call& call)
{
    const auto key = call.header("idempotency-key");
    if (!key)
        return std::optional<std::string> {};
    if (key->empty() || key->size() > longestKey)
        return invalid("Idempotency-Key must have 1 to " + std::to_string(longestKey) + " characters");
    const auto printable = [](unsigned char c) { return c > ' ' && c < 0x7f; };
    if (!std::all_of(key->begin(), key->end(), printable))
        return invalid("Idempotency-Key must be of visible ASCII characters");
    return key;
}

result<bool> parseUnrepeatable(const http_call& call)
{
    const auto text = call.header("orioleway-unrepeatable");
    if (!text || *text == "false")
        return false;
    if (*text == "true")
        return true;
    return invalid("Orioleway-Unrepeatable must be true or false");
}

result<std::chrono::milliseconds> parseTimeout(const http_call& call, const service_config& service)
{
    const auto text = call.header("orioleway-timeout-ms");
    if (!text)
        return service.defaultTimeout;

    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc {} || end != text->data() + text->size() || value <= 0)
        return invalid("Orioleway-Timeout-Ms must be a positive whole number of milliseconds");
    if (value > service.longestTimeout.count())
        return invalid("Orioleway-Timeout-Ms is longer than the service allows, "
            + std::to_string(service.longestTimeout.count()) + " ms");
    return std::chrono::milliseconds(value);
}

/// @brief Reads members of one JSON object and keeps the first fault with its path.
class object_reader {
public:
    object_reader(const json& object, std::string path)
        : m_object(object)
        , m_path(std::move(path))
    {
        if (!m_object.is_object())
            fail("", "must be an object");
    }

    void allowOnly(const std::vector<std::string_view>& names)
    {
        if (!m_object.is_object())
            return;
        for (const auto& [name, value] : m_object.items()) {
            if (std::find(names.begin(), names.end(), name) == names.end())
                fail(name, "is not known");
        }
    }

    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most)
    {
        const auto* member = find(name);
        if (member == nullptr) {
            fail(name, "is required");
            return least;
        }
        return integerOr(name, least, least, most);
    }

    std::int64_t integerOr(const std::string& name, std::int64_t fallback, std::int64_t least, std::int64_t most)
    {
        const auto* member = find(name);
        if (member == nullptr)
            return fallback;
        // An unsigned number beyond the signed range would wrap.
        const bool fits = member->is_number_integer()
            && (!member->is_number_unsigned()
                || member->get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
        if (!fits || member->get<std::int64_t>() < least || member->get<std::int64_t>() > most) {
            fail(name, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
            return least;
        }
        return member->get<std::int64_t>();
    }

    std::string textOr(const std::string& name, const std::string& fallback)
    {
        const auto* member = find(name);
        if (member == nullptr)
            return fallback;
        if (!member->is_string()) {
            fail(name, "must be a string");
            return fallback;
        }
        return member->get<std::string>();
    }

    bool flagOr(const std::string& name, bool fallback)
    {
        const auto* member = find(name);
        if (member == nullptr)
            return fallback;
        if (!member->is_boolean()) {
            fail(name, "must be true or false");
            return fallback;
        }
        return member->get<bool>();
    }

    const json* find(const std::string& name) const
    {
        if (!m_object.is_object())
            return nullptr;
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

    void fail(const std::string& name, const std::string& fault)
    {
        if (!m_fault.empty())
            return;
        const bool both = !m_path.empty() && !name.empty();
        const auto path = m_path + (both ? "." : "") + name;
        m_fault = (path.empty() ? "the body" : path) + " " + fault;
    }

    [[nodiscard]] const std::string& fault() const { return m_fault; }

private:
    const json& m_object;
    std::string m_path;
    std::string m_fault;
};

constexpr std::int64_t largestCount = 1'000'000;

result<shape> parseShape(const json& body)
{
    const auto found = body.find("shape");
    if (found == body.end())
        return invalid("shape is required");

    object_reader reader(*found, "shape");
    reader.allowOnly({ "accelerators", "adjacency", "processors", "memory_gb" });
    shape wanted;
    wanted.accelerators = static_cast<unsigned>(reader.integer("accelerators", 1, largestCount));
    wanted.processors = static_cast<unsigned>(reader.integerOr("processors", 0, 0, largestCount));
    wanted.memoryGb = static_cast<unsigned>(reader.integerOr("memory_gb", 0, 0, largestCount));
    const auto adjacency = parseAdjacency(reader.textOr("adjacency", "worker"));
    if (!adjacency)
        reader.fail("adjacency", "must be worker, rack or failure-domain");
    if (!reader.fault().empty())
        return invalid(reader.fault());
    wanted.adjacency = *adjacency;
    return wanted;
}

/// @brief Workers that a shape may spread over in one failure domain.
unsigned workersFor(oriole::adjacency adjacency, const failure_domain_config& domain)
{
    switch (adjacency) {
    case adjacency::Worker:
        return std::min(1U, domain.workers);
    case adjacency::Rack:
        return std::min(domain.workersPerRack, domain.workers);
    case adjacency::FailureDomain:
        return domain.workers;
    }
    return 0;
}

bool fits(const shape& wanted, const failure_domain_config& domain)
{
    const std::uint64_t workers = workersFor(wanted.adjacency, domain);
    return wanted.accelerators <= workers * domain.acceleratorsPerWorker
        && wanted.processors <= workers * domain.processorsPerWorker
        && wanted.memoryGb <= workers * domain.memoryGbPerWorker;
}

std::optional<failure> impossible(const job_spec& job, const organisation_policy& policy, const configuration& config)
{
    const auto holds = [&](const failure_domain_config& domain) { return fits(job.shape, domain); };
    if (std::none_of(config.failureDomains.begin(), config.failureDomains.end(), holds))
        return notRun(failure_kind::Impossible, "shape fits in no failure domain as declared");
    if (policy.acceleratorQuota != 0 && job.shape.accelerators > policy.acceleratorQuota) {
        return notRun(failure_kind::Impossible,
            "shape.accelerators is over the organisation's quota of " + std::to_string(policy.acceleratorQuota));
    }
    if (job.jobClass == job_class::Urgent && !policy.mayRunUrgent)
        return notRun(failure_kind::Impossible, "class urgent is not granted to the organisation");
    return std::nullopt;
}

result<job_spec> parseJobBody(const std::string& text, const std::string& organisation)
{
    const auto body = json::parse(text, nullptr, false);
    if (body.is_discarded())
        return invalid("the body is not JSON");

    object_reader reader(body, "");
    reader.allowOnly({ "shape", "run_ms", "class", "repeatable", "payload" });
    job_spec job;
    job.organisation = organisation;
    job.declaredRun = std::chrono::milliseconds(reader.integer("run_ms", 1, longestRunMs));
    job.repeatable = reader.flagOr("repeatable", true);
    job.payload = reader.textOr("payload", "");
    if (job.payload.size() > largestPayloadBytes)
        reader.fail("payload", "is longer than " + std::to_string(largestPayloadBytes) + " bytes");
    const auto jobClass = parseJobClass(reader.textOr("class", "normal"));
    if (!jobClass)
        reader.fail("class", "must be normal or urgent");
    if (!reader.fault().empty())
        return invalid(reader.fault());
    job.jobClass = *jobClass;

    const auto wanted = parseShape(body);
    if (!wanted)
        return wanted.error();
    job.shape = wanted.value();
    return job;
}

} // namespace

result<request_submission> parseRequest(const http_call& call, const configuration& config)
{
    const auto parts = splitPath(call.path);
    if (parts.size() != 5 || parts[0] != "v1" || parts[1] != "organisations" || parts[3] != "requests")
        return notRun(failure_kind::NotFound, "no such path");
    if (const auto organisation = findOrganisation(config, parts[2]); !organisation)
        return organisation.error();
    const auto* service = config.findService(parts[4]);
    if (service == nullptr)
        return notRun(failure_kind::NotFound, "unknown service '" + parts[4] + "'");
    if (call.body.size() > service->largestBodyBytes)
        return notRun(failure_kind::TooLarge, "body longer than " + std::to_string(service->largestBodyBytes) + " bytes");

    const auto unrepeatable = parseUnrepeatable(call);
    if (!unrepeatable)
        return unrepeatable.error();
    const auto timeout = parseTimeout(call, *service);
    if (!timeout)
        return timeout.error();
    auto key = parseKey(call);
    if (!key)
        return key.error();

    request_submission submission;
    submission.organisation = parts[2];
    submission.service = parts[4];
    submission.repeatable = !unrepeatable.value();
    submission.idempotencyKey = std::move(key).value();
    submission.timeout = timeout.value();
    submission.contentType = call.header("content-type").value_or(std::string(defaultContentType));
    submission.body = call.body;
    return submission;
}

result<job_submission> parseJob(const http_call& call, const configuration& config)
{
    const auto parts = splitPath(call.path);
    if (parts.size() != 4 || parts[0] != "v1" || parts[1] != "organisations" || parts[3] != "jobs")
        return notRun(failure_kind::NotFound, "no such path");
    const auto organisation = findOrganisation(config, parts[2]);
    if (!organisation)
        return organisation.error();
    auto key = parseKey(call);
    if (!key)
        return key.error();
    auto job = parseJobBody(call.body, parts[2]);
    if (!job)
        return job.error();
    if (auto fault = impossible(job.value(), organisation.value()->policy, config))
        return *fault;
    return job_submission { std::move(job).value(), std::move(key).value() };
}

} // namespace oriole
