#include <oriole/core/scheduler.hpp>

#include <oriole/core/first_fit.hpp>
#include <oriole/core/fleet_room.hpp>
#include <oriole/core/guarantee_plan.hpp>
#include <oriole/core/guarantee_system.hpp>
#include <oriole/core/intake.hpp>
#include <oriole/core/lifecycle.hpp>
#include <oriole/core/shape_limits.hpp>
#include <oriole/core/tables.hpp>

#include <bit>

namespace oriole {

namespace {

/// Runs the systems of the chosen policy.
struct policy_runner {
    scheduler_tables& tables;
    std::vector<command>& commands;
    time_point now;

    void operator()(const first_fit_policy&) const { startFirstFit(tables, commands, now); }
    void operator()(const guarantee_policy&) const { runGuaranteePolicy(tables, commands, now); }
};

} // namespace

scheduler::scheduler(policy chosen, std::uint64_t seed)
    : m_tables(std::make_unique<scheduler_tables>(seed))
    , m_policy(chosen)
{
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::apply(const event& what, time_point now)
{
    applyEvent(*m_tables, what, now);
}

std::vector<command> scheduler::tick(time_point now)
{
    std::vector<command> commands;
    m_tables->rankFleet();
    pruneEndedAttempts(*m_tables, now);
    std::visit(policy_runner { *m_tables, commands, now }, m_policy);
    // Commands that end attempts precede starts, which may need the resources that they free.
    commands.insert(commands.begin(), m_tables->pending.begin(), m_tables->pending.end());
    m_tables->pending.clear();
    return commands;
}

std::optional<std::string> scheduler::impossible(const shape& wanted) const
{
    return explainImpossible(*m_tables, wanted);
}

scheduler_summary scheduler::summary() const
{
    scheduler_summary seen;
    for (const auto& worker : m_tables->workers) {
        if (!worker.present)
            continue;
        ++seen.workers;
        seen.acceleratorsTotal += worker.info.accelerators;
        seen.acceleratorsUsed += static_cast<unsigned>(std::popcount(worker.used.accelerators));
    }
    for (const auto& [name, organisation] : m_tables->organisations)
        seen.jobsWaiting += static_cast<unsigned>(organisation.waiting.size());
    const auto reclaimable = planGuarantees(*m_tables, reclaimableResources(*m_tables), {});
    seen.uncovered = reclaimable.uncovered;
    seen.guaranteedShapesUnused = reclaimable.unused;
    seen.guaranteedShapesStartable = static_cast<unsigned>(planGuarantees(*m_tables, freeResources(*m_tables), {}).cells.size());
    seen.attemptsActive = static_cast<unsigned>(m_tables->activeJobs.size());
    return seen;
}

} // namespace oriole
