#include <oriole/store/etcd_codec.hpp>

#include <oriole/helpers/base64.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

namespace oriole::etcd {

namespace {

using nlohmann::json;

constexpr unsigned char largestByte = 0xff;

http_request post(std::string path, const json& body)
{
    return { "POST", std::move(path), { { "Content-Type", "application/json" } }, body.dump() };
}

json comparison(const store_write& write)
{
    return { { "target", "MOD" }, { "result", "EQUAL" }, { "key", encodeBase64(write.key) },
        { "mod_revision", std::to_string(write.expectedModRevision) } };
}

json put(const store_write& write)
{
    json request { { "key", encodeBase64(write.key) }, { "value", encodeBase64(write.value) } };
    if (write.lease != 0)
        request["lease"] = std::to_string(write.lease);
    return { { "request_put", request } };
}

// The gateway writes 64-bit numbers as strings and leaves out zeros.
std::int64_t number(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    const auto& text = found->get_ref<const std::string&>();
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || text.empty())
        throw std::runtime_error("number expected");
    return value;
}

std::string bytes(const json& object, const char* name)
{
    auto decoded = decodeBase64(object.value(name, std::string()));
    if (!decoded)
        throw std::runtime_error("base64 expected");
    return std::move(*decoded);
}

// A reply without a header is not a reply of this gateway.
std::int64_t headerRevision(const json& reply)
{
    const auto& header = reply.at("header");
    if (!header.is_object())
        throw std::runtime_error("header expected");
    return number(header, "revision");
}

store_entry readEntry(const json& source)
{
    return { bytes(source, "key"), bytes(source, "value"), number(source, "mod_revision") };
}

template <typename Value, typename Read>
result<Value> parse(const std::string& body, const Read& read)
{
    try {
        return read(json::parse(body));
    } catch (const std::exception& error) {
        return mayHaveRun(failure_kind::Broken, std::string("malformed reply of the store: ") + error.what());
    }
}

} // namespace

http_request rangeOfKey(const std::string& key)
{
    return post("/v3/kv/range", { { "key", encodeBase64(key) } });
}

http_request rangeOfPrefix(const std::string& prefix)
{
    return post("/v3/kv/range", { { "key", encodeBase64(prefix) }, { "range_end", encodeBase64(endOfPrefix(prefix)) } });
}

http_request transaction(const std::vector<store_write>& writes)
{
    json compare = json::array();
    json success = json::array();
    for (const auto& write : writes) {
        compare.push_back(comparison(write));
        success.push_back(put(write));
    }
    return post("/v3/kv/txn", { { "compare", compare }, { "success", success }, { "failure", json::array() } });
}

http_request leaseGrant(std::chrono::seconds ttl)
{
    return post("/v3/lease/grant", { { "TTL", std::to_string(ttl.count()) }, { "ID", "0" } });
}

http_request leaseKeepAlive(std::int64_t lease)
{
    return post("/v3/lease/keepalive", { { "ID", std::to_string(lease) } });
}

http_request leaseRevoke(std::int64_t lease)
{
    return post("/v3/lease/revoke", { { "ID", std::to_string(lease) } });
}

std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == largestByte)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

result<store_snapshot> parseRange(const std::string& body)
{
    return parse<store_snapshot>(body, [](const json& reply) {
        store_snapshot snapshot;
        snapshot.revision = headerRevision(reply);
        for (const auto& entry : reply.value("kvs", json::array()))
            snapshot.entries.push_back(readEntry(entry));
        return snapshot;
    });
}

result<cas_outcome> parseTransaction(const std::string& body)
{
    return parse<cas_outcome>(body, [](const json& reply) {
        return cas_outcome { reply.value("succeeded", false), headerRevision(reply) };
    });
}

result<std::int64_t> parseGrant(const std::string& body)
{
    return parse<std::int64_t>(body, [](const json& reply) {
        const auto lease = number(reply, "ID");
        if (lease == 0)
            throw std::runtime_error("lease without an ID");
        return lease;
    });
}

result<std::chrono::seconds> parseKeepAlive(const std::string& body)
{
    return parse<std::chrono::seconds>(
        body, [](const json& reply) { return std::chrono::seconds(number(reply.at("result"), "TTL")); });
}

result<bool> parseRevoke(const std::string& body)
{
    return parse<bool>(body, [](const json& reply) {
        headerRevision(reply);
        return true;
    });
}

} // namespace oriole::etcd
