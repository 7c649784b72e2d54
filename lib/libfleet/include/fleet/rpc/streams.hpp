/// @file
/// @brief Opens and accepts the connections between processes.
#pragma once

#include <oriole/helpers/event_loop.hpp>

#include <capnp/rpc-twoparty.h>

#include <string>

namespace fleet {

struct stream_limits {
    oriole::milliseconds connect { 0 }; ///< Connect timeout.
    oriole::milliseconds unacknowledged { 0 }; ///< Maximum time that sent data may remain unacknowledged (TCP user timeout).
};

/// @brief Applies the timeouts of @p limits to a connection that is being opened.
kj::Promise<kj::Own<kj::AsyncIoStream>> guardStream(
    kj::Promise<kj::Own<kj::AsyncIoStream>> opening, kj::Timer& timer, stream_limits limits);

/// @param address IP:PORT.
kj::Promise<kj::Own<kj::AsyncIoStream>> openStream(oriole::event_loop& loop, const std::string& address, stream_limits limits);

/// @brief Listens on an address and offers one capability to every client.
class rpc_listener {
public:
    /// @param address IP:PORT to listen on.
    rpc_listener(oriole::event_loop& loop, const std::string& address, capnp::Capability::Client offered);

private:
    capnp::TwoPartyServer m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
};

} // namespace fleet
