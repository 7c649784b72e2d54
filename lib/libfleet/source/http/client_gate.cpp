#include <fleet/http/client_gate.hpp>

#include <oriole/helpers/log.hpp>

#include <utility>

namespace fleet {

namespace {

// One line a second at most, however many clients are affected.
constexpr oriole::milliseconds logInterval { 1000 };
constexpr process_limits spaciousLimits { 2048, 20'000 };

} // namespace

client_slot::client_slot(std::shared_ptr<client_gate> gate, client_budget::connection_id id)
    : m_gate(std::move(gate))
    , m_id(id)
{
}

client_slot::~client_slot()
{
    m_gate->m_budget.close(m_id);
    m_gate->m_closers.erase(m_id);
    m_gate->updateGauges();
}

void client_slot::setActivity(client_activity activity)
{
    m_gate->m_budget.setActivity(m_id, activity, m_gate->m_loop.timers().now());
}

bool client_slot::hold(std::size_t bytes)
{
    const auto outcome = m_gate->m_budget.hold(m_id, bytes);
    m_gate->giveUp(outcome);
    return outcome.granted;
}

void client_slot::holdAnswer(std::size_t bytes)
{
    m_gate->giveUp(m_gate->m_budget.holdAnswer(m_id, bytes));
}

void client_slot::release(std::size_t bytes)
{
    m_gate->m_budget.release(m_id, bytes);
}

void client_slot::note(const std::string& reason)
{
    m_gate->note(reason);
}

void client_slot::closeConnection(const std::string& reason)
{
    m_gate->note(reason);
    m_gate->closeConnection(m_id);
}

kj::Promise<void> client_slot::closeAfter(oriole::milliseconds limit, std::string reason)
{
    return m_gate->m_loop.after(limit).then([this, reason = std::move(reason)] { closeConnection(reason); }).eagerlyEvaluate(nullptr);
}

std::shared_ptr<client_gate> client_gate::create(oriole::event_loop& loop, client_capacity capacity, oriole::metrics_registry* metrics)
{
    return std::make_shared<client_gate>(loop, capacity, metrics);
}

std::shared_ptr<client_gate> client_gate::createSpacious(oriole::event_loop& loop)
{
    return create(loop, deriveClientCapacity(spaciousLimits), nullptr);
}

client_gate::client_gate(oriole::event_loop& loop, client_capacity capacity, oriole::metrics_registry* metrics)
    : m_loop(loop)
    , m_budget(capacity)
    , m_metrics(metrics)
{
    if (m_metrics == nullptr)
        return;
    m_metrics->describe("oriole_client_connections", "Open connections of clients");
    m_metrics->describe("oriole_client_held_bytes", "Bytes held for unfinished requests and answers of clients");
    m_metrics->describe("oriole_clients_limited_total", "Clients refused or closed at a limit, by reason");
}

client_gate::admission client_gate::admit(client_protocol protocol)
{
    const auto opened = m_budget.open(protocol, m_loop.timers().now());
    giveUp(opened.outcome);
    if (!opened.outcome.granted) {
        note("no connection left");
        return { nullptr, kj::READY_NOW };
    }
    auto closed = kj::newPromiseAndFulfiller<void>();
    m_closers.emplace(opened.id, kj::mv(closed.fulfiller));
    updateGauges();
    return { std::make_shared<client_slot>(shared_from_this(), opened.id), kj::mv(closed.promise) };
}

void client_gate::giveUp(const client_budget::decision& outcome)
{
    for (const auto id : outcome.givenUp) {
        note("made room for others");
        closeConnection(id);
    }
}

void client_gate::closeConnection(client_budget::connection_id id)
{
    if (const auto closer = m_closers.find(id); closer != m_closers.end())
        closer->second->fulfill();
}

void client_gate::note(const std::string& reason)
{
    ++m_counts[reason];
    if (m_metrics != nullptr)
        m_metrics->counter("oriole_clients_limited_total", { { "reason", reason } }).add();
    if (std::exchange(m_logPending, true))
        return;
    m_loop.timers().subscribeOnce(logInterval, [gate = weak_from_this()](oriole::time_point) {
        if (const auto open = gate.lock())
            open->logCounts();
    });
}

void client_gate::logCounts()
{
    m_logPending = false;
    oriole::logEvent(oriole::log_level::Warning, "clients_limited",
        { { "counts", std::exchange(m_counts, {}) }, { "connections", m_budget.connections() }, { "held_bytes", m_budget.heldBytes() } });
}

void client_gate::updateGauges()
{
    if (m_metrics == nullptr)
        return;
    m_metrics->gauge("oriole_client_connections").set(static_cast<double>(m_budget.connections()));
    m_metrics->gauge("oriole_client_held_bytes").set(static_cast<double>(m_budget.heldBytes()));
}

} // namespace fleet
