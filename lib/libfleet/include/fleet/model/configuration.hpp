/// @file
/// @brief The operators' configuration as the product uses it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fleet {

struct queue_rule {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    unsigned priority = 0; ///< 0 comes first and may preempt others.
    unsigned maxAttempts = 1; ///< So many runs of a task may end as failed.
    double slackFactor = 1; ///< Times the longest chain of work, part of the objective.
    std::int64_t targetLatencyMs = 0; ///< Part of the objective beside it.
    bool anonymous = false; ///< Asks for no key.

    auto operator<=>(const queue_rule&) const = default;
};

struct organisation_rule {
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; ///< Its own for jobs of priority 0, at all times.

    auto operator<=>(const organisation_rule&) const = default;
};

struct configuration {
    std::int64_t version = 0;
    std::vector<queue_rule> queues;
    std::vector<organisation_rule> organisations;
    std::uint64_t maxBodyBytes = 0; ///< 0 for no limit of the operators.

    auto operator<=>(const configuration&) const = default;

    /// @brief The queue of the longest prefix of @p path on @p host; null when there is none.
    [[nodiscard]] const queue_rule* findQueue(std::string_view host, std::string_view path) const;
    [[nodiscard]] const queue_rule* findQueueByName(std::string_view name) const;

    /// @brief The organisation that holds a key; null when none does.
    [[nodiscard]] const organisation_rule* findOrganisationOfKey(std::string_view key) const;
};

} // namespace fleet
