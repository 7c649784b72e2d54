#include "fuzz_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oriole;
using namespace oriole::test;

namespace {

std::vector<fuzz_step> history()
{
    const auto number = rc::gen::inRange(0U, 10000U);
    const auto one = rc::gen::apply([](unsigned kind, unsigned first, unsigned second, unsigned third) { return fuzz_step { kind, first, second, third }; }, number, number, number, number);
    return *rc::gen::scale(3.0, rc::gen::container<std::vector<fuzz_step>>(one));
}

} // namespace

namespace rc {

template <>
struct Arbitrary<fuzz_step> {
    static Gen<fuzz_step> arbitrary() { return gen::just(fuzz_step {}); }
};

} // namespace rc

namespace oriole::test {

std::ostream& operator<<(std::ostream& out, const fuzz_step& step)
{
    return out << "{" << step.kind << "," << step.first << "," << step.second << "," << step.third << "}";
}

} // namespace oriole::test

TEST_CASE("in any history, accelerators are allocated once, gangs are placed whole and every job ends")
{
    for (const policy chosen : { policy(guarantee_policy {}), policy(first_fit_policy {}) }) {
        REQUIRE(rc::check([chosen] {
            const auto entries = *rc::gen::inRange(1U, 4U);
            const auto workers = *rc::gen::inRange(2U, 9U);
            fuzz_world world({ .entries = entries, .workers = workers, .disturbances = true, .chosen = chosen });
            for (const auto& step : history())
                world.step(step);
            world.settle();
        }));
    }
}

TEST_CASE("each unused guarantee can be placed by evicting borrowed work only, after any history of a healthy fleet")
{
    REQUIRE(rc::check([] {
        const auto workers = *rc::gen::inRange(6U, 10U);
        fuzz_world world({ .entries = 1, .workers = workers, .disturbances = false });
        for (const auto& step : history()) {
            const auto before = world.describe();
            world.step(step);
            if (!world.guaranteesPlaceable())
                RC_FAIL("uncovered; before: " + before + "\nafter: " + world.describe());
        }
        world.settle();
    }));
}

TEST_CASE("a job that failed on the only workers that can hold it is later started there again")
{
    const std::vector<fuzz_step> steps { { 0, 0, 420, 0 }, { 0, 0, 780, 0 }, { 3496, 0, 5886, 0 }, { 0, 0, 6550, 1 }, { 418, 0, 0, 0 } };
    for (const policy chosen : { policy(guarantee_policy {}), policy(first_fit_policy {}) }) {
        fuzz_world world({ .entries = 1, .workers = 4, .disturbances = true, .chosen = chosen });
        for (const auto& step : steps)
            world.step(step);
        world.settle();
    }
}

TEST_CASE("the planned remainder of a gang's guarantee does not use the remainder of a cell on one worker")
{
    fuzz_world world({ .entries = 1, .workers = 6, .disturbances = false });
    const std::vector<fuzz_step> steps { { 0, 0, 61, 1 }, { 0, 0, 7811, 0 }, { 0, 0, 0, 0 }, { 0, 0, 0, 0 }, { 0, 0, 3251, 1 }, { 226, 0, 0, 0 }, { 0, 0, 1, 0 }, { 3039, 31, 0, 0 }, { 0, 0, 4, 0 }, { 5218, 0, 0, 0 } };
    for (const auto& step : steps) {
        world.step(step);
        REQUIRE(world.guaranteesPlaceable());
    }
}

TEST_CASE("each unused guarantee can be placed while several entries decide from stale reports", "[several-entries]")
{
    REQUIRE(rc::check([] {
        const auto workers = *rc::gen::inRange(6U, 10U);
        fuzz_world world({ .entries = 3, .workers = workers, .disturbances = false });
        for (const auto& step : history()) {
            world.step(step);
            RC_ASSERT(world.guaranteesPlaceable());
        }
    }));
}
