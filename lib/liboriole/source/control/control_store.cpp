#include <oriole/control/control_store.hpp>

#include <oriole/control/control_records.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace oriole {

namespace {

constexpr unsigned mostSteps = 12; ///< Writes and read-backs of one operation that may fail before it gives up.
constexpr milliseconds stepDelay { 150 };
constexpr std::size_t rememberedWriteIds = 32;
constexpr std::size_t longestDocumentBytes = 256 << 10; ///< The store holds values up to a megabyte.

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

/// @brief Parses a document that is to be accepted, and checks what only shows against its surroundings.
result<configuration> checkedDocument(const std::string& document, const std::string& environment)
{
    if (document.size() > longestDocumentBytes)
        return notRun(failure_kind::TooLarge, "document longer than " + std::to_string(longestDocumentBytes) + " bytes");
    auto parsed = parseConfiguration(document);
    if (parsed.has_error())
        return parsed;
    if (parsed.value().environment != environment)
        return notRun(failure_kind::InvalidInput,
            "environment: '" + parsed.value().environment + "' is not this environment, '" + environment + "'");
    const auto capacity = checkCapacity(parsed.value());
    if (!capacity.errors.empty())
        return notRun(failure_kind::InvalidInput, capacity.errors.front());
    return parsed;
}

failure conflictWith(const configuration_record& other)
{
    return notRun(failure_kind::Conflict,
        "revision " + std::to_string(other.revision) + " by '" + other.author + "' (" + other.digest + ") came first");
}

} // namespace

struct control_store::state : std::enable_shared_from_this<state> {
    state(store_client& client, const std::string& environment, timer_service* timerService)
        : store(client)
        , keys(environment)
        , name(environment)
        , timers(timerService)
        , random(std::random_device {}())
    {
    }

    std::string newWriteId() { return std::to_string(random()) + "-" + std::to_string(++writes); }

    /// @brief Runs @p step after a delay, where time is to be had.
    void later(std::function<void()> step)
    {
        if (timers == nullptr) {
            step();
            return;
        }
        timers->subscribeOnce(stepDelay, [weak = weak_from_this(), step = std::move(step)](time_point) {
            if (const auto self = weak.lock())
                step();
        });
    }

    result<control_snapshot> decode(const store_snapshot& found);
    result<std::shared_ptr<const configuration_head>> decodeConfiguration(const std::string& value);

    store_client& store;
    control_keys keys;
    std::string name;
    timer_service* timers;
    std::mt19937_64 random;
    std::uint64_t writes = 0;
    std::string parsedValue; ///< The value that @c parsed was made from.
    std::shared_ptr<const configuration_head> parsed;
};

// Most reads find the configuration of the read before, which then is not parsed again.
result<std::shared_ptr<const configuration_head>> control_store::state::decodeConfiguration(const std::string& value)
{
    if (parsed != nullptr && value == parsedValue)
        return parsed;
    const auto head = decodeHead(value);
    if (head.has_error())
        return head.error();
    const auto document = parseConfiguration(head.value().document);
    if (document.has_error())
        return notRun(failure_kind::Broken, "the stored configuration is not valid: " + document.error().reason);
    parsed = std::make_shared<const configuration_head>(
        configuration_head { head.value().accepted.revision, head.value().document, document.value() });
    parsedValue = value;
    return parsed;
}

result<control_snapshot> control_store::state::decode(const store_snapshot& found)
{
    control_snapshot snapshot;
    for (const auto& entry : found.entries) {
        if (entry.key == keys.configuration) {
            auto head = decodeConfiguration(entry.value);
            if (head.has_error())
                return head.error();
            snapshot.configuration = head.value();
        } else if (entry.key == keys.failureDomains) {
            const auto record = decodeFailureDomains(entry.value);
            if (record.has_error())
                return record.error();
            snapshot.failureDomains = record.value().states;
        } else if (entry.key.starts_with(keys.entries)) {
            const auto address = decodeEntry(entry.value);
            if (address.has_error())
                return address.error();
            snapshot.entries.push_back(address.value());
        }
    }
    return snapshot;
}

