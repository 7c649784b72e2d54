#include <oriole/control/configuration.hpp>

#include "json_reader.hpp"

#include <algorithm>
#include <map>

namespace oriole {

namespace {

using nlohmann::json;

constexpr std::uint64_t mostWorkers = 100'000;
constexpr std::uint64_t mostAcceleratorsPerWorker = 64;
constexpr std::uint64_t mostUnits = 1'000'000;
constexpr std::uint64_t mostBodyBytes = 64ULL << 20;

unsigned readUnsigned(json_reader& reader, const char* member, std::uint64_t least, std::uint64_t most)
{
    return static_cast<unsigned>(reader.integer(member, least, most));
}

unsigned readUnsigned(
    json_reader& reader, const char* member, std::uint64_t least, std::uint64_t most, std::uint64_t missing)
{
    return static_cast<unsigned>(reader.integer(member, least, most, missing));
}

shape readShape(json_reader& reader)
{
    shape target;
    target.accelerators = readUnsigned(reader, "accelerators", 1, mostUnits);
    const auto text = reader.name("adjacency");
    const auto parsed = parseAdjacency(text);
    if (!parsed)
        throw document_error(reader.pathOf("adjacency"), "worker, rack or failure-domain is expected");
    target.adjacency = *parsed;
    target.processors = readUnsigned(reader, "processors", 0, mostUnits, 0);
    target.memoryGb = readUnsigned(reader, "memory_gb", 0, mostUnits, 0);
    return target;
}

guarantee readGuarantee(json_reader& reader)
{
    guarantee target;
    bool found = false;
    reader.object("shape", [&](json_reader& inner) {
        target.shape = readShape(inner);
        found = true;
    });
    if (!found)
        throw document_error(reader.pathOf("shape"), "is missing");
    target.count = readUnsigned(reader, "count", 1, mostUnits, target.count);
    return target;
}

organisation_config readOrganisation(json_reader& reader)
{
    organisation_config target;
    auto& policy = target.policy;
    policy.name = reader.name("name");
    policy.acceleratorQuota = readUnsigned(reader, "accelerator_quota", 0, mostUnits, policy.acceleratorQuota);
    policy.weight = readUnsigned(reader, "weight", 1, mostUnits, policy.weight);
    policy.mayRunUrgent = reader.boolean("may_run_urgent", policy.mayRunUrgent);
    reader.array("guarantees", [&](json_reader& inner) { policy.guarantees.push_back(readGuarantee(inner)); });
    target.requestsAtOnce = readUnsigned(reader, "requests_at_once", 0, mostUnits, target.requestsAtOnce);
    target.waitingJobs = readUnsigned(reader, "waiting_jobs", 1, mostUnits, target.waitingJobs);
    return target;
}

failure_domain_config readFailureDomain(json_reader& reader)
{
    failure_domain_config target;
    target.name = reader.name("name");
    target.region = reader.name("region");
    target.workers = readUnsigned(reader, "workers", 1, mostWorkers);
    target.workersPerRack = readUnsigned(reader, "workers_per_rack", 1, mostWorkers);
    target.acceleratorsPerWorker = readUnsigned(reader, "accelerators_per_worker", 0, mostAcceleratorsPerWorker);
    target.processorsPerWorker = readUnsigned(reader, "processors_per_worker", 1, mostUnits);
    target.memoryGbPerWorker = readUnsigned(reader, "memory_gb_per_worker", 1, mostUnits);
    return target;
}

service_config readService(json_reader& reader)
{
    service_config target;
    target.name = reader.name("name");
    target.defaultTimeout = reader.duration("default_timeout_ms", target.defaultTimeout);
    target.longestTimeout = reader.duration("longest_timeout_ms", target.longestTimeout);
    target.largestBodyBytes = reader.integer("largest_body_bytes", 0, mostBodyBytes, target.largestBodyBytes);
    if (target.defaultTimeout > target.longestTimeout)
        throw document_error(reader.pathOf("default_timeout_ms"), "is longer than longest_timeout_ms");
    return target;
}

limits_config readLimits(json_reader& reader)
{
    limits_config target;
    target.retryShare = reader.share("retry_share", target.retryShare);
    target.requestAttempts = readUnsigned(reader, "request_attempts", 1, 100, target.requestAttempts);
    target.jobFailures = readUnsigned(reader, "job_failures", 1, 100, target.jobFailures);
    target.evictionGrace = reader.duration("eviction_grace_ms", target.evictionGrace);
    target.reservationTtl = reader.duration("reservation_ttl_ms", target.reservationTtl);
    target.taskLease = reader.duration("task_lease_ms", target.taskLease);
    target.promotionSoak = reader.duration("promotion_soak_ms", target.promotionSoak);
    return target;
}

template <typename Item>
void refuseDuplicates(const std::vector<Item>& items, const std::string& path, const auto& nameOf)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (!seen.insert(nameOf(items[i])).second)
            throw document_error(path + "[" + std::to_string(i) + "].name", "'" + nameOf(items[i]) + "' is given twice");
    }
}

