#include <oriole/entry/job_service.hpp>

#include <oriole/entry/end_acknowledgement.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/helpers/random.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

// A lead that does not answer the fence is waited for until its tasks' lease has run out for certain.
constexpr milliseconds repeatableTakeoverLimit { 6000 };
constexpr milliseconds unrepeatableTakeoverLimit { 20000 };

constexpr milliseconds leaseCheckPeriod { 100 };

failure notOwned()
{
    return notRun(failure_kind::Unavailable, "this entry does not own the organisation");
}

const job_record* findByKey(const organisation_page& page, const std::string& idempotencyKey)
{
    if (idempotencyKey.empty())
        return nullptr;
    for (const auto& [id, job] : page.jobs) {
        if (job.idempotencyKey == idempotencyKey)
            return &job;
    }
    return nullptr;
}

// Numbers of an owner start above those of its predecessors, of which agents may remember some as ended.
unsigned firstAttemptOf(std::uint64_t epoch)
{
    constexpr unsigned attemptsPerEpoch = 10000;
    return static_cast<unsigned>(epoch) * attemptsPerEpoch;
}

const task_report* findTask(const std::vector<task_report>& reports, const attempt_id& id)
{
    const auto found = std::find_if(
        reports.begin(), reports.end(), [&](const auto& report) { return report.attempt.id == id; });
    return found == reports.end() ? nullptr : &*found;
}

} // namespace

struct job_service::visitor {
    job_service& service;

    void operator()(start_attempt command) const
    {
        const auto keeper = service.m_pages.find(command.attempt.id.organisation);
        if (keeper == nullptr)
            return;
        command.attempt.epoch = keeper->epoch();
        service.m_waiting.erase({ command.attempt.id.organisation, command.attempt.id.job });
        service.m_driver.start(command);
    }

    void operator()(const evict_attempt& command) const { service.m_driver.evict(command); }
    void operator()(const stop_attempt& command) const { service.m_driver.stop(command); }
    void operator()(const finish_job& command) const { service.finishJob(command); }
};

job_service::job_service(ownership& pages, worker_table& workers, const control_keeper& control, gang_gateway& agents,
    store_client& store, timer_service& timers, policy decisions, std::uint64_t seed)
    : m_pages(pages)
    , m_workers(workers)
    , m_control(control)
    , m_agents(agents)
    , m_store(store)
    , m_timers(timers)
    , m_scheduler(decisions, seed)
    , m_driver(agents, workers, timers, [this](const auto& value, auto done) { recordAttempt(value, done); })
{
    m_pages.acquired.subscribe([this](const std::string& organisation) { acquired(organisation); });
    m_pages.lost.subscribe([this](const std::string& organisation) { lost(organisation); });
    m_workers.joined.subscribe([this](const worker_record& worker) {
        feed(worker_joined { worker.info });
        for (const auto& page : m_pages.owned())
            fence(worker.info.name, page.organisation);
    });
    m_workers.heard.subscribe([this](const worker_record& worker) { workerHeard(worker); });
    m_workers.left.subscribe(
        [this](const std::string& worker) { feed(worker_left { worker }); });
    m_driver.running.subscribe([this](const attempt_id& id) {
        feed(attempt_running { id });
        update(id.organisation, [id](organisation_page& page) {
            if (const auto job = page.jobs.find(id.job); job != page.jobs.end() && !isEnd(job->second.state))
                job->second.state = job_state::Running;
        });
    });
    m_driver.ended.subscribe([this](const attempt_ended& what) { attemptEnded(what); });
}

void job_service::submit(
    const job_spec& spec, const std::string& idempotencyKey, milliseconds patience, job_handler done)
{
    const auto keeper = m_pages.find(spec.organisation);
    if (keeper == nullptr) {
        done(notOwned());
        return;
    }
    if (const auto* known = findByKey(keeper->page(), idempotencyKey); known != nullptr) {
        // The first submission may still be on its way to the store: an empty change waits for it.
        const auto nothing = [](organisation_page&) {};
        keeper->update(nothing, patience, [job = *known, done = std::move(done)](const result<bool>& committed) {
            if (committed)
                done(job);
            else
                done(committed.error());
        });
        return;
    }
    if (keeper->full()) {
        done(notRun(failure_kind::Overloaded, "the organisation's page is full"));
        return;
    }

    job_record record;
    record.spec = spec;
    record.spec.id = randomId();
    record.idempotencyKey = idempotencyKey;
    record.acceptedUnixMs = unixMilliseconds();
    const auto accept = [record](organisation_page& page) { page.jobs.emplace(record.spec.id, record); };
    keeper->update(accept, patience, [this, record, done = std::move(done)](const result<bool>& committed) {
        if (!committed) {
            // An end that is not known may still be an acceptance: the core learns of it from the page.
            if (committed.error().ran != verdict::NotRun)
                addToCore(record);
            done(committed.error());
            return;
        }
        addToCore(record);
        done(record);
    });
}

