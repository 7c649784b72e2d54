#include <oriole/helpers/log.hpp>
#include <oriole/helpers/random.hpp>
#include <oriole/pages/page_keeper.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds groupDelay { 5 };
constexpr milliseconds firstRetryDelay { 50 };
constexpr milliseconds longestRetryDelay { 1000 };
constexpr milliseconds releasePatience { 3000 };

// The store holds values up to a megabyte.
constexpr std::size_t fullPageBytes = 700UL * 1024UL;

} // namespace

page_keeper::page_keeper(store_client& store, timer_service& timers, std::string environment, std::string organisation,
    std::string entry)
    : m_store(store)
    , m_timers(timers)
    , m_environment(std::move(environment))
    , m_entry(std::move(entry))
    , m_retryDelay(firstRetryDelay)
{
    m_committed.organisation = std::move(organisation);
    m_working = m_committed;
}

std::string page_keeper::key() const
{
    return "/oriole/" + m_environment + "/pages/" + m_committed.organisation;
}

bool page_keeper::full() const
{
    return m_bytes > fullPageBytes;
}

void page_keeper::acquire(owner_check mayReplace, acquisition_handler done)
{
    const auto take = [self = shared_from_this(), mayReplace = std::move(mayReplace), done = std::move(done)](
                          const result<store_entry>& read) {
        if (!read) {
            done(read.error());
            return;
        }

        organisation_page page;
        page.organisation = self->m_committed.organisation;
        if (read.value().modRevision != 0) {
            const auto decoded = decodePage(read.value().value);
            if (!decoded) {
                done(notRun(failure_kind::Broken, "the stored page of " + page.organisation + " is not readable"));
                return;
            }
            page = *decoded;
        }

        const bool foreign = !page.owner.empty() && page.owner != self->m_entry;
        if (foreign && !mayReplace(page.owner)) {
            done(acquisition::OwnedElsewhere);
            return;
        }
        self->takeOver(read.value().modRevision, std::move(page), done);
    };
    m_store.get(key(), take);
}

void page_keeper::takeOver(std::int64_t modRevision, organisation_page page, acquisition_handler done)
{
    page.owner = m_entry;
    page.token = randomId();
    page.epoch += 1;
    page.sequence = 0;

    std::vector<store_write> writes { { key(), modRevision, encodePage(page), 0 } };
    const auto taken = [self = shared_from_this(), page = std::move(page), done = std::move(done)](
                           const result<cas_outcome>& outcome) {
        if (!outcome && outcome.error().ran != verdict::NotRun) {
            self->confirmTakeOver(page, done);
            return;
        }
        if (!outcome) {
            done(outcome.error());
            return;
        }
        if (!outcome.value().applied) {
            done(acquisition::Raced);
            return;
        }
        self->adopt(page, outcome.value().revision);
        done(acquisition::Acquired);
    };
    m_store.compareAndSwap(std::move(writes), taken);
}

void page_keeper::confirmTakeOver(const organisation_page& wanted, acquisition_handler done)
{
    const auto check = [self = shared_from_this(), token = wanted.token, done = std::move(done)](
                           const result<store_entry>& read) {
        if (!read) {
            done(read.error());
            return;
        }
        auto page = decodePage(read.value().value);
        if (!page || page->token != token) {
            done(acquisition::Raced);
            return;
        }
        self->adopt(std::move(*page), read.value().modRevision);
        done(acquisition::Acquired);
    };
    m_store.get(key(), check);
}

void page_keeper::adopt(organisation_page page, std::int64_t modRevision)
{
    m_committed = std::move(page);
    m_working = m_committed;
    m_modRevision = modRevision;
    m_owned = true;
    m_nextSequence = m_committed.sequence + 1;
    m_sentSequence = m_committed.sequence;
    m_pending.clear();
}

void page_keeper::update(change apply, std::optional<milliseconds> patience, handler done)
{
    if (!m_owned) {
        done(notRun(failure_kind::Unavailable, "this entry does not own the organisation"));
        return;
    }

    const auto sequence = m_nextSequence++;
    apply(m_working);
    m_working.sequence = sequence;
    m_pending.push_back({ sequence, std::move(apply), std::move(done), false, false });
    if (patience) {
        m_timers.subscribeOnce(*patience, [weak = weak_from_this(), sequence](time_point) {
            if (const auto self = weak.lock(); self != nullptr)
                self->expire(sequence);
        });
    }
    schedule(groupDelay);
}

void page_keeper::release(handler done)
{
    const auto released = [self = shared_from_this(), done = std::move(done)](const result<bool>& outcome) {
        if (outcome)
            self->m_owned = false;
        done(outcome);
    };
    update([](organisation_page& page) { page.owner.clear(); }, releasePatience, released);
}

