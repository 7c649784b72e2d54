#include <oriole/core/tables.hpp>

#include <algorithm>
#include <bit>

namespace oriole {

namespace {

group_index groupFor(std::vector<group_row>& groups, std::unordered_map<std::string, group_index>& names, const std::string& name)
{
    const auto [found, added] = names.try_emplace(name, static_cast<group_index>(groups.size()));
    if (added) {
        groups.emplace_back();
        groups.back().name = name;
    }
    return found->second;
}

void removeFromGroup(group_row& group, worker_index index)
{
    std::erase(group.workers, index);
}

void addToGroup(group_row& group, worker_index index, const std::vector<worker_row>& workers)
{
    const auto byName = [&](worker_index left, worker_index right) { return workers[left].info.name < workers[right].info.name; };
    group.workers.insert(std::lower_bound(group.workers.begin(), group.workers.end(), index, byName), index);
}

void addAmounts(resources& total, const holding& what)
{
    total.accelerators |= what.accelerators;
    total.processors += what.processors;
    total.memoryGb += std::max(what.memoryGb, what.usedMemoryGb);
}

unsigned saturatingSubtract(unsigned from, unsigned amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

std::size_t attempt_id_hash::operator()(const attempt_id& id) const noexcept
{
    const std::hash<std::string> text;
    return (text(id.organisation) * 31 + text(id.job)) * 31 + id.number;
}

scheduler_tables::scheduler_tables(std::uint64_t seed)
    : random(seed)
{
}

worker_index scheduler_tables::workerFor(const std::string& name)
{
    const auto [found, added] = workerNames.try_emplace(name, static_cast<worker_index>(workers.size()));
    if (added) {
        workers.emplace_back();
        workers.back().info.name = name;
        assignToGroups(found->second);
    }
    return found->second;
}

void scheduler_tables::assignToGroups(worker_index index)
{
    auto& worker = workers[index];
    if (!racks.empty())
        removeFromGroup(racks[worker.rack], index);
    if (!domains.empty())
        removeFromGroup(domains[worker.domain], index);

    worker.rack = groupFor(racks, rackNames, worker.info.failureDomain + "/" + worker.info.rack);
    worker.domain = domainFor(worker.info.failureDomain);
    addToGroup(racks[worker.rack], index, workers);
    addToGroup(domains[worker.domain], index, workers);
    ranksOutdated = true;
}

group_index scheduler_tables::domainFor(const std::string& name)
{
    return groupFor(domains, domainNames, name);
}

void scheduler_tables::rankFleet()
{
    if (!ranksOutdated)
        return;
    ranksOutdated = false;
    std::uint32_t rank = 0;
    std::map<std::pair<std::string, std::string>, worker_index> byRack;
    for (const auto& [name, index] : workerNames)
        byRack.emplace(std::pair(racks[workers[index].rack].name, name), index);
    for (const auto& [key, index] : byRack)
        workers[index].rank = rank++;
    for (const auto& [name, index] : std::map<std::string, group_index>(rackNames.begin(), rackNames.end()))
        racks[index].rank = rank++;
    for (const auto& [name, index] : std::map<std::string, group_index>(domainNames.begin(), domainNames.end()))
        domains[index].rank = rank++;
}

attempt_row& scheduler_tables::attemptFor(const attempt_id& id)
{
    auto& slot = attempts[id];
    if (!slot) {
        slot = std::make_unique<attempt_row>();
        slot->id = id;
    }
    return *slot;
}

attempt_row* scheduler_tables::findAttempt(const attempt_id& id)
{
    const auto found = attempts.find(id);
    return found == attempts.end() ? nullptr : found->second.get();
}

void scheduler_tables::addHolding(worker_index where, attempt_row& attempt, const holding& what)
{
    adjustUsage(attempt, -1);
    auto& worker = workers[where];
    worker.holdings.push_back(what);
    worker.holdings.back().attempt = &attempt;
    ++attempt.holdingCount;
    attempt.accelerators += static_cast<unsigned>(std::popcount(what.accelerators));
    attempt.processors += what.processors;
    attempt.memoryGb += what.memoryGb;
    attempt.workers.push_back(where);
    adjustUsage(attempt, 1);
    recomputeUsage(where);
    ++planVersion;
}

void scheduler_tables::removeHolding(worker_index where, std::size_t position)
{
    auto& worker = workers[where];
    const auto what = worker.holdings[position];
    auto& attempt = *what.attempt;
    adjustUsage(attempt, -1);
    worker.holdings.erase(worker.holdings.begin() + static_cast<std::ptrdiff_t>(position));
    --attempt.holdingCount;
    attempt.accelerators = saturatingSubtract(attempt.accelerators, static_cast<unsigned>(std::popcount(what.accelerators)));
    attempt.processors = saturatingSubtract(attempt.processors, what.processors);
    attempt.memoryGb = saturatingSubtract(attempt.memoryGb, what.memoryGb);
    std::erase(attempt.workers, where);
    adjustUsage(attempt, 1);
    if (attempt.holdingCount == 0 && !attempt.ownedHere)
        attempts.erase(attempt_id(attempt.id));
    recomputeUsage(where);
    ++version;
    ++planVersion;
}

void scheduler_tables::removeAttempt(attempt_row& attempt, bool onlyUnreported)
{
    const auto id = attempt.id;
    for (const auto where : std::vector<worker_index>(attempt.workers)) {
        auto& holdings = workers[where].holdings;
        const auto found = std::find_if(holdings.begin(), holdings.end(), [&](const holding& one) { return one.attempt == &attempt; });
        if (found == holdings.end() || (onlyUnreported && found->reported))
            continue;
        removeHolding(where, static_cast<std::size_t>(found - holdings.begin()));
    }
    if (const auto left = attempts.find(id); left != attempts.end() && left->second->holdingCount == 0)
        attempts.erase(left);
}

void scheduler_tables::adjustUsage(attempt_row& attempt, int sign)
{
    if (attempt.holdingCount == 0)
        return;

    auto& organisation = organisationFor(attempt.id.organisation);
    const auto change = [sign](unsigned& total, unsigned amount) { total = sign > 0 ? total + amount : saturatingSubtract(total, amount); };
    change(organisation.acceleratorsUsed, attempt.accelerators);
    if (attempt.guaranteed) {
        if (sign > 0)
            organisation.guaranteedAttempts.insert(&attempt);
        else
            organisation.guaranteedAttempts.erase(&attempt);
        return;
    }
    change(organisation.borrowedAccelerators, attempt.accelerators);
    change(organisation.borrowedProcessors, attempt.processors);
    change(organisation.borrowedMemoryGb, attempt.memoryGb);
}

void scheduler_tables::recomputeUsage(worker_index where)
{
    auto& worker = workers[where];
    worker.used = {};
    worker.nonEvictable = {};
    for (const auto& what : worker.holdings) {
        addAmounts(worker.used, what);
        if (isNonEvictable(*what.attempt))
            addAmounts(worker.nonEvictable, what);
    }
}

organisation_row& scheduler_tables::organisationFor(const std::string& name)
{
    auto& organisation = organisations[name];
    organisation.policy.name = name;
    return organisation;
}

job_row* scheduler_tables::findJob(const std::string& organisation, const std::string& job)
{
    const auto found = jobs.find({ organisation, job });
    return found == jobs.end() ? nullptr : &found->second;
}

void scheduler_tables::enqueue(job_row& job)
{
    job.state = job_state::Waiting;
    job.active = nullptr;
    job.unplaceableVersion = 0;
    activeJobs.erase(&job);
    organisationFor(job.spec.organisation).waiting.emplace(waiting_key(job.acceptedAt, job.spec.id), &job);
}

void scheduler_tables::dequeue(job_row& job)
{
    organisationFor(job.spec.organisation).waiting.erase(waiting_key(job.acceptedAt, job.spec.id));
}

bool scheduler_tables::eligible(const worker_row& worker) const
{
    return worker.present && !worker.leaving && !worker.probation && !domains[worker.domain].out;
}

bool isNonEvictable(const attempt_row& attempt)
{
    return attempt.guaranteed || attempt.urgent;
}

resources freeOf(const worker_row& worker)
{
    return remaining({ firstAccelerators(worker.info.accelerators), worker.info.processors, worker.info.memoryGb }, worker.used);
}

} // namespace oriole
