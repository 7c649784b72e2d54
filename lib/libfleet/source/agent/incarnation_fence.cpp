#include <fleet/agent/incarnation_fence.hpp>

#include <algorithm>

namespace fleet {

std::uint64_t incarnation_fence::token() const
{
    const auto connection = (m_attachment.epoch << attachmentBits) | std::min(m_attachment.number, maxAttachments);
    return (connection << incarnationBits) | m_incarnations;
}

void incarnation_fence::attach(const attachment_id& attachment)
{
    if (attachment <= m_attachment)
        return;
    // Beyond the last number the tokens stay as high as they are, so that the worker does not refuse all calls.
    const bool isBeyondLast = attachment.epoch == m_attachment.epoch && attachment.number > maxAttachments;
    m_attachment = attachment;
    if (isBeyondLast)
        return;
    m_incarnations = 0;
    m_isExhausted = false;
}

bool incarnation_fence::raise()
{
    m_isExhausted = m_incarnations == maxIncarnations;
    if (!m_isExhausted)
        ++m_incarnations;
    return !m_isExhausted;
}

} // namespace fleet
