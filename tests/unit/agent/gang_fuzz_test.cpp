#include "fleet.hpp"

#include <rapidcheck/catch.h>

using namespace oriole;
using oriole::mocks::fleet;
using namespace std::chrono_literals;

namespace {

constexpr unsigned workers = 3;
constexpr auto step = 100ms;

// Sum of a task lease, the time until its end is detected, and the runtime's own lease.
constexpr auto maxPartialRun = 7000ms;

/// @brief Agents with injected faults, and an oracle that uses only the state of the runtimes and the agents' reports.
class faulty_fleet {
public:
    faulty_fleet()
        : m_cluster(workers)
    {
    }

    void runRandomStep()
    {
        switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 3, 1 }, { 2, 2 }, { 2, 3 }, { 1, 4 }, { 2, 5 }, { 1, 6 },
            { 1, 7 }, { 1, 8 }, { 6, 9 } })) {
        case 0:
            submitGang();
            break;
        case 1:
            commitOne();
            break;
        case 2:
            endTasks();
            break;
        case 3:
            releaseOne();
            break;
        case 4:
            m_cluster.isolate(anyWorker());
            break;
        case 5:
            m_cluster.reconnectAll();
            break;
        case 6:
            m_cluster.agents[anyWorker()]->restart(m_cluster.timers);
            break;
        case 7: {
            auto& runtime = m_cluster.agents[anyWorker()]->runtime;
            runtime.down = !runtime.down;
            break;
        }
        case 8:
            toggleFailureDomain();
            break;
        default:
            break;
        }
        advanceTime(*rc::gen::element(0ms, 300ms, 1000ms, 4000ms));
    }

    /// @brief Ends all faults, waits, and checks the final state of each gang.
    void recoverAndCheck()
    {
        m_cluster.reconnectAll();
        for (const auto& item : m_cluster.agents)
            item->runtime.down = false;
        advanceTime(12000ms);
        for (const auto& gang : m_gangs)
            checkFinalState(gang);
    }

