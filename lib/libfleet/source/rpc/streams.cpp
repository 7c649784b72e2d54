#include <fleet/rpc/streams.hpp>

#include <fleet/http/client_stream.hpp>

#include <oriole/helpers/log.hpp>

#include <capnp/rpc.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace fleet {

namespace {

// The largest messages carry a record of 1 MiB or a caller's body, whose text is read twice.
constexpr std::uint64_t maxMessageWords = (8U << 20U) / sizeof(capnp::word);
// Calls of one client that are unanswered at the same time; further ones are read when earlier ones have been answered.
constexpr std::size_t maxUnansweredWords = (8U << 20U) / sizeof(capnp::word);
// Descriptors that were short are free again after a few connections have ended.
constexpr oriole::milliseconds acceptRetryDelay { 100 };

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    return options;
}

} // namespace

kj::Promise<kj::Own<kj::AsyncIoStream>> guardStream(
    kj::Promise<kj::Own<kj::AsyncIoStream>> opening, kj::Timer& timer, stream_limits limits)
{
    auto limit = timer.afterDelay(limits.connect.count() * kj::MILLISECONDS).then([]() -> kj::Own<kj::AsyncIoStream> {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connect timeout"));
    });
    return opening.exclusiveJoin(kj::mv(limit)).then([limits](kj::Own<kj::AsyncIoStream> stream) {
        const auto limitMs = static_cast<unsigned>(limits.unacknowledged.count());
        stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof(limitMs));
        return stream;
    });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> openStream(oriole::event_loop& loop, const std::string& address, stream_limits limits)
{
    auto& provider = *loop.io().provider;
    auto opening = provider.getNetwork().parseAddress(address.c_str()).then([](kj::Own<kj::NetworkAddress> parsed) {
        return parsed->connect().attach(kj::mv(parsed));
    });
    return guardStream(kj::mv(opening), provider.getTimer(), limits);
}

struct rpc_listener::connection {
    connection(kj::Own<kj::AsyncIoStream> accepted, std::shared_ptr<client_slot> clientSlot, capnp::Capability::Client offered)
        : slot(clientSlot)
        , stream(kj::mv(accepted), std::move(clientSlot))
        , network(stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , system(capnp::makeRpcServer(network, kj::mv(offered)))
    {
        system.setFlowLimit(maxUnansweredWords);
    }

    std::shared_ptr<client_slot> slot; ///< Ends after the network, which may still hold timers of the stream.
    rpc_client_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

rpc_listener::rpc_listener(
    oriole::event_loop& loop, const std::string& address, capnp::Capability::Client offered, std::shared_ptr<client_gate> clients)
    : m_loop(loop)
    , m_offered(kj::mv(offered))
    , m_clients(clients ? std::move(clients) : client_gate::createSpacious(loop))
    , m_tasks(*this)
{
    m_tasks.add(loop.io().provider->getNetwork().parseAddress(address.c_str()).then([this](kj::Own<kj::NetworkAddress> parsed) {
        m_receiver = parsed->listen();
        return acceptNext();
    }));
}

kj::Promise<void> rpc_listener::acceptNext()
{
    return m_receiver->accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
            begin(kj::mv(stream));
            return kj::READY_NOW; },
            [this](kj::Exception&& error) {
                oriole::logEvent(oriole::log_level::Error, "accept_failed", { { "error", error.getDescription().cStr() } });
                return m_loop.after(acceptRetryDelay);
            })
        .then([this] {
            // Connections that made room are closed before the next one is accepted.
            return kj::evalLater([this] { return acceptNext(); });
        });
}

void rpc_listener::begin(kj::Own<kj::AsyncIoStream> stream)
{
    auto admitted = m_clients->admit(client_protocol::Rpc);
    if (!admitted.slot)
        return;
    auto accepted = kj::heap<connection>(kj::mv(stream), std::move(admitted.slot), m_offered);
    auto ended = accepted->network.onDisconnect();
    m_tasks.add(ended.exclusiveJoin(kj::mv(admitted.closed)).attach(kj::mv(accepted)));
}

void rpc_listener::taskFailed(kj::Exception&& error)
{
    oriole::logEvent(oriole::log_level::Warning, "task_failed", { { "task", "rpc listener" }, { "error", error.getDescription().cStr() } });
}

} // namespace fleet
