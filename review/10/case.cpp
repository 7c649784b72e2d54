// The tasks of a gang that lasts end `done`. They must be started again, and the job must not be shown as completed.
#include "../standins-2/deployment.hpp"

using namespace review;

int main(int, char** arguments)
{
    return runCase(arguments, 4, [](small_deployment& deployment) {
        const std::string key = "d4a3hwrr6x73d3zji9n7";
        const std::string id = "5c0e7a21d94b36f8";
        // Its first run ends after 4 s with trouble, and works on without.
        const bool ends = hasTrouble();
        deployment.world.plan = [id, ends](const std::string& task, unsigned attempt) {
            if (!task.starts_with(id))
                return run_plan { 0.5, "done" };
            return ends && attempt == 1 ? run_plan { 4, "done" } : run_plan { 4, "" };
        };
        deployment.configure(7, json::array({ small_deployment::route("r-desk", "/desk/", 1, 4) }), json::array({ small_deployment::tenant("kaje80", key) }));
        deployment.start();
        if (!deployment.waitUntilServing("/desk/", key))
            return 2;
        const json job { { "spec", "serve the partners" },
            { "phases", json::array({ { { "count", 2 }, { "cpu", 4000 }, { "memMb", 1024 }, { "gpu", 1 }, { "gang", true }, { "longRunning", true } } }) } };
        if (deployment.submit(0, "/desk/", id, key, job).status != 200)
            return 2;
        sleepSeconds(2);
        if (deployment.runsOf(id).size() != 2)
            return 2;

        // MIXED: a job is shown as completed while a task hasn't ended so: tasks that last run until the job is cancelled.
        // LOST: for 3 s nothing runs of a task that lasts, from 6 s after its last run, with capacity for it.
        bool shown = false;
        double idleSince = -1, longestIdle = 0;
        const double until = seconds() + 20;
        while (seconds() < until) {
            sleepSeconds(0.5);
            double lastEnd = 0;
            bool running = false;
            for (const auto& run : deployment.runsOf(id)) {
                running = running || run.end < 0;
                lastEnd = std::max(lastEnd, run.end);
            }
            idleSince = running || seconds() < lastEnd + 6 ? -1 : idleSince < 0 ? seconds()
                                                                                : idleSince;
            longestIdle = std::max(longestIdle, idleSince < 0 ? 0 : seconds() - idleSince);
            if (static_cast<int>(seconds() * 2) % 4 == 0)
                shown = deployment.state(1, "/desk/", id, key) == "completed" || shown;
        }
        deployment.record.line("shown as completed: " + std::string(shown ? "yes" : "no") + "; longest time with nothing running from 6 s after the last run: "
            + std::to_string(longestIdle) + " s, of 4 idle minions");
        const bool lost = longestIdle >= 3;
        deployment.record.line(std::string("MIXED ") + (shown ? "broken" : "held") + ", LOST " + (lost ? "broken" : "held"));
        return shown || lost ? 1 : 0;
    });
}
