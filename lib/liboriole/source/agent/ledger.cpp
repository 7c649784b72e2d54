#include <oriole/agent/ledger.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

const allocation* shareOf(const attempt& wanted, const std::string& worker)
{
    const auto found = std::find_if(wanted.allocations.begin(), wanted.allocations.end(),
        [&](const allocation& share) { return share.worker == worker; });
    return found == wanted.allocations.end() ? nullptr : &*found;
}

/// More memory than was asked for is counted when the task really uses it.
amounts amountsOf(const ledger_entry& held)
{
    return { held.share.accelerators, held.share.processors, std::max(held.share.memoryGb, held.usedMemoryGb) };
}

bool mayBeEvicted(const ledger_entry& held)
{
    return held.phase == task_phase::Evicting || (!held.attempt.guaranteed && !held.attempt.urgent);
}

bool mayEvict(const attempt& wanted)
{
    return wanted.guaranteed || wanted.urgent;
}

// A new owner of the organisation repeats a reservation under its own epoch.
bool sameBesidesEpoch(const attempt& left, attempt right)
{
    right.epoch = left.epoch;
    return left == right;
}

} // namespace

ledger::ledger(std::string worker, const amounts& capacity, std::size_t rememberedEnds)
    : m_worker(std::move(worker))
    , m_capacity(capacity)
    , m_rememberedEnds(rememberedEnds)
{
}

reservation_answer ledger::reserve(const attempt& wanted, milliseconds ttl, bool evictBorrowed, time_point now)
{
    if (wanted.epoch < highestEpoch(wanted.id.organisation))
        return refuse(wanted, "stale epoch", true);
    fence(wanted.id.organisation, wanted.epoch);

    expire(now);
    if (const auto held = m_entries.find(wanted.id); held != m_entries.end())
        return repeated(held->second, wanted, ttl, now);
    if (rememberedEnd(wanted.id) != nullptr)
        return refuse(wanted, "the attempt has ended", mayHaveRun(wanted.id));
    if (m_out)
        return refuse(wanted, "failure domain is out");

    const auto* share = shareOf(wanted, m_worker);
    if (share == nullptr)
        return refuse(wanted, "no allocation on this worker");
    if (!contains(m_capacity, { share->accelerators, share->processors, share->memoryGb }))
        return refuse(wanted, "more than this worker has");

    ledger_entry entry;
    entry.attempt = wanted;
    entry.share = *share;
    entry.since = now;
    entry.expires = now + ttl;
    entry.leads = wanted.allocations.front().worker == m_worker;
    return claim(std::move(entry), evictBorrowed && mayEvict(wanted));
}

commit_answer ledger::commit(const attempt_id& id, std::uint64_t epoch, time_point now)
{
    if (epoch < highestEpoch(id.organisation))
        return { false, "stale epoch", true };
    fence(id.organisation, epoch);

    expire(now);
    const auto held = m_entries.find(id);
    if (held == m_entries.end()) {
        const bool ran = mayHaveRun(id);
        remember(id, ran);
        return { false, "unknown attempt", ran };
    }

    auto& entry = held->second;
    if (isEnd(entry.phase))
        return { entry.mayHaveRun, entry.reason, entry.mayHaveRun };
    if (entry.phase != task_phase::Reserved)
        return { true, "", entry.mayHaveRun };
    if (entry.waiting)
        return { false, "evicted tasks have not ended yet", false };
    if (m_out)
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
        remember(id, answer.mayHaveRun);
        return { answer };
    }

    if (isEnd(held->second.phase))
        return { report(id, now) };
    if (held->second.mayHaveRun)
        markEvicting(id, reason);
    else
        end(id, task_phase::Released, reason);
    return { report(id, now) };
}

std::uint64_t ledger::fence(const std::string& organisation, std::uint64_t epoch)
{
    auto& highest = m_epochs[organisation];
    highest = std::max(highest, epoch);
    return highest;
}

