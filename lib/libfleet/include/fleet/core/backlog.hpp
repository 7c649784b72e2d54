/// @file
/// @brief The work that waits for a service, as the scheduler publishes it to the entries.
///
/// It answers overload: an entry that knows nothing of the scheduler's queues accepts work that can't be served in time.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fleet {

// These bound the record: with all services, all priorities and the longest names (of plain characters) it has less than 32 KB.
constexpr std::size_t maxBacklogServices = 16;
constexpr unsigned maxBacklogPriority = 7; ///< Lower priorities are counted with this one.
constexpr std::size_t maxBacklogNameBytes = 64;

/// @brief Processors and accelerators: a capacity, a rate per second, or work in core-seconds and accelerator-seconds.
struct load_amount {
    double cores = 0;
    double accelerators = 0;

    auto operator<=>(const load_amount&) const = default;

    load_amount& operator+=(const load_amount& other)
    {
        cores += other.cores;
        accelerators += other.accelerators;
        return *this;
    }

    load_amount& operator-=(const load_amount& other)
    {
        cores -= other.cores;
        accelerators -= other.accelerators;
        return *this;
    }

    friend load_amount operator+(load_amount left, const load_amount& right) { return left += right; }
    friend load_amount operator-(load_amount left, const load_amount& right) { return left -= right; }
    friend load_amount operator*(load_amount left, double factor)
    {
        return { left.cores * factor, left.accelerators * factor };
    }
};

/// @brief Waiting work of one priority.
struct waiting_work {
    load_amount total;
    std::string largestOrganisation; ///< The organisation with the most waiting work; empty if none can be named.
    load_amount ofLargest; ///< Its part of the total.

    auto operator<=>(const waiting_work&) const = default;
};

struct service_backlog {
    load_amount capacity; ///< Of workers that take work, without what lasting tasks hold.
    load_amount freedPerSecond; ///< Expected from the ends of runs within the next seconds.
    std::map<unsigned, waiting_work> waiting; ///< By priority; only work that waits.

    auto operator<=>(const service_backlog&) const = default;
};

struct backlog {
    std::map<std::string, service_backlog> services;

    auto operator<=>(const backlog&) const = default;
};

/// @brief A backlog as stored.
struct backlog_record {
    std::uint64_t epoch = 0; ///< Of the scheduler that wrote it.
    std::uint64_t version = 0; ///< Rises with each record of an epoch.
    std::int64_t madeUnixMs = 0; ///< By the scheduler's wall clock; for logs only, as clocks differ.
    backlog content;

    auto operator<=>(const backlog_record&) const = default;
};

/// @brief Seconds that @p capacity needs for @p work; infinite for work of a kind of which there is no capacity.
[[nodiscard]] double secondsFor(const load_amount& work, const load_amount& capacity);

} // namespace fleet
