// A small deployment: the store, three entries, agents with a stand-in minion beside each, and clients. All on loopback addresses.
#pragma once

#include "store.hpp"

#include <cmath>
#include <csignal>
#include <fstream>
#include <memory>
#include <set>

#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace review {

/// What the case records: what was sent, answered and run.
class case_record {
public:
    explicit case_record(const std::string& path)
        : m_file(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct run_row {
    std::string task; // ID.K.STEP.INDEX
    unsigned attempt = 0;
    std::string minion;
    double start = 0;
    double end = -1;
    std::string how;
    double noted = -1; // When lastSeen reached its end.
};

/// How long a run works, and how it ends by itself. Without an end it works until it is stopped.
struct run_plan {
    double work = 1;
    std::string how = "done";
};

/// What minions know of jobs, and what has run. One lock for all minions.
struct shared_world {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, json> jobs; // By ID, as its client sent it.
    std::vector<run_row> runs;
    std::function<run_plan(const std::string& task, unsigned attempt)> plan = [](const std::string&, unsigned) { return run_plan {}; };
    std::function<bool(const std::string& task, const std::string& minion)> isHeldUp
        = [](const std::string&, const std::string&) { return false; }; ///< A start that gets no answer and is carried out late.
    std::map<std::pair<std::string, unsigned>, std::pair<std::set<std::string>, double>> gangs; // Members that came, and when the last did.

    /// ID, K, STEP and INDEX of a task's name.
    static std::vector<std::string> parts(const std::string& task)
    {
        std::vector<std::string> out(1);
        for (const char c : task) {
            if (c == '.')
                out.emplace_back();
            else
                out.back() += c;
        }
        return out;
    }

    json step(const std::string& task)
    {
        const auto name = parts(task);
        const auto job = jobs.find(name[0]);
        return job == jobs.end() ? json::object() : job->second.at("phases").at(std::stoul(name[2]));
    }
};

constexpr double killGrace = 0.2;
constexpr double holdMax = 6;
constexpr double gangTimeout = 3;

class minion_standin {
public:
    struct minion_settings {
        std::string id, ip, zone, rack, agentIp;
        int port = 8529;
        std::int64_t cpu = 128000, memMb = 524288, gpu = 8;
    };

    minion_standin(shared_world& world, case_record& record, minion_settings settings)
        : m_world(world)
        , m_record(record)
        , m_settings(std::move(settings))
    {
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        serveHttp(m_settings.ip, m_settings.port, [this](const http_call& request) { return handle(request); });
        std::thread([this] {
            while (true) {
                sleepSeconds(0.01);
                const std::lock_guard lock(m_world.mutex);
                tick();
            }
        }).detach();
        std::thread([this] {
            while (!m_gone) {
                if (!m_down)
                    beat();
                sleepSeconds(1.5);
            }
        }).detach();
    }

    /// The minion is lost for good: nothing of it runs or answers any more. Call with the world locked.
    void lose()
    {
        m_gone = true;
        for (auto& active : m_active) {
            m_world.runs[active.record].end = seconds();
            m_world.runs[active.record].how = "lost with its minion";
        }
        m_active.clear();
    }

    /// The minion crashes, is silent for a while and starts again under its id. Calls that were held up reach it then.
    void crash(double downFor)
    {
        {
            const std::lock_guard lock(m_world.mutex);
            m_down = true;
            for (auto& active : m_active) {
                m_world.runs[active.record].end = seconds();
                m_world.runs[active.record].how = "crashed";
            }
            m_active.clear();
            m_record.line("minion " + m_settings.id + " crashes");
        }
        std::thread([this, downFor] {
            sleepSeconds(downFor);
            {
                const std::lock_guard lock(m_world.mutex);
                m_ends.clear();
                m_highest.clear();
                m_token = 0;
                m_leaseEnd = 0;
                m_lastEnd = 0;
                m_sequence = 0;
                m_clockStart = seconds();
                m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
                m_down = false;
                m_record.line("minion " + m_settings.id + " is back under its id");
                for (const auto& body : m_heldUp) {
                    m_record.line("minion " + m_settings.id + " carries out a start that was held up: " + start(body).body);
                }
                m_heldUp.clear();
            }
            beat();
        }).detach();
    }

    const minion_settings& settings() const { return m_settings; }

private:
    struct active_row {
        std::size_t record;
        std::string task;
        unsigned attempt;
        run_plan plan;
        double came;
        double workStart; // -1: a gang that is not complete yet.
        double stopsAt = -1;
        std::int64_t cpu, memMb, gpu;
    };
    struct end_row {
        std::uint64_t number;
        std::size_t record;
    };

    std::int64_t clockMs() const { return 1000 + static_cast<std::int64_t>((seconds() - m_clockStart) * 1000); }

    void beat()
    {
        json body { { "service", "desk" }, { "address", m_settings.ip + ":" + std::to_string(m_settings.port) }, { "zone", m_settings.zone },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "capacity", { { "cpu", m_settings.cpu }, { "memMb", m_settings.memMb }, { "gpu", m_settings.gpu } } },
            { "labels", { "a", m_settings.rack } }, { "clockMs", clockMs() }, { "sequence", ++m_sequence }, { "born", m_born } };
        call(m_settings.agentIp, 8526, "PUT", "/api/instances/" + m_settings.id, {}, body.dump(), 1);
    }

    http_reply answer(int status, json body)
    {
        body["clockMs"] = clockMs();
        body["born"] = m_born;
        return { status, body.dump() };
    }
    http_reply refuse(const char* reason) { return answer(409, { { "reason", reason } }); }

    http_reply handle(const http_call& request)
    {
        if (m_gone || m_down)
            return { 0, "", false };
        if (request.target == "/healthz")
            return {};
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != m_settings.id)
            return { 421, "{}" };
        const auto body = json::parse(request.body);
        std::unique_lock lock(m_world.mutex);
        const auto token = body.value("fencingToken", std::uint64_t { 0 });
        if (token < m_token)
            return refuse("fence");
        m_token = token;
        if (request.target == "/api/run-start" && m_world.isHeldUp(body.at("taskId").get<std::string>(), m_settings.id)) {
            m_record.line("minion " + m_settings.id + " does not answer a start of " + body.at("taskId").get<std::string>());
            m_heldUp.push_back(body);
            return { 0, "", false };
        }
        if (request.target == "/api/run-start")
            return start(body);
        if (request.target == "/api/run-stop")
            return stop(body);
        if (request.target == "/api/hold")
            return hold(body, lock);
        return { 404, "{}" };
    }

