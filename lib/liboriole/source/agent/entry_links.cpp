#include <oriole/agent/entry_links.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds tickPeriod { 50 };
constexpr milliseconds heartbeatPeriod { 1000 };
constexpr milliseconds minHeartbeatInterval { 20 };
constexpr milliseconds outdatedViewRetryDelay { 100 };
constexpr milliseconds connectTimeout { 1000 };
constexpr milliseconds heartbeatAnswerTimeout { 5000 };
constexpr milliseconds minBackOff { 100 };
constexpr milliseconds maxBackOff { 2000 };

void writeReport(rpc::AgentReport::Builder target, const agent_report& source, const control_state& state, bool full,
    std::uint64_t entriesDigest)
{
    auto revision = target.initRevision();
    revision.setConfiguration(state.configurationRevision());
    revision.setFailureDomains(state.failureDomains().revision);
    target.setHeardEntries(entriesDigest);
    target.setTasksChanged(full);
    if (full) {
        auto tasks = target.initTasks(static_cast<unsigned>(source.tasks.size()));
        for (unsigned i = 0; i < tasks.size(); ++i)
            rpc::write(tasks[i], source.tasks[i]);
    }
    target.setRequestsRunning(source.requestsRunning);
    target.setRequestsQueued(source.requestsQueued);
    target.setLeaving(source.leaving);
    target.setBackendHealthy(source.backendHealthy);
    target.setFailuresInRow(source.failuresInRow);
}

} // namespace

struct entry_links::entry_link {
    enum class state {
        Closed,
        Opening,
        Open,
        Failed, ///< Closed by the next tick: the connection must not be destroyed inside its own callbacks.
    };

    endpoint address;
    state connectionState = state::Closed;
    std::unique_ptr<kj::Own<rpc::connection>> connection;
    std::unique_ptr<rpc::AgentSession::Client> session;
    time_point nextConnectAttempt;
    milliseconds backOff = minBackOff;
    bool heartbeatInFlight = false;
    bool heartbeatRequested = false; ///< Send another heartbeat once the one in flight is answered.
    time_point sentAt;
    time_point nextHeartbeat;
    std::set<endpoint> listedEntries; ///< Entries listed in the last control view of this entry.
    std::uint64_t entriesDigest = 0; ///< Digest of listedEntries.
    std::uint64_t acknowledgedVersion = 0; ///< Version of the last task reports that the entry has acknowledged.
};

entry_links::entry_links(event_loop& loop, worker_info worker, std::vector<endpoint> seeds, agent_view& view,
    rpc::Agent::Client agent, report_source source, acknowledged_handler acknowledged)
    : m_loop(loop)
    , m_worker(std::move(worker))
    , m_seeds(std::move(seeds))
    , m_view(view)
    , m_agent(kj::mv(agent))
    , m_reportSource(std::move(source))
    , m_onAcknowledged(std::move(acknowledged))
    , m_random(static_cast<unsigned>(m_worker.incarnation))
    , m_alive(std::make_shared<bool>(true))
{
    for (const auto& seed : m_seeds)
        addLink(seed);
    m_tick = m_loop.timers().subscribeEvery(tickPeriod, [this](time_point) { tick(); });
}

entry_links::~entry_links()
{
    m_loop.timers().cancel(m_tick);
}

void entry_links::requestHeartbeat()
{
    for (const auto& link : m_links) {
        link->heartbeatRequested = true;
        if (link->connectionState == entry_link::state::Open && !link->heartbeatInFlight)
            link->nextHeartbeat = std::min(link->nextHeartbeat, link->sentAt + minHeartbeatInterval);
    }
    // Deferred, so that several changes within one turn of the event loop share a heartbeat.
    m_loop.detach("heartbeat", kj::evalLater([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            tick();
    }));
}

void entry_links::setStoreEntries(const std::vector<entry_address>& entries)
{
    if (!entries.empty())
        m_storeEntries = addLinks(entries);
}

std::set<endpoint> entry_links::addLinks(const std::vector<entry_address>& entries)
{
    std::set<endpoint> addresses;
    for (const auto& entry : entries) {
        if (const auto address = parseEndpoint(entry.rpc)) {
            addresses.insert(address.value());
            addLink(address.value());
        }
    }
    return addresses;
}

unsigned entry_links::connected() const
{
    return static_cast<unsigned>(std::count_if(
        m_links.begin(), m_links.end(), [](const auto& link) { return link->connectionState == entry_link::state::Open; }));
}

bool entry_links::allAcknowledged(std::uint64_t tasksVersion) const
{
    return std::all_of(m_links.begin(), m_links.end(), [&](const auto& link) {
        return link->connectionState != entry_link::state::Open || link->acknowledgedVersion >= tasksVersion;
    });
}

void entry_links::tick()
{
    if (!m_started)
        return;
    const auto now = m_loop.timers().now();
    const auto links = m_links;
    for (const auto& link : links) {
        if (link->connectionState == entry_link::state::Failed) {
            link->session.reset();
            link->connection.reset();
            link->connectionState = entry_link::state::Closed;
        }
        if (link->connectionState == entry_link::state::Closed && link->nextConnectAttempt <= now)
            connect(link);
        if (link->connectionState != entry_link::state::Open)
            continue;
        if (link->heartbeatInFlight && now - link->sentAt > heartbeatAnswerTimeout)
            markFailed(link, "no answer to a heartbeat");
        else if (!link->heartbeatInFlight && link->nextHeartbeat <= now)
            heartbeat(link);
    }
    removeUnlistedLinks();
}

