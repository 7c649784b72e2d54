#include "harness/fault_proxy.hpp"

#include "harness/process.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <system_error>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oriole::harness {

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::size_t chunkBytes = 64 << 10;
constexpr std::size_t queueLimitBytes = 1 << 20;
constexpr std::chrono::milliseconds idleWait { 1000 };
constexpr int listenBacklog = 512;

struct chunk {
    clock_type::time_point due;
    std::string data;
};

sockaddr_in socketAddress(const endpoint& source)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(source.port);
    ::inet_pton(AF_INET, source.ip.c_str(), &target.sin_addr);
    return target;
}

endpoint endpointOf(const sockaddr_in& source)
{
    std::array<char, INET_ADDRSTRLEN> ip {};
    ::inet_ntop(AF_INET, &source.sin_addr, ip.data(), ip.size());
    return { ip.data(), ntohs(source.sin_port) };
}

int newSocket()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return fd;
}

void closeSocket(int& fd)
{
    if (fd >= 0)
        ::close(fd);
    fd = -1;
}

} // namespace

std::optional<link_fault> parseLinkFault(std::string_view text)
{
    constexpr std::array<std::pair<std::string_view, link_fault>, 6> names { {
        { "none", link_fault::None },
        { "drop", link_fault::Drop },
        { "cut", link_fault::Cut },
        { "freeze", link_fault::Freeze },
        { "half-open", link_fault::HalfOpen },
        { "lose-reply", link_fault::LoseReply },
    } };
    for (const auto& [name, fault] : names)
        if (name == text)
            return fault;
    return std::nullopt;
}

/// @brief One direction of a connection.
struct fault_proxy::pipe {
    link_direction direction = link_direction::ToTarget;
    int* from = nullptr;
    int* to = nullptr;
    const bool* struck = nullptr; ///< By the fault in force.
    std::deque<chunk> queue;
    std::size_t queued = 0;
    clock_type::time_point lastDue;
    bool ended = false; ///< The sender has closed its side.
    bool shut = false; ///< And the receiver has been told.
};

struct fault_proxy::tunnel {
    int client = -1;
    int target = -1;
    endpoint clientAddress;
    bool struck = true;
    bool broken = false;
    pipe toTarget;
    pipe toClient;

    tunnel(int clientSocket, int targetSocket)
        : client(clientSocket)
        , target(targetSocket)
    {
        toTarget.from = &client;
        toTarget.to = &target;
        toTarget.struck = &struck;
        toClient.direction = link_direction::ToClient;
        toClient.from = &target;
        toClient.to = &client;
        toClient.struck = &struck;
    }
    tunnel(const tunnel&) = delete;
    tunnel& operator=(const tunnel&) = delete;
    ~tunnel()
    {
        closeSocket(client);
        closeSocket(target);
    }
};

fault_proxy::fault_proxy(endpoint listen, endpoint target)
    : m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    openListener();
    m_thread = std::thread([this] { run(); });
}

fault_proxy::~fault_proxy()
{
    m_stopping = true;
    wake();
    m_thread.join();
    closeListener();
    closeSocket(m_wake);
}

void fault_proxy::set(const link_state& state)
{
    std::uint64_t version = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = state;
        version = ++m_wantedVersion;
    }
    wake();
    eventually([&] { return m_appliedVersion >= version; });
}

void fault_proxy::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(m_wake, &one, sizeof(one));
}

void fault_proxy::openListener()
{
    if (m_listener >= 0)
        return;
    m_listener = newSocket();
    const auto address = socketAddress(m_listen);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(m_listener, listenBacklog) != 0)
        throw std::system_error(errno, std::generic_category(), "proxy at " + toString(m_listen));
}

void fault_proxy::closeListener()
{
    closeSocket(m_listener);
}

void fault_proxy::run()
{
    while (!m_stopping)
        step();
    m_tunnels.clear();
}

void fault_proxy::applyState()
{
    const std::lock_guard lock(m_mutex);
    if (m_appliedVersion == m_wantedVersion)
        return;
    m_state = m_wanted;
    for (auto& each : m_tunnels)
        each.struck = strikes(each);
    if (m_state.fault == link_fault::Cut)
        m_tunnels.remove_if([](const tunnel& each) { return each.struck; });
    if (m_state.fault == link_fault::Cut && m_state.clients.empty())
        closeListener();
    else
        openListener();
    if (m_state.fault == link_fault::HalfOpen) {
        for (auto& each : m_tunnels)
            if (each.struck)
                closeSocket(each.client);
    } else {
        m_tunnels.remove_if([](const tunnel& each) { return each.client < 0; });
    }
    m_appliedVersion = m_wantedVersion.load();
}

