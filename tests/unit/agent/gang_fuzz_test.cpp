#include "fleet.hpp"

#include <rapidcheck/catch.h>

using namespace oriole;
using oriole::mocks::fleet;
using namespace std::chrono_literals;

namespace {

constexpr unsigned workers = 3;
constexpr auto step = 100ms;

// A task lease, the time in which its end is noticed, and the runtime's own lease on top of it.
constexpr auto longestPartialRun = 7000ms;

/// @brief Agents under faults, and an oracle that looks only at the runtimes and at what was answered.
class faulty_fleet {
public:
    faulty_fleet()
        : m_all(workers)
    {
    }

    void act()
    {
        switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 3, 1 }, { 2, 2 }, { 2, 3 }, { 1, 4 }, { 2, 5 }, { 1, 6 },
            { 1, 7 }, { 1, 8 }, { 6, 9 } })) {
        case 0:
            launch();
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
            m_all.cut(anyWorker());
            break;
        case 5:
            m_all.mend();
            break;
        case 6:
            m_all.agents[anyWorker()]->restart(m_all.timers);
            break;
        case 7: {
            auto& runtime = m_all.agents[anyWorker()]->runtime;
            runtime.down = !runtime.down;
            break;
        }
        case 8:
            changeDomain();
            break;
        default:
            break;
        }
        pass(*rc::gen::element(0ms, 300ms, 1000ms, 4000ms));
    }

    /// @brief Ends all faults, waits, and checks that nothing is left over.
    void settle()
    {
        m_all.mend();
        for (const auto& item : m_all.agents)
            item->runtime.down = false;
        pass(12000ms);
        for (const auto& gang : m_gangs)
            checkEnd(gang);
    }

