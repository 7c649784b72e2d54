#include <oriole/entry/job_driver.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

// How long past its lease a silent lead is waited for. What may not run twice gets more time to be heard again.
constexpr milliseconds repeatableMargin { 2000 };
constexpr milliseconds unrepeatableMargin { 15000 };

attempt_outcome outcomeOf(const task_report& report)
{
    switch (report.phase) {
    case task_phase::Finished:
        return attempt_outcome::Finished;
    case task_phase::Failed:
        return attempt_outcome::Failed;
    case task_phase::Evicted:
        return attempt_outcome::Evicted;
    case task_phase::Released:
        return attempt_outcome::Released;
    default:
        return attempt_outcome::Lost;
    }
}

const std::string& leadOf(const attempt& value)
{
    return value.allocations.front().worker;
}

nlohmann::json workersOf(const attempt& value)
{
    auto names = nlohmann::json::array();
    for (const auto& given : value.allocations)
        names.push_back(given.worker);
    return names;
}

std::string_view toString(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Finished:
        return "finished";
    case attempt_outcome::Failed:
        return "failed";
    case attempt_outcome::Evicted:
        return "evicted";
    case attempt_outcome::Refused:
        return "refused";
    case attempt_outcome::Lost:
        return "lost";
    case attempt_outcome::Released:
        return "released";
    }
    return "lost";
}

} // namespace

job_driver::job_driver(gang_gateway& agents, worker_table& workers, timer_service& timers, recorder record)
    : m_agents(agents)
    , m_workers(workers)
    , m_timers(timers)
    , m_record(std::move(record))
{
}

void job_driver::start(const start_attempt& command)
{
    const auto& value = command.attempt;
    logEvent(log_level::Info, "placement_decision",
        { { "organisation", value.id.organisation }, { "job", value.id.job }, { "attempt", value.id.number },
            { "workers", workersOf(value) }, { "guaranteed", value.guaranteed }, { "evict", command.evictBorrowed },
            { "rule", command.reason.rule }, { "candidates", command.reason.candidates },
            { "score", command.reason.score } });

    auto& active = m_attempts[value.id];
    active.value = value;
    active.answersMissing = static_cast<unsigned>(value.allocations.size());
    active.leadIncarnation = incarnationOf(leadOf(value));
    active.leadHeard = m_timers.now();

    // The handlers may run at once and end the attempt: work on a copy.
    const auto wanted = value;
    for (const auto& given : wanted.allocations) {
        m_agents.reserve(given.worker, wanted, m_times.reservationTtl, command.evictBorrowed,
            [this, id = wanted.id, worker = given.worker](
                const result<gang_answer>& answer) { reserveAnswered(id, worker, answer); });
    }
}

void job_driver::adopt(const attempt& value)
{
    auto& active = m_attempts[value.id];
    active.value = value;
    active.at = step::Watching;
    active.mayHaveRun = true;
    active.leadHeard = m_timers.now();
}

void job_driver::evict(const evict_attempt& command)
{
    const auto found = m_attempts.find(command.id);
    if (found == m_attempts.end())
        return;
    logEvent(log_level::Info, "eviction_decision",
        { { "organisation", command.id.organisation }, { "job", command.id.job }, { "reason", command.reason } });
    for (const auto& given : found->second.value.allocations)
        m_agents.evict(given.worker, { command.id }, m_times.evictionGrace, command.reason);
}

void job_driver::stop(const stop_attempt& command)
{
    const auto found = m_attempts.find(command.id);
    if (found == m_attempts.end())
        return;

    found->second.stopWanted = true;
    found->second.reason = command.reason;
    // Before the attempt is watched, the answer that is due next releases it.
    if (found->second.at == step::Watching)
        releaseMembers(found->second.value, command.reason);
}

