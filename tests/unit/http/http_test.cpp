#include <oriole/http/http_server.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

oriole::http_reply echo(const oriole::http_call& call)
{
    return { 200, {}, call.method + " " + call.path + " " + call.body };
}

// Each test has a port of its own on the loopback range, so that none meets another's connections.
const oriole::endpoint serverAddress { "127.0.7.1", 18371 };

} // namespace

TEST_CASE("an exchange returns the whole reply")
{
    oriole::http_server server(serverAddress, {}, echo);
    const auto reply = oriole::exchange(serverAddress, { "POST", "/a", {}, "body" }, 2000ms);
    REQUIRE(reply.has_value());
    REQUIRE(reply.value().body == "POST /a body");
}

TEST_CASE("a refused connection is not-run")
{
    const auto reply = oriole::exchange({ "127.0.7.2", 18372 }, { "POST", "/a", {}, "body" }, 2000ms);
    REQUIRE(reply.has_error());
    REQUIRE(reply.error().ran == oriole::verdict::NotRun);
}

TEST_CASE("a body over the limit is refused before the handler sees it")
{
    oriole::http_server server(serverAddress, { .largestBodyBytes = 3, .threads = 8 }, echo);
    const auto reply = oriole::exchange(serverAddress, { "POST", "/a", {}, "body" }, 2000ms);
    REQUIRE(reply.has_value());
    REQUIRE(reply.value().status == 413);
    REQUIRE(reply.value().headers.at("orioleway-verdict") == "not-run");
}
