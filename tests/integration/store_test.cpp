#include <harness/fault_proxy.hpp>
#include <harness/process.hpp>

#include <oriole/control/control_store.hpp>
#include <oriole/store/etcd_store_client.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>
#include <vector>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto adminTimeout = 2000ms;

/// @brief The stand-in of the platform's store as a process.
class store_process {
public:
    store_process()
        : address(oriole::harness::freeEndpoint())
        , m_process("standin_store", { "--listen", oriole::toString(address) }, m_directory.file("store.log"))
    {
        REQUIRE(oriole::harness::eventually([&] { return counters().has_value(); }));
    }

    void setMode(const json& mode) const
    {
        const auto reply = oriole::exchange(address, { "POST", "/standin/mode", {}, mode.dump() }, adminTimeout);
        REQUIRE(reply.value().status == 200);
    }

    [[nodiscard]] std::optional<json> counters() const
    {
        const auto reply = oriole::exchange(address, { "GET", "/standin/counters", {}, {} }, adminTimeout);
        if (reply.has_error())
            return std::nullopt;
        return json::parse(reply.value().body);
    }

    [[nodiscard]] std::uint64_t count(const char* name) const { return counters().value().at(name).get<std::uint64_t>(); }

    oriole::endpoint address;

private:
    oriole::harness::test_directory m_directory;
    oriole::harness::process m_process;
};

template <typename Value, typename Call>
oriole::result<Value> await(oriole::event_loop& loop, const Call& call)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    std::optional<oriole::result<Value>> outcome;
    call([&](oriole::result<Value> answer) {
        outcome = std::move(answer);
        pair.fulfiller->fulfill();
    });
    pair.promise.wait(loop.io().waitScope);
    return *outcome;
}

using head = std::shared_ptr<const oriole::configuration_head>;
const std::string document = R"({"environment":"trial"})";

oriole::result<head> applyOnce(oriole::event_loop& loop, oriole::control_store& control, std::uint64_t expected)
{
    return await<head>(loop, [&](auto done) { control.apply(expected, document, "anna", done); });
}

oriole::result<oriole::control_snapshot> readOnce(oriole::event_loop& loop, oriole::control_store& control)
{
    return await<oriole::control_snapshot>(loop, [&](auto done) { control.read(done); });
}

} // namespace

TEST_CASE("store: compare-and-swap, leases and their end over the gateway")
{
    const store_process store;
    oriole::event_loop loop;
    oriole::etcd_store_client client(loop, store.address);
    const auto swap = [&](std::int64_t expected, std::int64_t lease) {
        return await<oriole::cas_outcome>(
            loop, [&](auto done) { client.compareAndSwap({ { "/k", expected, std::string("a\0b", 3), lease } }, done); });
    };
    const auto get = [&] { return await<oriole::store_entry>(loop, [&](auto done) { client.get("/k", done); }).value(); };

    REQUIRE(get().modRevision == 0);
    const auto lease = await<std::int64_t>(loop, [&](auto done) { client.grantLease(2s, done); }).value();
    REQUIRE(swap(0, lease).value().applied);
    REQUIRE_FALSE(swap(0, lease).value().applied);
    REQUIRE(get().value == std::string("a\0b", 3));
    REQUIRE(await<std::chrono::seconds>(loop, [&](auto done) { client.renewLease(lease, done); }).value() == 2s);

    REQUIRE(oriole::harness::eventually([&] { return get().modRevision == 0; }));
    REQUIRE(await<std::chrono::seconds>(loop, [&](auto done) { client.renewLease(lease, done); }).value() == 0s);
    const auto orphan = swap(0, lease);
    REQUIRE(orphan.error().kind == oriole::failure_kind::NotFound);
    REQUIRE(orphan.error().ran == oriole::verdict::NotRun);
    REQUIRE(get().modRevision == 0);
}

