#include "raw_peer.hpp"

#include <oriole/http/http_client.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <mutex>

using namespace std::chrono_literals;

namespace {

const oriole::http_request post { "POST", "/bundle", {}, "reprint" };

/// @brief Reads one request, sends @p reply and closes; keeps all that was read.
class scripted_peer {
public:
    explicit scripted_peer(std::string reply, std::chrono::milliseconds holdOpen = 0ms)
        : m_reply(std::move(reply))
        , m_holdOpen(holdOpen)
        , m_listener([this](raw::socket_stream stream) { serve(std::move(stream)); })
    {
    }

    [[nodiscard]] const oriole::endpoint& address() const { return m_listener.address(); }
    [[nodiscard]] unsigned connections() const { return m_listener.connections(); }

    [[nodiscard]] std::string received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

private:
    void serve(raw::socket_stream stream)
    {
        auto text = stream.readUntilText("reprint");
        {
            const std::lock_guard lock(m_mutex);
            m_received += text;
        }
        stream.send(m_reply);
        const auto end = std::chrono::steady_clock::now() + m_holdOpen;
        while (std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(10ms);
    }

    std::string m_reply;
    std::chrono::milliseconds m_holdOpen;
    std::mutex m_mutex;
    std::string m_received;
    raw::listener m_listener;
};

} // namespace

TEST_CASE("a POST is sent once when the peer closes after reading it")
{
    scripted_peer peer("");
    const auto reply = oriole::exchange(peer.address(), post, 2000ms);
    REQUIRE(reply.has_error());
    CHECK(reply.error().ran == oriole::verdict::MayHaveRun);
    // A second sending would come on a connection of its own, before the client gives up.
    CHECK(peer.connections() == 1);
    CHECK(raw::count(peer.received(), "POST /bundle") == 1);
}

TEST_CASE("a peer that dies after reading the request is not taken for one that was never reached")
{
    // The listening socket is gone before the connection breaks, so that a second connection would be refused.
    std::atomic<bool> closed { false };
    auto peer = std::make_unique<raw::listener>([&](const raw::socket_stream& stream) {
        stream.readUntilText("reprint");
        while (!closed)
            std::this_thread::sleep_for(1ms);
    });
    const auto address = peer->address();
    std::thread killer([&] {
        while (peer->connections() == 0)
            std::this_thread::sleep_for(1ms);
        peer->stopListening();
        closed = true;
    });
    const auto reply = oriole::exchange(address, post, 2000ms);
    killer.join();
    REQUIRE(reply.has_error());
    CHECK(reply.error().ran == oriole::verdict::MayHaveRun);
}

TEST_CASE("a reply is whole only with a Content-Length that its body matches")
{
    const auto script = GENERATE(as<std::pair<std::string, std::string>> {},
        std::pair { "chunked reply without its last chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" },
        std::pair { "whole chunked reply",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" },
        std::pair { "chunked reply that also has a length",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n" },
        std::pair { "reply without any length", "HTTP/1.1 200 OK\r\n\r\nabc" },
        std::pair { "reply cut short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" },
        std::pair { "reply cut in its header", "HTTP/1.1 200 OK\r\nContent-Le" },
        std::pair { "negative length", "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc" },
        std::pair { "length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n\r\nabc" },
        std::pair { "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" },
        std::pair { "interim reply only", "HTTP/1.1 100 Continue\r\n\r\n" },
        std::pair { "interim reply before the final one",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" },
        std::pair { "garbage", "not HTTP at all\r\n\r\n" });
    INFO(script.first);
    scripted_peer peer(script.second);
    const auto reply = oriole::exchange(peer.address(), post, 2000ms);
    REQUIRE(reply.has_error());
    CHECK(reply.error().ran == oriole::verdict::MayHaveRun);
    CHECK(peer.connections() == 1);
}

TEST_CASE("a whole reply is taken, whatever its status")
{
    const auto status = GENERATE(200U, 204U, 404U, 500U);
    const std::string body = status == 204 ? "" : "abc";
    scripted_peer peer("HTTP/1.1 " + std::to_string(status) + " Text\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nX-Mark: Yes\r\n\r\n" + body);
    const auto reply = oriole::exchange(peer.address(), post, 2000ms);
    REQUIRE(reply.has_value());
    CHECK(reply.value().status == status);
    CHECK(reply.value().body == body);
    CHECK(reply.value().headers.at("x-mark") == "Yes");
}

TEST_CASE("a peer that never answers ends in a timeout that may have run")
{
    const auto reply = GENERATE(as<std::string> {}, "", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    INFO("sent before the silence: " << reply);
    constexpr auto held = 5000ms;
    const auto begin = std::chrono::steady_clock::now();
    std::chrono::steady_clock::duration taken {};
    {
        scripted_peer peer(reply, held);
        const auto answer = oriole::exchange(peer.address(), post, 300ms);
        taken = std::chrono::steady_clock::now() - begin;
        REQUIRE(answer.has_error());
        CHECK(answer.error().ran == oriole::verdict::MayHaveRun);
        INFO(answer.error().reason);
        CHECK(answer.error().kind == oriole::failure_kind::Timeout);
    }
    // Returned because of the timeout, not because the peer closed.
    CHECK(taken < held);
}

TEST_CASE("the timeout covers the whole exchange, also when the reply trickles in")
{
    raw::listener peer([](const raw::socket_stream& stream) {
        constexpr auto pace = 100ms;
        stream.readUntilText("reprint");
        bool open = stream.send("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n");
        for (int sent = 0; open && sent < 40; ++sent) {
            std::this_thread::sleep_for(pace);
            open = stream.send("x");
        }
    });
    const auto reply = oriole::exchange(peer.address(), post, 300ms);
    REQUIRE(reply.has_error());
    CHECK(reply.error().ran == oriole::verdict::MayHaveRun);
    CHECK(reply.error().kind == oriole::failure_kind::Timeout);
}

TEST_CASE("a refused connection is told from a broken one by the text that the library uses")
{
    const auto reply = oriole::exchange(raw::freeAddress(), post, 2000ms);
    REQUIRE(reply.has_error());
    CHECK(reply.error().ran == oriole::verdict::NotRun);
    CHECK(reply.error().kind == oriole::failure_kind::Unavailable);
}

TEST_CASE("an address must be an IP number and a port")
{
    CHECK(oriole::parseEndpoint("127.0.0.1:80").value() == oriole::endpoint { "127.0.0.1", 80 });
    CHECK(oriole::parseEndpoint("http://10.1.2.3:8080").value() == oriole::endpoint { "10.1.2.3", 8080 });
    const auto wrong = GENERATE(as<std::string> {}, "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0x50",
        "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "localhost:80", "127.0.0.256:80", "127.0.1:80",
        "http://127.0.0.1:80/path", "1.2.3.4:80:90");
    INFO(wrong);
    const auto parsed = oriole::parseEndpoint(wrong);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().kind == oriole::failure_kind::InvalidInput);
}
