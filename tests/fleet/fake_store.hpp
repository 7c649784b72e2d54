/// @file
/// @brief A record store in memory. Answers are queued until the test calls `run`; writes can be lost, delayed or refused.
#pragma once

#include <fleet/store/record_store.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace fleet::test {

class fake_store final : public record_store {
public:
    /// @brief What happens to the next write.
    enum class write_fate {
        Answered,
        Lost, ///< Applied, but the answer is lost.
        Late, ///< Not answered; applied when `commitLate` is called, if its conditions hold then.
        Refused,
    };

    void get(std::string key, handler<record> done) override
    {
        ++calls;
        answer([this, key, done = std::move(done)] {
            if (down)
                return done(oriole::notRun(oriole::failure_kind::Unavailable, "down"));
            done(find(key));
        });
    }

    void range(std::string prefix, std::string afterKey, handler<record_page> done) override
    {
        answer([this, prefix, afterKey, done = std::move(done)] {
            if (down)
                return done(oriole::notRun(oriole::failure_kind::Unavailable, "down"));
            record_page page;
            page.revision = revision;
            for (const auto& [key, item] : records) {
                if (key.starts_with(prefix) && key > afterKey && page.records.size() < pageSize)
                    page.records.push_back(item);
            }
            page.more = page.records.size() == pageSize;
            done(page);
        });
    }

    void watch(std::string prefix, revision_number after, milliseconds, handler<change_page> done) override
    {
        watches.push_back({ std::move(prefix), after, std::move(done) });
    }

    void commit(record_transaction transaction, handler<commit_outcome> done) override
    {
        ++calls;
        const auto chosen = std::exchange(next, write_fate::Answered);
        if (down || chosen == write_fate::Refused)
            return answer([done = std::move(done)] { done(oriole::notRun(oriole::failure_kind::Unavailable, "refused")); });
        const bool invalid = std::any_of(transaction.writes.begin(), transaction.writes.end(),
            [this](const auto& write) { return write.key == invalidKey; });
        if (invalid)
            return answer([done = std::move(done)] { done(oriole::notRun(oriole::failure_kind::InvalidInput, "value too large")); });
        if (chosen == write_fate::Answered) {
            const auto outcome = commitNow(transaction);
            return answer([outcome, done = std::move(done)] { done(outcome); });
        }
        if (chosen == write_fate::Lost)
            commitNow(transaction);
        else
            late.push_back(std::move(transaction));
        answer([done = std::move(done)] { done(oriole::mayHaveRun(oriole::failure_kind::Timeout, "no answer")); });
    }

    void grantLease(milliseconds, handler<std::int64_t> done) override
    {
        answer([done = std::move(done)] { done(std::int64_t { 7 }); });
    }
    void renewLease(std::int64_t, handler<bool> done) override
    {
        answer([this, done = std::move(done)] { done(leaseValid); });
    }
    void revokeLease(std::int64_t, handler<bool> done) override
    {
        answer([done = std::move(done)] { done(true); });
    }

    /// @brief Delivers all queued answers, and those to the requests that they cause.
    void run()
    {
        while (!m_answers.empty()) {
            const auto due = std::exchange(m_answers, {});
            for (const auto& one : due)
                one();
        }
    }

    void commitLate()
    {
        for (const auto& transaction : std::exchange(late, {}))
            commitNow(transaction);
    }

    void put(const std::string& key, const std::string& value) { commitNow({ {}, { { key, value, 0 } }, {} }); }

    /// @brief Answers all waiting watches with the changes since, or reports that the history was compacted.
    void answerWatches(bool compacted = false)
    {
        for (auto& waiting : std::exchange(watches, {})) {
            change_page page;
            page.compacted = compacted;
            page.revision = revision;
            for (const auto& change : history) {
                if (change.item.revision > waiting.after && change.item.key.starts_with(waiting.prefix))
                    page.changes.push_back(change);
            }
            waiting.done(page);
        }
        run();
    }

    /// @brief Answers only the waiting watches of one prefix, as when the answers of the others are delayed.
    void answerWatchesOf(const std::string& prefix)
    {
        std::vector<waiting_watch> others;
        std::vector<waiting_watch> chosen;
        for (auto& waiting : std::exchange(watches, {}))
            (waiting.prefix == prefix ? chosen : others).push_back(std::move(waiting));
        watches = std::move(chosen);
        answerWatches();
        watches.insert(watches.end(), std::make_move_iterator(others.begin()), std::make_move_iterator(others.end()));
    }

    struct waiting_watch {
        std::string prefix;
        revision_number after = 0;
        handler<change_page> done;
    };

    std::map<std::string, record> records;
    std::vector<record_change> history;
    std::vector<waiting_watch> watches;
    std::vector<record_transaction> late;
    revision_number revision = 100;
    write_fate next = write_fate::Answered;
    std::string invalidKey; ///< A transaction that writes this record is refused for good.
    bool down = false;
    bool leaseValid = true;
    std::size_t pageSize = 500;
    unsigned calls = 0;

private:
    void answer(std::function<void()> one) { m_answers.push_back(std::move(one)); }

    record find(const std::string& key) const
    {
        const auto found = records.find(key);
        return found == records.end() ? record { key, {}, 0 } : found->second;
    }

    commit_outcome commitNow(const record_transaction& transaction)
    {
        commit_outcome outcome;
        outcome.applied = true;
        for (const auto& condition : transaction.conditions) {
            outcome.current.push_back(find(condition.key));
            outcome.applied = outcome.applied && outcome.current.back().revision == condition.revision;
        }
        if (!outcome.applied)
            return outcome;
        outcome.revision = ++revision;
        for (const auto& write : transaction.writes) {
            records[write.key] = { write.key, write.value, revision };
            history.push_back({ records[write.key], false });
        }
        for (const auto& key : transaction.removals) {
            records.erase(key);
            history.push_back({ { key, {}, revision }, true });
        }
        return outcome;
    }

    std::vector<std::function<void()>> m_answers;
};

} // namespace fleet::test
