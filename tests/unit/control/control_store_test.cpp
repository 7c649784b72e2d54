#include <oriole/control/control_records.hpp>
#include <oriole/control/control_store.hpp>

#include <unit/store/fake_store.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <optional>
#include <set>

using oriole::test::fake_fault;
using oriole::test::fake_keys;
using oriole::test::fake_store;

namespace {

using head = std::shared_ptr<const oriole::configuration_head>;

const std::string document = R"({"environment":"trial"})";

/// @brief Collects the answer of one call.
template <typename Value>
struct answer {
    oriole::store_client::handler<Value> handler()
    {
        return [this](oriole::result<Value> given) { outcome = std::move(given); };
    }

    std::optional<oriole::result<Value>> outcome;
};

/// @brief Gives the faults of @p plan one after the other, then none.
std::function<fake_fault()> inOrder(std::vector<fake_fault> plan)
{
    return [plan = std::move(plan), next = std::size_t { 0 }]() mutable {
        return next < plan.size() ? plan[next++] : fake_fault::None;
    };
}

oriole::result<head> applyOnce(fake_store& store, oriole::control_store& control, std::uint64_t expected)
{
    answer<head> given;
    control.apply(expected, document, "anna", given.handler());
    store.stepAll();
    return given.outcome.value();
}

} // namespace

TEST_CASE("an accepted configuration is read back by others and stands in the history")
{
    fake_keys keys;
    fake_store store(keys);
    oriole::control_store control(store, "trial");
    REQUIRE(applyOnce(store, control, 0).value()->revision == 1);
    REQUIRE(applyOnce(store, control, 1).value()->revision == 2);

    answer<oriole::control_snapshot> snapshot;
    control.read(snapshot.handler());
    answer<std::vector<oriole::configuration_record>> history;
    control.history(history.handler());
    store.stepAll();
    REQUIRE(snapshot.outcome->value().configuration->revision == 2);
    REQUIRE(snapshot.outcome->value().configuration->document == document);
    REQUIRE(history.outcome->value().size() == 2);
    REQUIRE(history.outcome->value().front().revision == 2);
    REQUIRE(history.outcome->value().front().author == "anna");
}

TEST_CASE("a racing operator gets a conflict that names the other's change")
{
    fake_keys keys;
    fake_store store(keys);
    oriole::control_store control(store, "trial");
    REQUIRE(applyOnce(store, control, 0).has_value());
    const auto late = applyOnce(store, control, 0);
    REQUIRE(late.error().kind == oriole::failure_kind::Conflict);
    REQUIRE(late.error().ran == oriole::verdict::NotRun);
    REQUIRE(late.error().reason.find("revision 1 by 'anna'") != std::string::npos);
}

TEST_CASE("a write whose reply was lost is recognised as accepted")
{
    const auto lost = GENERATE(fake_fault::ReplyLost, fake_fault::RequestLost, fake_fault::Late);
    fake_keys keys;
    fake_store store(keys);
    oriole::control_store control(store, "trial");
    store.faults = inOrder({ fake_fault::None, lost, fake_fault::NotSent });
    REQUIRE(applyOnce(store, control, 0).value()->revision == 1);
    REQUIRE(keys.entries.size() == 2);
}

TEST_CASE("an outage before the write is not-run, one that lasts after it may have run")
{
    fake_keys keys;
    fake_store store(keys);
    oriole::control_store control(store, "trial");
    store.faults = inOrder({ fake_fault::None, fake_fault::NotSent });
    REQUIRE(applyOnce(store, control, 0).error().ran == oriole::verdict::NotRun);
    REQUIRE(keys.entries.empty());

    store.faults = [first = true]() mutable { return std::exchange(first, false) ? fake_fault::None : fake_fault::ReplyLost; };
    REQUIRE(applyOnce(store, control, 0).error().ran == oriole::verdict::MayHaveRun);
}

TEST_CASE("documents that cannot be accepted are refused without a call")
{
    fake_keys keys;
    fake_store store(keys);
    oriole::control_store control(store, "trial");
    for (const std::string wrong : { R"({"environment":"production"})", "{}", "nonsense",
             R"({"environment":"trial","organisations":[{"name":"a","guarantees":[{"shape":{"accelerators":8,"adjacency":"worker"}}]}]})" }) {
        answer<head> given;
        control.apply(0, wrong, "anna", given.handler());
        REQUIRE(given.outcome->error().kind == oriole::failure_kind::InvalidInput);
    }
    REQUIRE(store.calls() == 0);
}

TEST_CASE("changes of different failure domains at once both take effect")
{
    fake_keys keys;
    fake_store storeA(keys);
    fake_store storeB(keys);
    oriole::control_store controlA(storeA, "trial");
    oriole::control_store controlB(storeB, "trial");
    answer<oriole::failure_domain_states> a;
    answer<oriole::failure_domain_states> b;
    controlA.setFailureDomain("praha", true, "anna", a.handler());
    controlB.setFailureDomain("brno", true, "boris", b.handler());
    while (storeA.step() || storeB.step()) { }
    while (storeB.step()) { }
    REQUIRE(a.outcome->has_value());
    REQUIRE(b.outcome->value().out == std::set<std::string> { "brno", "praha" });
}

TEST_CASE("an announced entry is listed")
{
    fake_keys keys;
    fake_store store(keys);
    oriole::control_store control(store, "trial");
    const oriole::entry_address entry { "e1", "127.0.0.1:1", "praha" };
    answer<bool> announced;
    control.announceEntry(entry, 7, announced.handler());
    store.stepAll();
    answer<oriole::control_snapshot> snapshot;
    control.read(snapshot.handler());
    store.stepAll();
    REQUIRE(announced.outcome->value());
    REQUIRE(snapshot.outcome->value().entries == std::vector { entry });
    REQUIRE(snapshot.outcome->value().configuration == nullptr);
}

