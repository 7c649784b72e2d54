#include <oriole/agent/agent_view.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point {} + 1h;

rpc::control_view viewWithFreshAge(milliseconds age)
{
    rpc::control_view view;
    view.fresh = true;
    view.freshAge = age;
    return view;
}

} // namespace

TEST_CASE("a control view permits work for 2 s after its sender was last known to be fresh", "[agent-view]")
{
    agent_view view("domain-a");
    view.apply(viewWithFreshAge(1500ms), start);
    CHECK_FALSE(view.refusalReason(start + 400ms));
    CHECK(view.refusalReason(start + 600ms));

    SECTION("a sender that has lost contact does not extend the time by sending its view again")
    {
        view.apply(viewWithFreshAge(1900ms), start + 400ms);
        CHECK(view.refusalReason(start + 600ms));
    }
    SECTION("a view of another sender with a lower age does")
    {
        view.apply(viewWithFreshAge(100ms), start + 700ms);
        CHECK_FALSE(view.refusalReason(start + 2500ms));
        CHECK(view.refusalReason(start + 2700ms));
    }
}
