// A client hands in a job whose spec holds the character U+0000.
#include "deployment.hpp"

using namespace review;

int main(int argc, char** argv)
{
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    deployment site(argc > 1 ? argv[1] : "record.txt");
    site.start(3, 11, [](const std::string&, const std::string&) { return 1'000; });
    if (!site.waitReady(20))
        site.finish(2);
    deployment::sleep(2);
    const std::string job = "/lohu930/5c0e7a21d94b36f8";
    const std::string spec = std::string("column 17") + (trouble ? std::string(1, '\0') : std::string(" ")) + "page 3";
    const json body { { "spec", spec },
        { "phases", json::array({ { { "count", 2 }, { "cpu", 15000 }, { "memMb", 44000 }, { "gpu", 1 }, { "estimateMs", 1000 } } }) } };
    site.log("the job: " + body.dump());
    if (site.client("entry-1", "POST", job, body.dump()).status != 200)
        site.finish(2);
    deployment::sleep(4);
    site.client("entry-2", "GET", job);
    const auto runs = site.runs();
    if (runs.empty())
        site.finish(2);
    bool other = false;
    for (const auto& run : runs) {
        if (run.spec != spec) {
            other = true;
            site.log(run.task + " was started with the spec " + json(run.spec).dump() + " and not " + json(spec).dump());
        }
    }
    site.finish(other ? 1 : 0);
}