    void extend(const json& body)
    {
        if (body.contains("deadlineMs"))
            m_leaseEnd = std::max(m_leaseEnd, std::min(body["deadlineMs"].get<std::int64_t>(), clockMs() + static_cast<std::int64_t>(holdMax * 1000)));
    }

    http_reply start(const json& body)
    {
        const auto task = body.at("taskId").get<std::string>();
        const auto attempt = body.at("attempt").get<unsigned>();
        if (body.at("deadlineMs").get<std::int64_t>() <= clockMs())
            return refuse("late");
        extend(body);
        for (const auto& active : m_active) {
            if (active.task == task)
                return active.attempt == attempt ? answer(200, json::object()) : refuse("old");
        }
        if (const auto known = m_highest.find(task); known != m_highest.end() && attempt <= known->second)
            return refuse("old");
        const auto step = m_world.step(task);
        std::int64_t cpu = step.value("cpu", 0), memMb = step.value("memMb", 0), gpu = step.value("gpu", 0);
        std::int64_t usedCpu = cpu, usedMem = memMb, usedGpu = gpu;
        for (const auto& active : m_active) {
            usedCpu += active.cpu;
            usedMem += active.memMb;
            usedGpu += active.gpu;
        }
        if (usedCpu > m_settings.cpu || usedMem > m_settings.memMb || usedGpu > m_settings.gpu)
            return refuse("room");
        m_world.runs.push_back({ task, attempt, m_settings.id, seconds(), -1, "", -1 });
        m_record.line("minion " + m_settings.id + " starts " + task + " attempt " + std::to_string(attempt));
        active_row active { m_world.runs.size() - 1, task, attempt, m_world.plan(task, attempt), seconds(), seconds(), -1, cpu, memMb, gpu };
        if (step.value("gang", false)) {
            active.workStart = -1;
            auto& gang = m_world.gangs[{ task.substr(0, task.rfind('.')), attempt }];
            gang.first.insert(task);
            if (gang.first.size() == step.value("count", 1U))
                gang.second = seconds();
        }
        m_active.push_back(active);
        return answer(200, json::object());
    }

