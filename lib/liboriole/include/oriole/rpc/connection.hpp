/// @file
/// @brief Outgoing RPC connections.
#pragma once

#include <oriole/helpers/event_loop.hpp>
#include <oriole/http/http_client.hpp>

#include <oriole.capnp.h>

#include <capnp/rpc-twoparty.h>

namespace oriole::rpc {

/// @brief An open connection; dropping it closes it. Calls on it after a break fail as DISCONNECTED.
class connection {
public:
    explicit connection(kj::Own<kj::AsyncIoStream> stream);
    KJ_DISALLOW_COPY(connection);

    /// @brief Returns the interface that the far side offers.
    template <typename Interface>
    typename Interface::Client bootstrap()
    {
        return m_bootstrap.castAs<Interface>();
    }

    /// @brief Resolves when the far side is gone.
    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }

private:
    capnp::Capability::Client requestBootstrap();

    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;

    // Asked for once: on a broken network a second request would open a second state, whose end throws.
    capnp::Capability::Client m_bootstrap;
};

/// @brief Connects within @p timeout, else the promise fails.
kj::Promise<kj::Own<connection>> connect(event_loop& loop, const endpoint& peer, milliseconds timeout);

/// @brief Serves @p bootstrap to everyone who connects to @p listen, for the life of the loop.
/// The promise resolves once the address is bound.
kj::Promise<void> serve(event_loop& loop, const endpoint& listen, capnp::Capability::Client bootstrap);

} // namespace oriole::rpc
