/// @file
/// @brief Structured logs: one JSON object a line on standard error, written through glog.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace oriole {

enum class log_level {
    Debug, ///< Written only when the process was started with `--log-level debug`.
    Info,
    Warning,
    Error,
};

/// @brief Sets up logging for the process; call once, first thing in main.
/// @param program Name of the program, part of each line.
/// @param name Name of this process in the system, part of each line.
void startLogging(std::string_view program, std::string_view name, log_level lowest = log_level::Info);

/// @brief Writes one line. Any thread may call it.
/// @param event Kind of the line in snake case, e.g. `routing_decision`.
/// @param fields A JSON object whose members become members of the line.
void logEvent(log_level level, std::string_view event, const nlohmann::json& fields = nlohmann::json::object());

} // namespace oriole
