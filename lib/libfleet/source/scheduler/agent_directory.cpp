#include <fleet/scheduler/agent_directory.hpp>

#include <fleet/rpc/convert.hpp>
#include <fleet/rpc/streams.hpp>
#include <fleet/rpc/text.hpp>

#include <oriole/helpers/log.hpp>

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// An agent reports each time it polls its backend server, at most 1.2 s apart. Without a report for this long the
// connection is replaced.
constexpr milliseconds reportTimeout { 2600 };
constexpr stream_limits limits { milliseconds(800), milliseconds(3000) };
constexpr milliseconds minReconnectDelay { 100 };
constexpr milliseconds maxReconnectDelay { 1000 };

} // namespace

/// @brief One connection to an agent: the stream, the RPC system on it and the agent's capability.
struct agent_directory::link {
    link(kj::Own<kj::AsyncIoStream> opened, std::uint64_t attachmentNumber)
        : number(attachmentNumber)
        , stream(kj::mv(opened))
        , client(*stream)
        , agent(client.bootstrap().castAs<rpc::Agent>())
    {
    }

    std::uint64_t number; ///< Tells the agent which of this scheduler's connections a message came on.
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    rpc::Agent::Client agent;
};

namespace {

/// @brief Receives the reports of one agent.
class report_service final : public rpc::Scheduler::Server {
public:
    /// @brief Returns whether the report was taken.
    using handler = std::function<bool(const worker_report&)>;

    report_service(std::function<bool()> isEpochValid, handler reported)
        : m_isEpochValid(std::move(isEpochValid))
        , m_reported(std::move(reported))
    {
    }

    kj::Promise<void> report(ReportContext context) override
    {
        if (!m_isEpochValid())
            return KJ_EXCEPTION(FAILED, "this scheduler may have been replaced");
        // The agent extends its leases on an answered report, so one that does not count here must not be answered.
        if (!m_reported(readReport(context.getParams().getReport())))
            return KJ_EXCEPTION(FAILED, "this connection was replaced");
        return kj::READY_NOW;
    }

private:
    std::function<bool()> m_isEpochValid;
    handler m_reported;
};

} // namespace

agent_directory::agent_directory(
    oriole::event_loop& loop, std::uint64_t epoch, directory_timing timing, handlers eventHandlers)
    : m_loop(loop)
    , m_epoch(epoch)
    , m_timing(timing)
    , m_handlers(std::move(eventHandlers))
{
}

agent_directory::~agent_directory()
{
    *m_alive = false;
}

void agent_directory::track(const std::string& agent)
{
    auto [state, added] = m_agents.try_emplace(agent);
    if (added)
        state->second.silence = silence_bound(m_loop.timers().now());
}

void agent_directory::announce(const std::string& agent, const std::string& address)
{
    track(agent);
    auto& state = m_agents[agent];
    if (state.address == address && (state.connection != nullptr || state.connecting))
        return;
    state.address = address;
    state.connection.reset();
    state.connecting = false;
    ++state.generation;
    connect(agent);
}

void agent_directory::forget(const std::string& agent)
{
    if (const auto state = m_agents.find(agent); state != m_agents.end())
        state->second.address.clear();
}

void agent_directory::connect(const std::string& agent)
{
    auto& state = m_agents[agent];
    if (state.address.empty() || state.connecting || state.connection != nullptr)
        return;
    state.connecting = true;
    const auto generation = state.generation;
    auto done = openStream(m_loop, state.address, limits)
                    .then(
                        [this, agent, generation, alive = m_alive](kj::Own<kj::AsyncIoStream> stream) {
                            if (*alive && m_agents[agent].generation == generation)
                                opened(agent, kj::mv(stream));
                        },
                        [this, agent, generation, alive = m_alive](kj::Exception&&) {
                            if (!*alive || m_agents[agent].generation != generation)
                                return;
                            m_agents[agent].connecting = false;
                            reconnectLater(agent);
                        });
    m_loop.detach("agent connect", kj::mv(done));
}

void agent_directory::opened(const std::string& agent, kj::Own<kj::AsyncIoStream> stream)
{
    auto& state = m_agents[agent];
    state.connecting = false;
    // Connections are part of the fencing tokens, which must not repeat in one epoch.
    if (state.attachments == incarnation_fence::maxAttachments)
        return m_handlers.connectionsExhausted(agent);
    auto connection = std::make_shared<link>(kj::mv(stream), ++state.attachments);
    state.connection = connection;
    state.connectedAt = m_loop.timers().now();
    attach(agent, connection);
    // A callback that owned the connection would keep it alive for ever.
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
    request.setAgent(toMessageText(agent));
    request.setAttachment(connection->number);
    // An agent may hold its capability longer than the scheduler lives.
    request.setScheduler(kj::heap<report_service>([this, alive = m_alive] { return *alive && m_handlers.isEpochValid(); },
        [this, agent, weak = std::weak_ptr(connection), alive = m_alive](const worker_report& report) {
            const auto held = weak.lock();
            return *alive && held != nullptr && reported(agent, held, report);
        }));
    auto attached = request.send().then(
        [this, agent, connection, alive = m_alive](capnp::Response<rpc::Agent::AttachResults> answer) {
            const std::string other = fromMessageText(answer.getOtherAgent());
            if (!*alive || other.empty())
                return;
            // The machine has left and its address belongs to another one; the agent is found again when it announces itself.
            oriole::logEvent(oriole::log_level::Warning, "agent_address_reused",
                { { "agent", agent }, { "address", m_agents[agent].address }, { "other_agent", other } });
            if (m_agents[agent].connection == connection)
                forget(agent);
            disconnected(agent, connection, "another agent has its address");
        },
        [this, agent, connection, alive = m_alive](kj::Exception&& error) {
            if (*alive)
                disconnected(agent, connection, error.getDescription().cStr());
        });
    m_loop.detach("attach", kj::mv(attached));
}

