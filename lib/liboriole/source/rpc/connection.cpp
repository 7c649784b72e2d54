#include <oriole/rpc/connection.hpp>

#include <utility>

namespace oriole::rpc {

namespace {

// Bodies of short requests are limited well below this; 8 bytes a word.
constexpr capnp::ReaderOptions readerOptions { .traversalLimitInWords = 4U << 20U, .nestingLimit = 32 };

kj::Promise<kj::Own<kj::NetworkAddress>> resolve(event_loop& loop, const endpoint& address)
{
    return loop.io().provider->getNetwork().parseAddress(address.ip, address.port);
}

/// @brief Accepts connections until the listener fails; each lives until its peer goes.
class acceptor final : private kj::TaskSet::ErrorHandler {
public:
    acceptor(kj::Own<kj::ConnectionReceiver> receiver, capnp::Capability::Client bootstrap)
        : m_receiver(kj::mv(receiver))
        , m_bootstrap(kj::mv(bootstrap))
        , m_connections(*this)
    {
    }

    kj::Promise<void> run()
    {
        return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
            accept(kj::mv(stream));
            return run();
        });
    }

private:
    struct served {
        served(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client bootstrap)
            : stream(kj::mv(accepted))
            , network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions)
            , rpc(capnp::makeRpcServer(network, kj::mv(bootstrap)))
        {
        }

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    };

    void accept(kj::Own<kj::AsyncIoStream> stream)
    {
        auto connection = kj::heap<served>(kj::mv(stream), m_bootstrap);
        auto gone = connection->network.onDisconnect();
        m_connections.add(gone.attach(kj::mv(connection)));
    }

    void taskFailed(kj::Exception&&) override { }

    kj::Own<kj::ConnectionReceiver> m_receiver;
    capnp::Capability::Client m_bootstrap;
    kj::TaskSet m_connections;
};

} // namespace

connection::connection(kj::Own<kj::AsyncIoStream> stream)
    : m_stream(kj::mv(stream))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions)
    , m_rpc(capnp::makeRpcClient(m_network))
    , m_bootstrap(requestBootstrap())
{
}

capnp::Capability::Client connection::requestBootstrap()
{
    capnp::MallocMessageBuilder message;
    auto host = message.getRoot<capnp::rpc::twoparty::VatId>();
    host.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_rpc.bootstrap(host);
}

kj::Promise<kj::Own<connection>> connect(event_loop& loop, const endpoint& peer, milliseconds timeout)
{
    auto connected = resolve(loop, peer).then([](kj::Own<kj::NetworkAddress>&& address) {
        auto stream = address->connect();
        return stream.attach(kj::mv(address));
    });
    auto& timer = loop.io().provider->getTimer();
    return timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(connected))
        .then([](kj::Own<kj::AsyncIoStream>&& stream) { return kj::heap<connection>(kj::mv(stream)); });
}

kj::Promise<void> serve(event_loop& loop, const endpoint& listen, capnp::Capability::Client bootstrap)
{
    return resolve(loop, listen).then([&loop, bootstrap = kj::mv(bootstrap)](kj::Own<kj::NetworkAddress>&& address) mutable {
        auto accepting = kj::heap<acceptor>(address->listen(), kj::mv(bootstrap));
        auto running = accepting->run();
        loop.detach("rpc listener", running.attach(kj::mv(accepting)));
    });
}

} // namespace oriole::rpc
