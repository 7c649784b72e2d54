/// @file
/// @brief Several scheduler cores over one simulated fleet, with an oracle that checks every command.
#pragma once

#include "fake_fleet.hpp"

#include <oriole/core/scheduler.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace oriole::test {

struct violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// @brief One step of a history, interpreted by @c fuzz_world. Any combination of numbers is a valid step.
struct fuzz_step {
    unsigned kind = 0;
    unsigned first = 0;
    unsigned second = 0;
    unsigned third = 0;
};

struct world_options {
    unsigned entries = 1;
    unsigned workers = 6;
    bool disturbances = true; ///< Injects lost workers, failure domains that are out, and workers on which all tasks fail.
    policy chosen = guarantee_policy {};
    std::uint64_t seed = 1;
};

/// @brief State of a job as tracked by the oracle.
struct known_job {
    job_spec spec;
    std::size_t owner = 0;
    milliseconds length { 0 };
    bool cancelled = false;
    bool mayHaveRun = false;
    bool ended = false;
    unsigned attempts = 0;
};

class fuzz_world {
public:
    explicit fuzz_world(const world_options& options);

    void step(const fuzz_step& what);

    /// @brief Repairs the fleet and runs until every job has ended; throws if a job does not end.
    void settle();

    /// @brief True if each unused guarantee can be placed on the simulated fleet by evicting only borrowed work.
    [[nodiscard]] bool guaranteesPlaceable() const;

    [[nodiscard]] bool disturbed() const { return m_disturbed; }
    [[nodiscard]] std::string describe() const;

private:
    struct entry {
        std::unique_ptr<scheduler> core;
        std::deque<event> undelivered; ///< Events not yet delivered to this entry: reports and changes of the fleet.
        std::map<attempt_id, attempt> active; ///< Attempts that it started and does not know to have ended.
        std::set<std::string> domainsOut; ///< According to the events delivered to it.
    };

    void addJob(const fuzz_step& what);
    void cancel(const fuzz_step& what);
    void disturb(const fuzz_step& what);
    void broadcast(const event& what);
    void reportAll();
    void deliver(entry& to, std::size_t count);
    void tick(std::size_t which);
    void pass(milliseconds time);
    void deliverAttempts();
    void execute(std::size_t which, const command& what);
    void checkStart(std::size_t which, const start_attempt& wanted) const;
    void checkShape(const start_attempt& wanted, const shape& asked) const;
    void checkOverlap(const entry& from, const start_attempt& wanted) const;
    void checkQuota(const entry& from, const start_attempt& wanted) const;
    [[nodiscard]] bool allEnded() const;

    world_options m_options;
    fake_fleet m_fleet;
    std::vector<organisation_policy> m_organisations;
    std::vector<entry> m_entries;
    std::map<std::pair<std::string, std::string>, known_job> m_jobs;
    time_point m_now {};
    bool m_disturbed = false;
};

} // namespace oriole::test
