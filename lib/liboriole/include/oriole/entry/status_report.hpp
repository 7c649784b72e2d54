/// @file
/// @brief What an entry tells operators of itself and of what it sees, as JSON.
#pragma once

#include <oriole/entry/entry_node.hpp>
#include <oriole/pages/organisation_page.hpp>

#include <nlohmann/json.hpp>

namespace oriole {

nlohmann::json describeJob(const job_record& job);
nlohmann::json describeStatus(const entry_node& node);
nlohmann::json describeWorkers(const entry_node& node);
nlohmann::json describeOrganisations(const entry_node& node);
nlohmann::json describeFailureDomains(const entry_node& node);

/// @brief Says which entries and workers hold the configuration in force.
nlohmann::json describeRollout(const entry_node& node);

/// @brief Sets the gauges that are read off the node's state.
void updateGauges(const entry_node& node);

} // namespace oriole
