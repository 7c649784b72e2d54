#include "harness/cluster.hpp"

#include <future>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

caller_reply submit(const cluster& system, std::size_t entry, const std::string& key, unsigned workMs = 0)
{
    return system.request(entry, "alpha", { { "key", key }, { "work_ms", workMs } },
        { { "Orioleway-Unrepeatable", "true" }, { "Idempotency-Key", key }, { "Orioleway-Timeout-Ms", "5000" } });
}

/// @brief Submits the key again and again until an entry tells its outcome.
caller_reply outcome(const cluster& system, std::size_t entry, const std::string& key)
{
    caller_reply told;
    eventually([&] {
        told = submit(system, entry, key);
        return told.verdict == "completed" || (told.verdict == "may-have-run" && told.status != 0);
    });
    return told;
}

} // namespace

TEST_CASE("one key at two entries at once runs once")
{
    cluster system;
    for (unsigned i = 0; i < 20; ++i) {
        const auto key = "pair-" + std::to_string(i);
        auto first = std::async(std::launch::async, [&] { return submit(system, 0, key, 20); });
        auto second = std::async(std::launch::async, [&] { return submit(system, 1, key, 20); });
        const auto left = first.get();
        const auto right = second.get();
        INFO(left.text << " / " << right.text);
        REQUIRE(system.executions(key) == 1);
        REQUIRE(left.verdict == "completed");
        REQUIRE(right.verdict == "completed");
        REQUIRE(left.text == right.text);
    }
}

TEST_CASE("a key whose entry is killed at any step runs at most once")
{
    cluster system;
    for (unsigned i = 0; i < 8; ++i) {
        const auto key = "killed-" + std::to_string(i);
        const std::size_t victim = i % 2;
        auto first = std::async(std::launch::async, [&] { return submit(system, victim, key, 60); });
        std::this_thread::sleep_for(std::chrono::milliseconds(10 * i));
        system.entries[victim].process->kill();
        const auto told = first.get();
        const auto again = outcome(system, 1 - victim, key);
        INFO(key << ": " << told.verdict << " / " << again.verdict << " " << again.text);
        REQUIRE(again.status != 0);
        CHECK(system.executions(key) <= 1);
        if (again.verdict == "completed")
            CHECK(system.executions(key) == 1);
        system.startEntry(victim);
        REQUIRE(eventually([&] { return system.get(victim, "/readyz").status == 200; }));
    }
}

TEST_CASE("a key whose replies are lost on the way runs at most once")
{
    cluster system;
    const auto strike = [&](const std::string& key, fault_proxy& link, link_fault fault) {
        link.set(fault);
        auto first = std::async(std::launch::async, [&] { return submit(system, 0, key, 20); });
        const auto told = first.get();
        link.set(link_fault::None);
        const auto again = outcome(system, 1, key);
        INFO(key << ": " << told.verdict << " / " << again.verdict << " " << again.text);
        REQUIRE(again.status != 0);
        CHECK(system.executions(key) <= 1);
        if (told.verdict == "completed" || again.verdict == "completed")
            CHECK(system.executions(key) == 1);
    };
    for (const auto fault : { link_fault::LoseReply, link_fault::Cut, link_fault::Freeze }) {
        const auto suffix = std::to_string(static_cast<int>(fault));
        strike("entry-store-" + suffix, *system.entries[0].storeLink, fault);
        strike("entry-rpc-" + suffix, *system.entries[0].rpcLink, fault);
        for (std::size_t i = 0; i < system.agents.size(); ++i)
            strike("backend-" + std::to_string(i) + "-" + suffix, *system.agents[i].backendLink, fault);
    }
}

TEST_CASE("a claim whose store reply is lost runs at most once")
{
    cluster system;
    system.setStoreMode({ { "mode", "lose-replies" }, { "writes_only", true }, { "probability", 0.5 }, { "seed", 7 } });
    for (unsigned i = 0; i < 20; ++i) {
        const auto key = "lost-claim-" + std::to_string(i);
        submit(system, i % 2, key);
        submit(system, (i + 1) % 2, key);
        CHECK(system.executions(key) <= 1);
    }
    system.setStoreMode({ { "mode", "up" } });
    const auto told = outcome(system, 0, "lost-claim-0");
    REQUIRE(told.status != 0);
    REQUIRE(system.executions("lost-claim-0") <= 1);
}
