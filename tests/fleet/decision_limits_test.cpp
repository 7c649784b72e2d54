#include "core_fixture.hpp"

#include <fleet/core/decision_limits.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace fleet;
using namespace fleet::test;
using namespace std::chrono_literals;

namespace {

platform_bounds boundsWith(milliseconds stopGrace, milliseconds reclaim, milliseconds restore)
{
    platform_bounds bounds;
    bounds.stopGrace = stopGrace;
    bounds.reclaim = reclaim;
    bounds.restore = restore;
    return bounds;
}

} // namespace

// Guards against decisions that change on deployments whose bounds are those for which the limits were fixed before.
TEST_CASE("the bounds of the first deployments give the limits that were constants", "[limits]")
{
    for (const auto restore : { 600ms, 100ms }) {
        const auto limits = deriveLimits(boundsWith(200ms, 2700ms, restore));
        CHECK(limits.stopTimeout == 600ms);
        CHECK(limits.nearEnd == 700ms);
        CHECK(limits.drainStopMargin == 900ms);
        CHECK(limits.reclaimDelay == 1200ms);
        CHECK(limits.maxGuaranteedRemoteDelay == 2000ms);
        CHECK(limits.reservation == 1500ms);
        CHECK(limits.refusalBackoff == 400ms);
        CHECK(limits.startup == 1000ms);
        CHECK(limits.endReportTimeout == 1500ms);
        CHECK(limits.restartCostSeconds == 0.8);
        CHECK(limits.moveCostSeconds == 1.0);
        CHECK(limits.spreadFactor == 3);
    }
}

// Guards against a stop that counts as overdue while the platform still allows it, and a reclaim that starts too late for it.
TEST_CASE("limits leave the time that a stop may take", "[limits]")
{
    for (const auto& bounds : { boundsWith(400ms, 2900ms, 600ms), boundsWith(900ms, 3400ms, 100ms) }) {
        const auto limits = deriveLimits(bounds);
        CHECK(limits.stopTimeout > bounds.stopGrace);
        CHECK(limits.drainStopMargin > bounds.stopGrace);
        CHECK(limits.reclaimDelay + limits.stopTimeout + 900ms == bounds.reclaim);
    }
}

// Guards against limits that contradict each other for bounds that no deployment has yet.
TEST_CASE("limits of drawn bounds do not contradict each other", "[limits]")
{
    rc::prop("limits fit together", [] {
        const auto drawn = [](int from, int to) { return milliseconds(*rc::gen::inRange(from, to)); };
        const auto bounds = boundsWith(drawn(0, 5000), drawn(0, 20'000), drawn(0, 5000));
        const auto limits = deriveLimits(bounds);
        RC_ASSERT(limits.stopTimeout > bounds.stopGrace);
        RC_ASSERT(limits.reservation > limits.stopTimeout);
        RC_ASSERT(limits.endReportTimeout > limits.stopTimeout);
        RC_ASSERT(limits.drainStopMargin > bounds.stopGrace);
        RC_ASSERT(limits.nearEnd > bounds.stopGrace);
        RC_ASSERT(limits.reclaimDelay >= 0ms);
        RC_ASSERT(limits.reclaimDelay <= bounds.reclaim);
        RC_ASSERT(limits.maxGuaranteedRemoteDelay >= limits.reclaimDelay);
        RC_ASSERT(limits.startup >= bounds.restore);
        RC_ASSERT(limits.moveCostSeconds >= limits.restartCostSeconds);
        RC_ASSERT(limits.restartCostSeconds * 1000 + 1 >= static_cast<double>((bounds.stopGrace + bounds.restore).count()));
    });
}

namespace {

/// @brief An urgent job whose victim was ordered to stop @p ago before; counts the further stops that the wait leads to.
std::size_t furtherStopsAfter(milliseconds stopGrace, milliseconds ago)
{
    core_fixture fixture;
    fixture.core.setBounds(boundsWith(stopGrace, 3400ms, 600ms));
    fixture.report("side-1", workerReport("r0"));
    fixture.report("side-2", workerReport("r1"));
    fixture.add(job("b1", "batch", { step(1, 8, 60'000) }));
    fixture.add(job("b2", "batch", { step(1, 8, 60'000) }));
    fixture.decide();
    fixture.add(job("u1", "urgent", { step(1, 8, 2000) }));
    REQUIRE(core_fixture::only<stop_effect>(fixture.decide()).size() == 1);
    std::size_t further = 0;
    for (auto waited = 0ms; waited < ago; waited += 100ms) {
        fixture.now += 100ms;
        further += core_fixture::only<stop_effect>(fixture.decide()).size();
    }
    return further;
}

} // namespace

// Guards against a second eviction while the first victim still ends within the time that the platform allows.
TEST_CASE("a stop of 900 ms is not overdue after 600 ms", "[limits]")
{
    CHECK(furtherStopsAfter(900ms, 1200ms) == 0);
}

// Guards against a checkpoint that is not finished when its worker ends.
TEST_CASE("a run that saves its progress is stopped before the end of a drain by the time that a stop may take", "[limits]")
{
    core_fixture fixture;
    fixture.core.setBounds(boundsWith(900ms, 3400ms, 100ms));
    auto saving = step(1, 8, 60'000);
    saving.checkpointing = true;
    fixture.report("side-1", workerReport("r0"));
    fixture.add(job("b1", "batch", { saving }));
    fixture.decide();
    auto leaving = workerReport("r0");
    leaving.worker.draining = true;
    leaving.worker.drainRemainingMs = 4000;
    fixture.report("side-1", leaving);
    fixture.now += 2300ms;
    CHECK(core_fixture::only<stop_effect>(fixture.decide()).empty());
    fixture.now += 200ms;
    CHECK(core_fixture::only<stop_effect>(fixture.decide()).size() == 1);
}
