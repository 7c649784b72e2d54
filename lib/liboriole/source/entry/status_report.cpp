#include <oriole/entry/status_report.hpp>

#include <bit>
#include <set>

namespace oriole {

namespace {

using json = nlohmann::json;

json describeShape(const shape& value)
{
    return { { "accelerators", value.accelerators }, { "adjacency", toString(value.adjacency) } };
}

unsigned acceleratorsUsed(const worker_record& worker)
{
    accelerator_set used = 0;
    for (const auto& task : worker.report.tasks) {
        if (isTerminal(task.phase))
            continue;
        for (const auto& given : task.attempt.allocations) {
            if (given.worker == worker.info.name)
                used |= given.accelerators;
        }
    }
    return static_cast<unsigned>(std::popcount(used));
}

std::string_view verdictOf(job_state state)
{
    switch (state) {
    case job_state::Finished:
    case job_state::Failed:
        return "completed";
    case job_state::Cancelled:
        return "not-run";
    case job_state::MayHaveRun:
        return "may-have-run";
    default:
        return "";
    }
}

} // namespace

json describeJob(const job_record& job)
{
    json target { { "job", job.spec.id }, { "organisation", job.spec.organisation }, { "state", toString(job.state) },
        { "attempts", job.attempts }, { "shape", describeShape(job.spec.shape) },
        { "class", toString(job.spec.jobClass) }, { "repeatable", job.spec.repeatable }, { "reason", job.reason },
        { "workers", json::array() } };
    if (job.recorded) {
        for (const auto& given : job.recorded->allocations)
            target["workers"].push_back(given.worker);
    }
    if (const auto verdict = verdictOf(job.state); !verdict.empty())
        target["verdict"] = verdict;
    // A job withdrawn after an attempt of it was recorded may have run for a while.
    if (job.state == job_state::Cancelled && job.attempts > 0)
        target["verdict"] = "may-have-run";
    return target;
}

json describeStatus(const entry_node& node)
{
    const auto summary = node.jobs.summary();
    json uncovered = json::array();
    for (const auto& missing : summary.uncovered) {
        uncovered.push_back({ { "organisation", missing.organisation }, { "shape", describeShape(missing.shape) },
            { "missing", missing.missing } });
    }
    json peers = json::array();
    for (const auto& peer : node.peers.livePeers())
        peers.push_back({ { "name", peer.address.name }, { "reads_store", peer.readsStore } });
    json owned = json::array();
    for (const auto& page : node.pages.owned())
        owned.push_back({ { "organisation", page.organisation }, { "epoch", page.epoch } });

    return { { "entry", node.settings.name }, { "environment", node.settings.environment },
        { "region", node.settings.region }, { "failure_domain", node.settings.failureDomain },
        { "leaving", node.leaving() }, { "fresh", node.fresh() },
        { "store", { { "health", toString(node.store.health()) }, { "calls", node.store.calls() } } },
        { "configuration_revision", node.control.state().configurationRevision() },
        { "failure_domains_out", node.control.state().failureDomains().out }, { "peers", std::move(peers) },
        { "owned", std::move(owned) }, { "workers", summary.workers },
        { "accelerators", { { "total", summary.acceleratorsTotal }, { "used", summary.acceleratorsUsed } } },
        { "jobs_waiting", summary.jobsWaiting }, { "attempts_active", summary.attemptsActive },
        { "guarantees",
            { { "unused", summary.guaranteedShapesUnused }, { "startable", summary.guaranteedShapesStartable },
                { "uncovered", std::move(uncovered) } } },
        { "requests", { { "in_flight", node.dispatcher.inFlight() }, { "waiting", node.dispatcher.waiting() } } } };
}

json describeWorkers(const entry_node& node)
{
    json list = json::array();
    for (const auto& [name, worker] : node.workers.all()) {
        list.push_back({ { "name", name }, { "present", worker.present }, { "region", worker.info.region },
            { "failure_domain", worker.info.failureDomain }, { "rack", worker.info.rack },
            { "service", worker.info.service }, { "accelerators", worker.info.accelerators },
            { "accelerators_used", acceleratorsUsed(worker) }, { "leaving", worker.report.leaving },
            { "backend_healthy", worker.report.backendHealthy },
            { "requests_running", worker.report.requestsRunning },
            { "requests_queued", worker.report.requestsQueued },
            { "on_probation", node.health.onProbation(name) } });
    }
    return { { "workers", std::move(list) } };
}

json describeOrganisations(const entry_node& node)
{
    json list = json::array();
    const auto head = node.control.state().configuration();
    if (head == nullptr)
        return { { "organisations", std::move(list) } };
    for (const auto& organisation : head->parsed.organisations) {
        json guarantees = json::array();
        for (const auto& held : organisation.policy.guarantees) {
            auto described = describeShape(held.shape);
            described["count"] = held.count;
            guarantees.push_back(std::move(described));
        }
        list.push_back({ { "name", organisation.policy.name }, { "entry", node.pages.entryFor(organisation.policy.name) },
            { "weight", organisation.policy.weight }, { "quota", organisation.policy.acceleratorQuota },
            { "guarantees", std::move(guarantees) } });
    }
    return { { "organisations", std::move(list) } };
}

json describeFailureDomains(const entry_node& node)
{
    std::set<std::string> names = node.control.state().failureDomains().out;
    if (const auto head = node.control.state().configuration(); head != nullptr) {
        for (const auto& domain : head->parsed.failureDomains)
            names.insert(domain.name);
    }
    json list = json::array();
    for (const auto& name : names)
        list.push_back({ { "name", name }, { "state", node.control.state().isOut(name) ? "out" : "in" } });
    return { { "revision", node.control.state().failureDomains().revision }, { "failure_domains", std::move(list) } };
}

json describeRollout(const entry_node& node)
{
    json entries = json::array();
    const auto revision = node.control.state().configurationRevision();
    entries.push_back({ { "name", node.settings.name }, { "revision", revision } });
    for (const auto& peer : node.peers.livePeers())
        entries.push_back({ { "name", peer.address.name }, { "revision", peer.configurationRevision } });
    json workers = json::array();
    for (const auto& [name, worker] : node.workers.all()) {
        if (worker.present)
            workers.push_back({ { "name", name }, { "revision", worker.report.configurationRevision } });
    }
    const auto age = node.inForceEverywhere();
    return { { "revision", revision }, { "entries", std::move(entries) }, { "workers", std::move(workers) },
        { "everywhere", age > milliseconds::zero() }, { "in_force_ms", age.count() },
        { "invariant_violations", node.metrics.counter("oriole_invariant_violations_total").value() } };
}

void updateGauges(const entry_node& node)
{
    const auto summary = node.jobs.summary();
    auto& metrics = node.metrics;
    metrics.gauge("oriole_workers").set(summary.workers);
    metrics.gauge("oriole_accelerators").set(summary.acceleratorsTotal);
    metrics.gauge("oriole_accelerators_used").set(summary.acceleratorsUsed);
    metrics.gauge("oriole_jobs_waiting").set(summary.jobsWaiting);
    metrics.gauge("oriole_attempts_active").set(summary.attemptsActive);
    metrics.gauge("oriole_guarantees_uncovered").set(static_cast<double>(summary.uncovered.size()));
    metrics.gauge("oriole_requests_in_flight").set(static_cast<double>(node.dispatcher.inFlight()));
    metrics.gauge("oriole_store_calls").set(static_cast<double>(node.store.calls()));
    metrics.gauge("oriole_configuration_revision")
        .set(static_cast<double>(node.control.state().configurationRevision()));
    metrics.gauge("oriole_control_view_fresh").set(node.fresh() ? 1 : 0);
    metrics.counter("oriole_invariant_violations_total");
}

} // namespace oriole
