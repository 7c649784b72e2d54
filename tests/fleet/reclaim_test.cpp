/// @file
/// @brief Work within a guarantee starts within the stated bound, whatever the work that is in its way does.
#include "core_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace fleet;
using namespace fleet::test;

namespace {

constexpr milliseconds reclaimBound { 2700 };
constexpr milliseconds tick { 100 };
// A stopped run ends within 200 ms and its end is reported by the next poll.
constexpr milliseconds stopDuration { 300 };

/// @brief Workers that report every tick, stop runs when told to, and run at speeds given by the test.
class reclaim_fixture : public core_fixture {
public:
    std::map<std::string, std::string> racks; ///< Rack of each worker.
    std::function<double(const live_run&)> percentOf = [](const live_run&) { return 0.0; };
    std::set<std::string> ignoringStops; ///< Workers that answer no stop.

    void guarantee(const std::string& organisation, std::int64_t accelerators)
    {
        auto rules = core.state().rules;
        rules.organisations.push_back({ organisation, {}, accelerators });
        core.configure(rules);
    }

    void advance()
    {
        now += tick;
        for (const auto& [worker, rack] : racks)
            core.applyReport(worker, reportOf(worker, rack), now);
        for (const auto& order : only<stop_effect>(decide()))
            m_stoppedAt[order.run] = now;
    }

    void advance(milliseconds duration)
    {
        for (const auto end = now + duration; now < end;)
            advance();
    }

    /// @brief Advances until all tasks of the job's first step are live.
    /// @return The time that passed; no value if the bound passed first.
    std::optional<milliseconds> timeToStart(const std::string& id)
    {
        const auto began = now;
        while (now - began < reclaimBound) {
            advance();
            const auto& tasks = core.findJob(id)->progress.occurrences.at(0).steps.at(0);
            const auto isLive = [](const task_progress& task) { return task.status == task_status::Live; };
            if (std::all_of(tasks.begin(), tasks.end(), isLive))
                return std::chrono::duration_cast<milliseconds>(now - began);
        }
        return std::nullopt;
    }

private:
    worker_report reportOf(const std::string& worker, const std::string& rack)
    {
        auto report = workerReport(rack);
        for (const auto& [id, run] : core.state().runs) {
            if (run.worker != worker)
                continue;
            const auto stopped = m_stoppedAt.find(id);
            if (stopped != m_stoppedAt.end() && !ignoringStops.contains(worker) && now - stopped->second >= stopDuration)
                report.ended.push_back({ ++endCount, id, run_outcome::Stopped, {} });
            else
                report.active.push_back({ id, {}, percentOf(run) });
        }
        return report;
    }