namespace {

/// @brief One attempt to have a configuration accepted, up to its true end.
///
/// Every write carries the same expected revision, so at most one of them takes effect, and once another revision
/// is there none of them can any more. The history record of the revision tells whose write it was.
template <typename State>
class apply_operation : public std::enable_shared_from_this<apply_operation<State>> {
public:
    using handler = store_client::handler<std::shared_ptr<const configuration_head>>;

    apply_operation(std::weak_ptr<State> owner, head_record wanted, configuration parsed, handler done)
        : m_owner(std::move(owner))
        , m_wanted(std::move(wanted))
        , m_parsed(std::move(parsed))
        , m_done(std::move(done))
    {
    }

    void start(std::uint64_t expectedRevision)
    {
        const auto owner = m_owner.lock();
        owner->store.get(owner->keys.configuration,
            guarded([this, expectedRevision](result<store_entry> found) { checkHead(found, expectedRevision); }));
    }

private:
    // Keeps the operation alive over a call, and drops the answer when the control store is gone.
    template <typename Step>
    auto guarded(Step step)
    {
        return [self = this->shared_from_this(), step](auto answer) {
            if (!self->m_owner.expired())
                step(std::move(answer));
        };
    }

    void checkHead(const result<store_entry>& found, std::uint64_t expectedRevision)
    {
        if (found.has_error()) {
            m_done(found.error());
            return;
        }
        m_modRevision = found.value().modRevision;
        std::uint64_t revision = 0;
        if (m_modRevision != 0) {
            const auto head = decodeHead(found.value().value);
            if (head.has_error()) {
                m_done(head.error());
                return;
            }
            revision = head.value().accepted.revision;
            if (revision != expectedRevision) {
                m_done(conflictWith(head.value().accepted));
                return;
            }
        }
        if (revision != expectedRevision) {
            m_done(notRun(failure_kind::Conflict, "no configuration has been accepted yet; expect revision 0"));
            return;
        }
        write();
    }

    void write()
    {
        const auto owner = m_owner.lock();
        std::vector<store_write> writes;
        writes.push_back({ owner->keys.configuration, m_modRevision, encode(m_wanted), 0 });
        writes.push_back({ owner->keys.historyOf(m_wanted.accepted.revision), 0,
            encode(history_record { m_wanted.accepted, m_wanted.writeId }), 0 });
        owner->store.compareAndSwap(
            std::move(writes), guarded([this](const result<cas_outcome>& outcome) { written(outcome); }));
    }

    void written(const result<cas_outcome>& outcome)
    {
        if (outcome.has_value()) {
            m_answered = true;
            m_applied = m_applied || outcome.value().applied;
            readBack();
            return;
        }
        if (outcome.error().ran == verdict::NotRun && !m_sent) {
            m_done(outcome.error());
            return;
        }
        m_sent = true;
        repeat([this] { readBack(); }, outcome.error());
    }

    void readBack()
    {
        const auto owner = m_owner.lock();
        owner->store.get(owner->keys.historyOf(m_wanted.accepted.revision),
            guarded([this](const result<store_entry>& found) { judge(found); }));
    }

    void judge(const result<store_entry>& found)
    {
        if (found.has_error()) {
            repeat([this] { readBack(); }, found.error());
            return;
        }
        if (found.value().modRevision == 0) {
            // Not there: a lost write may still be on its way, and only a write that was answered settles it.
            if (m_answered && !m_applied)
                m_done(notRun(failure_kind::Conflict, "another change came first"));
            else
                repeat([this] { write(); }, mayHaveRun(failure_kind::Broken, "the write is not to be seen"));
            return;
        }
        const auto record = decodeHistory(found.value().value);
        if (record.has_error())
            m_done(mayHaveRun(failure_kind::Broken, record.error().reason));
        else if (record.value().writeId == m_wanted.writeId)
            m_done(std::make_shared<const configuration_head>(
                configuration_head { m_wanted.accepted.revision, m_wanted.document, m_parsed }));
        else
            m_done(conflictWith(record.value().accepted));
    }

