/// @file
/// @brief Agents as real processes with stand-ins, and an entry played by the test itself.
#pragma once

#include "harness/process.hpp"

#include <oriole/control/control_store.hpp>
#include <oriole/helpers/event_loop.hpp>
#include <oriole/rpc/connection.hpp>
#include <oriole/rpc/convert.hpp>
#include <oriole/store/etcd_store_client.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>

namespace oriole::harness {

/// @brief What the entry of the test has heard of one worker.
struct heard_worker {
    worker_info info;
    std::optional<rpc::Agent::Client> agent;
    std::vector<task_report> tasks;
    unsigned heartbeats = 0;
    unsigned sessions = 0;
    bool leaving = false;
    bool backendHealthy = false;
};

/// @brief State shared by the capabilities of the entry that the test plays.
struct played_entry {
    control_state state;
    bool fresh = true;
    bool acknowledge = true;
    std::vector<entry_address> entries;
    std::map<std::string, heard_worker> workers;
};

class played_session final : public rpc::AgentSession::Server {
public:
    played_session(played_entry& entry, std::string worker)
        : m_entry(entry)
        , m_worker(std::move(worker))
    {
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        const auto report = context.getParams().getReport();
        auto& worker = m_entry.workers[m_worker];
        ++worker.heartbeats;
        worker.leaving = report.getLeaving();
        worker.backendHealthy = report.getBackendHealthy();
        if (report.getTasksChanged())
            worker.tasks = rpc::read(report.getTasks());

        auto results = context.getResults();
        rpc::write(results.initView(), m_entry.state, m_entry.entries, m_entry.fresh, false,
            report.getRevision().getConfiguration());
        std::vector<attempt_id> ended;
        for (const auto& task : worker.tasks) {
            if (m_entry.acknowledge && isTerminal(task.phase))
                ended.push_back(task.attempt.id);
        }
        auto acknowledged = results.initAcknowledged(static_cast<unsigned>(ended.size()));
        for (unsigned i = 0; i < acknowledged.size(); ++i)
            rpc::write(acknowledged[i], ended[i]);
        return kj::READY_NOW;
    }

private:
    played_entry& m_entry;
    std::string m_worker;
};

class played_entry_server final : public rpc::Entry::Server {
public:
    explicit played_entry_server(played_entry& entry)
        : m_entry(entry)
    {
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        const auto info = rpc::read(context.getParams().getWorker());
        auto& worker = m_entry.workers[info.name];
        worker.info = info;
        worker.agent = context.getParams().getAgent();
        ++worker.sessions;
        auto results = context.getResults();
        results.setSession(kj::heap<played_session>(m_entry, info.name));
        rpc::write(results.initView(), m_entry.state, m_entry.entries, m_entry.fresh, false, 0);
        return kj::READY_NOW;
    }

private:
    played_entry& m_entry;
};

/// @brief Some agents in one rack, all with stand-ins.
class agent_fixture {
public:
    /// @param seeded False: agents find the entry in the store only.
    explicit agent_fixture(unsigned workers, bool seeded = true)
        : store(freeEndpoint())
        , m_seeded(seeded)
        , m_rpc(freeEndpoint())
        , m_runtime(freeEndpoint())
    {
        entry.state.offer(failure_domain_states { 1, {} });
        rpc::serve(loop, m_rpc, kj::heap<played_entry_server>(entry)).wait(loop.io().waitScope);

        m_processes.push_back(std::make_unique<process>("standin_runtime",
            std::vector<std::string> { "--listen", toString(m_runtime) }, m_directory.file("runtime.log")));
        for (unsigned i = 0; i < workers; ++i) {
            backends.push_back(freeEndpoint());
            m_processes.push_back(std::make_unique<process>("standin_backend_server",
                std::vector<std::string> { "--listen", toString(backends.back()) },
                m_directory.file("backend" + std::to_string(i) + ".log")));
            m_agentRpc.push_back(freeEndpoint());
            agents.push_back(nullptr);
            startAgent(i);
        }
    }

    void startAgent(unsigned index)
    {
        const auto name = workerName(index);
        std::vector<std::string> arguments { "agent", "--worker", name, "--rpc", toString(m_agentRpc[index]), "--store",
            "http://" + toString(store), "--environment", "test", "--failure-domain", "fd1", "--region",
            "r1", "--rack", "k1", "--service", "column", "--backend", toString(backends[index]), "--runtime",
            "http://" + toString(m_runtime) + "/workers/" + name };
        if (m_seeded)
            arguments.insert(arguments.end(), { "--seed", toString(m_rpc) });
        agents[index] = std::make_unique<process>("oriolewayd", arguments, m_directory.file(name + ".log"));
    }

    static std::string workerName(unsigned index) { return "w" + std::to_string(index); }
    heard_worker& worker(unsigned index) { return entry.workers[workerName(index)]; }
    rpc::Agent::Client agent(unsigned index) { return *worker(index).agent; }

