#include <oriole/pages/organisation_page.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace oriole {

namespace {

using json = nlohmann::json;

constexpr std::int64_t endedJobRetentionMs = 10LL * 60 * 1000;
constexpr std::int64_t claimRetentionMs = 24LL * 60 * 60 * 1000;

constexpr std::array<std::pair<job_state, std::string_view>, 7> stateNames { {
    { job_state::Waiting, "waiting" },
    { job_state::Starting, "starting" },
    { job_state::Running, "running" },
    { job_state::Finished, "finished" },
    { job_state::Failed, "failed" },
    { job_state::Cancelled, "cancelled" },
    { job_state::MayHaveRun, "may-have-run" },
} };

json encode(const shape& value)
{
    return { { "accelerators", value.accelerators }, { "adjacency", toString(value.adjacency) },
        { "processors", value.processors }, { "memory_gb", value.memoryGb } };
}

shape decodeShape(const json& source)
{
    shape value;
    value.accelerators = source.at("accelerators");
    value.adjacency = parseAdjacency(source.at("adjacency").get<std::string>()).value();
    value.processors = source.at("processors");
    value.memoryGb = source.at("memory_gb");
    return value;
}

json encode(const job_spec& spec)
{
    return { { "id", spec.id }, { "shape", encode(spec.shape) }, { "class", toString(spec.jobClass) },
        { "repeatable", spec.repeatable }, { "run_ms", spec.declaredRun.count() }, { "payload", spec.payload } };
}

job_spec decodeSpec(const json& source, const std::string& organisation)
{
    job_spec spec;
    spec.organisation = organisation;
    spec.id = source.at("id");
    spec.shape = decodeShape(source.at("shape"));
    spec.jobClass = parseJobClass(source.at("class").get<std::string>()).value();
    spec.repeatable = source.at("repeatable");
    spec.declaredRun = std::chrono::milliseconds(source.at("run_ms").get<std::int64_t>());
    spec.payload = source.at("payload");
    return spec;
}

// The rest of an attempt follows from its job.
json encode(const attempt& value)
{
    json allocations = json::array();
    for (const auto& given : value.allocations) {
        allocations.push_back({ { "worker", given.worker }, { "rpc", given.rpc },
            { "accelerators", given.accelerators }, { "processors", given.processors },
            { "memory_gb", given.memoryGb } });
    }
    return { { "number", value.id.number }, { "epoch", value.epoch }, { "guaranteed", value.guaranteed },
        { "allocations", std::move(allocations) } };
}

attempt decodeAttempt(const json& source, const job_spec& spec)
{
    attempt value;
    value.id = { spec.organisation, spec.id, source.at("number").get<unsigned>() };
    value.epoch = source.at("epoch");
    value.guaranteed = source.at("guaranteed");
    value.urgent = spec.jobClass == job_class::Urgent;
    value.repeatable = spec.repeatable;
    value.declaredRun = spec.declaredRun;
    value.payload = spec.payload;
    for (const auto& given : source.at("allocations")) {
        value.allocations.push_back({ given.at("worker"), given.at("rpc"), given.at("accelerators"),
            given.at("processors"), given.at("memory_gb") });
    }
    return value;
}

json encode(const job_record& record)
{
    json target { { "spec", encode(record.spec) }, { "state", toString(record.state) },
        { "attempts", record.attempts }, { "last_attempt", record.lastAttempt }, { "accepted_unix_ms", record.acceptedUnixMs } };
    if (record.recorded)
        target["recorded"] = encode(*record.recorded);
    if (!record.idempotencyKey.empty())
        target["idempotency_key"] = record.idempotencyKey;
    if (!record.reason.empty())
        target["reason"] = record.reason;
    if (record.endedUnixMs != 0)
        target["ended_unix_ms"] = record.endedUnixMs;
    return target;
}

job_record decodeJob(const json& source, const std::string& organisation)
{
    job_record record;
    record.spec = decodeSpec(source.at("spec"), organisation);
    record.state = parseJobState(source.at("state").get<std::string>()).value();
    record.attempts = source.at("attempts");
    record.lastAttempt = source.at("last_attempt");
    record.acceptedUnixMs = source.at("accepted_unix_ms");
    record.idempotencyKey = source.value("idempotency_key", "");
    record.reason = source.value("reason", "");
    record.endedUnixMs = source.value("ended_unix_ms", std::int64_t { 0 });
    if (source.contains("recorded"))
        record.recorded = decodeAttempt(source.at("recorded"), record.spec);
    return record;
}

json encode(const claim_record& claim)
{
    json target { { "request", claim.requestId }, { "answered", claim.answered },
        { "claimed_unix_ms", claim.claimedUnixMs } };
    if (!claim.answered)
        return target;
    target["status"] = claim.status;
    target["content_type"] = claim.contentType;
    target["body_kept"] = claim.bodyKept;
    // Bodies are bytes and JSON strings are text: a list of numbers keeps every byte.
    if (!claim.body.empty())
        target["body"] = std::vector<std::uint8_t>(claim.body.begin(), claim.body.end());
    return target;
}

claim_record decodeClaim(const json& source)
{
    claim_record claim;
    claim.requestId = source.at("request");
    claim.answered = source.at("answered");
    claim.claimedUnixMs = source.at("claimed_unix_ms");
    if (!claim.answered)
        return claim;
    claim.status = source.at("status");
    claim.contentType = source.at("content_type");
    claim.bodyKept = source.at("body_kept");
    if (source.contains("body")) {
        const auto bytes = source.at("body").get<std::vector<std::uint8_t>>();
        claim.body.assign(bytes.begin(), bytes.end());
    }
    return claim;
}

organisation_page decode(const json& source)
{
    organisation_page page;
    page.organisation = source.at("organisation");
    page.owner = source.at("owner");
    page.token = source.at("token");
    page.epoch = source.at("epoch");
    page.sequence = source.at("sequence");
    for (const auto& [id, job] : source.at("jobs").items())
        page.jobs.emplace(id, decodeJob(job, page.organisation));
    for (const auto& [key, claim] : source.at("claims").items())
        page.claims.emplace(key, decodeClaim(claim));
    return page;
}

} // namespace