    template <typename Step>
    void repeat(Step step, const failure& cause)
    {
        if (++m_steps >= mostSteps) {
            giveUp(cause);
            return;
        }
        m_owner.lock()->later([self = this->shared_from_this(), step] { step(); });
    }

    void giveUp(const failure& cause)
    {
        if (m_answered && !m_applied && !m_sent)
            m_done(notRun(failure_kind::Conflict, "another change came first, and the store could not be read back"));
        else
            m_done(mayHaveRun(cause.kind, "the change could not be read back: " + cause.reason));
    }

    std::weak_ptr<State> m_owner;
    head_record m_wanted;
    configuration m_parsed;
    handler m_done;
    std::int64_t m_modRevision = 0;
    unsigned m_steps = 0;
    bool m_sent = false; ///< A write was sent whose answer is not known.
    bool m_answered = false;
    bool m_applied = false;
};

/// @brief One change of the state of a failure domain, repeated until its outcome is known.
template <typename State>
class failure_domain_operation : public std::enable_shared_from_this<failure_domain_operation<State>> {
public:
    using handler = store_client::handler<failure_domain_states>;

    failure_domain_operation(
        std::weak_ptr<State> owner, std::string failureDomain, bool out, std::string author, handler done)
        : m_owner(std::move(owner))
        , m_failureDomain(std::move(failureDomain))
        , m_out(out)
        , m_author(std::move(author))
        , m_done(std::move(done))
        , m_writeId(m_owner.lock()->newWriteId())
    {
    }

    void read()
    {
        const auto owner = m_owner.lock();
        owner->store.get(
            owner->keys.failureDomains, guarded([this](const result<store_entry>& found) { judge(found); }));
    }

private:
    template <typename Step>
    auto guarded(Step step)
    {
        return [self = this->shared_from_this(), step](auto answer) {
            if (!self->m_owner.expired())
                step(std::move(answer));
        };
    }

    void judge(const result<store_entry>& found)
    {
        if (found.has_error()) {
            if (m_sent)
                repeat(found.error());
            else
                m_done(found.error());
            return;
        }
        failure_domains_record record;
        if (found.value().modRevision != 0) {
            auto decoded = decodeFailureDomains(found.value().value);
            if (decoded.has_error()) {
                m_done(m_sent ? mayHaveRun(failure_kind::Broken, decoded.error().reason) : decoded.error());
                return;
            }
            record = std::move(decoded.value());
        }
        const auto& ids = record.recentWriteIds;
        const bool written = std::find(ids.begin(), ids.end(), m_writeId) != ids.end();
        if (written || record.states.out.contains(m_failureDomain) == m_out) {
            m_done(record.states);
            return;
        }
        write(std::move(record), found.value().modRevision);
    }

    void write(failure_domains_record record, std::int64_t modRevision)
    {
        ++record.states.revision;
        if (m_out)
            record.states.out.insert(m_failureDomain);
        else
            record.states.out.erase(m_failureDomain);
        record.author = m_author;
        record.recentWriteIds.push_back(m_writeId);
        if (record.recentWriteIds.size() > rememberedWriteIds)
            record.recentWriteIds.erase(record.recentWriteIds.begin());

        const auto owner = m_owner.lock();
        owner->store.compareAndSwap({ { owner->keys.failureDomains, modRevision, encode(record), 0 } },
            guarded([this](const result<cas_outcome>& outcome) { written(outcome); }));
    }