    http_reply stop(const json& body)
    {
        const auto task = body.at("taskId").get<std::string>();
        const auto attempt = body.at("attempt").get<unsigned>();
        m_highest[task] = std::max(m_highest[task], attempt);
        for (auto& active : m_active) {
            if (active.task == task && active.attempt <= attempt && active.stopsAt < 0) {
                active.stopsAt = seconds() + killGrace / 2;
                m_record.line("minion " + m_settings.id + " is told to stop " + task + " attempt " + std::to_string(attempt));
            }
        }
        return answer(200, json::object());
    }

    http_reply hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        extend(body);
        const auto seen = body.value("lastSeen", std::uint64_t { 0 });
        std::erase_if(m_ends, [&](const end_row& end) {
            if (end.number > seen)
                return false;
            m_world.runs[end.record].noted = seconds();
            return true;
        });
        const double until = seconds() + body.value("waitMs", 0) / 1000.0;
        const auto before = m_lastEnd;
        while (m_lastEnd == before && seconds() < until)
            m_world.changed.wait_for(lock, std::chrono::duration<double>(until - seconds()));
        json active = json::array(), finished = json::array();
        for (const auto& run : m_active) {
            const double percent = run.workStart < 0 ? 0 : std::min(100.0, (seconds() - run.workStart) / std::max(run.plan.work, 0.001) * 100);
            active.push_back({ run.task, run.attempt, "", std::floor(percent), 1.0 });
        }
        for (const auto& end : m_ends)
            finished.push_back({ end.number, m_world.runs[end.record].task, m_world.runs[end.record].attempt, m_world.runs[end.record].how, "" });
        return answer(200, { { "active", active }, { "finished", finished } });
    }

    void finish(const active_row& active, const std::string& how)
    {
        auto& run = m_world.runs[active.record];
        run.end = seconds();
        run.how = how;
        m_highest[active.task] = std::max(m_highest[active.task], active.attempt);
        m_ends.push_back({ ++m_lastEnd, active.record });
        m_record.line("minion " + m_settings.id + " ends " + active.task + " attempt " + std::to_string(active.attempt) + " " + how);
        m_world.changed.notify_all();
    }

    void tick()
    {
        const double now = seconds();
        std::erase_if(m_active, [&](active_row& active) {
            if (active.workStart < 0) {
                const auto& gang = m_world.gangs[{ active.task.substr(0, active.task.rfind('.')), active.attempt }];
                if (gang.second > 0)
                    active.workStart = gang.second;
            }
            const char* how = nullptr;
            if (clockMs() > m_leaseEnd)
                how = "lapsed";
            else if (active.stopsAt >= 0 && now >= active.stopsAt)
                how = "stopped";
            else if (active.workStart < 0 && now - active.came > gangTimeout)
                how = "alone";
            else if (active.workStart >= 0 && now - active.workStart >= active.plan.work && !active.plan.how.empty())
                how = active.plan.how.c_str();
            if (how == nullptr)
                return false;
            finish(active, how);
            return true;
        });
    }

    shared_world& m_world;
    case_record& m_record;
    minion_settings m_settings;
    std::int64_t m_born = 0;
    std::atomic<bool> m_gone { false };
    std::atomic<bool> m_down { false };
    double m_clockStart = 0;
    std::vector<json> m_heldUp;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_lastEnd = 0;
    std::vector<active_row> m_active;
    std::vector<end_row> m_ends;
    std::map<std::string, unsigned> m_highest;
};

