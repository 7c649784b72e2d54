#include "fault_mode.hpp"

#include <nlohmann/json.hpp>

namespace oriole::standin {

std::optional<fault_kind> parseFaultKind(std::string_view text)
{
    if (text == "up")
        return fault_kind::Up;
    if (text == "down")
        return fault_kind::Down;
    if (text == "slow")
        return fault_kind::Slow;
    if (text == "lose-replies")
        return fault_kind::LoseReplies;
    if (text == "partial")
        return fault_kind::Partial;
    return std::nullopt;
}

result<fault_mode> parseFaultMode(const std::string& body)
{
    try {
        const auto document = nlohmann::json::parse(body);
        const auto kind = parseFaultKind(document.at("mode").get<std::string>());
        if (!kind)
            return notRun(failure_kind::InvalidInput, "mode is none of up, down, slow, lose-replies, partial");
        fault_mode mode;
        mode.kind = *kind;
        mode.delay = std::chrono::milliseconds(document.value("delay_ms", 0));
        mode.probability = document.value("probability", 1.0);
        mode.writesOnly = document.value("writes_only", false);
        mode.seed = document.value("seed", std::uint64_t { 0 });
        return mode;
    } catch (const nlohmann::json::exception& error) {
        return notRun(failure_kind::InvalidInput, error.what());
    }
}

void fault_source::set(const fault_mode& mode)
{
    m_mode = mode;
    m_random.seed(mode.seed);
}

fault_decision fault_source::next(bool write)
{
    fault_decision decision;
    if (m_mode.kind == fault_kind::Up || (m_mode.writesOnly && !write))
        return decision;

    std::uniform_real_distribution<double> share(0, 1);
    const bool struck = share(m_random) < m_mode.probability;
    const bool beforeTheWrite = share(m_random) < 0.5;
    if (m_mode.kind != fault_kind::Down && struck)
        decision.delay = m_mode.delay;
    if (m_mode.kind == fault_kind::Partial) {
        decision.refuse = struck && beforeTheWrite;
        decision.loseReply = struck && !beforeTheWrite;
        return decision;
    }
    decision.refuse = struck && m_mode.kind == fault_kind::Down;
    decision.loseReply = struck && m_mode.kind == fault_kind::LoseReplies;
    return decision;
}

} // namespace oriole::standin
