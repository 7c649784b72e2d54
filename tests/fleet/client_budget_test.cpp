#include <fleet/http/client_budget.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace fleet;

namespace {

constexpr std::size_t mib = 1U << 20U;

client_budget::time_point at(unsigned seconds)
{
    return client_budget::time_point(std::chrono::seconds(seconds));
}

} // namespace

// Guards against limits that refuse an ordinary request, or that leave nothing for the store, peers and agents.
TEST_CASE("the clients' part leaves most of a process and fits the largest request", "[clients]")
{
    constexpr std::size_t largestRequest = 12 * mib; // A heartbeat of 4 MiB, held threefold.
    for (const auto& limits : { process_limits {}, process_limits { 160, 4100 }, { 260, 4100 }, { 128, 4096 }, { 64, 400 }, { 1, 1 } }) {
        const auto capacity = deriveClientCapacity(limits);
        INFO(limits.memoryMb << " MB, " << limits.descriptors << " descriptors");
        CHECK(capacity.contentBytes > largestRequest);
        CHECK(capacity.httpConnections > 0);
        CHECK(capacity.rpcConnections > 0);
        if (limits.memoryMb >= 64) {
            CHECK(capacity.contentBytes <= limits.memoryMb * mib / 4);
            CHECK(capacity.httpConnections + capacity.rpcConnections <= (limits.descriptors - 200) / 2);
        }
    }
}

// Guards against a client that keeps others out by connections that it only opens.
TEST_CASE("at capacity a connection that was never served makes room, then the one that was idle longest", "[clients]")
{
    client_budget budget({ 2, 1, mib });
    const auto served = budget.open(client_protocol::Http, at(0)).id;
    budget.setActivity(served, client_activity::Idle, at(1));
    const auto unserved = budget.open(client_protocol::Http, at(2)).id;
    const auto third = budget.open(client_protocol::Http, at(3));
    CHECK(third.outcome == client_budget::decision { true, { unserved } });
    budget.setActivity(third.id, client_activity::Idle, at(4));
    CHECK(budget.open(client_protocol::Http, at(5)).outcome == client_budget::decision { true, { served } });
    CHECK(budget.open(client_protocol::Rpc, at(5)).outcome == client_budget::decision { true, {} });
}

// Guards against closing a connection whose request may take effect, which its caller could not tell from one that did not run.
TEST_CASE("a connection whose request is being handled is not given up", "[clients]")
{
    client_budget budget({ 1, 1, 100 });
    const auto handled = budget.open(client_protocol::Http, at(0)).id;
    REQUIRE(budget.hold(handled, 80).granted);
    budget.setActivity(handled, client_activity::Handled, at(0));
    CHECK_FALSE(budget.open(client_protocol::Http, at(1)).outcome.granted);
    const auto other = budget.open(client_protocol::Rpc, at(1)).id;
    CHECK(budget.hold(other, 30) == client_budget::decision { false, {} });
    CHECK(budget.holdAnswer(other, 30).granted);
}

// Guards against slow bodies that keep the memory from those that are sent at once.
TEST_CASE("the request that has been arriving longest makes room for others and is refused itself", "[clients]")
{
    client_budget budget({ 4, 1, 100 });
    const auto slow = budget.open(client_protocol::Http, at(0)).id;
    const auto quick = budget.open(client_protocol::Http, at(0)).id;
    budget.setActivity(slow, client_activity::Sending, at(1));
    budget.setActivity(quick, client_activity::Sending, at(5));
    REQUIRE(budget.hold(slow, 70).granted);
    REQUIRE(budget.hold(quick, 20).granted);
    CHECK(budget.hold(slow, 40) == client_budget::decision { false, {} });
    CHECK(budget.hold(quick, 40) == client_budget::decision { true, { slow } });
    CHECK(budget.heldBytes() == 60);
    CHECK_FALSE(budget.hold(slow, 1).granted);
    budget.close(slow);
    budget.release(quick, 60);
    CHECK(budget.heldBytes() == 0);
    CHECK(budget.connections() == 1);
}

// Guards against bytes that are counted twice or never released, which would refuse every client in the end.
TEST_CASE("held bytes stay within the capacity and end with their connections", "[clients]")
{
    rc::prop("any sequence of events", [] {
        client_budget budget({ 4, 2, 1000 });
        std::vector<client_budget::connection_id> open;
        const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 400U)));
        unsigned second = 0;
        for (const auto& [kind, amount] : steps) {
            ++second;
            const auto id = open.empty() ? 0 : open[amount % open.size()];
            if (kind == 0)
                open.push_back(budget.open(amount % 2 == 0 ? client_protocol::Http : client_protocol::Rpc, at(second)).id);
            else if (kind == 1)
                budget.hold(id, amount);
            else if (kind == 2)
                budget.release(id, amount);
            else if (kind == 3)
                budget.setActivity(id, static_cast<client_activity>(amount % 5), at(second));
            else
                budget.close(id);
            RC_ASSERT(budget.heldBytes() <= 1000U);
        }
        for (const auto id : open)
            budget.close(id);
        RC_ASSERT(budget.heldBytes() == 0U);
        RC_ASSERT(budget.connections() == 0U);
    });
}
