#include "fuzz_world.hpp"

#include "core_fixture.hpp"

#include <oriole/core/fleet_room.hpp>
#include <oriole/core/guarantee_plan.hpp>
#include <oriole/core/intake.hpp>
#include <oriole/core/tables.hpp>

#include <bit>
#include <numeric>
#include <sstream>

namespace oriole::test {

namespace {

constexpr unsigned workersPerRack = 3;
constexpr unsigned domains = 2;

void require(bool holds, const std::string& what)
{
    if (!holds)
        throw violation(what);
}

std::vector<shape> jobShapes(unsigned workers)
{
    std::vector<shape> shapes { gang(1), gang(2), gang(3), gang(4), gang(8), gang(8, adjacency::Rack), { 0, adjacency::Worker, 8, 16 } };
    if (workers >= 2 * domains)
        shapes.push_back(gang(16, adjacency::Rack));
    if (workers >= 2 * domains)
        shapes.push_back(gang(12, adjacency::FailureDomain));
    return shapes;
}

std::vector<organisation_policy> organisationsFor(unsigned workers)
{
    organisation_policy large { .name = "large", .guarantees = { { gang(8), 1 } }, .acceleratorQuota = 0, .weight = 2, .mayRunUrgent = true };
    if (workers >= 2 * domains)
        large.guarantees.push_back({ gang(16, adjacency::Rack), 1 });
    organisation_policy small { .name = "small", .guarantees = { { gang(4), 1 }, { gang(1), 2 } }, .acceleratorQuota = 16, .weight = 1, .mayRunUrgent = false };
    organisation_policy none { .name = "none", .guarantees = {}, .acceleratorQuota = 0, .weight = 1, .mayRunUrgent = true };
    return { large, small, none };
}

bool overlaps(const attempt& left, const attempt& right)
{
    for (const auto& one : left.allocations) {
        for (const auto& other : right.allocations) {
            if (one.worker == other.worker && (one.accelerators & other.accelerators) != 0)
                return true;
        }
    }
    return false;
}

unsigned acceleratorsOf(const attempt& what)
{
    return std::accumulate(what.allocations.begin(), what.allocations.end(), 0U, [](unsigned sum, const allocation& part) { return sum + static_cast<unsigned>(std::popcount(part.accelerators)); });
}

bool isAlignedBlock(accelerator_set set)
{
    if (set == 0)
        return true;
    const auto first = static_cast<unsigned>(std::countr_zero(set));
    const auto size = static_cast<unsigned>(std::popcount(set));
    const auto cell = std::bit_ceil(size);
    return (set >> first) == firstAccelerators(size) && first / cell == (first + size - 1) / cell;
}

} // namespace

fuzz_world::fuzz_world(const world_options& options)
    : m_options(options)
    , m_organisations(organisationsFor(options.workers))
{
    m_fleet.lengthOf = [this](const attempt& what) { return m_jobs.at({ what.id.organisation, what.id.job }).length; };
    for (unsigned index = 0; index < options.workers; ++index) {
        const auto domain = index * domains / options.workers;
        const auto info = workerNamed("w" + std::to_string(index), "d" + std::to_string(domain), "r" + std::to_string(index / workersPerRack));
        m_fleet.workers[info.name].info = info;
    }
    for (unsigned index = 0; index < options.entries; ++index) {
        entry added;
        added.core = std::make_unique<scheduler>(options.chosen, options.seed + index);
        m_entries.push_back(std::move(added));
    }
    broadcast(organisations_changed { m_organisations });
    for (const auto& [name, worker] : m_fleet.workers)
        broadcast(worker_joined { worker.info });
    for (auto& one : m_entries)
        deliver(one, one.undelivered.size());
}

void fuzz_world::step(const fuzz_step& what)
{
    constexpr unsigned kinds = 12;
    switch (what.kind % kinds) {
    case 0:
    case 1:
    case 2:
        addJob(what);
        break;
    case 3:
        cancel(what);
        break;
    case 4:
        disturb(what);
        break;
    case 5:
        pass(milliseconds(what.first % 700));
        break;
    case 6:
    case 7: {
        const auto names = std::next(m_fleet.workers.begin(), what.first % m_fleet.workers.size());
        if (!names->second.silent)
            broadcast(m_fleet.reportOf(names->first, m_now));
        break;
    }
    case 8: {
        auto& to = m_entries[what.first % m_entries.size()];
        deliver(to, what.second % 8);
        break;
    }
    case 9:
        reportAll();
        for (auto& one : m_entries)
            deliver(one, one.undelivered.size());
        break;
    default:
        tick(what.first % m_entries.size());
    }
}

void fuzz_world::addJob(const fuzz_step& what)
{
    const auto shapes = jobShapes(m_options.workers);
    const auto owner = what.first % m_organisations.size();
    auto spec = jobNamed(m_organisations[owner].name, "j" + std::to_string(m_jobs.size()), shapes[what.second % shapes.size()], milliseconds(100 + what.third % 3000));
    spec.jobClass = what.third % 5 == 0 ? job_class::Urgent : job_class::Normal;
    spec.repeatable = what.third % 7 != 0;
    auto& job = m_jobs[{ spec.organisation, spec.id }];
    job.spec = spec;
    job.owner = owner % m_entries.size();
    job.length = spec.declaredRun * (1 + what.first % 10) / (1 + what.second % 10);
    m_entries[job.owner].core->apply(job_added { spec }, m_now);
}

void fuzz_world::cancel(const fuzz_step& what)
{
    if (m_jobs.empty())
        return;
    auto& [key, job] = *std::next(m_jobs.begin(), what.first % m_jobs.size());
    job.cancelled = job.cancelled || !job.ended;
    m_entries[job.owner].core->apply(job_cancelled { key.first, key.second }, m_now);
}

void fuzz_world::disturb(const fuzz_step& what)
{
    if (!m_options.disturbances)
        return;
    m_disturbed = true;
    auto& [name, worker] = *std::next(m_fleet.workers.begin(), what.first % m_fleet.workers.size());
    switch (what.second % 4) {
    case 0:
        m_fleet.lose(name, m_now);
        broadcast(worker_left { name });
        return;
    case 1:
        worker.silent = false;
        broadcast(worker_joined { worker.info });
        broadcast(m_fleet.reportOf(name, m_now));
        return;
    case 2:
        worker.fails = !worker.fails;
        return;
    default: {
        const auto& domain = worker.info.failureDomain;
        const bool out = !m_fleet.domainsOut.contains(domain);
        if (out)
            m_fleet.domainsOut.insert(domain);
        else
            m_fleet.domainsOut.erase(domain);
        broadcast(failure_domain_changed { domain, out });
    }
    }
}

void fuzz_world::broadcast(const event& what)
{
    for (auto& one : m_entries)
        one.undelivered.push_back(what);
}

void fuzz_world::reportAll()
{
    for (const auto& [name, worker] : m_fleet.workers) {
        if (!worker.silent)
            broadcast(m_fleet.reportOf(name, m_now));
    }
}

void fuzz_world::deliver(entry& to, std::size_t count)
{
    for (; count > 0 && !to.undelivered.empty(); --count) {
        const auto what = to.undelivered.front();
        to.undelivered.pop_front();
        if (const auto* changed = std::get_if<failure_domain_changed>(&what)) {
            if (changed->out)
                to.domainsOut.insert(changed->failureDomain);
            else
                to.domainsOut.erase(changed->failureDomain);
        }
        to.core->apply(what, m_now);
    }
}

void fuzz_world::pass(milliseconds time)
{
    m_now += time;
    m_fleet.advance(m_now);
}

void fuzz_world::deliverAttempts()
{
    const auto events = std::exchange(m_fleet.events, {});
    for (const auto& [owner, what] : events) {
        if (const auto* ended = std::get_if<attempt_ended>(&what)) {
            m_entries[owner].active.erase(ended->id);
            auto& job = m_jobs.at({ ended->id.organisation, ended->id.job });
            job.mayHaveRun = job.mayHaveRun || ended->mayHaveRun;
        }
        m_entries[owner].core->apply(what, m_now);
    }
}

void fuzz_world::tick(std::size_t which)
{
    pass(milliseconds(1));
    deliverAttempts();
    for (const auto& one : m_entries[which].core->tick(m_now))
        execute(which, one);
}

void fuzz_world::execute(std::size_t which, const command& what)
{
    if (const auto* started = std::get_if<start_attempt>(&what)) {
        checkStart(which, *started);
        m_jobs.at({ started->attempt.id.organisation, started->attempt.id.job }).attempts = started->attempt.id.number;
        m_entries[which].active[started->attempt.id] = started->attempt;
        m_fleet.reserve(which, *started, m_now);
        return;
    }
    if (const auto* evicted = std::get_if<evict_attempt>(&what)) {
        m_fleet.evict(evicted->id, m_now);
        return;
    }
    if (const auto* stopped = std::get_if<stop_attempt>(&what)) {
        m_fleet.stop(stopped->id, m_now);
        return;
    }
    const auto& finished = std::get<finish_job>(what);
    auto& job = m_jobs.at({ finished.organisation, finished.job });
    require(!job.ended, "a job ended twice: " + finished.job);
    require(finished.outcome != job_outcome::Cancelled || job.cancelled, "a job ended as cancelled without a request");
    require(finished.outcome != job_outcome::MayHaveRun || job.mayHaveRun, "a job that never ran ended as may-have-run");
    job.ended = true;
}

void fuzz_world::checkStart(std::size_t which, const start_attempt& wanted) const
{
    const auto& id = wanted.attempt.id;
    const auto& job = m_jobs.at({ id.organisation, id.job });
    require(!job.ended, "a job started after its end");
    require(job.owner == which, "an entry started a job that it does not own");
    require(id.number == job.attempts + 1, "attempts are not numbered consecutively");
    require(job.spec.repeatable || !job.mayHaveRun, "an unrepeatable job that may have run was started again");
    checkShape(wanted, job.spec.shape);
    checkOverlap(m_entries[which], wanted);
    checkQuota(m_entries[which], wanted);
}

void fuzz_world::checkShape(const start_attempt& wanted, const shape& asked) const
{
    unsigned processors = 0;
    unsigned memory = 0;
    std::set<std::string> racks;
    std::set<std::string> failureDomains;
    std::set<std::string> names;
    for (const auto& part : wanted.attempt.allocations) {
        const auto& info = m_fleet.workers.at(part.worker).info;
        processors += part.processors;
        memory += part.memoryGb;
        names.insert(part.worker);
        racks.insert(info.failureDomain + "/" + info.rack);
        failureDomains.insert(info.failureDomain);
        require((part.accelerators & ~firstAccelerators(info.accelerators)) == 0, "an allocation has accelerators that the worker does not have");
        require(asked.adjacency != adjacency::Worker || isAlignedBlock(part.accelerators), "accelerators are not one aligned contiguous block");
    }
    require(names.size() == wanted.attempt.allocations.size(), "a worker is named twice");
    require(acceleratorsOf(wanted.attempt) == asked.accelerators && processors == asked.processors && memory == asked.memoryGb, "the allocations do not add up to the shape");
    require(asked.adjacency != adjacency::Worker || names.size() == 1, "the gang is not on one worker");
    require(asked.adjacency != adjacency::Rack || racks.size() == 1, "the gang is not in one rack");
    require(failureDomains.size() == 1, "the gang is not in one failure domain");
}

void fuzz_world::checkOverlap(const entry& from, const start_attempt& wanted) const
{
    for (const auto& part : wanted.attempt.allocations)
        require(!from.domainsOut.contains(m_fleet.workers.at(part.worker).info.failureDomain), "an attempt was started in a failure domain that is out");
    for (const auto& [id, other] : from.active) {
        const bool evictable = wanted.evictBorrowed && !other.guaranteed && !other.urgent;
        require(evictable || !overlaps(other, wanted.attempt), "accelerators were allocated twice");
    }
}

void fuzz_world::checkQuota(const entry& from, const start_attempt& wanted) const
{
    for (const auto& organisation : m_organisations) {
        if (organisation.name != wanted.attempt.id.organisation || organisation.acceleratorQuota == 0)
            continue;
        unsigned held = acceleratorsOf(wanted.attempt);
        for (const auto& [id, other] : from.active)
            held += id.organisation == organisation.name ? acceleratorsOf(other) : 0;
        require(held <= organisation.acceleratorQuota, "the quota is exceeded");
    }
}

bool fuzz_world::allEnded() const
{
    return std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto& one) { return one.second.ended; });
}

