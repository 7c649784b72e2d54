#include <fleet/agent/agent_server.hpp>

#include <fleet/rpc/convert.hpp>
#include <fleet/rpc/streams.hpp>
#include <fleet/rpc/text.hpp>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/promise.hpp>

#include <kj/debug.h>

#include <utility>

namespace fleet {

namespace {

/// @brief Reports to a scheduler over the RPC connection on which it attached.
class rpc_scheduler_link final : public scheduler_link {
public:
    rpc_scheduler_link(oriole::event_loop& loop, rpc::Scheduler::Client scheduler)
        : m_loop(loop)
        , m_scheduler(std::make_unique<rpc::Scheduler::Client>(kj::mv(scheduler)))
    {
    }

    void report(const worker_report& report, std::function<void(bool)> answered) override
    {
        auto request = m_scheduler->reportRequest();
        writeReport(request.initReport(), report);
        auto sent = request.send().ignoreResult().then([answered] { answered(true); },
            [answered](kj::Exception&& error) {
                oriole::logEvent(oriole::log_level::Info, "report_failed", { { "error", error.getDescription().cStr() } });
                answered(false);
            });
        m_loop.detach("report", kj::mv(sent));
    }

private:
    oriole::event_loop& m_loop;
    std::unique_ptr<rpc::Scheduler::Client> m_scheduler;
};

struct start_result {
    start_outcome outcome = start_outcome::Unknown;
    std::string reason;
};

rpc::StartOutcome toWire(start_outcome outcome)
{
    switch (outcome) {
    case start_outcome::Accepted:
        return rpc::StartOutcome::ACCEPTED;
    case start_outcome::Refused:
        return rpc::StartOutcome::REFUSED;
    case start_outcome::Unknown:
        return rpc::StartOutcome::UNKNOWN;
    }
    return rpc::StartOutcome::UNKNOWN;
}

rpc::StopOutcome toWire(stop_outcome outcome)
{
    switch (outcome) {
    case stop_outcome::Absent:
        return rpc::StopOutcome::ABSENT;
    case stop_outcome::Ending:
        return rpc::StopOutcome::ENDING;
    case stop_outcome::Unanswered:
        return rpc::StopOutcome::UNANSWERED;
    }
    return rpc::StopOutcome::UNANSWERED;
}

class agent_service final : public rpc::Agent::Server {
public:
    agent_service(oriole::event_loop& loop, worker_agent& agent, oriole::metrics_registry& metrics, std::string name)
        : m_loop(loop)
        , m_agent(agent)
        , m_metrics(metrics)
        , m_name(std::move(name))
    {
    }

    kj::Promise<void> attach(AttachContext context) override
    {
        m_loop.syncTime();
        const attachment_id attachment { context.getParams().getEpoch(), context.getParams().getAttachment() };
        const std::string expected = fromMessageText(context.getParams().getAgent());
        // A scheduler of an earlier version names nobody.
        if (!expected.empty() && expected != m_name) {
            oriole::logEvent(oriole::log_level::Warning, "scheduler_looks_for_other_agent", { { "epoch", attachment.epoch }, { "agent", expected } });
            context.getResults().setOtherAgent(toMessageText(m_name));
            return kj::READY_NOW;
        }
        auto link = std::make_shared<rpc_scheduler_link>(m_loop, context.getParams().getScheduler());
        const bool accepted = m_agent.attach(attachment, std::move(link));
        oriole::logEvent(oriole::log_level::Info, "scheduler_attached",
            { { "epoch", attachment.epoch }, { "attachment", attachment.number }, { "accepted", accepted } });
        if (!accepted)
            return KJ_EXCEPTION(FAILED, "lower epoch or replaced connection");
        return kj::READY_NOW;
    }

    kj::Promise<void> start(StartContext context) override
    {
        m_loop.syncTime();
        const auto params = context.getParams();
        auto run = readRun(params.getRun());
        if (!run)
            return KJ_EXCEPTION(FAILED, "malformed task name");
        start_order order { *run, fromMessageText(params.getText()), fromMessageText(params.getCheckpoint()) };
        auto answer = oriole::makePromiseCallback<start_result>();
        m_agent.start({ params.getEpoch(), params.getAttachment() }, readLife(params.getLife()), std::move(order),
            [this, run = *run, epoch = params.getEpoch(), life = readLife(params.getLife()), resolve = answer.resolve](
                start_outcome outcome, std::string reason) {
                m_metrics.counter("oriole_start_orders_total", { { "outcome", std::string(toString(outcome)) } }).add();
                oriole::logEvent(oriole::log_level::Info, "start_order",
                    { { "task", toString(run.task) }, { "attempt", run.attempt }, { "epoch", epoch },
                        { "born_unix_ms", life.startedUnixMs }, { "outcome", toString(outcome) }, { "reason", reason } });
                resolve({ outcome, std::move(reason) });
            });
        return answer.promise.then([context](const start_result& result) mutable {
            context.getResults().setOutcome(toWire(result.outcome));
            context.getResults().setReason(toMessageText(result.reason));
        });
    }

    kj::Promise<void> stop(StopContext context) override
    {
        m_loop.syncTime();
        const auto params = context.getParams();
        auto run = readRun(params.getRun());
        if (!run)
            return KJ_EXCEPTION(FAILED, "malformed task name");
        auto answer = oriole::makePromiseCallback<stop_outcome>();
        m_agent.stop(params.getEpoch(), readLife(params.getLife()), *run, answer.resolve);
        return answer.promise.then([this, context, run = *run](stop_outcome outcome) mutable {
            m_metrics.counter("oriole_stop_orders_total", { { "outcome", std::string(toString(outcome)) } }).add();
            oriole::logEvent(oriole::log_level::Info, "stop_order",
                { { "task", toString(run.task) }, { "attempt", run.attempt }, { "outcome", toString(outcome) } });
            context.getResults().setOutcome(toWire(outcome));
        });
    }

    kj::Promise<void> acknowledge(AcknowledgeContext context) override
    {
        const auto params = context.getParams();
        m_agent.acknowledge(params.getEpoch(), readLife(params.getLife()), params.getUpTo());
        return kj::READY_NOW;
    }

private:
    oriole::event_loop& m_loop;
    worker_agent& m_agent;
    oriole::metrics_registry& m_metrics;
    std::string m_name;
};

} // namespace

struct agent_server::state {
    state(oriole::event_loop& loop, worker_agent& agent, oriole::metrics_registry& metrics, const std::string& name,
        const std::string& address, std::shared_ptr<client_gate> clients)
        : listener(loop, address, kj::heap<agent_service>(loop, agent, metrics, name), std::move(clients))
    {
    }

    rpc_listener listener;
};

agent_server::agent_server(oriole::event_loop& loop, worker_agent& agent, oriole::metrics_registry& metrics,
    const std::string& name, const std::string& address, std::shared_ptr<client_gate> clients)
    : m_state(std::make_unique<state>(loop, agent, metrics, name, address, std::move(clients)))
{
}

agent_server::~agent_server() = default;

} // namespace fleet
