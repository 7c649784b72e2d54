#include <oriole/rpc/convert.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace oriole::rpc {

namespace {

constexpr std::array<std::pair<failure_kind, const char*>, 9> kindNames { {
    { failure_kind::InvalidInput, "invalid-input" },
    { failure_kind::NotFound, "not-found" },
    { failure_kind::Conflict, "conflict" },
    { failure_kind::TooLarge, "too-large" },
    { failure_kind::Impossible, "impossible" },
    { failure_kind::Overloaded, "overloaded" },
    { failure_kind::Unavailable, "unavailable" },
    { failure_kind::Broken, "broken" },
    { failure_kind::Timeout, "timeout" },
} };

const char* kindName(failure_kind kind)
{
    for (const auto& [value, name] : kindNames) {
        if (value == kind)
            return name;
    }
    return "broken";
}

failure_kind parseKind(const std::string& text)
{
    for (const auto& [value, name] : kindNames) {
        if (text == name)
            return value;
    }
    return failure_kind::Broken;
}

std::uint64_t count(std::chrono::milliseconds duration)
{
    return duration.count() < 0 ? 0 : static_cast<std::uint64_t>(duration.count());
}

std::chrono::milliseconds duration(std::uint64_t value)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

void write(Allocation::Builder target, const allocation& source)
{
    target.setWorker(source.worker);
    target.setRpc(source.rpc);
    target.setAccelerators(source.accelerators);
    target.setProcessors(source.processors);
    target.setMemoryGb(source.memoryGb);
}

allocation read(Allocation::Reader source)
{
    return { source.getWorker(), source.getRpc(), source.getAccelerators(), source.getProcessors(),
        source.getMemoryGb() };
}

} // namespace

kj::ArrayPtr<const kj::byte> toWire(const std::string& body)
{
    return kj::arrayPtr(body.data(), body.size()).asBytes();
}

std::string readBytes(capnp::Data::Reader data)
{
    return { data.asChars().begin(), data.size() };
}

void write(Failure::Builder target, const failure& source)
{
    target.setKind(kindName(source.kind));
    target.setVerdict(toWire(source.ran));
    target.setReason(source.reason);
}

failure read(Failure::Reader source)
{
    return { parseKind(source.getKind()), fromWire(source.getVerdict()), source.getReason() };
}

Verdict toWire(verdict value)
{
    switch (value) {
    case verdict::Completed:
        return Verdict::COMPLETED;
    case verdict::NotRun:
        return Verdict::NOT_RUN;
    case verdict::MayHaveRun:
        return Verdict::MAY_HAVE_RUN;
    }
    return Verdict::MAY_HAVE_RUN;
}

verdict fromWire(Verdict value)
{
    switch (value) {
    case Verdict::COMPLETED:
        return verdict::Completed;
    case Verdict::NOT_RUN:
        return verdict::NotRun;
    case Verdict::MAY_HAVE_RUN:
        return verdict::MayHaveRun;
    }
    return verdict::MayHaveRun;
}

// The two enumerations list the phases in the same order.
static_assert(static_cast<int>(TaskPhase::RESERVED) == static_cast<int>(task_phase::Reserved));
static_assert(static_cast<int>(TaskPhase::RUNNING) == static_cast<int>(task_phase::Running));
static_assert(static_cast<int>(TaskPhase::RELEASED) == static_cast<int>(task_phase::Released));

TaskPhase toWire(task_phase phase)
{
    return static_cast<TaskPhase>(phase);
}

task_phase fromWire(TaskPhase phase)
{
    // A phase from a later version is unknown here; what may have run must not look as if it had not.
    if (phase > TaskPhase::RELEASED)
        return task_phase::Lost;
    return static_cast<task_phase>(phase);
}

void write(EntryAddress::Builder target, const entry_address& source)
{
    target.setName(source.name);
    target.setRpc(source.rpc);
    target.setRegion(source.region);
}

entry_address read(EntryAddress::Reader source)
{
    return { source.getName(), source.getRpc(), source.getRegion() };
}

void write(WorkerInfo::Builder target, const worker_info& source)
{
    target.setName(source.name);
    target.setRpc(source.rpc);
    target.setRegion(source.region);
    target.setFailureDomain(source.failureDomain);
    target.setRack(source.rack);
    target.setService(source.service);
    target.setAccelerators(source.accelerators);
    target.setProcessors(source.processors);
    target.setMemoryGb(source.memoryGb);
    target.setSlots(source.slots);
    target.setConnections(source.connections);
    target.setIncarnation(source.incarnation);
}

worker_info read(WorkerInfo::Reader source)
{
    worker_info target;
    target.name = source.getName();
    target.rpc = source.getRpc();
    target.region = source.getRegion();
    target.failureDomain = source.getFailureDomain();
    target.rack = source.getRack();
    target.service = source.getService();
    target.accelerators = source.getAccelerators();
    target.processors = source.getProcessors();
    target.memoryGb = source.getMemoryGb();
    target.slots = source.getSlots();
    target.connections = source.getConnections();
    target.incarnation = source.getIncarnation();
    return target;
}