private:
    unsigned anyWorker() const { return *rc::gen::inRange(0U, workers); }

    /// @brief Reserves a new gang on all its workers, and commits it on all or on some of them.
    void submitGang()
    {
        auto gang = m_cluster.makeAttempt("j" + std::to_string(m_gangs.size()), *rc::gen::inRange(1U, workers + 1),
            *rc::gen::element<accelerator_set>(0x0f, 0xf0, 0xff));
        gang.guaranteed = *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } });
        gang.declaredRun = 2000ms;
        m_gangs.push_back(gang);
        for (unsigned i = 0; i < gang.allocations.size(); ++i)
            m_cluster.agents[i]->tasks->reserve(gang, 5000ms, gang.guaranteed, [](const auto&) {});
        advanceTime(*rc::gen::element(20ms, 1000ms));
        const auto committed = *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
        for (unsigned i = 0; i < gang.allocations.size(); ++i) {
            if (committed || *rc::gen::arbitrary<bool>())
                m_cluster.agents[i]->tasks->commit(gang.id, 1);
        }
    }

    const attempt* anyGang() const
    {
        return m_gangs.empty() ? nullptr : &m_gangs[*rc::gen::inRange<std::size_t>(0, m_gangs.size())];
    }

    void commitOne()
    {
        if (const auto* gang = anyGang())
            m_cluster.agents[*rc::gen::inRange<std::size_t>(0, gang->allocations.size())]->tasks->commit(gang->id, 1);
    }

    void endTasks()
    {
        const auto* gang = anyGang();
        if (gang == nullptr)
            return;
        for (unsigned i = 0; i < gang->allocations.size(); ++i) {
            if (m_cluster.agents[i]->runtime.runs(gang->id) && *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } }))
                m_cluster.agents[i]->runtime.endTask(gang->id,
                    *rc::gen::weightedElement<runtime_state>(
                        { { 5, runtime_state::Finished }, { 1, runtime_state::Failed } }));
        }
    }

    /// @brief Releases a gang on its workers, as an owner does; each call is lost with a probability of 1 in 4.
    void releaseOne()
    {
        const auto* gang = anyGang();
        if (gang == nullptr)
            return;
        const auto id = gang->id;
        for (unsigned i = 0; i < gang->allocations.size(); ++i) {
            if (*rc::gen::weightedElement<bool>({ { 1, true }, { 3, false } }))
                continue;
            m_cluster.agents[i]->tasks->release({ id }, 1, "withdrawn", [this, i, id](const auto& reports) {
                if (!reports.empty() && !reports.front().mayHaveRun)
                    m_reportedNotRun.emplace_back(i, id);
            });
        }
    }

    void toggleFailureDomain()
    {
        auto& states = m_cluster.view.failureDomains;
        states.revision += 1;
        states.out = states.out.empty() ? std::set<std::string> { "fd1" } : std::set<std::string> {};
        m_cluster.refreshViews();
        m_startsWhenOut = states.out.empty() ? std::nullopt : std::optional(starts());
    }

    void advanceTime(milliseconds duration)
    {
        m_cluster.advanceTime(20ms);
        for (auto passed = 0ms; passed < duration; passed += step) {
            m_cluster.advanceTime(step);
            for (const auto& gang : m_gangs)
                checkPartialRun(gang);
        }
        for (const auto& item : m_cluster.agents)
            RC_ASSERT(item->runtime.overlaps == 0U);
        RC_ASSERT(!m_startsWhenOut || starts() == *m_startsWhenOut);
        for (const auto& [at, id] : m_reportedNotRun)
            RC_ASSERT(!m_cluster.agents[at]->runtime.starts.contains(toString(id)));
    }

    /// @brief Number of tasks started at all runtimes. Repeated start calls for the same task are not counted.
    std::size_t starts() const
    {
        std::size_t count = 0;
        for (const auto& item : m_cluster.agents)
            count += item->runtime.starts.size();
        return count;
    }

    unsigned countIn(const attempt& gang, runtime_state state) const
    {
        unsigned count = 0;
        for (unsigned i = 0; i < gang.allocations.size(); ++i) {
            const auto& tasks = m_cluster.agents[i]->runtime.tasks;
            const auto found = tasks.find(toString(gang.id));
            count += found != tasks.end() && found->second.task.state == state ? 1 : 0;
        }
        return count;
    }

    void checkPartialRun(const attempt& gang)
    {
        const auto running = countIn(gang, runtime_state::Running);
        const auto complete = running + countIn(gang, runtime_state::Finished) == gang.allocations.size();
        auto& partialRunTime = m_partialRunTimes[gang.id];
        partialRunTime = running == 0 || complete ? 0ms : partialRunTime + step;
        RC_ASSERT(partialRunTime <= maxPartialRun);
    }

    void checkFinalState(const attempt& gang)
    {
        const auto finished = countIn(gang, runtime_state::Finished);
        bool started = false;
        for (unsigned i = 0; i < gang.allocations.size(); ++i)
            started |= m_cluster.agents[i]->runtime.starts.contains(toString(gang.id));
        bool anyMayHaveRun = false;
        for (unsigned i = 0; i < gang.allocations.size(); ++i) {
            for (const auto& report : m_cluster.agents[i]->tasks->reports()) {
                if (report.attempt.id != gang.id)
                    continue;
                anyMayHaveRun |= report.mayHaveRun;
                if (report.leads && report.phase == task_phase::Finished)
                    RC_ASSERT(finished == gang.allocations.size());
                // A gang that has not ended has a running or finished task on each of its workers.
                if (!isTerminal(report.phase))
                    RC_ASSERT(countIn(gang, runtime_state::Running) + finished == gang.allocations.size());
            }
        }
        RC_ASSERT(!started || anyMayHaveRun);
    }

    fleet m_cluster;
    std::vector<attempt> m_gangs;
    std::map<attempt_id, milliseconds> m_partialRunTimes;
    std::vector<std::pair<unsigned, attempt_id>> m_reportedNotRun;
    std::optional<std::size_t> m_startsWhenOut;
};

} // namespace

TEST_CASE("fuzz: gangs run on all their workers or on none under lost connections, agent restarts and runtime outages")
{
    rc::prop("any sequence of events", [] {
        faulty_fleet fleet;
        const auto steps = *rc::gen::inRange(20, 60);
        for (int i = 0; i < steps; ++i)
            fleet.runRandomStep();
        fleet.recoverAndCheck();
    });
}
