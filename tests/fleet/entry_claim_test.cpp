#include "core_fixture.hpp"
#include "fake_store.hpp"

#include <fleet/entry/fleet_entry.hpp>
#include <fleet/own_resources.hpp>
#include <fleet/records/job_codec.hpp>

#include <catch2/catch.hpp>

using namespace fleet;
using namespace fleet::test;

namespace {

struct given_control final : control_source {
    [[nodiscard]] const control_view& view() const override { return state; }
    void refresh(std::function<void(bool)> done) override { done(true); }

    control_view state;
};

} // namespace

// Guards against attempts and evacuations that are not known when the first decision is made (review/13).
TEST_CASE("an entry does not schedule before it has read a configuration", "[entry][claim]")
{
    oriole::event_loop loop;
    oriole::metrics_registry metrics;
    fake_store store;
    given_control control;
    entry_peers peers { loop };
    fleet_entry entry({ loop, store, control, metrics, [&loop] { return loop.timers().now(); }, peers }, { "e1", ownAddress(28490), 1 }, {});
    entry.start();
    const auto pass = [&](int ms) {
        for (int passed = 0; passed < ms; passed += 10) {
            store.run();
            loop.after(milliseconds(10)).wait(loop.io().waitScope);
        }
    };
    pass(1500);
    CHECK_FALSE(entry.isLeader());
    CHECK_FALSE(store.records.contains(record_keys::scheduler));
    control.state.loaded = true;
    pass(1000);
    CHECK(entry.isLeader());
}
