#include "harness/cluster.hpp"

#include <future>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

unsigned revisionAt(const cluster& system, std::size_t entry)
{
    const auto told = system.get(entry, "/v1/config");
    return told.status == 200 ? told.body.value("revision", 0U) : 0U;
}

json withWeight(const cluster& system, unsigned weight)
{
    auto document = system.get(0, "/v1/config").body.at("document");
    document["organisations"][2]["weight"] = weight;
    return document;
}

caller_reply applyAt(const cluster& system, std::size_t entry, unsigned expected, const json& document)
{
    return call(system.entries[entry].http, "PUT", "/v1/config?expected_revision=" + std::to_string(expected),
        document.dump(), { { "Orioleway-Author", "operator-" + std::to_string(entry) } });
}

} // namespace

TEST_CASE("of two operators that race, one is accepted and the other sees the conflict")
{
    cluster system;
    for (unsigned round = 0; round < 10; ++round) {
        const auto held = revisionAt(system, 0);
        REQUIRE(eventually([&] { return revisionAt(system, 1) == held; }));
        const auto left = withWeight(system, 10 + round);
        const auto right = withWeight(system, 100 + round);
        auto first = std::async(std::launch::async, [&] { return applyAt(system, 0, held, left); });
        auto second = std::async(std::launch::async, [&] { return applyAt(system, 1, held, right); });
        const auto one = first.get();
        const auto two = second.get();
        INFO(one.text << " / " << two.text);
        const bool firstWins = one.status == 200;
        REQUIRE(firstWins != (two.status == 200));
        REQUIRE((firstWins ? two : one).status == 409);
        REQUIRE(system.waitInForce(system.agents.size()));
        REQUIRE(revisionAt(system, 0) == held + 1);
        REQUIRE(system.get(1, "/v1/config").body.at("document") == (firstWins ? left : right));
    }
}

TEST_CASE("a write whose reply is lost is recognised")
{
    cluster system;
    const auto held = revisionAt(system, 0);
    const auto document = withWeight(system, 42);
    system.setStoreMode({ { "mode", "lose-replies" }, { "writes_only", true } });
    const auto told = applyAt(system, 0, held, document);
    system.setStoreMode({ { "mode", "up" } });
    INFO(told.status << " " << told.text);
    REQUIRE(told.status == 200);
    REQUIRE(system.waitInForce(system.agents.size()));
    REQUIRE(revisionAt(system, 0) == held + 1);
    REQUIRE(revisionAt(system, 1) == held + 1);
}

TEST_CASE("processes that start during a store outage take the configuration in force, never an older one")
{
    cluster system;
    REQUIRE(applyAt(system, 0, revisionAt(system, 0), withWeight(system, 7)).status == 200);
    REQUIRE(system.waitInForce(system.agents.size()));
    const auto held = revisionAt(system, 0);
    system.setStoreMode({ { "mode", "down" } });
    system.entries[1].process->kill();
    system.startEntry(1);
    system.agents[0].process->kill();
    system.startAgent(0);
    std::vector<unsigned> seen;
    std::this_thread::sleep_for(3000ms);
    seen.push_back(revisionAt(system, 1));
    REQUIRE(system.request(0, "alpha", { { "key", "outage" } }).status == 200);
    system.setStoreMode({ { "mode", "up" } });
    REQUIRE(system.waitInForce(system.agents.size()));
    REQUIRE(revisionAt(system, 1) == held);
    for (const auto revision : seen)
        REQUIRE((revision == 0 || revision == held));
}

TEST_CASE("an entry cut off from the store hears of a new configuration from its peers")
{
    cluster system;
    system.entries[1].storeLink->set(link_fault::Drop);
    const auto held = revisionAt(system, 0);
    REQUIRE(applyAt(system, 0, held, withWeight(system, 9)).status == 200);
    REQUIRE(eventually([&] { return revisionAt(system, 1) == held + 1; }));
}

TEST_CASE("a document applied after failure-domain out does not undo it")
{
    cluster system;
    REQUIRE(system.setFailureDomain(0, "brno", true).status == 200);
    REQUIRE(applyAt(system, 0, revisionAt(system, 0), withWeight(system, 5)).status == 200);
    REQUIRE(system.waitInForce(system.agents.size()));
    const auto told = system.get(1, "/v1/failure-domains");
    INFO(told.text);
    REQUIRE(told.text.find("out") != std::string::npos);
    for (unsigned i = 0; i < 6; ++i) {
        const auto accepted = system.submitJob(i % 2, "alpha", gangJob(2, "worker", 50));
        REQUIRE(system.waitJob(0, "alpha", accepted.body.at("job")) == "finished");
    }
    for (const auto& event : system.runtimeEvents())
        REQUIRE_FALSE(event["worker"].get<std::string>().starts_with("brno"));
}

TEST_CASE("revisions never go back while entries are killed and links cut")
{
    cluster system;
    std::atomic<bool> stopping { false };
    std::atomic<unsigned> reversions { 0 };
    std::thread observer([&] {
        unsigned highest = 0;
        while (!stopping) {
            for (std::size_t i = 0; i < system.entries.size(); ++i) {
                const auto revision = revisionAt(system, i);
                if (revision != 0 && i == 0 && revision < highest)
                    ++reversions;
                if (i == 0)
                    highest = std::max(highest, revision);
            }
        }
    });
    unsigned accepted = revisionAt(system, 0);
    for (unsigned round = 0; round < 4; ++round) {
        system.entries[1].process->kill();
        const auto told = applyAt(system, 0, accepted, withWeight(system, 20 + round));
        CHECK(told.status == 200);
        accepted = told.body.value("revision", accepted);
        system.startEntry(1);
        CHECK(eventually([&] { return revisionAt(system, 1) == accepted; }));
    }
    stopping = true;
    observer.join();
    REQUIRE(reversions == 0);
}