void job_driver::reserveAnswered(
    const attempt_id& id, const std::string& worker, const result<gang_answer>& answer)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.at != step::Reserving)
        return;

    auto& active = found->second;
    --active.answersMissing;
    if (!answer || !answer.value().accepted) {
        active.refused = true;
        active.refusedBy = worker;
        active.reason = answer ? answer.value().reason : answer.error().reason;
        logEvent(log_level::Info, "reservation_refused",
            { { "organisation", id.organisation }, { "job", id.job }, { "attempt", id.number }, { "worker", worker },
                { "reason", active.reason } });
    }
    if (active.answersMissing > 0)
        return;
    if (active.refused || active.stopWanted) {
        release(id, active.refused ? attempt_outcome::Refused : attempt_outcome::Released);
        return;
    }
    record(id);
}

void job_driver::record(const attempt_id& id)
{
    auto& active = m_attempts[id];
    active.at = step::Recording;
    m_record(active.value, [this, id](const result<bool>& recorded) {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end() || found->second.at != step::Recording)
            return;
        if (!recorded || found->second.stopWanted) {
            found->second.reason = recorded ? found->second.reason : recorded.error().reason;
            release(id, attempt_outcome::Released);
            return;
        }
        commit(id);
    });
}

void job_driver::commit(const attempt_id& id)
{
    auto& active = m_attempts[id];
    active.at = step::Committing;
    active.mayHaveRun = true;
    active.answersMissing = static_cast<unsigned>(active.value.allocations.size());
    active.leadHeard = m_timers.now();

    const auto value = active.value;
    for (const auto& given : value.allocations) {
        m_agents.commit(given.worker, id, value.epoch,
            [this, id, worker = given.worker](
                const result<gang_answer>& answer) { commitAnswered(id, worker, answer); });
    }
}

void job_driver::commitAnswered(const attempt_id& id, const std::string& worker, const result<gang_answer>& answer)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.at != step::Committing)
        return;

    auto& active = found->second;
    --active.answersMissing;
    if (answer && !answer.value().accepted && !answer.value().mayHaveRun) {
        // A gang starts only when every member is committed; this one never will be.
        active.refused = true;
        active.refusedBy = worker;
        active.reason = answer.value().reason;
        active.mayHaveRun = false;
    }
    if (active.answersMissing > 0)
        return;
    if (active.refused || active.stopWanted) {
        release(id, active.refused ? attempt_outcome::Refused : attempt_outcome::Released);
        return;
    }
    active.at = step::Watching;
    active.leadHeard = m_timers.now();
}

void job_driver::release(const attempt_id& id, attempt_outcome outcome)
{
    auto& active = m_attempts[id];
    active.at = step::Releasing;
    active.answersMissing = static_cast<unsigned>(active.value.allocations.size());

    const auto value = active.value;
    const auto reason = active.reason;
    for (const auto& given : value.allocations) {
        m_agents.release(given.worker, { id }, value.epoch, reason,
            [this, id, worker = given.worker, outcome](const result<std::vector<task_report>>& reports) {
                releaseAnswered(id, worker, outcome, reports);
            });
    }
}

void job_driver::releaseAnswered(const attempt_id& id, const std::string& worker, attempt_outcome outcome,
    const result<std::vector<task_report>>& reports)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.at != step::Releasing)
        return;

    auto& active = found->second;
    --active.answersMissing;
    // The lead alone can say that nobody was told to start, if it is still the process that took the commit.
    const bool trusted = worker == leadOf(active.value) && incarnationOf(worker) == active.leadIncarnation;
    if (reports && trusted) {
        for (const auto& report : reports.value()) {
            if (report.attempt.id == id)
                active.mayHaveRun = active.mayHaveRun && report.mayHaveRun;
        }
    }
    if (active.answersMissing > 0)
        return;
    const auto refusedBy = active.refusedBy;
    finish(id, active.mayHaveRun ? attempt_outcome::Lost : outcome, active.mayHaveRun, refusedBy);
}

