// Stand-in of a minion, by PROTOCOL.md: heartbeats, run-start, run-stop, hold, leases on its own steady clock. No gangs.
#pragma once

#include "store.hpp"

#include <set>

namespace review {

struct run_record {
    std::string task;
    unsigned attempt = 0;
    std::string spec;
    std::string minion;
    double startedAt = 0; // seconds since the start of the case
    double endedAt = -1;
    std::string how;
    bool noted = false; // its end was taken note of: lastSeen has reached it, and the lease did not lapse between the two
};

struct minion_settings {
    std::string name;
    std::string service;
    std::string zone;
    std::string kind = "a";
    std::string rack;
    std::string address; // where it takes calls
    std::string agent; // controlPlane address of its machine
    std::int64_t cpu = 128000;
    std::int64_t memMb = 524288;
    std::int64_t gpu = 8;
    int beatMs = 1500;
    int holdMaxMs = 6000;
    int killGraceMs = 200;
};

class minion {
public:
    using logger = std::function<void(const std::string&)>;
    using timer = std::function<int(const std::string& task, const std::string& spec)>; // work in ms

    minion(minion_settings settings, std::function<double()> seconds, logger log, timer work)
        : m_settings(std::move(settings))
        , m_seconds(std::move(seconds))
        , m_log(std::move(log))
        , m_work(std::move(work))
        , m_began(clock::now())
        , m_born(unixMs())
        , m_id("i-" + m_settings.name)
    {
        m_server = std::make_unique<http_server>(m_settings.address, [this](const request& in) { return serve(in); });
        std::thread([this] { tick(); }).detach();
        std::thread([this] { beat(); }).detach();
    }

    std::vector<run_record> history()
    {
        const std::lock_guard guard(m_mutex);
        return m_history;
    }

    // Crashes and starts again at the same address: it knows nothing of before and has another id.
    void restart()
    {
        const std::lock_guard guard(m_mutex);
        for (auto& [task, run] : m_active) {
            m_history[run.record].endedAt = m_seconds();
            m_history[run.record].how = "crashed";
        }
        m_active.clear();
        m_highest.clear();
        m_ends.clear();
        m_lastEnd = 0;
        m_token = 0;
        m_sequence = 0;
        m_leaseEnd = 0;
        m_began = clock::now();
        m_born = unixMs();
        m_id = "i-" + m_settings.name + "-" + std::to_string(++m_lives);
        m_log("minion " + m_settings.name + " has crashed and starts again as " + m_id);
    }

    // The heartbeat that this incarnation sends next; it isn't sent.
    json nextBeat()
    {
        const std::lock_guard guard(m_mutex);
        return makeBeat();
    }

    std::string id()
    {
        const std::lock_guard guard(m_mutex);
        return m_id;
    }

    // From now on and until it is called again: what the minion starts or runs fails (true), or not.
    void failAll(bool fails)
    {
        const std::lock_guard guard(m_mutex);
        m_fails = fails;
        m_log("minion " + m_settings.name + (fails ? " fails all that it starts" : " is sound again"));
    }

