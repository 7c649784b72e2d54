#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds retryPeriod { 200 };
constexpr milliseconds startTimeout { 2000 };
// Time for which the lead delays an answer (long polling) while the gang's state does not change. Both are well below
// the task lease.
constexpr milliseconds maxHoldBeforeStart { 200 };
constexpr milliseconds maxHoldWhileRunning { 1000 };
// A member whose last heartbeat is older may have lost its connection, and would not start with its gang.
constexpr milliseconds maxHeartbeatAgeAtStart { 500 };

// A member that is stopped because another one failed is not reported as failed itself.
task_phase memberEndFor(task_phase gangEnd)
{
    return gangEnd == task_phase::Lost ? task_phase::Lost : task_phase::Evicted;
}

} // namespace

void task_manager::gangHeartbeat(
    const attempt_id& id, const std::string& worker, task_phase phase, gang_handler done)
{
    if (!m_recovered) {
        done(notRun(failure_kind::Unavailable, "tasks of an earlier process are not known yet"));
        return;
    }

    const auto task = findRun(id);
    const auto* entry = m_ledger.find(id);
    if (task == nullptr || !task->gang.has_value()) {
        if (entry == nullptr)
            done(gang_answer { task_phase::Lost, "the lead does not know the attempt" });
        else
            done(gang_answer { isTerminal(entry->phase) ? entry->phase : task_phase::Committed, entry->reason });
        return;
    }

    const auto before = task->gang->answer();
    task->gang->recordPhase(worker, phase, "", now());
    advance(task);
    const auto after = task->gang->answer();
    const bool isUpToDate = after == before && !task->gang->ended()
        && (phase == after.phase || (phase == task_phase::Finished && after.phase == task_phase::Running));
    if (isUpToDate) {
        const auto hold = task->gang->started() ? maxHoldWhileRunning : maxHoldBeforeStart;
        task->pendingAnswers.push_back({ std::move(done), now() + hold, after });
    } else {
        done(after);
    }
    publish();
}

void task_manager::advance(const run_ptr& task)
{
    recordLedgerEnd(task);
    if (task->gang.has_value())
        advanceLead(task);
    else
        advanceMember(task);

    if (task->runtimeCallInFlight || task->nextRuntimeCall > now())
        return;
    if (task->state == task_state::Starting)
        startOrAbort(task);
    else if (task->state == task_state::Stopping)
        stopTask(task);
}

// Attempts that have not started are ended in the ledger directly: on expiry, eviction or release, or when the failure
// domain goes out. The run takes their end from there.
void task_manager::recordLedgerEnd(const run_ptr& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || !isTerminal(entry->phase) || task->state == task_state::Ended)
        return;
    task->state = task_state::Ended;
    task->endPhase = entry->phase;
    task->endedAt = now();
    task->nextHeartbeat = now();
}

void task_manager::advanceLead(const run_ptr& task)
{
    auto& gang = *task->gang;
    const auto* entry = m_ledger.find(task->attempt.id);
    if (!gang.ended().has_value() && entry != nullptr && isTerminal(entry->phase))
        gang.end(entry->phase, entry->reason);

    gang.endIfMemberSilent(now(), lease());
    if (gang.readyToStart(now(), maxHeartbeatAgeAtStart)) {
        if (const auto refusal = m_view.refusalReason(now())) {
            gang.end(task_phase::Released, *refusal);
        } else if (!m_ledger.allowStart(task->attempt.id)) {
            gang.end(task_phase::Released, "the lead may not start it");
        } else {
            gang.start();
            logEvent(log_level::Info, "gang_start", attemptLogFields(task->attempt));
            task->state = task_state::Starting;
            task->startDeadline = now() + startTimeout;
        }
    }

    if (const auto ended = gang.ended()) {
        if (ended->phase == task_phase::Finished)
            endRun(task, task_phase::Finished, "");
        else
            stopRun(task, ended->phase, ended->reason, ended->phase == task_phase::Evicted);
    }
    const bool changed = gang.answer() != task->lastAnswer;
    task->lastAnswer = gang.answer();
    answerHeartbeats(task, changed);
}

