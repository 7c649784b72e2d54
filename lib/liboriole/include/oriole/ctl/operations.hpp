/// @file
/// @brief The commands of oriolewayctl.
#pragma once

#include <oriole/core/model.hpp>
#include <oriole/ctl/entry_api.hpp>
#include <oriole/ctl/output.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>

namespace oriole::ctl {

enum class exit_code {
    Ok = 0,
    BadUsage = 2,
    NotRun = 3, ///< Refused; nothing was done.
    MayHaveRun = 4,
    Conflict = 5, ///< Somebody else changed it first; nothing was done.
    Unreachable = 6, ///< No connection to the entry.
    NotInForce = 7, ///< Accepted, but not in force everywhere within the waiting time.
};

/// @brief What every command needs.
struct command_context {
    std::ostream& out;
    std::ostream& error;
    output_format format = output_format::Table;
    std::string author;
    std::function<void(std::chrono::milliseconds)> sleep;
};

struct apply_options {
    std::uint64_t expectedRevision = 0;
    bool wait = false;
    std::chrono::milliseconds waitLimit { 30000 };
};

struct job_options {
    std::string organisation;
    oriole::shape shape;
    std::chrono::milliseconds run { 1000 };
    oriole::job_class jobClass = oriole::job_class::Normal;
    bool repeatable = true;
    std::string payload;
    std::string idempotencyKey;
};

struct request_options {
    std::string organisation;
    std::string service;
    std::string body;
    bool unrepeatable = false;
    std::string idempotencyKey;
    std::optional<std::chrono::milliseconds> timeout;
};

/// @brief Fetches a page and prints it.
exit_code showPage(entry_api& entry, const command_context& context, const std::string& path);

/// @brief Checks a document on its own, without any entry.
exit_code checkDocument(const command_context& context, const std::string& document);

exit_code showDocument(entry_api& entry, const command_context& context);

/// @brief Prints what applying the document would change.
exit_code diffDocument(entry_api& entry, const command_context& context, const std::string& document);

exit_code applyDocument(
    entry_api& entry, const command_context& context, const std::string& document, const apply_options& options);

/// @brief Applies the trial's configuration to production, if it has proved itself in the trial.
/// @param environment Name of the production environment; empty to take the one that its entry has in force.
exit_code promote(
    entry_api& trial, entry_api& production, const command_context& context, const std::string& environment);

exit_code setFailureDomain(entry_api& entry, const command_context& context, const std::string& name, bool out);

exit_code submitJob(entry_api& entry, const command_context& context, const job_options& options);
exit_code showJob(entry_api& entry, const command_context& context, const std::string& organisation,
    const std::string& job, std::chrono::milliseconds wait);
exit_code cancelJob(
    entry_api& entry, const command_context& context, const std::string& organisation, const std::string& job);

exit_code sendRequest(entry_api& entry, const command_context& context, const request_options& options);

} // namespace oriole::ctl
