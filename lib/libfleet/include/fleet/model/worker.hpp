/// @file
/// @brief What an agent says of its worker and of what runs there.
#pragma once

#include <fleet/model/job.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fleet {

/// @brief One incarnation of a worker; after a crash it runs nothing and counts anew, also under the same instance id.
struct worker_incarnation {
    std::string instance;
    std::int64_t startedUnixMs = 0;

    auto operator<=>(const worker_incarnation&) const = default;
};

struct worker_description {
    worker_incarnation incarnation;
    std::string service;
    std::string failureDomain;
    std::vector<std::string> labels; ///< Its kind, then its rack.
    resources capacity;
    bool draining = false;
    std::int64_t drainRemainingMs = 0; ///< Of one that drains: the least time that is left.

    auto operator<=>(const worker_description&) const = default;

    [[nodiscard]] std::string_view rack() const { return labels.size() > 1 ? std::string_view(labels.back()) : std::string_view(); }
    [[nodiscard]] bool hasLabel(const std::string& label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

struct active_run {
    run_id run;
    std::string checkpoint; ///< Empty for none.
    double percent = 0; ///< Of its work.
    double usage = 0; ///< Rough tail latency in ms of a task that serves, else cores in use.

    auto operator<=>(const active_run&) const = default;
};

struct ended_run {
    std::uint64_t number = 0; ///< Counts the ends of one incarnation of the worker, from 1.
    run_id run;
    run_outcome outcome = run_outcome::Lost;
    std::string checkpoint;

    auto operator<=>(const ended_run&) const = default;
};

/// @brief All that an agent knows: the worker, what runs, and the ends not yet taken note of.
struct worker_report {
    worker_description worker;
    std::vector<active_run> active;
    std::vector<ended_run> ended;
    bool endsTruncated = false; ///< More runs have ended than are listed, so a run that is not listed may have ended.
    bool responsive = true; ///< The worker answered the last poll.
    bool gone = false; ///< It does not answer, and the lease of everything that ran on it has expired.
    bool othersMayRun = false; ///< The lease of what earlier incarnations of the worker run may not have expired.
};

} // namespace fleet
