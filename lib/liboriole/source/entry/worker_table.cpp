#include <oriole/entry/worker_table.hpp>
#include <oriole/helpers/log.hpp>

#include <utility>

namespace oriole {

namespace {

constexpr milliseconds silenceLimit { 3000 };
constexpr milliseconds checkPeriod { 250 };

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
