#include "unit/store/fake_store.hpp"

#include <oriole/pages/page_keeper.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

/// @brief Two entries that take the same page from each other over a store that fails at will.
struct page_world {
    struct entry {
        explicit entry(page_world& world, const std::string& entryName)
            : name(entryName)
            , store(world.keys)
            , keeper(std::make_shared<page_keeper>(store, world.timers, "test", "organisation", name))
        {
        }

        std::string name;
        test::fake_store store;
        std::shared_ptr<page_keeper> keeper;
    };

    void update(entry& by, std::optional<milliseconds> patience)
    {
        const auto key = "key-" + std::to_string(nextKey++);
        const auto claim = [key](organisation_page& page) { page.claims[key].requestId = key; };
        by.keeper->update(claim, patience, [this, key](const result<bool>& outcome) {
            RC_ASSERT(answered.insert(key).second);
            if (outcome)
                committed.insert(key);
            else if (outcome.error().ran == verdict::NotRun)
                refused.insert(key);
        });
    }

    void acquire(entry& by)
    {
        if (!by.keeper->owned())
            by.keeper->acquire([](const std::string&) { return true; }, [](const result<acquisition>&) {});
    }

    void advance(milliseconds step) { timers.advance(timers.now() + step); }

    [[nodiscard]] organisation_page stored() const
    {
        const auto found = keys.entries.find("/oriole/test/pages/organisation");
        return found == keys.entries.end() ? organisation_page {} : decodePage(found->second.value).value();
    }

    void check() const
    {
        const auto page = stored();
        for (const auto& key : committed)
            RC_ASSERT(page.claims.contains(key));
        for (const auto& key : refused)
            RC_ASSERT(!page.claims.contains(key));
    }

    timer_service timers { time_point {} };
    test::fake_keys keys;
    entry first { *this, "first" };
    entry second { *this, "second" };
    unsigned nextKey = 0;
    std::set<std::string> answered;
    std::set<std::string> committed;
    std::set<std::string> refused;
};

void act(page_world& world, unsigned choice)
{
    auto& entry = choice % 2 == 0 ? world.first : world.second;
    switch (choice / 2 % 6) {
    case 0:
        world.acquire(entry);
        break;
    case 1:
        world.update(entry, 100ms);
        break;
    case 2:
        world.update(entry, std::nullopt);
        break;
    case 3:
        entry.store.step();
        break;
    default:
        world.advance(20ms);
        entry.store.step();
        break;
    }
}

} // namespace

TEST_CASE("a page keeps what it confirmed and nothing that it refused, whatever the store does")
{
    rc::prop("committed stays, not-run never appears", [](const std::vector<unsigned>& choices) {
        page_world world;
        auto faults = *rc::gen::container<std::vector<unsigned>>(choices.size() * 2 + 8, rc::gen::inRange(0U, 8U));
        const auto nextFault = [&faults] {
            const auto fault = faults.empty() ? 0U : faults.back();
            if (!faults.empty())
                faults.pop_back();
            return fault < 5 ? static_cast<test::fake_fault>(fault) : test::fake_fault::None;
        };
        world.first.store.faults = nextFault;
        world.second.store.faults = nextFault;

        world.acquire(world.first);
        for (const auto choice : choices) {
            act(world, choice);
            world.check();
        }

        // Once the store is well, every change gets an end.
        faults.clear();
        for (int i = 0; i < 400; ++i) {
            world.advance(50ms);
            world.first.store.stepAll();
            world.second.store.stepAll();
        }
        world.check();
        RC_ASSERT(world.answered.size() == world.nextKey);
    });
}

TEST_CASE("changes of a few milliseconds go out in one write")
{
    page_world world;
    world.acquire(world.first);
    world.first.store.stepAll();
    const auto before = world.first.store.calls();
    for (int i = 0; i < 100; ++i)
        world.update(world.first, std::nullopt);
    world.advance(10ms);
    world.first.store.stepAll();
    REQUIRE(world.committed.size() == 100);
    REQUIRE(world.first.store.calls() - before == 1);
}

TEST_CASE("a page reads back as it was written")
{
    organisation_page page;
    page.organisation = "organisation";
    page.epoch = 3;
    auto& job = page.jobs["j"];
    job.spec = { "organisation", "j", { 8, adjacency::Rack, 4, 16 }, job_class::Urgent, false, 5s, "text" };
    job.recorded = attempt { { "organisation", "j", 7 }, 3, true, true, false, { { "w", "127.0.0.1:1", 255, 4, 16 } },
        5s, "text" };
    page.claims["k"] = { "r", true, 200, "text/plain", std::string("\x00\xff", 2), true, 1 };
    REQUIRE(decodePage(encodePage(page)) == page);
}
