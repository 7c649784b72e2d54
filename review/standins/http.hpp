// Minimal HTTP/1.1 over loopback sockets for the stand-ins of the review: a server with one thread a connection, and a client.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;

struct request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct response {
    int status = 200; // 0: close the connection without an answer
    std::string body = "{}";
};

inline sockaddr_in parseAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1)
        throw std::runtime_error("bad address " + address);
    return out;
}

inline bool sendAll(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads until the header and, by Content-Length, the body are complete. What follows stays in the buffer.
class reader {
public:
    explicit reader(int fd)
        : m_fd(fd)
    {
    }

    bool readMessage(std::string& firstLine, std::map<std::string, std::string>& headers, std::string& body, int timeoutMs)
    {
        const auto until = clock::now() + std::chrono::milliseconds(timeoutMs);
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        const std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        std::size_t begin = head.find("\r\n");
        firstLine = head.substr(0, begin);
        headers.clear();
        while (begin != std::string::npos) {
            begin += 2;
            const auto next = head.find("\r\n", begin);
            const auto line = head.substr(begin, next == std::string::npos ? next : next - begin);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto name = line.substr(0, colon);
                for (auto& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                headers[name] = value;
            }
            begin = next;
        }
        std::size_t length = 0;
        if (const auto found = headers.find("content-length"); found != headers.end())
            length = std::stoul(found->second);
        while (m_buffer.size() < length) {
            if (!fill(until))
                return false;
        }
        body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

private:
    bool fill(clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
        if (left <= 0)
            return false;
        pollfd entry { m_fd, POLLIN, 0 };
        if (::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char chunk[16384];
        const auto n = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        m_buffer.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

class http_server {
public:
    using handler = std::function<response(const request&)>;

    http_server(const std::string& address, handler handle)
        : m_handle(std::move(handle))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = parseAddress(address);
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(m_fd, 1024) != 0)
            throw std::runtime_error("can't listen on " + address);
        std::thread([this] { accept(); }).detach();
    }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        reader in(fd);
        std::string line;
        request got;
        while (in.readMessage(line, got.headers, got.body, 60'000)) {
            const auto space = line.find(' ');
            got.method = line.substr(0, space);
            got.target = line.substr(space + 1, line.rfind(' ') - space - 1);
            response answer;
            try {
                answer = m_handle(got);
            } catch (const std::exception& error) {
                answer = { 400, std::string("{\"error\":\"") + error.what() + "\"}" };
            }
            if (answer.status == 0)
                break;
            const auto head = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(answer.body.size()) + "\r\n\r\n";
            if (!sendAll(fd, head + answer.body))
                break;
        }
        ::close(fd);
    }

    handler m_handle;
    int m_fd = -1;
};

// One call on a connection of its own. Status 0: no answer.
inline response call(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = parseAddress(address);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return { 0, "not connected" };
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (method != "GET" && method != "DELETE")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    response out { 0, "no answer" };
    if (sendAll(fd, text + body)) {
        reader in(fd);
        std::string line;
        std::map<std::string, std::string> got;
        std::string content;
        if (in.readMessage(line, got, content, timeoutMs))
            out = { std::stoi(line.substr(line.find(' ') + 1)), content };
    }
    ::close(fd);
    return out;
}

} // namespace review
