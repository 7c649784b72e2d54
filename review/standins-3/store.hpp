/// @file
/// @brief Stand-in of the platform's store, as PROTOCOL.md describes it.
#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

class platform_store {
public:
    /// @brief Decides on a transaction that writes: with a value it is carried out that much later, and not answered.
    using late_rule = std::function<std::optional<std::chrono::milliseconds>(const nlohmann::json& transaction)>;

    platform_store(const std::string& ip, int port);
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    /// @brief What the operator writes.
    /// @return When the store acknowledged it.
    std::chrono::steady_clock::time_point put(const std::string& key, const std::string& value);
    void setLateRule(late_rule rule);
    /// @brief Ranges of this prefix are answered that much later; zero for none.
    void setSlowRange(const std::string& prefix, std::chrono::milliseconds delay);
    /// @brief Adds copies of all that the system has stored of a job, under other ids. The history up to then is discarded.
    /// @return How many items were added.
    std::size_t addCopies(const std::string& id, const std::vector<std::string>& otherIds);
    [[nodiscard]] std::size_t transactions();

private:
    struct item {
        std::string value; ///< In base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct lease {
        std::chrono::milliseconds ttl;
        std::chrono::steady_clock::time_point end;
    };
    using query = std::map<std::string, std::string>;

    http_answer handle(const http_request& request);
    [[nodiscard]] std::chrono::milliseconds delayOf(const std::string& prefix);
    http_answer key(const query& parameters);
    http_answer range(const query& parameters);
    http_answer watch(const query& parameters);
    http_answer transact(const http_request& request);
    http_answer commit(const nlohmann::json& body);
    http_answer grant(const nlohmann::json& body);
    http_answer keep(std::int64_t number);
    [[nodiscard]] static nlohmann::json show(const std::string& name, const item& entry);
    void write(const std::string& name, const std::string& value, std::int64_t leaseNumber);
    void remove(const std::string& name);
    void endLease(std::int64_t number);
    void expire();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<std::pair<std::int64_t, nlohmann::json>> m_events;
    std::map<std::int64_t, lease> m_leases;
    std::multimap<std::chrono::steady_clock::time_point, nlohmann::json> m_late;
    late_rule m_lateRule;
    std::string m_slowPrefix;
    std::chrono::milliseconds m_slowDelay { 0 };
    std::int64_t m_revision = 100;
    std::int64_t m_historyFrom = 0; ///< Watches that begin before this revision get 410.
    std::int64_t m_lastLease = 1000;
    std::size_t m_transactions = 0;
    bool m_ending = false;
    std::thread m_expiry;
    std::unique_ptr<http_server> m_server;
};

} // namespace review
