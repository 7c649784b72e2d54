#include <oriole/entry/rpc_gang_gateway.hpp>
#include <oriole/rpc/convert.hpp>

#include <utility>

namespace oriole {

namespace {

// Longer than an eviction with its grace.
constexpr milliseconds callTimeout { 4000 };

failure notPresent(const std::string& worker)
{
    return notRun(failure_kind::Unavailable, "worker " + worker + " is not connected");
}

void write(capnp::List<rpc::AttemptId>::Builder target, const std::vector<attempt_id>& ids)
{
    for (unsigned i = 0; i < target.size(); ++i)
        rpc::write(target[i], ids[i]);
}

} // namespace

rpc_gang_gateway::rpc_gang_gateway(event_loop& loop, worker_table& workers, const control_keeper& control)
    : m_loop(loop)
    , m_workers(workers)
    , m_control(control)
{
}

template <typename Value>
void rpc_gang_gateway::deliver(
    const char* name, kj::Promise<Value> reply, std::function<void(result<Value>)> done)
{
    auto& timer = m_loop.io().provider->getTimer();
    auto bounded = timer.timeoutAfter(callTimeout.count() * kj::MILLISECONDS, kj::mv(reply));
    m_loop.detach(name,
        bounded.then([done](Value&& value) { done(std::move(value)); },
            [done](kj::Exception&& exception) {
                done(mayHaveRun(failure_kind::Broken, exception.getDescription().cStr()));
            }));
}

void rpc_gang_gateway::reserve(const std::string& worker, const attempt& wanted, std::chrono::milliseconds ttl,
    bool evictBorrowed, answer_handler done)
{
    if (!m_workers.present(worker)) {
        done(notPresent(worker));
        return;
    }

    auto request = m_workers.agent(worker).reserveRequest();
    rpc::write(request.initAttempt(), wanted);
    request.setTtlMs(static_cast<unsigned>(ttl.count()));
    request.setEvictBorrowed(evictBorrowed);
    auto revision = request.initRevision();
    revision.setConfiguration(m_control.state().configurationRevision());
    revision.setFailureDomains(m_control.state().failureDomains().revision);
    deliver<gang_answer>("reserve", request.send().then([](auto&& response) {
        return gang_answer { response.getAccepted(), response.getReason(), response.getMayHaveRun() };
    }),
        std::move(done));
}

void rpc_gang_gateway::commit(
    const std::string& worker, const attempt_id& id, std::uint64_t epoch, answer_handler done)
{
    if (!m_workers.present(worker)) {
        done(notPresent(worker));
        return;
    }

    auto request = m_workers.agent(worker).commitRequest();
    rpc::write(request.initId(), id);
    request.setEpoch(epoch);
    deliver<gang_answer>("commit", request.send().then([](auto&& response) {
        return gang_answer { response.getAccepted(), response.getReason(), response.getMayHaveRun() };
    }),
        std::move(done));
}

void rpc_gang_gateway::release(const std::string& worker, const std::vector<attempt_id>& ids, std::uint64_t epoch,
    const std::string& reason, reports_handler done)
{
    if (!m_workers.present(worker)) {
        done(notPresent(worker));
        return;
    }

    auto request = m_workers.agent(worker).releaseRequest();
    write(request.initIds(static_cast<unsigned>(ids.size())), ids);
    request.setEpoch(epoch);
    request.setReason(reason);
    deliver<std::vector<task_report>>(
        "release", request.send().then([](auto&& response) { return rpc::read(response.getReports()); }),
        std::move(done));
}

void rpc_gang_gateway::fence(
    const std::string& worker, const std::string& organisation, std::uint64_t epoch, reports_handler done)
{
    if (!m_workers.present(worker)) {
        done(notPresent(worker));
        return;
    }

    auto request = m_workers.agent(worker).fenceRequest();
    request.setOrganisation(organisation);
    request.setEpoch(epoch);
    deliver<std::vector<task_report>>(
        "fence", request.send().then([](auto&& response) { return rpc::read(response.getReports()); }),
        std::move(done));
}

void rpc_gang_gateway::evict(const std::string& worker, const std::vector<attempt_id>& ids,
    std::chrono::milliseconds grace, const std::string& reason)
{
    if (!m_workers.present(worker))
        return;

    auto request = m_workers.agent(worker).evictRequest();
    write(request.initIds(static_cast<unsigned>(ids.size())), ids);
    request.setGraceMs(static_cast<unsigned>(grace.count()));
    request.setReason(reason);
    m_loop.detach("evict", request.send().ignoreResult());
}

} // namespace oriole