TEST_CASE("store: an apply whose replies are lost is accepted once and recognised")
{
    const store_process store;
    oriole::event_loop loop;
    oriole::etcd_store_client client(loop, store.address);
    oriole::control_store control(client, "trial", &loop.timers());
    store.setMode({ { "mode", "lose-replies" }, { "writes_only", true } });
    REQUIRE(applyOnce(loop, control, 0).value()->revision == 1);
    REQUIRE(store.count("lost_replies") == 1);
    store.setMode({ { "mode", "partial" }, { "probability", 0.3 }, { "seed", 7 } });
    // Whatever each apply is told, the head moves by at most one and never back.
    std::uint64_t revision = 1;
    for (int i = 0; i < 10; ++i) {
        const auto applied = applyOnce(loop, control, revision);
        store.setMode({ { "mode", "up" } });
        std::uint64_t now = 0;
        REQUIRE(oriole::harness::eventually([&] {
            const auto snapshot = readOnce(loop, control);
            if (snapshot.has_error())
                return false;
            now = snapshot.value().configuration->revision;
            return true;
        }));
        if (applied.has_value())
            REQUIRE(now == revision + 1);
        else if (applied.error().ran == oriole::verdict::NotRun)
            REQUIRE(now == revision);
        else
            REQUIRE((now == revision || now == revision + 1));
        revision = now;
        store.setMode({ { "mode", "partial" }, { "probability", 0.3 }, { "seed", 8 + i } });
    }
}

TEST_CASE("store: a frozen link to the store ends a write as may-have-run and recovers")
{
    const store_process store;
    oriole::harness::fault_proxy proxy(oriole::harness::freeEndpoint(), store.address);
    oriole::event_loop loop;
    oriole::etcd_store_options options;
    options.deadline = 300ms;
    oriole::etcd_store_client client(loop, proxy.address(), options);
    oriole::control_store control(client, "trial", &loop.timers());
    REQUIRE(applyOnce(loop, control, 0).has_value());

    proxy.set(oriole::harness::link_fault::LoseReply);
    const auto swapped = await<oriole::cas_outcome>(
        loop, [&](auto done) { client.compareAndSwap({ { "/k", 0, "v", 0 } }, done); });
    REQUIRE(swapped.error().ran == oriole::verdict::MayHaveRun);
    proxy.set(oriole::harness::link_fault::None);
    REQUIRE(oriole::harness::eventually(
        [&] { return await<oriole::store_entry>(loop, [&](auto done) { client.get("/k", done); }).has_value(); }));
    REQUIRE(await<oriole::store_entry>(loop, [&](auto done) { client.get("/k", done); }).value().value == "v");
}

TEST_CASE("store: calls of three idle entries, up and in an outage")
{
    // Each entry reads the control prefix each second and renews its lease each 3 s; time runs 10 times as fast here.
    constexpr auto readPeriod = 100ms;
    constexpr auto renewPeriod = 300ms;
    constexpr auto measured = 3000ms;
    constexpr std::uint64_t mostReads = 93;
    constexpr std::uint64_t mostRenewals = 33;
    const store_process store;
    oriole::event_loop loop;
    std::vector<std::unique_ptr<oriole::etcd_store_client>> clients;
    for (int i = 0; i < 3; ++i) {
        auto& client = *clients.emplace_back(std::make_unique<oriole::etcd_store_client>(loop, store.address));
        const auto lease = await<std::int64_t>(loop, [&](auto done) { client.grantLease(10s, done); }).value();
        loop.timers().subscribeEvery(readPeriod, [&client](auto) { client.list("/oriole/trial/control/", [](const auto&) {}); });
        loop.timers().subscribeEvery(renewPeriod, [&client, lease](auto) { client.renewLease(lease, [](const auto&) {}); });
    }

    const auto readsBefore = store.count("reads");
    const auto leaseCallsBefore = store.count("lease_calls");
    loop.after(measured).wait(loop.io().waitScope);
    const auto reads = store.count("reads") - readsBefore;
    const auto leaseCalls = store.count("lease_calls") - leaseCallsBefore;
    std::cout << "up: " << reads << " reads, " << leaseCalls << " renewals in 30 periods of reading, 3 entries\n";
    REQUIRE(reads <= mostReads);
    REQUIRE(leaseCalls <= mostRenewals);
    REQUIRE(reads > 0);

    store.setMode({ { "mode", "down" } });
    const auto refusedBefore = store.count("refused");
    loop.after(measured).wait(loop.io().waitScope);
    const auto refused = store.count("refused") - refusedBefore;
    std::cout << "down: " << refused << " calls reached the store in 3 s, 3 entries\n";
    REQUIRE(refused < reads + leaseCalls);

    store.setMode({ { "mode", "up" } });
    const auto readsDown = store.count("reads");
    REQUIRE(oriole::harness::eventually([&] {
        loop.after(50ms).wait(loop.io().waitScope);
        return store.count("reads") > readsDown + 3;
    }));
    for (const auto& client : clients)
        REQUIRE(oriole::harness::eventually([&] {
            loop.after(50ms).wait(loop.io().waitScope);
            return client->health() == oriole::store_health::Up;
        }));
}
