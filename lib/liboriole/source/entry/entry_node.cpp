#include <oriole/entry/entry_node.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/helpers/random.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds decisionPeriod { 20 };
constexpr milliseconds ownershipPeriod { 250 };
constexpr milliseconds rolloutPeriod { 500 };
constexpr milliseconds drainPeriod { 20 };

// From the failing readiness probe to the first refusal: the balancer has to notice it.
constexpr milliseconds notReadyPeriod { 1000 };

dispatcher_settings dispatcherSettings()
{
    dispatcher_settings settings;
    settings.idPrefix = randomId();
    settings.seed = std::random_device {}();
    return settings;
}

router_settings routerSettings(const entry_settings& settings)
{
    router_settings target;
    target.region = settings.region;
    return target;
}

std::uint64_t randomRun()
{
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>(1)(source);
}

entry_address addressOf(const entry_settings& settings)
{
    return { settings.name, toString(settings.advertisedRpc), settings.region };
}

} // namespace

entry_node::entry_node(
    const entry_settings& chosen, event_loop& eventLoop, store_client& storeClient, metrics_registry& registry)
    : settings(chosen)
    , loop(eventLoop)
    , store(storeClient)
    , metrics(registry)
    , controlStore(store, settings.environment, &loop.timers())
    , control(store, controlStore, loop.timers(), addressOf(settings))
    , workers(loop.timers())
    , peers(loop, settings.name, randomRun(), [this] { return localState(); })
    , pages(store, loop.timers(), *this, settings.environment, settings.name)
    , routes(routerSettings(settings), health)
    , agents(loop, workers)
    , gangs(loop, workers, control)
    , dispatcher(dispatcherSettings(), routes, health, agents, loop.timers(), metrics)
    , claims(pages, dispatcher, loop.timers())
    , jobs(pages, workers, control, gangs, store, loop.timers(), settings.decisions, std::random_device {}())
{
    subscribe();
}

void entry_node::start()
{
    for (const auto& seed : settings.seeds)
        peers.learnSeed(seed);
    control.start();
    auto& timers = loop.timers();
    timers.subscribeEvery(decisionPeriod, [this](time_point) { jobs.tick(fresh() && !m_leaving); });
    timers.subscribeEvery(ownershipPeriod, [this](time_point now) { pages.tick(now); });
    timers.subscribeEvery(rolloutPeriod, [this](time_point now) { watchRollout(now); });
}

void entry_node::subscribe()
{
    control.configurationChanged.subscribe([this] { configurationChanged(); });
    control.failureDomainsChanged.subscribe([this] { failureDomainsChanged(); });
    control.listChanged.subscribe([this] {
        for (const auto& entry : control.listed())
            peers.learn(entry);
    });
    peers.viewHeard.subscribe([this](const rpc::control_view& view) { offer(view); });
    workers.joined.subscribe([this](const worker_record& worker) { workerJoined(worker); });
    workers.heard.subscribe([this](const worker_record& worker) { workerHeard(worker); });
    workers.left.subscribe([this](const std::string& worker) { workerLeft(worker); });
    workers.forgotten.subscribe([this](const std::string& worker) { health.remove(worker); });
}

void entry_node::leave(std::function<void()> done)
{
    logEvent(log_level::Info, "entry_not_ready", { { "refuses_in_ms", notReadyPeriod.count() } });
    m_ready = false;
    loop.timers().subscribeOnce(notReadyPeriod, [this, done = std::move(done)](time_point) {
        logEvent(log_level::Info, "entry_leaving");
        m_leaving = true;
        peers.exchangeNow();
        pushView();
        finishLeaving(done);
    });
}

void entry_node::finishLeaving(const std::function<void()>& done)
{
    if (dispatcher.inFlight() > 0) {
        loop.timers().subscribeOnce(drainPeriod, [this, done](time_point) { finishLeaving(done); });
        return;
    }
    pages.releaseAll([this, done] {
        control.withdraw([this, done] {
            peers.exchangeNow();
            done();
        });
    });
}

bool entry_node::fresh() const
{
    return freshAge().has_value();
}

std::optional<milliseconds> entry_node::freshAge() const
{
    auto age = peers.readerAge();
    if (control.readsStore())
        age = std::min(age.value_or(control.readAge()), control.readAge());
    // Nobody who could be asked reads the store: no change can have been accepted, unless by an entry that is silent.
    if (!age && peers.noneSilent())
        age = peers.longestSilence();
    return age;
}

