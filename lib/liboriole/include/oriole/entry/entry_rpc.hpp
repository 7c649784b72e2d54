/// @file
/// @brief The RPC interface that an entry offers to agents and other entries.
#pragma once

#include <oriole/entry/entry_node.hpp>
#include <oriole/http/http_server.hpp>

#include <functional>

namespace oriole {

/// @brief Handles a caller's request that another entry has handed over.
using forwarded_handler = std::function<kj::Promise<http_reply>(const http_call&)>;

/// @brief Makes the interface. Node and handler outlive it.
rpc::Entry::Client makeEntryRpc(entry_node& node, forwarded_handler handleForwarded);

/// @brief Hands a caller's request to another entry.
/// The reply is a refusal when that entry cannot be reached: `may-have-run` unless @p harmless.
kj::Promise<http_reply> forwardTo(entry_node& node, const std::string& entry, const http_call& call, bool harmless);

} // namespace oriole
