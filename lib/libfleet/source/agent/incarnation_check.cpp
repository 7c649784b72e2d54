#include <fleet/agent/incarnation_check.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// Each has a client with connections of its own; heartbeats of other writers must not add up.
constexpr std::size_t maxCandidates = 4;

} // namespace

struct incarnation_check::candidate {
    worker_heartbeat heartbeat;
    std::shared_ptr<backend_runtime> runtime;
    std::uint64_t probeNumber = 0; ///< Answers to earlier probes are ignored.
    bool failureLogged = false;
};

incarnation_check::incarnation_check(runtime_factory makeRuntime, confirmed_handler confirmed)
    : m_makeRuntime(std::move(makeRuntime))
    , m_confirmed(std::move(confirmed))
{
}

incarnation_check::~incarnation_check()
{
    *m_alive = false;
}

bool incarnation_check::propose(const worker_heartbeat& heartbeat, std::uint64_t fence)
{
    const auto known = std::find_if(m_candidates.begin(), m_candidates.end(),
        [&](const auto& entry) { return isSameRegistration(entry->heartbeat, heartbeat); });
    if (known != m_candidates.end()) {
        const auto entry = *known;
        // The known sequence may be another writer's, so the worker is asked in any case.
        const bool isLate = heartbeat.sequence < entry->heartbeat.sequence;
        if (!isLate)
            entry->heartbeat = heartbeat;
        probe(entry, fence);
        return !isLate;
    }
    auto entry = std::make_shared<candidate>();
    entry->heartbeat = heartbeat;
    try {
        entry->runtime = m_makeRuntime(heartbeat);
    } catch (const std::exception& error) {
        oriole::logEvent(oriole::log_level::Warning, "heartbeat_unusable",
            { { "instance", heartbeat.worker.incarnation.instance }, { "address", heartbeat.address }, { "error", error.what() } });
        return false;
    }
    if (m_candidates.size() >= maxCandidates)
        m_candidates.erase(m_candidates.begin());
    m_candidates.push_back(entry);
    probe(entry, fence);
    return true;
}

void incarnation_check::probeAll(std::uint64_t fence)
{
    // A probe may be answered at once, which changes the list.
    const auto entries = m_candidates;
    for (const auto& entry : entries)
        probe(entry, fence);
}

void incarnation_check::withdrawDraining(const std::string& instance)
{
    std::erase_if(m_candidates, [&](const auto& entry) {
        const auto& worker = entry->heartbeat.worker;
        return worker.draining && worker.incarnation.instance == instance;
    });
}

void incarnation_check::probe(const std::shared_ptr<candidate>& entry, std::uint64_t fence)
{
    const auto number = ++entry->probeNumber;
    // Without a lease and without an acknowledgement the poll changes nothing on the worker.
    const poll_request request { fence, 0, std::nullopt, milliseconds(0) };
    entry->runtime->poll(request, [this, entry, number, alive = m_alive](const result<poll_response>& answer) {
        if (*alive && number == entry->probeNumber)
            handleAnswer(entry, answer);
    });
}

void incarnation_check::handleAnswer(const std::shared_ptr<candidate>& entry, const result<poll_response>& answer)
{
    if (std::find(m_candidates.begin(), m_candidates.end(), entry) == m_candidates.end())
        return;
    const auto& named = entry->heartbeat.worker.incarnation;
    // A worker that does not tell its start time is known by its instance id alone.
    const bool confirmed = answer
        && (answer.value().life.startedUnixMs == 0 || answer.value().life.startedUnixMs == named.startedUnixMs);
    if (!confirmed) {
        if (!std::exchange(entry->failureLogged, true)) {
            oriole::logEvent(oriole::log_level::Info, "incarnation_not_confirmed",
                { { "instance", named.instance }, { "born_unix_ms", named.startedUnixMs }, { "address", entry->heartbeat.address },
                    { "service", entry->heartbeat.worker.service },
                    { "reason", answer ? std::string("another start time") : answer.error().reason } });
        }
        return;
    }
    std::erase(m_candidates, entry);
    m_confirmed(entry->heartbeat, entry->runtime, answer.value());
}

} // namespace fleet
