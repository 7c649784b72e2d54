/// @file
/// @brief Mocks of the agent's interfaces: runtime, peers and backend server, without I/O.
#pragma once

#include <oriole/agent/backend_client.hpp>
#include <oriole/agent/peer_gateway.hpp>
#include <oriole/agent/task_manager.hpp>
#include <oriole/runtime/runtime_client.hpp>

#include <deque>
#include <map>
#include <set>

namespace oriole::mocks {

/// @brief Queues callbacks until the test runs them, in place of an event loop.
class event_queue {
public:
    void post(std::function<void()> event) { m_queue.push_back(std::move(event)); }

    void runPending()
    {
        for (auto left = m_queue.size(); left > 0; --left) {
            const auto next = std::move(m_queue.front());
            m_queue.pop_front();
            next();
        }
    }

private:
    std::deque<std::function<void()>> m_queue;
};

/// @brief A runtime whose tasks run until the test or the agent ends them, or until their lease lapses.
class runtime final : public runtime_client {
public:
    runtime(event_queue& events, const timer_service& timers)
        : m_events(events)
        , m_timers(timers)
    {
    }

    void start(const attempt& attempt, const allocation& localAllocation, std::chrono::milliseconds lease,
        handler<runtime_task> done) override
    {
        const auto id = toString(attempt.id);
        if (down) {
            m_events.post([done] { done(notRun(failure_kind::Unavailable, "down")); });
            return;
        }
        ++starts[id];
        if (!tasks.contains(id)) {
            for (const auto& [other, accelerators] : m_held) {
                if ((accelerators & localAllocation.accelerators) != 0 && tasks.at(other).task.state == runtime_state::Running)
                    ++overlaps;
            }
            m_held[id] = localAllocation.accelerators;
            m_leases[id] = m_timers.now() + lease;
            tasks[id] = { { id, runtime_state::Running, "", 0 }, attempt };
        }
        const bool loseReply = loseStartReplies;
        m_events.post([this, id, done, loseReply] {
            loseReply ? done(mayHaveRun(failure_kind::Broken, "reply lost")) : done(tasks.at(id).task);
        });
    }

    void renew(const std::vector<std::string>& ids, std::chrono::milliseconds lease,
        handler<std::vector<runtime_task>> done) override
    {
        ++renewals;
        for (const auto& id : ids) {
            if (!down)
                m_leases[id] = m_timers.now() + lease;
        }
        std::vector<runtime_task> states;
        states.reserve(ids.size());
        for (const auto& id : ids)
            states.push_back(tasks.contains(id) ? tasks.at(id).task : runtime_task { id, runtime_state::Unknown, "", 0 });
        m_events.post([states, done, unreachable = down] {
            unreachable ? done(notRun(failure_kind::Unavailable, "down")) : done(states);
        });
    }

    void checkpoint(const std::string& id, std::chrono::milliseconds, handler<runtime_task> done) override
    {
        checkpoints.insert(id);
        answerWithTask(id, done);
    }

    void throttle(const std::string& id, unsigned, handler<runtime_task> done) override
    {
        throttled.insert(id);
        answerWithTask(id, done);
    }

    void stop(const std::string& id, handler<runtime_task> done) override
    {
        auto& record = tasks[id];
        record.task.id = id;
        if (record.task.state == runtime_state::Running || record.task.state == runtime_state::Unknown)
            record.task.state = runtime_state::Stopped;
        answerWithTask(id, done);
    }

    void forget(const std::string& id, handler<runtime_task> done) override
    {
        forgotten.insert(id);
        answerWithTask(id, done);
    }

    void list(handler<std::vector<labelled_task>> done) override
    {
        std::vector<labelled_task> all;
        for (const auto& [id, task] : tasks)
            all.push_back(task);
        m_events.post([all, done] { done(all); });
    }

    /// @brief Stops the tasks whose lease has lapsed.
    void expireLeases()
    {
        for (auto& [id, record] : tasks) {
            if (record.task.state == runtime_state::Running && m_leases[id] <= m_timers.now())
                record.task.state = runtime_state::Expired;
        }
    }

    void endTask(const attempt_id& id, runtime_state state) { tasks.at(toString(id)).task.state = state; }
    [[nodiscard]] bool runs(const attempt_id& id) const
    {
        const auto found = tasks.find(toString(id));
        return found != tasks.end() && found->second.task.state == runtime_state::Running;
    }

    bool down = false;
    bool loseStartReplies = false;
    std::map<std::string, labelled_task> tasks;
    std::map<std::string, unsigned> starts;
    std::set<std::string> checkpoints;
    std::set<std::string> throttled;
    std::set<std::string> forgotten;
    unsigned renewals = 0;
    unsigned overlaps = 0; ///< Starts on accelerators that another running task used.

private:
    void answerWithTask(const std::string& id, const handler<runtime_task>& done)
    {
        m_events.post([this, id, done] {
            down ? done(notRun(failure_kind::Unavailable, "down")) : done(tasks[id].task);
        });
    }

    event_queue& m_events;
    const timer_service& m_timers;
    std::map<std::string, time_point> m_leases;
    std::map<std::string, accelerator_set> m_held;
};

/// @brief Delivers gang heartbeats between the agents of a test, addressed by their RPC addresses.
class network {
public:
    explicit network(event_queue& events)
        : m_events(events)
    {
    }

    class gateway final : public peer_gateway {
    public:
        gateway(network& net, std::string self)
            : m_net(net)
            , m_self(std::move(self))
        {
        }

        void heartbeat(const std::string& rpc, const attempt_id& id, const std::string& worker, task_phase phase,
            handler done) override
        {
            m_net.deliverHeartbeat(m_self, rpc, id, worker, phase, done);
        }

    private:
        network& m_net;
        std::string m_self;
    };

    std::map<std::string, task_manager*> agents;
    std::set<std::string> isolated; ///< Addresses without a connection to any other.

private:
    void deliverHeartbeat(const std::string& from, const std::string& to, const attempt_id& id, const std::string& worker,
        task_phase phase, const peer_gateway::handler& done)
    {
        m_events.post([this, from, to, id, worker, phase, done] {
            if (isolated.contains(from) || isolated.contains(to) || agents[to] == nullptr) {
                done(notRun(failure_kind::Unavailable, "isolated"));
                return;
            }
            agents[to]->gangHeartbeat(id, worker, phase, [this, from, to, done](const result<gang_answer>& answer) {
                m_events.post([this, from, to, done, answer] {
                    if (isolated.contains(from) || isolated.contains(to))
                        done(notRun(failure_kind::Unavailable, "isolated"));
                    else
                        done(answer);
                });
            });
        });
    }

    event_queue& m_events;
};

/// @brief A backend server whose replies the test provides.
class backend final : public backend_client {
public:
    void send(const http_request& request, std::chrono::milliseconds, handler done) override
    {
        sent.push_back(request);
        waiting.push_back(std::move(done));
    }

    void probe(std::chrono::milliseconds, handler done) override { probes.push_back(std::move(done)); }

    void answerProbes(const result<http_reply>& reply)
    {
        const auto all = std::move(probes);
        probes.clear();
        for (const auto& done : all)
            done(reply);
    }

    std::vector<http_request> sent;
    std::deque<handler> waiting;
    std::vector<handler> probes;
};

} // namespace oriole::mocks
