#include <oriole/entry/worker_health.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace oriole {

namespace {

constexpr std::size_t failedWorkLimit = 4096;

} // namespace

double worker_health::tally::share() const
{
    return outcomes == 0 ? 0 : static_cast<double>(failures) / static_cast<double>(outcomes);
}

worker_health::worker_health(worker_health_settings settings)
    : m_settings(settings)
{
}

void worker_health::upsert(const std::string& worker, const std::string& group, std::uint64_t incarnation)
{
    auto& target = m_workers[worker];
    if (target.group == group && target.incarnation == incarnation)
        return;

    target = record {};
    target.group = group;
    target.incarnation = incarnation;
}

void worker_health::remove(const std::string& worker)
{
    m_workers.erase(worker);
}

void worker_health::failed(const std::string& worker, const std::string& work, time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;

    const bool failedElsewhere = withdrawCharges(worker, work);
    rememberFailedWork(worker, work);
    auto& target = found->second;
    remember(target, { work, true, !failedElsewhere });
    if (target.onProbation) {
        if (!failedElsewhere)
            probeFailed(target, now);
        return;
    }
    judge(worker, target, now);
}

void worker_health::succeeded(const std::string& worker, const std::string& work, time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;

    auto& target = found->second;
    remember(target, { work, false, false });
    if (target.onProbation)
        probeSucceeded(target);

    // A success elsewhere may be what was missing to judge the worker on which this work failed.
    const auto failures = m_failedWork.find(work);
    if (failures == m_failedWork.end())
        return;
    for (const auto& other : failures->second) {
        if (const auto it = m_workers.find(other); it != m_workers.end() && other != worker && !it->second.onProbation)
            judge(other, it->second, now);
    }
}

bool worker_health::onProbation(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.onProbation;
}

bool worker_health::probeDue(const std::string& worker, time_point now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.onProbation && found->second.nextProbe <= now;
}

void worker_health::probeSent(const std::string& worker, time_point now)
{
    if (const auto found = m_workers.find(worker); found != m_workers.end())
        found->second.nextProbe = now + found->second.probeInterval;
}

std::vector<std::string> worker_health::workersOnProbation() const
{
    std::vector<std::string> names;
    for (const auto& [name, target] : m_workers) {
        if (target.onProbation)
            names.push_back(name);
    }
    return names;
}

void worker_health::remember(record& target, outcome latest) const
{
    target.window.push_back(std::move(latest));
    if (target.window.size() > m_settings.window)
        target.window.pop_front();
}

bool worker_health::withdrawCharges(const std::string& worker, const std::string& work)
{
    const auto failures = m_failedWork.find(work);
    if (failures == m_failedWork.end())
        return false;

    bool failedElsewhere = false;
    for (const auto& other : failures->second) {
        if (other == worker)
            continue;
        failedElsewhere = true;
        const auto found = m_workers.find(other);
        if (found == m_workers.end())
            continue;
        for (auto& past : found->second.window) {
            if (past.work == work)
                past.charged = false;
        }
    }
    return failedElsewhere;
}

void worker_health::rememberFailedWork(const std::string& worker, const std::string& work)
{
    auto& workers = m_failedWork[work];
    if (workers.empty())
        m_failedWorkOrder.push_back(work);
    workers.push_back(worker);
    if (m_failedWorkOrder.size() <= failedWorkLimit)
        return;

    m_failedWork.erase(m_failedWorkOrder.front());
    m_failedWorkOrder.pop_front();
}

void worker_health::judge(const std::string& worker, record& target, time_point now)
{
    if (differentFailures(target) < m_settings.differentFailures)
        return;

    const auto own = tallyOf(target);
    if (own.share() < m_settings.failingShare)
        return;

    const auto peers = tallyOfPeers(worker, target.group);
    if (peers.outcomes == 0 || peers.share() >= own.share() * m_settings.peerRatio)
        return;
    if (probationHasRoom(target.group))
        beginProbation(target, now);
}

unsigned worker_health::differentFailures(const record& target) const
{
    std::set<std::string> works;
    for (const auto& past : target.window) {
        if (past.charged)
            works.insert(past.work);
    }
    return static_cast<unsigned>(works.size());
}

worker_health::tally worker_health::tallyOf(const record& target) const
{
    tally sum;
    for (const auto& past : target.window) {
        const bool uncharged = past.failed && !past.charged;
        sum.outcomes += uncharged ? 0 : 1;
        sum.failures += past.charged ? 1 : 0;
    }
    return sum;
}

worker_health::tally worker_health::tallyOfPeers(const std::string& worker, const std::string& group) const
{
    tally sum;
    for (const auto& [name, other] : m_workers) {
        if (name == worker || other.group != group || other.onProbation)
            continue;
        const auto part = tallyOf(other);
        sum.outcomes += part.outcomes;
        sum.failures += part.failures;
    }
    return sum;
}

bool worker_health::probationHasRoom(const std::string& group) const
{
    std::size_t members = 0;
    std::size_t onProbation = 0;
    for (const auto& [name, other] : m_workers) {
        if (other.group != group)
            continue;
        ++members;
        onProbation += other.onProbation ? 1 : 0;
    }
    if (members < 2)
        return false;
    const auto allowed = static_cast<std::size_t>(std::floor(m_settings.probationShare * static_cast<double>(members)));
    return onProbation < std::max<std::size_t>(1, allowed);
}

void worker_health::beginProbation(record& target, time_point now) const
{
    target.onProbation = true;
    // A worker that comes back and fails again is probed less often than the first time.
    target.probeInterval = std::clamp(2 * target.probeInterval, m_settings.firstProbe, m_settings.longestProbe);
    target.nextProbe = now + target.probeInterval;
    target.probesSucceeded = 0;
}

void worker_health::probeFailed(record& target, time_point now) const
{
    target.probesSucceeded = 0;
    target.probeInterval = std::min(2 * target.probeInterval, m_settings.longestProbe);
    target.nextProbe = now + target.probeInterval;
}

void worker_health::probeSucceeded(record& target) const
{
    if (++target.probesSucceeded < m_settings.probesToReturn)
        return;

    target.onProbation = false;
    target.window.clear();
}

} // namespace oriole
