#include "harness/load.hpp"
#include "harness/raw_server.hpp"

#include <future>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bigReply = 400000;

/// @brief Puts @p server in the place of the backend server of agent 0.
void replaceBackend(cluster& system, std::unique_ptr<raw_server>& server, const std::function<raw_server::answer(const std::string&)>& respond)
{
    const auto address = freeEndpoint();
    server = std::make_unique<raw_server>(address, [respond](const std::string& request) {
        if (request.starts_with("GET /healthz"))
            return raw_server::answer { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}" };
        return respond(request);
    });
    auto& link = system.agents[0].backendLink;
    const auto listen = link->address();
    link.reset();
    link = std::make_unique<fault_proxy>(listen, address);
}

std::string rawRequest(const std::string& key, unsigned workMs, const std::string& organisation = "alpha")
{
    const auto body = json { { "key", key }, { "work_ms", workMs } }.dump();
    return "POST /v1/organisations/" + organisation
        + "/requests/column HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Pairs of requests, each written at once on one connection, and what came back.
struct pipelined_pairs {
    unsigned answered = 0; ///< Both replies came, each with its own key.
    unsigned wrong = 0; ///< A reply with another key, or out of order.
    unsigned cutOff = 0; ///< No whole reply, but it ran.
    unsigned falseNotRun = 0;

    void send(const cluster& system, raw_caller& caller, const std::string& name)
    {
        const std::vector<std::string> keys { name + "-first", name + "-second" };
        // The second is quicker than the first.
        caller.send(rawRequest(keys[0], 60) + rawRequest(keys[1], 1, "beta"));
        unsigned good = 0;
        for (const auto& key : keys) {
            const auto reply = caller.receive();
            const bool own = reply.find("\"key\":\"" + key + "\"") != std::string::npos;
            const bool completed = reply.starts_with("HTTP/1.1 200");
            good += completed && own ? 1 : 0;
            wrong += completed && !own ? 1 : 0;
            cutOff += reply.empty() && system.executions(key) > 0 ? 1 : 0;
            const bool notRun = reply.find("\"not-run\"") != std::string::npos;
            falseNotRun += notRun && system.executions(key) > 0 ? 1 : 0;
        }
        answered += good == keys.size() ? 1 : 0;
    }

    void check() const
    {
        CHECK(wrong == 0);
        CHECK(cutOff == 0);
        CHECK(falseNotRun == 0);
    }
};

} // namespace

TEST_CASE("every caller gets the whole answer to its own request over slow and torn links")
{
    cluster system;
    request_load load(system,
        { .callers = 8, .body = { { "reply_bytes", bigReply }, { "work_ms", 3 } }, .headers = { { "Orioleway-Timeout-Ms", "3000" } } });
    const auto more = [&](std::size_t count) {
        const auto before = load.answered();
        REQUIRE(eventually([&] { return load.answered() >= before + count; }, 60000ms));
    };
    more(30);
    system.agents[0].backendLink->set(link_state { link_fault::None, link_direction::Both, 20ms, 4 << 20 });
    more(30);
    for (unsigned i = 0; i < 10; ++i) {
        // Closes connections in the middle of replies.
        system.agents[i % 3].backendLink->set(link_fault::Cut);
        system.agents[i % 3].backendLink->set(link_state { link_fault::None, link_direction::Both, 5ms, 8 << 20 });
        system.entries[i % 2].rpcLink->set(link_fault::Cut);
        system.entries[i % 2].rpcLink->set(link_fault::None);
        more(10);
    }
    const auto told = load.stop();
    unsigned whole = 0;
    for (const auto& [key, reply] : told) {
        if (reply.status != 200) {
            CHECK((reply.verdict == "not-run" || reply.verdict == "may-have-run"));
            continue;
        }
        ++whole;
        REQUIRE(reply.body.is_object());
        REQUIRE(reply.body.value("key", "") == key);
        REQUIRE(reply.body.value("filling", "").size() == bigReply);
    }
    CHECK(whole > told.size() / 2);
    CHECK(checkVerdicts(told, system.executions()).falseNotRun == 0);
}

TEST_CASE("an invalid or endless reply of a backend server is never passed as an answer")
{
    cluster system({ .entries = 1, .workersPerDomain = { 1 } });
    struct invalid_reply {
        std::string name;
        raw_server::answer answer;
    };
    const std::vector<invalid_reply> replies {
        { "chunked without end", { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" } },
        { "chunked without end, left open",
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true } },
        { "interim reply only", { "HTTP/1.1 100 Continue\r\n\r\n" } },
        { "short of its length", { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc" } },
        { "without a length", { "HTTP/1.1 200 OK\r\n\r\nabc" } },
        { "closed at once", { "" } },
        { "no HTTP", { "abc\r\n\r\n" } },
    };
    for (const auto& invalid : replies) {
        std::atomic<unsigned> arrived { 0 };
        std::unique_ptr<raw_server> server;
        replaceBackend(system, server, [&arrived, &invalid](const std::string&) {
            ++arrived;
            return invalid.answer;
        });
        caller_reply told;
        // The first attempts may still find the connection of the former backend server broken.
        const auto reached = [&] {
            told = system.request(0, "alpha", { { "key", invalid.name } },
                { { "Orioleway-Unrepeatable", "true" }, { "Orioleway-Timeout-Ms", "1000" } });
            return arrived > 0;
        };
        INFO(invalid.name);
        REQUIRE(eventually(reached));
        INFO(told.status << " " << told.verdict << " " << told.text);
        CHECK(told.verdict == "may-have-run");
        CHECK((told.status == 502 || told.status == 504));
        CHECK(arrived == 1);
    }
}

TEST_CASE("a caller that disconnects and comes back gets the answer to its new request")
{
    cluster system;
    for (unsigned i = 0; i < 20; ++i) {
        const auto first = "gone-" + std::to_string(i);
        const auto second = "back-" + std::to_string(i);
        const auto path = "/v1/organisations/alpha/requests/column";
        call(system.entries[0].http, "POST", path, json { { "key", first }, { "work_ms", 100 } }.dump(), {}, 20ms);
        const auto told = system.request(0, "alpha", { { "key", second } });
        REQUIRE(told.status == 200);
        REQUIRE(told.body.value("key", "") == second);
    }
}

TEST_CASE("an answer after the deadline is not given to a later request")
{
    cluster system({ .entries = 1, .workersPerDomain = { 1 } });
    for (unsigned i = 0; i < 10; ++i) {
        const auto late = system.request(
            0, "alpha", { { "key", "late" }, { "work_ms", 300 } }, { { "Orioleway-Timeout-Ms", "100" } });
        CHECK(late.status != 200);
        CHECK(late.verdict == "may-have-run");
        const auto key = "next-" + std::to_string(i);
        const auto next = system.request(0, "alpha", { { "key", key } });
        REQUIRE(next.status == 200);
        REQUIRE(next.body.value("key", "") == key);
    }
}

TEST_CASE("two requests sent at once on one connection get their own answers in order")
{
    cluster system;
    pipelined_pairs pairs;
    raw_caller caller(system.entries[0].http);
    REQUIRE(caller.connected());
    for (unsigned i = 0; i < 20; ++i)
        pairs.send(system, caller, "pair-" + std::to_string(i));
    CHECK(pairs.answered == 20);
    pairs.check();
}
