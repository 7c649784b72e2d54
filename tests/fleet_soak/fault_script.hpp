/// @file
/// @brief Faults of a soak run, drawn from its seed: on processes, links, workers, the store, and by other writers.
#pragma once

#include "fleet_deployment.hpp"

#include <fleet/http/http_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fleet::soak {

class fault_script {
public:
    /// @param kinds Names of the kinds to draw from; all if empty.
    fault_script(oriole::event_loop& loop, fleet_deployment& deployment, std::uint64_t seed, std::vector<std::string> kinds);

    /// @brief Draws a fault every @p period. A fault may begin before the one before it has ended.
    void start(oriole::milliseconds period);

    /// @brief Ends all faults and draws no more.
    void stop();

    [[nodiscard]] const std::map<std::string, unsigned>& counts() const { return m_counts; }

    /// @brief The kinds that are drawn if none is named.
    static std::vector<std::string> allKinds();
    /// @brief All kinds that can be named.
    static std::vector<std::string> knownKinds();

private:
    using action = std::function<void()>;

    void drawFault();
    void undoLater(int fromMs, int toMs, action undo);
    void log(const std::string& what);

    void killProcess();
    void freezeProcess();
    void terminateProcess();
    void disturbLink();
    void holdUpOrders();
    void crashWorker();
    void restartAndCut();
    void holdCallsOverRestart();
    void restartUnderSameId(std::size_t index, unsigned times);
    void restartDomain();
    void restartAll(const std::vector<std::size_t>& indices, bool cutsAgents, unsigned times);
    void cutAll(const std::vector<std::size_t>& indices, bool cutsAgents);
    void killLeader();
    void killAgentBetweenLives();
    void restartWorker(std::size_t index, action then);
    void restartUnanswered();
    void disturbWorker();
    void refuseConnections();
    void misdirectConnections();
    void disturbStore();
    void changeConfiguration();
    void evacuate();
    void sendForeignHeartbeat();
    void delayHeartbeat();
    void writeOddRecord();
    void sendLargeHeartbeat();
    void sendIncompleteHeartbeat();
    void loseRack();

    fleet_deployment::node& anyNode();
    fleet_deployment::served_worker& anyWorker(std::size_t& index);
    void put(std::size_t agent, const std::string& instance, const std::string& body);
    unsigned below(unsigned limit) { return static_cast<unsigned>(m_random() % limit); }

    oriole::event_loop& m_loop;
    fleet_deployment& m_deployment;
    std::mt19937_64 m_random;
    std::vector<std::string> m_kinds;
    std::map<std::string, action> m_faults;
    bool m_running = false;
    bool m_isRackLost = false;
    std::map<unsigned, action> m_undos;
    unsigned m_nextUndo = 0;
    std::map<std::string, unsigned> m_counts;
    std::map<std::size_t, std::unique_ptr<http_client>> m_heartbeatClients;
    oriole::timer_service::subscription_id m_subscription = 0;
};

} // namespace fleet::soak
