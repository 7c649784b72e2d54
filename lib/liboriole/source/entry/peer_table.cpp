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

// One and a half periods: then the peer's beat is late, and this entry asks itself within the freshness limit.
constexpr milliseconds peerServesFor { 750 };

// Now and then this entry asks nevertheless, so that its own connection is known to work.
constexpr unsigned turnsLeftToPeer = 9;

bool isRefusal(const kj::Exception& exception)
{
    const std::string text = exception.getDescription().cStr();
    return text.find("Connection refused") != std::string::npos;
}

bool sameBesidesLists(const local_state& left, const local_state& right)
{
    return left.address == right.address && left.readsStore == right.readsStore && left.fresh == right.fresh
        && left.leaving == right.leaving
        && left.control.configurationRevision() == right.control.configurationRevision()
        && left.control.failureDomains() == right.control.failureDomains();
}

} // namespace

peer_table::peer_table(event_loop& loop, std::string self, std::uint64_t run, state_source own)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_run(run)
    , m_source(std::move(own))
{
    m_turn = m_loop.timers().subscribeEvery(exchangePeriod, [this](time_point) { exchangeNow(); });
}

peer_table::~peer_table()
{
    m_loop.timers().cancel(m_turn);
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

void peer_table::heard(rpc::PeerState::Reader reply, time_point sent)
{
    const auto address = rpc::read(reply.getEntry());
    if (address.name == m_self)
        m_peers.erase(address.rpc);
    else
        takeState(m_peers[address.rpc], reply, sent);
}

void peer_table::takeState(peer& known, rpc::PeerState::Reader source, std::optional<time_point> heardAt)
{
    takeRun(known, source.getRun());
    take(known, { source.getHeardRun(), source.getHeardVersion(), source.getStamp(), source.getEcho() });
    if (source.getBase() > known.version) {
        known.outdated = true;
        return;
    }
    if (source.getVersion() < known.version)
        return;

    take(known, source);
    if (heardAt)
        noteHeard(known, *heardAt);

    const auto view = rpc::read(source.getView());
    for (const auto& entry : view.entries)
        learn(entry);
    viewHeard.emit(view);
}

void peer_table::takeRun(peer& known, std::uint64_t run)
{
    if (known.run == run)
        return;
    known.run = run;
    known.version = 0;
    known.acknowledged = 0;
    known.stamp = 0;
}

void peer_table::take(peer& known, const acknowledgement& told)
{
    known.acknowledged = told.run == m_run ? told.version : 0;
    known.stamp = std::max(known.stamp, told.stamp);
}

void peer_table::take(peer& known, rpc::PeerState::Reader source)
{
    known.version = source.getVersion();
    known.outdated = false;
    known.state.address = rpc::read(source.getEntry());
    known.state.readsStore = source.getReadsStore();
    known.state.leaving = source.getLeaving();
    known.state.configurationRevision = source.getView().getRevision().getConfiguration();
    if (source.getOwnedLeftOut())
        return;
    known.state.owned.clear();
    for (const auto page : source.getOwned())
        known.state.owned.push_back({ page.getOrganisation(), page.getEpoch() });
}

void peer_table::noteHeard(peer& known, time_point sent)
{
    known.lastHeard = known.everHeard ? std::max(known.lastHeard, sent) : sent;
    known.everHeard = true;
    known.refusing = false;
}

std::optional<time_point> peer_table::writtenAfter(const acknowledgement& told) const
{
    // A request may have lain in the socket of a process that stood still: only its echo tells how old it can be.
    if (told.run != m_run || told.echo == 0)
        return std::nullopt;
    return std::min(m_loop.timers().now(), time_point(milliseconds(told.echo)));
}

std::uint64_t peer_table::ownStamp() const
{
    const auto sinceStart = m_loop.timers().now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceStart).count());
}

void peer_table::refreshOwn()
{
    auto now = m_source();
    const bool entriesSame = now.entries == m_own.entries;
    const bool ownedSame = now.owned == m_own.owned;
    if (m_version != 0 && entriesSame && ownedSame && sameBesidesLists(now, m_own))
        return;

    ++m_version;
    if (!entriesSame)
        m_entriesVersion = m_version;
    if (!ownedSame)
        m_ownedVersion = m_version;
    m_own = std::move(now);
}

