#include <oriole/store/etcd_store_client.hpp>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/token_bucket.hpp>
#include <oriole/helpers/worker_pool.hpp>
#include <oriole/store/etcd_codec.hpp>

#include <atomic>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

namespace oriole {

namespace {

constexpr unsigned httpOk = 200;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpTooManyRequests = 429;

// With less time left than this a call is not sent any more, so that it ends as `not-run`.
constexpr milliseconds leastTimeToSend { 10 };

enum class call_kind {
    Read,
    Write,
};

/// @brief One HTTP exchange, shared between the event loop and the thread that makes it.
struct exchange_slot {
    enum class stage {
        Queued,
        Sent,
        Abandoned,
    };

    /// @return True when the exchange was still queued, so that it will never be sent.
    bool abandon()
    {
        auto expected = stage::Queued;
        return current.compare_exchange_strong(expected, stage::Abandoned);
    }

    /// @return False when the exchange was abandoned.
    bool send()
    {
        auto expected = stage::Queued;
        return current.compare_exchange_strong(expected, stage::Sent);
    }

    std::atomic<stage> current { stage::Queued };
    std::optional<result<http_reply>> reply;
    milliseconds latency { 0 };
};

/// @brief An exchange whose outcome is still awaited.
struct pending_call {
    std::shared_ptr<exchange_slot> slot;
    timer_service::subscription_id deadline = 0;
    std::function<void(result<http_reply>)> finish;
};

// A read changes nothing, so a read that failed has not run, whatever happened on the way.
failure failureOf(call_kind kind, failure error)
{
    if (kind == call_kind::Read)
        error.ran = verdict::NotRun;
    return error;
}

// Only refusals that the store makes before it takes a write count as `not-run`: its rate limit, and a key or a
// lease that does not exist. Any other status may come after the write.
result<std::string> bodyOf(const http_reply& reply)
{
    if (reply.status == httpOk)
        return reply.body;
    const auto reason = "the store answered with status " + std::to_string(reply.status);
    if (reply.status == httpTooManyRequests)
        return notRun(failure_kind::Overloaded, reason);
    if (reply.status == httpNotFound)
        return notRun(failure_kind::NotFound, reason);
    return mayHaveRun(failure_kind::Broken, reason);
}

bool isAnswer(const result<http_reply>& reply)
{
    if (reply.has_error())
        return false;
    const auto status = reply.value().status;
    return status == httpOk || status == httpNotFound || status == httpTooManyRequests;
}

} // namespace

struct etcd_store_client::state : std::enable_shared_from_this<state> {
    state(event_loop& eventLoop, endpoint address, const etcd_store_options& wanted)
        : loop(eventLoop)
        , store(std::move(address))
        , options(wanted)
        , bucket(wanted.callsPerSecond, wanted.burst, eventLoop.timers().now())
        , breaker(wanted.breaker, std::random_device {}())
        , pool(eventLoop, wanted.threads, wanted.queueLimit)
    {
    }

    template <typename Value>
    void call(call_kind kind, http_request request, result<Value> (*parse)(const std::string&), handler<Value> done)
    {
        std::function<void(result<http_reply>)> finish = [kind, parse, done = std::move(done)](const result<http_reply>& reply) {
            if (reply.has_error()) {
                done(failureOf(kind, reply.error()));
                return;
            }
            const auto body = bodyOf(reply.value());
            if (body.has_error()) {
                done(failureOf(kind, body.error()));
                return;
            }
            auto value = parse(body.value());
            if (value.has_error())
                done(failureOf(kind, value.error()));
            else
                done(std::move(value));
        };
        start(std::move(request), std::move(finish));
    }

    void start(http_request request, std::function<void(result<http_reply>)> finish)
    {
        const auto now = loop.timers().now();
        if (!breaker.allow(now)) {
            refuse(notRun(failure_kind::Unavailable, "the store is down"), std::move(finish));
            return;
        }
        if (!bucket.take(now)) {
            breaker.dropped();
            refuse(notRun(failure_kind::Overloaded, "the budget of calls to the store is used up"), std::move(finish));
            return;
        }
        send(std::move(request), std::move(finish));
    }

    void send(http_request request, std::function<void(result<http_reply>)> finish)
    {
        const auto id = nextId++;
        auto slot = std::make_shared<exchange_slot>();
        const auto weak = weak_from_this();
        const auto end = loop.timers().now() + options.deadline;
        auto work = [slot, end, request = std::move(request), peer = store] {
            const auto begin = std::chrono::steady_clock::now();
            const auto left = std::chrono::duration_cast<milliseconds>(end - begin);
            if (left < leastTimeToSend)
                slot->abandon();
            if (!slot->send())
                return;
            slot->reply = exchange(peer, request, left, body_check::UnprovenLength);
            slot->latency = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
        };
        auto completion = [weak, id] {
            if (const auto self = weak.lock())
                self->answered(id);
        };
        if (!pool.submit(std::move(work), std::move(completion))) {
            breaker.dropped();
            refuse(notRun(failure_kind::Overloaded, "too many calls to the store wait"), std::move(finish));
            return;
        }
        ++calls;
        const auto deadline = loop.timers().subscribeOnce(options.deadline, [weak, id](time_point) {
            if (const auto self = weak.lock())
                self->expired(id);
        });
        pending.emplace(id, pending_call { std::move(slot), deadline, std::move(finish) });
    }

