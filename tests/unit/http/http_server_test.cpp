#include "raw_peer.hpp"

#include <oriole/http/http_server.hpp>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// @brief Counts what reaches the handler; requests to /slow wait until they are released.
class gated_handler {
public:
    ~gated_handler() { release(); }

    oriole::http_reply operator()(const oriole::http_call& call)
    {
        ++handled;
        if (call.path == "/throw")
            throw std::runtime_error("handler failed");
        if (call.path == "/slow") {
            std::unique_lock lock(m_mutex);
            m_released.wait(lock, [this] { return m_open; });
        }
        return { 200, {}, call.path + " " + call.body };
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_released.notify_all();
    }

    std::atomic<unsigned> handled { 0 };

private:
    std::mutex m_mutex;
    std::condition_variable m_released;
    bool m_open = false;
};

struct fixture {
    explicit fixture(const oriole::http_server_limits& limits = {})
        : server(address, limits, [this](const oriole::http_call& call) { return handler(call); })
    {
    }

    ~fixture() { handler.release(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    [[nodiscard]] bool waitForRunning(unsigned count) const
    {
        const auto end = std::chrono::steady_clock::now() + raw::patience;
        while (server.running() != count && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(1ms);
        return server.running() == count;
    }

    [[nodiscard]] std::string get(const std::string& path) const
    {
        const raw::socket_stream stream(address);
        stream.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        return stream.readAll();
    }

    oriole::endpoint address = raw::freeAddress();
    gated_handler handler;
    oriole::http_server server;
};

const std::string slowRequest = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

TEST_CASE("a request whose length can't be trusted is refused and not handled")
{
    const auto [header, status] = GENERATE(as<std::pair<std::string, std::string>> {},
        std::pair { "Transfer-Encoding: chunked", "501" },
        std::pair { "Transfer-Encoding: chunked\r\nContent-Length: 3", "501" },
        std::pair { "Transfer-Encoding: identity", "501" }, std::pair { "Content-Length: -5", "400" },
        std::pair { "Content-Length: +3", "400" }, std::pair { "Content-Length: 3x", "400" },
        std::pair { "Content-Length: ", "400" }, std::pair { "Content-Length: 3\r\nContent-Length: 4", "400" },
        std::pair { "X-Other: 1", "411" }, std::pair { "Content-Length: 99999999999999999999999", "413" },
        std::pair { "Content-Length: 9000000", "413" });
    INFO(header);
    fixture f;
    const raw::socket_stream stream(f.address);
    stream.send("POST /a HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    const auto reply = stream.readAll();
    CHECK(reply.substr(0, 12) == "HTTP/1.1 " + status);
    CHECK(reply.find("not-run") != std::string::npos);
    CHECK(raw::count(reply, "HTTP/1.1 ") == 1);
    CHECK(f.handler.handled == 0);
}

TEST_CASE("garbage is refused and the server goes on")
{
    const auto text = GENERATE(as<std::string> {}, "no HTTP\r\n\r\n", "POST\r\n\r\n", std::string("\0\1\2\r\n\r\n", 7),
        "GET / HTTP/9.9.9\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n");
    fixture f;
    {
        const raw::socket_stream stream(f.address);
        stream.send(text);
        shutdown(stream.descriptor(), SHUT_WR);
        CHECK(stream.readAll().find("200 OK") == std::string::npos);
    }
    CHECK(f.handler.handled == 0);
    CHECK(f.get("/b").find("200 OK") != std::string::npos);
}

TEST_CASE("a body that is cut short is not handled")
{
    fixture f;
    {
        const raw::socket_stream stream(f.address);
        stream.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    }
    CHECK(f.get("/b").find("200 OK") != std::string::npos);
    CHECK(f.handler.handled == 1);
}

TEST_CASE("an over-long body is refused without being kept")
{
    constexpr std::size_t bodyBytes = 64 << 20;
    fixture f;
    const auto before = residentBytes();
    const raw::socket_stream stream(f.address);
    stream.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
    const std::string piece(64 << 10, 'x');
    for (std::size_t sent = 0; sent < bodyBytes && stream.send(piece); sent += piece.size()) { }
    CHECK(f.get("/b").find("200 OK") != std::string::npos);
    CHECK(f.handler.handled == 1);
    CHECK(residentBytes() < before + bodyBytes / 4);
}

TEST_CASE("an over-long header is refused without being kept", "[header-memory]")
{
    constexpr std::size_t headerBytes = 32 << 20;
    fixture f;
    const auto before = residentBytes();
    const raw::socket_stream stream(f.address);
    stream.send("GET /a HTTP/1.1\r\nHost: a\r\nX-Long: ");
    const std::string piece(64 << 10, 'x');
    for (std::size_t sent = 0; sent < headerBytes && stream.send(piece); sent += piece.size()) { }
    CHECK(f.get("/b").find("200 OK") != std::string::npos);
    CHECK(residentBytes() < before + headerBytes / 4);
}

TEST_CASE("once stopping, a pipelined request is refused and the running one is answered whole")
{
    fixture f;
    const raw::socket_stream stream(f.address);
    stream.send(slowRequest + "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    REQUIRE(f.waitForRunning(1));
    f.server.refuseNew();
    f.handler.release();
    const auto replies = stream.readAll();
    CHECK(replies.find("/slow ") != std::string::npos);
    CHECK(raw::count(replies, "HTTP/1.1 200") == 1);
    CHECK(raw::count(replies, "HTTP/1.1 503") == 1);
    CHECK(raw::count(replies, "Connection: close") == 1);
    CHECK(replies.find("not-run") != std::string::npos);
    CHECK(f.handler.handled == 1);
}

TEST_CASE("a stop waits for running requests and their whole replies")
{
    fixture f;
    const raw::socket_stream running(f.address);
    const raw::socket_stream idle(f.address);
    idle.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    idle.readUntilText("/b ");
    running.send(slowRequest);
    REQUIRE(f.waitForRunning(1));
    std::atomic<bool> stopped { false };
    std::thread stopper([&] {
        f.server.stop();
        stopped = true;
    });
    // The stop has begun once the server refuses or takes no new connection.
    std::string refused = "200 OK";
    while (refused.find("200 OK") != std::string::npos) {
        try {
            refused = f.get("/c");
        } catch (const std::runtime_error&) {
            refused.clear();
        }
    }
    CHECK_FALSE(stopped);
    f.handler.release();
    CHECK(running.readUntilText("/slow ").find("HTTP/1.1 200 OK") != std::string::npos);
    stopper.join();
}

TEST_CASE("slow and half requests hold no thread")
{
    fixture f({ .threads = 8 });
    std::vector<std::unique_ptr<raw::socket_stream>> slow;
    for (int i = 0; i < 60; ++i) {
        slow.push_back(std::make_unique<raw::socket_stream>(f.address));
        slow.back()->send(i % 3 == 0 ? "" : "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n");
        if (i % 3 == 2)
            slow.back()->send("\r\nabc");
    }
    CHECK(f.get("/b").find("200 OK") != std::string::npos);
    CHECK(f.handler.handled == 1);
}

TEST_CASE("with all threads but a reserve busy, new work is refused and health still answers")
{
    constexpr unsigned longRequests = 6;
    fixture f({ .threads = 8, .longRequests = longRequests });
    std::vector<std::unique_ptr<raw::socket_stream>> busy;
    for (unsigned i = 0; i < longRequests; ++i) {
        busy.push_back(std::make_unique<raw::socket_stream>(f.address));
        busy.back()->send(slowRequest);
    }
    REQUIRE(f.waitForRunning(longRequests));
    const auto refused = f.get("/slow");
    CHECK(refused.substr(0, 12) == "HTTP/1.1 503");
    CHECK(refused.find("not-run") != std::string::npos);
    CHECK(refused.find("retry_after_ms") != std::string::npos);
    for (const auto* path : { "/healthz", "/readyz", "/metrics" })
        CHECK(f.get(path).find("200 OK") != std::string::npos);
    CHECK(f.server.running() == longRequests);

    f.handler.release();
    for (const auto& stream : busy)
        CHECK(stream->readUntilText("/slow ").find("200 OK") != std::string::npos);
    REQUIRE(f.waitForRunning(0));
    CHECK(f.get("/slow").find("200 OK") != std::string::npos);
}

TEST_CASE("a handler that throws is told as may-have-run and frees its place")
{
    fixture f;
    const auto reply = f.get("/throw");
    CHECK(reply.substr(0, 12) == "HTTP/1.1 502");
    CHECK(reply.find("may-have-run") != std::string::npos);
    CHECK(f.waitForRunning(0));
    CHECK(f.get("/b").find("200 OK") != std::string::npos);
}
