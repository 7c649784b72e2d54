#include <oriole/control/control_state.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace oriole;

namespace {

std::shared_ptr<const configuration_head> headOf(std::uint64_t revision)
{
    return std::make_shared<const configuration_head>(configuration_head { revision, "document", {} });
}

} // namespace

TEST_CASE("a control state only ever moves forward")
{
    control_state state;
    REQUIRE(state.offer(headOf(3)));
    REQUIRE_FALSE(state.offer(headOf(2)));
    REQUIRE_FALSE(state.offer(headOf(3)));
    REQUIRE_FALSE(state.offer(nullptr));
    REQUIRE(state.configurationRevision() == 3);

    REQUIRE(state.offer(failure_domain_states { 2, { "praha" } }));
    REQUIRE_FALSE(state.offer(failure_domain_states { 1, {} }));
    REQUIRE(state.isOut("praha"));
    REQUIRE(state.offer(failure_domain_states { 3, {} }));
    REQUIRE_FALSE(state.isOut("praha"));
}
