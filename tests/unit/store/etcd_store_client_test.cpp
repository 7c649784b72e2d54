#include <oriole/http/http_server.hpp>
#include <oriole/store/etcd_store_client.hpp>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace std::chrono_literals;

namespace {

const oriole::endpoint storeAddress { "127.0.7.11", 18381 };

/// @brief Runs @p loop until the handler of one call ran, and returns what it was given.
template <typename Value, typename Call>
oriole::result<Value> await(oriole::event_loop& loop, const Call& call)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    std::optional<oriole::result<Value>> outcome;
    call([&](oriole::result<Value> answer) {
        outcome = std::move(answer);
        pair.fulfiller->fulfill();
    });
    REQUIRE_FALSE(outcome.has_value());
    pair.promise.wait(loop.io().waitScope);
    return *outcome;
}

oriole::result<oriole::cas_outcome> swapOnce(oriole::event_loop& loop, oriole::etcd_store_client& client)
{
    return await<oriole::cas_outcome>(loop, [&](auto done) { client.compareAndSwap({ { "/k", 0, "v", 0 } }, done); });
}

oriole::result<oriole::store_entry> getOnce(oriole::event_loop& loop, oriole::etcd_store_client& client)
{
    return await<oriole::store_entry>(loop, [&](auto done) { client.get("/k", done); });
}

oriole::http_server::handler always(unsigned status, const std::string& body)
{
    return [status, body](const oriole::http_call&) { return oriole::http_reply { status, {}, body }; };
}

/// @brief Holds callers back until it is opened.
class gate {
public:
    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_opened.wait(lock, [this] { return m_open; });
    }

    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_opened.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_opened;
    bool m_open = false;
};

/// @brief Opens a gate at the end of a scope, so that a failed check cannot leave a server waiting.
struct gate_opener {
    ~gate_opener() { target.open(); }

    gate& target;
};

} // namespace

TEST_CASE("a write that the store applied is told as applied")
{
    oriole::event_loop loop;
    oriole::http_server server(storeAddress, {}, always(200, R"({"header":{"revision":"9"},"succeeded":true})"));
    oriole::etcd_store_client client(loop, storeAddress);
    const auto outcome = swapOnce(loop, client);
    REQUIRE(outcome.has_value());
    REQUIRE(outcome.value().applied);
    REQUIRE(outcome.value().revision == 9);
    REQUIRE(client.calls() == 1);
}

TEST_CASE("a write with an answer of no known form may have run, a read has not")
{
    oriole::event_loop loop;
    const auto status = GENERATE(200U, 500U, 503U);
    oriole::http_server server(storeAddress, {}, always(status, ""));
    oriole::etcd_store_client client(loop, storeAddress);
    REQUIRE(swapOnce(loop, client).error().ran == oriole::verdict::MayHaveRun);
    REQUIRE(getOnce(loop, client).error().ran == oriole::verdict::NotRun);
}

TEST_CASE("a write that the store's rate limit refused has not run")
{
    oriole::event_loop loop;
    oriole::http_server server(storeAddress, {}, always(429, "{}"));
    oriole::etcd_store_client client(loop, storeAddress);
    const auto outcome = swapOnce(loop, client);
    REQUIRE(outcome.error().ran == oriole::verdict::NotRun);
    REQUIRE(outcome.error().kind == oriole::failure_kind::Overloaded);
    REQUIRE(client.health() == oriole::store_health::Up);
}

TEST_CASE("without a store, calls fail as not-run and soon without any connection")
{
    oriole::event_loop loop;
    oriole::etcd_store_client client(loop, { "127.0.7.12", 18382 });
    for (int i = 0; i < 5; ++i)
        REQUIRE(swapOnce(loop, client).error().ran == oriole::verdict::NotRun);
    REQUIRE(client.health() == oriole::store_health::Down);
    REQUIRE(client.calls() < 5);
}

TEST_CASE("a call over the budget is refused as not-run without reaching the store")
{
    oriole::event_loop loop;
    oriole::http_server server(storeAddress, {}, always(200, R"({"header":{"revision":"9"},"succeeded":true})"));
    oriole::etcd_store_options options;
    options.callsPerSecond = 0.001;
    options.burst = 1;
    oriole::etcd_store_client client(loop, storeAddress, options);
    REQUIRE(swapOnce(loop, client).has_value());
    const auto refused = swapOnce(loop, client);
    REQUIRE(refused.error().ran == oriole::verdict::NotRun);
    REQUIRE(refused.error().kind == oriole::failure_kind::Overloaded);
    REQUIRE(client.calls() == 1);
}

TEST_CASE("a call without a reply ends at its deadline: sent may have run, still queued has not")
{
    gate replies;
    oriole::http_server server(storeAddress, {}, [&](const oriole::http_call&) {
        replies.wait();
        return oriole::http_reply { 200, {}, "{}" };
    });
    const gate_opener opener { replies };
    oriole::event_loop loop;
    oriole::etcd_store_options options;
    options.deadline = 100ms;
    options.threads = 1;
    oriole::etcd_store_client client(loop, storeAddress, options);
    std::optional<oriole::result<oriole::cas_outcome>> sent;
    client.compareAndSwap({ { "/k", 0, "v", 0 } }, [&](auto answer) { sent = std::move(answer); });
    const auto queued = swapOnce(loop, client);
    REQUIRE(sent.has_value());
    REQUIRE(sent->error().ran == oriole::verdict::MayHaveRun);
    REQUIRE(queued.error().ran == oriole::verdict::NotRun);
    REQUIRE(queued.error().kind == oriole::failure_kind::Timeout);
}
