// A small deployment on loopback addresses: the programs of the deploy file as processes, with the stand-ins around them.
#pragma once

#include "minion.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

struct route {
    std::string name;
    std::string prefix;
    unsigned priority = 1;
    unsigned maxAttempts = 4;
};

class deployment {
public:
    explicit deployment(const std::string& recordFile)
        : m_record(recordFile)
        , m_began(clock::now())
    {
        std::string folder = std::filesystem::temp_directory_path() / "review-XXXXXX";
        if (mkdtemp(folder.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_folder = folder;
        std::random_device random;
        // Loopback addresses of their own for this run.
        m_prefix = "127." + std::to_string(2 + random() % 250) + "." + std::to_string(1 + random() % 250) + ".";
        m_port = 20000 + static_cast<int>(random() % 2000) * 10;
    }

    // Ends all processes and this one; the threads of the stand-ins are not waited for.
    [[noreturn]] void finish(int code)
    {
        for (const auto& [name, pid] : m_processes) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        if (const char* keep = std::getenv("KEEP_LOGS"))
            std::filesystem::copy(m_folder, keep, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
        std::filesystem::remove_all(m_folder);
        log(code == 0 ? "the rule held" : code == 1 ? "the rule was broken"
                                                    : "the case could not run");
        std::cout << (code == 0 ? "held" : code == 1 ? "broken"
                                                     : "could not run")
                  << std::endl;
        std::_Exit(code);
    }

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    double seconds() const { return std::chrono::duration<double>(clock::now() - m_began).count(); }

    void log(const std::string& line)
    {
        const std::lock_guard guard(m_logMutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds());
        m_record << time << line << std::endl;
    }

    // Starts the entries, the agents and the minions of a deployment of three zones.
    void start(int entries, int minions, const minion::timer& work)
    {
        configure();
        for (int i = 1; i <= entries; ++i)
            addNode("entry", i, i - 1);
        for (int i = 1; i <= minions; ++i) {
            // As on the site: four minions in two zones and the rest in the third, three a rack.
            const int zone = std::min((i - 1) / 4, 2);
            const int place = i - 1 - 4 * zone;
            const auto name = addNode("agent", i, zone);
            minion_settings settings;
            settings.name = "worker-" + std::to_string(i);
            settings.service = "column-desk";
            settings.zone = zones().at(static_cast<std::size_t>(zone));
            settings.rack = "r" + std::to_string(zone + 1) + "-" + std::to_string(place / 3 + 1);
            if (zone == 2)
                settings.kind = m_kindOfLastZone;
            settings.address = ip(name) + ":" + std::to_string(m_port + 5);
            settings.agent = ip(name) + ":" + std::to_string(m_port + 2);
            m_minions.push_back(std::make_unique<minion>(
                settings, [this] { return seconds(); }, [this](const std::string& line) { log(line); }, work));
        }
        for (const auto& [name, role] : m_roles)
            run(name);
    }

    void configure()
    {
        json routes = json::array();
        for (const auto& entry : m_routes)
            routes.push_back({ { "name", entry.name }, { "host", host() }, { "prefix", entry.prefix }, { "service", "column-desk" },
                { "priority", entry.priority }, { "maxAttempts", entry.maxAttempts }, { "slackFactor", 3.0 }, { "targetLatencyMs", 1200 } });
        const json config { { "version", ++m_version }, { "routes", routes },
            { "services", json::array({ { { "name", "column-desk" }, { "preconditions", true } } }) },
            { "tenants", json::array({ { { "name", "daily" }, { "apiKeys", json::array({ key() }) }, { "guaranteed", { { "gpu", 4 } } } } }) },
            { "limits", { { "maxBodyBytes", 262144 } } } };
        m_store.put("op/config", config.dump());
        log("configuration " + std::to_string(m_version) + " acknowledged");
    }

    void run(const std::string& name)
    {
        const auto role = m_roles.at(name);
        const auto settings = m_folder + "/" + name + ".json";
        const auto output = m_folder + "/" + name + ".log";
        const pid_t pid = ::fork();
        if (pid < 0)
            throw std::runtime_error("fork");
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string variable = "ORIOLEWAY_NODE_FILE=" + settings;
            const char* path = std::getenv("PATH");
            const std::string pathVariable = std::string("PATH=") + (path == nullptr ? "/usr/bin" : path);
            char* const environment[] = { const_cast<char*>(variable.c_str()), const_cast<char*>(pathVariable.c_str()), nullptr };
            char* const arguments[] = { const_cast<char*>("target/bin/oriolefleetd"), const_cast<char*>(role.c_str()), nullptr };
            ::execve("target/bin/oriolefleetd", arguments, environment);
            ::_exit(127);
        }
        m_processes[name] = pid;
        log("process " + name + " started");
    }

    void signal(const std::string& name, int number)
    {
        ::kill(m_processes.at(name), number);
        log("process " + name + " gets " + (number == SIGKILL ? "SIGKILL" : number == SIGSTOP ? "SIGSTOP"
                    : number == SIGCONT                                                       ? "SIGCONT"
                    : number == SIGTERM                                                       ? "SIGTERM"
                                                                                              : "a signal"));
        if (number == SIGKILL) {
            ::waitpid(m_processes.at(name), nullptr, 0);
            m_processes.erase(name);
        }
    }

    bool alive(const std::string& name)
    {
        const auto found = m_processes.find(name);
        if (found == m_processes.end())
            return false;
        int status = 0;
        if (::waitpid(found->second, &status, WNOHANG) == 0)
            return true;
        log("process " + name + " has ended by itself, status " + std::to_string(status));
        m_processes.erase(found);
        return false;
    }

    // The entry that runs the scheduler, by the log of its process.
    std::string leader()
    {
        std::string found;
        double latest = -1;
        for (const auto& [name, role] : m_roles) {
            if (role != "entry" || !m_processes.contains(name))
                continue;
            std::ifstream in(m_folder + "/" + name + ".log");
            std::string line;
            while (std::getline(in, line)) {
                const auto event = json::parse(line, nullptr, false);
                if (!event.is_object())
                    continue;
                if (event.value("event", "") == "leadership_acquired" && event.value("time_ms", 0.0) > latest) {
                    latest = event.value("time_ms", 0.0);
                    found = name;
                }
            }
        }
        return found;
    }

    response client(const std::string& entry, const std::string& method, const std::string& path, const std::string& body = {}, int timeoutMs = 3000)
    {
        auto answer = call(ip(entry) + ":" + std::to_string(m_port + 1), method, path, { { "Host", host() }, { "X-Key", key() } }, body, timeoutMs);
        log(method + " " + path + " at " + entry + ": " + std::to_string(answer.status) + " " + answer.body);
        return answer;
    }

    // Waits until every entry says that it is ready.
    bool waitReady(double limit)
    {
        const double until = seconds() + limit;
        while (seconds() < until) {
            bool all = true;
            for (const auto& [name, role] : m_roles) {
                if (role == "entry")
                    all = all && call(ip(name) + ":" + std::to_string(m_port + 3), "GET", "/api/readyz", { { "Host", "ready" } }, {}, 500).status == 200;
            }
            if (all && !leader().empty())
                return true;
            sleep(0.2);
        }
        return false;
    }

    static void sleep(double secondsToWait) { std::this_thread::sleep_for(std::chrono::duration<double>(secondsToWait)); }

    // A heartbeat at the controlPlane address of an agent's machine.
    response heartbeat(const std::string& agent, const std::string& id, const json& body)
    {
        const auto at = ip(agent) + ":" + std::to_string(m_port + 2);
        auto answer = call(at, "PUT", "/api/instances/" + id, { { "Host", at } }, body.dump(), 1000);
        log("heartbeat at " + agent + " of " + id + " " + body.dump() + ": " + std::to_string(answer.status));
        return answer;
    }

    // Pairs of runs of one task that were at work at the same time for longer than the stop of a run may take.
    bool ranTwice(double graceSeconds)
    {
        bool twice = false;
        const auto all = runs();
        for (std::size_t i = 0; i < all.size(); ++i) {
            for (std::size_t k = i + 1; k < all.size(); ++k) {
                const auto& a = all[i];
                const auto& b = all[k];
                if (a.task != b.task)
                    continue;
                const double end = std::min(a.endedAt < 0 ? seconds() : a.endedAt, b.endedAt < 0 ? seconds() : b.endedAt);
                const double together = end - std::max(a.startedAt, b.startedAt);
                if (together <= graceSeconds)
                    continue;
                twice = true;
                log("two runs of " + a.task + " at the same time for " + std::to_string(together) + " s: attempt " + std::to_string(a.attempt)
                    + " on " + a.minion + " and attempt " + std::to_string(b.attempt) + " on " + b.minion);
            }
        }
        return twice;
    }

    // Starts after a run of the same task had ended `done`, where that end was taken note of.
    unsigned startsAfterDone()
    {
        unsigned found = 0;
        const auto all = runs();
        std::map<std::string, const run_record*> done;
        for (const auto& run : all) {
            auto& first = done[run.task];
            if (run.how == "done" && run.noted && (first == nullptr || run.endedAt < first->endedAt))
                first = &run;
        }
        for (const auto& run : all) {
            const auto ended = done.find(run.task);
            if (ended->second == nullptr || ended->second == &run || run.startedAt <= ended->second->endedAt)
                continue;
            if (++found <= 5)
                log(run.task + " was started again as attempt " + std::to_string(run.attempt) + " on " + run.minion + ", "
                    + std::to_string(run.startedAt - ended->second->endedAt) + " s after attempt " + std::to_string(ended->second->attempt)
                    + " had ended done on " + ended->second->minion);
        }
        return found;
    }

    minion& worker(const std::string& name)
    {
        for (const auto& entry : m_minions) {
            if (entry->name() == name)
                return *entry;
        }
        throw std::runtime_error("no minion " + name);
    }

    static std::string agentOf(const run_record& run) { return "agent-" + run.minion.substr(run.minion.rfind('-') + 1); }

    std::string address(const std::string& node, int offset) const { return ip(node) + ":" + std::to_string(m_port + offset); }

    std::vector<run_record> runs()
    {
        std::vector<run_record> all;
        for (const auto& entry : m_minions) {
            const auto part = entry->history();
            all.insert(all.end(), part.begin(), part.end());
        }
        return all;
    }

    store& platform() { return m_store; }
    const std::string& folder() const { return m_folder; }
    std::vector<route>& routes() { return m_routes; }
    // The kind of the minions in the last zone; those of the others are of kind "a".
    void setKindOfLastZone(const std::string& kind) { m_kindOfLastZone = kind; }
    static std::string host() { return "nony24.example"; }
    static std::string key() { return "k-1f2e3d4c"; }
    static const std::vector<std::string>& zones()
    {
        static const std::vector<std::string> names { "praha-a", "brno-a", "ostrava-a" };
        return names;
    }

private:
    std::string ip(const std::string& node) const { return m_prefix + std::to_string(m_numbers.at(node)); }

    std::string addNode(const std::string& role, int number, int zone)
    {
        auto name = role + "-" + std::to_string(number);
        m_numbers[name] = static_cast<int>(m_numbers.size()) + 10;
        m_roles[name] = role;
        const auto at = [&](int offset) { return ip(name) + ":" + std::to_string(m_port + offset); };
        m_store.listen(name, at(8));
        json listen { { "controlPlane", at(2) } };
        if (role == "entry") {
            listen["frontend"] = at(1);
            listen["ready"] = at(3);
        }
        json seeds = json::array();
        for (int i = 0; i < 3; ++i)
            seeds.push_back(m_prefix + std::to_string(10 + i) + ":" + std::to_string(m_port + 2));
        const bool isEntry = role == "entry";
        const json settings { { "nodeName", name }, { "role", role }, { "machineClass", isEntry ? "frontend" : "side" }, { "ip", ip(name) },
            { "zone", zones().at(static_cast<std::size_t>(zone)) }, { "region", zones().at(static_cast<std::size_t>(zone)) },
            { "zones", { { "praha-a", "praha" }, { "brno-a", "brno" }, { "ostrava-a", "ostrava" } } }, { "listenAddrs", listen },
            { "portRange", { m_port + 6, m_port + 7 } }, { "seedNodes", seeds }, { "bootstrap", true }, { "failureCounted", false },
            { "limits", { { "cpuQuota", isEntry ? 0.25 : 0.15 }, { "cpuCores", 1 }, { "memoryMb", isEntry ? 260 : 128 }, { "maxFds", 4100 } } },
            { "dataDir", nullptr }, { "discovery", "local" }, { "entryMode", "vip" }, { "heartbeatMs", 1500 },
            { "bounds", { { "contactMs", 3000 }, { "ackTimeoutMs", 4000 }, { "drainMs", 2500 }, { "graceS", 6 }, { "configApplyMs", 2500 }, { "revokeMs", 5000 }, { "holdMaxMs", 6000 }, { "killGraceMs", 200 }, { "gangTimeoutMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 }, { "spreadFactor", 3 }, { "leaseMs", 3000 } } },
            { "commands", "invocation" }, { "platform", { { "address", at(8) }, { "form", "kv" }, { "writesPerS", 400 }, { "readsPerS", 2000 } } } };
        std::ofstream(m_folder + "/" + name + ".json") << settings.dump();
        return name;
    }

    std::mutex m_logMutex;
    std::ofstream m_record;
    clock::time_point m_began;
    std::string m_folder;
    std::string m_prefix;
    int m_port = 0;
    std::map<std::string, int> m_numbers;
    std::map<std::string, std::string> m_roles;
    std::map<std::string, pid_t> m_processes;
    std::vector<route> m_routes { { "reprint", "/lohu930/", 1, 4 } };
    std::string m_kindOfLastZone = "a";
    int m_version = 0;
    store m_store;
    std::vector<std::unique_ptr<minion>> m_minions;
};

} // namespace review
