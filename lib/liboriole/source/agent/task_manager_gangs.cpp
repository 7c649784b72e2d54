#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds retryPeriod { 200 };
constexpr milliseconds startPatience { 2000 };
// The lead holds an answer back that long when it has nothing new to tell. Both are well below the task lease.
constexpr milliseconds holdBeforeStart { 200 };
constexpr milliseconds holdWhileRunning { 1000 };
// A member that has been silent for longer may be cut off, and would miss the start of its gang.
constexpr milliseconds startRecency { 500 };

// A member stopped because another one failed has not failed itself.
task_phase endAsMember(task_phase gangEnd)
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
            done(gang_answer { isEnd(entry->phase) ? entry->phase : task_phase::Committed, entry->reason });
        return;
    }

    const auto before = task->gang->answer();
    task->gang->heard(worker, phase, "", now());
    advance(task);
    const auto after = task->gang->answer();
    const bool knows = after == before && !task->gang->ended()
        && (phase == after.phase || (phase == task_phase::Finished && after.phase == task_phase::Running));
    if (knows) {
        const auto hold = task->gang->started() ? holdWhileRunning : holdBeforeStart;
        task->held.push_back({ std::move(done), now() + hold, after });
    } else {
        done(after);
    }
    publish();
}

void task_manager::advance(const run_ref& task)
{
    noteEnd(task);
    if (task->gang.has_value())
        advanceLead(task);
    else
        advanceMember(task);

    if (task->callInFlight || task->nextCall > now())
        return;
    if (task->state == task_state::Starting)
        startOrGiveUp(task);
    else if (task->state == task_state::Stopping)
        stopTask(task);
}

// The ledger ends what has not started by itself: on expiry, eviction, release, or when the failure domain goes out.
void task_manager::noteEnd(const run_ref& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || !isEnd(entry->phase) || task->state == task_state::Ended)
        return;
    task->state = task_state::Ended;
    task->endPhase = entry->phase;
    task->endedAt = now();
    task->nextHeartbeat = now();
}

void task_manager::advanceLead(const run_ref& task)
{
    auto& gang = *task->gang;
    const auto* entry = m_ledger.find(task->attempt.id);
    if (!gang.ended().has_value() && entry != nullptr && isEnd(entry->phase))
        gang.end(entry->phase, entry->reason);

    gang.checkSilence(now(), lease());
    if (gang.readyToStart(now(), startRecency)) {
        if (const auto closed = m_view.refusal(now())) {
            gang.end(task_phase::Released, *closed);
        } else if (!m_ledger.allowStart(task->attempt.id)) {
            gang.end(task_phase::Released, "the lead may not start it");
        } else {
            gang.start();
            logEvent(log_level::Info, "gang_start", logFields(task->attempt));
            task->state = task_state::Starting;
            task->startDeadline = now() + startPatience;
        }
    }

    if (const auto ended = gang.ended()) {
        if (ended->phase == task_phase::Finished)
            endRun(task, task_phase::Finished, "");
        else
            stopRun(task, ended->phase, ended->reason, ended->phase == task_phase::Evicted);
    }
    const bool changed = gang.answer() != task->announced;
    task->announced = gang.answer();
    answerMembers(task, changed);
}

void task_manager::answerMembers(const run_ref& task, bool changed)
{
    std::vector<task_run::held_answer> ready;
    const auto notYet = [&](const task_run::held_answer& answer) { return !changed && answer.due > now(); };
    const auto split = std::stable_partition(task->held.begin(), task->held.end(), notYet);
    ready.assign(std::make_move_iterator(split), std::make_move_iterator(task->held.end()));
    task->held.erase(split, task->held.end());
    for (const auto& answer : ready)
        answer.done(task->gang->answer());
}

void task_manager::advanceMember(const run_ref& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    const bool over = entry == nullptr || isEnd(entry->phase);
    if (!over && now() - task->lastContact >= lease())
        stopRun(task, task_phase::Lost, "the lead of the gang is silent", false);
    if (!task->heartbeatInFlight && task->nextHeartbeat <= now())
        sendHeartbeat(task);
}

void task_manager::sendHeartbeat(const run_ref& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    const auto phase = entry == nullptr ? task->endPhase : entry->phase;
    // A finished member goes on telling while its end is not acknowledged, for a lead that restarts.
    const bool goesOn = phase == task_phase::Finished && entry != nullptr;
    if (task->told == phase && isEnd(phase) && !goesOn)
        return;

    task->heartbeatInFlight = true;
    const auto sentAt = now();
    m_peers.heartbeat(task->attempt.allocations.front().rpc, task->attempt.id, m_worker, phase,
        [this, task, sentAt, phase, alive = std::weak_ptr(m_alive)](const result<gang_answer>& answer) {
            if (!alive.expired())
                heartbeatAnswered(task, sentAt, phase, answer);
        });
}

void task_manager::heartbeatAnswered(
    const run_ref& task, time_point sentAt, task_phase told, const result<gang_answer>& answer)
{
    task->heartbeatInFlight = false;
    if (!answer) {
        task->nextHeartbeat = now() + retryPeriod;
        return;
    }

    task->told = told;
    task->lastContact = sentAt;
    followLead(task, sentAt, answer.value());

    const auto* entry = m_ledger.find(task->attempt.id);
    const bool newPhase = entry != nullptr && entry->phase != told;
    const auto period = told >= task_phase::Running ? holdWhileRunning : holdBeforeStart;
    task->nextHeartbeat = newPhase ? now() : sentAt + period;
    advance(task);
    publish();
}

void task_manager::followLead(const run_ref& task, time_point sentAt, const gang_answer& answer)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isEnd(entry->phase))
        return;

    if (isEnd(answer.phase)) {
        const auto reason = "the gang has ended: " + std::string(toString(answer.phase))
            + (answer.reason.empty() ? "" : ", " + answer.reason);
        stopRun(task, endAsMember(answer.phase), reason, answer.phase == task_phase::Evicted);
        return;
    }
    if (answer.phase != task_phase::Running || task->state != task_state::None)
        return;

    // An answer that was on its way for a whole lease no longer tells what the lead wants.
    auto closed = m_view.refusal(now());
    if (now() - sentAt >= lease())
        closed = "the permission to start came too late";
    if (!closed && !m_ledger.allowStart(task->attempt.id))
        closed = "not committed";
    if (closed) {
        endRun(task, task_phase::Released, *closed);
        return;
    }
    task->state = task_state::Starting;
    task->startDeadline = now() + startPatience;
}

} // namespace oriole
