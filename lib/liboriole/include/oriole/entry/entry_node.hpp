/// @file
/// @brief All parts of one entry, wired together on its event loop.
#pragma once

#include <oriole/control/control_store.hpp>
#include <oriole/entry/claim_service.hpp>
#include <oriole/entry/control_keeper.hpp>
#include <oriole/entry/entry_settings.hpp>
#include <oriole/entry/job_service.hpp>
#include <oriole/entry/ownership.hpp>
#include <oriole/entry/peer_table.hpp>
#include <oriole/entry/request_dispatcher.hpp>
#include <oriole/entry/rpc_agent_gateway.hpp>
#include <oriole/entry/rpc_gang_gateway.hpp>
#include <oriole/entry/worker_table.hpp>

#include <functional>
#include <string>
#include <vector>

namespace oriole {

/// @brief Owns the state of an entry. All members belong to the thread of the event loop.
class entry_node : private entry_liveness {
public:
    entry_node(const entry_settings& settings, event_loop& loop, store_client& store, metrics_registry& metrics);

    /// @brief Starts to poll, to exchange and to decide.
    void start();

    /// @brief Planned stop: is not ready, then takes nothing new, lets running requests finish and hands its pages over.
    void leave(std::function<void()> done);

    [[nodiscard]] bool leaving() const { return m_leaving; }

    /// @brief False from the start of a planned stop; requests are still taken for a moment then.
    [[nodiscard]] bool ready() const { return m_ready && usableConfiguration().has_value(); }

    /// @brief True while this entry may start work: it knows that its control view is current.
    [[nodiscard]] bool fresh() const;

    /// @brief How long ago the exchange began by which this entry is fresh; no value when it is not.
    [[nodiscard]] std::optional<milliseconds> freshAge() const;

    /// @brief The configuration in force, or a refusal while there is none, the view is stale or the entry stops.
    [[nodiscard]] result<std::shared_ptr<const configuration_head>> usableConfiguration() const;

    /// @brief Takes in the control view of a peer or an operator's change that this entry has accepted.
    void offer(const rpc::control_view& view);

    /// @brief Pushes the control view to all agents and peers.
    void pushView();

    /// @brief Writes the control view for an agent, without what the agent has said that it holds.
    void writeView(rpc::ControlView::Builder target, const rpc::view_receiver& receiver);

    /// @brief How long the revision in force has been in force at every entry and worker known; zero if it is not.
    [[nodiscard]] milliseconds inForceEverywhere() const;

    const entry_settings& settings; ///< Outlives the node.
    event_loop& loop;
    store_client& store;
    metrics_registry& metrics;
    control_store controlStore;
    control_keeper control;
    worker_table workers;
    peer_table peers;
    ownership pages;
    worker_health health;
    router routes;
    rpc_agent_gateway agents;
    rpc_gang_gateway gangs;
    request_dispatcher dispatcher;
    claim_service claims;
    job_service jobs;

private:
    [[nodiscard]] std::vector<std::string> liveEntries() const override;
    [[nodiscard]] bool gone(const std::string& entry) const override;
    [[nodiscard]] std::optional<std::string> reportedOwner(const std::string& organisation) const override;

    [[nodiscard]] std::vector<entry_address> liveAddresses() const;
    [[nodiscard]] local_state localState() const;
    void subscribe();
    void configurationChanged();
    void failureDomainsChanged();
    void workerJoined(const worker_record& worker);
    void workerHeard(const worker_record& worker);
    void workerLeft(const std::string& worker);
    void watchRollout(time_point now);
    [[nodiscard]] bool inForceNow() const;
    void finishLeaving(const std::function<void()>& done);

    bool m_ready = true;
    bool m_leaving = false;
    std::optional<time_point> m_inForceSince;
    std::uint64_t m_inForceRevision = 0;
};

} // namespace oriole
