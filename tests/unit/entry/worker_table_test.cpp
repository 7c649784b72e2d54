#include <oriole/entry/worker_table.hpp>
#include <oriole/helpers/event_loop.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

struct worker_fixture {
    event_loop loop;
    worker_table workers { loop.timers() };

    std::uint64_t announce(const std::string& name)
    {
        worker_info info;
        info.name = name;
        return workers.announced(info, rpc::Agent::Client(nullptr));
    }

    static worker_report withTask(task_phase phase)
    {
        worker_report report;
        report.tasksChanged = true;
        report.tasks.emplace_back().phase = phase;
        return report;
    }

    void pass(milliseconds time) { loop.timers().advance(loop.timers().now() + time); }
};

} // namespace

TEST_CASE("a worker that was silent for long is forgotten once nothing of it can run")
{
    worker_fixture entry;
    const auto idle = entry.announce("idle");
    entry.workers.reported("idle", idle, worker_fixture::withTask(task_phase::Finished));
    entry.workers.reported("busy", entry.announce("busy"), worker_fixture::withTask(task_phase::Running));
    std::vector<std::string> forgotten;
    entry.workers.forgotten.subscribe([&](const std::string& name) { forgotten.push_back(name); });

    entry.pass(9min);
    REQUIRE_FALSE(entry.workers.present("idle"));
    REQUIRE(entry.workers.find("idle") != nullptr);
    entry.pass(2min);
    REQUIRE(forgotten == std::vector<std::string> { "idle" });
    REQUIRE_FALSE(entry.workers.reported("idle", idle, {}));
    REQUIRE(entry.workers.find("busy") != nullptr);
    entry.pass(25h);
    REQUIRE(entry.workers.all().empty());
}

TEST_CASE("a report that says the same counts as unchanged")
{
    worker_fixture entry;
    const auto session = entry.announce("worker");
    const auto changed = [&](worker_report report) {
        entry.workers.reported("worker", session, std::move(report));
        return entry.workers.find("worker")->changed;
    };
    REQUIRE(changed(worker_fixture::withTask(task_phase::Running)));
    REQUIRE_FALSE(changed({}));
    worker_report leaving;
    leaving.leaving = true;
    REQUIRE(changed(leaving));
    entry.pass(4s);
    REQUIRE(changed(leaving)); // Heard again.
    REQUIRE_FALSE(changed(leaving));
}