    [[nodiscard]] const std::string& name() const { return m_settings.name; }

private:
    struct active_run {
        std::size_t record = 0;
        unsigned attempt = 0;
        clock::time_point started;
        int workMs = 0;
        std::optional<clock::time_point> stops;
    };

    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        unsigned attempt = 0;
        std::string how;
        std::size_t record = 0;
        bool lapsed = false; // the minion's lease has lapsed since
    };

    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    json makeBeat()
    {
        return { { "service", m_settings.service }, { "address", m_settings.address }, { "zone", m_settings.zone }, { "version", "v1" },
            { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "capacity", { { "cpu", m_settings.cpu }, { "memMb", m_settings.memMb }, { "gpu", m_settings.gpu } } },
            { "labels", { m_settings.kind, m_settings.rack } }, { "clockMs", clockMs() }, { "born", m_born }, { "sequence", ++m_sequence } };
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_began).count();
    }

    response serve(const request& in)
    {
        const auto expected = in.headers.find("x-expect-instance");
        const auto body = json::parse(in.body);
        std::unique_lock guard(m_mutex);
        if (expected != in.headers.end() && expected->second != m_id)
            return { 421, "{}" };
        const auto token = body.value("fencingToken", std::uint64_t { 0 });
        const bool fenced = token < m_token;
        m_token = std::max(m_token, token);
        const auto refuse = [&](const char* reason) {
            return response { 409, json { { "clockMs", clockMs() }, { "reason", reason } }.dump() };
        };
        if (in.target == "/api/run-start") {
            if (fenced)
                return refuse("fence");
            const auto task = body.at("taskId").get<std::string>();
            const auto attempt = body.at("attempt").get<unsigned>();
            const auto deadline = body.at("deadlineMs").get<std::int64_t>();
            if (const auto known = m_active.find(task); known != m_active.end() && known->second.attempt == attempt) {
                extend(deadline);
                return { 200, json { { "clockMs", clockMs() } }.dump() };
            }
            if (deadline <= clockMs())
                return refuse("late");
            extend(deadline);
            if (const auto ended = m_highest.find(task); ended != m_highest.end() && attempt <= ended->second)
                return refuse("old");
            if (m_active.contains(task))
                return refuse("room");
            active_run run { m_history.size(), attempt, clock::now(), m_work(task, body.at("spec").get<std::string>()), {} };
            m_history.push_back({ task, attempt, body.at("spec").get<std::string>(), m_settings.name, m_seconds(), -1, {} });
            m_active[task] = run;
            m_log("start of " + task + " attempt " + std::to_string(attempt) + " on " + m_settings.name + " with spec "
                + json(m_history.back().spec).dump());
            return { 200, json { { "clockMs", clockMs() } }.dump() };
        }
        if (in.target == "/api/run-stop") {
            if (fenced)
                return refuse("fence");
            const auto task = body.at("taskId").get<std::string>();
            const auto attempt = body.at("attempt").get<unsigned>();
            m_highest[task] = std::max(m_highest[task], attempt);
            if (const auto known = m_active.find(task); known != m_active.end() && known->second.attempt <= attempt && !known->second.stops)
                known->second.stops = clock::now() + std::chrono::milliseconds(m_settings.killGraceMs / 2);
            return { 200, json { { "clockMs", clockMs() } }.dump() };
        }
        if (in.target == "/api/hold") {
            if (fenced)
                return refuse("fence");
            if (const auto deadline = body.find("deadlineMs"); deadline != body.end())
                extend(deadline->get<std::int64_t>());
            const auto seen = body.value("lastSeen", std::uint64_t { 0 });
            for (const auto& entry : m_ends)
                m_history[entry.record].noted = m_history[entry.record].noted || (entry.number <= seen && !entry.lapsed);
            std::erase_if(m_ends, [&](const listed_end& entry) { return entry.number <= seen; });
            const auto until = clock::now() + std::chrono::milliseconds(body.value("waitMs", 0));
            while (m_ends.empty() && clock::now() < until)
                m_changed.wait_until(guard, until);
            json active = json::array();
            for (const auto& [task, run] : m_active) {
                const auto percent = std::min(100.0, 100.0 * std::chrono::duration<double, std::milli>(clock::now() - run.started).count() / run.workMs);
                active.push_back({ task, run.attempt, "", percent, 0 });
            }
            json finished = json::array();
            for (const auto& entry : m_ends) {
                if (finished.size() == 500)
                    break;
                finished.push_back({ entry.number, entry.task, entry.attempt, entry.how, "" });
            }
            return { 200, json { { "clockMs", clockMs() }, { "born", m_born }, { "active", active }, { "finished", finished } }.dump() };
        }
        return { 404, "{}" };
    }

    // It never shortens; a longer lease is cut to the longest that is allowed.
    void extend(std::int64_t deadline)
    {
        m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clockMs() + m_settings.holdMaxMs));
    }

    void end(std::map<std::string, active_run>::iterator run, const char* how)
    {
        auto& record = m_history[run->second.record];
        record.endedAt = m_seconds();
        record.how = how;
        m_highest[run->first] = std::max(m_highest[run->first], run->second.attempt);
        m_ends.push_back({ ++m_lastEnd, run->first, run->second.attempt, how, run->second.record });
        m_log("end of " + run->first + " attempt " + std::to_string(run->second.attempt) + " on " + m_settings.name + ": " + how);
        m_active.erase(run);
        m_changed.notify_all();
    }

    void tick()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            const std::lock_guard guard(m_mutex);
            const auto now = clock::now();
            if (clockMs() > m_leaseEnd) {
                for (auto& entry : m_ends)
                    entry.lapsed = true;
            }
            for (auto entry = m_active.begin(); entry != m_active.end();) {
                const auto run = entry++;
                if (clockMs() > m_leaseEnd)
                    end(run, "lapsed");
                else if (run->second.stops && *run->second.stops <= now)
                    end(run, "stopped");
                else if (m_fails && now - run->second.started >= std::chrono::milliseconds(300))
                    end(run, "failed");
                else if (now - run->second.started >= std::chrono::milliseconds(run->second.workMs))
                    end(run, "done");
            }
        }
    }

    void beat()
    {
        for (;;) {
            std::string id;
            json body;
            {
                const std::lock_guard guard(m_mutex);
                id = m_id;
                body = makeBeat();
            }
            call(m_settings.agent, "PUT", "/api/instances/" + id, { { "Host", m_settings.agent } }, body.dump(), 1000);
            std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.beatMs));
        }
    }

    minion_settings m_settings;
    std::function<double()> m_seconds;
    logger m_log;
    timer m_work;
    clock::time_point m_began;
    std::int64_t m_born;
    std::string m_id;
    int m_lives = 1;
    bool m_fails = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, active_run> m_active;
    std::map<std::string, unsigned> m_highest; // highest attempt of a task that was stopped or ended here
    std::vector<listed_end> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::vector<run_record> m_history;
    std::unique_ptr<http_server> m_server;
};

} // namespace review
