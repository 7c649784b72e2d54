#include <oriole/core/probation.hpp>

#include <oriole/core/placement.hpp>

#include <algorithm>
#include <tuple>

namespace oriole {

namespace {

constexpr unsigned failuresForProbation = 3;
constexpr unsigned probationShareDivisor = 5; // At most one in this many workers is on probation.
constexpr milliseconds minProbation { 10000 };
constexpr unsigned maxDoublings = 6;
constexpr milliseconds probeInterval { 2000 };

std::vector<worker_index> probationCandidates(const scheduler_tables& tables, unsigned& present, time_point now)
{
    std::vector<worker_index> found;
    for (worker_index index = 0; index < tables.workers.size(); ++index) {
        const auto& worker = tables.workers[index];
        present += worker.present ? 1 : 0;
        if (worker.present && worker.failuresInRow >= failuresForProbation && now < worker.probationUntil)
            found.push_back(index);
    }
    const auto order = [&](worker_index index) { return std::tuple(-static_cast<int>(tables.workers[index].failuresInRow), tables.workers[index].rank); };
    std::sort(found.begin(), found.end(), [&](worker_index left, worker_index right) { return order(left) < order(right); });
    return found;
}

bool mayBeProbe(const decision_round& round, const job_row& job)
{
    return job.spec.repeatable && round.mayStart(job);
}

bool smaller(const job_row& left, const job_row& right)
{
    return std::tie(left.spec.shape.accelerators, left.spec.declaredRun) < std::tie(right.spec.shape.accelerators, right.spec.declaredRun);
}

/// Finds the smallest waiting job that fits on the worker, and its place there.
std::pair<job_row*, place> chooseProbe(const decision_round& round, worker_index where)
{
    const auto& worker = round.tables.workers[where];
    const available_resources room { where, { firstAccelerators(worker.info.accelerators), worker.info.processors, worker.info.memoryGb } };
    const auto noScore = [](const available_resources&, accelerator_set) { return 0.0; };
    std::pair<job_row*, place> best;
    for (const auto& [name, organisation] : round.tables.organisations) {
        for (const auto& [key, job] : organisation.waiting) {
            if (!mayBeProbe(round, *job) || round.avoids(*job, where) || (best.first && !smaller(*job, *best.first)))
                continue;
            const auto found = requiresOneWorker(job->spec.shape) ? placeOnWorker({ &room, 1 }, job->spec.shape, noScore) : placeInGroup({ &room, 1 }, job->spec.shape, noScore);
            if (found)
                best = { job, *found };
        }
    }
    return best;
}

bool mayProbe(const decision_round& round, const worker_row& worker)
{
    return worker.probation && worker.present && !worker.leaving && worker.holdings.empty()
        && !round.tables.domains[worker.domain].out && worker.nextProbe <= round.now;
}

} // namespace

milliseconds probationFor(unsigned failuresInRow)
{
    if (failuresInRow < failuresForProbation)
        return milliseconds(0);
    const auto doublings = std::min(failuresInRow - failuresForProbation, maxDoublings);
    return minProbation * (1U << doublings);
}

void updateProbation(scheduler_tables& tables, time_point now)
{
    unsigned present = 0;
    const auto found = probationCandidates(tables, present, now);
    const auto maxOnProbation = std::max(1U, present / probationShareDivisor);
    std::vector<bool> marked(tables.workers.size());
    for (std::size_t index = 0; index < std::min<std::size_t>(maxOnProbation, found.size()); ++index)
        marked[found[index]] = true;

    for (worker_index index = 0; index < tables.workers.size(); ++index) {
        auto& worker = tables.workers[index];
        if (worker.probation == marked[index])
            continue;
        worker.probation = marked[index];
        ++tables.version;
        ++tables.planVersion;
    }
}

void probeWorkers(decision_round& round)
{
    for (worker_index index = 0; index < round.tables.workers.size(); ++index) {
        auto& worker = round.tables.workers[index];
        if (!mayProbe(round, worker))
            continue;
        std::uniform_int_distribution<milliseconds::rep> jitter(probeInterval.count(), 2 * probeInterval.count());
        worker.nextProbe = round.now + milliseconds(jitter(round.tables.random));
        const auto [job, where] = chooseProbe(round, index);
        if (job)
            round.start(*job, where, { .guaranteed = false, .urgent = false, .evictBorrowed = false, .rule = "probe" });
    }
}

} // namespace oriole
