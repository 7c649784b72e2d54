#include <fleet/http/client_budget.hpp>

#include <algorithm>
#include <tuple>

namespace fleet {

namespace {

constexpr std::uint64_t bytesPerMb = 1U << 20U;
// The smallest machines of the deployments.
constexpr std::uint64_t defaultMemoryMb = 128;
constexpr std::uint64_t defaultDescriptors = 4096;

// The tables of a scheduler with 2,000 workers take up to 128 MB of 260, and other processes less than half of theirs.
constexpr std::uint64_t clientShareOfMemory = 4;
// A quarter of the clients' memory is for the state of connections, the rest for what they send and receive.
constexpr std::uint64_t connectionShareOfClientMemory = 4;
// Measured: 12 KB for an idle HTTP connection, 14 KB for an RPC connection.
constexpr std::uint64_t bytesPerConnection = 16U << 10U;
// A worker's heartbeat of 4 MiB, held threefold while it is decoded, and its headers.
constexpr std::uint64_t leastContentBytes = 13U << 20U;
constexpr std::uint64_t leastConnections = 16;

// Log, timers, settings and other files.
constexpr std::uint64_t descriptorsForFiles = 200;
// The other half is for connections to the store, peers and agents (one to each of 2,000 agents at most).
constexpr std::uint64_t clientShareOfDescriptors = 2;
// Between the processes of the system one connection to each other is enough.
constexpr std::uint64_t rpcShareOfConnections = 4;

std::uint64_t connectionsByDescriptors(std::uint64_t descriptors)
{
    return descriptors > descriptorsForFiles ? (descriptors - descriptorsForFiles) / clientShareOfDescriptors : 0;
}

} // namespace

client_capacity deriveClientCapacity(const process_limits& limits)
{
    const auto memory = (limits.memoryMb == 0 ? defaultMemoryMb : limits.memoryMb) * bytesPerMb;
    const auto forClients = memory / clientShareOfMemory;
    const auto forConnections = forClients / connectionShareOfClientMemory;
    const auto byDescriptors = connectionsByDescriptors(limits.descriptors == 0 ? defaultDescriptors : limits.descriptors);
    const auto connections = std::max(leastConnections, std::min(forConnections / bytesPerConnection, byDescriptors));
    const auto rpc = connections / rpcShareOfConnections;
    return { connections - rpc, rpc, std::max(leastContentBytes, forClients - forConnections) };
}

client_budget::client_budget(client_capacity capacity)
    : m_capacity(capacity)
{
}

std::size_t client_budget::limitOf(client_protocol protocol) const
{
    return protocol == client_protocol::Http ? m_capacity.httpConnections : m_capacity.rpcConnections;
}

/// @brief The connection that meets @p condition and is the first in order of activity, and in it the oldest.
template <typename Condition>
client_budget::table::iterator client_budget::firstToGiveUp(Condition condition)
{
    auto first = m_connections.end();
    for (auto each = m_connections.begin(); each != m_connections.end(); ++each) {
        const auto& candidate = each->second;
        if (candidate.givenUp || candidate.activity == client_activity::Handled || !condition(*each))
            continue;
        if (first == m_connections.end()
            || std::tie(candidate.activity, candidate.since) < std::tie(first->second.activity, first->second.since))
            first = each;
    }
    return first;
}

void client_budget::dropBytes(connection& which)
{
    m_heldBytes -= which.bytes;
    which.bytes = 0;
}

client_budget::opening client_budget::open(client_protocol protocol, time_point now)
{
    decision outcome;
    if (m_counts[protocol] >= limitOf(protocol)) {
        const auto leaving = firstToGiveUp([protocol](const auto& each) { return each.second.protocol == protocol; });
        if (leaving == m_connections.end())
            return { 0, outcome };
        outcome.givenUp.push_back(leaving->first);
        leaving->second.givenUp = true;
        dropBytes(leaving->second);
        --m_counts[protocol];
    }
    outcome.granted = true;
    ++m_counts[protocol];
    m_connections.emplace(++m_lastId, connection { protocol, client_activity::Unserved, now, 0, false });
    return { m_lastId, std::move(outcome) };
}

void client_budget::close(connection_id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    dropBytes(found->second);
    if (!found->second.givenUp)
        --m_counts[found->second.protocol];
    m_connections.erase(found);
}

void client_budget::setActivity(connection_id id, client_activity activity, time_point now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.activity == activity)
        return;
    found->second.activity = activity;
    found->second.since = now;
}

client_budget::decision client_budget::hold(connection_id id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.givenUp)
        return {};
    decision outcome;
    while (m_heldBytes + bytes > m_capacity.contentBytes) {
        const auto leaving = firstToGiveUp([id](const auto& each) { return each.second.bytes > 0 || each.first == id; });
        if (leaving == m_connections.end() || leaving == found)
            return outcome;
        outcome.givenUp.push_back(leaving->first);
        leaving->second.givenUp = true;
        --m_counts[leaving->second.protocol];
        dropBytes(leaving->second);
    }
    outcome.granted = true;
    found->second.bytes += bytes;
    m_heldBytes += bytes;
    return outcome;
}

client_budget::decision client_budget::holdAnswer(connection_id id, std::size_t bytes)
{
    auto outcome = hold(id, bytes);
    const auto found = m_connections.find(id);
    if (outcome.granted || found == m_connections.end() || found->second.givenUp)
        return outcome;
    outcome.granted = true;
    found->second.bytes += bytes;
    m_heldBytes += bytes;
    return outcome;
}

void client_budget::release(connection_id id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    const auto released = std::min(bytes, found->second.bytes);
    found->second.bytes -= released;
    m_heldBytes -= released;
}

} // namespace fleet
