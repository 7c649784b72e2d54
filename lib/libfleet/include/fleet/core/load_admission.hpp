/// @file
/// @brief Decides whether a job is refused because of load, and when its caller is to come back.
///
/// It answers overload: work that can no longer be served in time takes capacity from work that can. A refusal costs its caller
/// more than a wait, and run times are off by half and more, so that a job is accepted in case of doubt.
#pragma once

#include <fleet/core/backlog.hpp>
#include <fleet/model/configuration.hpp>
#include <fleet/model/job.hpp>

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace fleet {

/// @brief What an entry knows of the scheduler's backlog.
struct known_backlog {
    /// @brief Why the backlog must not be used.
    enum class state {
        Usable,
        Missing, ///< There is no record, or none has arrived since the start of the entry.
        Unreadable,
        EarlierEpoch, ///< It was written by a scheduler that has been replaced.
    };

    state condition = state::Missing;
    backlog_record record;
    std::chrono::milliseconds age { 0 }; ///< Since the change arrived, by the entry's steady clock.
};

enum class load_verdict {
    Accepted, ///< The job can be served, at least late.
    WithinGuarantee, ///< Accepted whatever the load, as its organisation may be within its guarantee.
    NoBacklog, ///< Accepted in doubt, as the four below.
    UnreadableBacklog,
    OldBacklog,
    EarlierEpoch,
    Uncertain, ///< By the estimate it is too late, but not by more than the estimate may be off.
    Refused,
};

std::string_view toString(load_verdict verdict);

[[nodiscard]] constexpr bool isDoubtful(load_verdict verdict)
{
    return verdict != load_verdict::Accepted && verdict != load_verdict::WithinGuarantee && verdict != load_verdict::Refused;
}

/// @brief The job to be admitted, and the rules for it.
struct load_request {
    const accepted_job& job;
    const queue_rule& queue;
    const organisation_rule* organisation = nullptr; ///< Null if the configuration has none for the job.
};

/// @brief The verdict with the inputs that led to it.
struct load_decision {
    using milliseconds = std::chrono::milliseconds;

    load_verdict verdict = load_verdict::Accepted;
    load_amount ahead; ///< Waiting work that is placed before the job.
    load_amount capacity;
    load_amount freedPerSecond;
    milliseconds wait { 0 }; ///< Estimated time until the work ahead is served.
    milliseconds path { 0 }; ///< Critical path of the job by declared run times.
    milliseconds lastUseful { 0 }; ///< Completing the job later than this after its submission is of no use.
    unsigned retryAfterSeconds = 0; ///< Of a refusal.

    auto operator<=>(const load_decision&) const = default;
};

/// @brief Decides from the backlog alone; never refuses a job that may be within a guarantee.
[[nodiscard]] load_decision decideLoad(const known_backlog& known, const load_request& request);

} // namespace fleet