std::string_view toString(job_state state)
{
    for (const auto& [value, name] : stateNames) {
        if (value == state)
            return name;
    }
    return "may-have-run";
}

std::optional<job_state> parseJobState(std::string_view text)
{
    for (const auto& [value, name] : stateNames) {
        if (name == text)
            return value;
    }
    return std::nullopt;
}

bool isEnd(job_state state)
{
    return state >= job_state::Finished;
}

job_state endState(job_outcome outcome)
{
    switch (outcome) {
    case job_outcome::Finished:
        return job_state::Finished;
    case job_outcome::Failed:
        return job_state::Failed;
    case job_outcome::Cancelled:
        return job_state::Cancelled;
    case job_outcome::MayHaveRun:
        return job_state::MayHaveRun;
    }
    return job_state::MayHaveRun;
}

std::string encodePage(const organisation_page& page)
{
    json jobs = json::object();
    for (const auto& [id, job] : page.jobs)
        jobs[id] = encode(job);
    json claims = json::object();
    for (const auto& [key, claim] : page.claims)
        claims[key] = encode(claim);

    const json target { { "organisation", page.organisation }, { "owner", page.owner }, { "token", page.token },
        { "epoch", page.epoch }, { "sequence", page.sequence }, { "jobs", std::move(jobs) },
        { "claims", std::move(claims) } };
    return target.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<organisation_page> decodePage(const std::string& text)
{
    try {
        return decode(json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

void dropExpired(organisation_page& page, std::int64_t nowUnixMs)
{
    std::erase_if(page.jobs, [&](const auto& item) {
        const auto& job = item.second;
        const auto retention = job.idempotencyKey.empty() ? endedJobRetentionMs : claimRetentionMs;
        return isEnd(job.state) && !job.recorded && job.endedUnixMs + retention < nowUnixMs;
    });
    std::erase_if(page.claims, [&](const auto& item) {
        return item.second.answered && item.second.claimedUnixMs + claimRetentionMs < nowUnixMs;
    });
}

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace oriole
