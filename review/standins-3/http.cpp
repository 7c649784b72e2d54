#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using clock = std::chrono::steady_clock;

constexpr int listenBacklog = 128;
constexpr int silencePeriodMs = 200;
constexpr std::size_t pieceBytes = 65'536;

sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool sendAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// @brief Header and body of one message; what follows stays in the buffer.
struct message {
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
};

bool readMore(int socket, std::string& buffer, clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
    pollfd waiting { socket, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min<long long>(left, 1'000'000))) <= 0)
        return false;
    std::string piece(pieceBytes, '\0');
    const auto count = ::recv(socket, piece.data(), piece.size(), 0);
    if (count <= 0)
        return false;
    buffer.append(piece, 0, static_cast<std::size_t>(count));
    return true;
}

bool readMessage(int socket, std::string& buffer, message& out, clock::time_point until)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(socket, buffer, until))
            return false;
    }
    std::size_t line = buffer.find("\r\n");
    out.first = buffer.substr(0, line);
    while (line < end) {
        const auto begin = line + 2;
        line = buffer.find("\r\n", begin);
        const auto text = buffer.substr(begin, line - begin);
        const auto colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = text.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        out.headers[lowerCase(text.substr(0, colon))] = value;
    }
    const auto length = out.headers.contains("content-length") ? std::strtoull(out.headers["content-length"].c_str(), nullptr, 10) : 0;
    const auto whole = end + 4 + length;
    while (buffer.size() < whole) {
        if (!readMore(socket, buffer, until))
            return false;
    }
    out.body = buffer.substr(end + 4, length);
    buffer.erase(0, whole);
    return true;
}

} // namespace

struct http_server::shared_state {
    handler handle;
    std::mutex mutex;
    std::set<int> sockets;
    std::atomic<int> running { 0 };
    std::atomic<bool> ending { false };

    void serve(int socket)
    {
        std::string buffer;
        while (!ending) {
            message in;
            if (!readMessage(socket, buffer, in, clock::now() + std::chrono::hours(1)))
                break;
            http_request request;
            const auto space = in.first.find(' ');
            request.method = in.first.substr(0, space);
            request.target = in.first.substr(space + 1, in.first.rfind(' ') - space - 1);
            request.headers = std::move(in.headers);
            request.body = std::move(in.body);
            const auto answer = handle(request);
            if (answer.silent) {
                holdSilent(socket);
                break;
            }
            const auto text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
            if (!sendAll(socket, text))
                break;
        }
        const std::lock_guard lock(mutex);
        sockets.erase(socket);
        ::close(socket);
        --running;
    }

    /// A connection on which an answer is lost returns nothing further.
    void holdSilent(int socket) const
    {
        std::string ignored(pieceBytes, '\0');
        while (!ending) {
            pollfd waiting { socket, POLLIN, 0 };
            if (::poll(&waiting, 1, silencePeriodMs) > 0 && ::recv(socket, ignored.data(), ignored.size(), 0) <= 0)
                return;
        }
    }
};

http_server::http_server(const std::string& ip, int port, handler handle)
    : m_state(std::make_shared<shared_state>())
{
    m_state->handle = std::move(handle);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = addressOf(ip, port);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_listener, listenBacklog) != 0)
        throw std::runtime_error("can't listen on " + ip + ":" + std::to_string(port));
    m_thread = std::thread([this] { acceptAll(); });
}

http_server::~http_server()
{
    m_state->ending = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_state->mutex);
        for (const int socket : m_state->sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    while (m_state->running > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void http_server::acceptAll()
{
    while (!m_state->ending) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::lock_guard lock(m_state->mutex);
        m_state->sockets.insert(socket);
        ++m_state->running;
        std::thread([state = m_state, socket] { state->serve(socket); }).detach();
    }
}

http_answer exchange(const std::string& ip, int port, const http_request& request, int timeoutMs)
{
    const auto until = clock::now() + std::chrono::milliseconds(timeoutMs);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    http_answer out { 0, {}, false };
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        if (!request.headers.contains("Host"))
            text += "Host: " + ip + "\r\n";
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!request.body.empty())
            text += "Content-Type: application/json\r\n";
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
        std::string buffer;
        message in;
        if (sendAll(socket, text) && readMessage(socket, buffer, in, until)) {
            out.status = std::atoi(in.first.substr(in.first.find(' ') + 1).c_str());
            out.body = in.body;
        }
    }
    ::close(socket);
    return out;
}

} // namespace review
