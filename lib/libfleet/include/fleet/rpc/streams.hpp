/// @file
/// @brief Opens and listens for the connections between processes.
#pragma once

#include <oriole/helpers/event_loop.hpp>

#include <capnp/rpc-twoparty.h>

#include <string>

namespace fleet {

struct stream_limits {
    oriole::milliseconds connect { 0 }; ///< A connection that is not open by then has failed.
    oriole::milliseconds unacknowledged { 0 }; ///< Bytes that the peer does not acknowledge end it after this time.
};

/// @brief Holds an opening connection to its limits.
kj::Promise<kj::Own<kj::AsyncIoStream>> guardStream(
    kj::Promise<kj::Own<kj::AsyncIoStream>> opening, kj::Timer& timer, stream_limits limits);

/// @param address IP:PORT.
kj::Promise<kj::Own<kj::AsyncIoStream>> openStream(oriole::event_loop& loop, const std::string& address, stream_limits limits);

/// @brief Offers one capability to everybody who connects to an address.
class rpc_listener {
public:
    /// @param address IP:PORT to listen on.
    rpc_listener(oriole::event_loop& loop, const std::string& address, capnp::Capability::Client offered);

private:
    capnp::TwoPartyServer m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
};

} // namespace fleet
