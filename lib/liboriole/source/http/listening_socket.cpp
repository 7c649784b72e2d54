#include <oriole/http/listening_socket.hpp>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <filesystem>
#include <functional>

namespace oriole {

namespace {

// Byte of a TCP header that holds its flags, and the two flags that tell a first packet from an answer to one.
constexpr unsigned flagsOffset = 13;
constexpr unsigned synchroniseFlag = 0x02;
constexpr unsigned acknowledgeFlag = 0x10;
constexpr unsigned wholePacket = 0xffff'ffff;

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

// For a listener, Linux tells here how many connections wait to be accepted.
std::size_t waiting(int listener)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_unacked : 0;
}

// The library gives no access to its sockets, so they are found among the descriptors of the process.
void forEachBoundTo(const endpoint& address, const std::function<void(int)>& visit)
{
    sockaddr_in wanted {};
    wanted.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &wanted.sin_addr) != 1)
        return;

    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const auto name = entry.path().filename().string();
        int descriptor = -1;
        std::from_chars(name.data(), name.data() + name.size(), descriptor);
        if (descriptor >= 0 && boundTo(descriptor, wanted))
            visit(descriptor);
    }
}

/// @return True when @p apply succeeded on a listener.
bool onListeners(const endpoint& address, const std::function<bool(int)>& apply)
{
    bool done = false;
    forEachBoundTo(address, [&](int descriptor) {
        if (listens(descriptor))
            done = apply(descriptor) || done;
    });
    return done;
}

bool dropFirstPackets(int listener)
{
    std::array<sock_filter, 5> code { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synchroniseFlag | acknowledgeFlag),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, synchroniseFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, wholePacket),
    } };
    const sock_fprog program { .len = code.size(), .filter = code.data() };
    return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
}

} // namespace

bool acceptWithoutData(const endpoint& address)
{
    return onListeners(address, [](int listener) {
        const int seconds = 0;
        return setsockopt(listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &seconds, sizeof(seconds)) == 0;
    });
}

bool holdNewConnections(const endpoint& address)
{
    return onListeners(address, dropFirstPackets);
}

std::size_t openConnections(const endpoint& address)
{
    std::size_t count = 0;
    forEachBoundTo(address, [&count](int descriptor) { count += listens(descriptor) ? waiting(descriptor) : 1; });
    return count;
}

bool stopListening(const endpoint& address)
{
    return onListeners(address, [](int listener) { return shutdown(listener, SHUT_RDWR) == 0; });
}

} // namespace oriole