template <typename Builder>
void peer_table::writeNumbers(Builder target, const peer& known) const
{
    target.setRun(m_run);
    target.setVersion(m_version);
    target.setHeardRun(known.run);
    target.setHeardVersion(known.version);
    target.setStamp(ownStamp());
    target.setEcho(known.stamp);
}

void peer_table::writeState(rpc::PeerState::Builder target, const std::string& rpcAddress)
{
    refreshOwn();
    writeState(target, m_peers[rpcAddress]);
}

void peer_table::writeState(rpc::PeerState::Builder target, const peer& known) const
{
    const bool leaveEntriesOut = known.acknowledged != 0 && m_entriesVersion <= known.acknowledged;
    const bool leaveOwnedOut = known.acknowledged != 0 && m_ownedVersion <= known.acknowledged;
    writeNumbers(target, known);
    target.setBase(leaveEntriesOut || leaveOwnedOut ? known.acknowledged : 0);
    target.setEntriesLeftOut(leaveEntriesOut);
    target.setOwnedLeftOut(leaveOwnedOut);

    rpc::write(target.initEntry(), m_own.address);
    const auto entries = leaveEntriesOut ? std::vector<entry_address> {} : m_own.entries;
    rpc::write(target.initView(), m_own.control, entries, m_own.fresh, m_own.leaving, known.state.configurationRevision);
    target.setReadsStore(m_own.readsStore);
    target.setLeaving(m_own.leaving);
    if (leaveOwnedOut)
        return;
    auto list = target.initOwned(static_cast<unsigned>(m_own.owned.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setOrganisation(m_own.owned[i].organisation);
        list[i].setEpoch(m_own.owned[i].epoch);
    }
}

void peer_table::writeBeat(rpc::Entry::BeatParams::Builder target, const std::string& rpcAddress)
{
    refreshOwn();
    writeNumbers(target, m_peers[rpcAddress]);
}

void peer_table::answer(rpc::PeerState::Reader request, rpc::PeerState::Builder reply)
{
    const auto address = rpc::read(request.getEntry());
    if (address.name == m_self) {
        refreshOwn();
        writeState(reply, peer {});
        return;
    }

    learn(address);
    auto& known = m_peers[address.rpc];
    const acknowledgement told { request.getHeardRun(), request.getHeardVersion(), request.getStamp(),
        request.getEcho() };
    const auto written = request.getRun() == 0 ? m_loop.timers().now() : writtenAfter(told);
    // The request of a process that is gone may come after those of its successor. So another run than the one held
    // is believed only if the request was written later than that run was heard, or in a reply.
    const bool later = written && (!known.everHeard || *written > known.lastHeard);
    if ((known.run != 0 && known.run == request.getRun()) || later)
        takeState(known, request, written);
    else
        known.outdated = true;

    known.lastAsked = m_loop.timers().now();
    refreshOwn();
    writeState(reply, known);
    if (known.outdated)
        exchangeWith(address.rpc);
}

void peer_table::answer(rpc::Entry::BeatParams::Reader request, rpc::Entry::BeatResults::Builder reply)
{
    refreshOwn();
    reply.setRun(m_run);
    reply.setVersion(m_version);
    reply.setStamp(ownStamp());
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
        [&](const auto& item) { return item.second.everHeard && item.second.run == request.getRun(); });
    if (found == m_peers.end() || request.getRun() == 0)
        return;

    auto& known = found->second;
    const acknowledgement told { request.getHeardRun(), request.getHeardVersion(), request.getStamp(),
        request.getEcho() };
    known.lastAsked = m_loop.timers().now();
    take(known, told);
    if (request.getVersion() != known.version) {
        known.outdated = known.outdated || request.getVersion() > known.version;
        return;
    }
    reply.setHolds(true);
    if (const auto written = writtenAfter(told))
        noteHeard(known, *written);
}

void peer_table::heard(rpc::Entry::BeatResults::Reader reply, const std::string& rpcAddress, time_point sent)
{
    auto& known = m_peers[rpcAddress];
    const bool sameRun = reply.getRun() == known.run;
    if (!sameRun || !reply.getHolds())
        known.acknowledged = 0;
    if (!sameRun || reply.getVersion() != known.version) {
        known.outdated = true;
        return;
    }
    known.stamp = std::max(known.stamp, reply.getStamp());
    noteHeard(known, sent);
}

bool peer_table::inStep(const std::string& rpcAddress)
{
    refreshOwn();
    return inStep(m_peers[rpcAddress]);
}

