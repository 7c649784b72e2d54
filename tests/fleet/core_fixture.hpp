/// @file
/// @brief Fixture with a scheduler core, and short helpers to describe workers and jobs.
#pragma once

#include <fleet/core/scheduler_core.hpp>

#include <string>
#include <utility>
#include <vector>

namespace fleet::test {

inline const time_point start = time_point(std::chrono::seconds(1000));
inline const std::string service = "column";

inline queue_rule queue(const std::string& name, unsigned priority, double slackFactor = 3, std::int64_t targetMs = 1000)
{
    return { name, "host", "/" + name + "/", service, priority, 3, slackFactor, targetMs, true };
}

inline worker_report workerReport(const std::string& rack, std::int64_t accelerators = 8, const std::string& instance = "i")
{
    worker_report report;
    report.worker.incarnation = { instance, 1 };
    report.worker.service = service;
    report.worker.failureDomain = "domain-a";
    report.worker.labels = { "a", rack };
    report.worker.capacity = { 128'000, 512'000, accelerators };
    return report;
}

inline step_spec step(unsigned count, std::int64_t accelerators, std::int64_t runTimeMs = 4000)
{
    step_spec out;
    out.count = count;
    out.need = { 1000, 1000, accelerators };
    out.runTimeMs = runTimeMs;
    return out;
}

inline accepted_job job(const std::string& id, const std::string& queueName, std::vector<step_spec> steps)
{
    accepted_job out;
    out.id = id;
    out.queue = queueName;
    out.service = service;
    out.spec.steps = std::move(steps);
    return out;
}

/// @brief A scheduler core with two queues: `urgent` with priority 0 and `batch` with priority 2.
class core_fixture {
public:
    core_fixture()
        : core(core_settings {})
    {
        configuration rules;
        rules.queues = { queue("urgent", 0, 1.5, 300), queue("batch", 2) };
        core.configure(rules);
    }

    /// @brief Sends a worker's report that lists all runs that the core has placed on the worker, except those whose start
    /// is not yet accepted.
    void report(const std::string& worker, worker_report what)
    {
        for (const auto& [id, run] : core.state().runs) {
            if (run.worker == worker && run.life == what.worker.incarnation && run.phase != run_phase::Placed)
                what.active.push_back({ id, {}, run.percent });
        }
        core.applyReport(worker, what, now);
    }

    void add(accepted_job what, job_progress progress = {}) { core.addJob(std::move(what), std::move(progress), now, now); }

    /// @brief Lets the core make one decision and accepts every start that it orders.
    std::vector<effect> decide()
    {
        auto effects = core.decide(now, 0);
        for (const auto& entry : effects) {
            if (const auto* order = std::get_if<start_effect>(&entry))
                core.startAccepted(order->run, now);
        }
        return effects;
    }

    /// @brief Sends a worker's report that lists the end of a run.
    void end(const std::string& worker, worker_report what, const run_id& run, run_outcome how)
    {
        what.ended.push_back({ ++endCount, run, how, {} });
        core.applyReport(worker, what, now);
    }

    template <typename Effect>
    static std::vector<Effect> only(const std::vector<effect>& effects)
    {
        std::vector<Effect> chosen;
        for (const auto& entry : effects) {
            if (const auto* match = std::get_if<Effect>(&entry))
                chosen.push_back(*match);
        }
        return chosen;
    }

    scheduler_core core;
    time_point now = start;
    std::uint64_t endCount = 0;
};

} // namespace fleet::test
