#include <oriole/agent/ledger.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

const allocation* findAllocation(const attempt& requested, const std::string& worker)
{
    const auto found = std::find_if(requested.allocations.begin(), requested.allocations.end(),
        [&](const allocation& item) { return item.worker == worker; });
    return found == requested.allocations.end() ? nullptr : &*found;
}

/// Resources that the attempt holds; memory is the larger of the declared and the used amount.
resources amountsOf(const ledger_entry& held)
{
    return { held.localAllocation.accelerators, held.localAllocation.processors,
        std::max(held.localAllocation.memoryGb, held.usedMemoryGb) };
}

bool mayBeEvicted(const ledger_entry& held)
{
    return held.phase == task_phase::Evicting || (!held.attempt.guaranteed && !held.attempt.urgent);
}

bool mayEvict(const attempt& requested)
{
    return requested.guaranteed || requested.urgent;
}

// Ignores the epoch, because a new owner of the organisation repeats a reservation with its own epoch.
bool equalExceptEpoch(const attempt& left, attempt right)
{
    right.epoch = left.epoch;
    return left == right;
}

} // namespace

ledger::ledger(std::string worker, const resources& capacity, std::size_t maxEndRecords)
    : m_worker(std::move(worker))
    , m_capacity(capacity)
    , m_maxEndRecords(maxEndRecords)
{
}

reservation_answer ledger::reserve(const attempt& requested, milliseconds ttl, bool evictBorrowed, time_point now)
{
    if (requested.epoch < highestEpoch(requested.id.organisation))
        return refuse(requested, "stale epoch", true);
    fence(requested.id.organisation, requested.epoch);

    expireReservations(now);
    if (const auto held = m_entries.find(requested.id); held != m_entries.end())
        return repeatReservation(held->second, requested, ttl, now);
    if (findEndRecord(requested.id) != nullptr)
        return refuse(requested, "the attempt has ended", mayHaveRun(requested.id));
    if (m_failureDomainOut)
        return refuse(requested, "failure domain is out");

    const auto* localAllocation = findAllocation(requested, m_worker);
    if (localAllocation == nullptr)
        return refuse(requested, "no allocation on this worker");
    if (!contains(m_capacity, { localAllocation->accelerators, localAllocation->processors, localAllocation->memoryGb }))
        return refuse(requested, "more than this worker has");

    ledger_entry entry;
    entry.attempt = requested;
    entry.localAllocation = *localAllocation;
    entry.activeSince = now;
    entry.expiresAt = now + ttl;
    entry.leads = requested.allocations.front().worker == m_worker;
    return allocate(std::move(entry), evictBorrowed && mayEvict(requested));
}

commit_answer ledger::commit(const attempt_id& id, std::uint64_t epoch, time_point now)
{
    if (epoch < highestEpoch(id.organisation))
        return { false, "stale epoch", true };
    fence(id.organisation, epoch);

    expireReservations(now);
    const auto held = m_entries.find(id);
    if (held == m_entries.end()) {
        const bool ran = mayHaveRun(id);
        recordEnd(id, ran);
        return { false, "unknown attempt", ran };
    }

    auto& entry = held->second;
    if (isTerminal(entry.phase))
        return { entry.mayHaveRun, entry.reason, entry.mayHaveRun };
    if (entry.phase != task_phase::Reserved)
        return { true, "", entry.mayHaveRun };
    if (entry.waiting)
        return { false, "evicted tasks have not ended yet", false };
    if (m_failureDomainOut)
        return { false, "failure domain is out", false };

    entry.phase = task_phase::Committed;
    ++m_version;
    return { true, "", false };
}

std::vector<task_report> ledger::release(
    const attempt_id& id, std::uint64_t epoch, const std::string& reason, time_point now)
{
    if (epoch < highestEpoch(id.organisation))
        return {};
    fence(id.organisation, epoch);

    const auto held = m_entries.find(id);
    if (held == m_entries.end()) {
        auto answer = report(id, now);
        answer.reason = reason;
        recordEnd(id, answer.mayHaveRun);
        return { answer };
    }

    if (isTerminal(held->second.phase))
        return { report(id, now) };
    if (held->second.mayHaveRun)
        markEvicting(id, reason);
    else
        end(id, task_phase::Released, reason);
    return { report(id, now) };
}

std::uint64_t ledger::fence(const std::string& organisation, std::uint64_t epoch)
{
    auto& highest = m_highestEpochs[organisation];
    highest = std::max(highest, epoch);
    return highest;
}

bool ledger::adopt(
    const attempt& found, task_phase phase, bool holdsResources, const std::string& reason, time_point now)
{
    const auto* localAllocation = findAllocation(found, m_worker);
    if (localAllocation == nullptr || m_entries.contains(found.id) || findEndRecord(found.id) != nullptr)
        return false;

    ledger_entry entry;
    entry.attempt = found;
    entry.localAllocation = *localAllocation;
    entry.phase = phase;
    entry.activeSince = now;
    entry.expiresAt = now;
    entry.mayHaveRun = true;
    entry.leads = found.allocations.front().worker == m_worker;
    entry.reason = reason;
    if (!holdsResources)
        entry.localAllocation = { entry.localAllocation.worker, entry.localAllocation.rpc, 0, 0, 0 };
    if (!isTerminal(phase) && !acceleratorConflicts(entry).empty())
        return false;

    fence(found.id.organisation, found.epoch);
    m_entries.emplace(found.id, std::move(entry));
    ++m_version;
    return true;
}

