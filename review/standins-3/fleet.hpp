/// @file
/// @brief Starts the project's own processes with the commands of the deploy file, and speaks to them as clients do.
#pragma once

#include "floor.hpp"
#include "http.hpp"
#include "store.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

struct client_answer {
    int status = 0; ///< 0: no answer.
    std::string body;
};

/// @brief A small deployment: three frontends, some side machines with a minion each, and the store.
class deployment {
public:
    deployment(trial_record& record, unsigned sides, minion_floor::course_rule courses);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// @brief Starts all machines and waits until the frontends are ready and the traffic may begin.
    /// @return False if the processes don't become ready.
    bool begin();
    void configure(const nlohmann::json& configuration);

    /// @brief One call of a client.
    client_answer call(unsigned frontend, const std::string& method, const std::string& path, const std::string& body = {});
    /// @brief Hands a job in as a client does: again with the same ID at another frontend after no answer, 502 or 504, and after 429 and 503.
    client_answer submit(const std::string& prefix, const std::string& id, const nlohmann::json& body);

    platform_store& store() { return *m_store; }
    minion_floor& minions() { return *m_floor; }
    /// @brief Processes that ended by themselves.
    [[nodiscard]] unsigned ownEnds();

    static constexpr unsigned frontends = 3;
    static const std::string host;
    static const std::string service;
    static const std::string apiKey;

    /// @brief Watches each process: called every 50 ms with its name and process id.
    std::function<void(const std::string& name, pid_t pid)> watchProcess;
    void killProcess(const std::string& name);
    /// @brief Kills the processes of all frontends, which the platform starts again.
    void killFrontends();
    /// @brief Sends a heartbeat of another writer to a side machine.
    client_answer foreignHeartbeat(unsigned side, const std::string& instance, const std::string& body);
    /// @brief Kills the processes of all machines; they are not started again until startAll.
    void stopAll();
    /// @brief Starts all machines, and waits as begin does.
    bool startAll();

private:
    struct node {
        std::string name;
        std::string role;
        std::string ip;
        std::string zone;
        pid_t pid = -1;
        steady_time restartAt;
        bool killed = false;
    };

    void addNode(const std::string& role, unsigned number, unsigned lastByte);
    void writeSettings(const node& which) const;
    void run(node& which);
    void supervise();
    [[nodiscard]] bool awaitReady(steady_time began);
    [[nodiscard]] std::string address(unsigned lastByte) const;

    trial_record& m_record;
    unsigned m_sides;
    std::string m_prefix; ///< First three bytes of all addresses.
    std::string m_folder;
    std::unique_ptr<platform_store> m_store;
    std::unique_ptr<minion_floor> m_floor;
    std::mutex m_mutex;
    std::vector<node> m_nodes;
    unsigned m_ownEnds = 0;
    bool m_ending = false;
    bool m_stopped = false; ///< Nothing is started.
    std::thread m_supervisor;
};

} // namespace review
