#include "memory_store.hpp"

#include <algorithm>
#include <iterator>

namespace oriole::standin {

std::map<std::string, stored_value> memory_store::range(
    const std::string& begin, const std::string& end, time_point now)
{
    expire(now);
    if (!end.empty())
        return { m_values.lower_bound(begin), end == std::string(1, '\0') ? m_values.end() : m_values.lower_bound(end) };
    std::map<std::string, stored_value> single;
    if (const auto found = m_values.find(begin); found != m_values.end())
        single.insert(*found);
    return single;
}

std::optional<bool> memory_store::transact(
    const std::vector<key_comparison>& comparisons, const std::vector<key_put>& puts, time_point now)
{
    expire(now);
    const bool holds = std::all_of(comparisons.begin(), comparisons.end(), [this](const key_comparison& expected) {
        const auto found = m_values.find(expected.key);
        return (found == m_values.end() ? 0 : found->second.modRevision) == expected.modRevision;
    });
    if (!holds)
        return false;
    const auto leaseMissing = [this](const key_put& put) { return put.lease != 0 && !m_leases.contains(put.lease); };
    if (std::any_of(puts.begin(), puts.end(), leaseMissing))
        return std::nullopt;

    ++m_revision;
    for (const auto& put : puts) {
        auto& target = m_values[put.key];
        target.value = put.value;
        target.lease = put.lease;
        target.modRevision = m_revision;
        if (target.createRevision == 0)
            target.createRevision = m_revision;
        ++target.version;
    }
    return true;
}

std::int64_t memory_store::grant(std::chrono::seconds ttl, time_point now)
{
    expire(now);
    const auto lease = ++m_nextLease;
    m_leases[lease] = { ttl, now + ttl };
    return lease;
}

std::chrono::seconds memory_store::renew(std::int64_t lease, time_point now)
{
    expire(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return std::chrono::seconds(0);
    found->second.expires = now + found->second.ttl;
    return found->second.ttl;
}

bool memory_store::revoke(std::int64_t lease, time_point now)
{
    expire(now);
    if (m_leases.erase(lease) == 0)
        return false;
    removeKeysOf(lease);
    return true;
}

void memory_store::expire(time_point now)
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        const auto [lease, state] = *it;
        if (state.expires > now) {
            ++it;
            continue;
        }
        it = m_leases.erase(it);
        removeKeysOf(lease);
    }
}

void memory_store::removeKeysOf(std::int64_t lease)
{
    const auto bound = [lease](const auto& entry) { return entry.second.lease == lease; };
    if (std::erase_if(m_values, bound) > 0)
        ++m_revision;
}

} // namespace oriole::standin
