/// @file
/// @brief Conversions between the value types and the messages of the RPC schema.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/control/control_state.hpp>
#include <oriole/core/model.hpp>

#include <oriole.capnp.h>

#include <chrono>

namespace oriole::rpc {

/// @brief Views a body as message bytes; @p body must outlive the view.
kj::ArrayPtr<const kj::byte> toWire(const std::string& body);
std::string readBytes(capnp::Data::Reader data);

void write(Failure::Builder target, const failure& source);
failure read(Failure::Reader source);

Verdict toWire(verdict value);
verdict fromWire(Verdict value);

TaskPhase toWire(task_phase phase);
task_phase fromWire(TaskPhase phase);

void write(EntryAddress::Builder target, const entry_address& source);
entry_address read(EntryAddress::Reader source);

void write(WorkerInfo::Builder target, const worker_info& source);
worker_info read(WorkerInfo::Reader source);

void write(AttemptId::Builder target, const attempt_id& source);
attempt_id read(AttemptId::Reader source);

void write(Attempt::Builder target, const attempt& source);
attempt read(Attempt::Reader source);

void write(TaskReport::Builder target, const task_report& source);
task_report read(TaskReport::Reader source);

std::vector<attempt_id> read(capnp::List<AttemptId>::Reader source);
std::vector<task_report> read(capnp::List<TaskReport>::Reader source);

/// @brief What a ControlView carries, taken apart.
struct control_view {
    std::uint64_t configurationRevision = 0;
    bool fresh = false;
    bool leavingEntry = false;
    std::vector<entry_address> entries; ///< Empty when the sender left the list out.
    failure_domain_states failureDomains;
    std::shared_ptr<const configuration_head> configuration; ///< Null when the sender left the document out.
    std::uint64_t entriesDigest = 0; ///< Of the whole list of entries, also when it was left out.
    std::chrono::milliseconds freshAge { 0 }; ///< How long ago the exchange began by which the sender is fresh.
};

/// @brief What the receiver of a view has said that it holds; zeros when nothing is known.
struct view_receiver {
    std::uint64_t configuration = 0; ///< Revision.
    std::uint64_t failureDomains = 0; ///< Revision.
    std::uint64_t entriesDigest = 0;
};

/// @brief Fingerprint of a list of entries; 0 for an empty one.
std::uint64_t digestOf(const std::vector<entry_address>& entries);

/// @brief Fills a view; what the receiver holds already is left out.
void write(ControlView::Builder target, const control_state& source, const std::vector<entry_address>& entries,
    bool fresh, bool leavingEntry, const view_receiver& receiver);

/// @brief As above, for a receiver of which only the revision of its configuration is known.
void write(ControlView::Builder target, const control_state& source, const std::vector<entry_address>& entries,
    bool fresh, bool leavingEntry, std::uint64_t receiverConfiguration);

/// @brief Reads a view. A document that does not parse is left out, and the view's revision is kept.
control_view read(ControlView::Reader source);

} // namespace oriole::rpc
