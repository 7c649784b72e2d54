#include <oriole/rpc/connection.hpp>

#include <catch2/catch.hpp>

#include <memory>

TEST_CASE("a broken connection may be asked for its interface again and closed")
{
    oriole::event_loop loop;
    auto& scope = loop.io().waitScope;
    auto pipe = loop.io().provider->newTwoWayPipe();
    // Owned as by the agents' gateway, whose owner must not see an exception.
    auto connection = std::make_shared<kj::Own<oriole::rpc::connection>>(
        kj::heap<oriole::rpc::connection>(kj::mv(pipe.ends[0])));
    (*connection)->bootstrap<oriole::rpc::Agent>().whenResolved().detach([](kj::Exception&&) {});
    pipe.ends[1] = nullptr;
    (*connection)->onDisconnect().wait(scope);

    auto request = (*connection)->bootstrap<oriole::rpc::Agent>().gangHeartbeatRequest();
    auto failed = request.send().then([](auto&&) { return false; }, [](kj::Exception&&) { return true; });
    REQUIRE(failed.wait(scope));
    connection.reset();
}