bool ledger::adopt(
    const attempt& found, task_phase phase, bool holds, const std::string& reason, time_point now)
{
    const auto* share = shareOf(found, m_worker);
    if (share == nullptr || m_entries.contains(found.id) || rememberedEnd(found.id) != nullptr)
        return false;

    ledger_entry entry;
    entry.attempt = found;
    entry.share = *share;
    entry.phase = phase;
    entry.since = now;
    entry.expires = now;
    entry.mayHaveRun = true;
    entry.leads = found.allocations.front().worker == m_worker;
    entry.reason = reason;
    if (!holds)
        entry.share = { entry.share.worker, entry.share.rpc, 0, 0, 0 };
    if (!isEnd(phase) && !conflicts(entry).empty())
        return false;

    fence(found.id.organisation, found.epoch);
    m_entries.emplace(found.id, std::move(entry));
    ++m_version;
    return true;
}

bool ledger::allowStart(const attempt_id& id)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || held->second.phase != task_phase::Committed || m_out)
        return false;

    held->second.mayHaveRun = true;
    ++m_version;
    return true;
}

void ledger::retractStart(const attempt_id& id)
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
    held->second.since = now;
    held->second.mayHaveRun = true;
    ++m_version;
}

void ledger::markEvicting(const attempt_id& id, const std::string& reason)
{
    const auto held = m_entries.find(id);
    if (held == m_entries.end() || isEnd(held->second.phase) || held->second.phase == task_phase::Evicting)
        return;

    held->second.phase = task_phase::Evicting;
    held->second.reason = reason;
    ++m_version;
}

void ledger::markMemory(const attempt_id& id, unsigned usedMemoryGb)
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
    if (held == m_entries.end() || isEnd(held->second.phase) || !isEnd(phase))
        return;

    held->second.phase = phase;
    held->second.reason = reason;
    held->second.waiting = false;
    ++m_version;
    settle();
}

void ledger::expire(time_point now)
{
    std::vector<attempt_id> over;
    for (const auto& [id, entry] : m_entries) {
        if (entry.phase == task_phase::Reserved && entry.expires <= now)
            over.push_back(id);
    }
    for (const auto& id : over)
        end(id, task_phase::Released, "reservation expired");
}

void ledger::setOut(bool out)
{
    m_out = out;
    if (!out)
        return;

    std::vector<attempt_id> notStarted;
    for (const auto& [id, entry] : m_entries) {
        if (!isEnd(entry.phase) && !entry.mayHaveRun)
            notStarted.push_back(id);
    }
    for (const auto& id : notStarted)
        end(id, task_phase::Released, "failure domain is out");
}

