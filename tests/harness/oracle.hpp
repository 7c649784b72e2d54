/// @file
/// @brief Judges from what the worker runtime executed whether promises were kept.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriole::harness {

/// @brief One task as the runtime ran it; times are those of the steady clock.
struct task_run {
    std::string worker;
    std::chrono::milliseconds started { 0 };
    std::optional<std::chrono::milliseconds> ended;
    bool finished = false; ///< It ended by itself with success.
};

/// @brief All tasks of one attempt.
struct attempt_run {
    std::string job;
    std::size_t gangSize = 0;
    std::vector<task_run> tasks;

    [[nodiscard]] bool wholeFinished() const;

    /// @brief Time in which some members ran while another had not started or had been stopped.
    [[nodiscard]] std::chrono::milliseconds partialTime() const;
};

/// @brief Groups the events of the runtime by attempt, named `organisation/job/number`.
std::map<std::string, attempt_run> readAttempts(const nlohmann::json& events);

/// @brief Attempts whose members ran alone for longer than @p tolerance.
std::vector<std::string> partialGangs(const nlohmann::json& events, std::chrono::milliseconds tolerance);

/// @brief The steady clock now, as the runtime stamps its events.
std::chrono::milliseconds steadyNow();

} // namespace oriole::harness
