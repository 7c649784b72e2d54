/// @file
/// @brief Simulated agents, for tests and measurements of the decision core alone.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/events.hpp>
#include <oriole/core/place.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriole::test {

/// @brief State of one attempt.
struct fake_gang {
    attempt what;
    std::size_t owner = 0; ///< Entry that started it.
    task_phase phase = task_phase::Reserved;
    time_point since {}; ///< Time of the reservation, later start of the run.
    time_point next {}; ///< Time of the next change of the phase.
    milliseconds length { 0 }; ///< Run time of its tasks.
    bool ran = false; ///< Its tasks have started.
    std::string fails; ///< Worker on which it will fail; empty if it succeeds.
};

struct fake_worker {
    worker_info info;
    bool silent = false;
    bool fails = false; ///< Fails every task that it starts.
    unsigned failuresInRow = 0;
};

/// @brief Event and the index of the entry that receives it.
using addressed_event = std::pair<std::size_t, event>;

/// @brief Accepts or refuses whole gangs and advances their phases with simulated time.
class fake_fleet {
public:
    milliseconds latency { 5 }; ///< Time from a reservation to the start of the tasks.
    milliseconds grace { 500 }; ///< Time from the beginning of an eviction to its end.
    std::map<std::string, fake_worker> workers;
    std::map<attempt_id, fake_gang> gangs;
    std::set<std::string> domainsOut;
    std::function<milliseconds(const attempt&)> lengthOf; ///< Returns the run time of an attempt.
    std::vector<addressed_event> events; ///< Events not yet delivered.
    double work = 0; ///< Accelerator-seconds of all tasks that ran, including work lost by eviction.
    unsigned evictions = 0;
    unsigned refusals = 0;
    std::function<void(const attempt&, milliseconds)> onEvicted; ///< Called with the run time of an evicted attempt.

    void reserve(std::size_t owner, const start_attempt& wanted, time_point now)
    {
        const auto& what = wanted.attempt;
        std::set<attempt_id> victims;
        std::string refusing;
        for (const auto& part : what.allocations) {
            if (!accepts(part, wanted.evictBorrowed, victims))
                refusing = part.worker;
        }
        if (!refusing.empty()) {
            ++refusals;
            events.emplace_back(owner, attempt_ended { what.id, attempt_outcome::Refused, false, refusing, {} });
            return;
        }
        for (const auto& victim : victims)
            beginEviction(gangs.at(victim), now);
        fake_gang gang { what, owner, task_phase::Reserved, now, now + latency + (victims.empty() ? milliseconds(0) : grace), lengthOf(what), false, "" };
        for (const auto& part : what.allocations) {
            if (workers.at(part.worker).fails)
                gang.fails = part.worker;
        }
        gangs.emplace(what.id, gang);
    }

    void evict(const attempt_id& id, time_point now)
    {
        if (const auto found = gangs.find(id); found != gangs.end())
            beginEviction(found->second, now);
    }

    void stop(const attempt_id& id, time_point now)
    {
        const auto found = gangs.find(id);
        if (found == gangs.end())
            return;
        end(found, attempt_outcome::Released, found->second.ran, "", now);
    }

    /// @brief Performs all phase changes that are due.
    void advance(time_point now)
    {
        for (auto next = gangs.begin(); next != gangs.end();) {
            auto current = next++;
            if (current->second.next <= now)
                proceed(current, now);
        }
    }

    void lose(const std::string& worker, time_point now)
    {
        workers.at(worker).silent = true;
        for (auto next = gangs.begin(); next != gangs.end();) {
            auto current = next++;
            if (holds(current->second, worker))
                end(current, attempt_outcome::Lost, current->second.ran, worker, now);
        }
    }

    [[nodiscard]] worker_reported reportOf(const std::string& worker, time_point now) const
    {
        worker_reported report { worker, {}, false, workers.at(worker).failuresInRow };
        for (const auto& [id, gang] : gangs) {
            if (!holds(gang, worker))
                continue;
            task_report task;
            task.attempt = gang.what;
            task.phase = gang.phase;
            task.age = std::chrono::duration_cast<milliseconds>(now - gang.since);
            task.mayHaveRun = gang.ran;
            report.tasks.push_back(task);
        }
        return report;
    }

