/// @file
/// @brief Output of the command-line tool.
#pragma once

#include <nlohmann/json.hpp>

#include <ostream>

namespace oriole::ctl {

enum class output_format {
    Table,
    Json,
};

/// @brief Prints a value; as a table, an array of objects has a row each and an object a line per member.
void print(std::ostream& out, output_format format, const nlohmann::json& value);

} // namespace oriole::ctl
