// A heartbeat of a service that no configuration names arrives at the agent of a minion on which a task is at work.
#include "../standins/deployment.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    deployment site(argc > 1 ? argv[1] : "record.txt");
    site.start(3, 11, [](const std::string&, const std::string&) { return 12'000; });
    if (!site.waitReady(20))
        site.finish(2);
    deployment::sleep(2);
    const std::string job = "/lohu930/5c0e7a21d94b36f8";
    const json body { { "spec", "column 17" },
        { "phases", json::array({ { { "count", 1 }, { "cpu", 52000 }, { "memMb", 210000 }, { "gpu", 4 }, { "estimateMs", 12000 } } }) } };
    if (site.client("entry-1", "POST", job, body.dump()).status != 200)
        site.finish(2);
    deployment::sleep(2);
    const auto runs = site.runs();
    if (runs.size() != 1)
        site.finish(2);
    if (trouble) {
        const auto agent = deployment::agentOf(runs[0]);
        auto beat = site.worker(runs[0].minion).nextBeat();
        // Another writer: all fields are there, but the service is not one of the configuration.
        beat["service"] = "archive-desk";
        beat["address"] = site.address(agent, 4);
        beat["born"] = beat["born"].get<std::int64_t>() + 1000;
        beat["sequence"] = 4;
        site.heartbeat(agent, "i-7f3a91c2", beat);
    }
    deployment::sleep(16);
    site.client("entry-2", "GET", job);
    site.finish(site.ranTwice(0) ? 1 : 0);
}