result<job_record> job_service::find(const std::string& organisation, const std::string& job) const
{
    const auto keeper = m_pages.find(organisation);
    if (keeper == nullptr)
        return notOwned();
    // An end that is not committed yet could still be taken back.
    for (const auto* page : { &keeper->committed(), &keeper->page() }) {
        if (const auto found = page->jobs.find(job); found != page->jobs.end())
            return found->second;
    }
    return notRun(failure_kind::NotFound, "no job " + job + " of " + organisation);
}

void job_service::wait(
    const std::string& organisation, const std::string& job, milliseconds longest, job_handler done)
{
    const auto now = find(organisation, job);
    if (!now || isEnd(now.value().state) || longest <= milliseconds::zero()) {
        done(now);
        return;
    }

    auto answered = std::make_shared<bool>(false);
    const auto answer = [this, organisation, job, answered, done = std::move(done)] {
        if (std::exchange(*answered, true))
            return;
        done(find(organisation, job));
    };
    m_waiters[{ organisation, job }].push_back(answer);
    m_timers.subscribeOnce(longest, [answer](time_point) { answer(); });
}

void job_service::cancel(
    const std::string& organisation, const std::string& job, milliseconds patience, job_handler done)
{
    const auto known = find(organisation, job);
    if (!known || isEnd(known.value().state)) {
        done(known);
        return;
    }

    logEvent(log_level::Info, "job_cancel_requested", { { "organisation", organisation }, { "job", job } });
    feed(job_cancelled { organisation, job });
    wait(organisation, job, patience, std::move(done));
}

std::vector<job_record> job_service::list(const std::string& organisation) const
{
    std::vector<job_record> jobs;
    if (const auto keeper = m_pages.find(organisation); keeper != nullptr) {
        for (const auto& [id, job] : keeper->committed().jobs)
            jobs.push_back(job);
    }
    return jobs;
}

std::size_t job_service::waitingJobs(const std::string& organisation) const
{
    const auto keeper = m_pages.find(organisation);
    if (keeper == nullptr)
        return 0;
    const auto& jobs = keeper->page().jobs;
    return static_cast<std::size_t>(
        std::count_if(jobs.begin(), jobs.end(), [](const auto& item) { return !isEnd(item.second.state); }));
}

void job_service::tick(bool mayStart)
{
    const auto now = m_timers.now();
    if (now - m_leasesChecked >= leaseCheckPeriod) {
        m_leasesChecked = now;
        m_driver.findLost(now);
        findLostTakeovers(now);
    }
    if (!mayStart || !m_pacer.due(now, m_waiting.size()))
        return;
    const auto commands = m_scheduler.tick(now);
    m_pacer.ran(now, m_waiting.size(), !commands.empty());
    for (const auto& command : commands)
        std::visit(visitor { *this }, command);
}

void job_service::feed(const event& what)
{
    m_scheduler.apply(what, m_timers.now());
    m_pacer.changed();
}

std::vector<attempt_id> job_service::acknowledged(const worker_record& worker) const
{
    std::vector<attempt_id> ids;
    for (const auto& task : worker.report.tasks) {
        const auto& id = task.attempt.id;
        const auto keeper = m_pages.find(id.organisation);
        if (keeper == nullptr || !mayAcknowledge(task, keeper->epoch()) || m_driver.active(id))
            continue;
        if (m_takeovers.contains({ id.organisation, id.job }))
            continue;
        const auto& jobs = keeper->committed().jobs;
        const auto job = jobs.find(id.job);
        const bool recorded
            = job != jobs.end() && job->second.recorded && job->second.recorded->id.number == id.number;
        if (!recorded)
            ids.push_back(id);
    }
    return ids;
}