bool peer_table::inStep(const peer& known) const
{
    return known.everHeard && known.run != 0 && !known.outdated && known.acknowledged == m_version
        && known.state.configurationRevision >= m_own.control.configurationRevision();
}

bool peer_table::servedByPeer(const peer& known) const
{
    return known.state.address.name < m_self && m_loop.timers().now() - known.lastAsked <= peerServesFor
        && known.leftToPeer < turnsLeftToPeer;
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
    if (const auto real = m_peers.find(known.aliasOf); real != m_peers.end() && live(real->second))
        return;
    if (!known.client) {
        connect(key);
        return;
    }
    if (known.exchanging)
        return;
    refreshOwn();
    const bool beat = inStep(known);
    if (beat && servedByPeer(known)) {
        ++known.leftToPeer;
        return;
    }

    known.leftToPeer = 0;
    known.exchanging = true;
    const auto base = known.acknowledged;
    auto& timer = m_loop.io().provider->getTimer();
    auto reply = timer.timeoutAfter(
        exchangeTimeout.count() * kj::MILLISECONDS, beat ? sendBeat(key) : sendState(key));
    m_loop.detach("peer exchange",
        reply.then([this, key, beat, base] { exchangeEnded(key, beat, base); },
            [this, key](kj::Exception&& exception) {
                auto& broken = m_peers[key];
                broken.exchanging = false;
                broken.client = std::nullopt;
                broken.connection = nullptr;
                logEvent(log_level::Info, "peer_lost",
                    { { "peer", broken.state.address.name }, { "error", exception.getDescription().cStr() } });
            }));
}

kj::Promise<void> peer_table::sendState(const std::string& key)
{
    auto request = m_peers[key].client->exchangeRequest();
    writeState(request.initState(), m_peers[key]);
    return request.send().then([this, key, sent = m_loop.timers().now()](auto&& response) {
        stateAnswered(key, response.getState(), sent);
    });
}

kj::Promise<void> peer_table::sendBeat(const std::string& key)
{
    auto request = m_peers[key].client->beatRequest();
    writeBeat(request, key);
    return request.send().then(
        [this, key, sent = m_loop.timers().now()](auto&& response) { heard(response, key, sent); });
}

void peer_table::stateAnswered(const std::string& key, rpc::PeerState::Reader reply, time_point sent)
{
    heard(reply, sent);
    if (const std::string address = reply.getEntry().getRpc(); address != key)
        m_peers[key].aliasOf = address;
}

void peer_table::exchangeEnded(const std::string& key, bool beat, std::uint64_t base)
{
    auto& known = m_peers[key];
    known.exchanging = false;
    const bool refused = known.acknowledged < base;
    if (!inStep(known) && (beat || refused))
        exchangeWith(key);
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
            .then([this, key](kj::Own<rpc::connection>&& opened) { connected(key, kj::mv(opened)); },
                [this, key](kj::Exception&& exception) {
                    auto& missed = m_peers[key];
                    missed.connecting = false;
                    missed.refusing = isRefusal(exception);
                }));
}

void peer_table::connected(const std::string& key, kj::Own<rpc::connection> opened)
{
    auto& reached = m_peers[key];
    reached.connecting = false;
    reached.refusing = false;
    reached.client = opened->bootstrap<rpc::Entry>();
    reached.connection = kj::mv(opened);
    // Without beats of its own this entry would not notice that the connection is gone.
    m_loop.detach("peer connection", reached.connection->onDisconnect().then([this, key, lost = reached.connection.get()] {
        if (auto& gone = m_peers[key]; gone.connection.get() == lost)
            gone.client = std::nullopt;
    }));
    exchangeWith(key);
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
    return readerAge().has_value();
}

std::optional<milliseconds> peer_table::readerAge() const
{
    std::optional<milliseconds> least;
    const auto now = m_loop.timers().now();
    for (const auto& [key, known] : m_peers) {
        if (!live(known) || !known.state.readsStore)
            continue;
        const auto age = std::chrono::ceil<milliseconds>(now - known.lastHeard);
        least = std::min(least.value_or(age), age);
    }
    return least;
}

milliseconds peer_table::longestSilence() const
{
    milliseconds longest { 0 };
    const auto now = m_loop.timers().now();
    for (const auto& [key, known] : m_peers) {
        if (live(known))
            longest = std::max(longest, std::chrono::ceil<milliseconds>(now - known.lastHeard));
    }
    return longest;
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
