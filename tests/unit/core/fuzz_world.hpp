/// @file
/// @brief Several cores over one ledger of agents, with an oracle that checks every command.
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

/// @brief One step of a history, interpreted by the world; any numbers make a valid step.
struct fuzz_step {
    unsigned kind = 0;
    unsigned first = 0;
    unsigned second = 0;
    unsigned third = 0;
};

struct world_options {
    unsigned entries = 1;
    unsigned workers = 6;
    bool disturbances = true; ///< Lost workers, failure domains out, workers that fail everything.
    policy chosen = guarantee_policy {};
    std::uint64_t seed = 1;
};

/// @brief What the oracle knows of a job.
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

    /// @brief Heals the fleet and runs until every job has ended; throws when one does not.
    void settle();

    /// @brief True when the ledger leaves a place for every unused guarantee, by evicting borrowed work only.
    [[nodiscard]] bool guaranteesPlaceable() const;

    [[nodiscard]] bool disturbed() const { return m_disturbed; }
    [[nodiscard]] std::string describe() const;

private:
    struct entry {
        std::unique_ptr<scheduler> core;
        std::deque<event> told; ///< Reports and changes of the fleet on their way to it.
        std::map<attempt_id, attempt> active; ///< Started and not yet known to have ended.
        std::set<std::string> domainsOut; ///< As told to it.
    };

    void addJob(const fuzz_step& what);
    void cancel(const fuzz_step& what);
    void disturb(const fuzz_step& what);
    void tell(const event& what);
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
