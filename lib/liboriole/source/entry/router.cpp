#include <oriole/entry/router.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

// Weights of what makes a candidate less wanted; the largest outweighs the others together.
constexpr unsigned foreignRegion = 4;
constexpr unsigned triedFailureDomain = 2;
constexpr unsigned triedRack = 1;

constexpr double probeCreditLimit = 1;

} // namespace

router::router(router_settings settings, worker_health& health)
    : m_settings(std::move(settings))
    , m_health(health)
{
}

void router::upsert(const worker_info& worker)
{
    auto& target = m_workers[worker.name];
    if (target.info.incarnation != worker.incarnation)
        target = record {};
    target.info = worker;
    m_health.upsert(worker.name, worker.service, worker.incarnation);
}

void router::report(const std::string& worker, const worker_load& load)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;

    auto& target = found->second;
    target.load = load;
    const unsigned reported = load.running + load.queued;
    target.others = reported > target.inFlight ? reported - target.inFlight : 0;
}

void router::remove(const std::string& worker)
{
    m_workers.erase(worker);
    m_health.remove(worker);
}

void router::setFailureDomainsOut(std::set<std::string> out)
{
    m_out = std::move(out);
}

routing_decision router::choose(const std::string& service, const std::set<std::string>& excluded, bool repeatable,
    time_point now, std::mt19937_64& random)
{
    m_probeCredit = std::min(probeCreditLimit, m_probeCredit + m_settings.probeShare);
    const auto tried = find(excluded);
    std::vector<const record*> nearest;
    std::vector<const record*> suspects;
    unsigned nearestDistance = 0;
    unsigned candidates = 0;
    bool offered = false;
    bool anyBusy = false;

    for (const auto& [name, target] : m_workers) {
        if (target.info.service != service)
            continue;
        offered = true;
        const auto standing = standingOf(target, now);
        anyBusy = anyBusy || standing == standing::Busy;
        if (excluded.contains(name))
            continue;
        if (standing == standing::OnProbation)
            suspects.push_back(&target);
        if (standing != standing::Candidate)
            continue;

        ++candidates;
        const auto away = distance(target, tried);
        if (nearest.empty() || away < nearestDistance) {
            nearest.clear();
            nearestDistance = away;
        }
        if (away == nearestDistance)
            nearest.push_back(&target);
    }

    if (const auto* probe = repeatable ? takeProbe(suspects, now) : nullptr)
        return { probe->info, "probe", candidates, { { probe->info.name, loadOf(*probe) } } };
    if (nearest.empty()) {
        if (!offered)
            return { std::nullopt, "no-worker", 0, {} };
        return { std::nullopt, anyBusy ? "all-busy" : "none-usable", 0, {} };
    }

    auto decision = chooseAmong(nearest, random);
    decision.candidates = candidates;
    decision.reason = nearestDistance < foreignRegion ? "own-region" : "other-region";
    return decision;
}

std::uint64_t router::sent(const std::string& worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return 0;

    ++found->second.inFlight;
    return found->second.info.incarnation;
}

void router::answered(const std::string& worker, std::uint64_t incarnation)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.info.incarnation != incarnation)
        return;
    if (found->second.inFlight > 0)
        --found->second.inFlight;
}

void router::busy(const std::string& worker, time_point now)
{
    if (const auto found = m_workers.find(worker); found != m_workers.end())
        found->second.busyUntil = now + m_settings.busyPause;
}

unsigned router::inFlight(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? 0 : found->second.inFlight;
}

std::vector<worker_info> router::workers() const
{
    std::vector<worker_info> infos;
    for (const auto& [name, target] : m_workers)
        infos.push_back(target.info);
    return infos;
}

router::standing router::standingOf(const record& target, time_point now) const
{
    if (target.load.leaving || !target.load.backendHealthy || m_out.contains(target.info.failureDomain))
        return standing::NotUsable;

    const unsigned capacity = std::min(target.info.connections, target.info.slots + m_settings.queueLimit);
    if (loadOf(target) >= capacity || now < target.busyUntil)
        return standing::Busy;
    return m_health.onProbation(target.info.name) ? standing::OnProbation : standing::Candidate;
}

unsigned router::distance(const record& target, const std::vector<const record*>& tried) const
{
    unsigned sum = target.info.region == m_settings.region ? 0 : foreignRegion;
    const auto sharesDomain
        = [&](const record* other) { return other->info.failureDomain == target.info.failureDomain; };
    const auto sharesRack = [&](const record* other) { return sharesDomain(other) && other->info.rack == target.info.rack; };
    if (std::any_of(tried.begin(), tried.end(), sharesDomain))
        sum += triedFailureDomain;
    if (std::any_of(tried.begin(), tried.end(), sharesRack))
        sum += triedRack;
    return sum;
}

std::vector<const router::record*> router::find(const std::set<std::string>& names) const
{
    std::vector<const record*> records;
    for (const auto& name : names) {
        if (const auto found = m_workers.find(name); found != m_workers.end())
            records.push_back(&found->second);
    }
    return records;
}

const router::record* router::takeProbe(const std::vector<const record*>& suspects, time_point now)
{
    if (m_probeCredit < probeCreditLimit)
        return nullptr;

    for (const auto* suspect : suspects) {
        if (!m_health.probeDue(suspect->info.name, now))
            continue;
        m_health.probeSent(suspect->info.name, now);
        m_probeCredit -= 1;
        return suspect;
    }
    return nullptr;
}

routing_decision router::chooseAmong(const std::vector<const record*>& nearest, std::mt19937_64& random) const
{
    std::uniform_int_distribution<std::size_t> pick(0, nearest.size() - 1);
    const auto* first = nearest[pick(random)];
    routing_decision decision;
    decision.weighed.push_back({ first->info.name, loadOf(*first) });
    decision.worker = first->info;
    if (!m_settings.twoChoices || nearest.size() == 1)
        return decision;

    const auto* second = first;
    while (second == first)
        second = nearest[pick(random)];
    decision.weighed.push_back({ second->info.name, loadOf(*second) });
    if (loadOf(*second) < loadOf(*first))
        decision.worker = second->info;
    return decision;
}

} // namespace oriole