private:
    unsigned anyWorker() const { return *rc::gen::inRange(0U, workers); }

    /// @brief Reserves a new gang at all its workers, and commits it at some of them.
    void launch()
    {
        auto gang = m_all.makeAttempt("j" + std::to_string(m_gangs.size()), *rc::gen::inRange(1U, workers + 1),
            *rc::gen::element<accelerator_set>(0x0f, 0xf0, 0xff));
        gang.guaranteed = *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } });
        gang.declaredRun = 2000ms;
        m_gangs.push_back(gang);
        for (unsigned i = 0; i < gang.allocations.size(); ++i)
            m_all.agents[i]->tasks->reserve(gang, 5000ms, gang.guaranteed, [](const auto&) {});
        pass(*rc::gen::element(20ms, 1000ms));
        const auto committed = *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
        for (unsigned i = 0; i < gang.allocations.size(); ++i) {
            if (committed || *rc::gen::arbitrary<bool>())
                m_all.agents[i]->tasks->commit(gang.id, 1);
        }
    }

    const attempt* anyGang() const
    {
        return m_gangs.empty() ? nullptr : &m_gangs[*rc::gen::inRange<std::size_t>(0, m_gangs.size())];
    }

    void commitOne()
    {
        if (const auto* gang = anyGang())
            m_all.agents[*rc::gen::inRange<std::size_t>(0, gang->allocations.size())]->tasks->commit(gang->id, 1);
    }

    void endTasks()
    {
        const auto* gang = anyGang();
        if (gang == nullptr)
            return;
        for (unsigned i = 0; i < gang->allocations.size(); ++i) {
            if (m_all.agents[i]->runtime.runs(gang->id) && *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } }))
                m_all.agents[i]->runtime.endTask(gang->id,
                    *rc::gen::weightedElement<runtime_state>(
                        { { 5, runtime_state::Finished }, { 1, runtime_state::Failed } }));
        }
    }

    /// @brief Releases a gang at all its workers, as an owner does; some of the calls may not arrive.
    void releaseOne()
    {
        const auto* gang = anyGang();
        if (gang == nullptr)
            return;
        const auto id = gang->id;
        for (unsigned i = 0; i < gang->allocations.size(); ++i) {
            if (*rc::gen::weightedElement<bool>({ { 1, true }, { 3, false } }))
                continue;
            m_all.agents[i]->tasks->release({ id }, 1, "withdrawn", [this, i, id](const auto& reports) {
                if (!reports.empty() && !reports.front().mayHaveRun)
                    m_saidNotRun.emplace_back(i, id);
            });
        }
    }

    void changeDomain()
    {
        auto& states = m_all.view.failureDomains;
        states.revision += 1;
        states.out = states.out.empty() ? std::set<std::string> { "fd1" } : std::set<std::string> {};
        m_all.hearView();
        m_startsWhenOut = states.out.empty() ? std::nullopt : std::optional(starts());
    }

    void pass(milliseconds duration)
    {
        m_all.pass(20ms);
        for (auto passed = 0ms; passed < duration; passed += step) {
            m_all.pass(step);
            for (const auto& gang : m_gangs)
                watchPartialRun(gang);
        }
        for (const auto& item : m_all.agents)
            RC_ASSERT(item->runtime.overlaps == 0U);
        RC_ASSERT(!m_startsWhenOut || starts() == *m_startsWhenOut);
        for (const auto& [at, id] : m_saidNotRun)
            RC_ASSERT(!m_all.agents[at]->runtime.starts.contains(toString(id)));
    }

    /// @brief Tasks known to all runtimes. A second call for the same start counts as none.
    std::size_t starts() const
    {
        std::size_t count = 0;
        for (const auto& item : m_all.agents)
            count += item->runtime.starts.size();
        return count;
    }

    unsigned countIn(const attempt& gang, runtime_state state) const
    {
        unsigned count = 0;
        for (unsigned i = 0; i < gang.allocations.size(); ++i) {
            const auto& tasks = m_all.agents[i]->runtime.tasks;
            const auto found = tasks.find(toString(gang.id));
            count += found != tasks.end() && found->second.task.state == state ? 1 : 0;
        }
        return count;
    }

    void watchPartialRun(const attempt& gang)
    {
        const auto running = countIn(gang, runtime_state::Running);
        const auto whole = running + countIn(gang, runtime_state::Finished) == gang.allocations.size();
        auto& partial = m_partial[gang.id];
        partial = running == 0 || whole ? 0ms : partial + step;
        RC_ASSERT(partial <= longestPartialRun);
    }

    void checkEnd(const attempt& gang)
    {
        const auto finished = countIn(gang, runtime_state::Finished);
        bool started = false;
        for (unsigned i = 0; i < gang.allocations.size(); ++i)
            started |= m_all.agents[i]->runtime.starts.contains(toString(gang.id));
        bool anyMayHaveRun = false;
        for (unsigned i = 0; i < gang.allocations.size(); ++i) {
            for (const auto& report : m_all.agents[i]->tasks->reports()) {
                if (report.attempt.id != gang.id)
                    continue;
                anyMayHaveRun |= report.mayHaveRun;
                if (report.leads && report.phase == task_phase::Finished)
                    RC_ASSERT(finished == gang.allocations.size());
                // A gang that still runs does so on all its workers.
                if (!isEnd(report.phase))
                    RC_ASSERT(countIn(gang, runtime_state::Running) + finished == gang.allocations.size());
            }
        }
        RC_ASSERT(!started || anyMayHaveRun);
    }

    fleet m_all;
    std::vector<attempt> m_gangs;
    std::map<attempt_id, milliseconds> m_partial;
    std::vector<std::pair<unsigned, attempt_id>> m_saidNotRun;
    std::optional<std::size_t> m_startsWhenOut;
};

} // namespace

TEST_CASE("fuzz: gangs run whole or not at all under cuts, restarts and a runtime that is down")
{
    rc::prop("any history", [] {
        faulty_fleet fleet;
        const auto steps = *rc::gen::inRange(20, 60);
        for (int i = 0; i < steps; ++i)
            fleet.act();
        fleet.settle();
    });
}
