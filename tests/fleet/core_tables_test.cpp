#include "core_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace fleet;
using namespace fleet::test;

namespace {

/// @brief Requires that each worker's run index and used resources match the live runs on it.
void requireConsistent(const tables& state)
{
    std::map<std::string, std::set<run_id>> runs;
    std::map<std::string, resources> used;
    for (const auto& [id, run] : state.runs) {
        RC_ASSERT(id == run.id);
        runs[run.worker].insert(id);
        used[run.worker] += run.need;
    }
    for (const auto& [name, worker] : state.workers) {
        RC_ASSERT(worker.runs == runs[name]);
        RC_ASSERT(worker.used == used[name]);
    }
}

run_id anyRun(const tables& state)
{
    const auto position = *rc::gen::inRange<std::size_t>(0, state.runs.size());
    return std::next(state.runs.begin(), static_cast<std::ptrdiff_t>(position))->first;
}

} // namespace

TEST_CASE("after any sequence of events each worker's run index and used resources match its live runs", "[core][tables]")
{
    REQUIRE(rc::check([] {
        core_fixture fixture;
        unsigned jobs = 0;
        const std::vector<std::string> workers { "w1", "w2", "w3" };
        for (const auto& worker : workers)
            fixture.report(worker, workerReport("r1"));
        for (int turn = 0; turn < 40; ++turn) {
            fixture.now += milliseconds(*rc::gen::inRange(50, 900));
            const auto worker = *rc::gen::elementOf(workers);
            const auto& runs = fixture.core.state().runs;
            const int event = *rc::gen::inRange(0, 8);
            if (event <= 1) {
                auto one = step(*rc::gen::inRange(1U, 5U), *rc::gen::inRange(1, 9));
                one.gang = *rc::gen::arbitrary<bool>();
                one.fillsIdle = *rc::gen::arbitrary<bool>();
                fixture.add(job("j" + std::to_string(jobs++), event == 0 ? "batch" : "urgent", { one }));
            } else if (event == 2 && !runs.empty()) {
                const auto run = anyRun(fixture.core.state());
                const auto how = *rc::gen::element(run_outcome::Done, run_outcome::Failed, run_outcome::Stopped, run_outcome::Broken);
                fixture.end(runs.at(run).worker, workerReport("r1"), run, how);
            } else if (event == 3) {
                fixture.report(worker, workerReport("r1", 8, *rc::gen::element<std::string>("i", "k")));
            } else if (event == 4) {
                fixture.core.markWorkerLost(worker, fixture.now);
            } else if (event == 5 && !runs.empty()) {
                fixture.core.startRefused(anyRun(fixture.core.state()), true, fixture.now);
            } else if (event == 6) {
                auto report = workerReport("r1");
                report.active.push_back({ { { "stray", 0, 0, static_cast<unsigned>(turn) }, 1 }, {}, 5 });
                fixture.core.applyReport(worker, report, fixture.now);
            } else if (jobs > 0) {
                fixture.core.cancelJob("j" + std::to_string(*rc::gen::inRange(0U, jobs)));
            }
            fixture.decide();
            requireConsistent(fixture.core.state());
        }
    }));
}

// Each step was followed along every path, so one job with 40 steps that all depend on the earlier ones held up the scheduler.
TEST_CASE("the critical path of a job in which every step depends on all earlier ones is found at once", "[core]")
{
    job_spec spec;
    for (unsigned i = 0; i < 60; ++i) {
        auto next = step(1, 1, 10);
        for (unsigned earlier = 0; earlier < i; ++earlier)
            next.after.push_back(earlier);
        spec.steps.push_back(std::move(next));
    }
    CHECK(criticalPath(spec) == milliseconds(600));
    CHECK(criticalPathFrom(spec, 59) == milliseconds(10));
    CHECK(criticalPathFrom(spec, 20) == milliseconds(400));
}
