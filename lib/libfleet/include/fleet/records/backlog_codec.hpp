/// @file
/// @brief JSON encoding of the backlog that the scheduler publishes.
#pragma once

#include <fleet/core/backlog.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fleet {

std::string encodeBacklog(const backlog_record& record);

/// @return No value if the text is no backlog, or has negative or infinite amounts or more members than a backlog may have.
std::optional<backlog_record> decodeBacklog(std::string_view text);

} // namespace fleet
