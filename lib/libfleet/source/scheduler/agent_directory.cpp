#include <fleet/scheduler/agent_directory.hpp>

#include <fleet/rpc/convert.hpp>
#include <fleet/rpc/streams.hpp>

#include <oriole/helpers/log.hpp>

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// An agent reports with each look, at most 1.2 s apart: after this silence its connection is made anew.
constexpr milliseconds silenceLimit { 2600 };
constexpr stream_limits limits { milliseconds(800), milliseconds(3000) };
constexpr milliseconds firstRetry { 100 };
constexpr milliseconds longestRetry { 1000 };
// Messages under way and timers that fire late.
constexpr milliseconds lossMargin { 300 };

} // namespace

/// @brief One connection: the stream, the RPC system on it, and the agent at its far end.
struct agent_directory::link {
    link(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened))
        , client(*stream)
        , agent(client.bootstrap().castAs<rpc::Agent>())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    rpc::Agent::Client agent;
    bool attached = false;
};

namespace {

/// @brief Takes the reports of one agent.
class report_service final : public rpc::Scheduler::Server {
public:
    using handler = std::function<void(const worker_report&)>;

    report_service(std::function<bool()> decides, handler reported)
        : m_decides(std::move(decides))
        , m_reported(std::move(reported))
    {
    }

    kj::Promise<void> report(ReportContext context) override
    {
        if (!m_decides())
            return KJ_EXCEPTION(FAILED, "this scheduler may have been replaced");
        m_reported(readReport(context.getParams().getReport()));
        return kj::READY_NOW;
    }

private:
    std::function<bool()> m_decides;
    handler m_reported;
};

} // namespace

agent_directory::agent_directory(
    oriole::event_loop& loop, std::uint64_t epoch, directory_timing timing, handlers notify)
    : m_loop(loop)
    , m_epoch(epoch)
    , m_timing(timing)
    , m_notify(std::move(notify))
{
}

agent_directory::~agent_directory()
{
    *m_alive = false;
}

void agent_directory::expect(const std::string& agent)
{
    auto [entry, added] = m_rows.try_emplace(agent);
    if (added)
        entry->second.heardAt = m_loop.timers().now();
}

void agent_directory::announce(const std::string& agent, const std::string& address)
{
    expect(agent);
    auto& entry = m_rows[agent];
    if (entry.address == address && (entry.connection != nullptr || entry.connecting))
        return;
    entry.address = address;
    entry.connection.reset();
    entry.connecting = false;
    ++entry.generation;
    connect(agent);
}

void agent_directory::forget(const std::string& agent)
{
    if (const auto entry = m_rows.find(agent); entry != m_rows.end())
        entry->second.address.clear();
}

void agent_directory::connect(const std::string& agent)
{
    auto& entry = m_rows[agent];
    if (entry.address.empty() || entry.connecting || entry.connection != nullptr)
        return;
    entry.connecting = true;
    const auto generation = entry.generation;
    auto done = openStream(m_loop, entry.address, limits)
                    .then(
                        [this, agent, generation, alive = m_alive](kj::Own<kj::AsyncIoStream> stream) {
                            if (*alive && m_rows[agent].generation == generation)
                                opened(agent, kj::mv(stream));
                        },
                        [this, agent, generation, alive = m_alive](kj::Exception&&) {
                            if (!*alive || m_rows[agent].generation != generation)
                                return;
                            m_rows[agent].connecting = false;
                            reconnectLater(agent);
                        });
    m_loop.detach("agent connect", kj::mv(done));
}

void agent_directory::opened(const std::string& agent, kj::Own<kj::AsyncIoStream> stream)
{
    auto& entry = m_rows[agent];
    entry.connecting = false;
    auto connection = std::make_shared<link>(kj::mv(stream));
    entry.connection = connection;
    entry.connectedAt = m_loop.timers().now();
    attach(agent, connection);
    // Nothing on the connection may own it.
    auto gone = connection->client.onDisconnect().then([this, agent, weak = std::weak_ptr(connection), alive = m_alive] {
        if (const auto held = weak.lock(); *alive && held != nullptr)
            disconnected(agent, held, "connection closed");
    });
    m_loop.detach("agent connection", kj::mv(gone));
}

void agent_directory::attach(const std::string& agent, const std::shared_ptr<link>& connection)
{
    auto request = connection->agent.attachRequest();
    request.setEpoch(m_epoch);
    request.setScheduler(kj::heap<report_service>(m_notify.decides,
        [this, agent, weak = std::weak_ptr(connection), alive = m_alive](const worker_report& report) {
            if (const auto held = weak.lock(); *alive && held != nullptr)
                reported(agent, held, report);
        }));
    auto attached = request.send().ignoreResult().then([connection] { connection->attached = true; },
        [this, agent, connection, alive = m_alive](kj::Exception&& error) {
            if (*alive)
                disconnected(agent, connection, error.getDescription().cStr());
        });
    m_loop.detach("attach", kj::mv(attached));
}

void agent_directory::reconnectLater(const std::string& agent)
{
    auto& entry = m_rows[agent];
    const auto delay = std::min(longestRetry, firstRetry * (1U << std::min(entry.failures, 4U)));
    ++entry.failures;
    m_loop.timers().subscribeOnce(delay, [this, agent, alive = m_alive](time_point) {
        if (*alive)
            connect(agent);
    });
}