void ledger::forget(const std::vector<attempt_id>& acknowledged)
{
    for (const auto& id : acknowledged) {
        const auto held = m_entries.find(id);
        if (held == m_entries.end() || !isEnd(held->second.phase))
            continue;
        remember(id, held->second.mayHaveRun);
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
    target.age = std::chrono::duration_cast<milliseconds>(now - entry->since);
    target.mayHaveRun = entry->mayHaveRun;
    target.leads = entry->leads;
    target.reason = entry->reason;
    target.usedMemoryGb = entry->usedMemoryGb;
    return target;
}

reservation_answer ledger::refuse(const attempt& wanted, std::string reason, bool mayHaveRun) const
{
    return { reservation_state::Refused, std::move(reason), highestEpoch(wanted.id.organisation), mayHaveRun, {} };
}

reservation_answer ledger::repeated(ledger_entry& held, const attempt& wanted, milliseconds ttl, time_point now)
{
    if (isEnd(held.phase))
        return refuse(wanted, held.reason, held.mayHaveRun);
    if (!sameBesidesEpoch(held.attempt, wanted))
        return refuse(wanted, "the attempt is held with other allocations", held.mayHaveRun);

    if (held.phase == task_phase::Reserved)
        held.expires = std::max(held.expires, now + ttl);
    const auto state = held.waiting ? reservation_state::Waiting : reservation_state::Accepted;
    return { state, "", highestEpoch(wanted.id.organisation), held.mayHaveRun, {} };
}

reservation_answer ledger::claim(ledger_entry wanted, bool mayEvict)
{
    auto inTheWay = conflicts(wanted);
    for (const auto& id : inTheWay) {
        if (!mayEvict || !mayBeEvicted(m_entries.at(id)))
            return refuse(wanted.attempt, "accelerators are held by " + toString(id));
    }
    if (!makeRoom(wanted, mayEvict, inTheWay))
        return refuse(wanted.attempt, "processors or memory are held");

    reservation_answer answer { reservation_state::Accepted, "", highestEpoch(wanted.attempt.id.organisation), false,
        {} };
    const auto reason = "evicted for " + toString(wanted.attempt.id);
    for (const auto& id : inTheWay) {
        if (m_entries.at(id).phase == task_phase::Evicting)
            continue;
        if (!m_entries.at(id).mayHaveRun) {
            end(id, task_phase::Released, reason);
            continue;
        }
        markEvicting(id, reason);
        answer.evict.push_back(id);
    }

    wanted.waiting = !answer.evict.empty() || blocked(wanted);
    if (wanted.waiting)
        answer.state = reservation_state::Waiting;
    m_entries.emplace(wanted.attempt.id, std::move(wanted));
    ++m_version;
    return answer;
}

bool ledger::makeRoom(const ledger_entry& wanted, bool mayEvict, std::vector<attempt_id>& victims) const
{
    const auto needed = amountsOf(wanted);
    auto left = m_capacity;
    std::vector<const ledger_entry*> evictable;
    for (const auto& [id, held] : m_entries) {
        const bool leaves = mayEvict && held.phase == task_phase::Evicting;
        if (isEnd(held.phase) || leaves || std::find(victims.begin(), victims.end(), id) != victims.end())
            continue;
        left = remaining(left, amountsOf(held));
        if (mayEvict && mayBeEvicted(held))
            evictable.push_back(&held);
    }

    // The least work is lost with those that have not started, then with those that started last.
    std::stable_sort(evictable.begin(), evictable.end(), [](const ledger_entry* one, const ledger_entry* other) {
        return std::pair(one->mayHaveRun, other->since) < std::pair(other->mayHaveRun, one->since);
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

std::vector<attempt_id> ledger::conflicts(const ledger_entry& wanted) const
{
    std::vector<attempt_id> found;
    for (const auto& [id, held] : m_entries) {
        if (id != wanted.attempt.id && !isEnd(held.phase) && (held.share.accelerators & wanted.share.accelerators) != 0)
            found.push_back(id);
    }
    return found;
}

bool ledger::blocked(const ledger_entry& wanted) const
{
    auto left = m_capacity;
    for (const auto& [id, held] : m_entries) {
        if (id != wanted.attempt.id && !isEnd(held.phase) && !held.waiting)
            left = remaining(left, amountsOf(held));
    }
    return !contains(left, amountsOf(wanted));
}

void ledger::settle()
{
    for (auto& [id, entry] : m_entries) {
        if (!entry.waiting || blocked(entry))
            continue;
        entry.waiting = false;
        ++m_version;
    }
}

void ledger::remember(const attempt_id& id, bool mayHaveRun)
{
    const job_key key { id.organisation, id.job };
    auto& ended = m_ends[key];
    if (id.number > ended.number) {
        ended.earlierMayHaveRun = ended.earlierMayHaveRun || ended.mayHaveRun;
        ended.number = id.number;
        ended.mayHaveRun = mayHaveRun;
    } else {
        auto& flag = id.number == ended.number ? ended.mayHaveRun : ended.earlierMayHaveRun;
        flag = flag || mayHaveRun;
    }
    ended.age = ++m_endAge;
    m_endsByAge.emplace_back(key, ended.age);

    while (m_endsByAge.size() > m_rememberedEnds) {
        const auto [oldest, age] = m_endsByAge.front();
        m_endsByAge.pop_front();
        if (const auto found = m_ends.find(oldest); found != m_ends.end() && found->second.age == age)
            m_ends.erase(found);
    }
}

const ledger::remembered_end* ledger::rememberedEnd(const attempt_id& id) const
{
    const auto found = m_ends.find({ id.organisation, id.job });
    if (found == m_ends.end() || found->second.number < id.number)
        return nullptr;
    return &found->second;
}

bool ledger::mayHaveRun(const attempt_id& id) const
{
    if (const auto* entry = find(id))
        return entry->mayHaveRun;
    const auto* ended = rememberedEnd(id);
    if (ended == nullptr)
        return false;
    return ended->number == id.number ? ended->mayHaveRun : ended->earlierMayHaveRun;
}

std::uint64_t ledger::highestEpoch(const std::string& organisation) const
{
    const auto found = m_epochs.find(organisation);
    return found == m_epochs.end() ? 0 : found->second;
}

} // namespace oriole