result<std::shared_ptr<const configuration_head>> entry_node::usableConfiguration() const
{
    if (m_leaving)
        return notRun(failure_kind::Unavailable, "this entry is stopping");
    auto head = control.state().configuration();
    if (head == nullptr)
        return notRun(failure_kind::Unavailable, "no configuration is known yet");
    if (!fresh())
        return notRun(failure_kind::Unavailable, "the control view of this entry is stale");
    return head;
}

void entry_node::offer(const rpc::control_view& view)
{
    control.offer(view.configuration);
    control.offer(view.failureDomains);
}

void entry_node::pushView()
{
    for (const auto& [name, worker] : workers.all()) {
        if (!worker.present)
            continue;
        auto request = workers.agent(name).applyViewRequest();
        writeView(request.initView(), { .configuration = worker.report.configurationRevision });
        loop.detach("push view", request.send().ignoreResult());
    }
    peers.exchangeNow();
}

std::vector<entry_address> entry_node::liveAddresses() const
{
    std::vector<entry_address> entries;
    if (!m_leaving)
        entries.push_back(addressOf(settings));
    for (const auto& peer : peers.livePeers())
        entries.push_back(peer.address);
    return entries;
}

local_state entry_node::localState() const
{
    return { addressOf(settings), control.readsStore(), fresh(), m_leaving, control.state(), liveAddresses(),
        pages.owned() };
}

void entry_node::writeView(rpc::ControlView::Builder target, const rpc::view_receiver& receiver)
{
    const auto age = freshAge();
    rpc::write(target, control.state(), liveAddresses(), age.has_value(), m_leaving, receiver);
    target.setFreshAgeMs(static_cast<std::uint32_t>(std::max(age.value_or(milliseconds(0)), milliseconds(0)).count()));
}

std::vector<std::string> entry_node::liveEntries() const
{
    std::vector<std::string> names;
    for (const auto& peer : peers.livePeers())
        names.push_back(peer.address.name);
    return names;
}

bool entry_node::gone(const std::string& entry) const
{
    const auto& listed = control.listed();
    const bool leased
        = std::any_of(listed.begin(), listed.end(), [&](const auto& other) { return other.name == entry; });
    return control.readsStore() && !leased && !peers.live(entry);
}

std::optional<std::string> entry_node::reportedOwner(const std::string& organisation) const
{
    return peers.ownerOf(organisation);
}

void entry_node::configurationChanged()
{
    const auto& parsed = control.state().configuration()->parsed;
    std::set<std::string> names;
    for (const auto& organisation : parsed.organisations)
        names.insert(organisation.policy.name);
    pages.configure(std::move(names));
    dispatcher.configure(parsed);
    jobs.configurationChanged();
    pushView();
}

void entry_node::failureDomainsChanged()
{
    routes.setFailureDomainsOut(control.state().failureDomains().out);
    dispatcher.workersChanged();
    jobs.failureDomainsChanged();
    pushView();
}

void entry_node::workerJoined(const worker_record& worker)
{
    health.upsert(worker.info.name, worker.info.service, worker.info.incarnation);
    routes.upsert(worker.info);
    dispatcher.workersChanged();
}

void entry_node::workerHeard(const worker_record& worker)
{
    const auto& report = worker.report;
    routes.report(worker.info.name,
        { report.requestsRunning, report.requestsQueued, report.leaving, report.backendHealthy });
    dispatcher.workersChanged();
}

void entry_node::workerLeft(const std::string& worker)
{
    routes.remove(worker);
    dispatcher.workerLost(worker);
}

bool entry_node::inForceNow() const
{
    const auto revision = control.state().configurationRevision();
    const auto live = peers.livePeers();
    const bool atPeers = std::all_of(
        live.begin(), live.end(), [&](const auto& peer) { return peer.configurationRevision >= revision; });
    const bool atWorkers = std::all_of(workers.all().begin(), workers.all().end(), [&](const auto& item) {
        return !item.second.present || item.second.report.configurationRevision >= revision;
    });
    return revision != 0 && atPeers && atWorkers;
}

void entry_node::watchRollout(time_point now)
{
    const auto revision = control.state().configurationRevision();
    if (!inForceNow() || revision != m_inForceRevision) {
        m_inForceRevision = revision;
        m_inForceSince.reset();
    }
    if (!m_inForceSince && inForceNow())
        m_inForceSince = now;
}

milliseconds entry_node::inForceEverywhere() const
{
    if (!m_inForceSince || !inForceNow())
        return milliseconds::zero();
    // At least one millisecond: zero stands for a revision that is not in force everywhere.
    const auto age = std::chrono::duration_cast<milliseconds>(loop.timers().now() - *m_inForceSince);
    return std::max(age, milliseconds(1));
}

} // namespace oriole
