/// @file
/// @brief Conversions between the messages of fleet.capnp and the types of the model.
#pragma once

#include <fleet/model/worker.hpp>

#include <fleet.capnp.h>

#include <optional>

namespace fleet {

void writeLife(rpc::Life::Builder out, const worker_incarnation& life);
worker_incarnation readLife(rpc::Life::Reader in);

void writeRun(rpc::Run::Builder out, const run_id& run);
/// @return No value when the task's name is malformed.
std::optional<run_id> readRun(rpc::Run::Reader in);

void writeReport(rpc::Report::Builder out, const worker_report& report);
worker_report readReport(rpc::Report::Reader in);

} // namespace fleet
