#include "harness/raw_server.hpp"

#include "harness/process.hpp"

#include <cstdlib>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oriole::harness {

namespace {

constexpr int pollMs = 50;
constexpr std::size_t readBytes = 64 << 10;
constexpr int backlog = 128;

std::size_t bodyLength(const std::string& head)
{
    constexpr std::string_view name = "Content-Length:";
    const auto at = head.find(name);
    return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
}

/// @brief Takes one whole message out of what was received; what is left stays in @p unread.
std::string readMessage(int connection, std::string& unread)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    std::string part(readBytes, '\0');
    while (true) {
        if (const auto end = unread.find(headEnd); end != std::string::npos) {
            const auto size = end + headEnd.size() + bodyLength(unread.substr(0, end));
            if (unread.size() >= size) {
                auto message = unread.substr(0, size);
                unread.erase(0, size);
                return message;
            }
        }
        const auto count = ::recv(connection, part.data(), part.size(), 0);
        if (count <= 0)
            return std::exchange(unread, {});
        unread.append(part, 0, static_cast<std::size_t>(count));
    }
}

sockaddr_in socketAddress(const endpoint& source)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(source.port);
    ::inet_pton(AF_INET, source.ip.c_str(), &address.sin_addr);
    return address;
}

} // namespace

raw_server::raw_server(const endpoint& listen, std::function<answer(const std::string&)> respond)
    : m_respond(std::move(respond))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = socketAddress(listen);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(m_listener, backlog) != 0)
        throw std::system_error(errno, std::generic_category(), "raw server at " + toString(listen));
    m_thread = std::thread([this] { run(); });
}

raw_server::~raw_server()
{
    m_stopping = true;
    m_thread.join();
    ::close(m_listener);
    for (const int connection : m_open)
        ::close(connection);
}

void raw_server::run()
{
    while (!m_stopping) {
        pollfd polled { m_listener, POLLIN, 0 };
        if (::poll(&polled, 1, pollMs) <= 0)
            continue;
        const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        const timeval limit { 1, 0 };
        ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        std::string unread;
        const auto reply = m_respond(readMessage(connection, unread));
        ::send(connection, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
        if (reply.keepOpen)
            m_open.push_back(connection);
        else
            ::close(connection);
    }
}

raw_caller::raw_caller(const endpoint& peer)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const timeval limit { std::chrono::duration_cast<std::chrono::seconds>(generousBound).count(), 0 };
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const auto address = socketAddress(peer);
    m_connected = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

raw_caller::~raw_caller()
{
    ::close(m_socket);
}

void raw_caller::send(const std::string& bytes) const
{
    ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string raw_caller::receive()
{
    return readMessage(m_socket, m_unread);
}

} // namespace oriole::harness