    std::map<run_id, time_point> m_stoppedAt;
};

accepted_job guaranteedJob(const std::string& id, std::vector<step_spec> steps)
{
    auto out = job(id, "urgent", std::move(steps));
    out.organisation = "holder";
    return out;
}

double secondsSince(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

TEST_CASE("guaranteed work does not wait for a gang whose fast member has finished and whose slow member has not", "[core][reclaim]")
{
    reclaim_fixture fixture;
    fixture.racks = { { "w1", "r1" }, { "w2", "r1" } };
    fixture.guarantee("holder", 8);
    fixture.advance();
    auto gang = step(2, 8, 8000);
    gang.gang = true;
    fixture.add(job("batch", "batch", { gang }));
    fixture.advance();
    const auto began = fixture.now;
    fixture.percentOf = [&](const live_run& run) {
        return std::min(100.0, secondsSince(began, fixture.now) * (run.id.task.index == 0 ? 20 : 10));
    };
    fixture.advance(milliseconds(4200));
    fixture.add(guaranteedJob("urgent", { step(1, 8) }));
    CHECK(fixture.timeToStart("urgent"));
}

TEST_CASE("guaranteed work does not wait for a run that stopped to progress shortly before its end", "[core][reclaim]")
{
    reclaim_fixture fixture;
    fixture.racks = { { "w1", "r1" } };
    fixture.guarantee("holder", 8);
    fixture.advance();
    fixture.add(job("batch", "batch", { step(1, 8, 8000) }));
    fixture.advance();
    const auto began = fixture.now;
    fixture.percentOf = [&](const live_run&) { return std::min(97.0, secondsSince(began, fixture.now) * 18); };
    fixture.advance(milliseconds(5200));
    fixture.add(guaranteedJob("urgent", { step(1, 8) }));
    CHECK(fixture.timeToStart("urgent"));
}

TEST_CASE("guaranteed work does not wait for a worker that answers no stop", "[core][reclaim]")
{
    reclaim_fixture fixture;
    fixture.racks = { { "w1", "r1" }, { "w2", "r1" } };
    fixture.guarantee("holder", 8);
    fixture.advance();
    fixture.add(job("batch", "batch", { step(2, 8, 8000) }));
    fixture.advance(milliseconds(1000));
    fixture.add(guaranteedJob("urgent", { step(1, 8) }));
    fixture.ignoringStops = { "w1" };
    CHECK(fixture.timeToStart("urgent"));
}

TEST_CASE("a later job beyond the guarantee does not take it from an earlier job within it", "[core][reclaim]")
{
    reclaim_fixture fixture;
    fixture.racks = { { "w1", "r1" } };
    fixture.guarantee("holder", 8);
    fixture.advance();
    auto other = job("other", "urgent", { step(1, 8, 8000) });
    other.organisation = "without";
    fixture.add(other);
    fixture.advance(milliseconds(1000));
    fixture.add(guaranteedJob("within", { step(1, 8) }));
    fixture.now += milliseconds(10);
    fixture.add(guaranteedJob("beyond", { step(1, 8) }));
    CHECK(fixture.timeToStart("within"));
    CHECK(fixture.core.findJob("beyond")->progress.state == job_state::Queued);
}

TEST_CASE("guaranteed work with free resources elsewhere evicts nothing", "[core][reclaim]")
{
    reclaim_fixture fixture;
    fixture.racks = { { "w1", "r1" }, { "w2", "r1" } };
    fixture.guarantee("holder", 8);
    fixture.advance();
    fixture.add(job("batch", "batch", { step(1, 8, 8000) }));
    fixture.advance(milliseconds(1000));
    fixture.add(guaranteedJob("urgent", { step(1, 8) }));
    CHECK(fixture.timeToStart("urgent"));
    CHECK(fixture.core.findJob("batch")->evictions.empty());
}

// Guards against urgent work that is stopped although the guarantee would have been met by the bound without it.
TEST_CASE("urgent work that is in time gives way to a guarantee only when that is due", "[core][reclaim][shares]")
{
    reclaim_fixture fixture;
    fixture.racks = { { "w1", "r1" } };
    fixture.guarantee("holder", 8);
    fixture.advance();
    auto other = job("other", "urgent", { step(1, 8, 8000) });
    other.organisation = "without";
    fixture.add(other);
    const auto began = fixture.now;
    const auto isStopped = [&] { return !fixture.core.findJob("other")->evictions.empty(); };
    fixture.percentOf = [&](const live_run&) { return secondsSince(began, fixture.now) * 12; };

    SECTION("in time: it continues until the reclaim is due")
    {
        fixture.advance(milliseconds(2000));
        fixture.add(guaranteedJob("within", { step(1, 8) }));
        fixture.advance(fixture.core.state().limits.reclaimDelay - milliseconds(200));
        CHECK_FALSE(isStopped());
        fixture.advance(milliseconds(400));
        CHECK(isStopped());
    }
    SECTION("late: it gives way at once")
    {
        fixture.percentOf = [](const live_run&) { return 1.0; };
        fixture.advance(milliseconds(6000));
        fixture.add(guaranteedJob("within", { step(1, 8) }));
        fixture.advance(milliseconds(200));
        CHECK(isStopped());
    }
    CHECK(fixture.timeToStart("within"));
}
