#include <oriole/http/listening_socket.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace oriole {

namespace {

// Listeners are opened at the start of a process, so their descriptors are low.
constexpr int highestDescriptor = 256;

bool listens(int descriptor)
{
    int listening = 0;
    socklen_t size = sizeof(listening);
    return getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0;
}

bool boundTo(int descriptor, const sockaddr_in& wanted)
{
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size) != 0)
        return false;
    return bound.sin_family == AF_INET && bound.sin_port == wanted.sin_port
        && bound.sin_addr.s_addr == wanted.sin_addr.s_addr;
}

} // namespace

bool stopListening(const endpoint& address)
{
    sockaddr_in wanted {};
    wanted.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &wanted.sin_addr) != 1)
        return false;

    for (int descriptor = 0; descriptor <= highestDescriptor; ++descriptor) {
        if (listens(descriptor) && boundTo(descriptor, wanted))
            return shutdown(descriptor, SHUT_RDWR) == 0;
    }
    return false;
}

} // namespace oriole
