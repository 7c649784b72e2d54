#include <fleet/rpc/convert.hpp>

#include <fleet/rpc/text.hpp>

namespace fleet {

namespace {

void writeWorker(rpc::Report::Builder out, const worker_description& worker)
{
    writeLife(out.initLife(), worker.incarnation);
    out.setService(toMessageText(worker.service));
    out.setFailureDomain(toMessageText(worker.failureDomain));
    auto labels = out.initLabels(static_cast<unsigned>(worker.labels.size()));
    for (unsigned i = 0; i < labels.size(); ++i)
        labels.set(i, toMessageText(worker.labels[i]));
    out.setMillicores(worker.capacity.millicores);
    out.setMemoryMb(worker.capacity.memoryMb);
    out.setAccelerators(worker.capacity.accelerators);
    out.setDraining(worker.draining);
    out.setDrainRemainingMs(worker.drainRemainingMs);
}

worker_description readWorker(rpc::Report::Reader in)
{
    worker_description worker;
    worker.incarnation = readLife(in.getLife());
    worker.service = fromMessageText(in.getService());
    worker.failureDomain = fromMessageText(in.getFailureDomain());
    for (const auto label : in.getLabels())
        worker.labels.emplace_back(fromMessageText(label));
    worker.capacity = { in.getMillicores(), in.getMemoryMb(), in.getAccelerators() };
    worker.draining = in.getDraining();
    worker.drainRemainingMs = in.getDrainRemainingMs();
    return worker;
}

/// An agent of a later version may name other kinds; whatever the kind, the run has ended and is not done.
run_outcome readOutcome(std::uint8_t how)
{
    return how <= static_cast<std::uint8_t>(run_outcome::Lost) ? static_cast<run_outcome>(how) : run_outcome::Lost;
}

} // namespace

void writeLife(rpc::Life::Builder out, const worker_incarnation& life)
{
    out.setInstance(toMessageText(life.instance));
    out.setBornUnixMs(life.startedUnixMs);
}

worker_incarnation readLife(rpc::Life::Reader in)
{
    return { fromMessageText(in.getInstance()), in.getBornUnixMs() };
}

void writeRun(rpc::Run::Builder out, const run_id& run)
{
    out.setTask(toMessageText(toString(run.task)));
    out.setAttempt(run.attempt);
}

std::optional<run_id> readRun(rpc::Run::Reader in)
{
    auto task = parseTaskId(fromMessageText(in.getTask()));
    if (!task)
        return std::nullopt;
    return run_id { std::move(*task), in.getAttempt() };
}

void writeReport(rpc::Report::Builder out, const worker_report& report)
{
    writeWorker(out, report.worker);
    auto active = out.initActive(static_cast<unsigned>(report.active.size()));
    for (unsigned i = 0; i < active.size(); ++i) {
        writeRun(active[i].initRun(), report.active[i].run);
        active[i].setCheckpoint(toMessageText(report.active[i].checkpoint));
        active[i].setPercent(static_cast<float>(report.active[i].percent));
        active[i].setUsage(static_cast<float>(report.active[i].usage));
    }
    auto ended = out.initEnded(static_cast<unsigned>(report.ended.size()));
    for (unsigned i = 0; i < ended.size(); ++i) {
        writeRun(ended[i].initRun(), report.ended[i].run);
        ended[i].setNumber(report.ended[i].number);
        ended[i].setHow(static_cast<std::uint8_t>(report.ended[i].outcome));
        ended[i].setCheckpoint(toMessageText(report.ended[i].checkpoint));
    }
    out.setResponsive(report.responsive);
    out.setGone(report.gone);
    out.setOthersMayRun(report.othersMayRun);
    out.setEndsTruncated(report.endsTruncated);
}

worker_report readReport(rpc::Report::Reader in)
{
    worker_report report;
    report.worker = readWorker(in);
    for (const auto entry : in.getActive()) {
        if (auto run = readRun(entry.getRun()))
            report.active.push_back({ std::move(*run), fromMessageText(entry.getCheckpoint()), entry.getPercent(), entry.getUsage() });
    }
    for (const auto entry : in.getEnded()) {
        if (auto run = readRun(entry.getRun()))
            report.ended.push_back({ entry.getNumber(), std::move(*run), readOutcome(entry.getHow()), fromMessageText(entry.getCheckpoint()) });
    }
    report.responsive = in.getResponsive();
    report.gone = in.getGone();
    report.othersMayRun = in.getOthersMayRun();
    report.endsTruncated = in.getEndsTruncated();
    return report;
}

} // namespace fleet
