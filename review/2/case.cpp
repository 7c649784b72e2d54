// Small tasks end on one minion while there is no leader, more than a list of ends holds; the store is slow meanwhile.
#include "../standins/deployment.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    constexpr int slowMs = 240; // 60 times the usual 4 ms
    constexpr double slowS = 4.5;
    std::atomic<double> endAt { 0 };
    deployment site(argc > 1 ? argv[1] : "record.txt");
    // All tasks end at the same time, as those of a batch do that were started together.
    site.start(3, 11, [&](const std::string&, const std::string&) { return std::max(500, static_cast<int>(1000 * (endAt - site.seconds()))); });
    if (!site.waitReady(20))
        site.finish(2);
    deployment::sleep(2);
    endAt = site.seconds() + 8;
    const json body { { "spec", "column 17" },
        { "phases", json::array({ { { "count", 50 }, { "cpu", 200 }, { "memMb", 128 }, { "estimateMs", 8000 } } }) } };
    for (int i = 0; i < 12; ++i) {
        char job[32];
        std::snprintf(job, sizeof job, "/lohu930/5c0e7a21d94b%04x", static_cast<unsigned>(i));
        if (site.client("entry-1", "POST", job, body.dump()).status != 200)
            site.finish(2);
        deployment::sleep(0.1);
    }
    while (site.seconds() < endAt - 1.2)
        deployment::sleep(0.01);
    if (site.runs().size() != 600)
        site.finish(2);
    if (trouble) {
        site.log("the store is slow");
        site.platform().disrupt([](const std::string&, const request& in, const std::function<response()>& serve) -> std::optional<response> {
            if (in.target.starts_with("/api/kv-watch"))
                return std::nullopt;
            std::this_thread::sleep_for(std::chrono::milliseconds(slowMs / 2));
            auto answer = serve();
            std::this_thread::sleep_for(std::chrono::milliseconds(slowMs / 2));
            return answer;
        });
        deployment::sleep(0.2);
        const auto leader = site.leader();
        site.signal(leader, SIGKILL);
        deployment::sleep(0.5);
        site.run(leader);
        deployment::sleep(slowS - 0.7);
        site.platform().disrupt({});
        site.log("the store is as usual");
    }
    deployment::sleep(12);
    const auto again = site.startsAfterDone();
    site.log(std::to_string(again) + " starts of tasks that had ended done");
    site.finish(again > 0 ? 1 : 0);
}
