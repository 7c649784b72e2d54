// The store loses the answers to the writes that accept one job, and carries them out late. Its client, told 504, cancels the job and is
// answered 410. The job is stored after that, and runs.
#include "../standins-2/deployment.hpp"

using namespace review;

namespace {

constexpr double lostFor = 1.5; // The pages: 4.5 s at most.
constexpr double lateBy = 6; // The pages: 1 to 6 s.
constexpr double cancelBound = 3; // cancel_ms

} // namespace

int main(int, char** arguments)
{
    return runCase(arguments, 4, [](small_deployment& deployment) {
        const std::string key = "d4a3hwrr6x73d3zji9n7";
        const std::string id = "5c0e7a21d94b36f8";
        deployment.world.plan = [id](const std::string& task, unsigned) { return run_plan { task.starts_with(id) ? 8.0 : 0.4, "done" }; };
        deployment.configure(7, json::array({ small_deployment::route("r-desk", "/desk/", 1, 4) }), json::array({ small_deployment::tenant("kaje80", key) }));
        deployment.start();
        if (!deployment.waitUntilServing("/desk/", key))
            return 2;

        // Other clients, whose writes the store answers.
        std::atomic<bool> goOn { true };
        std::thread others([&] {
            for (int i = 0; goOn; ++i) {
                char other[17];
                std::snprintf(other, sizeof(other), "%016x", 0x1000 + i);
                deployment.submit(static_cast<std::size_t>(i) % 3, "/desk/", other, key,
                    { { "spec", "other" }, { "phases", json::array({ { { "cpu", 1000 }, { "memMb", 16 }, { "estimateMs", 400 } } }) } });
                sleepSeconds(0.15);
            }
        });
        sleepSeconds(1);

        std::atomic<int> lost { 0 };
        const double from = seconds();
        const int writesBefore = deployment.store->transactions();
        if (hasTrouble()) {
            deployment.record.line("store: answers are lost for 1.5 s");
            deployment.store->setFate([&, from](const json& transaction) {
                if (seconds() > from + lostFor)
                    return store_standin::write_fate {};
                for (const auto& write : transaction.at("write")) {
                    if (write.at("key").get<std::string>().find(id) != std::string::npos) {
                        ++lost;
                        deployment.record.line("store: a write of " + id + " gets no answer; done 6 s later");
                        return store_standin::write_fate { false, lateBy };
                    }
                }
                return store_standin::write_fate {};
            });
        }
        const json job { { "spec", "bill the partner" }, { "phases", json::array({ { { "cpu", 4000 }, { "memMb", 1024 }, { "estimateMs", 8000 } } }) } };
        const auto accepted = deployment.submit(0, "/desk/", id, key, job);
        sleepSeconds(0.1);
        const auto cancelled = deployment.send(0, "DELETE", "/desk/" + id, key);
        const double cancelledAt = seconds();
        sleepSeconds(std::max(0.0, from + lostFor - seconds()));
        const int writes = deployment.store->transactions() - writesBefore;
        deployment.record.line("store: " + std::to_string(lost) + " of " + std::to_string(writes) + " writes lost");
        sleepSeconds(11);
        deployment.state(1, "/desk/", id, key);
        goOn = false;
        others.join();

        if (hasTrouble() ? accepted.status == 200 : accepted.status != 200)
            return 2;
        if (cancelled.status != 410 && cancelled.status / 100 != 2)
            return 2;
        // UNASKED: a machine in touch starts a task later than cancel_ms after the job's cancelling was acknowledged.
        bool broken = false;
        for (const auto& run : deployment.runsOf(id)) {
            const double after = run.start - cancelledAt;
            deployment.record.line("start of " + run.task + " " + std::to_string(after) + " s after the cancel was acknowledged, "
                + std::to_string(run.start - from - lostFor) + " s after the disruption; ended " + (run.how.empty() ? "not yet" : run.how));
            broken = broken || after > cancelBound;
        }
        deployment.record.line(std::string("UNASKED ") + (broken ? "broken" : "held"));
        return broken ? 1 : 0;
    });
}
