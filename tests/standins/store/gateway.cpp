#include "gateway.hpp"

#include <oriole/helpers/base64.hpp>

#include <stdexcept>
#include <thread>

namespace oriole::standin {

namespace {

using nlohmann::json;

constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;
constexpr int grpcResourceExhausted = 8;

http_reply jsonReply(const json& body)
{
    return { 200, { { "Content-Type", "application/json" } }, body.dump() };
}

http_reply errorReply(unsigned status, int code, const std::string& message)
{
    auto reply = jsonReply({ { "error", message }, { "code", code }, { "message", message } });
    reply.status = status;
    return reply;
}

std::string bytes(const json& object, const char* name)
{
    const auto decoded = decodeBase64(object.value(name, std::string()));
    if (!decoded)
        throw std::invalid_argument("base64 expected");
    return *decoded;
}

std::int64_t number(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

json toJson(const std::string& key, const stored_value& stored)
{
    json entry { { "key", encodeBase64(key) }, { "create_revision", std::to_string(stored.createRevision) },
        { "mod_revision", std::to_string(stored.modRevision) }, { "version", std::to_string(stored.version) },
        { "value", encodeBase64(stored.value) } };
    if (stored.lease != 0)
        entry["lease"] = std::to_string(stored.lease);
    return entry;
}

bool isWrite(const http_call& call)
{
    return call.path != "/v3/kv/range";
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

gateway::gateway(const rate_limits& limits)
    : m_writes(limits.writesPerSecond, limits.writesPerSecond, now())
    , m_reads(limits.readsPerSecond, limits.readsPerSecond, now())
{
}

http_reply gateway::handle(const http_call& call)
{
    if (call.path.starts_with("/standin/"))
        return handleAdmin(call);
    return handleStore(call);
}

http_reply gateway::handleAdmin(const http_call& call)
{
    const std::lock_guard lock(m_mutex);
    if (call.path == "/standin/mode" && call.method == "POST") {
        const auto mode = parseFaultMode(call.body);
        if (mode.has_error())
            return refusal(mode.error());
        m_faults.set(mode.value());
        return jsonReply(json::object());
    }
    if (call.path == "/standin/counters") {
        return jsonReply({ { "reads", m_counters.reads }, { "writes", m_counters.writes },
            { "lease_calls", m_counters.leaseCalls }, { "rejected", m_counters.rejected },
            { "refused", m_counters.refused }, { "lost_replies", m_counters.lostReplies },
            { "revision", m_store.revision() }, { "leases", m_store.leaseCount() } });
    }
    return refusal(notRun(failure_kind::NotFound, "no such page"));
}

http_reply gateway::handleStore(const http_call& call)
{
    fault_decision fault;
    {
        const std::lock_guard lock(m_mutex);
        if (!withinRate(isWrite(call)))
            return errorReply(429, grpcResourceExhausted, "too many requests");
        fault = m_faults.next(isWrite(call));
        if (fault.refuse) {
            ++m_counters.refused;
            return { 503, {}, {} };
        }
    }
    std::this_thread::sleep_for(fault.delay);

    const std::lock_guard lock(m_mutex);
    auto reply = perform(call);
    if (!fault.loseReply)
        return reply;
    ++m_counters.lostReplies;
    return { 500, {}, {} };
}

http_reply gateway::perform(const http_call& call)
{
    try {
        const auto request = json::parse(call.body);
        if (call.path == "/v3/kv/range")
            return range(request);
        if (call.path == "/v3/kv/txn")
            return transact(request);
        if (call.path == "/v3/lease/grant")
            return grant(request);
        if (call.path == "/v3/lease/keepalive")
            return keepAlive(request);
        if (call.path == "/v3/lease/revoke")
            return revoke(request);
        return errorReply(404, grpcNotFound, "no such method");
    } catch (const std::exception& error) {
        return errorReply(400, grpcInvalidArgument, error.what());
    }
}

bool gateway::withinRate(bool write)
{
    const bool allowed = (write ? m_writes : m_reads).take(now());
    if (!allowed)
        ++m_counters.rejected;
    return allowed;
}

http_reply gateway::range(const json& request)
{
    ++m_counters.reads;
    json entries = json::array();
    for (const auto& [key, stored] : m_store.range(bytes(request, "key"), bytes(request, "range_end"), now()))
        entries.push_back(toJson(key, stored));
    json reply { { "header", header() } };
    if (!entries.empty()) {
        reply["count"] = std::to_string(entries.size());
        reply["kvs"] = std::move(entries);
    }
    return jsonReply(reply);
}

http_reply gateway::transact(const json& request)
{
    ++m_counters.writes;
    std::vector<key_comparison> comparisons;
    for (const auto& compare : request.value("compare", json::array())) {
        if (compare.value("target", "VERSION") != "MOD" || compare.value("result", "EQUAL") != "EQUAL")
            return errorReply(501, 12, "only MOD EQUAL comparisons are known");
        comparisons.push_back({ bytes(compare, "key"), number(compare, "mod_revision") });
    }
    std::vector<key_put> puts;
    for (const auto& operation : request.value("success", json::array())) {
        const auto& put = operation.at("request_put");
        puts.push_back({ bytes(put, "key"), bytes(put, "value"), number(put, "lease") });
    }

    const auto applied = m_store.transact(comparisons, puts, now());
    if (!applied)
        return errorReply(404, grpcNotFound, "etcdserver: requested lease not found");
    json reply { { "header", header() } };
    if (*applied)
        reply["succeeded"] = true;
    return jsonReply(reply);
}

http_reply gateway::grant(const json& request)
{
    ++m_counters.leaseCalls;
    const auto ttl = number(request, "TTL");
    if (ttl <= 0)
        return errorReply(400, grpcInvalidArgument, "TTL must be positive");
    const auto lease = m_store.grant(std::chrono::seconds(ttl), now());
    return jsonReply({ { "header", header() }, { "ID", std::to_string(lease) }, { "TTL", std::to_string(ttl) } });
}

http_reply gateway::keepAlive(const json& request)
{
    ++m_counters.leaseCalls;
    const auto lease = number(request, "ID");
    const auto ttl = m_store.renew(lease, now());
    json renewed { { "header", header() }, { "ID", std::to_string(lease) } };
    if (ttl.count() > 0)
        renewed["TTL"] = std::to_string(ttl.count());
    return jsonReply({ { "result", renewed } });
}

http_reply gateway::revoke(const json& request)
{
    ++m_counters.leaseCalls;
    if (!m_store.revoke(number(request, "ID"), now()))
        return errorReply(404, grpcNotFound, "etcdserver: requested lease not found");
    return jsonReply({ { "header", header() } });
}

json gateway::header() const
{
    return { { "revision", std::to_string(m_store.revision()) } };
}

} // namespace oriole::standin
