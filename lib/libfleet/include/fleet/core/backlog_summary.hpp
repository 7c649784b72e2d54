/// @file
/// @brief Sums up the scheduler's tables as a backlog, and decides which changes of it are worth a write to the store.
///
/// It answers overload. Each write is priced, so that small changes and an idle system cost none.
#pragma once

#include <fleet/core/backlog.hpp>
#include <fleet/core/tables.hpp>

namespace fleet {

/// @brief Sums up the waiting work and the capacity in one pass over the tables. Work that can no longer be completed in
/// time to be of use is left out, as it is placed after all other work of its priority.
[[nodiscard]] backlog summarizeBacklog(const tables& state, time_point now);

/// @brief Whether so little waits in each service that it can't delay a job noticeably.
[[nodiscard]] bool isIdle(const backlog& content);

/// @brief Whether waiting work or capacity has changed enough to matter to a decision on admission.
[[nodiscard]] bool differsNoticeably(const backlog& before, const backlog& after);

} // namespace fleet
