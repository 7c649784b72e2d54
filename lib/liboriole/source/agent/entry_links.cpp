#include <oriole/agent/entry_links.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds tickPeriod { 50 };
constexpr milliseconds heartbeatPeriod { 1000 };
constexpr milliseconds shortestHeartbeatPeriod { 20 };
constexpr milliseconds behindRetry { 100 };
constexpr milliseconds connectTimeout { 1000 };
constexpr milliseconds silenceTimeout { 5000 };
constexpr milliseconds shortestBackOff { 100 };
constexpr milliseconds longestBackOff { 2000 };

void writeReport(rpc::AgentReport::Builder target, const agent_report& source, const control_state& state, bool full,
    std::uint64_t heardEntries)
{
    auto revision = target.initRevision();
    revision.setConfiguration(state.configurationRevision());
    revision.setFailureDomains(state.failureDomains().revision);
    target.setHeardEntries(heardEntries);
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

struct entry_links::link {
    enum class state {
        Closed,
        Opening,
        Open,
        Failed, ///< Closed by the next tick, outside of the connection's own callbacks.
    };

    endpoint address;
    state now = state::Closed;
    std::unique_ptr<kj::Own<rpc::connection>> connection;
    std::unique_ptr<rpc::AgentSession::Client> session;
    time_point nextAttempt;
    milliseconds backOff = shortestBackOff;
    bool inFlight = false;
    bool wanted = false; ///< Another heartbeat is wanted as soon as the one under way is answered.
    time_point sentAt;
    time_point nextHeartbeat;
    std::set<endpoint> listed; ///< Entries that it named last.
    std::uint64_t entriesDigest = 0; ///< Of that list.
    std::uint64_t heardVersion = 0; ///< Version of the tasks that the entry has taken.
};

entry_links::entry_links(event_loop& loop, worker_info worker, std::vector<endpoint> seeds, agent_view& view,
    rpc::Agent::Client agent, report_source source, acknowledged_handler acknowledged)
    : m_loop(loop)
    , m_worker(std::move(worker))
    , m_seeds(std::move(seeds))
    , m_view(view)
    , m_agent(kj::mv(agent))
    , m_source(std::move(source))
    , m_acknowledged(std::move(acknowledged))
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

void entry_links::wake()
{
    for (const auto& entry : m_links) {
        entry->wanted = true;
        if (entry->now == link::state::Open && !entry->inFlight)
            entry->nextHeartbeat = std::min(entry->nextHeartbeat, entry->sentAt + shortestHeartbeatPeriod);
    }
    // Several changes within one turn of the loop go out together.
    m_loop.detach("heartbeat", kj::evalLater([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            tick();
    }));
}

void entry_links::setListed(const std::vector<entry_address>& entries)
{
    if (!entries.empty())
        m_listed = addLinks(entries);
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
        m_links.begin(), m_links.end(), [](const auto& entry) { return entry->now == link::state::Open; }));
}

bool entry_links::allHeard(std::uint64_t tasksVersion) const
{
    return std::all_of(m_links.begin(), m_links.end(), [&](const auto& entry) {
        return entry->now != link::state::Open || entry->heardVersion >= tasksVersion;
    });
}

void entry_links::tick()
{
    if (!m_started)
        return;
    const auto now = m_loop.timers().now();
    const auto links = m_links;
    for (const auto& entry : links) {
        if (entry->now == link::state::Failed) {
            entry->session.reset();
            entry->connection.reset();
            entry->now = link::state::Closed;
        }
        if (entry->now == link::state::Closed && entry->nextAttempt <= now)
            open(entry);
        if (entry->now != link::state::Open)
            continue;
        if (entry->inFlight && now - entry->sentAt > silenceTimeout)
            fail(entry, "no answer to a heartbeat");
        else if (!entry->inFlight && entry->nextHeartbeat <= now)
            heartbeat(entry);
    }
    dropUnlisted();
}

void entry_links::addLink(const endpoint& address)
{
    const auto known = std::any_of(
        m_links.begin(), m_links.end(), [&](const auto& entry) { return entry->address == address; });
    if (known)
        return;
    auto entry = std::make_shared<link>();
    entry->address = address;
    entry->nextAttempt = m_loop.timers().now();
    m_links.push_back(std::move(entry));
}

