/// @file
/// @brief One call to an entry, with its outcome as an exit code.
#pragma once

#include <oriole/ctl/operations.hpp>

#include <nlohmann/json.hpp>

namespace oriole::ctl {

/// @brief A reply, or the exit code of a call that failed.
struct entry_outcome {
    exit_code code = exit_code::Ok;
    http_reply reply;
};

/// @brief Calls the entry and prints a failure to the error stream.
entry_outcome callEntry(entry_api& entry, const command_context& context, const http_request& request);

/// @brief Fetches a page and parses it.
/// @return Null, with the cause printed and @p code set, when that failed.
nlohmann::json fetch(entry_api& entry, const command_context& context, const std::string& path, exit_code& code);

/// @brief Prints the JSON body of a reply, or the body as it is.
void printBody(const command_context& context, const http_reply& reply);

} // namespace oriole::ctl