namespace {

constexpr std::size_t operators = 3;

/// @brief What one operator asked for and was told.
struct apply_call {
    std::string author;
    std::uint64_t revision = 0;
    answer<head> given;
};

struct domain_call {
    std::string failureDomain;
    answer<oriole::failure_domain_states> given;
};

/// @brief Operators that race over one store, and the oracle of what has to hold.
class control_fuzz {
public:
    control_fuzz()
    {
        for (std::size_t i = 0; i < operators; ++i) {
            m_stores.push_back(std::make_unique<fake_store>(m_keys));
            m_controls.push_back(std::make_unique<oriole::control_store>(*m_stores.back(), "trial"));
            m_stores.back()->faults = [this] { return std::exchange(m_nextFault, fake_fault::None); };
        }
    }

    void act(unsigned action)
    {
        const auto who = action % operators;
        const auto what = action / operators % 16;
        if (what == 0) {
            startApply(who);
        } else if (what == 1) {
            startOut(who);
        } else {
            m_nextFault = faultOf(what);
            m_stores[who]->step();
            m_nextFault = fake_fault::None;
        }
        observe();
    }

    void finish()
    {
        bool progress = true;
        while (progress) {
            progress = false;
            for (auto& store : m_stores)
                progress = store->step() || progress;
        }
        while (!m_keys.late.empty()) {
            m_keys.late.front()();
            m_keys.late.pop_front();
        }
        observe();
        checkApplies();
        checkOuts();
    }

private:
    static fake_fault faultOf(unsigned what)
    {
        switch (what) {
        case 2:
            return fake_fault::NotSent;
        case 3:
            return fake_fault::ReplyLost;
        case 4:
            return fake_fault::RequestLost;
        case 5:
            return fake_fault::Late;
        default:
            return fake_fault::None;
        }
    }

    void startApply(std::size_t who)
    {
        auto call = std::make_unique<apply_call>();
        call->author = "operator-" + std::to_string(m_applies.size());
        call->revision = m_headRevision + 1;
        m_controls[who]->apply(m_headRevision, document, call->author, call->given.handler());
        m_applies.push_back(std::move(call));
    }

    void startOut(std::size_t who)
    {
        auto call = std::make_unique<domain_call>();
        call->failureDomain = "domain-" + std::to_string(m_outs.size());
        m_controls[who]->setFailureDomain(call->failureDomain, true, "operator", call->given.handler());
        m_outs.push_back(std::move(call));
    }

    void observe()
    {
        const oriole::control_keys names("trial");
        if (const auto found = m_keys.entries.find(names.configuration); found != m_keys.entries.end()) {
            const auto revision = oriole::decodeHead(found->second.value).value().accepted.revision;
            RC_ASSERT(revision >= m_headRevision);
            m_headRevision = revision;
        }
        if (const auto found = m_keys.entries.find(names.failureDomains); found != m_keys.entries.end()) {
            const auto states = oriole::decodeFailureDomains(found->second.value).value().states;
            RC_ASSERT(states.revision >= m_states.revision);
            m_states = states;
        }
    }

    void checkApplies()
    {
        const oriole::control_keys names("trial");
        std::map<std::string, std::uint64_t> written;
        for (const auto& [key, entry] : m_keys.entries) {
            if (!key.starts_with(names.history))
                continue;
            const auto record = oriole::decodeHistory(entry.value).value().accepted;
            RC_ASSERT(written.emplace(record.author, record.revision).second);
        }
        RC_ASSERT(written.size() == m_headRevision);
        for (const auto& call : m_applies) {
            RC_ASSERT(call->given.outcome.has_value());
            const auto& outcome = *call->given.outcome;
            if (outcome.has_value())
                RC_ASSERT(written.at(call->author) == outcome.value()->revision);
            else if (outcome.error().ran == oriole::verdict::NotRun)
                RC_ASSERT(!written.contains(call->author));
        }
    }

    void checkOuts()
    {
        for (const auto& call : m_outs) {
            RC_ASSERT(call->given.outcome.has_value());
            const auto& outcome = *call->given.outcome;
            if (outcome.has_value())
                RC_ASSERT(m_states.out.contains(call->failureDomain));
            else if (outcome.error().ran == oriole::verdict::NotRun)
                RC_ASSERT(!m_states.out.contains(call->failureDomain));
        }
    }

    fake_keys m_keys;
    fake_fault m_nextFault = fake_fault::None;
    std::vector<std::unique_ptr<fake_store>> m_stores;
    std::vector<std::unique_ptr<oriole::control_store>> m_controls;
    std::vector<std::unique_ptr<apply_call>> m_applies;
    std::vector<std::unique_ptr<domain_call>> m_outs;
    std::uint64_t m_headRevision = 0;
    oriole::failure_domain_states m_states;
};

} // namespace

TEST_CASE("racing operators, lost replies and outages: what is told is true")
{
    rc::prop("accepted stays, revisions grow, not-run was not written", [] {
        const auto actions
            = *rc::gen::container<std::vector<unsigned>>(400, rc::gen::inRange(0U, static_cast<unsigned>(operators) * 16));
        control_fuzz fuzz;
        for (const auto action : actions)
            fuzz.act(action);
        fuzz.finish();
    });
}
