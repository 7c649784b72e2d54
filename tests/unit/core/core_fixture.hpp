/// @file
/// @brief Fixture with a small fleet for tests of the decision core, and helpers that send the events its commands expect.
#pragma once

#include <oriole/core/scheduler.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace oriole::test {

using namespace std::chrono_literals;

inline worker_info workerNamed(const std::string& name, const std::string& domain, const std::string& rack, unsigned accelerators = 8)
{
    worker_info info;
    info.name = name;
    info.rpc = "127.0.0.1:1";
    info.failureDomain = domain;
    info.rack = rack;
    info.accelerators = accelerators;
    info.processors = 128;
    info.memoryGb = 512;
    info.incarnation = 1;
    return info;
}

inline job_spec jobNamed(const std::string& organisation, const std::string& id, shape wanted, milliseconds run = 1000ms)
{
    job_spec job;
    job.organisation = organisation;
    job.id = id;
    job.shape = wanted;
    job.declaredRun = run;
    return job;
}

inline shape gang(unsigned accelerators, adjacency closeness = adjacency::Worker)
{
    return { accelerators, closeness, accelerators, accelerators };
}

/// @brief A scheduler with a simulated clock.
struct core_fixture {
    scheduler core;
    time_point now {};

    explicit core_fixture(policy chosen = guarantee_policy {})
        : core(chosen, 1)
    {
    }

    void apply(const event& what) { core.apply(what, now); }

    std::vector<command> tick(milliseconds after = 100ms)
    {
        now += after;
        return core.tick(now);
    }

    /// @brief Adds workers DOMAIN-w0, DOMAIN-w1, ... of one failure domain, three to a rack.
    void addWorkers(unsigned count, const std::string& domain = "praha")
    {
        for (unsigned index = 0; index < count; ++index)
            apply(worker_joined { workerNamed(domain + "-w" + std::to_string(index), domain, "r" + std::to_string(index / 3)) });
    }

    void addOrganisations(std::vector<organisation_policy> organisations)
    {
        apply(organisations_changed { std::move(organisations) });
    }

    /// @brief Adds the job and returns the commands of the next tick.
    std::vector<command> submit(const job_spec& job)
    {
        apply(job_added { job });
        return tick();
    }

    void run(const attempt_id& id) { apply(attempt_running { id }); }

    void end(const attempt_id& id, attempt_outcome outcome, bool mayHaveRun = true, const std::string& worker = "", milliseconds ran = 1000ms)
    {
        apply(attempt_ended { id, outcome, mayHaveRun, worker, ran });
    }
};

template <typename wanted>
std::vector<wanted> only(const std::vector<command>& commands)
{
    std::vector<wanted> found;
    for (const auto& one : commands) {
        if (const auto* match = std::get_if<wanted>(&one))
            found.push_back(*match);
    }
    return found;
}

} // namespace oriole::test
