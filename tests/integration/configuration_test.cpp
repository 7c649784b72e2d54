#include "harness/cluster.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <thread>

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

/// @brief How many agents the entry knows at this revision or a later one.
std::size_t workersAt(const cluster& system, std::size_t entry, unsigned revision)
{
    const auto told = system.get(entry, "/v1/config/in-force");
    const auto& workers = told.body.at("workers");
    return static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(), [&](const json& worker) { return worker.at("revision") >= revision; }));
}

/// @brief Reads the revisions of entry 0 and of the agents again and again and counts each step back.
class reversion_watch {
public:
    explicit reversion_watch(const cluster& system)
        : m_thread([this, &system] {
            while (!m_stopping) {
                look(system);
                std::this_thread::sleep_for(5ms);
            }
        })
    {
    }
    ~reversion_watch() { finish(); }

    unsigned finish()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_reversions;
    }

private:
    void look(const cluster& system)
    {
        const auto rollout = system.get(0, "/v1/config/in-force").body;
        const auto domains = system.get(0, "/v1/failure-domains").body;
        if (!rollout.is_object() || !domains.is_object())
            return;
        note("entry", rollout.at("revision"));
        for (const auto& worker : rollout.at("workers"))
            note(worker.at("name"), worker.at("revision"));
        note("failure domains", domains.at("revision"));
    }

    // Zero: an agent that has announced itself and not told its revision yet.
    void note(const std::string& name, unsigned revision)
    {
        auto& highest = m_highest[name];
        m_reversions += revision != 0 && revision < highest ? 1 : 0;
        highest = std::max(highest, revision);
    }

    std::map<std::string, unsigned> m_highest;
    unsigned m_reversions = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

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

TEST_CASE("an entry that missed changes and comes back reverts nobody")
{
    cluster system;
    const auto held = revisionAt(system, 0);
    auto& stale = system.entries[1];
    const link_state noPeers { .fault = link_fault::Freeze, .clients = { system.entries[0].process->pid() } };
    stale.storeLink->set(link_fault::Freeze);
    stale.rpcLink->set(noPeers);
    system.entries[0].rpcLink->set(link_state { .fault = link_fault::Freeze, .clients = { stale.process->pid() } });
    REQUIRE(system.setFailureDomain(0, "brno", true).status == 200);
    REQUIRE(applyAt(system, 0, held, withWeight(system, 11)).status == 200);
    REQUIRE(eventually([&] { return workersAt(system, 0, held + 1) == 3; }));

    reversion_watch watch(system);
    // Whoever connects anew gets the whole state of the entry that missed the change.
    for (unsigned i = 0; i < 3; ++i) {
        stale.rpcLink->set(link_fault::Cut);
        REQUIRE(eventually([&] { return workersAt(system, 1, 0) == 0; }));
        stale.rpcLink->set(noPeers);
        REQUIRE(eventually([&] { return workersAt(system, 1, 0) == 3; }));
        std::this_thread::sleep_for(1000ms);
    }
    system.agents[0].process->kill();
    system.startAgent(0);
    REQUIRE(eventually([&] { return workersAt(system, 0, held + 1) == 3 && workersAt(system, 1, 0) == 3; }));
    REQUIRE(revisionAt(system, 1) == held);

    system.entries[0].rpcLink->set(link_fault::None);
    stale.rpcLink->set(link_fault::None);
    REQUIRE(eventually([&] { return revisionAt(system, 1) == held + 1; }));
    stale.storeLink->set(link_fault::None);
    REQUIRE(eventually([&] { return applyAt(system, 1, held + 1, withWeight(system, 12)).status == 200; }));
    REQUIRE(eventually([&] { return workersAt(system, 0, held + 2) == 3 && workersAt(system, 1, held + 2) == 3; }));
    REQUIRE(system.get(1, "/v1/failure-domains").text == system.get(0, "/v1/failure-domains").text);
    CHECK(watch.finish() == 0);
}
