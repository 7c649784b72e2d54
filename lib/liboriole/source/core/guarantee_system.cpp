#include <oriole/core/guarantee_system.hpp>

#include <oriole/core/borrowed_starts.hpp>
#include <oriole/core/gang_collection.hpp>
#include <oriole/core/guarantee_repair.hpp>
#include <oriole/core/guaranteed_starts.hpp>
#include <oriole/core/migration.hpp>
#include <oriole/core/probation.hpp>
#include <oriole/core/urgent_starts.hpp>

namespace oriole {

void runGuaranteePolicy(scheduler_tables& tables, std::vector<command>& commands, time_point now)
{
    updateProbation(tables, now);
    decision_round round(tables, commands, now);
    updatePlan(round);
    repairHomes(round);
    evacuateDomains(round);
    startGuaranteed(round);
    startUrgent(round);
    rampDomains(round);
    reserveForGangs(round);
    startStarvedGangs(round);
    startBorrowed(round);
    probeWorkers(round);
}

} // namespace oriole
