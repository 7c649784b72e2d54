/// @file
/// @brief Chooses the worker that gets a short request.
#pragma once

#include <oriole/core/model.hpp>
#include <oriole/entry/worker_health.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriole {

struct router_settings {
    std::string region; ///< The entry's own; traffic to another one is paid.
    unsigned queueLimit = 16; ///< Requests that an agent queues beyond its slots.
    milliseconds busyPause { 20 }; ///< A worker that answered busy gets nothing for that long.
    double probeShare = 0.05; ///< Share of the requests that may go to workers on probation.
    bool twoChoices = true; ///< False: one random candidate, for comparison.

    auto operator<=>(const router_settings&) const = default;
};

/// @brief Load that an agent reported with its last heartbeat, all entries' requests together.
struct worker_load {
    unsigned running = 0;
    unsigned queued = 0;
    bool leaving = false;
    bool backendHealthy = true;

    auto operator<=>(const worker_load&) const = default;
};

struct weighed_worker {
    std::string worker;
    unsigned inFlight = 0; ///< Estimated, of all entries.

    auto operator<=>(const weighed_worker&) const = default;
};

/// @brief A decision, with what a log line needs to explain it.
struct routing_decision {
    std::optional<worker_info> worker; ///< None when there is no candidate.
    std::string reason; ///< e.g. `own-region`, `other-region`, `probe`, `no-worker`, `all-busy`.
    unsigned candidates = 0; ///< Workers that could have been chosen.
    std::vector<weighed_worker> weighed; ///< The candidates that were compared.

    auto operator<=>(const routing_decision&) const = default;
};

/// @brief Table of the workers that offer short requests. Pure: no clock, and randomness comes from the caller.
///
/// The load of a worker is what this entry has in flight there plus what the agent reported of other entries.
class router {
public:
    router(router_settings settings, worker_health& health);

    /// @brief Adds a worker, or replaces what is known of it; a new incarnation starts without load.
    void upsert(const worker_info& worker);
    void report(const std::string& worker, const worker_load& load);
    void remove(const std::string& worker);

    /// @brief Replaces the set of failure domains that are out; their workers are no candidates.
    void setFailureDomainsOut(std::set<std::string> out);

    /// @brief Chooses a worker of @p service that is not in @p excluded.
    ///
    /// Own region first; then workers in other failure domains and racks than those of @p excluded; of two random
    /// ones of these the one with fewer requests in flight.
    /// @param repeatable Only a repeatable request is used to probe a worker on probation.
    routing_decision choose(const std::string& service, const std::set<std::string>& excluded, bool repeatable,
        time_point now, std::mt19937_64& random);

    /// @brief Counts a request sent to a worker.
    /// @return The worker's incarnation, to be passed to @c answered.
    std::uint64_t sent(const std::string& worker);

    /// @brief Counts a request as no longer in flight; ignored when the worker has another incarnation by now.
    void answered(const std::string& worker, std::uint64_t incarnation);

    /// @brief Notes that the agent refused a request because it is full.
    void busy(const std::string& worker, time_point now);

    /// @brief Requests of this entry in flight at a worker.
    [[nodiscard]] unsigned inFlight(const std::string& worker) const;

    [[nodiscard]] std::vector<worker_info> workers() const;

private:
    struct record {
        worker_info info;
        worker_load load;
        unsigned inFlight = 0; ///< Sent by this entry and not answered.
        unsigned others = 0; ///< In flight from other entries at the last report, estimated.
        time_point busyUntil;
    };

    enum class standing {
        Candidate,
        OnProbation,
        Busy,
        NotUsable,
    };

    [[nodiscard]] unsigned loadOf(const record& target) const { return target.inFlight + target.others; }
    [[nodiscard]] standing standingOf(const record& target, time_point now) const;
    [[nodiscard]] unsigned distance(const record& target, const std::vector<const record*>& tried) const;
    [[nodiscard]] std::vector<const record*> find(const std::set<std::string>& names) const;
    const record* takeProbe(const std::vector<const record*>& suspects, time_point now);
    routing_decision chooseAmong(const std::vector<const record*>& nearest, std::mt19937_64& random) const;

    router_settings m_settings;
    worker_health& m_health;
    std::map<std::string, record> m_workers;
    std::set<std::string> m_out;
    double m_probeCredit = 0;
};

} // namespace oriole
