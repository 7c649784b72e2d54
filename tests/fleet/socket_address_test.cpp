#include <fleet/model/socket_address.hpp>

#include <catch2/catch.hpp>

using namespace fleet;

TEST_CASE("only an IPv4 address and a port in range are an address", "[odd-record]")
{
    CHECK(isSocketAddress("10.1.0.19:7000"));
    CHECK(isSocketAddress("127.0.0.1:65535"));
    for (const std::string bad : { "", ":", "10.1.0.19", "10.1.0.19:", "10.1.0.19:0", "10.1.0.19:65536", "10.1.0.19:-1", "10.1.0.19:80x",
             "10.1.0.256:80", "desk.example:80", "unix:/run/agent", "*:80", "[::1]:80", " 10.1.0.19:80" })
        CHECK_FALSE(isSocketAddress(bad));
    CHECK_FALSE(isSocketAddress(std::string("10.1.0.19\0:80", 13)));
    CHECK_FALSE(isSocketAddress(std::string("10.1.0.19:80\0", 13)));
    CHECK_FALSE(isSocketAddress(std::string(1 << 20, '[')));
}
