#include "harness/load.hpp"

namespace oriole::harness {

request_load::request_load(const cluster& system, load_settings settings)
    : m_system(system)
    , m_settings(std::move(settings))
{
    const bool all = m_settings.entries.empty();
    for (std::size_t i = 0; all && i < system.entries.size(); ++i)
        m_settings.entries.push_back(i);
    for (unsigned i = 0; i < m_settings.callers; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

void request_load::run(unsigned caller)
{
    for (unsigned number = 0; !m_stopping; ++number) {
        auto body = m_settings.body;
        const auto key = "caller-" + std::to_string(caller) + "-" + std::to_string(number);
        body["key"] = key;
        const auto entry = m_settings.entries[(caller + number) % m_settings.entries.size()];
        auto reply = m_system.request(entry, number % 2 == 0 ? "alpha" : "beta", body, m_settings.headers);
        ++m_answered;
        m_completed += reply.status == 200 ? 1 : 0;
        {
            const std::lock_guard lock(m_mutex);
            m_told.push_back({ key, std::move(reply) });
        }
        std::this_thread::sleep_for(m_settings.pause);
    }
}

std::vector<told_request> request_load::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_told;
}

verdict_check checkVerdicts(const std::vector<told_request>& told, const std::map<std::string, unsigned>& executions)
{
    verdict_check check;
    for (const auto& [key, reply] : told) {
        const auto found = executions.find(key);
        const auto count = found == executions.end() ? 0 : found->second;
        if (count > 1)
            ++check.doubled;
        if (reply.verdict == "completed") {
            ++check.completed;
            const bool own = reply.body.is_object() && reply.body.value("key", "") == key;
            if (count == 0 || !own)
                ++check.falseCompleted;
        } else if (reply.verdict == "not-run") {
            ++check.notRun;
            if (count > 0)
                ++check.falseNotRun;
        } else {
            ++check.mayHaveRun;
        }
    }
    return check;
}

} // namespace oriole::harness