/// A process of the project, started with a command of the deploy file.
class child_program {
public:
    child_program(const std::string& role, const std::string& settingsFile, const std::string& log)
        : m_role(role)
        , m_settings(settingsFile)
        , m_log(log)
    {
        start();
    }

    void start()
    {
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open();
            dup2(out, 1);
            dup2(out, 2);
            setenv("ORIOLEWAY_NODE_FILE", m_settings.c_str(), 1);
            execl("target/bin/oriolefleetd", "target/bin/oriolefleetd", m_role.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    void signal(int number) const { ::kill(m_pid, number); }
    void end()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::kill(m_pid, SIGCONT);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    bool running() const { return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == 0; }
    pid_t pid() const { return m_pid; }

private:
    int open() const
    {
        FILE* file = std::fopen(m_log.c_str(), "a");
        return fileno(file);
    }
    std::string m_role, m_settings, m_log;
    pid_t m_pid = -1;
};

constexpr int callerPort = 8521;

class small_deployment {
public:
    shared_world world;
    case_record record;
    std::unique_ptr<store_standin> store;
    std::vector<std::unique_ptr<minion_standin>> minions;
    std::vector<std::unique_ptr<child_program>> entries;
    std::vector<std::unique_ptr<child_program>> agents;

    small_deployment(const std::string& recordFile, int minionCount)
        : record(recordFile)
    {
        processStart();
        std::signal(SIGPIPE, SIG_IGN);
        char name[] = "/tmp/oriole-review-2-XXXXXX";
        if (mkdtemp(name) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_folder = name;
        // A free network of loopback addresses: the store can listen only on one that nobody else uses.
        for (int attempt = 0; !store; ++attempt) {
            m_net = "127." + std::to_string(20 + (getpid() + attempt) % 200) + "." + std::to_string(1 + (getpid() / 200) % 250) + ".";
            try {
                store = std::make_unique<store_standin>(ip(200), 8524);
            } catch (const std::exception&) {
                if (attempt > 50)
                    throw;
            }
        }
        m_minionCount = minionCount;
    }
    /// Ends all processes that the case started.
    void end()
    {
        for (auto& program : entries)
            program->end();
        for (auto& program : agents)
            program->end();
        if (std::getenv("KEEP_LOGS") != nullptr)
            std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
        else if (std::system(("rm -rf " + m_folder).c_str()) != 0)
            std::fprintf(stderr, "%s is left\n", m_folder.c_str());
    }

    std::string ip(int number) const { return m_net + std::to_string(number); }
    std::string entryIp(std::size_t number) const { return ip(1 + static_cast<int>(number)); }

    void start()
    {
        static const char* zones[] = { "praha-a", "brno-a", "ostrava-a" };
        for (int i = 0; i < 3; ++i) {
            auto settings = common("frontend-" + std::string(zones[i]) + "-1", ip(1 + i), zones[i]);
            settings["machineClass"] = "frontend";
            settings["serves"] = { "frontend", "control_plane" };
            settings["listenAddrs"] = { { "frontend", ip(1 + i) + ":8521" }, { "ready", ip(1 + i) + ":8523" }, { "controlPlane", ip(1 + i) + ":8526" } };
            settings["limits"] = { { "cpuQuota", 0.25 }, { "cpuCores", 1 }, { "memoryMb", 260 }, { "maxFds", 4100 }, { "linkMbps", 1000.0 }, { "diskMb", 0 } };
            entries.push_back(launch("entry", settings));
        }
        for (int i = 0; i < m_minionCount; ++i) {
            const auto* zone = zones[i % 3];
            const auto agentIp = ip(20 + i);
            auto settings = common("side-" + std::string(zone) + "-" + std::to_string(1 + i / 3), agentIp, zone);
            settings["machineClass"] = "side";
            settings["serves"] = json::array({ "side" });
            settings["listenAddrs"] = { { "controlPlane", agentIp + ":8526" } };
            settings["app"] = agentIp + ":8529";
            settings["service"] = "desk";
            settings["limits"] = { { "cpuQuota", 0.15 }, { "cpuCores", 1 }, { "memoryMb", 128 }, { "maxFds", 4096 }, { "linkMbps", 1000.0 }, { "diskMb", 0 } };
            agents.push_back(launch("agent", settings));
            minions.push_back(std::make_unique<minion_standin>(world, record,
                minion_standin::minion_settings { "i-" + std::to_string(100 + i), agentIp, zone, "r" + std::to_string(1 + i / 2) + "-1", agentIp }));
        }
    }

    /// Waits until every entry says that it is ready and a first job has run.
    bool waitUntilServing(const std::string& prefix, const std::string& key)
    {
        const double until = seconds() + 20;
        for (std::size_t i = 0; i < entries.size() && seconds() < until;) {
            if (call(entryIp(i), 8523, "GET", "/api/readyz", {}, "", 1).status == 200)
                ++i;
            else
                sleepSeconds(0.1);
        }
        const std::string id = "00000000000000aa";
        while (seconds() < until) {
            submit(0, prefix, id, key, { { "spec", "warm-up" }, { "phases", json::array({ { { "cpu", 1000 }, { "memMb", 16 }, { "estimateMs", 500 } } }) } });
            sleepSeconds(1.5);
            if (state(0, prefix, id, key) == "completed")
                return true;
        }
        return false;
    }

    std::map<std::string, std::string> headers(const std::string& key) const
    {
        std::map<std::string, std::string> out { { "Host", "desk.example" }, { "X-Deadline-Ms", "3000" } };
        if (!key.empty())
            out["X-Key"] = key;
        return out;
    }

    call_answer send(std::size_t entry, const std::string& method, const std::string& path, const std::string& key, const std::string& body = {})
    {
        auto answer = call(entryIp(entry), callerPort, method, path, headers(key), body, 3);
        record.line("client " + method + " " + path + " at entry " + std::to_string(entry) + " -> "
            + (answer.status == 0 ? std::string("no answer") : std::to_string(answer.status) + " " + answer.body));
        return answer;
    }

    call_answer submit(std::size_t entry, const std::string& prefix, const std::string& id, const std::string& key, const json& job)
    {
        {
            const std::lock_guard lock(world.mutex);
            world.jobs[id] = job;
        }
        return send(entry, "POST", prefix + id, key, job.dump());
    }

    std::string state(std::size_t entry, const std::string& prefix, const std::string& id, const std::string& key)
    {
        const auto answer = send(entry, "GET", prefix + id, key);
        if (answer.status != 200)
            return std::to_string(answer.status);
        return json::parse(answer.body).value("state", "");
    }

    std::vector<run_row> runsOf(const std::string& id)
    {
        const std::lock_guard lock(world.mutex);
        std::vector<run_row> out;
        for (const auto& run : world.runs) {
            if (run.task.starts_with(id + "."))
                out.push_back(run);
        }
        return out;
    }

    /// A route, as a configuration of the operator has it.
    static json route(const std::string& name, const std::string& prefix, unsigned priority, unsigned maxAttempts)
    {
        return { { "name", name }, { "host", "desk.example" }, { "prefix", prefix }, { "kind", "non_idempotent" }, { "timeoutMs", 3000 },
            { "targetLatencyMs", 1200 }, { "priority", priority }, { "service", "desk" }, { "maxAttempts", maxAttempts }, { "slackFactor", 3.0 },
            { "anonymous", false }, { "regionsAllowed", json::array() } };
    }

    void configure(int version, const json& routes, const json& tenants)
    {
        const json configuration { { "version", version }, { "routes", routes },
            { "services", json::array({ { { "name", "desk" }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" }, { "tlsEnabled", false }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "preconditions", true }, { "standby", false } } }) },
            { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
            { "tenants", tenants } };
        store->put("op/config", configuration.dump());
        std::string names;
        for (const auto& entry : routes)
            names += " " + entry.at("prefix").get<std::string>() + " maxAttempts " + entry.at("maxAttempts").dump();
        record.line("operator: configuration " + std::to_string(version) + " acknowledged, routes" + names);
    }

    static json tenant(const std::string& name, const std::string& key)
    {
        return { { "name", name }, { "apiKeys", json::array({ key }) }, { "priority", 1 }, { "guaranteed", { { "gpu", 0 } } }, { "regionsAllowed", json::array() } };
    }

private:
    json common(const std::string& name, const std::string& address, const std::string& zone) const
    {
        return { { "nodeName", name }, { "role", "role" }, { "ip", address }, { "zone", zone }, { "region", zone.substr(0, zone.find('-')) },
            { "zones", { { "praha-a", "praha" }, { "brno-a", "brno" }, { "ostrava-a", "ostrava" } } }, { "portRange", { 7000, 7015 } },
            { "seedNodes", { ip(1) + ":8526", ip(2) + ":8526", ip(3) + ":8526" } }, { "bootstrap", true }, { "dataDir", nullptr },
            { "discovery", "local" }, { "entryMode", "vip" }, { "heartbeatMs", 1500 }, { "commands", "invocation" },
            { "bounds",
                { { "contactMs", 3000 }, { "ackTimeoutMs", 4000 }, { "drainMs", 2500 }, { "graceS", 6 }, { "configApplyMs", 2500 },
                    { "strictRevocation", true }, { "revokeMs", 5000 }, { "evacuationMs", 5000 }, { "holdMaxMs", 6000 }, { "killGraceMs", 200 },
                    { "gangTimeoutMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 }, { "early_ms", 250 }, { "finish_s", 14 },
                    { "status_s", 120 }, { "spreadFactor", 3 }, { "checkpointS", 1 }, { "restoreMs", 600 }, { "noticeMs", 4500 }, { "reclaimMs", 2700 } } },
            { "platform",
                { { "address", ip(200) + ":8524" }, { "form", "kv" }, { "writesPerS", 400 }, { "readsPerS", 2000 }, { "historyS", 20 },
                    { "valueBytes", 1048576 }, { "ttlMinMs", 1000 } } } };
    }

    std::unique_ptr<child_program> launch(const std::string& role, json settings)
    {
        const auto name = settings.at("nodeName").get<std::string>();
        settings["role"] = role;
        const auto file = m_folder + "/" + name + ".json";
        std::ofstream(file) << settings.dump();
        return std::make_unique<child_program>(role, file, m_folder + "/" + name + ".log");
    }

    std::string m_folder;
    std::string m_net;
    int m_minionCount = 0;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Runs a case and ends the process. What goes wrong in the case itself exits with 2.
inline int runCase(char** arguments, int minionCount, const std::function<int(small_deployment&)>& body)
{
    // Threads of the stand-ins use it until the process ends, so it is not destroyed.
    small_deployment* deployment = nullptr;
    int result = 2;
    try {
        deployment = new small_deployment(arguments[1], minionCount);
        result = body(*deployment);
        if (result == 2)
            deployment->record.line("the case could not run");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
    }
    if (deployment != nullptr)
        deployment->end();
    std::fflush(nullptr);
    _exit(result);
}

} // namespace review