    /// @brief Runs the loop until @p condition holds.
    bool wait(const std::function<bool()>& condition, std::chrono::milliseconds bound = generousBound)
    {
        const auto deadline = std::chrono::steady_clock::now() + bound;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            loop.after(milliseconds(5)).wait(loop.io().waitScope);
        }
        return true;
    }

    bool waitReady()
    {
        return wait([this] {
            for (unsigned i = 0; i < agents.size(); ++i) {
                if (!worker(i).agent.has_value() || !worker(i).backendHealthy)
                    return false;
            }
            return true;
        });
    }

    attempt makeAttempt(const std::string& job, unsigned workers, const std::string& payload = "")
    {
        attempt made;
        made.id = { "org", job, 1 };
        made.epoch = 1;
        made.declaredRun = std::chrono::milliseconds(200);
        made.payload = payload;
        for (unsigned i = 0; i < workers; ++i)
            made.allocations.push_back({ workerName(i), toString(m_agentRpc[i]), 0xff, 64, 64 });
        return made;
    }

    bool reserve(unsigned at, const attempt& wanted, bool evictBorrowed = false)
    {
        auto request = agent(at).reserveRequest();
        rpc::write(request.initAttempt(), wanted);
        request.setTtlMs(5000);
        request.setEvictBorrowed(evictBorrowed);
        request.initRevision();
        return request.send().wait(loop.io().waitScope).getAccepted();
    }

    bool commit(unsigned at, const attempt& wanted)
    {
        auto request = agent(at).commitRequest();
        rpc::write(request.initId(), wanted.id);
        request.setEpoch(wanted.epoch);
        return request.send().wait(loop.io().waitScope).getAccepted();
    }

    capnp::RemotePromise<rpc::Agent::DispatchResults> dispatch(
        unsigned at, const std::string& id, const std::string& body, unsigned deadlineMs = 10000)
    {
        auto message = agent(at).dispatchRequest();
        auto request = message.initRequest();
        request.setId(id);
        request.setOrganisation("org");
        request.setService("column");
        request.setDeadlineMs(deadlineMs);
        request.setContentType("application/json");
        request.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
        return message.send();
    }

    /// @brief Reserves and commits a job whose tasks never end, and waits for its start.
    attempt startEndless(const std::string& name, unsigned workers)
    {
        auto job = makeAttempt(name, workers, R"({"standin_never_ends":true})");
        const auto before = countEvents("start");
        for (unsigned i = 0; i < workers; ++i)
            REQUIRE(reserve(i, job));
        for (unsigned i = 0; i < workers; ++i)
            REQUIRE(commit(i, job));
        REQUIRE(wait([&] { return countEvents("start") == before + workers; }));
        return job;
    }

    /// @brief The phase in which @p at last reported the attempt.
    std::optional<task_phase> phase(unsigned at, const attempt_id& id)
    {
        for (const auto& report : worker(at).tasks) {
            if (report.attempt.id == id)
                return report.phase;
        }
        return std::nullopt;
    }

    bool waitForEnd(unsigned at, const attempt_id& id, task_phase end)
    {
        return wait([&] { return phase(at, id) == end; });
    }

    /// @brief Reads JSON from a stand-in.
    static nlohmann::json get(const endpoint& peer, const std::string& path)
    {
        const auto reply = exchange(peer, { "GET", path, {}, {} }, std::chrono::seconds(5));
        return reply ? nlohmann::json::parse(reply.value().body) : nlohmann::json();
    }

    nlohmann::json events() const { return get(m_runtime, "/standin/events"); }

    unsigned countEvents(const std::string& kind) const
    {
        unsigned count = 0;
        for (const auto& event : events())
            count += event.at("event") == kind ? 1 : 0;
        return count;
    }

    /// @brief Starts the stand-in of the store and puts the entry into it.
    void startStore()
    {
        m_processes.push_back(std::make_unique<process>("standin_store",
            std::vector<std::string> { "--listen", toString(store) }, m_directory.file("store.log")));
        etcd_store_client client(loop, store);
        control_store announcer(client, "test");
        bool announced = false;
        const auto again = [&] {
            bool answered = false;
            announcer.announceEntry({ "e1", toString(m_rpc), "r1" }, 0, [&](const auto& answer) {
                announced = answer.has_value();
                answered = true;
            });
            return wait([&] { return answered; }) && announced;
        };
        REQUIRE(wait(again));
    }

    event_loop loop;
    played_entry entry;
    endpoint store;
    std::vector<endpoint> backends;
    std::vector<std::unique_ptr<process>> agents;

private:
    test_directory m_directory;
    bool m_seeded;
    endpoint m_rpc;
    endpoint m_runtime;
    std::vector<endpoint> m_agentRpc;
    std::vector<std::unique_ptr<process>> m_processes;
};

} // namespace oriole::harness
