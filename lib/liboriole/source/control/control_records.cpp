#include <oriole/control/control_records.hpp>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace oriole {

namespace {

using nlohmann::json;

constexpr int revisionDigits = 20;
constexpr int digestDigits = 16;
constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t fnvPrime = 0x100000001b3;

json toJson(const configuration_record& record)
{
    return { { "revision", record.revision }, { "digest", record.digest }, { "author", record.author },
        { "accepted_unix_ms", record.acceptedUnixMs } };
}

configuration_record readRecord(const json& source)
{
    return { source.at("revision").get<std::uint64_t>(), source.at("digest").get<std::string>(),
        source.at("author").get<std::string>(), source.at("accepted_unix_ms").get<std::int64_t>() };
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename Value, typename Read>
result<Value> decode(const std::string& value, const Read& read)
{
    try {
        return read(json::parse(value));
    } catch (const json::exception& error) {
        return notRun(failure_kind::Broken, std::string("malformed control record: ") + error.what());
    }
}

} // namespace

std::string encode(const head_record& record)
{
    auto value = toJson(record.accepted);
    value["write_id"] = record.writeId;
    value["document"] = record.document;
    return dump(value);
}

std::string encode(const history_record& record)
{
    auto value = toJson(record.accepted);
    value["write_id"] = record.writeId;
    return dump(value);
}

std::string encode(const failure_domains_record& record)
{
    return dump({ { "revision", record.states.revision }, { "out", record.states.out }, { "author", record.author },
        { "recent_write_ids", record.recentWriteIds } });
}

std::string encode(const entry_address& entry, std::int64_t lease)
{
    return dump({ { "name", entry.name }, { "rpc", entry.rpc }, { "region", entry.region }, { "lease", lease } });
}

result<head_record> decodeHead(const std::string& value)
{
    return decode<head_record>(value, [](const json& source) {
        return head_record { readRecord(source), source.at("write_id").get<std::string>(),
            source.at("document").get<std::string>() };
    });
}

result<history_record> decodeHistory(const std::string& value)
{
    return decode<history_record>(value, [](const json& source) {
        return history_record { readRecord(source), source.at("write_id").get<std::string>() };
    });
}

result<failure_domains_record> decodeFailureDomains(const std::string& value)
{
    return decode<failure_domains_record>(value, [](const json& source) {
        failure_domains_record record;
        record.states.revision = source.at("revision").get<std::uint64_t>();
        record.states.out = source.at("out").get<std::set<std::string>>();
        record.author = source.at("author").get<std::string>();
        record.recentWriteIds = source.at("recent_write_ids").get<std::vector<std::string>>();
        return record;
    });
}

result<entry_address> decodeEntry(const std::string& value)
{
    return decode<entry_address>(value, [](const json& source) {
        return entry_address { source.at("name").get<std::string>(), source.at("rpc").get<std::string>(),
            source.at("region").get<std::string>() };
    });
}

std::string digestOf(const std::string& document)
{
    std::uint64_t hash = fnvOffset;
    for (const char c : document)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    std::ostringstream text;
    text << std::hex << std::setw(digestDigits) << std::setfill('0') << hash;
    return text.str();
}

control_keys::control_keys(const std::string& environment)
    : prefix("/oriole/" + environment + "/control/")
    , configuration(prefix + "configuration")
    , failureDomains(prefix + "failure-domains")
    , entries(prefix + "entries/")
    , history("/oriole/" + environment + "/history/")
{
}

std::string control_keys::historyOf(std::uint64_t revision) const
{
    std::ostringstream key;
    key << history << std::setw(revisionDigits) << std::setfill('0') << revision;
    return key.str();
}

} // namespace oriole