    void written(const result<cas_outcome>& outcome)
    {
        if (outcome.has_error() && outcome.error().ran == verdict::NotRun && !m_sent) {
            m_done(outcome.error());
            return;
        }
        if (outcome.has_error()) {
            m_sent = true;
            repeat(outcome.error());
            return;
        }
        m_sent = m_sent || outcome.value().applied;
        if (outcome.value().applied)
            read();
        else
            repeat(notRun(failure_kind::Conflict, "other operators keep changing the failure domains"));
    }

    void repeat(const failure& cause)
    {
        if (++m_steps >= mostSteps) {
            m_done(m_sent ? mayHaveRun(cause.kind, "the change could not be read back: " + cause.reason) : cause);
            return;
        }
        m_owner.lock()->later([self = this->shared_from_this()] { self->read(); });
    }

    std::weak_ptr<State> m_owner;
    std::string m_failureDomain;
    bool m_out;
    std::string m_author;
    handler m_done;
    std::string m_writeId;
    unsigned m_steps = 0;
    bool m_sent = false; ///< A write was sent that took effect, or may have.
};

} // namespace

control_store::control_store(store_client& store, const std::string& environment, timer_service* timers)
    : m_state(std::make_shared<state>(store, environment, timers))
{
}

control_store::~control_store() = default;

void control_store::read(handler<control_snapshot> done)
{
    m_state->store.list(m_state->keys.prefix,
        [weak = std::weak_ptr(m_state), done = std::move(done)](const result<store_snapshot>& found) {
            const auto self = weak.lock();
            if (self == nullptr)
                return;
            if (found.has_error())
                done(found.error());
            else
                done(self->decode(found.value()));
        });
}

void control_store::apply(std::uint64_t expectedRevision, std::string document, std::string author,
    handler<std::shared_ptr<const configuration_head>> done)
{
    const auto parsed = checkedDocument(document, m_state->name);
    if (parsed.has_error()) {
        done(parsed.error());
        return;
    }

    head_record wanted;
    wanted.accepted = { expectedRevision + 1, digestOf(document), std::move(author), unixMilliseconds() };
    wanted.writeId = m_state->newWriteId();
    wanted.document = std::move(document);
    std::make_shared<apply_operation<state>>(m_state, std::move(wanted), parsed.value(), std::move(done))
        ->start(expectedRevision);
}

void control_store::setFailureDomain(
    std::string failureDomain, bool out, std::string author, handler<failure_domain_states> done)
{
    std::make_shared<failure_domain_operation<state>>(
        m_state, std::move(failureDomain), out, std::move(author), std::move(done))
        ->read();
}

void control_store::history(handler<std::vector<configuration_record>> done)
{
    m_state->store.list(m_state->keys.history, [done = std::move(done)](const result<store_snapshot>& found) {
        if (found.has_error()) {
            done(found.error());
            return;
        }
        std::vector<configuration_record> records;
        for (const auto& entry : found.value().entries) {
            const auto record = decodeHistory(entry.value);
            if (record.has_error()) {
                done(record.error());
                return;
            }
            records.push_back(record.value().accepted);
        }
        std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return right.revision < left.revision; });
        done(std::move(records));
    });
}

void control_store::announceEntry(const entry_address& entry, std::int64_t lease, handler<bool> done)
{
    const auto key = m_state->keys.entries + entry.name;
    auto write = [weak = std::weak_ptr(m_state), key, value = encode(entry, lease), lease, done = std::move(done)](
                     const result<store_entry>& found) {
        const auto self = weak.lock();
        if (self == nullptr)
            return;
        if (found.has_error()) {
            done(found.error());
            return;
        }
        // Written before, by a call whose reply was lost.
        if (found.value().value == value) {
            done(true);
            return;
        }
        self->store.compareAndSwap(
            { { key, found.value().modRevision, value, lease } }, [done](const result<cas_outcome>& outcome) {
                if (outcome.has_error())
                    done(outcome.error());
                else
                    done(outcome.value().applied);
            });
    };
    m_state->store.get(key, std::move(write));
}

} // namespace oriole
