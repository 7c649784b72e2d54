#include <oriole/entry/peer_table.hpp>

#include <catch2/catch.hpp>

#include <capnp/message.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

struct peer_fixture {
    event_loop loop;
    peer_table peers { loop, "self", 1, [] { return local_state {}; } };

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

struct message {
    capnp::MallocMessageBuilder builder;

    template <typename Type>
    typename Type::Builder as()
    {
        return builder.getRoot<Type>();
    }
};

using message_ref = std::shared_ptr<message>;

/// @brief One of two entries; the epoch of its only page tells its states apart.
struct played_entry {
    played_entry(event_loop& eventLoop, std::string name, std::string address)
        : loop(eventLoop)
    {
        state.address = { std::move(name), std::move(address), "region" };
        restart();
    }

    void restart()
    {
        peers = std::make_unique<peer_table>(loop, state.address.name, ++run, [this] { return state; });
    }

    /// @brief The epoch that this entry holds of the other's page; 0 when it holds none.
    [[nodiscard]] std::uint64_t heldEpoch() const
    {
        const auto live = peers->livePeers();
        return live.empty() || live[0].owned.empty() ? 0 : live[0].owned[0].epoch;
    }

    static inline std::uint64_t run = 0;
    event_loop& loop;
    local_state state;
    std::unique_ptr<peer_table> peers;
};

/// @brief Two entries that exchange by hand, so that any message may be lost or come late.
struct entry_pair {
    event_loop loop;
    played_entry first { loop, "first", "127.0.0.1:1" };
    played_entry second { loop, "second", "127.0.0.1:2" };
    std::uint64_t epoch = 0;

    entry_pair()
    {
        change(first);
        change(second);
    }

    void pass(milliseconds time) { loop.timers().advance(loop.timers().now() + time); }

    void change(played_entry& entry) { entry.state.owned = { { "alpha", ++epoch } }; }

    played_entry& other(const played_entry& entry) { return &entry == &first ? second : first; }

    message_ref writeState(played_entry& from)
    {
        auto request = std::make_shared<message>();
        from.peers->writeState(request->as<rpc::PeerState>(), other(from).state.address.rpc);
        return request;
    }

    message_ref deliverState(const message_ref& request, played_entry& to)
    {
        auto reply = std::make_shared<message>();
        to.peers->answer(request->as<rpc::PeerState>().asReader(), reply->as<rpc::PeerState>());
        return reply;
    }

    message_ref writeBeat(played_entry& from)
    {
        auto request = std::make_shared<message>();
        from.peers->writeBeat(request->as<rpc::Entry::BeatParams>(), other(from).state.address.rpc);
        return request;
    }

    /// @return True when the receiver holds the sender's state.
    bool deliverBeat(const message_ref& request, played_entry& to, bool loseReply = false)
    {
        message reply;
        auto results = reply.as<rpc::Entry::BeatResults>();
        to.peers->answer(request->as<rpc::Entry::BeatParams>().asReader(), results);
        if (!loseReply)
            other(to).peers->heard(results.asReader(), to.state.address.rpc, loop.timers().now());
        return results.getHolds();
    }

    void hear(played_entry& entry, const message_ref& reply)
    {
        entry.peers->heard(reply->as<rpc::PeerState>().asReader(), loop.timers().now());
    }

    /// @brief What one turn does when nothing is lost.
    void turn(played_entry& from)
    {
        if (from.peers->inStep(other(from).state.address.rpc) && deliverBeat(writeBeat(from), other(from)))
            return;
        hear(from, deliverState(writeState(from), other(from)));
    }

    bool agree()
    {
        for (int i = 0; i < 3; ++i) {
            turn(first);
            turn(second);
        }
        return first.heldEpoch() == second.state.owned[0].epoch && second.heldEpoch() == first.state.owned[0].epoch
            && first.peers->inStep(second.state.address.rpc) && second.peers->inStep(first.state.address.rpc);
    }
};

} // namespace

TEST_CASE("entries in step leave out what the other has acknowledged")
{
    entry_pair pair;
    REQUIRE(pair.agree());
    const auto unchanged = pair.writeState(pair.first);
    REQUIRE(unchanged->as<rpc::PeerState>().getOwnedLeftOut());
    REQUIRE(pair.deliverBeat(pair.writeBeat(pair.first), pair.second));

    pair.change(pair.first);
    REQUIRE_FALSE(pair.first.peers->inStep(pair.second.state.address.rpc));
    const auto changed = pair.writeState(pair.first);
    REQUIRE(changed->as<rpc::PeerState>().getOwned().size() == 1);
    REQUIRE(changed->as<rpc::PeerState>().getEntriesLeftOut());
}

TEST_CASE("a peer that restarted takes no partial state and gets the whole")
{
    entry_pair pair;
    REQUIRE(pair.agree());
    pair.second.restart();
    const auto reply = pair.deliverState(pair.writeState(pair.first), pair.second);
    REQUIRE(pair.second.peers->livePeers().empty());
    pair.hear(pair.first, reply);
    REQUIRE(pair.writeState(pair.first)->as<rpc::PeerState>().getOwned().size() == 1);
    REQUIRE(pair.agree());
}

TEST_CASE("a state of an earlier run that comes late changes nothing")
{
    entry_pair pair;
    REQUIRE(pair.agree());
    const auto late = pair.writeState(pair.first);
    pair.first.restart();
    pair.change(pair.first);
    REQUIRE(pair.agree());
    pair.deliverState(late, pair.second);
    REQUIRE(pair.second.heldEpoch() == pair.first.state.owned[0].epoch);
    REQUIRE_FALSE(pair.second.peers->inStep(pair.first.state.address.rpc)); // It asks who is there.
    REQUIRE(pair.agree());
}

TEST_CASE("a beat that lay unread is as old as its echo")
{
    entry_pair pair;
    REQUIRE(pair.agree());
    const auto beat = pair.writeBeat(pair.first);
    pair.pass(5s);
    pair.deliverBeat(beat, pair.second, true);
    REQUIRE_FALSE(pair.second.peers->live("first"));
}

TEST_CASE("whatever is lost, late or restarted, entries never hold a state of before and end in step")
{
    REQUIRE(rc::check([] {
        entry_pair pair;
        std::deque<std::pair<message_ref, played_entry*>> late;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 14));
        for (const auto step : steps) {
            auto& entry = step % 2 == 0 ? pair.first : pair.second;
            auto& other = pair.other(entry);
            const auto held = std::pair(pair.first.heldEpoch(), pair.second.heldEpoch());
            pair.pass(1ms);
            switch (step / 2) {
            case 0:
                pair.change(entry);
                break;
            case 1:
                pair.turn(entry);
                break;
            case 2: // The reply is lost.
                pair.deliverState(pair.writeState(entry), other);
                break;
            case 3: // Comes late, or never.
                late.emplace_back(pair.writeState(entry), &other);
                break;
            case 4:
                if (!late.empty()) {
                    pair.deliverState(late.back().first, *late.back().second);
                    late.pop_back();
                }
                break;
            case 5:
                if (pair.deliverBeat(pair.writeBeat(entry), other, true))
                    RC_ASSERT(other.heldEpoch() == entry.state.owned[0].epoch);
                break;
            default:
                entry.restart();
                continue;
            }
            RC_ASSERT(pair.first.heldEpoch() >= held.first);
            RC_ASSERT(pair.second.heldEpoch() >= held.second);
        }
        RC_ASSERT(pair.agree());
    }));
}

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
