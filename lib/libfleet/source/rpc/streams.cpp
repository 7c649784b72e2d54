#include <fleet/rpc/streams.hpp>

#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace fleet {

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

rpc_listener::rpc_listener(oriole::event_loop& loop, const std::string& address, capnp::Capability::Client offered)
    : m_server(kj::mv(offered))
{
    auto listening = loop.io().provider->getNetwork().parseAddress(address.c_str()).then([this](kj::Own<kj::NetworkAddress> parsed) {
        m_receiver = parsed->listen();
        return m_server.listen(*m_receiver);
    });
    loop.detach("rpc listener", kj::mv(listening));
}

} // namespace fleet