    void answered(std::uint64_t id)
    {
        const auto found = pending.find(id);
        if (found == pending.end())
            return;
        const auto slot = found->second.slot;
        if (!slot->reply) {
            finishUnsent(id);
            return;
        }
        count(*slot->reply, slot->latency);
        finish(id, std::move(*slot->reply));
    }

    void expired(std::uint64_t id)
    {
        const auto found = pending.find(id);
        if (found == pending.end())
            return;
        if (found->second.slot->abandon()) {
            finishUnsent(id);
            return;
        }
        breaker.failed(loop.timers().now());
        logHealth();
        finish(id, mayHaveRun(failure_kind::Timeout, "no reply from the store in time"));
    }

    void finishUnsent(std::uint64_t id)
    {
        breaker.dropped();
        finish(id, notRun(failure_kind::Timeout, "no thread was free for the store call in time"));
    }

    void finish(std::uint64_t id, result<http_reply> reply)
    {
        auto call = pending.extract(id);
        loop.timers().cancel(call.mapped().deadline);
        call.mapped().finish(std::move(reply));
    }

    void count(const result<http_reply>& reply, milliseconds latency)
    {
        if (isAnswer(reply))
            breaker.succeeded(latency);
        else
            breaker.failed(loop.timers().now());
        logHealth();
    }

    void logHealth()
    {
        const auto current = breaker.health();
        if (current == logged)
            return;
        logEvent(log_level::Warning, "store_health", { { "from", toString(logged) }, { "to", toString(current) } });
        logged = current;
    }

    // Handlers never run inside the call itself.
    void refuse(failure error, std::function<void(result<http_reply>)> finish)
    {
        const auto id = nextId++;
        pending.emplace(id, pending_call { std::make_shared<exchange_slot>(), 0, std::move(finish) });
        loop.detach("store refusal", kj::evalLater([weak = weak_from_this(), id, error = std::move(error)] {
            if (const auto self = weak.lock())
                self->finish(id, error);
        }));
    }

    event_loop& loop;
    endpoint store;
    etcd_store_options options;
    token_bucket bucket;
    circuit_breaker breaker;
    std::uint64_t nextId = 1;
    std::uint64_t calls = 0;
    store_health logged = store_health::Up;
    std::map<std::uint64_t, pending_call> pending;
    worker_pool pool;
};

etcd_store_client::etcd_store_client(event_loop& loop, endpoint store, const etcd_store_options& options)
    : m_state(std::make_shared<state>(loop, std::move(store), options))
{
}

etcd_store_client::~etcd_store_client() = default;

void etcd_store_client::get(std::string key, handler<store_entry> done)
{
    auto pick = [key, done = std::move(done)](result<store_snapshot> found) {
        if (found.has_error())
            done(std::move(found).error());
        else if (found.value().entries.empty())
            done(store_entry { key, {}, 0 });
        else
            done(std::move(found.value().entries.front()));
    };
    m_state->call<store_snapshot>(call_kind::Read, etcd::rangeOfKey(key), etcd::parseRange, std::move(pick));
}

void etcd_store_client::list(std::string prefix, handler<store_snapshot> done)
{
    m_state->call<store_snapshot>(call_kind::Read, etcd::rangeOfPrefix(prefix), etcd::parseRange, std::move(done));
}

void etcd_store_client::compareAndSwap(std::vector<store_write> writes, handler<cas_outcome> done)
{
    m_state->call<cas_outcome>(call_kind::Write, etcd::transaction(writes), etcd::parseTransaction, std::move(done));
}

void etcd_store_client::grantLease(std::chrono::seconds ttl, handler<std::int64_t> done)
{
    m_state->call<std::int64_t>(call_kind::Write, etcd::leaseGrant(ttl), etcd::parseGrant, std::move(done));
}

void etcd_store_client::renewLease(std::int64_t lease, handler<std::chrono::seconds> done)
{
    m_state->call<std::chrono::seconds>(
        call_kind::Write, etcd::leaseKeepAlive(lease), etcd::parseKeepAlive, std::move(done));
}

void etcd_store_client::revokeLease(std::int64_t lease, handler<bool> done)
{
    m_state->call<bool>(call_kind::Write, etcd::leaseRevoke(lease), etcd::parseRevoke, std::move(done));
}

store_health etcd_store_client::health() const
{
    return m_state->breaker.health();
}

std::uint64_t etcd_store_client::calls() const
{
    return m_state->calls;
}

} // namespace oriole