void page_keeper::schedule(milliseconds delay)
{
    if (m_scheduled || m_busy)
        return;

    m_scheduled = true;
    m_timers.subscribeOnce(delay, [weak = weak_from_this()](time_point) {
        if (const auto self = weak.lock(); self != nullptr) {
            self->m_scheduled = false;
            self->write();
        }
    });
}

void page_keeper::write()
{
    if (!m_owned || m_busy || m_pending.empty())
        return;

    m_busy = true;
    auto page = m_working;
    dropExpired(page, unixMilliseconds());
    auto text = encodePage(page);
    m_bytes = text.size();
    m_sentSequence = page.sequence;

    std::vector<store_write> writes { { key(), m_modRevision, std::move(text), 0 } };
    const auto finished = [self = shared_from_this(), page = std::move(page)](const result<cas_outcome>& outcome) {
        self->m_busy = false;
        self->written(page, outcome);
    };
    m_store.compareAndSwap(std::move(writes), finished);
}

void page_keeper::written(const organisation_page& page, const result<cas_outcome>& outcome)
{
    if (outcome && outcome.value().applied) {
        m_committed = page;
        m_modRevision = outcome.value().revision;
        m_retryDelay = firstRetryDelay;
        settle(page.sequence);
        return;
    }

    // Another write came first: one of ours whose reply was lost, or that of a new owner.
    if (outcome) {
        readBack();
        return;
    }

    if (outcome.error().ran != verdict::NotRun) {
        for (auto& waiting : m_pending)
            waiting.written = waiting.written || waiting.sequence <= page.sequence;
        readBack();
        return;
    }
    schedule(nextRetryDelay());
}

void page_keeper::readBack()
{
    m_busy = true;
    const auto check = [self = shared_from_this()](const result<store_entry>& read) {
        if (!read) {
            self->readBackAfterDelay();
            return;
        }

        self->m_busy = false;
        auto page = decodePage(read.value().value);
        if (!page || page->token != self->m_committed.token) {
            self->lose();
            return;
        }
        self->m_committed = std::move(*page);
        self->m_modRevision = read.value().modRevision;
        self->m_retryDelay = firstRetryDelay;
        self->settle(self->m_committed.sequence);
    };
    m_store.get(key(), check);
}

void page_keeper::readBackAfterDelay()
{
    m_timers.subscribeOnce(nextRetryDelay(), [self = shared_from_this()](time_point) { self->readBack(); });
}

void page_keeper::settle(std::uint64_t sequence)
{
    std::vector<handler> finished;
    while (!m_pending.empty() && m_pending.front().sequence <= sequence) {
        if (!m_pending.front().expired)
            finished.push_back(std::move(m_pending.front().done));
        m_pending.pop_front();
    }
    rebuild();
    if (!m_pending.empty())
        schedule(groupDelay);
    for (const auto& done : finished)
        done(true);
}

void page_keeper::expire(std::uint64_t sequence)
{
    const auto found = std::find_if(
        m_pending.begin(), m_pending.end(), [&](const auto& waiting) { return waiting.sequence == sequence; });
    if (found == m_pending.end() || found->expired)
        return;

    const auto done = found->done;
    if (const bool onItsWay = m_busy && sequence <= m_sentSequence; found->written || onItsWay) {
        found->expired = true;
        done(mayHaveRun(failure_kind::Timeout, "the store did not confirm the write in time"));
        return;
    }
    m_pending.erase(found);
    rebuild();
    done(notRun(failure_kind::Unavailable, "the store could not be written in time"));
}

void page_keeper::rebuild()
{
    m_working = m_committed;
    for (const auto& waiting : m_pending) {
        waiting.apply(m_working);
        m_working.sequence = waiting.sequence;
    }
}

void page_keeper::lose()
{
    logEvent(log_level::Warning, "page_lost", { { "organisation", m_committed.organisation } });
    m_owned = false;
    const auto abandoned = std::exchange(m_pending, {});
    for (const auto& waiting : abandoned) {
        if (waiting.expired)
            continue;
        const std::string reason = "the organisation moved to another entry";
        if (waiting.written)
            waiting.done(mayHaveRun(failure_kind::Unavailable, reason));
        else
            waiting.done(notRun(failure_kind::Unavailable, reason));
    }
    if (m_onLost)
        m_onLost();
}

milliseconds page_keeper::nextRetryDelay()
{
    const auto delay = m_retryDelay;
    m_retryDelay = std::min(m_retryDelay * 2, longestRetryDelay);
    return delay;
}

} // namespace oriole
