/// @file
/// @brief Simulation of several agents in one process, with simulated time.
#pragma once

#include "mocks.hpp"

#include <catch2/catch.hpp>

namespace oriole::mocks {

using namespace std::chrono_literals;

/// @brief The agent's parts, without its process.
struct agent {
    static constexpr resources capacity { 0xff, 128, 512 };

    agent(std::string worker, timer_service& timers, event_queue& events, network& peerNetwork)
        : name(std::move(worker))
        , view("fd1")
        , runtime(events, timers)
        , gateway(peerNetwork, name)
        , net(peerNetwork)
        , tasks(std::make_unique<task_manager>(name, capacity, timers, runtime, gateway, view))
    {
        view.onChange([this] { tasks->viewChanged(); });
        net.agents[name] = tasks.get();
        tasks->recover();
    }

    void restart(timer_service& timers)
    {
        net.agents[name] = nullptr;
        tasks = std::make_unique<task_manager>(name, capacity, timers, runtime, gateway, view);
        net.agents[name] = tasks.get();
        tasks->recover();
    }

    std::string name;
    agent_view view;
    oriole::mocks::runtime runtime;
    network::gateway gateway;
    network& net;
    std::unique_ptr<task_manager> tasks;
};

/// @brief Several agents on a simulated network, with simulated time.
class fleet {
public:
    explicit fleet(unsigned size)
        : m_net(m_events)
    {
        for (unsigned i = 0; i < size; ++i)
            agents.push_back(std::make_unique<agent>("w" + std::to_string(i), timers, m_events, m_net));
        refreshViews();
        advanceTime(20ms);
    }

    void refreshViews()
    {
        for (const auto& item : agents)
            item->view.apply(view, timers.now());
    }

    /// @brief Advances the time in steps of 10 ms. Refreshes the control views unless @c viewFresh is false, and expires
    /// leases at the runtimes.
    void advanceTime(milliseconds duration)
    {
        constexpr auto step = 10ms;
        for (auto passed = 0ms; passed < duration; passed += step) {
            if (viewFresh)
                refreshViews();
            timers.advance(timers.now() + step);
            m_events.runPending();
            m_events.runPending();
            for (const auto& item : agents)
                item->runtime.expireLeases();
        }
    }

    attempt makeAttempt(const std::string& job, unsigned workers, accelerator_set accelerators = 0xff) const
    {
        attempt made;
        made.id = { "org", job, 1 };
        made.epoch = 1;
        made.declaredRun = 1000ms;
        for (unsigned i = 0; i < workers; ++i)
            made.allocations.push_back({ agents[i]->name, agents[i]->name, accelerators, 1, 10 });
        return made;
    }

    reservation_answer reserve(unsigned at, const attempt& requested, bool evict = false, milliseconds wait = 2000ms)
    {
        std::optional<reservation_answer> answer;
        agents[at]->tasks->reserve(requested, 5000ms, evict, [&](const auto& given) { answer = given; });
        for (auto passed = 0ms; !answer && passed < wait; passed += 10ms)
            advanceTime(10ms);
        REQUIRE(answer.has_value());
        return *answer;
    }

    void start(const attempt& requested)
    {
        for (unsigned i = 0; i < requested.allocations.size(); ++i)
            REQUIRE(reserve(i, requested).state == reservation_state::Accepted);
        for (unsigned i = 0; i < requested.allocations.size(); ++i)
            REQUIRE(agents[i]->tasks->commit(requested.id, requested.epoch).accepted);
    }

    task_report report(unsigned at, const attempt_id& id) const
    {
        for (const auto& item : agents[at]->tasks->reports()) {
            if (item.attempt.id == id)
                return item;
        }
        FAIL("no report of " << toString(id));
        return {};
    }

    std::vector<task_report> release(unsigned at, const attempt_id& id)
    {
        std::optional<std::vector<task_report>> reports;
        agents[at]->tasks->release({ id }, 1, "withdrawn", [&](const auto& given) { reports = given; });
        for (auto passed = 0ms; !reports && passed < 3000ms; passed += 10ms)
            advanceTime(10ms);
        REQUIRE(reports.has_value());
        return *reports;
    }

    void isolate(unsigned at) { m_net.isolated.insert(agents[at]->name); }
    void reconnectAll() { m_net.isolated.clear(); }

    timer_service timers { time_point {} + 1h };
    bool viewFresh = true;
    rpc::control_view view { 1, true, false, {}, { 1, {} }, std::make_shared<const configuration_head>() };
    std::vector<std::unique_ptr<agent>> agents;

private:
    event_queue m_events;
    network m_net;
};

} // namespace oriole::mocks
