#include "harness/oracle.hpp"

#include <algorithm>
#include <set>

namespace oriole::harness {

namespace {

using std::chrono::milliseconds;

std::string jobOf(const std::string& task)
{
    const auto begin = task.find('/') + 1;
    return task.substr(begin, task.rfind('/') - begin);
}

bool runsAt(const task_run& task, milliseconds time)
{
    return task.started <= time && (!task.ended || time < *task.ended);
}

bool absentAt(const task_run& task, milliseconds time)
{
    return time < task.started || (task.ended && !task.finished && *task.ended <= time);
}

} // namespace

bool attempt_run::wholeFinished() const
{
    const bool all = std::all_of(tasks.begin(), tasks.end(), [](const auto& task) { return task.finished; });
    return all && tasks.size() == gangSize;
}

milliseconds attempt_run::partialTime() const
{
    std::set<milliseconds> changes { steadyNow() };
    for (const auto& task : tasks) {
        changes.insert(task.started);
        if (task.ended)
            changes.insert(*task.ended);
    }
    milliseconds total { 0 };
    for (auto begin = changes.begin(); std::next(begin) != changes.end(); ++begin) {
        const auto time = *begin;
        const bool some = std::any_of(tasks.begin(), tasks.end(), [&](const auto& task) { return runsAt(task, time); });
        const bool missing = tasks.size() < gangSize
            || std::any_of(tasks.begin(), tasks.end(), [&](const auto& task) { return absentAt(task, time); });
        if (some && missing)
            total += *std::next(begin) - time;
    }
    return total;
}

std::map<std::string, attempt_run> readAttempts(const nlohmann::json& events)
{
    std::map<std::string, attempt_run> attempts;
    for (const auto& event : events) {
        const auto name = event.value("task", "");
        auto& attempt = attempts[name];
        attempt.job = jobOf(name);
        attempt.gangSize = event.value("gang_size", std::size_t { 1 });
        const milliseconds time(event.value("monotonic_ms", std::int64_t { 0 }));
        const auto kind = event.value("event", "");
        const auto worker = event.value("worker", "");
        if (kind == "start") {
            attempt.tasks.push_back({ worker, time, std::nullopt, false });
            continue;
        }
        if (kind == "checkpoint" || kind == "throttle")
            continue;
        for (auto& task : attempt.tasks) {
            if (task.worker == worker && !task.ended) {
                task.ended = time;
                task.finished = kind == "finish";
            }
        }
    }
    return attempts;
}

std::vector<std::string> partialGangs(const nlohmann::json& events, milliseconds tolerance)
{
    std::vector<std::string> partial;
    for (const auto& [name, attempt] : readAttempts(events))
        if (attempt.partialTime() > tolerance)
            partial.push_back(name);
    return partial;
}

milliseconds steadyNow()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace oriole::harness
