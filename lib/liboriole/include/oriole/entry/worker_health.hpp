/// @file
/// @brief Judges workers by the outcomes of their work and puts those on probation that fail what others can do.
#pragma once

#include <oriole/helpers/timer_service.hpp>

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oriole {

struct worker_health_settings {
    std::size_t window = 16; ///< Outcomes remembered per worker.
    unsigned differentFailures = 3; ///< Different pieces of work that must have failed in the window.
    double failingShare = 0.5; ///< Share of the window that must have failed.
    double peerRatio = 0.5; ///< Peers must fail at less than this ratio of the worker's own share.
    double probationShare = 0.34; ///< Share of a group that may be on probation at once; one worker always may.
    milliseconds firstProbe { 500 }; ///< From the start of a probation to the first probe.
    milliseconds longestProbe { 30000 }; ///< The interval doubles after each failed probe, up to this.
    unsigned probesToReturn = 3; ///< Probes in a row that must succeed.

    auto operator<=>(const worker_health_settings&) const = default;
};

/// @brief The health of all workers for one kind of work (short requests, or jobs).
///
/// Workers of one group can do each other's work, so they are compared with each other: a worker is on probation
/// when several different pieces of work failed on it while its peers succeed. Work that fails on more than one
/// worker is charged to none of them. Pure: the caller passes the time.
class worker_health {
public:
    explicit worker_health(worker_health_settings settings = {});

    /// @brief Makes a worker known; one with another incarnation starts with a clean record.
    void upsert(const std::string& worker, const std::string& group, std::uint64_t incarnation);
    void remove(const std::string& worker);

    /// @brief Records that a piece of work failed on a worker. A refusal because of load is no failure.
    void failed(const std::string& worker, const std::string& work, time_point now);
    void succeeded(const std::string& worker, const std::string& work, time_point now);

    [[nodiscard]] bool onProbation(const std::string& worker) const;

    /// @brief True when the worker is on probation and a probe may be sent to it now.
    [[nodiscard]] bool probeDue(const std::string& worker, time_point now) const;

    /// @brief Notes that a probe was sent; the next one is due an interval later.
    void probeSent(const std::string& worker, time_point now);

    [[nodiscard]] std::vector<std::string> workersOnProbation() const;

private:
    struct outcome {
        std::string work;
        bool failed = false;
        bool charged = false;
    };

    struct record {
        std::string group;
        std::uint64_t incarnation = 0;
        std::deque<outcome> window;
        bool onProbation = false;
        milliseconds probeInterval { 0 };
        time_point nextProbe;
        unsigned probesSucceeded = 0;
    };

    struct tally {
        std::size_t outcomes = 0;
        std::size_t failures = 0;

        [[nodiscard]] double share() const;
    };

    void remember(record& target, outcome latest) const;
    bool withdrawCharges(const std::string& worker, const std::string& work);
    void rememberFailedWork(const std::string& worker, const std::string& work);
    void judge(const std::string& worker, record& target, time_point now);
    [[nodiscard]] unsigned differentFailures(const record& target) const;
    [[nodiscard]] tally tallyOf(const record& target) const;
    [[nodiscard]] tally tallyOfPeers(const std::string& worker, const std::string& group) const;
    [[nodiscard]] bool probationHasRoom(const std::string& group) const;
    void beginProbation(record& target, time_point now) const;
    void probeFailed(record& target, time_point now) const;
    void probeSucceeded(record& target) const;

    worker_health_settings m_settings;
    std::map<std::string, record> m_workers;
    std::map<std::string, std::vector<std::string>> m_failedWork; ///< Work to the workers it failed on.
    std::deque<std::string> m_failedWorkOrder; ///< Oldest first, to bound the map.
};

} // namespace oriole
