// Stand-in of the platform's metadata store, as PROTOCOL.md has it: items, ranges, watches, transactions, leases.
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <vector>

namespace review {

using nlohmann::json;

inline std::string encode64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t k) { return i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U; };
        const unsigned group = at(0) << 16U | at(1) << 8U | at(2);
        out += digits[group >> 18U];
        out += digits[(group >> 12U) & 63U];
        out += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
        out += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return out;
}

inline std::string decode64(const std::string& text)
{
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        int value = -1;
        if (c >= 'A' && c <= 'Z')
            value = c - 'A';
        else if (c >= 'a' && c <= 'z')
            value = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            value = c - '0' + 52;
        else if (c == '+')
            value = 62;
        else if (c == '/')
            value = 63;
        if (value < 0)
            break;
        group = group << 6U | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

class store_standin {
public:
    /// What becomes of a transaction that writes: it is carried out and answered, or not answered and carried out after `late` seconds.
    struct write_fate {
        bool answered = true;
        double late = 0;
    };
    using fate_function = std::function<write_fate(const json& transaction)>;

    store_standin(const std::string& ip, int port)
    {
        serveHttp(ip, port, [this](const http_call& request) { return handle(request); });
        std::thread([this] {
            while (true) {
                sleepSeconds(0.02);
                expire();
            }
        }).detach();
    }

    /// Decides for each transaction that writes; by default all are answered.
    void setFate(fate_function fate)
    {
        const std::lock_guard lock(m_mutex);
        m_fate = std::move(fate);
    }

    /// The operator's and the platform's own writes.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        write(key, encode64(value), 0);
        m_changed.notify_all();
    }

    std::string get(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::string() : decode64(found->second.value);
    }

    int transactions() const { return m_transactions; }

private:
    struct stored_item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct stored_lease {
        double ttl = 0;
        double end = 0;
    };

    static std::map<std::string, std::string> parameters(const std::string& target)
    {
        std::map<std::string, std::string> out;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto next = target.find('&', at + 1);
            const auto part = target.substr(at + 1, next == std::string::npos ? std::string::npos : next - at - 1);
            const auto equals = part.find('=');
            out[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
            at = next;
        }
        return out;
    }

    static json show(const std::string& key, const stored_item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }

    http_reply handle(const http_call& request)
    {
        sleepSeconds(0.004); // As the pages have it.
        const auto path = request.target.substr(0, request.target.find('?'));
        const auto query = parameters(request.target);
        if (path == "/api/kv-watch")
            return watch(query.at("prefix"), std::stoll(query.at("after")), std::stod(query.at("waitMs")) / 1000);
        if (path == "/api/kv-txn") {
            const auto transaction = json::parse(request.body);
            write_fate fate;
            {
                const std::lock_guard lock(m_mutex);
                const bool writes = !transaction.value("write", json::array()).empty() || !transaction.value("remove", json::array()).empty();
                if (writes)
                    ++m_transactions;
                if (writes && m_fate)
                    fate = m_fate(transaction);
            }
            if (fate.late > 0) {
                std::thread([this, transaction, late = fate.late] {
                    sleepSeconds(late);
                    const std::lock_guard lock(m_mutex);
                    commit(transaction);
                }).detach();
                return { 0, "", false };
            }
            const std::lock_guard lock(m_mutex);
            auto answer = commit(transaction);
            answer.answered = fate.answered;
            return answer;
        }
        const std::lock_guard lock(m_mutex);
        if (path == "/api/kv-key") {
            const auto found = m_items.find(query.at("key"));
            if (found == m_items.end())
                return { 404, json { { "at", m_revision } }.dump() };
            auto body = show(found->first, found->second);
            body["at"] = m_revision;
            return { 200, body.dump() };
        }
        if (path == "/api/kv-range") {
            json items = json::array();
            bool more = false;
            const auto after = query.find("after");
            for (auto item = m_items.lower_bound(query.at("prefix")); item != m_items.end() && item->first.starts_with(query.at("prefix")); ++item) {
                if (after != query.end() && item->first <= after->second)
                    continue;
                if (items.size() == 500) {
                    more = true;
                    break;
                }
                items.push_back(show(item->first, item->second));
            }
            return { 200, json { { "items", items }, { "hasMore", more }, { "at", m_revision } }.dump() };
        }
        if (path == "/api/kv-lease") {
            const auto ttlMs = json::parse(request.body).at("ttlMs").get<double>();
            m_leases[++m_lastLease] = { ttlMs / 1000, seconds() + ttlMs / 1000 };
            return { 200, json { { "lease", m_lastLease }, { "ttlMs", ttlMs } }.dump() };
        }
        if (path.starts_with("/api/kv-keep/")) {
            const auto found = m_leases.find(std::stoll(path.substr(13)));
            if (found == m_leases.end())
                return { 404, "{}" };
            found->second.end = seconds() + found->second.ttl;
            return { 200, json { { "ttlMs", found->second.ttl * 1000 } }.dump() };
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            endLease(std::stoll(path.substr(18)));
            return {};
        }
        return { 404, "{}" };
    }

    http_reply commit(const json& transaction)
    {
        json current = json::array();
        bool holds = true;
        for (const auto& condition : transaction.value("expectedRev", json::array())) {
            const auto key = condition.at("key").get<std::string>();
            const auto found = m_items.find(key);
            holds = holds && condition.at("revision").get<std::int64_t>() == (found == m_items.end() ? 0 : found->second.revision);
            current.push_back(found == m_items.end() ? json { { "key", key }, { "revision", 0 } } : show(key, found->second));
        }
        if (!holds)
            return { 412, json { { "items", current }, { "at", m_revision } }.dump() };
        const auto writes = transaction.value("write", json::array());
        const auto removals = transaction.value("remove", json::array());
        for (const auto& entry : writes) {
            const auto lease = entry.value("lease", std::int64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease))
                return { 404, "{}" };
        }
        if (!writes.empty() || !removals.empty())
            ++m_revision;
        for (const auto& entry : writes)
            write(entry.at("key").get<std::string>(), entry.at("value").get<std::string>(), entry.value("lease", std::int64_t { 0 }));
        for (const auto& key : removals)
            remove(key.get<std::string>());
        m_changed.notify_all();
        return { 200, json { { "revision", m_revision } }.dump() };
    }

    http_reply watch(const std::string& prefix, std::int64_t after, double wait)
    {
        const double until = seconds() + wait;
        std::unique_lock lock(m_mutex);
        while (true) {
            json events = json::array();
            for (const auto& [revision, event] : m_events) {
                if (revision > after && event.at("key").get_ref<const std::string&>().starts_with(prefix))
                    events.push_back(event);
            }
            if (!events.empty() || seconds() >= until)
                return { 200, json { { "events", events }, { "at", m_revision } }.dump() };
            m_changed.wait_for(lock, std::chrono::duration<double>(until - seconds()));
        }
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease)
    {
        auto& item = m_items[key];
        item = { value, m_revision, item.created == 0 ? m_revision : item.created, lease };
        m_events.emplace_back(m_revision, show(key, item));
    }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) != 0)
            m_events.emplace_back(m_revision, json { { "key", key }, { "revision", m_revision }, { "deleted", true } });
    }

    void endLease(std::int64_t lease)
    {
        if (m_leases.erase(lease) == 0)
            return;
        ++m_revision;
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            remove(key);
        m_changed.notify_all();
    }

    void expire()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::int64_t> ended;
        for (const auto& [lease, state] : m_leases) {
            if (state.end <= seconds())
                ended.push_back(lease);
        }
        for (const auto lease : ended)
            endLease(lease);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, stored_item> m_items;
    std::map<std::int64_t, stored_lease> m_leases;
    std::deque<std::pair<std::int64_t, json>> m_events;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 0;
    std::atomic<int> m_transactions { 0 };
    fate_function m_fate;
};

} // namespace review