void fuzz_world::settle()
{
    for (auto& [name, worker] : m_fleet.workers) {
        worker.fails = false;
        worker.silent = false;
        broadcast(worker_joined { worker.info });
    }
    for (unsigned domain = 0; domain < domains; ++domain)
        broadcast(failure_domain_changed { "d" + std::to_string(domain), false });
    m_fleet.domainsOut.clear();

    constexpr unsigned rounds = 6000;
    for (unsigned round = 0; round < rounds && !allEnded(); ++round) {
        pass(milliseconds(100));
        reportAll();
        for (std::size_t which = 0; which < m_entries.size(); ++which) {
            deliver(m_entries[which], m_entries[which].undelivered.size());
            tick(which);
        }
    }
    require(allEnded(), "a job does not end: " + describe());
}

bool fuzz_world::guaranteesPlaceable() const
{
    scheduler_tables truth(1);
    applyEvent(truth, organisations_changed { m_organisations }, m_now);
    for (const auto& [name, worker] : m_fleet.workers) {
        applyEvent(truth, worker_joined { worker.info }, m_now);
        applyEvent(truth, m_fleet.reportOf(name, m_now), m_now);
    }
    truth.rankFleet();
    const auto room = reclaimableResources(truth);
    const auto plan = planGuarantees(truth, room, m_now);
    auto left = room;
    for (const auto& cell : plan.cells) {
        start_attempt possible;
        for (const auto& part : cell.where.parts) {
            require(contains(left[part.worker].room, part.taken), "planned cells overlap");
            takeFrom(left, part);
            possible.attempt.allocations.push_back({ truth.workers[part.worker].info.name, "", part.taken.accelerators, part.taken.processors, part.taken.memoryGb });
        }
        checkShape(possible, truth.organisations.at(cell.organisation).policy.guarantees[cell.guarantee].shape);
    }
    return plan.uncovered.empty() && plan.cells.size() == plan.unused;
}

std::string fuzz_world::describe() const
{
    std::ostringstream text;
    for (const auto& [key, job] : m_jobs) {
        if (!job.ended)
            text << key.first << "/" << key.second << " accelerators " << job.spec.shape.accelerators << " " << toString(job.spec.shape.adjacency) << " attempts " << job.attempts << "; ";
    }
    for (const auto& [id, gang] : m_fleet.gangs) {
        text << "\n"
             << toString(id) << (gang.what.guaranteed ? " guaranteed" : "") << (gang.what.urgent ? " urgent" : "") << " " << toString(gang.phase);
        for (const auto& part : gang.what.allocations)
            text << " " << part.worker << ":" << std::hex << part.accelerators << std::dec;
    }
    return text.str();
}

} // namespace oriole::test