void entry_links::addLink(const endpoint& address)
{
    const auto known = std::any_of(
        m_links.begin(), m_links.end(), [&](const auto& link) { return link->address == address; });
    if (known)
        return;
    auto link = std::make_shared<entry_link>();
    link->address = address;
    link->nextConnectAttempt = m_loop.timers().now();
    m_links.push_back(std::move(link));
}

void entry_links::connect(const link_ptr& link)
{
    link->connectionState = entry_link::state::Opening;
    auto opened = rpc::connect(m_loop, link->address, connectTimeout)
                      .then([this, link](kj::Own<rpc::connection>&& made) {
                          link->connection = std::make_unique<kj::Own<rpc::connection>>(kj::mv(made));
                          auto& timer = m_loop.io().provider->getTimer();
                          return timer.timeoutAfter(connectTimeout.count() * kj::MILLISECONDS, announce(link));
                      });
    m_loop.detach("announce", opened.catch_([this, link, alive = std::weak_ptr(m_alive)](kj::Exception&& error) {
        if (!alive.expired())
            markFailed(link, error.getDescription().cStr());
    }));
}

kj::Promise<void> entry_links::announce(const link_ptr& link)
{
    auto request = (*link->connection)->bootstrap<rpc::Entry>().announceRequest();
    rpc::write(request.initWorker(), m_worker);
    request.setAgent(m_agent);
    const auto sentAt = m_loop.timers().now();
    return request.send().then([this, link, sentAt](capnp::Response<rpc::Entry::AnnounceResults>&& answer) {
        m_loop.syncTime();
        link->session = std::make_unique<rpc::AgentSession::Client>(answer.getSession());
        link->connectionState = entry_link::state::Open;
        link->backOff = minBackOff;
        link->acknowledgedVersion = 0;
        link->heartbeatInFlight = false;
        link->sentAt = sentAt;
        logEvent(log_level::Info, "entry_connected", { { "entry", toString(link->address) } });
        applyView(link, answer.getView(), sentAt);
        heartbeat(link);
    });
}

void entry_links::heartbeat(const link_ptr& link)
{
    const auto report = m_reportSource();
    auto request = link->session->heartbeatRequest();
    writeReport(request.initReport(), report, m_view.state(), link->acknowledgedVersion != report.tasksVersion,
        link->entriesDigest);

    link->heartbeatInFlight = true;
    link->heartbeatRequested = false;
    link->sentAt = m_loop.timers().now();
    auto answered = request.send().then([this, link, sentAt = link->sentAt, version = report.tasksVersion](
                                            capnp::Response<rpc::AgentSession::HeartbeatResults>&& answer) {
        handleHeartbeatAnswer(link, answer, sentAt, version);
    });
    m_loop.detach("heartbeat", answered.catch_([this, link, alive = std::weak_ptr(m_alive)](kj::Exception&& error) {
        if (!alive.expired() && link->connectionState == entry_link::state::Open)
            markFailed(link, error.getDescription().cStr());
    }));
}

void entry_links::handleHeartbeatAnswer(const link_ptr& link, rpc::AgentSession::HeartbeatResults::Reader answer,
    time_point sentAt, std::uint64_t tasksVersion)
{
    m_loop.syncTime();
    if (link->connectionState != entry_link::state::Open)
        return;
    link->heartbeatInFlight = false;
    link->acknowledgedVersion = tasksVersion;
    link->nextHeartbeat = sentAt + (link->heartbeatRequested ? minHeartbeatInterval : heartbeatPeriod);
    applyView(link, answer.getView(), sentAt);
    if (answer.getAcknowledged().size() > 0)
        m_onAcknowledged(rpc::read(answer.getAcknowledged()));
}

void entry_links::applyView(const link_ptr& link, rpc::ControlView::Reader received, time_point requestedAt)
{
    const auto view = rpc::read(received);
    if (m_view.apply(view, requestedAt))
        link->nextHeartbeat = std::min(link->nextHeartbeat, m_loop.timers().now() + outdatedViewRetryDelay);
    if (view.entries.empty())
        return;
    m_storeEntries.clear();
    link->listedEntries = addLinks(view.entries);
    link->entriesDigest = view.entriesDigest;
}

void entry_links::markFailed(const link_ptr& link, const std::string& reason)
{
    logEvent(log_level::Info, "entry_lost", { { "entry", toString(link->address) }, { "reason", reason } });
    link->connectionState = entry_link::state::Failed;
    link->heartbeatInFlight = false;
    link->listedEntries.clear();
    link->entriesDigest = 0;
    link->nextConnectAttempt = m_loop.timers().now() + withJitter(link->backOff);
    link->backOff = std::min(2 * link->backOff, maxBackOff);
}

void entry_links::removeUnlistedLinks()
{
    auto listedByAny = m_storeEntries;
    for (const auto& link : m_links)
        listedByAny.insert(link->listedEntries.begin(), link->listedEntries.end());
    std::erase_if(m_links, [&](const auto& link) {
        const bool seed = std::find(m_seeds.begin(), m_seeds.end(), link->address) != m_seeds.end();
        const bool listed = listedByAny.empty() || listedByAny.contains(link->address);
        return link->connectionState == entry_link::state::Closed && !seed && !listed;
    });
}

milliseconds entry_links::withJitter(milliseconds delay)
{
    std::uniform_int_distribution<std::int64_t> spread(delay.count() / 2, delay.count() + delay.count() / 2);
    return milliseconds(spread(m_random));
}

} // namespace oriole
