#include <oriole/helpers/base64.hpp>
#include <oriole/helpers/token_bucket.hpp>
#include <oriole/store/circuit_breaker.hpp>
#include <oriole/store/etcd_codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace std::chrono_literals;

TEST_CASE("base64 gives back every text it encoded")
{
    rc::prop("decode(encode(x)) == x", [](const std::string& bytes) {
        RC_ASSERT(oriole::decodeBase64(oriole::encodeBase64(bytes)) == bytes);
    });
    REQUIRE(oriole::encodeBase64("foob") == "Zm9vYg==");
    REQUIRE_FALSE(oriole::decodeBase64("Zm9").has_value());
    REQUIRE_FALSE(oriole::decodeBase64("Zm9*").has_value());
}

TEST_CASE("a token bucket gives its burst, then its rate")
{
    const oriole::time_point start {};
    oriole::token_bucket bucket(10, 2, start);
    REQUIRE(bucket.take(start));
    REQUIRE(bucket.take(start));
    REQUIRE_FALSE(bucket.take(start + 50ms));
    REQUIRE(bucket.take(start + 101ms));
    REQUIRE_FALSE(bucket.take(start + 101ms));
}

TEST_CASE("the breaker opens after failures in a row, and one probe closes it")
{
    const oriole::time_point start {};
    oriole::circuit_breaker breaker({}, 1);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(breaker.allow(start));
        breaker.failed(start);
    }
    REQUIRE(breaker.health() == oriole::store_health::Down);
    REQUIRE_FALSE(breaker.allow(start));

    const auto later = start + 200ms;
    REQUIRE(breaker.allow(later));
    REQUIRE_FALSE(breaker.allow(later));
    breaker.failed(later);
    REQUIRE_FALSE(breaker.allow(later + 199ms));

    REQUIRE(breaker.allow(later + 400ms));
    breaker.succeeded(1ms);
    REQUIRE(breaker.health() == oriole::store_health::Up);
    REQUIRE(breaker.allow(later + 400ms));
}

TEST_CASE("slow replies are slow, not down")
{
    oriole::circuit_breaker breaker({}, 1);
    for (int i = 0; i < 3; ++i)
        breaker.succeeded(301ms);
    REQUIRE(breaker.health() == oriole::store_health::Slow);
    REQUIRE(breaker.allow({}));
    for (int i = 0; i < 3; ++i)
        breaker.succeeded(10ms);
    REQUIRE(breaker.health() == oriole::store_health::Up);
}

TEST_CASE("replies of another form may have run")
{
    for (const auto* body : { "", "{}", "[1]", "{\"header\":{\"revision\":\"x\"}}", "{\"header\":3}" }) {
        CAPTURE(body);
        REQUIRE(oriole::etcd::parseTransaction(body).error().ran == oriole::verdict::MayHaveRun);
        REQUIRE(oriole::etcd::parseRange(body).has_error());
        REQUIRE(oriole::etcd::parseGrant(body).has_error());
        REQUIRE(oriole::etcd::parseKeepAlive(body).has_error());
        REQUIRE(oriole::etcd::parseRevoke(body).has_error());
    }
}

TEST_CASE("members left out are zero or false")
{
    const auto outcome = oriole::etcd::parseTransaction(R"({"header":{"revision":"7"}})");
    REQUIRE_FALSE(outcome.value().applied);
    REQUIRE(outcome.value().revision == 7);
    REQUIRE(oriole::etcd::parseKeepAlive(R"({"result":{"ID":"3"}})").value() == 0s);
    REQUIRE(oriole::etcd::parseRange(R"({"header":{"revision":"7"}})").value().entries.empty());
}

TEST_CASE("the end of a prefix follows all its keys")
{
    REQUIRE(oriole::etcd::endOfPrefix("/a/") == "/a0");
    REQUIRE(oriole::etcd::endOfPrefix("a\xff") == "b");
    REQUIRE(oriole::etcd::endOfPrefix("\xff") == std::string(1, '\0'));
}
