// Plain HTTP/1.1 over blocking sockets, for the stand-ins of the second review. One thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

inline std::chrono::steady_clock::time_point processStart()
{
    static const auto start = std::chrono::steady_clock::now();
    return start;
}

/// Seconds since the case began.
inline double seconds() { return std::chrono::duration<double>(std::chrono::steady_clock::now() - processStart()).count(); }

inline void sleepSeconds(double duration)
{
    if (duration > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(duration));
}

struct http_call {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

struct http_reply {
    int status = 200;
    std::string body = "{}";
    bool answered = true; // False: the connection returns nothing further.
};

inline int listenOn(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 128) != 0) {
        close(fd);
        throw std::runtime_error("can not listen on " + ip + ":" + std::to_string(port));
    }
    return fd;
}

/// Reads one message (request or response). Returns false when the peer closed or the time ran out.
class message_reader {
public:
    explicit message_reader(int fd)
        : m_fd(fd)
    {
    }

    bool read(std::string& firstLine, std::map<std::string, std::string>& headers, std::string& body, double timeout = 1e9)
    {
        const double until = seconds() + timeout;
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        const std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        headers.clear();
        std::size_t line = head.find("\r\n");
        firstLine = head.substr(0, line);
        while (line != std::string::npos) {
            const auto next = head.find("\r\n", line + 2);
            const auto text = head.substr(line + 2, next == std::string::npos ? std::string::npos : next - line - 2);
            if (const auto colon = text.find(':'); colon != std::string::npos) {
                std::string name = text.substr(0, colon);
                for (auto& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                auto value = text.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                headers[name] = value;
            }
            line = next;
        }
        const auto length = headers.find("content-length");
        const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
        while (m_buffer.size() < size) {
            if (!fill(until))
                return false;
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    bool fill(double until)
    {
        pollfd waiting { m_fd, POLLIN, 0 };
        const double left = until - seconds();
        if (left <= 0 || ::poll(&waiting, 1, left > 1000 ? 1'000'000 : static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char piece[16384];
        const auto count = recv(m_fd, piece, sizeof(piece), 0);
        if (count <= 0)
            return false;
        m_buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

inline bool sendAll(int fd, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto count = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

/// Serves HTTP on one address until the process ends.
inline void serveHttp(const std::string& ip, int port, std::function<http_reply(const http_call&)> handle)
{
    const int listener = listenOn(ip, port);
    std::thread([listener, handle = std::move(handle)] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([fd, handle] {
                message_reader reader(fd);
                std::string first;
                http_call request;
                while (reader.read(first, request.headers, request.body)) {
                    const auto space = first.find(' ');
                    request.method = first.substr(0, space);
                    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
                    const auto answer = handle(request);
                    if (!answer.answered) {
                        char rest[4096];
                        while (recv(fd, rest, sizeof(rest), 0) > 0) { }
                        break;
                    }
                    const auto text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
                    if (!sendAll(fd, text))
                        break;
                }
                close(fd);
            }).detach();
        }
    }).detach();
}

struct call_answer {
    int status = 0; // 0: no answer.
    std::string body;
};

/// One call on a connection of its own. Status 0: no complete answer within the time.
inline call_answer call(const std::string& ip, int port, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, double timeout)
{
    const double until = seconds() + timeout;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    call_answer answer;
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        if (!headers.contains("Host"))
            text += "Host: " + ip + ":" + std::to_string(port) + "\r\n";
        for (const auto& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!body.empty() || method == "POST" || method == "PUT")
            text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n" + body;
        message_reader reader(fd);
        std::string first;
        std::map<std::string, std::string> answered;
        if (sendAll(fd, text) && reader.read(first, answered, answer.body, until - seconds()))
            answer.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    }
    close(fd);
    return answer;
}

} // namespace review
