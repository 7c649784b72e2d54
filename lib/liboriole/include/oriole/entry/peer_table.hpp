/// @file
/// @brief The other entries, as this one hears them.
#pragma once

#include <oriole/control/control_state.hpp>
#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/event_source.hpp>
#include <oriole/rpc/connection.hpp>
#include <oriole/rpc/convert.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriole {

struct page_ownership {
    std::string organisation;
    std::uint64_t epoch = 0;

    auto operator<=>(const page_ownership&) const = default;
};

/// @brief What a peer last said.
struct peer_state {
    entry_address address;
    bool readsStore = false;
    bool leaving = false;
    std::uint64_t configurationRevision = 0;
    std::vector<page_ownership> owned;
};

/// @brief Connects to every entry it learns of and exchanges states with it twice a second.
class peer_table {
public:
    /// @brief Fills in this entry's own state; the argument is the configuration revision that the peer holds.
    using state_writer = std::function<void(rpc::PeerState::Builder, std::uint64_t)>;

    peer_table(event_loop& loop, std::string self, state_writer writeOwn);

    /// @brief Learns of an entry; known ones are kept.
    void learn(const entry_address& peer);

    /// @brief Learns of an address whose entry's name will be told in the first exchange.
    void learnSeed(const endpoint& address);

    /// @brief Takes in the state that a peer sent by itself or in reply.
    /// @param sent When the request left, or when it came in: the state is no older than that.
    void heard(rpc::PeerState::Reader state, time_point sent);

    /// @brief Exchanges with all peers now, without waiting for the next turn.
    void exchangeNow();

    /// @brief True when the peer was heard within the freshness limit and is not leaving.
    [[nodiscard]] bool live(const std::string& name) const;

    [[nodiscard]] std::vector<peer_state> livePeers() const;

    /// @brief True when some live peer reads the store.
    [[nodiscard]] bool anyReadsStore() const;

    /// @brief True when no peer known is silent: each is live, has said that it leaves, or refuses connections.
    [[nodiscard]] bool noneSilent() const;

    /// @brief The live entry that says it owns the organisation.
    [[nodiscard]] std::optional<std::string> ownerOf(const std::string& organisation) const;

    /// @brief The RPC interface of a live peer.
    [[nodiscard]] std::optional<rpc::Entry::Client> client(const std::string& name);

    /// @brief Emitted with the control view that a peer sent.
    event_source<rpc::control_view> viewHeard;

private:
    struct peer {
        peer_state state;
        kj::Own<rpc::connection> connection;
        std::optional<rpc::Entry::Client> client;
        time_point lastHeard;
        bool everHeard = false;
        bool refusing = false; ///< The last connection was refused: no process listens there.
        bool exchanging = false;
        bool connecting = false;
    };

    void exchangeWith(const std::string& key);
    void connect(const std::string& key);
    [[nodiscard]] bool live(const peer& candidate) const;

    event_loop& m_loop;
    std::string m_self;
    state_writer m_writeOwn;
    std::map<std::string, peer> m_peers; ///< By RPC address.
};

} // namespace oriole
