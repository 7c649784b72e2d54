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

/// @brief What this entry tells its peers about itself.
struct local_state {
    entry_address address;
    bool readsStore = false;
    bool fresh = false;
    bool leaving = false;
    control_state control;
    std::vector<entry_address> entries; ///< Live ones, this one included.
    std::vector<page_ownership> owned;
};

/// @brief Connects to every entry it learns of and exchanges states with it twice a second.
///
/// Each entry numbers its states and tells which state of the other side it holds. While both hold the newest, a short
/// beat goes instead of the state, and only from the entry with the lower name: its beat and the reply to it serve both.
/// Whatever is lost, late or from an earlier run leaves a number unacknowledged, so that the whole state is sent again.
class peer_table {
public:
    using state_source = std::function<local_state()>;

    /// @param run Random per start of the process, not 0.
    peer_table(event_loop& loop, std::string self, std::uint64_t run, state_source own);
    ~peer_table();
    peer_table(const peer_table&) = delete;
    peer_table& operator=(const peer_table&) = delete;

    /// @brief Learns of an entry; known ones are kept.
    void learn(const entry_address& peer);

    /// @brief Learns of an address whose entry's name will be told in the first exchange.
    void learnSeed(const endpoint& address);

    /// @brief Takes in the state that a peer sent in reply.
    /// @param sent When the request left: the state is no older than that.
    void heard(rpc::PeerState::Reader reply, time_point sent);

    /// @brief Answers a peer's exchange.
    void answer(rpc::PeerState::Reader request, rpc::PeerState::Builder reply);

    /// @brief Answers a peer's beat.
    void answer(rpc::Entry::BeatParams::Reader request, rpc::Entry::BeatResults::Builder reply);

    /// @brief Takes in the reply to a beat.
    /// @param sent When the beat left.
    void heard(rpc::Entry::BeatResults::Reader reply, const std::string& rpcAddress, time_point sent);

    /// @brief True while the peer at the address and this entry hold each other's newest states, as far as known.
    [[nodiscard]] bool inStep(const std::string& rpcAddress);

    /// @brief Writes this entry's state for the peer at the address, without the lists that it has acknowledged.
    void writeState(rpc::PeerState::Builder target, const std::string& rpcAddress);

    /// @brief Writes a beat for the peer at the address.
    void writeBeat(rpc::Entry::BeatParams::Builder target, const std::string& rpcAddress);

    /// @brief Exchanges with all peers now, without waiting for the next turn.
    void exchangeNow();

    /// @brief True when the peer was heard within the freshness limit and is not leaving.
    [[nodiscard]] bool live(const std::string& name) const;

    [[nodiscard]] std::vector<peer_state> livePeers() const;

    /// @brief True when some live peer reads the store.
    [[nodiscard]] bool anyReadsStore() const;

    /// @brief How long ago the live peers that read the store were heard, the latest of them; no value without one.
    [[nodiscard]] std::optional<milliseconds> readerAge() const;

    /// @brief How long ago the live peer was heard that has been silent for longest; 0 without a live one.
    [[nodiscard]] milliseconds longestSilence() const;

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
        std::uint64_t run = 0; ///< Of the process whose state is held; 0: none, or one that numbers nothing.
        std::uint64_t version = 0; ///< Of the state that is held.
        std::uint64_t acknowledged = 0; ///< Version of this entry's state that the peer holds.
        std::uint64_t stamp = 0; ///< The last one that it told; goes back as an echo.
        kj::Own<rpc::connection> connection;
        std::optional<rpc::Entry::Client> client;
        time_point lastHeard;
        time_point lastAsked; ///< When its last message came that asked for an answer.
        bool everHeard = false;
        std::string aliasOf; ///< Another address of the entry that answers here; this one is not used then.
        bool outdated = false; ///< It has said that it has a newer state than the one held.
        bool refusing = false; ///< The last connection was refused: no process listens there.
        bool exchanging = false;
        bool connecting = false;
        unsigned leftToPeer = 0; ///< Turns in a row on which the peer's own beat served.
    };

    /// @brief What a message tells of the sender's knowledge.
    struct acknowledgement {
        std::uint64_t run = 0;
        std::uint64_t version = 0;
        std::uint64_t stamp = 0;
        std::uint64_t echo = 0;
    };

    void refreshOwn();
    void exchangeWith(const std::string& key);
    kj::Promise<void> sendState(const std::string& key);
    kj::Promise<void> sendBeat(const std::string& key);
    void stateAnswered(const std::string& key, rpc::PeerState::Reader reply, time_point sent);
    void exchangeEnded(const std::string& key, bool beat, std::uint64_t base);
    [[nodiscard]] bool inStep(const peer& known) const;
    [[nodiscard]] bool servedByPeer(const peer& known) const;
    void connect(const std::string& key);
    void connected(const std::string& key, kj::Own<rpc::connection> opened);
    /// @brief What a state and a beat share: own run and version, and what is held of the peer.
    template <typename Builder>
    void writeNumbers(Builder target, const peer& known) const;
    void writeState(rpc::PeerState::Builder target, const peer& known) const;
    void takeState(peer& known, rpc::PeerState::Reader source, std::optional<time_point> heardAt);
    void takeRun(peer& known, std::uint64_t run);
    void take(peer& known, const acknowledgement& told);
    void take(peer& known, rpc::PeerState::Reader source);
    void noteHeard(peer& known, time_point sent);
    [[nodiscard]] std::optional<time_point> writtenAfter(const acknowledgement& told) const;
    [[nodiscard]] std::uint64_t ownStamp() const;
    [[nodiscard]] bool live(const peer& candidate) const;

    event_loop& m_loop;
    std::string m_self;
    std::uint64_t m_run;
    state_source m_source;
    local_state m_own;
    std::uint64_t m_version = 0;
    std::uint64_t m_entriesVersion = 0; ///< Version in which the list of entries changed last.
    std::uint64_t m_ownedVersion = 0;
    std::map<std::string, peer> m_peers; ///< By RPC address.
    timer_service::subscription_id m_turn = 0;
};

} // namespace oriole
