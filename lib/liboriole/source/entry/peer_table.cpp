#include <oriole/entry/peer_table.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds exchangePeriod { 500 };
constexpr milliseconds connectTimeout { 1000 };
constexpr milliseconds exchangeTimeout { 1500 };
constexpr milliseconds freshnessLimit { 2000 };

bool isRefusal(const kj::Exception& exception)
{
    const std::string text = exception.getDescription().cStr();
    return text.find("Connection refused") != std::string::npos;
}

} // namespace

peer_table::peer_table(event_loop& loop, std::string self, state_writer writeOwn)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_writeOwn(std::move(writeOwn))
{
    m_loop.timers().subscribeEvery(exchangePeriod, [this](time_point) { exchangeNow(); });
}

void peer_table::learn(const entry_address& address)
{
    if (address.name == m_self || address.rpc.empty())
        return;

    auto& known = m_peers[address.rpc];
    if (known.state.address.name != address.name)
        known.state.address = address;
}

void peer_table::learnSeed(const endpoint& address)
{
    auto& known = m_peers[toString(address)];
    if (known.state.address.rpc.empty())
        known.state.address.rpc = toString(address);
}

void peer_table::heard(rpc::PeerState::Reader source, time_point sent)
{
    const auto address = rpc::read(source.getEntry());
    if (address.name == m_self) {
        m_peers.erase(address.rpc);
        return;
    }

    auto& known = m_peers[address.rpc];
    known.state.address = address;
    known.state.readsStore = source.getReadsStore();
    known.state.leaving = source.getLeaving();
    known.state.configurationRevision = source.getView().getRevision().getConfiguration();
    known.state.owned.clear();
    for (const auto page : source.getOwned())
        known.state.owned.push_back({ page.getOrganisation(), page.getEpoch() });
    known.lastHeard = known.everHeard ? std::max(known.lastHeard, sent) : sent;
    known.everHeard = true;
    known.refusing = false;

    const auto view = rpc::read(source.getView());
    for (const auto& entry : view.entries)
        learn(entry);
    viewHeard.emit(view);
}

void peer_table::exchangeNow()
{
    std::vector<std::string> keys;
    for (const auto& [key, known] : m_peers)
        keys.push_back(key);
    for (const auto& key : keys)
        exchangeWith(key);
}

void peer_table::exchangeWith(const std::string& key)
{
    auto& known = m_peers[key];
    if (!known.client) {
        connect(key);
        return;
    }
    if (known.exchanging)
        return;

    known.exchanging = true;
    const auto sent = m_loop.timers().now();
    auto request = known.client->exchangeRequest();
    m_writeOwn(request.initState(), known.state.configurationRevision);
    auto& timer = m_loop.io().provider->getTimer();
    auto reply = timer.timeoutAfter(exchangeTimeout.count() * kj::MILLISECONDS,
        request.send().then([this, sent](auto&& response) { heard(response.getState(), sent); }));
    m_loop.detach("peer exchange",
        reply.then([this, key] { m_peers[key].exchanging = false; },
            [this, key](kj::Exception&& exception) {
                auto& broken = m_peers[key];
                broken.exchanging = false;
                broken.client = std::nullopt;
                broken.connection = nullptr;
                logEvent(log_level::Info, "peer_lost",
                    { { "peer", broken.state.address.name }, { "error", exception.getDescription().cStr() } });
            }));
}

void peer_table::connect(const std::string& key)
{
    auto& known = m_peers[key];
    if (known.connecting)
        return;
    const auto address = parseEndpoint(key);
    if (!address)
        return;

    known.connecting = true;
    m_loop.detach("peer connect",
        rpc::connect(m_loop, address.value(), connectTimeout)
            .then(
                [this, key](kj::Own<rpc::connection>&& opened) {
                    auto& reached = m_peers[key];
                    reached.connecting = false;
                    reached.refusing = false;
                    reached.client = opened->bootstrap<rpc::Entry>();
                    reached.connection = kj::mv(opened);
                    exchangeWith(key);
                },
                [this, key](kj::Exception&& exception) {
                    auto& missed = m_peers[key];
                    missed.connecting = false;
                    missed.refusing = isRefusal(exception);
                }));
}

bool peer_table::live(const peer& candidate) const
{
    return candidate.everHeard && !candidate.state.leaving
        && m_loop.timers().now() - candidate.lastHeard <= freshnessLimit;
}

bool peer_table::live(const std::string& name) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
        [&](const auto& item) { return item.second.state.address.name == name && live(item.second); });
}

std::vector<peer_state> peer_table::livePeers() const
{
    std::vector<peer_state> states;
    for (const auto& [key, known] : m_peers) {
        if (live(known))
            states.push_back(known.state);
    }
    return states;
}

bool peer_table::anyReadsStore() const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
        [&](const auto& item) { return live(item.second) && item.second.state.readsStore; });
}

bool peer_table::noneSilent() const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
        const auto& known = item.second;
        return !known.everHeard || live(known) || known.state.leaving || known.refusing;
    });
}

std::optional<std::string> peer_table::ownerOf(const std::string& organisation) const
{
    std::optional<std::string> owner;
    std::uint64_t highest = 0;
    for (const auto& [key, known] : m_peers) {
        if (!live(known))
            continue;
        for (const auto& page : known.state.owned) {
            if (page.organisation == organisation && page.epoch >= highest) {
                highest = page.epoch;
                owner = known.state.address.name;
            }
        }
    }
    return owner;
}

std::optional<rpc::Entry::Client> peer_table::client(const std::string& name)
{
    for (auto& [key, known] : m_peers) {
        if (known.state.address.name == name && live(known) && known.client)
            return rpc::Entry::Client(*known.client);
    }
    return std::nullopt;
}

} // namespace oriole
