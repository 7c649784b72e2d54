/// @file
/// @brief Excludes calls to a worker that were sent to an earlier incarnation of it.
///
/// Load: a worker that starts again under its instance id takes every call that names the id, however late it is carried out,
/// and has forgotten the fencing tokens of before.
#pragma once

#include <fleet/agent/attachment_id.hpp>

#include <cstdint>

namespace fleet {

/// @brief Chooses the fencing tokens of an agent's calls.
///
/// A token covers the scheduler's epoch, its connection to the agent and the incarnations that the agent has seen on that connection, so
/// it exceeds all tokens that this agent, and an earlier process of it, has sent before. Once an incarnation has answered a call
/// with a raised token, it carries out no call that was sent before.
class incarnation_fence {
public:
    // With these widths tokens stay exact as JSON numbers (53 bits) while the epoch, a revision of the store, is below 2^32.
    static constexpr unsigned incarnationBits = 5;
    static constexpr unsigned attachmentBits = 16;
    static constexpr std::uint64_t maxIncarnations = (std::uint64_t { 1 } << incarnationBits) - 1;
    static constexpr std::uint64_t maxAttachments = (std::uint64_t { 1 } << attachmentBits) - 1;

    /// @brief Token of the calls that are sent now.
    [[nodiscard]] std::uint64_t token() const;

    /// @brief Raises the token for a later connection of the scheduler, or for a later scheduler.
    void attach(const attachment_id& attachment);

    /// @brief Raises the token for an incarnation that was seen for the first time.
    /// @return False if this connection has no higher token left.
    bool raise();

    /// @brief Whether the present token exceeds all that were sent before the last call of attach or raise. Without a connection it may
    /// not exceed those of an earlier process.
    [[nodiscard]] bool excludesEarlierCalls() const
    {
        return m_attachment.epoch != 0 && m_attachment.number <= maxAttachments && !m_isExhausted;
    }

private:
    attachment_id m_attachment;
    std::uint64_t m_incarnations = 0;
    bool m_isExhausted = false;
};

} // namespace fleet
