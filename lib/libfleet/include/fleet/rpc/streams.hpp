/// @file
/// @brief Opens and accepts the connections between processes.
#pragma once

#include <fleet/http/client_gate.hpp>

#include <oriole/helpers/event_loop.hpp>

#include <capnp/rpc-twoparty.h>

#include <memory>
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
class rpc_listener final : private kj::TaskSet::ErrorHandler {
public:
    /// @param address IP:PORT to listen on.
    /// @param clients Shared by the listeners of a process; a spacious one of its own if null.
    rpc_listener(oriole::event_loop& loop, const std::string& address, capnp::Capability::Client offered,
        std::shared_ptr<client_gate> clients = nullptr);

private:
    struct connection;

    kj::Promise<void> acceptNext();
    void begin(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception&& error) override;

    oriole::event_loop& m_loop;
    capnp::Capability::Client m_offered;
    std::shared_ptr<client_gate> m_clients;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::TaskSet m_tasks; ///< The acceptance of connections, and each connection.
};

} // namespace fleet