void task_manager::answerHeartbeats(const run_ptr& task, bool changed)
{
    std::vector<task_run::pending_answer> ready;
    const auto notYet = [&](const task_run::pending_answer& answer) { return !changed && answer.due > now(); };
    const auto split = std::stable_partition(task->pendingAnswers.begin(), task->pendingAnswers.end(), notYet);
    ready.assign(std::make_move_iterator(split), std::make_move_iterator(task->pendingAnswers.end()));
    task->pendingAnswers.erase(split, task->pendingAnswers.end());
    for (const auto& answer : ready)
        answer.done(task->gang->answer());
}

void task_manager::advanceMember(const run_ptr& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    const bool hasEnded = entry == nullptr || isTerminal(entry->phase);
    if (!hasEnded && now() - task->lastContact >= lease())
        stopRun(task, task_phase::Lost, "the lead of the gang is silent", false);
    if (!task->heartbeatInFlight && task->nextHeartbeat <= now())
        sendHeartbeat(task);
}

void task_manager::sendHeartbeat(const run_ptr& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    const auto phase = entry == nullptr ? task->endPhase : entry->phase;
    // A finished member repeats its end until that is acknowledged, because a restarted lead has lost it.
    const bool repeatsEnd = phase == task_phase::Finished && entry != nullptr;
    if (task->lastAcknowledgedPhase == phase && isTerminal(phase) && !repeatsEnd)
        return;

    task->heartbeatInFlight = true;
    const auto sentAt = now();
    m_peers.heartbeat(task->attempt.allocations.front().rpc, task->attempt.id, m_worker, phase,
        [this, task, sentAt, phase, alive = std::weak_ptr(m_alive)](const result<gang_answer>& answer) {
            if (!alive.expired())
                handleHeartbeatAnswer(task, sentAt, phase, answer);
        });
}

void task_manager::handleHeartbeatAnswer(
    const run_ptr& task, time_point sentAt, task_phase sentPhase, const result<gang_answer>& answer)
{
    task->heartbeatInFlight = false;
    if (!answer) {
        task->nextHeartbeat = now() + retryPeriod;
        return;
    }

    task->lastAcknowledgedPhase = sentPhase;
    task->lastContact = sentAt;
    applyLeadAnswer(task, sentAt, answer.value());

    const auto* entry = m_ledger.find(task->attempt.id);
    const bool newPhase = entry != nullptr && entry->phase != sentPhase;
    const auto period = sentPhase >= task_phase::Running ? maxHoldWhileRunning : maxHoldBeforeStart;
    task->nextHeartbeat = newPhase ? now() : sentAt + period;
    advance(task);
    publish();
}

void task_manager::applyLeadAnswer(const run_ptr& task, time_point sentAt, const gang_answer& answer)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isTerminal(entry->phase))
        return;

    if (isTerminal(answer.phase)) {
        const auto reason = "the gang has ended: " + std::string(toString(answer.phase))
            + (answer.reason.empty() ? "" : ", " + answer.reason);
        stopRun(task, memberEndFor(answer.phase), reason, answer.phase == task_phase::Evicted);
        return;
    }
    if (answer.phase != task_phase::Running || task->state != task_state::None)
        return;

    // The lead may have ended the gang since it sent an answer that took a whole lease to arrive.
    auto refusal = m_view.refusalReason(now());
    if (now() - sentAt >= lease())
        refusal = "the permission to start came too late";
    if (!refusal && !m_ledger.allowStart(task->attempt.id))
        refusal = "not committed";
    if (refusal) {
        endRun(task, task_phase::Released, *refusal);
        return;
    }
    task->state = task_state::Starting;
    task->startDeadline = now() + startTimeout;
}

} // namespace oriole
