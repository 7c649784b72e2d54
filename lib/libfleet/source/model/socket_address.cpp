#include <fleet/model/socket_address.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace fleet {

namespace {

constexpr unsigned maxPort = 65'535;

} // namespace

bool isSocketAddress(const std::string& text)
{
    const auto colon = text.find(':');
    in_addr address {};
    // The C function would end at a NUL character.
    if (colon == std::string::npos || text.find('\0') != std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1)
        return false;
    unsigned port = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
    return error == std::errc() && end == last && port > 0 && port <= maxPort;
}

} // namespace fleet
