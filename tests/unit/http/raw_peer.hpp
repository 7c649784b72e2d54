/// @file
/// @brief Raw sockets for tests: peers that say exactly the bytes they are told to say.
#pragma once

#include <oriole/http/http_client.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace raw {

inline constexpr std::chrono::milliseconds patience { 10000 };

inline sockaddr_in toAddress(const oriole::endpoint& peer)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.ip.c_str(), &address.sin_addr);
    return address;
}

/// @brief A connected socket.
class socket_stream {
public:
    explicit socket_stream(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// @brief Connects to @p peer.
    explicit socket_stream(const oriole::endpoint& peer)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto address = toAddress(peer);
        if (connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("no connection to " + oriole::toString(peer));
    }

    socket_stream(socket_stream&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }

    ~socket_stream() { close(); }
    socket_stream(const socket_stream&) = delete;
    socket_stream& operator=(const socket_stream&) = delete;

    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }

    [[nodiscard]] int descriptor() const { return m_descriptor; }

    /// @brief Sends all bytes.
    /// @return False when the far side has closed.
    bool send(const std::string& text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// @brief Reads until @p enough holds for all that was read, the far side closes, or patience ends.
    std::string readUntil(const std::function<bool(const std::string&)>& enough) const
    {
        std::string text;
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!enough(text) && std::chrono::steady_clock::now() < end) {
            pollfd waiting { m_descriptor, POLLIN, 0 };
            if (poll(&waiting, 1, 50) <= 0)
                continue;
            char buffer[4096];
            const auto count = recv(m_descriptor, buffer, sizeof(buffer), 0);
            if (count <= 0)
                break;
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    std::string readUntilText(const std::string& wanted) const
    {
        return readUntil([&](const std::string& text) { return text.find(wanted) != std::string::npos; });
    }

    /// @brief Reads until the far side closes.
    std::string readAll() const
    {
        return readUntil([](const std::string&) { return false; });
    }

private:
    int m_descriptor;
};

/// @brief A listening socket on a free port that hands each connection to a function on a thread of its own.
class listener {
public:
    using handler = std::function<void(socket_stream)>;

    explicit listener(handler handle, const std::string& ip = "127.0.7.3")
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
        , m_handle(std::move(handle))
    {
        auto address = toAddress({ ip, 0 });
        socklen_t size = sizeof(address);
        if (bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(m_descriptor, 64) != 0)
            throw std::runtime_error("cannot listen on " + ip);
        getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = { ip, ntohs(address.sin_port) };
        m_thread = std::thread([this] { run(); });
    }

    ~listener()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_descriptor);
    }

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] const oriole::endpoint& address() const { return m_address; }

    /// @brief Lets new connections be refused while those taken stay open.
    void stopListening()
    {
        m_stopping = true;
        shutdown(m_descriptor, SHUT_RDWR);
    }

    /// @brief Connections taken so far.
    [[nodiscard]] unsigned connections() const { return m_connections; }

private:
    void run()
    {
        while (!m_stopping) {
            pollfd waiting { m_descriptor, POLLIN, 0 };
            if (poll(&waiting, 1, 10) <= 0)
                continue;
            ++m_connections;
            m_handle(socket_stream(accept(m_descriptor, nullptr, nullptr)));
        }
    }

    int m_descriptor;
    handler m_handle;
    oriole::endpoint m_address;
    std::atomic<bool> m_stopping { false };
    std::atomic<unsigned> m_connections { 0 };
    std::thread m_thread;
};

/// @brief Returns an address that nothing listens on.
inline oriole::endpoint freeAddress(const std::string& ip = "127.0.7.4")
{
    const listener probe([](const socket_stream&) {}, ip);
    return probe.address();
}

inline unsigned count(const std::string& text, const std::string& wanted)
{
    unsigned found = 0;
    for (auto at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + wanted.size()))
        ++found;
    return found;
}

} // namespace raw
