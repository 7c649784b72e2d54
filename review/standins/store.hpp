// Stand-in of the platform's metadata store, by PROTOCOL.md: items with revisions, pages, watches, transactions, leases.
#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <sstream>

namespace review {

using json = nlohmann::json;

inline std::string encode64(const std::string& in)
{
    static const char* table = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8U | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > in.size() ? '=' : table[value >> (18 - 6 * k) & 63U];
    }
    return out;
}

inline std::string decode64(const std::string& in)
{
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (const char c : in) {
        int digit = -1;
        if (c >= 'A' && c <= 'Z')
            digit = c - 'A';
        else if (c >= 'a' && c <= 'z')
            digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            digit = c - '0' + 52;
        else if (c == '+')
            digit = 62;
        else if (c == '/')
            digit = 63;
        if (digit < 0)
            continue;
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

inline std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return out;
    std::stringstream rest(target.substr(mark + 1));
    std::string part;
    while (std::getline(rest, part, '&')) {
        const auto equals = part.find('=');
        out[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return out;
}

class store {
public:
    // What the disruption does with a call of a node: null serves it.
    using disruption = std::function<std::optional<response>(const std::string& node, const request&, const std::function<response()>& serve)>;

    store()
    {
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                expire();
            }
        }).detach();
    }

    // Each node has an address of its own, so that the store can tell nodes apart.
    void listen(const std::string& node, const std::string& address)
    {
        m_servers.push_back(std::make_unique<http_server>(address, [this, node](const request& in) {
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
            disruption hook;
            {
                const std::lock_guard guard(m_mutex);
                hook = m_disruption;
            }
            if (hook) {
                if (auto answer = hook(node, in, [&] { return serve(in); }))
                    return *answer;
            }
            return serve(in);
        }));
    }

    void disrupt(disruption hook)
    {
        const std::lock_guard guard(m_mutex);
        m_disruption = std::move(hook);
    }

    // While the store is down its leases pause: none ends, and they go on with what they had left.
    void pauseLeases(bool paused)
    {
        const std::lock_guard guard(m_mutex);
        if (paused)
            m_pausedAt = clock::now();
        else if (m_pausedAt) {
            for (auto& [lease, state] : m_leases)
                state.end += clock::now() - *m_pausedAt;
            m_pausedAt.reset();
        }
    }

    // The operator's write.
    std::int64_t put(const std::string& key, const std::string& value)
    {
        const std::lock_guard guard(m_mutex);
        ++m_revision;
        write(key, value, 0);
        m_changed.notify_all();
        return m_revision;
    }

    std::optional<std::string> get(const std::string& key)
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
    }

    std::int64_t revisionOf(const std::string& key)
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? 0 : found->second.revision;
    }

    response serve(const request& in)
    {
        const auto path = in.target.substr(0, in.target.find('?'));
        auto query = queryOf(in.target);
        std::unique_lock guard(m_mutex);
        if (path == "/api/kv-key") {
            const auto found = m_items.find(query["key"]);
            if (found == m_items.end())
                return { 404, json { { "at", m_revision } }.dump() };
            auto body = show(found->first, found->second);
            body["at"] = m_revision;
            return { 200, body.dump() };
        }
        if (path == "/api/kv-range") {
            json items = json::array();
            bool more = false;
            for (auto entry = m_items.lower_bound(query["prefix"]); entry != m_items.end() && entry->first.starts_with(query["prefix"]); ++entry) {
                if (query.contains("after") && entry->first <= query["after"])
                    continue;
                if (items.size() == 500) {
                    more = true;
                    break;
                }
                items.push_back(show(entry->first, entry->second));
            }
            return { 200, json { { "items", items }, { "hasMore", more }, { "at", m_revision } }.dump() };
        }
        if (path == "/api/kv-watch") {
            const auto after = std::stoll(query["after"]);
            const auto until = clock::now() + std::chrono::milliseconds(std::stoi(query["waitMs"]));
            for (;;) {
                json events = json::array();
                for (const auto& event : m_history) {
                    if (event.first > after && event.second.at("key").get<std::string>().starts_with(query["prefix"]))
                        events.push_back(event.second);
                }
                if (!events.empty() || clock::now() >= until)
                    return { 200, json { { "events", events }, { "at", m_revision } }.dump() };
                m_changed.wait_until(guard, until);
            }
        }
        if (path == "/api/kv-txn")
            return commit(json::parse(in.body));
        if (path == "/api/kv-lease") {
            const auto ttl = json::parse(in.body).at("ttlMs").get<std::int64_t>();
            m_leases[++m_lastLease] = { ttl, clock::now() + std::chrono::milliseconds(ttl) };
            return { 200, json { { "lease", m_lastLease }, { "ttlMs", ttl } }.dump() };
        }
        if (path.starts_with("/api/kv-keep/")) {
            const auto found = m_leases.find(std::stoll(path.substr(13)));
            if (found == m_leases.end())
                return { 404, "{}" };
            found->second.end = clock::now() + std::chrono::milliseconds(found->second.ttl);
            return { 200, json { { "ttlMs", found->second.ttl } }.dump() };
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            endLease(std::stoll(path.substr(18)));
            return { 200, "{}" };
        }
        return { 404, "{}" };
    }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct lease_state {
        std::int64_t ttl = 0;
        clock::time_point end;
    };

    static json show(const std::string& key, const item& entry)
    {
        return { { "key", key }, { "value", encode64(entry.value) }, { "revision", entry.revision }, { "created", entry.created },
            { "lease", entry.lease } };
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease)
    {
        auto& entry = m_items[key];
        entry = { value, m_revision, entry.created == 0 ? m_revision : entry.created, lease };
        m_history.emplace_back(m_revision, show(key, entry));
    }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) != 0)
            m_history.emplace_back(m_revision, json { { "key", key }, { "revision", m_revision }, { "deleted", true } });
    }

    response commit(const json& in)
    {
        json current = json::array();
        bool holds = true;
        for (const auto& condition : in.value("expectedRev", json::array())) {
            const auto key = condition.at("key").get<std::string>();
            const auto found = m_items.find(key);
            const auto revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == condition.at("revision").get<std::int64_t>();
            current.push_back(found == m_items.end() ? json { { "key", key }, { "revision", 0 } } : show(key, found->second));
        }
        if (!holds)
            return { 412, json { { "items", current }, { "at", m_revision } }.dump() };
        const auto writes = in.value("write", json::array());
        const auto removals = in.value("remove", json::array());
        for (const auto& entry : writes) {
            if (const auto lease = entry.value("lease", std::int64_t { 0 }); lease != 0 && !m_leases.contains(lease))
                return { 404, "{}" };
        }
        if (!writes.empty() || !removals.empty())
            ++m_revision;
        for (const auto& entry : writes)
            write(entry.at("key").get<std::string>(), decode64(entry.at("value").get<std::string>()), entry.value("lease", std::int64_t { 0 }));
        for (const auto& key : removals)
            remove(key.get<std::string>());
        m_changed.notify_all();
        return { 200, json { { "revision", m_revision } }.dump() };
    }

    void endLease(std::int64_t lease)
    {
        if (m_leases.erase(lease) == 0)
            return;
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_items) {
            if (entry.lease == lease)
                keys.push_back(key);
        }
        if (!keys.empty())
            ++m_revision;
        for (const auto& key : keys)
            remove(key);
        m_changed.notify_all();
    }

    void expire()
    {
        const std::lock_guard guard(m_mutex);
        if (m_pausedAt)
            return;
        std::vector<std::int64_t> ended;
        for (const auto& [lease, state] : m_leases) {
            if (state.end <= clock::now())
                ended.push_back(lease);
        }
        for (const auto lease : ended)
            endLease(lease);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::map<std::string, item> m_items;
    std::vector<std::pair<std::int64_t, json>> m_history;
    std::map<std::int64_t, lease_state> m_leases;
    std::optional<clock::time_point> m_pausedAt;
    disruption m_disruption;
    std::vector<std::unique_ptr<http_server>> m_servers;
};

} // namespace review