    [[nodiscard]] static bool holds(const fake_gang& gang, const std::string& worker)
    {
        return std::any_of(gang.what.allocations.begin(), gang.what.allocations.end(), [&](const allocation& part) { return part.worker == worker; });
    }

private:
    using gang_position = std::map<attempt_id, fake_gang>::iterator;

    static bool mayEvict(const fake_gang& gang) { return !gang.what.guaranteed && !gang.what.urgent; }

    bool accepts(const allocation& wanted, bool evictBorrowed, std::set<attempt_id>& victims)
    {
        const auto found = workers.find(wanted.worker);
        if (found == workers.end() || found->second.silent || domainsOut.contains(found->second.info.failureDomain))
            return false;

        const auto& info = found->second.info;
        resources room { firstAccelerators(info.accelerators), info.processors, info.memoryGb };
        std::vector<std::pair<const fake_gang*, const allocation*>> inTheWay;
        for (const auto& [id, gang] : gangs) {
            for (const auto& part : gang.what.allocations) {
                if (part.worker != wanted.worker || victims.contains(id))
                    continue;
                const bool evictable = evictBorrowed && mayEvict(gang);
                if (evictable && (part.accelerators & wanted.accelerators) != 0) {
                    victims.insert(id);
                    continue;
                }
                room = remaining(room, { part.accelerators, part.processors, part.memoryGb });
                if (evictable)
                    inTheWay.emplace_back(&gang, &part);
            }
        }
        const resources needed { wanted.accelerators, wanted.processors, wanted.memoryGb };
        for (const auto& [gang, part] : inTheWay) {
            if (contains(room, needed))
                break;
            victims.insert(gang->what.id);
            room = { room.accelerators | part->accelerators, room.processors + part->processors, room.memoryGb + part->memoryGb };
        }
        return contains(room, needed);
    }

    void beginEviction(fake_gang& gang, time_point now)
    {
        if (gang.phase == task_phase::Evicting)
            return;
        if (gang.phase == task_phase::Running)
            account(gang, now);
        gang.phase = task_phase::Evicting;
        gang.next = now + grace;
    }

    void account(const fake_gang& gang, time_point now)
    {
        unsigned accelerators = 0;
        for (const auto& part : gang.what.allocations)
            accelerators += static_cast<unsigned>(__builtin_popcountll(part.accelerators));
        work += accelerators * std::chrono::duration<double>(now - gang.since).count();
        if (onEvicted)
            onEvicted(gang.what, std::chrono::duration_cast<milliseconds>(now - gang.since));
    }

    void end(gang_position which, attempt_outcome outcome, bool mayHaveRun, const std::string& worker, time_point now)
    {
        const auto& gang = which->second;
        const auto ran = std::chrono::duration_cast<milliseconds>(now - gang.since);
        events.emplace_back(gang.owner, attempt_ended { gang.what.id, outcome, mayHaveRun, worker, ran });
        gangs.erase(which);
    }

    void proceed(gang_position which, time_point now)
    {
        auto& gang = which->second;
        switch (gang.phase) {
        case task_phase::Reserved:
            gang.phase = task_phase::Running;
            gang.ran = true;
            gang.since = now;
            gang.next = now + (gang.fails.empty() ? gang.length : std::min(gang.length, milliseconds(50)));
            events.emplace_back(gang.owner, attempt_running { gang.what.id });
            return;
        case task_phase::Evicting:
            ++evictions;
            end(which, attempt_outcome::Evicted, gang.ran, "", now);
            return;
        default:
            finish(which, now);
        }
    }

    void finish(gang_position which, time_point now)
    {
        const auto& gang = which->second;
        for (const auto& part : gang.what.allocations) {
            auto& failures = workers.at(part.worker).failuresInRow;
            failures = gang.fails.empty() ? 0 : failures + (part.worker == gang.fails ? 1 : 0);
            if (gang.fails.empty())
                work += __builtin_popcountll(part.accelerators) * std::chrono::duration<double>(now - gang.since).count();
        }
        end(which, gang.fails.empty() ? attempt_outcome::Finished : attempt_outcome::Failed, true, gang.fails, now);
    }
};

} // namespace oriole::test
