#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds releaseTimeout { 2000 };

} // namespace

struct task_manager::pending_reserve {
    attempt_id id;
    reserve_handler done;
};

struct task_manager::pending_release {
    std::vector<attempt_id> ids;
    std::vector<task_report> unknown; ///< Reports of attempts that the ledger does not hold.
    reports_handler done;
    time_point deadline;
};

task_manager::task_manager(std::string worker, const resources& capacity, timer_service& timers, runtime_client& runtime,
    peer_gateway& peers, const agent_view& view)
    : m_worker(std::move(worker))
    , m_timers(timers)
    , m_runtime(runtime)
    , m_peers(peers)
    , m_view(view)
    , m_ledger(m_worker, capacity)
    , m_alive(std::make_shared<bool>(true))
    , m_evictionGrace(view.limits().evictionGrace)
{
    m_tick = m_timers.subscribeEvery(tickPeriod, [this](time_point) { tick(); });
}

task_manager::~task_manager()
{
    m_timers.cancel(m_tick);
}

void task_manager::reserve(const attempt& requested, milliseconds ttl, bool evictBorrowed, reserve_handler done)
{
    ++m_counters.reservations;
    reservation_answer answer;
    const auto refusal = m_recovered ? m_view.refusalReason(now()) : "tasks of an earlier process are not known yet";
    if (refusal.has_value()) {
        answer.reason = *refusal;
        answer.epoch = m_ledger.fence(requested.id.organisation, 0);
        answer.mayHaveRun = m_ledger.mayHaveRun(requested.id);
    } else {
        answer = m_ledger.reserve(requested, ttl, evictBorrowed, now());
    }

    auto fields = attemptLogFields(requested);
    fields["state"] = answer.state == reservation_state::Accepted ? "accepted"
        : answer.state == reservation_state::Waiting              ? "waiting"
                                                                  : "refused";
    fields["reason"] = answer.reason;
    fields["evicts"] = answer.evict.size();
    logEvent(log_level::Info, "reservation", fields);

    if (answer.state == reservation_state::Refused)
        ++m_counters.reservationsRefused;
    if (answer.state != reservation_state::Waiting) {
        done(answer);
        publish();
        return;
    }

    m_pendingReserves.push_back({ requested.id, std::move(done) });
    for (const auto& id : answer.evict) {
        if (const auto task = findRun(id))
            evictRun(task, "evicted for " + toString(requested.id));
    }
    publish();
}

commit_answer task_manager::commit(const attempt_id& id, std::uint64_t epoch)
{
    if (const auto refusal = m_view.refusalReason(now()); refusal && !m_ledger.mayHaveRun(id)) {
        logEvent(log_level::Info, "commit_refused", { { "attempt", toString(id) }, { "reason", *refusal } });
        return { false, *refusal, !m_recovered };
    }

    auto answer = m_ledger.commit(id, epoch, now());
    logEvent(log_level::Info, answer.accepted ? "committed" : "commit_refused",
        { { "attempt", toString(id) }, { "epoch", epoch }, { "reason", answer.reason } });

    const auto* entry = m_ledger.find(id);
    if (answer.accepted && entry != nullptr && entry->phase == task_phase::Committed && findRun(id) == nullptr)
        advance(addRun(entry->attempt, entry->localAllocation));
    publish();
    return answer;
}

void task_manager::release(
    const std::vector<attempt_id>& ids, std::uint64_t epoch, const std::string& reason, reports_handler done)
{
    pending_release pending { {}, {}, std::move(done), now() + releaseTimeout };
    for (const auto& id : ids) {
        const auto reports = m_ledger.release(id, epoch, reason, now());
        if (reports.empty())
            continue;
        logEvent(log_level::Info, "released",
            { { "attempt", toString(id) }, { "reason", reason }, { "phase", toString(reports.front().phase) },
                { "may_have_run", reports.front().mayHaveRun } });
        if (m_ledger.find(id) == nullptr) {
            pending.unknown.push_back(reports.front());
            pending.unknown.back().mayHaveRun |= !m_recovered;
            continue;
        }
        pending.ids.push_back(id);
        const auto task = findRun(id);
        if (task == nullptr)
            continue;
        if (task->gang.has_value())
            task->gang->end(reports.front().mayHaveRun ? task_phase::Evicted : task_phase::Released, reason);
        stopRun(task, task_phase::Evicted, reason, false);
        advance(task);
    }
    m_pendingReleases.push_back(std::move(pending));
    publish();
}

std::vector<task_report> task_manager::fence(const std::string& organisation, std::uint64_t& epoch)
{
    epoch = m_ledger.fence(organisation, epoch);
    std::vector<task_report> held;
    for (const auto& report : m_ledger.reports(now())) {
        if (report.attempt.id.organisation == organisation)
            held.push_back(report);
    }
    logEvent(log_level::Info, "fenced",
        { { "organisation", organisation }, { "epoch", epoch }, { "attempts", held.size() } });
    return held;
}

void task_manager::evict(const std::vector<attempt_id>& ids, milliseconds grace, const std::string& reason)
{
    if (grace > milliseconds::zero())
        m_evictionGrace = grace;
    for (const auto& id : ids) {
        const auto* entry = m_ledger.find(id);
        if (entry == nullptr || isTerminal(entry->phase))
            continue;
        if (entry->attempt.guaranteed && !m_view.isOut()) {
            logEvent(log_level::Warning, "eviction_refused", { { "attempt", toString(id) }, { "reason", reason } });
            continue;
        }
        if (!entry->mayHaveRun)
            m_ledger.end(id, task_phase::Released, reason);
        if (const auto task = findRun(id))
            evictRun(task, reason);
    }
    publish();
}