void write(AttemptId::Builder target, const attempt_id& source)
{
    target.setOrganisation(source.organisation);
    target.setJob(source.job);
    target.setNumber(source.number);
}

attempt_id read(AttemptId::Reader source)
{
    return { source.getOrganisation(), source.getJob(), source.getNumber() };
}

void write(Attempt::Builder target, const attempt& source)
{
    write(target.initId(), source.id);
    target.setEpoch(source.epoch);
    target.setGuaranteed(source.guaranteed);
    target.setUrgent(source.urgent);
    target.setRepeatable(source.repeatable);
    auto allocations = target.initAllocations(static_cast<unsigned>(source.allocations.size()));
    for (unsigned i = 0; i < allocations.size(); ++i)
        write(allocations[i], source.allocations[i]);
    target.setRunMs(count(source.declaredRun));
    target.setPayload(source.payload);
}

attempt read(Attempt::Reader source)
{
    attempt target;
    target.id = read(source.getId());
    target.epoch = source.getEpoch();
    target.guaranteed = source.getGuaranteed();
    target.urgent = source.getUrgent();
    target.repeatable = source.getRepeatable();
    for (const auto allocation : source.getAllocations())
        target.allocations.push_back(read(allocation));
    target.declaredRun = duration(source.getRunMs());
    target.payload = source.getPayload();
    return target;
}

void write(TaskReport::Builder target, const task_report& source)
{
    write(target.initAttempt(), source.attempt);
    target.setPhase(toWire(source.phase));
    target.setAgeMs(count(source.age));
    target.setMayHaveRun(source.mayHaveRun);
    target.setLeads(source.leads);
    target.setReason(source.reason);
    target.setUsedMemoryGb(source.usedMemoryGb);
}

task_report read(TaskReport::Reader source)
{
    task_report target;
    target.attempt = read(source.getAttempt());
    target.phase = fromWire(source.getPhase());
    target.age = duration(source.getAgeMs());
    target.mayHaveRun = source.getMayHaveRun();
    target.leads = source.getLeads();
    target.reason = source.getReason();
    target.usedMemoryGb = source.getUsedMemoryGb();
    return target;
}

std::vector<attempt_id> read(capnp::List<AttemptId>::Reader source)
{
    std::vector<attempt_id> target;
    for (const auto id : source)
        target.push_back(read(id));
    return target;
}

std::vector<task_report> read(capnp::List<TaskReport>::Reader source)
{
    std::vector<task_report> target;
    for (const auto report : source)
        target.push_back(read(report));
    return target;
}

std::uint64_t digestOf(const std::vector<entry_address>& entries)
{
    if (entries.empty())
        return 0;
    std::string text;
    for (const auto& entry : entries)
        text += entry.name + '\n' + entry.rpc + '\n' + entry.region + '\n';
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

void write(ControlView::Builder target, const control_state& source, const std::vector<entry_address>& entries,
    bool fresh, bool leavingEntry, const view_receiver& receiver)
{
    auto revision = target.initRevision();
    revision.setConfiguration(source.configurationRevision());
    revision.setFailureDomains(source.failureDomains().revision);

    target.setFresh(fresh);
    target.setLeavingEntry(leavingEntry);

    target.setEntriesDigest(digestOf(entries));
    if (target.getEntriesDigest() != receiver.entriesDigest) {
        auto addresses = target.initEntries(static_cast<unsigned>(entries.size()));
        for (unsigned i = 0; i < addresses.size(); ++i)
            write(addresses[i], entries[i]);
    }

    if (source.failureDomains().revision > receiver.failureDomains) {
        auto out = target.initOutFailureDomains(static_cast<unsigned>(source.failureDomains().out.size()));
        unsigned position = 0;
        for (const auto& name : source.failureDomains().out)
            out.set(position++, name);
    }

    if (source.configurationRevision() > receiver.configuration)
        target.setConfiguration(source.configuration()->document);
}

void write(ControlView::Builder target, const control_state& source, const std::vector<entry_address>& entries,
    bool fresh, bool leavingEntry, std::uint64_t receiverConfiguration)
{
    write(target, source, entries, fresh, leavingEntry, view_receiver { .configuration = receiverConfiguration });
}

control_view read(ControlView::Reader source)
{
    control_view target;
    target.configurationRevision = source.getRevision().getConfiguration();
    target.fresh = source.getFresh();
    target.freshAge = std::chrono::milliseconds(source.getFreshAgeMs());
    target.leavingEntry = source.getLeavingEntry();
    for (const auto entry : source.getEntries())
        target.entries.push_back(read(entry));
    target.entriesDigest = source.getEntriesDigest();

    target.failureDomains.revision = source.getRevision().getFailureDomains();
    for (const auto name : source.getOutFailureDomains())
        target.failureDomains.out.insert(name);

    if (source.getConfiguration().size() == 0)
        return target;

    const std::string document = source.getConfiguration();
    if (auto parsed = parseConfiguration(document); parsed) {
        target.configuration = std::make_shared<const configuration_head>(
            configuration_head { target.configurationRevision, document, std::move(parsed.value()) });
    }
    return target;
}

} // namespace oriole::rpc
