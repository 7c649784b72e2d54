#include <fleet/core/organisation_share.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace fleet {

namespace {

// Bursts last 3 to 6 s and most runs under 10 s; use that is older says little about who holds capacity now.
constexpr double averagingTimeSeconds = 10;
// An organisation whose use has decayed to less than this has nothing left to pay back.
constexpr double negligibleShare = 1e-4;
// Shares in the same step count as equal, so that deadlines decide. With steps of 0.02 fewer jobs were in time in replays, and
// the small organisations hardly waited less.
constexpr double shareStep = 0.05;

bool isInUse(const worker_row& worker)
{
    return worker.reachable && !worker.description.draining;
}

double shareOf(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

/// @brief What the waiting tasks of a unit need together. A unit of a step that is no gang stands for all its waiting tasks.
resources demandOf(const job_row& job, const unit_id& unit)
{
    const auto& tasks = job.progress.occurrences[unit.occurrence].steps[unit.step];
    const auto waiting = std::count_if(
        tasks.begin(), tasks.end(), [](const task_progress& task) { return task.status == task_status::Waiting; });
    const auto& need = job.job.spec.steps[unit.step].need;
    return { need.millicores * waiting, need.memoryMb * waiting, need.accelerators * waiting };
}

/// @brief The waiting units of one service and priority.
struct contest {
    std::size_t units = 0;
    std::set<std::string> organisations;
    bool fits = true;
};

using contests = std::map<std::pair<std::string, unsigned>, contest>;

std::map<std::string, resources> freeByService(const tables& state, std::map<std::string, resources> capacity)
{
    for (const auto& [name, worker] : state.workers) {
        if (isInUse(worker))
            capacity[worker.description.service] -= worker.used;
    }
    return capacity;
}

/// @brief Groups the units, and finds by their sums which groups do not fit beside all work of higher priority.
contests collectContests(
    const std::vector<pending_unit>& pending, const tables& state, const std::map<std::string, resources>& capacity)
{
    contests found;
    auto free = freeByService(state, capacity);
    for (const auto& unit : pending) {
        const auto& job = state.jobs.at(unit.unit.job);
        auto& left = free[job.rule.service];
        left -= demandOf(job, unit.unit);
        auto& group = found[{ job.rule.service, unit.priority }];
        ++group.units;
        group.organisations.insert(job.job.organisation);
        group.fits = resources {}.fits(left);
    }
    return found;
}

fair_order describe(const contest& group, const organisation_usage& usage)
{
    fair_order order;
    order.organisations = group.organisations.size();
    order.units = group.units;
    std::map<double, std::string> byShare;
    for (const auto& organisation : group.organisations)
        byShare.try_emplace(usage.dominantShareOf(organisation), organisation);
    std::tie(order.smallestShare, order.smallest) = *byShare.begin();
    std::tie(order.largestShare, order.largest) = *byShare.rbegin();
    return order;
}

} // namespace

resource_shares& resource_shares::operator+=(const resource_shares& other)
{
    processors += other.processors;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

resource_shares& resource_shares::operator*=(double factor)
{
    processors *= factor;
    memory *= factor;
    accelerators *= factor;
    return *this;
}

double resource_shares::dominant() const
{
    return std::max({ processors, memory, accelerators });
}

resource_shares sharesOf(const resources& part, const resources& whole)
{
    return { shareOf(part.millicores, whole.millicores), shareOf(part.memoryMb, whole.memoryMb),
        shareOf(part.accelerators, whole.accelerators) };
}

void organisation_usage::advance(const std::map<std::string, resource_shares>& used, time_point now)
{
    const double seconds = m_advancedAt ? std::max(0.0, std::chrono::duration<double>(now - *m_advancedAt).count()) : 0;
    const double kept = std::exp(-seconds / averagingTimeSeconds);
    for (auto& [organisation, entry] : m_entries) {
        entry.recent *= kept;
        entry.used *= 1 - kept;
        entry.recent += entry.used;
        entry.used = {};
    }
    for (const auto& [organisation, shares] : used) {
        m_entries[organisation].used = shares;
        if (!m_advancedAt)
            m_entries[organisation].recent = shares;
    }
    std::erase_if(m_entries, [](const auto& known) {
        return known.second.used.dominant() < negligibleShare && known.second.recent.dominant() < negligibleShare;
    });
    m_advancedAt = now;
}

double organisation_usage::dominantShareOf(const std::string& organisation) const
{
    const auto known = m_entries.find(organisation);
    if (known == m_entries.end())
        return 0;
    auto sum = known->second.used;
    sum += known->second.recent;
    return sum.dominant() / 2;
}

std::map<std::string, resources> capacityByService(const tables& state)
{
    std::map<std::string, resources> capacity;
    for (const auto& [name, worker] : state.workers) {
        if (isInUse(worker))
            capacity[worker.description.service] += worker.description.capacity;
    }
    return capacity;
}

std::map<std::string, resource_shares> usedByOrganisation(
    const tables& state, const std::map<std::string, resources>& capacity)
{
    std::map<std::string, resource_shares> used;
    // The runs of a job follow one another, so an organisation is looked up once for each job.
    const job_row* job = nullptr;
    resources sum;
    const auto addSum = [&] {
        if (job == nullptr || state.guaranteedJobs.contains(job->job.id))
            return;
        if (const auto whole = capacity.find(job->rule.service); whole != capacity.end())
            used[job->job.organisation] += sharesOf(sum, whole->second);
    };
    for (const auto& [id, run] : state.runs) {
        if (run.job != job) {
            addSum();
            job = run.job;
            sum = {};
        }
        sum += run.need;
    }
    addSum();
    return used;
}

organisation_turns::organisation_turns(const std::vector<pending_unit>& pending, const tables& state,
    const organisation_usage& usage, std::map<std::string, resources> capacity)
    : m_capacity(std::move(capacity))
{
    for (const auto& [key, group] : collectContests(pending, state, m_capacity)) {
        if (group.fits || group.organisations.size() < 2)
            continue;
        m_contests.insert(key);
        for (const auto& organisation : group.organisations)
            m_shares[{ key.first, organisation }] = usage.dominantShareOf(organisation);
        auto order = describe(group, usage);
        std::tie(order.service, order.priority) = key;
        m_orders.push_back(std::move(order));
    }
}

double organisation_turns::shareStepOf(const pending_unit& unit, const tables& state) const
{
    if (m_contests.empty() || state.guaranteedJobs.contains(unit.unit.job))
        return 0;
    const auto& job = state.jobs.at(unit.unit.job);
    if (!m_contests.contains({ job.rule.service, unit.priority }))
        return 0;
    return std::floor(m_shares.at({ job.rule.service, job.job.organisation }) / shareStep);
}

void organisation_turns::addPlaced(const job_row& job, const resources& placed)
{
    const auto share = m_shares.find({ job.rule.service, job.job.organisation });
    if (share == m_shares.end())
        return;
    // The recent use, which is half of the share, does not rise at once.
    if (const auto whole = m_capacity.find(job.rule.service); whole != m_capacity.end())
        share->second += sharesOf(placed, whole->second).dominant() / 2;
}

} // namespace fleet