void job_driver::releaseMembers(const attempt& value, const std::string& reason)
{
    const auto members = value;
    for (const auto& given : members.allocations) {
        m_agents.release(
            given.worker, { members.id }, members.epoch, reason, [](const result<std::vector<task_report>>&) {});
    }
}

void job_driver::workerHeard(const worker_record& worker)
{
    std::vector<std::pair<attempt_id, std::optional<task_report>>> led;
    for (auto& [id, active] : m_attempts) {
        if (leadOf(active.value) != worker.info.name)
            continue;
        active.leadHeard = m_timers.now();
        if (active.at != step::Watching)
            continue;
        const auto& tasks = worker.report.tasks;
        const auto found = std::find_if(
            tasks.begin(), tasks.end(), [&, &wanted = id](const auto& task) { return task.attempt.id == wanted; });
        led.emplace_back(id, found == tasks.end() ? std::nullopt : std::optional(*found));
    }

    for (const auto& [id, report] : led) {
        if (report) {
            leadReported(id, *report);
            continue;
        }
        // The lead answered the commit and no longer knows the attempt: its agent has lost it.
        releaseMembers(m_attempts[id].value, "lost by its lead");
        finish(id, attempt_outcome::Lost, true, worker.info.name);
    }
}

void job_driver::leadReported(const attempt_id& id, const task_report& report)
{
    auto& active = m_attempts[id];
    if (report.phase == task_phase::Running && !active.toldRunning) {
        active.toldRunning = true;
        active.runningSince = m_timers.now();
        running.emit(id);
        return;
    }
    if (!isTerminal(report.phase))
        return;

    const auto outcome = outcomeOf(report);
    const auto value = active.value;
    if (outcome != attempt_outcome::Finished)
        releaseMembers(value, "the gang has ended");
    finish(id, outcome, report.mayHaveRun, outcome == attempt_outcome::Failed ? failedWorker(value) : "");
}

void job_driver::findLost(time_point now)
{
    std::vector<attempt_id> lost;
    for (const auto& [id, active] : m_attempts) {
        if (active.at != step::Watching || m_workers.present(leadOf(active.value)))
            continue;
        const auto margin = active.value.repeatable ? repeatableMargin : unrepeatableMargin;
        if (now - active.leadHeard > m_times.taskLease + margin)
            lost.push_back(id);
    }
    for (const auto& id : lost) {
        const auto value = m_attempts[id].value;
        releaseMembers(value, "its lead is silent");
        finish(id, attempt_outcome::Lost, true, leadOf(value));
    }
}

void job_driver::dropOrganisation(const std::string& organisation)
{
    std::erase_if(m_attempts, [&](const auto& item) { return item.first.organisation == organisation; });
}

void job_driver::finish(
    const attempt_id& id, attempt_outcome outcome, bool mayHaveRun, const std::string& worker)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;

    attempt_ended what { id, outcome, mayHaveRun, worker, milliseconds::zero() };
    if (const auto& since = found->second.runningSince; since)
        what.ran = std::chrono::duration_cast<milliseconds>(m_timers.now() - *since);
    logEvent(log_level::Info, "attempt_ended",
        { { "organisation", id.organisation }, { "job", id.job }, { "attempt", id.number },
            { "outcome", toString(outcome) }, { "may_have_run", mayHaveRun }, { "worker", worker },
            { "ran_ms", what.ran.count() }, { "reason", found->second.reason } });
    m_attempts.erase(found);
    ended.emit(what);
}

std::uint64_t job_driver::incarnationOf(const std::string& worker) const
{
    const auto* record = m_workers.find(worker);
    return record == nullptr ? 0 : record->info.incarnation;
}

std::string job_driver::failedWorker(const attempt& value) const
{
    for (const auto& given : value.allocations) {
        const auto* worker = m_workers.find(given.worker);
        if (worker == nullptr)
            continue;
        for (const auto& task : worker->report.tasks) {
            if (task.attempt.id == value.id && task.phase == task_phase::Failed)
                return given.worker;
        }
    }
    return leadOf(value);
}

} // namespace oriole
