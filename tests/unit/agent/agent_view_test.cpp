#include <oriole/agent/agent_view.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point {} + 1h;

rpc::control_view viewProvenBefore(milliseconds age)
{
    rpc::control_view view;
    view.fresh = true;
    view.freshAge = age;
    return view;
}

} // namespace

TEST_CASE("an agent trusts a view for 2 s from the exchange by which its sender is fresh", "[agent-view]")
{
    agent_view view("domain-a");
    view.apply(viewProvenBefore(1500ms), start);
    CHECK_FALSE(view.refusal(start + 400ms));
    CHECK(view.refusal(start + 600ms));

    SECTION("a sender that was cut off proves nothing new by sending again")
    {
        view.apply(viewProvenBefore(1900ms), start + 400ms);
        CHECK(view.refusal(start + 600ms));
    }
    SECTION("another sender does")
    {
        view.apply(viewProvenBefore(100ms), start + 700ms);
        CHECK_FALSE(view.refusal(start + 2500ms));
        CHECK(view.refusal(start + 2700ms));
    }
}