void agent_directory::disconnected(
    const std::string& agent, const std::shared_ptr<link>& connection, const std::string& reason)
{
    auto& entry = m_rows[agent];
    if (entry.connection != connection)
        return;
    oriole::logEvent(oriole::log_level::Warning, "agent_disconnected", { { "agent", agent }, { "reason", reason } });
    // The connection is dropped later: this may be called from within it.
    m_loop.detach("drop connection", kj::evalLater([connection] {}));
    entry.connection.reset();
    m_notify.unreachable(agent);
    reconnectLater(agent);
}

void agent_directory::reported(
    const std::string& agent, const std::shared_ptr<link>& connection, const worker_report& report)
{
    auto& entry = m_rows[agent];
    if (entry.connection != connection)
        return;
    if (!entry.heard || entry.lossTold || entry.failures > 0) {
        oriole::logEvent(oriole::log_level::Info, "agent_reports",
            { { "agent", agent }, { "instance", report.worker.life.instance }, { "active", report.active.size() },
                { "responsive", report.responsive } });
    }
    entry.heardAt = m_loop.timers().now();
    entry.heard = true;
    entry.lossTold = false;
    entry.failures = 0;
    m_notify.reported(agent, report);
}

void agent_directory::check(time_point now)
{
    const auto unseen = m_timing.agents.permission + m_timing.agents.longestLease() + lossMargin;
    for (auto& [agent, entry] : m_rows) {
        if (entry.connection != nullptr && now - std::max(entry.heardAt, entry.connectedAt) > silenceLimit)
            disconnected(agent, std::shared_ptr<link>(entry.connection), "silent");
        // Before we heard it, an earlier scheduler may have answered it for as long as it thought it decided.
        const auto limit = entry.heard ? unseen : unseen + m_timing.stewardship;
        if (!entry.lossTold && now - entry.heardAt > limit) {
            entry.lossTold = true;
            m_notify.lost(agent);
        }
    }
}

void agent_directory::start(const std::string& agent, const worker_life& life, const start_order& order,
    const std::function<void(start_outcome, std::string)>& done)
{
    const auto entry = m_rows.find(agent);
    if (entry == m_rows.end() || entry->second.connection == nullptr)
        return done(start_outcome::Refused, "no connection to the agent");
    const auto connection = entry->second.connection;
    auto request = connection->agent.startRequest();
    request.setEpoch(m_epoch);
    writeLife(request.initLife(), life);
    writeRun(request.initRun(), order.run);
    request.setText(order.text);
    request.setCheckpoint(order.checkpoint);
    auto sent = request.send().then(
        [done, alive = m_alive](capnp::Response<rpc::Agent::StartResults> answer) {
            if (!*alive)
                return;
            const auto outcome = answer.getOutcome();
            const auto known = outcome == rpc::StartOutcome::ACCEPTED ? start_outcome::Accepted
                : outcome == rpc::StartOutcome::REFUSED               ? start_outcome::Refused
                                                                      : start_outcome::Unknown;
            done(known, answer.getReason().cStr());
        },
        [done, alive = m_alive](kj::Exception&& error) {
            if (*alive)
                done(start_outcome::Unknown, error.getDescription().cStr());
        });
    m_loop.detach("start order", kj::mv(sent));
}

void agent_directory::stop(
    const std::string& agent, const worker_life& life, const run_id& run,
    const std::function<void(stop_outcome)>& done)
{
    const auto entry = m_rows.find(agent);
    if (entry == m_rows.end() || entry->second.connection == nullptr)
        return done(stop_outcome::Unanswered);
    const auto connection = entry->second.connection;
    auto request = connection->agent.stopRequest();
    request.setEpoch(m_epoch);
    writeLife(request.initLife(), life);
    writeRun(request.initRun(), run);
    auto sent = request.send().then(
        [done, alive = m_alive](capnp::Response<rpc::Agent::StopResults> answer) {
            if (!*alive)
                return;
            const auto outcome = answer.getOutcome();
            done(outcome == rpc::StopOutcome::ABSENT      ? stop_outcome::Absent
                    : outcome == rpc::StopOutcome::ENDING ? stop_outcome::Ending
                                                          : stop_outcome::Unanswered);
        },
        [done, alive = m_alive](kj::Exception&&) {
            if (*alive)
                done(stop_outcome::Unanswered);
        });
    m_loop.detach("stop order", kj::mv(sent));
}

void agent_directory::acknowledge(const std::string& agent, const worker_life& life, std::uint64_t upTo)
{
    const auto entry = m_rows.find(agent);
    if (entry == m_rows.end() || entry->second.connection == nullptr)
        return;
    auto request = entry->second.connection->agent.acknowledgeRequest();
    request.setEpoch(m_epoch);
    writeLife(request.initLife(), life);
    request.setUpTo(upTo);
    m_loop.detach("acknowledge", request.send().ignoreResult());
}

std::size_t agent_directory::connected() const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [](const auto& entry) { return entry.second.connection != nullptr; }));
}

} // namespace fleet
