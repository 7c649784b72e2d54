/// @file
/// @brief Which ends of attempts an owner may tell an agent to forget.
#pragma once

#include <oriole/core/model.hpp>

#include <cstdint>

namespace oriole {

/// @brief Whether the owner at @p epoch may take note of a task's end.
/// An owner that was frozen past its lease may still believe in its epoch: ends of a later one are not its own.
bool mayAcknowledge(const task_report& task, std::uint64_t epoch);

} // namespace oriole
