/// @file
/// @brief Stand-ins of the minions. One object knows them all, since the members of a gang work together.
#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady_time = std::chrono::steady_clock::time_point;

/// @brief Writes record.txt: one line an event, with the seconds since the trial began.
class trial_record {
public:
    explicit trial_record(const std::string& path);
    void add(const std::string& line);
    [[nodiscard]] double seconds() const;

private:
    std::mutex m_mutex;
    std::string m_path;
    steady_time m_began;
};

/// @brief How a run ends, and after how much work.
struct run_course {
    std::chrono::milliseconds work { 1000 };
    std::string end = "done";
    std::chrono::milliseconds fullAfter { 0 }; ///< When its percent is 100, for a task that lasts; 0 for one that progresses with its work.
};

struct minion_settings {
    std::string name;
    std::string ip; ///< Of its machine.
    std::string zone;
    std::string rack;
    std::string service;
    int appPort = 0;
    int agentPort = 0; ///< Where it registers.
};

/// @brief A run as the minions saw it.
struct run_record {
    std::string task;
    unsigned attempt = 0;
    std::string minion;
    std::string spec;
    double startedAt = 0;
    double endedAt = -1; ///< Negative while it runs.
    std::string how;
    bool noted = false; ///< Its end was taken note of.
};

class minion_floor {
public:
    using course_rule = std::function<run_course(const std::string& task, unsigned attempt)>;

    minion_floor(trial_record& record, course_rule courses);
    ~minion_floor();
    minion_floor(const minion_floor&) = delete;
    minion_floor& operator=(const minion_floor&) = delete;

    void addMinion(const minion_settings& settings);
    /// @brief Tells what the tasks of a job ask for; a minion learns that with the spec.
    void describeJob(const std::string& id, const nlohmann::json& body);
    [[nodiscard]] std::vector<run_record> runs();
    /// @brief What a minion says of itself at this moment, and its id.
    [[nodiscard]] std::pair<std::string, nlohmann::json> describeMinion(std::size_t number);

private:
    struct active_run;
    struct minion;

    http_answer handle(minion& self, const http_request& request);
    http_answer start(minion& self, const nlohmann::json& body);
    http_answer stop(minion& self, const nlohmann::json& body);
    http_answer hold(minion& self, const nlohmann::json& body);
    http_answer refuse(const minion& self, const char* reason);
    [[nodiscard]] const nlohmann::json* stepOf(const std::string& task) const;
    [[nodiscard]] bool hasRoom(const minion& self, const nlohmann::json& step) const;
    [[nodiscard]] std::vector<std::pair<minion*, active_run*>> membersOf(const active_run& run);
    [[nodiscard]] static nlohmann::json heartbeatOf(const minion& self);
    void endRun(minion& self, const std::string& task, const std::string& how);
    void advance(minion& self);
    void advanceGang(const active_run& run, steady_time now);
    void beat(minion& self);
    void tick();

    trial_record& m_record;
    course_rule m_courses;
    std::mutex m_mutex;
    std::map<std::string, nlohmann::json> m_jobs;
    std::vector<run_record> m_runs;
    std::vector<std::unique_ptr<minion>> m_minions;
    bool m_ending = false;
    std::thread m_ticker;
};

} // namespace review
