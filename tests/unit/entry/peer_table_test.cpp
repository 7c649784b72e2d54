#include <oriole/entry/peer_table.hpp>

#include <catch2/catch.hpp>

#include <capnp/message.h>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

struct peer_fixture {
    event_loop loop;
    peer_table peers { loop, "self", [](rpc::PeerState::Builder, std::uint64_t) {} };

    void hear(const std::string& name, bool readsStore, bool leaving = false)
    {
        capnp::MallocMessageBuilder message;
        auto state = message.initRoot<rpc::PeerState>();
        rpc::write(state.initEntry(), entry_address { name, "127.0.0.1:1", "region" });
        state.setReadsStore(readsStore);
        state.setLeaving(leaving);
        peers.heard(state.asReader(), loop.timers().now());
    }

    void pass(milliseconds time) { loop.timers().advance(loop.timers().now() + time); }
};

} // namespace

TEST_CASE("a peer that falls silent may have accepted what nobody here knows")
{
    peer_fixture entry;
    REQUIRE(entry.peers.noneSilent());

    entry.hear("peer", true);
    REQUIRE(entry.peers.anyReadsStore());
    entry.pass(1900ms);
    REQUIRE(entry.peers.noneSilent());
    entry.pass(200ms);
    REQUIRE_FALSE(entry.peers.anyReadsStore());
    REQUIRE_FALSE(entry.peers.noneSilent());

    entry.hear("peer", false);
    REQUIRE(entry.peers.noneSilent());
}

TEST_CASE("a peer that has said that it leaves is not silent and owns nothing")
{
    peer_fixture entry;
    entry.hear("peer", true, true);
    entry.pass(5000ms);
    REQUIRE(entry.peers.noneSilent());
    REQUIRE_FALSE(entry.peers.live("peer"));
    REQUIRE(entry.peers.livePeers().empty());
}
