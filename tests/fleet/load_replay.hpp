/// @file
/// @brief Replays a drawn load against a scheduler core: arrivals, run ends and workers are tables, and time is simulated.
#pragma once

#include <fleet/core/scheduler_core.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fleet::test {

/// @brief One kind of job of a load.
struct job_kind {
    std::string queue;
    double perSecond = 0;
    double meanWidth = 1; ///< Tasks of the job's step; drawn from an exponential distribution.
    unsigned maxWidth = 1;
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::vector<std::int64_t> accelerators; ///< Of each task; one of these.
    std::int64_t runTimeMs = 0;
    double estimateError = 0; ///< Standard deviation of the logarithm of declared by true run time.
    bool gang = false;
    double sameRackShare = 0;
    double checkpointShare = 0;
    double value = 1; ///< Of a job of mean size that is completed in time.
    double lateValue = 0; ///< Of one that is completed within three times its objective.
};

/// @brief A time during which one kind of job arrives more often.
struct load_burst {
    std::string queue;
    milliseconds from { 0 };
    milliseconds length { 0 };
    double factor = 1;
};

/// @brief Workers that leave at short notice, serve for a while beyond it, and come back as another incarnation.
struct departure_plan {
    unsigned count = 0;
    milliseconds minNotice { 1600 };
    milliseconds maxNotice { 4000 };
    milliseconds maxSurplus { 0 }; ///< A worker serves for up to this much longer than its notice.
    milliseconds absence { 3000 };
};

struct replay_load {
    unsigned workers = 160;
    unsigned workersPerRack = 8;
    resources capacity { 128'000, 262'144, 8 };
    unsigned organisations = 24;
    /// Exponent by which the arrivals fall off over the organisations; 0 for equal arrivals. Without a value a mild skew is drawn.
    std::optional<double> organisationSkew;
    std::int64_t guaranteedAccelerators = 30; ///< Of each organisation.
    std::vector<queue_rule> queues;
    std::vector<job_kind> kinds;
    std::vector<load_burst> bursts;
    departure_plan departures;
    std::vector<milliseconds> takeovers; ///< When another scheduler takes over, in ascending order.
    milliseconds arrivals { 30'000 }; ///< Length of the span in which jobs arrive.
    milliseconds drain { 14'000 }; ///< Time after the last arrival.
    std::uint64_t seed = 1;
};

/// @brief The load of a deployment of hundreds of workers: urgent and wide gangs beside batch steps of many tasks.
replay_load largeLoad(unsigned workers, double factor);

/// @brief The load of about 50 workers of 64 cores whose gangs take several accelerators a task, beside batch steps with poor
/// estimates. 10 organisations, whose arrivals fall off with exponent 1.2.
replay_load skewedLoad(double factor);

/// @brief The load of about 60 workers of 32 cores with narrow urgent gangs. 10 organisations as in skewedLoad.
replay_load narrowLoad(double factor);

/// @brief The load of a deployment of about fifty workers that is often full: gangs of two priorities beside batch steps.
replay_load mediumLoad(double factor);

/// @brief What callers received for one queue.
struct queue_outcome {
    unsigned jobs = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    double value = 0; ///< Value earned, by work and by objective.
    double owed = 0; ///< Value if every job had been completed in time.
};

/// @brief What the callers of one organisation received.
struct organisation_outcome {
    unsigned jobs = 0;
    double waitedMs = 0; ///< Sum over its jobs: time from arrival to the first start.
    double value = 0;
    double owed = 0;

    [[nodiscard]] double meanWaitMs() const { return jobs > 0 ? waitedMs / jobs : 0; }
};

struct replay_outcome {
    std::map<std::string, queue_outcome> queues;
    std::vector<organisation_outcome> organisations; ///< By number; with a skew the first one sends most.
    double lostCoreSeconds = 0; ///< Work of stopped runs that no checkpoint kept.
    double usedCoreSeconds = 0;
    unsigned starts = 0;
    unsigned evictedRuns = 0;
    unsigned departureStops = 0; ///< Runs stopped because their worker leaves.
    unsigned runsLostWithWorker = 0;
    std::vector<double> decisionMs; ///< Processor time of each decision.
    std::vector<double> reportMs; ///< Processor time of each report.
    std::size_t mostWaitingTasks = 0;
    std::uint64_t digest = 0; ///< Of all effects in order; equal digests mean equal decisions.

    [[nodiscard]] double worth() const;
};

/// @brief Plays the load.
replay_outcome replay(const replay_load& load);

} // namespace fleet::test
