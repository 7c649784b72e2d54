/// @file
/// @brief Guards against clients that end or hang a process of oriolefleetd by exhausting its memory, descriptors or event loop.
#define CATCH_CONFIG_MAIN
#include "hostile_traffic.hpp"
#include "served_process.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace hostile;

namespace {

constexpr std::chrono::milliseconds trafficTime { 4000 };
constexpr oriole::milliseconds sampleInterval { 20 };
constexpr machine_limits fewDescriptors { 64, 400 };
constexpr machine_limits sideMachine { 128, 4096 };
const std::string post = "POST /batch/00000000000000ff HTTP/1.1\r\nHost: test.example\r\nX-Key: key-one\r\n";

std::string repeated(const std::string& text, unsigned times)
{
    std::string out;
    for (unsigned i = 0; i < times; ++i)
        out += text;
    return out;
}

std::string request(const std::string& line, const std::string& body)
{
    return line + " HTTP/1.1\r\nHost: test.example\r\nX-Key: key-one\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: test.example\r\nX-Key: key-one\r\n\r\n";
}

/// @brief The first bytes of a Cap'n Proto message of one segment, without its end.
std::string halfMessage(std::uint32_t announcedWords, std::size_t sentBytes)
{
    std::string table(8, '\0');
    for (unsigned i = 0; i < 4; ++i)
        table[4 + i] = static_cast<char>(announcedWords >> (8 * i));
    return table + std::string(sentBytes, '\1');
}

/// @brief Sends the traffic to an address of a process and checks what must hold during and after it.
void checkUnder(process_role role, machine_limits limits, oriole::endpoint served_process::*address, const client_script& script)
{
    oriole::event_loop loop;
    served_process process(loop, role, limits);
    REQUIRE(process.answersOrdinaryRequest());

    hostile_traffic traffic(process.*address, script);
    std::atomic<bool> ended { false };
    std::thread sender([&] {
        traffic.run(trafficTime);
        ended = true;
    });
    std::size_t descriptors = 0;
    while (!ended) {
        loop.after(sampleInterval).wait(loop.io().waitScope);
        if (process.alive())
            descriptors = std::max(descriptors, process.openDescriptors());
    }
    sender.join();

    CHECK(process.answersOrdinaryRequest());
    REQUIRE(process.alive());
    CHECK(descriptors <= limits.maxFds);
    CHECK(process.peakResidentMb() <= limits.memoryMb);
}

} // namespace

TEST_CASE("bodies far over the limit with an announced length")
{
    checkUnder(process_role::Entry, {}, &served_process::service,
        { 100, post + "Content-Length: 5000000000\r\n\r\n" + std::string(2'000'000, 'x'), true });
}

TEST_CASE("chunked bodies without an end")
{
    checkUnder(process_role::Entry, {}, &served_process::service,
        { 80, post + "Transfer-Encoding: chunked\r\n\r\nF0000\r\n" + std::string(983'040, 'x') });
}

TEST_CASE("bodies within the limit that stop")
{
    checkUnder(process_role::Entry, {}, &served_process::service,
        { 80, post + "Content-Length: 1000000\r\n\r\n" + std::string(983'040, 'x') });
}

TEST_CASE("bodies within the limit that arrive one byte at a time")
{
    checkUnder(process_role::Entry, {}, &served_process::service,
        { 80, post + "Content-Length: 1000000\r\n\r\n" + std::string(983'040, 'x'), true });
}

TEST_CASE("headers without an end")
{
    checkUnder(process_role::Entry, {}, &served_process::service,
        { 700, "GET / HTTP/1.1\r\nHost: test.example\r\nX-Long: " + std::string(120'000, 'x'), true });
}

TEST_CASE("pipelined requests with unread answers")
{
    checkUnder(process_role::Entry, {}, &served_process::service,
        { 20, repeated(get("/batch/00000000000000ff"), 20'000) + repeated(get("/none/" + std::string(6000, 'x')), 2000) });
}

TEST_CASE("connections to an entry that are only opened")
{
    const auto address = GENERATE(&served_process::service, &served_process::ready, &served_process::metrics, &served_process::rpc);
    checkUnder(process_role::Entry, fewDescriptors, address, { 600, "" });
}

TEST_CASE("connections to an agent that are only opened")
{
    const auto address = GENERATE(&served_process::service, &served_process::metrics, &served_process::rpc);
    checkUnder(process_role::Agent, fewDescriptors, address, { 600, "" });
}

TEST_CASE("heartbeats without an end")
{
    checkUnder(process_role::Agent, {}, &served_process::service,
        { 40, "PUT /api/instances/w2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3C0000\r\n" + std::string(0x3C0000, 'x') });
}

// Guards against agents that go over their memory: a tree of JSON takes up to 80 bytes for each byte of nested brackets.
TEST_CASE("heartbeats that are large when decoded")
{
    const std::string known = R"({"service":"desk","address":"127.0.0.1:1","zone":"domain-a","state":"ready","sequence":1,"version":"v1","slots":8,"coldLeftMs":0,)"
                              R"("capacity":{"cpu":1,"memMb":1,"gpu":1},)";
    const auto [start, piece] = GENERATE_COPY(table<std::string, std::string>({ { "", "[" }, { known + R"("labels":)", "[" },
        { known + R"("labels":[)", R"("a",)" }, { known + R"("unknown":{)", R"("a":{},)" } }));
    const auto text = start + repeated(piece, 4'193'000 / piece.size());
    INFO(text.substr(0, start.size() + 2 * piece.size()));
    checkUnder(process_role::Agent, sideMachine, &served_process::service, { 4, request("PUT /api/instances/w2", text) });
}

TEST_CASE("pipelined requests for metrics with unread answers")
{
    const auto role = GENERATE(process_role::Entry, process_role::Agent);
    checkUnder(role, {}, &served_process::metrics, { 100, repeated(get("/metrics"), 20'000) });
}

TEST_CASE("messages to the RPC port without an end")
{
    const auto role = GENERATE(process_role::Entry, process_role::Agent);
    checkUnder(role, {}, &served_process::rpc, { 40, halfMessage(1'000'000, 7'900'000), true });
}