void agent_directory::reconnectLater(const std::string& agent)
{
    auto& state = m_agents[agent];
    const auto delay = std::min(maxReconnectDelay, minReconnectDelay * (1U << std::min(state.failures, 4U)));
    ++state.failures;
    m_loop.timers().subscribeOnce(delay, [this, agent, alive = m_alive](time_point) {
        if (*alive)
            connect(agent);
    });
}

void agent_directory::disconnected(
    const std::string& agent, const std::shared_ptr<link>& connection, const std::string& reason)
{
    auto& state = m_agents[agent];
    if (state.connection != connection)
        return;
    oriole::logEvent(oriole::log_level::Warning, "agent_disconnected", { { "agent", agent }, { "reason", reason } });
    // Destroyed in a later turn of the event loop, because this may be called from one of its own callbacks.
    m_loop.detach("drop connection", kj::evalLater([connection] {}));
    state.connection.reset();
    m_handlers.unreachable(agent);
    reconnectLater(agent);
}

bool agent_directory::reported(
    const std::string& agent, const std::shared_ptr<link>& connection, const worker_report& report)
{
    auto& state = m_agents[agent];
    if (state.connection != connection)
        return false;
    if (!state.silence.hasReported() || state.lossNotified || state.failures > 0) {
        oriole::logEvent(oriole::log_level::Info, "agent_reports",
            { { "agent", agent }, { "instance", report.worker.incarnation.instance }, { "active", report.active.size() },
                { "responsive", report.responsive } });
    }
    state.silence.reported(report.worker.incarnation, report.responsive, m_loop.timers().now());
    state.lossNotified = false;
    state.failures = 0;
    m_handlers.reported(agent, report);
    return true;
}

void agent_directory::check(time_point now)
{
    for (auto& [agent, state] : m_agents) {
        if (state.connection != nullptr && now - std::max(state.silence.lastReportAt(), state.connectedAt) > reportTimeout)
            disconnected(agent, std::shared_ptr<link>(state.connection), "no report in time");
        if (now <= state.silence.endsAt(m_timing))
            continue;
        if (!state.lossNotified)
            oriole::logEvent(oriole::log_level::Warning, "worker_lost", { { "agent", agent } });
        state.lossNotified = true;
        m_handlers.lost(agent);
    }
}

void agent_directory::start(const std::string& agent, const worker_incarnation& life, const start_order& order,
    const std::function<void(start_outcome, std::string)>& done)
{
    const auto state = m_agents.find(agent);
    if (state == m_agents.end() || state->second.connection == nullptr)
        return done(start_outcome::Refused, "no connection to the agent");
    const auto connection = state->second.connection;
    auto request = connection->agent.startRequest();
    request.setEpoch(m_epoch);
    writeLife(request.initLife(), life);
    writeRun(request.initRun(), order.run);
    request.setText(toMessageText(order.text));
    request.setCheckpoint(toMessageText(order.checkpoint));
    request.setAttachment(connection->number);
    auto sent = request.send().then(
        [done, alive = m_alive](capnp::Response<rpc::Agent::StartResults> answer) {
            if (!*alive)
                return;
            const auto outcome = answer.getOutcome();
            const auto known = outcome == rpc::StartOutcome::ACCEPTED ? start_outcome::Accepted
                : outcome == rpc::StartOutcome::REFUSED               ? start_outcome::Refused
                                                                      : start_outcome::Unknown;
            done(known, fromMessageText(answer.getReason()));
        },
        [done, alive = m_alive](kj::Exception&& error) {
            if (*alive)
                done(start_outcome::Unknown, error.getDescription().cStr());
        });
    m_loop.detach("start order", kj::mv(sent));
}

void agent_directory::stop(
    const std::string& agent, const worker_incarnation& life, const run_id& run,
    const std::function<void(stop_outcome)>& done)
{
    const auto state = m_agents.find(agent);
    if (state == m_agents.end() || state->second.connection == nullptr)
        return done(stop_outcome::Unanswered);
    const auto connection = state->second.connection;
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

void agent_directory::acknowledge(const std::string& agent, const worker_incarnation& life, std::uint64_t upTo)
{
    const auto state = m_agents.find(agent);
    if (state == m_agents.end() || state->second.connection == nullptr)
        return;
    auto request = state->second.connection->agent.acknowledgeRequest();
    request.setEpoch(m_epoch);
    writeLife(request.initLife(), life);
    request.setUpTo(upTo);
    m_loop.detach("acknowledge", request.send().ignoreResult());
}

std::size_t agent_directory::connected() const
{
    return static_cast<std::size_t>(
        std::count_if(m_agents.begin(), m_agents.end(), [](const auto& state) { return state.second.connection != nullptr; }));
}

} // namespace fleet