void task_manager::evictAll(milliseconds grace, const std::string& reason)
{
    m_evictionGrace = grace;
    std::vector<attempt_id> active;
    for (const auto& [id, entry] : m_ledger.entries()) {
        if (!isTerminal(entry.phase))
            active.push_back(id);
    }
    for (const auto& id : active) {
        if (!m_ledger.find(id)->mayHaveRun)
            m_ledger.end(id, task_phase::Released, reason);
        if (const auto task = findRun(id))
            evictRun(task, reason);
    }
    publish();
}

void task_manager::acknowledge(const std::vector<attempt_id>& ids)
{
    for (const auto& id : ids) {
        const auto* entry = m_ledger.find(id);
        if (entry != nullptr && isTerminal(entry->phase) && entry->mayHaveRun)
            m_recordsToDelete.push_back(toString(id));
    }
    m_ledger.removeEnded(ids);
    deleteRuntimeRecords();
    publish();
}

void task_manager::viewChanged()
{
    m_evictionGrace = m_view.limits().evictionGrace;
    m_ledger.setFailureDomainOut(m_view.isOut());
    tick();
}

std::vector<task_report> task_manager::reports() const
{
    return m_ledger.reports(now());
}

bool task_manager::idle() const
{
    const auto& held = m_ledger.entries();
    return std::all_of(held.begin(), held.end(), [](const auto& item) { return isTerminal(item.second.phase); });
}

task_manager::run_ptr task_manager::findRun(const attempt_id& id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : found->second;
}

task_manager::run_ptr task_manager::addRun(const attempt& attempt, const allocation& localAllocation)
{
    auto task = std::make_shared<task_run>();
    task->attempt = attempt;
    task->localAllocation = localAllocation;
    task->taskId = toString(attempt.id);
    task->lastContact = now();
    task->nextHeartbeat = now();
    task->lastRenewed = now();
    task->leaseExpiresAt = now() + lease();
    if (attempt.allocations.front().worker == m_worker) {
        task->gang.emplace(attempt, m_worker, now());
        task->gang->recordPhase(m_worker, task_phase::Committed, "", now());
    }
    m_runs[attempt.id] = task;
    return task;
}

void task_manager::tick()
{
    if (m_runs.empty() && m_ledger.entries().empty() && m_pendingReleases.empty())
        return;

    m_ledger.expireReservations(now());
    const auto runs = m_runs;
    for (const auto& [id, task] : runs)
        advance(task);
    renewLeases();
    removeEndedRuns();
    publish();
}

void task_manager::publish()
{
    answerPendingCalls();
    if (m_publishedVersion == m_ledger.version())
        return;
    m_publishedVersion = m_ledger.version();
    if (m_onChange)
        m_onChange();
}

void task_manager::answerPendingCalls()
{
    if (m_answeringCalls)
        return;
    m_answeringCalls = true;

    std::vector<pending_reserve> reserves;
    reserves.swap(m_pendingReserves);
    for (auto& pending : reserves) {
        const auto* entry = m_ledger.find(pending.id);
        reservation_answer answer;
        answer.epoch = m_ledger.fence(pending.id.organisation, 0);
        if (entry != nullptr && !isTerminal(entry->phase)) {
            if (entry->waiting) {
                m_pendingReserves.push_back(std::move(pending));
                continue;
            }
            answer.state = reservation_state::Accepted;
            answer.mayHaveRun = entry->mayHaveRun;
        } else {
            answer.reason = entry == nullptr ? "the attempt has ended" : entry->reason;
            answer.mayHaveRun = entry != nullptr && entry->mayHaveRun;
        }
        logEvent(log_level::Info, "reservation",
            { { "attempt", toString(pending.id) }, { "reason", answer.reason },
                { "state", answer.state == reservation_state::Accepted ? "accepted" : "refused" } });
        pending.done(answer);
    }

    std::vector<pending_release> releases;
    releases.swap(m_pendingReleases);
    for (auto& pending : releases) {
        const auto hasEnded = [&](const attempt_id& id) {
            const auto* entry = m_ledger.find(id);
            return entry == nullptr || isTerminal(entry->phase);
        };
        if (now() < pending.deadline && !std::all_of(pending.ids.begin(), pending.ids.end(), hasEnded)) {
            m_pendingReleases.push_back(std::move(pending));
            continue;
        }
        auto reports = std::move(pending.unknown);
        for (const auto& id : pending.ids)
            reports.push_back(m_ledger.report(id, now()));
        pending.done(reports);
    }
    m_answeringCalls = false;
}

void task_manager::removeEndedRuns()
{
    std::erase_if(m_runs, [&](const auto& item) {
        const auto& task = item.second;
        const auto* entry = m_ledger.find(item.first);
        if (entry != nullptr && !isTerminal(entry->phase))
            return false;
        if (!task->pendingAnswers.empty() || task->runtimeCallInFlight)
            return false;
        if (entry != nullptr && entry->phase == task_phase::Finished && !task->gang.has_value())
            return false;
        // Kept for two leases, so that heartbeats can still report the end to the other members.
        return now() - task->endedAt > 2 * lease();
    });
}

} // namespace oriole