configuration readDocument(json_reader& reader)
{
    configuration target;
    target.environment = reader.name("environment");
    reader.array("organisations",
        [&](json_reader& inner) { target.organisations.push_back(readOrganisation(inner)); });
    reader.array("failure_domains",
        [&](json_reader& inner) { target.failureDomains.push_back(readFailureDomain(inner)); });
    reader.array("services", [&](json_reader& inner) { target.services.push_back(readService(inner)); });
    reader.object("limits", [&](json_reader& inner) { target.limits = readLimits(inner); });
    reader.finish();

    refuseDuplicates(target.organisations, "organisations", [](const auto& item) { return item.policy.name; });
    refuseDuplicates(target.failureDomains, "failure_domains", [](const auto& item) { return item.name; });
    refuseDuplicates(target.services, "services", [](const auto& item) { return item.name; });
    return target;
}

/// @brief Parses JSON and refuses a member that is given twice, of which the library would keep the last.
json parseStrictly(const std::string& text)
{
    std::vector<std::set<std::string>> open;
    const auto check = [&](int, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::object_start)
            open.emplace_back();
        if (event == json::parse_event_t::object_end)
            open.pop_back();
        if (event == json::parse_event_t::key && !open.back().insert(parsed.get<std::string>()).second)
            throw document_error(parsed.get<std::string>(), "is given twice in one object");
        return true;
    };
    return json::parse(text, check);
}

template <typename Item>
const Item* findIf(const std::vector<Item>& items, const auto& matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

std::string memberPath(const std::string& path, const std::string& member)
{
    return path.empty() ? member : path + "." + member;
}

std::string elementPath(const std::string& path, const std::string& key)
{
    return path + "[" + key + "]";
}

std::string differenceLine(char sign, const std::string& path, const std::string& value)
{
    return std::string(1, sign) + " " + path + ": " + value;
}

// Elements of arrays are told apart by their names where they have one, so that an insertion does not show as a
// change of everything behind it.
void flatten(const json& value, const std::string& path, std::map<std::string, std::string>& lines)
{
    if (value.is_object() && !value.empty()) {
        for (const auto& [member, inner] : value.items())
            flatten(inner, memberPath(path, member), lines);
        return;
    }
    if (value.is_array() && !value.empty()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            const bool named = value[i].is_object() && value[i].contains("name") && value[i]["name"].is_string();
            const auto key = named ? value[i]["name"].get<std::string>() : std::to_string(i);
            flatten(value[i], elementPath(path, key), lines);
        }
        return;
    }
    lines[path] = value.dump();
}

std::map<std::string, std::string> linesOf(const std::string& document)
{
    std::map<std::string, std::string> lines;
    const auto parsed = json::parse(document, nullptr, false);
    if (parsed.is_discarded())
        lines["document"] = document.empty() ? "(none)" : "(not JSON)";
    else
        flatten(parsed, "", lines);
    return lines;
}

} // namespace

const organisation_config* configuration::findOrganisation(const std::string& name) const
{
    return findIf(organisations, [&](const auto& item) { return item.policy.name == name; });
}

const service_config* configuration::findService(const std::string& name) const
{
    return findIf(services, [&](const auto& item) { return item.name == name; });
}

const failure_domain_config* configuration::findFailureDomain(const std::string& name) const
{
    return findIf(failureDomains, [&](const auto& item) { return item.name == name; });
}

result<configuration> parseConfiguration(const std::string& document)
{
    try {
        const auto parsed = parseStrictly(document);
        json_reader reader(parsed, "");
        return readDocument(reader);
    } catch (const document_error& error) {
        return notRun(failure_kind::InvalidInput, error.what());
    } catch (const json::exception& error) {
        return notRun(failure_kind::InvalidInput, std::string("document is not JSON: ") + error.what());
    }
}

std::vector<std::string> diffConfigurations(const std::string& before, const std::string& after)
{
    const auto old = linesOf(before);
    const auto wanted = linesOf(after);
    std::vector<std::string> differences;
    for (const auto& [path, value] : old) {
        const auto found = wanted.find(path);
        if (found == wanted.end())
            differences.push_back(differenceLine('-', path, value));
        else if (found->second != value)
            differences.push_back(differenceLine('~', path, value + " -> " + found->second));
    }
    for (const auto& [path, value] : wanted) {
        if (!old.contains(path))
            differences.push_back(differenceLine('+', path, value));
    }
    return differences;
}

} // namespace oriole
