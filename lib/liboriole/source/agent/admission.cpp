#include <oriole/agent/admission.hpp>

#include <algorithm>

namespace oriole {

admission::admission(unsigned slots, unsigned connections)
    : m_slots(slots)
    , m_connections(connections)
{
}

admission::decision admission::offer(ticket request, time_point deadline)
{
    if (m_running < m_slots && m_waiting.empty()) {
        ++m_running;
        return decision::Run;
    }
    if (m_running + m_waiting.size() >= m_connections)
        return decision::Refuse;
    m_waiting.push_back({ request, deadline });
    return decision::Wait;
}

void admission::releaseSlot()
{
    if (m_running > 0)
        --m_running;
}

std::optional<admission::ticket> admission::startNext(time_point now)
{
    if (m_running >= m_slots)
        return std::nullopt;
    const auto found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [now](const waiting_request& item) { return item.deadline > now; });
    if (found == m_waiting.end())
        return std::nullopt;

    const auto request = found->request;
    m_waiting.erase(found);
    ++m_running;
    return request;
}

std::vector<admission::ticket> admission::removeExpired(time_point now)
{
    std::vector<ticket> expired;
    for (const auto& item : m_waiting) {
        if (item.deadline <= now)
            expired.push_back(item.request);
    }
    std::erase_if(m_waiting, [now](const waiting_request& item) { return item.deadline <= now; });
    return expired;
}

} // namespace oriole
