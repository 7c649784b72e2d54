/// @file
/// @brief Runs the systems of the guarantee policy in order, once per tick.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/tables.hpp>

#include <vector>

namespace oriole {

void runGuaranteePolicy(scheduler_tables& tables, std::vector<command>& commands, time_point now);

} // namespace oriole
