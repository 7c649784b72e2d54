// A task fails once on each of the three minions that can run it, each time because that minion fails all that it starts for a
// moment. It has one attempt left, and all minions are sound again.
#include "../standins/deployment.hpp"

using namespace review;

namespace {

// The run that is at work, if any.
std::optional<run_record> atWork(deployment& site)
{
    for (const auto& run : site.runs()) {
        if (run.endedAt < 0)
            return run;
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    constexpr double finishS = 14;
    constexpr unsigned maxAttempts = 4;
    deployment site(argc > 1 ? argv[1] : "record.txt");
    site.setKindOfLastZone("b");
    site.routes().front().maxAttempts = maxAttempts;
    site.start(3, 11, [](const std::string&, const std::string&) { return 3'000; });
    if (!site.waitReady(20))
        site.finish(2);
    deployment::sleep(2);
    const std::string job = "/lohu930/5c0e7a21d94b36f8";
    const json body { { "spec", "column 17" },
        { "phases", json::array({ { { "count", 1 }, { "cpu", 15000 }, { "memMb", 44000 }, { "gpu", 1 }, { "estimateMs", 3000 }, { "requirements", "b" } } }) } };
    if (site.client("entry-1", "POST", job, body.dump()).status != 200)
        site.finish(2);
    for (unsigned failure = 1; trouble && failure < maxAttempts; ++failure) {
        const double until = site.seconds() + 8;
        std::optional<run_record> run;
        while (!(run = atWork(site)) && site.seconds() < until)
            deployment::sleep(0.02);
        if (!run)
            site.finish(2);
        auto& grey = site.worker(run->minion);
        grey.failAll(true);
        while (atWork(site) && atWork(site)->attempt == run->attempt && site.seconds() < until)
            deployment::sleep(0.02);
        grey.failAll(false);
    }
    // The traffic ends here. After finish_s the job is asked for, and looked at for 3 s and more.
    site.log("end of the traffic");
    deployment::sleep(finishS);
    const double looked = site.seconds();
    double idleSince = looked;
    double longestIdle = 0;
    bool open = true;
    while (site.seconds() < looked + 30 && open) {
        const auto state = site.client("entry-2", "GET", job).body;
        open = state.find("queued") != std::string::npos || state.find("in_progress") != std::string::npos;
        if (!open || atWork(site))
            idleSince = site.seconds();
        longestIdle = std::max(longestIdle, site.seconds() - idleSince);
        deployment::sleep(1);
    }
    site.log("with nothing at work and the whole service idle, the job stayed unfinished for " + std::to_string(longestIdle) + " s on end");
    site.finish(longestIdle > 3 ? 1 : 0);
}