bool ledger::allowStart(const attempt_id& id)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || held->second.phase != task_phase::Committed || m_failureDomainOut)
        return false;

    held->second.mayHaveRun = true;
    ++m_version;
    return true;
}

void ledger::revokeStart(const attempt_id& id)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || held->second.phase != task_phase::Committed)
        return;

    held->second.mayHaveRun = false;
    ++m_version;
}

void ledger::markRunning(const attempt_id& id, time_point now)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || held->second.phase != task_phase::Committed)
        return;

    held->second.phase = task_phase::Running;
    held->second.activeSince = now;
    held->second.mayHaveRun = true;
    ++m_version;
}

void ledger::markEvicting(const attempt_id& id, const std::string& reason)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || isTerminal(held->second.phase) || held->second.phase == task_phase::Evicting)
        return;

    held->second.phase = task_phase::Evicting;
    held->second.reason = reason;
    ++m_version;
}

void ledger::setUsedMemory(const attempt_id& id, unsigned usedMemoryGb)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || held->second.usedMemoryGb == usedMemoryGb)
        return;

    held->second.usedMemoryGb = usedMemoryGb;
    ++m_version;
}

void ledger::end(const attempt_id& id, task_phase phase, const std::string& reason)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || isTerminal(held->second.phase) || !isTerminal(phase))
        return;

    held->second.phase = phase;
    held->second.reason = reason;
    held->second.waiting = false;
    ++m_version;
    grantWaiting();
}

void ledger::expireReservations(time_point now)
{
    std::vector<attempt_id> expired;
    for (const auto& [id, entry] : m_entries) {
        if (entry.phase == task_phase::Reserved && entry.expiresAt <= now)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        end(id, task_phase::Released, "reservation expired");
}

void ledger::setFailureDomainOut(bool out)
{
    m_failureDomainOut = out;
    if (!out)
        return;

    std::vector<attempt_id> notStarted;
    for (const auto& [id, entry] : m_entries) {
        if (!isTerminal(entry.phase) && !entry.mayHaveRun)
            notStarted.push_back(id);
    }
    for (const auto& id : notStarted)
        end(id, task_phase::Released, "failure domain is out");
}

void ledger::removeEnded(const std::vector<attempt_id>& acknowledged)
{
    for (const auto& id : acknowledged) {
        const auto held = m_entries.find(id);
        if (held == m_entries.end() || !isTerminal(held->second.phase))
            continue;
        recordEnd(id, held->second.mayHaveRun);
        m_entries.erase(held);
        ++m_version;
    }
}

const ledger_entry* ledger::find(const attempt_id& id) const
{
    const auto held = m_entries.find(id);
    return held == m_entries.end() ? nullptr : &held->second;
}

std::vector<task_report> ledger::reports(time_point now) const
{
    std::vector<task_report> all;
    all.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries)
        all.push_back(report(id, now));
    return all;
}

task_report ledger::report(const attempt_id& id, time_point now) const
{
    const auto* entry = find(id);
    task_report target;
    if (entry == nullptr) {
        target.attempt.id = id;
        target.phase = task_phase::Released;
        target.mayHaveRun = mayHaveRun(id);
        return target;
    }

    target.attempt = entry->attempt;
    target.phase = entry->phase;
    target.age = std::chrono::duration_cast<milliseconds>(now - entry->activeSince);
    target.mayHaveRun = entry->mayHaveRun;
    target.leads = entry->leads;
    target.reason = entry->reason;
    target.usedMemoryGb = entry->usedMemoryGb;
    return target;
}

reservation_answer ledger::refuse(const attempt& requested, std::string reason, bool mayHaveRun) const
{
    return { reservation_state::Refused, std::move(reason), highestEpoch(requested.id.organisation), mayHaveRun, {} };
}

reservation_answer ledger::repeatReservation(ledger_entry& held, const attempt& requested, milliseconds ttl, time_point now)
{
    if (isTerminal(held.phase))
        return refuse(requested, held.reason, held.mayHaveRun);
    if (!equalExceptEpoch(held.attempt, requested))
        return refuse(requested, "the attempt is held with other allocations", held.mayHaveRun);

    if (held.phase == task_phase::Reserved)
        held.expiresAt = std::max(held.expiresAt, now + ttl);
    const auto state = held.waiting ? reservation_state::Waiting : reservation_state::Accepted;
    return { state, "", highestEpoch(requested.id.organisation), held.mayHaveRun, {} };
}

