#include "store.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t maxPageItems = 500;
constexpr std::size_t maxPageBytes = 1'000'000;
constexpr std::size_t maxEntries = 32;
constexpr milliseconds answerTime { 4 };
constexpr milliseconds expiryPeriod { 10 };

std::string encodeBase64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const auto left = std::min<std::size_t>(3, text.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (k < left ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= left ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

std::string decodeBase64(const std::string& text)
{
    static const std::array<int, 256> values = [] {
        std::array<int, 256> out {};
        out.fill(-1);
        const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        for (std::size_t i = 0; i < digits.size(); ++i)
            out.at(static_cast<unsigned char>(digits[i])) = static_cast<int>(i);
        return out;
    }();
    std::string out;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const unsigned char c : text) {
        if (values.at(c) < 0)
            break;
        bits = bits << 6U | static_cast<std::uint32_t>(values.at(c));
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255U);
        }
    }
    return out;
}

std::map<std::string, std::string> parametersOf(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    std::stringstream rest(mark == std::string::npos ? std::string() : target.substr(mark + 1));
    std::string part;
    while (std::getline(rest, part, '&')) {
        const auto equals = part.find('=');
        out[part.substr(0, equals)] = equals == std::string::npos ? std::string() : part.substr(equals + 1);
    }
    return out;
}

} // namespace

platform_store::platform_store(const std::string& ip, int port)
    : m_expiry([this] { expire(); })
    , m_server(std::make_unique<http_server>(ip, port, [this](const http_request& request) { return handle(request); }))
{
}

platform_store::~platform_store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_changed.notify_all();
    m_expiry.join();
    m_server.reset();
}

steady_clock::time_point platform_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    write(key, encodeBase64(value), 0);
    m_changed.notify_all();
    return steady_clock::now();
}

void platform_store::setLateRule(late_rule rule)
{
    const std::lock_guard lock(m_mutex);
    m_lateRule = std::move(rule);
}

std::size_t platform_store::addCopies(const std::string& id, const std::vector<std::string>& otherIds)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, item>> originals;
    for (const auto& [name, entry] : m_items) {
        if (name.find(id) != std::string::npos)
            originals.emplace_back(name, entry);
    }
    const auto rename = [&](std::string text, const std::string& other) {
        for (auto place = text.find(id); place != std::string::npos; place = text.find(id, place))
            text.replace(place, id.size(), other);
        return text;
    };
    for (const auto& [name, entry] : originals) {
        const auto value = decodeBase64(entry.value);
        for (const auto& other : otherIds) {
            ++m_revision;
            m_items[rename(name, other)] = { encodeBase64(rename(value, other)), m_revision, m_revision, 0 };
        }
    }
    m_events.clear();
    m_historyFrom = m_revision;
    m_changed.notify_all();
    return originals.size() * otherIds.size();
}

void platform_store::setSlowRange(const std::string& prefix, milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_slowPrefix = prefix;
    m_slowDelay = delay;
}

std::size_t platform_store::transactions()
{
    const std::lock_guard lock(m_mutex);
    return m_transactions;
}

http_answer platform_store::handle(const http_request& request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto parameters = parametersOf(request.target);
    try {
        if (path == "/api/kv-watch")
            return watch(parameters);
        std::this_thread::sleep_for(answerTime);
        if (path == "/api/kv-key")
            return key(parameters);
        if (path == "/api/kv-range") {
            std::this_thread::sleep_for(delayOf(parameters.at("prefix")));
            return range(parameters);
        }
        if (path == "/api/kv-txn")
            return transact(request);
        if (path == "/api/kv-lease")
            return grant(json::parse(request.body));
        const std::string keepPath = "/api/kv-keep/";
        if (path.starts_with(keepPath))
            return keep(std::stoll(path.substr(keepPath.size())));
        const std::string endPath = "/api/kv-lease-end/";
        if (path.starts_with(endPath)) {
            const std::lock_guard lock(m_mutex);
            endLease(std::stoll(path.substr(endPath.size())));
            return {};
        }
    } catch (const std::exception& error) {
        return { 400, json { { "error", error.what() } }.dump() };
    }
    return { 404, "{}" };
}

milliseconds platform_store::delayOf(const std::string& prefix)
{
    const std::lock_guard lock(m_mutex);
    return prefix == m_slowPrefix ? m_slowDelay : milliseconds(0);
}

json platform_store::show(const std::string& name, const item& entry)
{
    return { { "key", name }, { "value", entry.value }, { "revision", entry.revision }, { "created", entry.created }, { "lease", entry.lease } };
}

http_answer platform_store::key(const query& parameters)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(parameters.at("key"));
    if (found == m_items.end())
        return { 404, json { { "at", m_revision } }.dump() };
    auto body = show(found->first, found->second);
    body["at"] = m_revision;
    return { 200, body.dump() };
}

http_answer platform_store::range(const query& parameters)
{
    const auto prefix = parameters.at("prefix");
    const auto after = parameters.find("after");
    const std::lock_guard lock(m_mutex);
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    auto entry = after == parameters.end() ? m_items.lower_bound(prefix) : m_items.upper_bound(std::max(after->second, prefix));
    for (; entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
        more = items.size() == maxPageItems || bytes > maxPageBytes;
        if (more)
            break;
        bytes += entry->second.value.size();
        items.push_back(show(entry->first, entry->second));
    }
    return { 200, json { { "items", items }, { "hasMore", more }, { "at", m_revision } }.dump() };
}