void job_service::configurationChanged()
{
    const auto head = m_control.state().configuration();
    if (head == nullptr)
        return;

    organisations_changed change;
    for (const auto& organisation : head->parsed.organisations)
        change.organisations.push_back(organisation.policy);
    feed(change);
    for (const auto& domain : head->parsed.failureDomains)
        m_knownDomains.insert(domain.name);

    const auto& limits = head->parsed.limits;
    m_driver.setTimes({ limits.reservationTtl, limits.evictionGrace, limits.taskLease });
}

void job_service::failureDomainsChanged()
{
    const auto& out = m_control.state().failureDomains().out;
    m_knownDomains.insert(out.begin(), out.end());
    for (const auto& domain : m_knownDomains)
        feed(failure_domain_changed { domain, out.contains(domain) });
}

void job_service::acquired(const std::string& organisation)
{
    const auto keeper = m_pages.find(organisation);
    for (const auto& [id, job] : keeper->page().jobs) {
        if (isEnd(job.state))
            continue;
        if (job.recorded)
            m_takeovers[{ organisation, id }] = { job, m_timers.now() };
        else
            addToCore(job);
    }
    for (const auto& [name, worker] : m_workers.all()) {
        if (worker.present)
            fence(name, organisation);
    }
}

void job_service::lost(const std::string& organisation)
{
    feed(organisation_released { organisation });
    m_driver.dropOrganisation(organisation);
    std::erase_if(m_takeovers, [&](const auto& item) { return item.first.first == organisation; });
    std::erase_if(m_waiting, [&](const auto& key) { return key.first == organisation; });
    for (auto& [key, waiters] : m_waiters) {
        if (key.first == organisation)
            notifyWaiters(key);
    }
}

void job_service::fence(const std::string& worker, const std::string& organisation)
{
    const auto keeper = m_pages.find(organisation);
    if (keeper == nullptr)
        return;
    m_agents.fence(worker, organisation, keeper->epoch(),
        [this, worker, organisation](const result<std::vector<task_report>>& reports) {
            fenceAnswered(worker, organisation, reports);
        });
}

void job_service::fenceAnswered(
    const std::string& worker, const std::string& organisation, const result<std::vector<task_report>>& reports)
{
    if (!reports)
        return;

    std::vector<std::pair<job_key, std::optional<task_report>>> settled;
    for (const auto& [key, waiting] : m_takeovers) {
        const auto& recorded = *waiting.job.recorded;
        if (key.first != organisation || recorded.allocations.front().worker != worker)
            continue;
        const auto* task = findTask(reports.value(), recorded.id);
        settled.emplace_back(key, task == nullptr ? std::nullopt : std::optional(*task));
    }
    for (const auto& [key, lead] : settled)
        settleTakeover(key, lead);
}

void job_service::settleTakeover(const job_key& key, const std::optional<task_report>& lead)
{
    auto found = m_takeovers.extract(key);
    const auto& job = found.mapped().job;
    auto running = *job.recorded;
    if (const auto keeper = m_pages.find(key.first); keeper != nullptr)
        running.epoch = keeper->epoch();

    logEvent(log_level::Info, "attempt_adopted",
        { { "organisation", key.first }, { "job", key.second }, { "attempt", running.id.number },
            { "lead_phase", lead ? toString(lead->phase) : "unknown" } });
    feed(job_adopted { job.spec, running });
    m_driver.adopt(running);
    if (lead && lead->phase != task_phase::Reserved)
        return;

    // The lead does not know the attempt, or never got the commit: it will not run under the old owner any more.
    for (const auto& given : running.allocations) {
        m_agents.release(given.worker, { running.id }, running.epoch, "taken over before its commit",
            [](const result<std::vector<task_report>>&) {});
    }
}

void job_service::findLostTakeovers(time_point now)
{
    std::vector<job_key> overdue;
    for (const auto& [key, waiting] : m_takeovers) {
        const auto limit = waiting.job.spec.repeatable ? repeatableTakeoverLimit : unrepeatableTakeoverLimit;
        if (now - waiting.since > limit)
            overdue.push_back(key);
    }
    for (const auto& key : overdue)
        settleTakeover(key, std::nullopt);
}

void job_service::recordAttempt(const attempt& value, const std::function<void(result<bool>)>& done)
{
    const auto keeper = m_pages.find(value.id.organisation);
    if (keeper == nullptr) {
        done(notOwned());
        return;
    }

    const auto write = [value](organisation_page& page) {
        const auto job = page.jobs.find(value.id.job);
        if (job == page.jobs.end() || isEnd(job->second.state))
            return;
        job->second.state = job_state::Starting;
        job->second.attempts += value.id.number > job->second.lastAttempt ? 1 : 0;
        job->second.lastAttempt = std::max(job->second.lastAttempt, value.id.number);
        job->second.recorded = value;
    };
    // What may run twice need not wait for a store that is down.
    if (value.repeatable && m_store.health() == store_health::Down) {
        keeper->update(write, std::nullopt, [](const result<bool>&) {});
        done(true);
        return;
    }
    keeper->update(write, m_driver.reservationTtl() / 2, done);
}

