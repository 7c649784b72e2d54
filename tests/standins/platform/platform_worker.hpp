/// @file
/// @brief Stand-in of a backend server of the platform: heartbeats, starts, stops and polls of runs under leases. No gangs.
#pragma once

#include "fleet_soak/run_history.hpp"

#include <fleet/http/http_client.hpp>
#include <fleet/http/http_listener.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fleet::standin {

struct worker_settings {
    std::string name;
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::string listenAddress;
    std::string announcedAddress; ///< In its heartbeats, e.g. that of a proxy in front of it.
    std::string agentAddress; ///< Where its heartbeats go.
    std::int64_t millicores = 16'000;
    std::int64_t memoryMb = 64'000;
    std::int64_t accelerators = 8;
    double clockRate = 1; ///< Of its steady clock, which may be 2 % slow.
    oriole::milliseconds heartbeat { 1500 };
    oriole::milliseconds maxLease { 6000 };
};

class platform_worker {
public:
    struct disruption {
        bool failsAll = false; ///< Runs end as failed after 100 ms.
        double lateOrders = 0; ///< Share of the orders that are not answered and carried out 0.3 to 8 s later, by whichever incarnation has the id then.
        double latePolls = 0; ///< The same of the polls.
        double lostAnswers = 0; ///< Share of the orders that are carried out and not answered.
        bool othersAnswer = false; ///< Another worker answers at its address; this one and its runs go on.
    };

    /// @param runTime Run time of a task with this name.
    platform_worker(oriole::event_loop& loop, worker_settings settings, soak::soak_history& history, std::uint64_t seed,
        std::function<double()> seconds, std::function<oriole::milliseconds(const std::string&)> runTime);

    void disrupt(disruption what) { m_disruption = what; }

    /// @brief Ends this incarnation and all its runs; it is not up until @c restart.
    void crash();
    /// @brief Starts a new incarnation, with another instance id or with the same. Its first heartbeat comes within one heartbeat period.
    void restart(bool sameInstance);

    /// @brief Ends this incarnation, and no other one starts.
    void loseForGood();

    /// @brief The heartbeat that this incarnation would send next.
    [[nodiscard]] nlohmann::json heartbeat() const;
    [[nodiscard]] const std::string& instance() const { return m_instance; }
    [[nodiscard]] const worker_settings& settings() const { return m_settings; }
    [[nodiscard]] bool isUp() const { return m_up; }
    [[nodiscard]] bool isLost() const { return m_lost; }
    [[nodiscard]] std::size_t activeRuns() const { return m_active.size(); }

private:
    struct active_task {
        std::size_t record = 0; ///< Index into the history's runs.
        unsigned attempt = 0;
        oriole::time_point startedAt;
        oriole::milliseconds runTime { 0 };
        std::int64_t millicores = 0;
        std::optional<oriole::time_point> stopsAt;
    };

    struct listed_end {
        std::uint64_t number = 0;
        std::size_t record = 0;
        bool lapsed = false; ///< The lease expired after the end.
    };

    struct waiting_poll {
        http_listener::responder respond;
        oriole::time_point until;
        std::uint64_t acknowledgedUpTo = 0;
        std::string origin; ///< For the record of what it acknowledges.
    };

    void handle(const incoming_request& request, const http_listener::responder& respond);
    outgoing_response serve(const std::string& target, const nlohmann::json& body, bool late);
    outgoing_response start(const nlohmann::json& body, bool late);
    outgoing_response stop(const nlohmann::json& body);
    void carryOutLater(const std::string& target, const nlohmann::json& body, oriole::milliseconds delay);
    void poll(const nlohmann::json& body, const http_listener::responder& respond, bool late);
    [[nodiscard]] outgoing_response refusal(const char* reason) const;
    [[nodiscard]] outgoing_response lists() const;
    void acknowledge(const waiting_poll& waiting);
    void extendLease(std::int64_t deadlineMs);
    void endRun(std::map<std::string, active_task>::iterator run, const char* outcome);
    void tick(oriole::time_point now);
    void answerPolls(oriole::time_point now);
    void sendHeartbeat();
    void scheduleHeartbeat(oriole::milliseconds delay);
    [[nodiscard]] oriole::milliseconds between(oriole::milliseconds from, oriole::milliseconds to);
    [[nodiscard]] std::int64_t clockMs() const;
    bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    bool isFenced(const nlohmann::json& body);

    oriole::event_loop& m_loop;
    worker_settings m_settings;
    soak::soak_history& m_history;
    std::mt19937_64 m_random;
    std::function<double()> m_seconds;
    std::function<oriole::milliseconds(const std::string&)> m_runTime;
    disruption m_disruption;
    bool m_up = true;
    bool m_lost = false;
    std::string m_instance;
    std::int64_t m_bornUnixMs = 0;
    oriole::time_point m_clockStart;
    oriole::timer_service::subscription_id m_nextHeartbeat = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::int64_t m_leaseEndMs = 0;
    std::map<std::string, active_task> m_active;
    std::map<std::string, unsigned> m_highestEnded; ///< By task: highest attempt that was stopped or has ended.
    std::vector<listed_end> m_ends;
    std::vector<waiting_poll> m_polls;
    std::vector<http_listener::responder> m_unanswered; ///< Of calls that get no answer; without these they would get an error.
    std::unique_ptr<http_listener> m_listener;
    std::unique_ptr<http_client> m_agent;
};

} // namespace fleet::standin
