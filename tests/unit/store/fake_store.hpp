/// @file
/// @brief A store client over memory for tests: answers when told to, and loses replies or fails on demand.
#pragma once

#include <oriole/store/store_client.hpp>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oriole::test {

/// @brief What happens to one call.
enum class fake_fault {
    None,
    NotSent, ///< Not done; fails as `not-run`.
    ReplyLost, ///< Done; fails as `may-have-run`.
    RequestLost, ///< Not done; fails as `may-have-run`.
    Late, ///< Fails as `may-have-run`, and is done when the call after the next one is.
};

/// @brief The keys that several clients share.
struct fake_keys {
    std::int64_t revision = 1;
    std::map<std::string, store_entry> entries;
    std::deque<std::function<void()>> late;
};

/// @brief Calls wait in a queue until @c step answers the oldest one.
class fake_store : public store_client {
public:
    explicit fake_store(fake_keys& keys)
        : m_keys(keys)
    {
    }

    /// @brief Chooses the fault of each call as it is answered.
    std::function<fake_fault()> faults = [] { return fake_fault::None; };

    /// @brief Answers the oldest waiting call.
    /// @return False when none waits.
    bool step()
    {
        if (m_waiting.empty())
            return false;
        const auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        next();
        return true;
    }

    void stepAll()
    {
        while (step()) { }
    }

    void get(std::string key, handler<store_entry> done) override
    {
        enqueue<store_entry>(
            [this, key] {
                const auto found = m_keys.entries.find(key);
                return found == m_keys.entries.end() ? store_entry { key, {}, 0 } : found->second;
            },
            std::move(done), false);
    }

    void list(std::string prefix, handler<store_snapshot> done) override
    {
        enqueue<store_snapshot>(
            [this, prefix] {
                store_snapshot snapshot { m_keys.revision, {} };
                for (const auto& [key, entry] : m_keys.entries) {
                    if (key.starts_with(prefix))
                        snapshot.entries.push_back(entry);
                }
                return snapshot;
            },
            std::move(done), false);
    }

    void compareAndSwap(std::vector<store_write> writes, handler<cas_outcome> done) override
    {
        enqueue<cas_outcome>([this, writes] { return apply(writes); }, std::move(done), true);
    }

    void grantLease(std::chrono::seconds, handler<std::int64_t> done) override
    {
        enqueue<std::int64_t>([this] { return ++m_lease; }, std::move(done), true);
    }

    void renewLease(std::int64_t, handler<std::chrono::seconds> done) override
    {
        enqueue<std::chrono::seconds>([] { return std::chrono::seconds(10); }, std::move(done), true);
    }

    void revokeLease(std::int64_t, handler<bool> done) override
    {
        enqueue<bool>([] { return true; }, std::move(done), true);
    }

    [[nodiscard]] store_health health() const override { return store_health::Up; }
    [[nodiscard]] std::uint64_t calls() const override { return m_calls; }

private:
    template <typename Value>
    void enqueue(std::function<Value()> perform, handler<Value> done, bool write)
    {
        ++m_calls;
        m_waiting.push_back([this, perform = std::move(perform), done = std::move(done), write] {
            const auto fault = faults();
            if (m_keys.late.size() > 1) {
                const auto late = std::move(m_keys.late.front());
                m_keys.late.pop_front();
                late();
            }
            if (fault == fake_fault::None) {
                done(perform());
                return;
            }
            if (fault == fake_fault::ReplyLost)
                perform();
            if (fault == fake_fault::Late && write)
                m_keys.late.push_back([perform] { perform(); });
            const bool sure = fault == fake_fault::NotSent || !write;
            done(sure ? notRun(failure_kind::Unavailable, "fake outage") : mayHaveRun(failure_kind::Timeout, "fake loss"));
        });
    }

    cas_outcome apply(const std::vector<store_write>& writes)
    {
        for (const auto& write : writes) {
            const auto found = m_keys.entries.find(write.key);
            const auto current = found == m_keys.entries.end() ? 0 : found->second.modRevision;
            if (current != write.expectedModRevision)
                return { false, m_keys.revision };
        }
        ++m_keys.revision;
        for (const auto& write : writes)
            m_keys.entries[write.key] = { write.key, write.value, m_keys.revision };
        return { true, m_keys.revision };
    }

    fake_keys& m_keys;
    std::deque<std::function<void()>> m_waiting;
    std::uint64_t m_calls = 0;
    std::int64_t m_lease = 0;
};

} // namespace oriole::test
