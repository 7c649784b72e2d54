#include "hostile_traffic.hpp"

#include <cerrno>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hostile {

namespace {

constexpr unsigned maxConnects = 8;
constexpr std::size_t bytesPerTurn = 256U << 10U;
constexpr std::chrono::milliseconds trickleInterval { 50 };
constexpr std::chrono::milliseconds pause { 2 };

} // namespace

hostile_traffic::hostile_traffic(oriole::endpoint target, client_script script)
    : m_target(std::move(target))
    , m_script(std::move(script))
    , m_clients(m_script.clients)
{
}

hostile_traffic::~hostile_traffic()
{
    for (const auto& each : m_clients)
        ::close(each.socket);
}

void hostile_traffic::run(std::chrono::milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
        for (auto& each : m_clients) {
            if (each.socket < 0)
                connect(each);
            send(each);
        }
        std::this_thread::sleep_for(pause);
    }
}

void hostile_traffic::connect(client& which)
{
    if (which.connects == maxConnects)
        return;
    ++which.connects;
    which.sent = 0;
    which.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_target.port);
    ::inet_pton(AF_INET, m_target.ip.c_str(), &address.sin_addr);
    // The socket does not block; a failure shows when it is written to.
    static_cast<void>(::connect(which.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
}

void hostile_traffic::send(client& which)
{
    if (which.socket < 0)
        return;
    const auto now = std::chrono::steady_clock::now();
    const bool inScript = which.sent < m_script.bytes.size();
    if (!inScript && (!m_script.trickles || now < which.nextByte))
        return;
    const auto size = inScript ? std::min(bytesPerTurn, m_script.bytes.size() - which.sent) : 1;
    const auto* data = inScript ? m_script.bytes.data() + which.sent : "x";
    const auto count = ::send(which.socket, data, size, MSG_NOSIGNAL);
    if (count > 0) {
        which.sent += inScript ? static_cast<std::size_t>(count) : 0;
        which.nextByte = now + trickleInterval;
    } else if (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS) {
        ::close(which.socket);
        which.socket = -1;
    }
}

} // namespace hostile
