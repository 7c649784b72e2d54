// The minions of one rack are lost for good. A job on a schedule has its data there, and has to go on on the others.
#include "../standins-2/deployment.hpp"

using namespace review;

int main(int, char** arguments)
{
    return runCase(arguments, 11, [](small_deployment& deployment) {
        const std::string key = "d4a3hwrr6x73d3zji9n7";
        const std::string id = "5c0e7a21d94b36f8";
        deployment.world.plan = [id](const std::string& task, unsigned) { return run_plan { task.starts_with(id) ? 2.5 : 0.5, "done" }; };
        deployment.configure(7, json::array({ small_deployment::route("r-desk", "/desk/", 1, 4) }), json::array({ small_deployment::tenant("kaje80", key) }));
        deployment.start();
        if (!deployment.waitUntilServing("/desk/", key))
            return 2;
        const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const double firstDue = seconds() + 1;
        const json job { { "spec", "sync" }, { "repeatCount", 40 }, { "startAtMs", unixMs + 1000 }, { "intervalMs", 2000 },
            { "phases", json::array({ { { "cpu", 4000 }, { "memMb", 1024 }, { "estimateMs", 3000 }, { "affinity", "r1-1" } } }) } };
        if (deployment.submit(0, "/desk/", id, key, job).status != 200)
            return 2;
        const double trafficEnd = seconds();
        sleepSeconds(8);
        if (deployment.runsOf(id).size() < 3)
            return 2;
        if (hasTrouble()) {
            const std::lock_guard lock(deployment.world.mutex);
            for (auto& minion : deployment.minions) {
                if (minion->settings().rack == "r1-1")
                    minion->lose();
            }
            deployment.record.line("the 2 minions of rack r1-1 are lost for good; 9 minions stand empty");
        }

        // LOST: finish_s (14 s) after the end of the traffic, for 3 s, a job has nothing running while a task's turn has come, there is
        // capacity for it twice over, and under half of the service's capacity is in use.
        sleepSeconds(trafficEnd + 14 - seconds());
        double idleSince = -1, longestIdle = 0;
        while (seconds() < trafficEnd + 45) {
            sleepSeconds(0.1);
            const auto runs = deployment.runsOf(id);
            const int due = static_cast<int>((seconds() - firstDue) / 2) + 1;
            std::set<std::string> done;
            bool running = false;
            for (const auto& run : runs) {
                running = running || run.end < 0;
                if (run.how == "done")
                    done.insert(run.task);
            }
            const bool waits = static_cast<int>(done.size()) < due;
            idleSince = running || !waits ? -1 : idleSince < 0 ? seconds()
                                                               : idleSince;
            longestIdle = std::max(longestIdle, idleSince < 0 ? 0 : seconds() - idleSince);
        }
        deployment.state(1, "/desk/", id, key);
        deployment.record.line(std::to_string(deployment.runsOf(id).size()) + " runs; " + std::to_string(static_cast<int>((seconds() - firstDue) / 2) + 1)
            + " occurrences were due; longest time with nothing running while one waits: " + std::to_string(longestIdle) + " s");
        const bool broken = longestIdle >= 3;
        deployment.record.line(std::string("LOST ") + (broken ? "broken" : "held"));
        return broken ? 1 : 0;
    });
}
