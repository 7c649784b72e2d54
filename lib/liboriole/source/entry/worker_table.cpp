#include <oriole/entry/worker_table.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds silenceLimit { 3000 };
constexpr milliseconds checkPeriod { 250 };
constexpr std::chrono::minutes forgetAfter { 10 };

// The last report showed tasks, which go on as long as their gang holds, with or without any entry.
constexpr std::chrono::hours forgetWithTasksAfter { 24 };

bool differs(const worker_report& next, const worker_report& last)
{
    return next.tasksChanged || next.leaving != last.leaving || next.failuresInRow != last.failuresInRow;
}

bool mayStillRun(const worker_record& record)
{
    const auto& tasks = record.report.tasks;
    return std::any_of(tasks.begin(), tasks.end(), [](const auto& task) { return !isTerminal(task.phase); });
}

} // namespace

worker_table::worker_table(timer_service& timers)
    : m_timers(timers)
{
    m_timers.subscribeEvery(checkPeriod, [this](time_point now) { findSilent(now); });
}

std::uint64_t worker_table::announced(const worker_info& info, rpc::Agent::Client agent)
{
    auto& record = m_workers[info.name];
    record.info = info;
    record.report = {};
    record.session = m_nextSession++;
    record.lastHeard = m_timers.now();
    record.present = true;
    m_agents.insert_or_assign(info.name, kj::mv(agent));
    logEvent(log_level::Info, "worker_joined",
        { { "worker", info.name }, { "failure_domain", info.failureDomain }, { "rack", info.rack } });
    joined.emit(record);
    return record.session;
}

bool worker_table::reported(const std::string& worker, std::uint64_t session, worker_report report)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.session != session)
        return false;

    auto& record = found->second;
    record.changed = !record.present || differs(report, record.report);
    if (!report.tasksChanged)
        report.tasks = std::move(record.report.tasks);
    record.report = std::move(report);
    record.lastHeard = m_timers.now();
    if (!record.present) {
        record.present = true;
        joined.emit(record);
    }
    heard.emit(record);
    return true;
}

void worker_table::disconnected(const std::string& worker, std::uint64_t session)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.session != session)
        return;
    markAbsent(found->second);
}

const worker_record* worker_table::find(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool worker_table::present(const std::string& worker) const
{
    const auto* record = find(worker);
    return record != nullptr && record->present;
}

rpc::Agent::Client worker_table::agent(const std::string& worker)
{
    return m_agents.at(worker);
}

void worker_table::findSilent(time_point now)
{
    for (auto& [name, record] : m_workers) {
        if (record.present && now - record.lastHeard > silenceLimit)
            markAbsent(record);
    }
    forgetLongSilent(now);
}

void worker_table::forgetLongSilent(time_point now)
{
    std::vector<std::string> forgettable;
    for (const auto& [name, record] : m_workers) {
        const auto silence = now - record.lastHeard;
        if (!record.present && silence > forgetAfter && (silence > forgetWithTasksAfter || !mayStillRun(record)))
            forgettable.push_back(name);
    }
    for (const auto& name : forgettable) {
        m_workers.erase(name);
        m_agents.erase(name);
        logEvent(log_level::Info, "worker_forgotten", { { "worker", name } });
        forgotten.emit(name);
    }
}

void worker_table::markAbsent(worker_record& record)
{
    if (!record.present)
        return;
    record.present = false;
    logEvent(log_level::Warning, "worker_left", { { "worker", record.info.name } });
    left.emit(record.info.name);
}

} // namespace oriole
