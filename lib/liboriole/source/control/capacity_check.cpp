#include <oriole/control/configuration.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace oriole {

namespace {

/// @brief What is left of one declared worker.
struct worker_space {
    std::size_t failureDomain = 0;
    std::size_t rack = 0; ///< Counted over the whole environment.
    unsigned accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;
};

/// @brief One gang of a guarantee.
struct wanted_gang {
    oriole::shape shape;
    std::size_t organisation = 0;
    std::size_t guarantee = 0;
};

std::vector<worker_space> declaredWorkers(const configuration& wanted, std::size_t leftOut)
{
    std::vector<worker_space> workers;
    std::size_t rack = 0;
    for (std::size_t domain = 0; domain < wanted.failureDomains.size(); ++domain) {
        if (domain == leftOut)
            continue;
        const auto& declared = wanted.failureDomains[domain];
        for (unsigned i = 0; i < declared.workers; ++i) {
            if (i % declared.workersPerRack == 0)
                ++rack;
            workers.push_back({ domain, rack, declared.acceleratorsPerWorker, declared.processorsPerWorker,
                declared.memoryGbPerWorker });
        }
    }
    return workers;
}

// Large gangs go first: whatever small ones leave free is not whole enough for them.
std::vector<wanted_gang> gangsOf(const configuration& wanted)
{
    std::vector<wanted_gang> gangs;
    for (std::size_t i = 0; i < wanted.organisations.size(); ++i) {
        const auto& guarantees = wanted.organisations[i].policy.guarantees;
        for (std::size_t j = 0; j < guarantees.size(); ++j)
            gangs.insert(gangs.end(), guarantees[j].count, wanted_gang { guarantees[j].shape, i, j });
    }
    std::stable_sort(gangs.begin(), gangs.end(), [](const wanted_gang& left, const wanted_gang& right) {
        return std::tuple(right.shape.accelerators, right.shape.processors, right.shape.memoryGb)
            < std::tuple(left.shape.accelerators, left.shape.processors, left.shape.memoryGb);
    });
    return gangs;
}

/// @brief The part of a gang's processors or memory that goes with @p taken of its accelerators.
unsigned partOf(unsigned total, unsigned taken, unsigned accelerators)
{
    return static_cast<unsigned>((std::uint64_t { total } * taken + accelerators - 1) / accelerators);
}

/// @brief Most accelerators of the gang that the worker can hold, with what goes along with them.
unsigned roomFor(const worker_space& worker, const shape& wanted)
{
    unsigned taken = std::min(worker.accelerators, wanted.accelerators);
    while (taken > 0
        && (partOf(wanted.processors, taken, wanted.accelerators) > worker.processors
            || partOf(wanted.memoryGb, taken, wanted.accelerators) > worker.memoryGb))
        --taken;
    return taken;
}

std::size_t scopeOf(const worker_space& worker, std::size_t index, adjacency wanted)
{
    if (wanted == adjacency::Worker)
        return index;
    return wanted == adjacency::Rack ? worker.rack : worker.failureDomain;
}

// Whole workers are used up before broken ones are, so that the fewest workers are broken.
bool placeInScope(std::vector<worker_space>& workers, std::vector<std::size_t> scope, const shape& wanted)
{
    std::stable_sort(scope.begin(), scope.end(),
        [&](std::size_t left, std::size_t right) { return workers[right].accelerators < workers[left].accelerators; });
    auto trial = workers;
    unsigned missing = wanted.accelerators;
    for (const auto index : scope) {
        const auto taken = std::min(missing, roomFor(trial[index], wanted));
        if (taken == 0)
            continue;
        trial[index].accelerators -= taken;
        trial[index].processors -= partOf(wanted.processors, taken, wanted.accelerators);
        trial[index].memoryGb -= partOf(wanted.memoryGb, taken, wanted.accelerators);
        missing -= taken;
        if (missing == 0) {
            workers = std::move(trial);
            return true;
        }
    }
    return false;
}

/// @brief Places a gang in the scope with the least room that holds it.
bool place(std::vector<worker_space>& workers, const shape& wanted)
{
    std::map<std::size_t, std::vector<std::size_t>> scopes;
    for (std::size_t i = 0; i < workers.size(); ++i)
        scopes[scopeOf(workers[i], i, wanted.adjacency)].push_back(i);

    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (const auto& [scope, members] : scopes) {
        std::uint64_t room = 0;
        for (const auto index : members)
            room += roomFor(workers[index], wanted) > 0 ? workers[index].accelerators : 0;
        if (room >= wanted.accelerators)
            order.emplace_back(room, scope);
    }
    std::sort(order.begin(), order.end());
    return std::any_of(order.begin(), order.end(),
        [&](const auto& candidate) { return placeInScope(workers, scopes[candidate.second], wanted); });
}

std::string describe(const configuration& wanted, std::size_t organisation, std::size_t guarantee, unsigned missing)
{
    const auto& policy = wanted.organisations[organisation].policy;
    const auto& promised = policy.guarantees[guarantee];
    return "organisations[" + std::to_string(organisation) + "].guarantees[" + std::to_string(guarantee)
        + "]: " + std::to_string(missing) + " of " + std::to_string(promised.count) + " gangs of "
        + std::to_string(promised.shape.accelerators) + " accelerators (" + std::string(toString(promised.shape.adjacency))
        + ") of '" + policy.name + "'";
}

std::vector<std::string> misfits(const configuration& wanted, std::size_t leftOut)
{
    auto workers = declaredWorkers(wanted, leftOut);
    std::map<std::pair<std::size_t, std::size_t>, unsigned> missing;
    for (const auto& gang : gangsOf(wanted)) {
        if (!place(workers, gang.shape))
            ++missing[{ gang.organisation, gang.guarantee }];
    }
    std::vector<std::string> texts;
    texts.reserve(missing.size());
    for (const auto& [where, count] : missing)
        texts.push_back(describe(wanted, where.first, where.second, count));
    return texts;
}

} // namespace

capacity_check checkCapacity(const configuration& wanted)
{
    capacity_check outcome;
    for (const auto& text : misfits(wanted, wanted.failureDomains.size()))
        outcome.errors.push_back(text + " do not fit the declared capacity");
    for (std::size_t domain = 0; domain < wanted.failureDomains.size(); ++domain) {
        for (const auto& text : misfits(wanted, domain))
            outcome.warnings.push_back(text + " do not fit with '" + wanted.failureDomains[domain].name + "' out");
    }
    return outcome;
}

} // namespace oriole
