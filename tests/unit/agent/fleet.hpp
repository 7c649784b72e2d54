/// @file
/// @brief Several agents without their processes, with time that passes in small steps.
#pragma once

#include "mocks.hpp"

#include <catch2/catch.hpp>

namespace oriole::mocks {

using namespace std::chrono_literals;

/// @brief One agent of a test without its process.
struct agent {
    static constexpr amounts capacity { 0xff, 128, 512 };

    agent(std::string worker, timer_service& timers, mailbox& answers, network& carrier)
        : name(std::move(worker))
        , view("fd1")
        , runtime(answers, timers)
        , gateway(carrier, name)
        , net(carrier)
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

/// @brief Several agents, with time that passes in small steps.
class fleet {
public:
    explicit fleet(unsigned size)
        : m_net(m_answers)
    {
        for (unsigned i = 0; i < size; ++i)
            agents.push_back(std::make_unique<agent>("w" + std::to_string(i), timers, m_answers, m_net));
        hearView();
        pass(20ms);
    }

    void hearView()
    {
        for (const auto& item : agents)
            item->view.apply(view, timers.now());
    }

    /// @brief Lets time pass; the control view stays fresh unless told otherwise. Leases lapse at the runtimes.
    void pass(milliseconds duration)
    {
        constexpr auto step = 10ms;
        for (auto passed = 0ms; passed < duration; passed += step) {
            if (viewFresh)
                hearView();
            timers.advance(timers.now() + step);
            m_answers.deliver();
            m_answers.deliver();
            for (const auto& item : agents)
                item->runtime.expire();
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

    reservation_answer reserve(unsigned at, const attempt& wanted, bool evict = false, milliseconds wait = 2000ms)
    {
        std::optional<reservation_answer> answer;
        agents[at]->tasks->reserve(wanted, 5000ms, evict, [&](const auto& given) { answer = given; });
        for (auto passed = 0ms; !answer && passed < wait; passed += 10ms)
            pass(10ms);
        REQUIRE(answer.has_value());
        return *answer;
    }

    void start(const attempt& wanted)
    {
        for (unsigned i = 0; i < wanted.allocations.size(); ++i)
            REQUIRE(reserve(i, wanted).state == reservation_state::Accepted);
        for (unsigned i = 0; i < wanted.allocations.size(); ++i)
            REQUIRE(agents[i]->tasks->commit(wanted.id, wanted.epoch).accepted);
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
            pass(10ms);
        REQUIRE(reports.has_value());
        return *reports;
    }

    void cut(unsigned at) { m_net.cut.insert(agents[at]->name); }
    void mend() { m_net.cut.clear(); }

    timer_service timers { time_point {} + 1h };
    bool viewFresh = true;
    rpc::control_view view { 1, true, false, {}, { 1, {} }, std::make_shared<const configuration_head>() };
    std::vector<std::unique_ptr<agent>> agents;

private:
    mailbox m_answers;
    network m_net;
};

} // namespace oriole::mocks
