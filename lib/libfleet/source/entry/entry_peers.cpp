#include <fleet/entry/entry_peers.hpp>

#include <fleet/rpc/streams.hpp>
#include <fleet/rpc/text.hpp>

#include <fleet.capnp.h>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/promise.hpp>

#include <kj/debug.h>

#include <utility>

namespace fleet {

namespace {

// A healthy peer answers within two round trips of 16 ms and one to the store. A slower peer is likely to have lost the
// store as well.
constexpr milliseconds peerTimeout { 700 };
constexpr stream_limits limits { milliseconds(300), milliseconds(2000) };
// A peer that failed is not tried again for this long, because each call to an unreachable peer waits for the connect
// time-out.
constexpr milliseconds failedPeerRetryDelay { 3000 };
constexpr std::size_t maxPeers = 3;

class entry_service final : public rpc::Entry::Server {
public:
    explicit entry_service(entry_request_handler& handler)
        : m_handler(handler)
    {
    }

    kj::Promise<void> relay(RelayContext context) override
    {
        const auto in = context.getParams().getRequest();
        relayed_call call { fromMessageText(in.getMethod()), fromMessageText(in.getTarget()), fromMessageText(in.getHost()), fromMessageText(in.getKey()),
            fromMessageText(in.getBody()) };
        auto answer = oriole::makePromiseCallback<std::shared_ptr<relayed_answer>>();
        m_handler.serve(call, [resolve = answer.resolve](relayed_answer served) {
            resolve(std::make_shared<relayed_answer>(std::move(served)));
        });
        return answer.promise.then([context](const std::shared_ptr<relayed_answer>& served) mutable {
            auto out = context.getResults();
            out.setStatus(static_cast<std::uint16_t>(served->status));
            out.setBody(toMessageText(served->body));
            out.setRetryAfterSeconds(static_cast<std::uint16_t>(served->retryAfterSeconds));
        });
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        m_handler.announce(fromMessageText(context.getParams().getAgent()), fromMessageText(context.getParams().getAddress()));
        return kj::READY_NOW;
    }

private:
    entry_request_handler& m_handler;
};

} // namespace

struct entry_server::state {
    state(oriole::event_loop& loop, entry_request_handler& handler, const std::string& address, std::shared_ptr<client_gate> clients)
        : listener(loop, address, kj::heap<entry_service>(handler), std::move(clients))
    {
    }

    rpc_listener listener;
};

entry_server::entry_server(
    oriole::event_loop& loop, entry_request_handler& handler, const std::string& address, std::shared_ptr<client_gate> clients)
    : m_state(std::make_unique<state>(loop, handler, address, std::move(clients)))
{
}

entry_server::~entry_server() = default;

/// @brief Connection to one entry. All calls share it, also while it is being established.
struct entry_peers::peer {
    peer(kj::Promise<kj::Own<kj::AsyncIoStream>> opening, std::shared_ptr<bool> opened)
        : reached(std::move(opened))
        , stream(kj::newPromisedStream(kj::mv(opening)))
        , client(*stream)
        , entry(client.bootstrap().castAs<rpc::Entry>())
    {
    }

    std::shared_ptr<bool> reached; ///< The connection was established, so that calls on it may have arrived.
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    rpc::Entry::Client entry;
};

struct entry_peers::relay_state {
    relayed_call call;
    std::vector<std::string> addresses;
    bool maybeServed = false; ///< An earlier peer may still serve the call.
    std::function<void(relay_outcome)> done;
};

entry_peers::entry_peers(oriole::event_loop& loop, std::set<std::string> ownAddresses)
    : m_loop(loop)
    , m_ownAddresses(std::move(ownAddresses))
{
}

entry_peers::~entry_peers()
{
    *m_alive = false;
}

void entry_peers::add(const std::string& address)
{
    if (!m_ownAddresses.contains(address))
        m_peers.try_emplace(address);
}

void entry_peers::add(const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses)
        add(address);
}

