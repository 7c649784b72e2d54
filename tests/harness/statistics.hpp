/// @file
/// @brief Quantiles of measurements and the resources that a process uses.
#pragma once

#include <chrono>
#include <vector>

#include <sys/types.h>

namespace oriole::harness {

/// @brief The value below which the share @p q of @p values lies; 0 without values.
double quantile(std::vector<double> values, double q);

double mean(const std::vector<double>& values);

/// @brief Processor time that a process has used so far.
std::chrono::milliseconds processorTime(pid_t pid);

/// @brief Resident memory of a process in KiB.
unsigned long residentKib(pid_t pid);

} // namespace oriole::harness