void entry_links::open(const link_ref& entry)
{
    entry->now = link::state::Opening;
    auto opened = rpc::connect(m_loop, entry->address, connectTimeout)
                      .then([this, entry](kj::Own<rpc::connection>&& made) {
                          entry->connection = std::make_unique<kj::Own<rpc::connection>>(kj::mv(made));
                          auto& timer = m_loop.io().provider->getTimer();
                          return timer.timeoutAfter(connectTimeout.count() * kj::MILLISECONDS, announce(entry));
                      });
    m_loop.detach("announce", opened.catch_([this, entry, alive = std::weak_ptr(m_alive)](kj::Exception&& error) {
        if (!alive.expired())
            fail(entry, error.getDescription().cStr());
    }));
}

kj::Promise<void> entry_links::announce(const link_ref& entry)
{
    auto request = (*entry->connection)->bootstrap<rpc::Entry>().announceRequest();
    rpc::write(request.initWorker(), m_worker);
    request.setAgent(m_agent);
    const auto sentAt = m_loop.timers().now();
    return request.send().then([this, entry, sentAt](capnp::Response<rpc::Entry::AnnounceResults>&& answer) {
        m_loop.syncTime();
        entry->session = std::make_unique<rpc::AgentSession::Client>(answer.getSession());
        entry->now = link::state::Open;
        entry->backOff = shortestBackOff;
        entry->heardVersion = 0;
        entry->inFlight = false;
        entry->sentAt = sentAt;
        logEvent(log_level::Info, "entry_connected", { { "entry", toString(entry->address) } });
        takeView(entry, answer.getView(), sentAt);
        heartbeat(entry);
    });
}

void entry_links::heartbeat(const link_ref& entry)
{
    const auto report = m_source();
    auto request = entry->session->heartbeatRequest();
    writeReport(request.initReport(), report, m_view.state(), entry->heardVersion != report.tasksVersion,
        entry->entriesDigest);

    entry->inFlight = true;
    entry->wanted = false;
    entry->sentAt = m_loop.timers().now();
    auto answered = request.send().then([this, entry, sentAt = entry->sentAt, version = report.tasksVersion](
                                            capnp::Response<rpc::AgentSession::HeartbeatResults>&& answer) {
        heartbeatAnswered(entry, answer, sentAt, version);
    });
    m_loop.detach("heartbeat", answered.catch_([this, entry, alive = std::weak_ptr(m_alive)](kj::Exception&& error) {
        if (!alive.expired() && entry->now == link::state::Open)
            fail(entry, error.getDescription().cStr());
    }));
}

void entry_links::heartbeatAnswered(const link_ref& entry, rpc::AgentSession::HeartbeatResults::Reader answer,
    time_point sentAt, std::uint64_t tasksVersion)
{
    m_loop.syncTime();
    if (entry->now != link::state::Open)
        return;
    entry->inFlight = false;
    entry->heardVersion = tasksVersion;
    entry->nextHeartbeat = sentAt + (entry->wanted ? shortestHeartbeatPeriod : heartbeatPeriod);
    takeView(entry, answer.getView(), sentAt);
    if (answer.getAcknowledged().size() > 0)
        m_acknowledged(rpc::read(answer.getAcknowledged()));
}

void entry_links::takeView(const link_ref& entry, rpc::ControlView::Reader received, time_point askedAt)
{
    const auto view = rpc::read(received);
    if (m_view.apply(view, askedAt))
        entry->nextHeartbeat = std::min(entry->nextHeartbeat, m_loop.timers().now() + behindRetry);
    if (view.entries.empty())
        return;
    m_listed.clear();
    entry->listed = addLinks(view.entries);
    entry->entriesDigest = view.entriesDigest;
}

void entry_links::fail(const link_ref& entry, const std::string& reason)
{
    logEvent(log_level::Info, "entry_lost", { { "entry", toString(entry->address) }, { "reason", reason } });
    entry->now = link::state::Failed;
    entry->inFlight = false;
    entry->listed.clear();
    entry->entriesDigest = 0;
    entry->nextAttempt = m_loop.timers().now() + jittered(entry->backOff);
    entry->backOff = std::min(2 * entry->backOff, longestBackOff);
}

void entry_links::dropUnlisted()
{
    auto listedByAny = m_listed;
    for (const auto& entry : m_links)
        listedByAny.insert(entry->listed.begin(), entry->listed.end());
    std::erase_if(m_links, [&](const auto& entry) {
        const bool seed = std::find(m_seeds.begin(), m_seeds.end(), entry->address) != m_seeds.end();
        const bool listed = listedByAny.empty() || listedByAny.contains(entry->address);
        return entry->now == link::state::Closed && !seed && !listed;
    });
}

milliseconds entry_links::jittered(milliseconds delay)
{
    std::uniform_int_distribution<std::int64_t> spread(delay.count() / 2, delay.count() + delay.count() / 2);
    return milliseconds(spread(m_random));
}

} // namespace oriole
