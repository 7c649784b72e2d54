#include "harness/fault_proxy.hpp"
#include "harness/process.hpp"

#include <oriole/http/http_server.hpp>

#include <atomic>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

constexpr auto shortTimeout = 400ms;

struct counting_server {
    std::atomic<unsigned> requests { 0 };
    endpoint address = freeEndpoint();
    http_server server { address, {}, [this](const http_call& call) {
                            ++requests;
                            return http_reply { 200, {}, call.body };
                        } };
};

result<http_reply> post(const endpoint& peer, const std::string& body, std::chrono::milliseconds timeout = 5000ms)
{
    return exchange(peer, { "POST", "/", {}, body }, timeout);
}

} // namespace

TEST_CASE("the fault proxy passes and injects each fault")
{
    counting_server behind;
    fault_proxy proxy(freeEndpoint(), behind.address);
    const std::string body(300000, 'x');
    REQUIRE(post(proxy.address(), body).value().body == body);
    REQUIRE(behind.requests == 1);
    REQUIRE(proxy.bytesToTarget() > body.size());
    REQUIRE(proxy.bytesToClient() > body.size());

    SECTION("drop swallows the request")
    {
        proxy.set(link_fault::Drop);
        REQUIRE(post(proxy.address(), "a", shortTimeout).error().ran == verdict::MayHaveRun);
        REQUIRE(behind.requests == 1);
    }
    SECTION("drop of the replies only lets the request through")
    {
        proxy.set(link_state { link_fault::Drop, link_direction::ToClient });
        REQUIRE(post(proxy.address(), "a", shortTimeout).error().ran == verdict::MayHaveRun);
        REQUIRE(behind.requests == 2);
    }
    SECTION("cut refuses connections")
    {
        proxy.set(link_fault::Cut);
        REQUIRE(post(proxy.address(), "a").error().ran == verdict::NotRun);
        REQUIRE(behind.requests == 1);
    }
    SECTION("lost reply: the request takes effect")
    {
        proxy.set(link_fault::LoseReply);
        REQUIRE(post(proxy.address(), "a").error().ran == verdict::MayHaveRun);
        REQUIRE(behind.requests == 2);
    }
    SECTION("freeze holds the request until it ends")
    {
        proxy.set(link_fault::Freeze);
        REQUIRE_FALSE(post(proxy.address(), "a", shortTimeout));
        REQUIRE(behind.requests == 1);
    }
    SECTION("half-open swallows new requests")
    {
        proxy.set(link_fault::HalfOpen);
        REQUIRE_FALSE(post(proxy.address(), "a", shortTimeout));
        REQUIRE(behind.requests == 1);
    }
    SECTION("throttle slows and loses nothing")
    {
        proxy.set(link_state { link_fault::None, link_direction::Both, 5ms, 10 << 20 });
        REQUIRE(post(proxy.address(), body).value().body == body);
    }
    proxy.set(link_fault::None);
    REQUIRE(post(proxy.address(), body).value().body == body);
}

TEST_CASE("the harness starts, freezes and kills processes")
{
    test_directory logs;
    counting_server behind;
    const auto listen = freeEndpoint();
    process child("standin_fault_proxy", { "--listen", toString(listen), "--target", toString(behind.address) },
        logs.file("proxy.log"));
    REQUIRE(eventually([&] { return post(listen, "a").has_value(); }));
    child.freeze();
    REQUIRE_FALSE(post(listen, "a", shortTimeout));
    child.thaw();
    REQUIRE(post(listen, "a").has_value());
    child.terminate();
    REQUIRE(child.waitForExit() == 128 + SIGTERM);
    process refused("standin_fault_proxy", { "--listen", "nonsense" }, logs.file("refused.log"));
    REQUIRE(refused.waitForExit().value_or(0) != 0);
}

TEST_CASE("a fault for one client's connections strikes no other client")
{
    const auto fault = GENERATE(link_fault::Drop, link_fault::Cut, link_fault::Freeze, link_fault::LoseReply);
    test_directory logs;
    counting_server behind;
    fault_proxy proxy(freeEndpoint(), behind.address);
    const auto listen = freeEndpoint();
    process client("standin_fault_proxy", { "--listen", toString(listen), "--target", toString(proxy.address()) },
        logs.file("client.log"));
    REQUIRE(eventually([&] { return post(listen, "a").has_value(); }));
    proxy.set(link_state { .fault = fault, .clients = { client.pid() } });
    REQUIRE_FALSE(post(listen, "a", shortTimeout));
    REQUIRE(post(proxy.address(), "a").has_value());
    proxy.set(link_fault::None);
    REQUIRE(post(listen, "a").has_value());
}
