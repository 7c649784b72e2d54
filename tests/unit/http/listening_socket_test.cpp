#include "raw_peer.hpp"

#include <oriole/http/listening_socket.hpp>

#include <catch2/catch.hpp>

#include <fcntl.h>

using namespace oriole;

TEST_CASE("a listener that holds still has the connections that waited, and takes no new one")
{
    raw::socket_stream listening(socket(AF_INET, SOCK_STREAM, 0));
    auto address = raw::toAddress({ "127.0.7.9", 0 });
    REQUIRE(bind(listening.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(listening.descriptor(), 16) == 0);
    socklen_t size = sizeof(address);
    getsockname(listening.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    const endpoint listener { "127.0.7.9", ntohs(address.sin_port) };

    raw::socket_stream early(listener);
    REQUIRE(holdNewConnections(listener));
    REQUIRE(early.send("whole"));

    raw::socket_stream late(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    REQUIRE(connect(late.descriptor(), reinterpret_cast<const sockaddr*>(&address), size) == -1);
    pollfd lateReady { late.descriptor(), POLLOUT, 0 };
    REQUIRE(poll(&lateReady, 1, 100) == 0);

    REQUIRE(openConnections(listener) == 1);
    const raw::socket_stream accepted(accept(listening.descriptor(), nullptr, nullptr));
    REQUIRE(openConnections(listener) == 1);
    REQUIRE(accepted.readUntilText("whole") == "whole");

    REQUIRE(stopListening(listener));
    REQUIRE_FALSE(stopListening(listener));
    // The system of the late caller asks again and learns that nobody listens.
    REQUIRE(poll(&lateReady, 1, static_cast<int>(raw::patience.count())) == 1);
    REQUIRE((lateReady.revents & POLLERR) != 0);
}