http_answer platform_store::watch(const query& parameters)
{
    const auto prefix = parameters.at("prefix");
    const auto after = std::stoll(parameters.at("after"));
    const auto until = steady_clock::now() + milliseconds(std::stoll(parameters.at("waitMs")));
    std::unique_lock lock(m_mutex);
    json events = json::array();
    while (true) {
        if (after < m_historyFrom)
            return { 410, "{}" };
        const auto first = std::upper_bound(
            m_events.begin(), m_events.end(), after, [](std::int64_t revision, const auto& event) { return revision < event.first; });
        for (auto event = first; event != m_events.end(); ++event) {
            if (event->second.at("key").get_ref<const std::string&>().starts_with(prefix))
                events.push_back(event->second);
        }
        if (!events.empty() || m_ending || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return { 200, json { { "events", events }, { "at", m_revision } }.dump() };
}

http_answer platform_store::transact(const http_request& request)
{
    auto body = json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    const bool changes = !body.value("write", json::array()).empty() || !body.value("remove", json::array()).empty();
    if (changes) {
        ++m_transactions;
        if (const auto delay = m_lateRule ? m_lateRule(body) : std::nullopt) {
            m_late.emplace(steady_clock::now() + *delay, std::move(body));
            return { 0, {}, true };
        }
    }
    return commit(body);
}

http_answer platform_store::commit(const json& body)
{
    const auto conditions = body.value("expectedRev", json::array());
    const auto writes = body.value("write", json::array());
    const auto removals = body.value("remove", json::array());
    if (conditions.size() + writes.size() + removals.size() > maxEntries)
        return { 400, "{}" };
    json current = json::array();
    bool holds = true;
    for (const auto& condition : conditions) {
        const auto name = condition.at("key").get<std::string>();
        const auto found = m_items.find(name);
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == condition.at("revision").get<std::int64_t>();
        current.push_back(found == m_items.end() ? json { { "key", name }, { "revision", 0 } } : show(name, found->second));
    }
    if (!holds)
        return { 412, json { { "items", current }, { "at", m_revision } }.dump() };
    for (const auto& entry : writes) {
        const auto name = entry.at("key").get<std::string>();
        if (name.starts_with("op/") || name.starts_with("servers/"))
            return { 403, "{}" };
        const auto number = entry.value("lease", std::int64_t { 0 });
        if (number != 0 && !m_leases.contains(number))
            return { 404, "{}" };
    }
    if (!writes.empty() || !removals.empty())
        ++m_revision;
    for (const auto& entry : writes)
        write(entry.at("key").get<std::string>(), entry.at("value").get<std::string>(), entry.value("lease", std::int64_t { 0 }));
    for (const auto& name : removals)
        remove(name.get<std::string>());
    m_changed.notify_all();
    return { 200, json { { "revision", m_revision } }.dump() };
}

http_answer platform_store::grant(const json& body)
{
    const milliseconds ttl(body.at("ttlMs").get<std::int64_t>());
    const std::lock_guard lock(m_mutex);
    m_leases[++m_lastLease] = { ttl, steady_clock::now() + ttl };
    return { 200, json { { "lease", m_lastLease }, { "ttlMs", ttl.count() } }.dump() };
}

http_answer platform_store::keep(std::int64_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_leases.find(number);
    if (found == m_leases.end())
        return { 404, "{}" };
    found->second.end = steady_clock::now() + found->second.ttl;
    return { 200, json { { "ttlMs", found->second.ttl.count() } }.dump() };
}

void platform_store::write(const std::string& name, const std::string& value, std::int64_t leaseNumber)
{
    auto& entry = m_items[name];
    entry = { value, m_revision, entry.created == 0 ? m_revision : entry.created, leaseNumber };
    m_events.emplace_back(m_revision, show(name, entry));
}

void platform_store::remove(const std::string& name)
{
    if (m_items.erase(name) != 0)
        m_events.emplace_back(m_revision, json { { "key", name }, { "revision", m_revision }, { "deleted", true } });
}

void platform_store::endLease(std::int64_t number)
{
    if (m_leases.erase(number) == 0)
        return;
    std::vector<std::string> names;
    for (const auto& [name, entry] : m_items) {
        if (entry.lease == number)
            names.push_back(name);
    }
    ++m_revision;
    for (const auto& name : names)
        remove(name);
    m_changed.notify_all();
}

/// Ends leases, and carries out late transactions.
void platform_store::expire()
{
    std::unique_lock lock(m_mutex);
    while (!m_ending) {
        const auto now = steady_clock::now();
        std::vector<std::int64_t> ended;
        for (const auto& [number, state] : m_leases) {
            if (state.end <= now)
                ended.push_back(number);
        }
        for (const auto number : ended)
            endLease(number);
        while (!m_late.empty() && m_late.begin()->first <= now) {
            const auto body = m_late.begin()->second;
            m_late.erase(m_late.begin());
            commit(body);
        }
        m_changed.wait_for(lock, expiryPeriod);
    }
}

} // namespace review