std::shared_ptr<entry_peers::peer> entry_peers::connected(const std::string& address)
{
    auto& known = m_peers[address];
    if (known != nullptr)
        return known;
    auto reached = std::make_shared<bool>(false);
    auto opening = openStream(m_loop, address, limits).then([reached](kj::Own<kj::AsyncIoStream> stream) {
        *reached = true;
        return stream;
    });
    known = std::make_shared<peer>(kj::mv(opening), reached);
    return known;
}

void entry_peers::relay(relayed_call call, std::function<void(relay_outcome)> done)
{
    auto state = std::make_shared<relay_state>();
    state->call = std::move(call);
    state->done = std::move(done);
    const auto now = m_loop.timers().now();
    for (const auto& [address, known] : m_peers) {
        const auto failed = m_failedAt.find(address);
        if (failed != m_failedAt.end() && now - failed->second < failedPeerRetryDelay)
            continue;
        // Peers with an existing connection are tried first.
        if (known != nullptr)
            state->addresses.insert(state->addresses.begin(), address);
        else
            state->addresses.push_back(address);
    }
    if (state->addresses.size() > maxPeers)
        state->addresses.resize(maxPeers);
    relayToNextPeer(state);
}

void entry_peers::relayToNextPeer(const std::shared_ptr<relay_state>& state)
{
    if (state->addresses.empty())
        return state->done({ std::nullopt, state->maybeServed });
    const auto address = state->addresses.front();
    state->addresses.erase(state->addresses.begin());
    const auto connection = connected(address);
    auto request = connection->entry.relayRequest();
    auto out = request.initRequest();
    out.setMethod(toMessageText(state->call.method));
    out.setTarget(toMessageText(state->call.target));
    out.setHost(toMessageText(state->call.host));
    out.setKey(toMessageText(state->call.key));
    out.setBody(toMessageText(state->call.body));
    auto answer = request.send().then([](capnp::Response<rpc::Entry::RelayResults> response) {
        return std::make_shared<relayed_answer>(
            relayed_answer { response.getStatus(), fromMessageText(response.getBody()), response.getRetryAfterSeconds() });
    });
    auto limit = m_loop.after(peerTimeout).then([]() -> std::shared_ptr<relayed_answer> {
        kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "the peer did not answer in time"));
    });
    auto settled = answer.exclusiveJoin(kj::mv(limit))
                       .then(
                           [this, state, alive = m_alive](const std::shared_ptr<relayed_answer>& served) {
                               // A peer that can't serve the call either: try the next one.
                               if (*alive && served->status == 503 && !state->addresses.empty())
                                   return relayToNextPeer(state);
                               state->done({ *served, state->maybeServed });
                           },
                           [this, state, address, connection, alive = m_alive](kj::Exception&& error) {
                               oriole::logEvent(oriole::log_level::Info, "peer_failed",
                                   { { "peer", address }, { "error", error.getDescription().cStr() },
                                       { "reached", *connection->reached } });
                               state->maybeServed = state->maybeServed || *connection->reached;
                               if (!*alive)
                                   return;
                               m_failedAt[address] = m_loop.timers().now();
                               if (const auto known = m_peers.find(address); known != m_peers.end() && known->second == connection)
                                   known->second.reset();
                               relayToNextPeer(state);
                           });
    m_loop.detach("relay", settled.attach(connection));
}

void entry_peers::announce(const std::string& agent, const std::string& address)
{
    for (const auto& [peerAddress, known] : m_peers) {
        const auto connection = connected(peerAddress);
        auto request = connection->entry.announceRequest();
        request.setAgent(toMessageText(agent));
        request.setAddress(toMessageText(address));
        auto sent = request.send().ignoreResult().catch_([this, peerAddress = peerAddress, connection, alive = m_alive](kj::Exception&&) {
            if (!*alive)
                return;
            if (const auto entry = m_peers.find(peerAddress); entry != m_peers.end() && entry->second == connection)
                entry->second.reset();
        });
        m_loop.detach("announce", sent.attach(connection));
    }
}

} // namespace fleet
