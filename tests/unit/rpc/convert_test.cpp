#include <oriole/agent/agent_view.hpp>
#include <oriole/rpc/convert.hpp>

#include <catch2/catch.hpp>

#include <capnp/message.h>

using namespace oriole;

namespace {

rpc::control_view sent(const control_state& state, const rpc::view_receiver& receiver)
{
    const std::vector<entry_address> entries { { "e1", "10.0.0.1:1", "r1" } };
    capnp::MallocMessageBuilder message;
    auto view = message.initRoot<rpc::ControlView>();
    rpc::write(view, state, entries, true, false, receiver);
    return rpc::read(view.asReader());
}

} // namespace

TEST_CASE("a view leaves out what its receiver holds, and takes nothing away from it by that")
{
    control_state state;
    state.offer(failure_domain_states { 3, { "fd1" } });
    agent_view agent("fd1");
    const auto whole = sent(state, {});
    REQUIRE(whole.entries.size() == 1);
    agent.apply(whole, std::nullopt);
    REQUIRE(agent.isOut());

    const auto brief = sent(state, { 0, 3, whole.entriesDigest });
    REQUIRE(brief.entries.empty());
    REQUIRE(brief.failureDomains.out.empty());
    REQUIRE_FALSE(agent.apply(brief, std::nullopt));
    REQUIRE(agent.isOut());

    state.offer(failure_domain_states { 4, { "fd2" } });
    REQUIRE(sent(state, { 0, 3, whole.entriesDigest + 1 }).entries.size() == 1);
    agent.apply(sent(state, { 0, 3, whole.entriesDigest }), std::nullopt);
    REQUIRE_FALSE(agent.isOut());
}