reservation_answer ledger::allocate(ledger_entry requested, bool mayEvict)
{
    auto victims = acceleratorConflicts(requested);
    for (const auto& id : victims) {
        if (!mayEvict || !mayBeEvicted(m_entries.at(id)))
            return refuse(requested.attempt, "accelerators are held by " + toString(id));
    }
    if (!selectVictims(requested, mayEvict, victims))
        return refuse(requested.attempt, "processors or memory are held");

    reservation_answer answer { reservation_state::Accepted, "", highestEpoch(requested.attempt.id.organisation), false,
        {} };
    const auto reason = "evicted for " + toString(requested.attempt.id);
    for (const auto& id : victims) {
        if (m_entries.at(id).phase == task_phase::Evicting)
            continue;
        if (!m_entries.at(id).mayHaveRun) {
            end(id, task_phase::Released, reason);
            continue;
        }
        markEvicting(id, reason);
        answer.evict.push_back(id);
    }

    requested.waiting = !answer.evict.empty() || lacksResources(requested);
    if (requested.waiting)
        answer.state = reservation_state::Waiting;
    m_entries.emplace(requested.attempt.id, std::move(requested));
    ++m_version;
    return answer;
}

bool ledger::selectVictims(const ledger_entry& requested, bool mayEvict, std::vector<attempt_id>& victims) const
{
    const auto needed = amountsOf(requested);
    auto left = m_capacity;
    std::vector<const ledger_entry*> evictable;
    for (const auto& [id, held] : m_entries) {
        const bool willBeFreed = mayEvict && held.phase == task_phase::Evicting;
        if (isTerminal(held.phase) || willBeFreed || std::find(victims.begin(), victims.end(), id) != victims.end())
            continue;
        left = remaining(left, amountsOf(held));
        if (mayEvict && mayBeEvicted(held))
            evictable.push_back(&held);
    }

    // Evicting attempts that have not started loses no work; of the others, those that started last lose the least work.
    std::stable_sort(evictable.begin(), evictable.end(), [](const ledger_entry* one, const ledger_entry* other) {
        return std::pair(one->mayHaveRun, other->activeSince) < std::pair(other->mayHaveRun, one->activeSince);
    });
    for (const auto* held : evictable) {
        if (contains(left, needed))
            break;
        victims.push_back(held->attempt.id);
        const auto freed = amountsOf(*held);
        left = { left.accelerators | freed.accelerators, left.processors + freed.processors, left.memoryGb + freed.memoryGb };
    }
    return contains(left, needed);
}

std::vector<attempt_id> ledger::acceleratorConflicts(const ledger_entry& requested) const
{
    std::vector<attempt_id> found;
    for (const auto& [id, held] : m_entries) {
        if (id != requested.attempt.id && !isTerminal(held.phase)
            && (held.localAllocation.accelerators & requested.localAllocation.accelerators) != 0)
            found.push_back(id);
    }
    return found;
}

bool ledger::lacksResources(const ledger_entry& requested) const
{
    auto left = m_capacity;
    for (const auto& [id, held] : m_entries) {
        if (id != requested.attempt.id && !isTerminal(held.phase) && !held.waiting)
            left = remaining(left, amountsOf(held));
    }
    return !contains(left, amountsOf(requested));
}

void ledger::grantWaiting()
{
    for (auto& [id, entry] : m_entries) {
        if (!entry.waiting || lacksResources(entry))
            continue;
        entry.waiting = false;
        ++m_version;
    }
}

void ledger::recordEnd(const attempt_id& id, bool mayHaveRun)
{
    const job_key key { id.organisation, id.job };
    auto& ended = m_endRecords[key];
    if (id.number > ended.number) {
        ended.earlierMayHaveRun = ended.earlierMayHaveRun || ended.mayHaveRun;
        ended.number = id.number;
        ended.mayHaveRun = mayHaveRun;
    } else {
        auto& flag = id.number == ended.number ? ended.mayHaveRun : ended.earlierMayHaveRun;
        flag = flag || mayHaveRun;
    }
    ended.sequence = ++m_lastEndSequence;
    m_endRecordsByAge.emplace_back(key, ended.sequence);

    while (m_endRecordsByAge.size() > m_maxEndRecords) {
        const auto [oldest, sequence] = m_endRecordsByAge.front();
        m_endRecordsByAge.pop_front();
        if (const auto found = m_endRecords.find(oldest); found != m_endRecords.end() && found->second.sequence == sequence)
            m_endRecords.erase(found);
    }
}

const ledger::end_record* ledger::findEndRecord(const attempt_id& id) const
{
    const auto found = m_endRecords.find({ id.organisation, id.job });
    if (found == m_endRecords.end() || found->second.number < id.number)
        return nullptr;
    return &found->second;
}

bool ledger::mayHaveRun(const attempt_id& id) const
{
    if (const auto* entry = find(id))
        return entry->mayHaveRun;
    const auto* ended = findEndRecord(id);
    if (ended == nullptr)
        return false;
    return ended->number == id.number ? ended->mayHaveRun : ended->earlierMayHaveRun;
}

std::uint64_t ledger::highestEpoch(const std::string& organisation) const
{
    const auto found = m_highestEpochs.find(organisation);
    return found == m_highestEpochs.end() ? 0 : found->second;
}

} // namespace oriole