bool fault_proxy::strikes(const tunnel& which) const
{
    const auto& clients = m_state.clients;
    return clients.empty() || std::any_of(clients.begin(), clients.end(), [&](pid_t client) {
        return ownsConnection(client, which.clientAddress, m_listen);
    });
}

bool fault_proxy::frozen(const pipe& which) const
{
    if (m_state.fault != link_fault::Freeze || !*which.struck)
        return false;
    return m_state.direction == link_direction::Both || m_state.direction == which.direction;
}

bool fault_proxy::passes(const pipe& which) const
{
    if (!*which.struck)
        return true;
    if (m_state.fault == link_fault::HalfOpen)
        return false;
    if (m_state.fault != link_fault::Drop)
        return true;
    return m_state.direction != link_direction::Both && m_state.direction != which.direction;
}

void fault_proxy::accept()
{
    while (true) {
        sockaddr_in from {};
        socklen_t size = sizeof(from);
        const int client
            = ::accept4(m_listener, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return;
        const int on = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const int target = newSocket();
        const auto address = socketAddress(m_target);
        ++m_connections;
        if (::connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            && errno != EINPROGRESS) {
            ::close(client);
            ::close(target);
            continue;
        }
        auto& made = m_tunnels.emplace_back(client, target);
        made.clientAddress = endpointOf(from);
        made.struck = strikes(made);
        made.broken = made.struck && m_state.fault == link_fault::Cut;
    }
}

void fault_proxy::receive(pipe& from)
{
    std::string data(chunkBytes, '\0');
    const auto count = ::recv(*from.from, data.data(), data.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count <= 0) {
        from.ended = true;
        return;
    }
    data.resize(static_cast<std::size_t>(count));
    if (!passes(from))
        return;
    (from.direction == link_direction::ToTarget ? m_bytesToTarget : m_bytesToClient) += data.size();
    auto due = clock_type::now() + m_state.delay;
    if (m_state.bytesPerSecond > 0) {
        const std::chrono::duration<double> transfer(
            static_cast<double>(data.size()) / static_cast<double>(m_state.bytesPerSecond));
        due = std::max(due, from.lastDue) + std::chrono::duration_cast<clock_type::duration>(transfer);
    }
    from.lastDue = due;
    from.queued += data.size();
    from.queue.push_back({ due, std::move(data) });
}

void fault_proxy::send(pipe& from)
{
    while (!from.queue.empty() && from.queue.front().due <= clock_type::now()) {
        auto& data = from.queue.front().data;
        const auto count = ::send(*from.to, data.data(), data.size(), MSG_NOSIGNAL);
        if (count < 0)
            return;
        from.queued -= static_cast<std::size_t>(count);
        data.erase(0, static_cast<std::size_t>(count));
        if (!data.empty())
            return;
        from.queue.pop_front();
    }
    if (from.ended && from.queue.empty() && !from.shut) {
        ::shutdown(*from.to, SHUT_WR);
        from.shut = true;
    }
}

void fault_proxy::step()
{
    applyState();
    std::vector<pollfd> polled { { m_wake, POLLIN, 0 }, { m_listener, POLLIN, 0 } };
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(idleWait);
    const auto interest = [&](const pipe& from, const pipe& back) {
        short events = 0;
        if (!from.ended && !frozen(from) && from.queued < queueLimitBytes)
            events |= POLLIN;
        if (!back.queue.empty() && !frozen(back)) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(back.queue.front().due - clock_type::now());
            if (left.count() <= 0)
                events |= POLLOUT;
            else
                wait = std::min(wait, left);
        }
        return pollfd { events == 0 ? -1 : *from.from, events, 0 };
    };
    for (auto& each : m_tunnels) {
        polled.push_back(interest(each.toTarget, each.toClient));
        polled.push_back(interest(each.toClient, each.toTarget));
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(wait.count()));

    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto count = ::read(m_wake, &ignored, sizeof(ignored));
    std::size_t next = 2;
    for (auto& each : m_tunnels) {
        for (auto* from : { &each.toTarget, &each.toClient }) {
            const auto events = polled[next++].revents;
            if ((events & POLLIN) != 0)
                receive(*from);
            else if ((events & (POLLERR | POLLHUP)) != 0)
                each.broken = true;
        }
        const bool replied = !each.toClient.queue.empty() || each.toClient.ended;
        if (m_state.fault == link_fault::LoseReply && each.struck && replied)
            each.broken = true;
        for (auto* from : { &each.toTarget, &each.toClient })
            if (!each.broken && *from->to >= 0 && !frozen(*from))
                send(*from);
    }
    m_tunnels.remove_if([](const tunnel& each) { return each.broken || (each.toTarget.shut && each.toClient.shut); });
    if ((polled[1].revents & POLLIN) != 0 && m_listener >= 0)
        accept();
}

} // namespace oriole::harness