void job_service::attemptEnded(const attempt_ended& what)
{
    feed(what);
    if (what.outcome != attempt_outcome::Finished)
        m_pacer.backedOff(m_timers.now());
    const auto keeper = m_pages.find(what.id.organisation);
    if (keeper == nullptr)
        return;
    m_waiting.emplace(what.id.organisation, what.id.job);
    const auto job = keeper->page().jobs.find(what.id.job);
    // An attempt refused before it was recorded leaves nothing to write.
    if (job == keeper->page().jobs.end() || !job->second.recorded || job->second.recorded->id != what.id)
        return;
    update(what.id.organisation, [id = what.id](organisation_page& page) {
        const auto found = page.jobs.find(id.job);
        if (found == page.jobs.end() || !found->second.recorded || found->second.recorded->id != id)
            return;
        found->second.recorded.reset();
        if (!isEnd(found->second.state))
            found->second.state = job_state::Waiting;
    });
}

void job_service::workerHeard(const worker_record& worker)
{
    m_driver.workerHeard(worker);
    m_scheduler.apply(
        worker_reported { worker.info.name, worker.report.tasks, worker.report.leaving, worker.report.failuresInRow },
        m_timers.now());
    if (worker.changed)
        m_pacer.changed();
    releaseStale(worker);
}

void job_service::releaseStale(const worker_record& worker)
{
    std::map<std::string, std::vector<attempt_id>> stale;
    for (const auto& task : worker.report.tasks) {
        const auto& id = task.attempt.id;
        const auto keeper = m_pages.find(id.organisation);
        if (isTerminal(task.phase) || keeper == nullptr || m_driver.active(id))
            continue;
        if (m_takeovers.contains({ id.organisation, id.job }))
            continue;
        stale[id.organisation].push_back(id);
    }
    for (const auto& [organisation, ids] : stale) {
        m_agents.release(worker.info.name, ids, m_pages.find(organisation)->epoch(), "superseded",
            [](const result<std::vector<task_report>>&) {});
    }
}

void job_service::finishJob(const finish_job& command)
{
    m_waiting.erase({ command.organisation, command.job });
    logEvent(log_level::Info, "job_ended",
        { { "organisation", command.organisation }, { "job", command.job }, { "outcome", toString(command.outcome) },
            { "reason", command.reason } });
    const auto end = [command, now = unixMilliseconds()](organisation_page& page) {
        const auto job = page.jobs.find(command.job);
        if (job == page.jobs.end() || isEnd(job->second.state))
            return;
        job->second.state = endState(command.outcome);
        job->second.reason = command.reason;
        job->second.endedUnixMs = now;
        job->second.recorded.reset();
    };
    const auto keeper = m_pages.find(command.organisation);
    if (keeper == nullptr)
        return;
    // Callers are told an end only once it lasts.
    keeper->update(end, std::nullopt, [this, key = job_key(command.organisation, command.job)](const result<bool>&) {
        notifyWaiters(key);
    });
}

void job_service::notifyWaiters(const job_key& key)
{
    const auto found = m_waiters.find(key);
    if (found == m_waiters.end())
        return;
    const auto waiters = std::exchange(found->second, {});
    for (const auto& waiter : waiters)
        waiter();
}

void job_service::addToCore(const job_record& job)
{
    const milliseconds waited(std::max<std::int64_t>(0, unixMilliseconds() - job.acceptedUnixMs));
    const auto keeper = m_pages.find(job.spec.organisation);
    if (keeper == nullptr)
        return;
    const auto last = std::max(job.lastAttempt, firstAttemptOf(keeper->epoch()));
    m_waiting.emplace(job.spec.organisation, job.spec.id);
    feed(job_added { job.spec, last, waited });
}

void job_service::update(const std::string& organisation, page_keeper::change change)
{
    const auto keeper = m_pages.find(organisation);
    if (keeper == nullptr)
        return;
    keeper->update(std::move(change), std::nullopt, [](const result<bool>&) {});
}

} // namespace oriole
