#include <fleet/records/job_codec.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <functional>

namespace fleet {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 5> stateNames { "queued", "running", "completed", "failed", "cancelled" };

job_state parseState(const std::string& name)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (stateNames.at(i) == name)
            return static_cast<job_state>(i);
    }
    throw std::invalid_argument("unknown state " + name);
}

json encodeStep(const step_spec& step)
{
    json out = { { "count", step.count }, { "millicores", step.need.millicores }, { "memory_mb", step.need.memoryMb },
        { "accelerators", step.need.accelerators }, { "estimate_ms", step.runTimeMs } };
    const auto add = [&out](const char* name, const auto& value) {
        if (value != std::decay_t<decltype(value)> {})
            out[name] = value;
    };
    add("after", step.after);
    add("checkpointing", step.checkpointing);
    add("gang", step.gang);
    add("same_rack", step.sameRack);
    add("lasting", step.lasting);
    add("fills_idle", step.fillsIdle);
    add("requirement", step.requirement);
    add("affinity_rack", step.affinityRack);
    add("image", step.image);
    add("anti_affinity", step.antiAffinity);
    add("optional", step.optional);
    add("target_ms", step.targetMs);
    return out;
}

step_spec decodeStep(const json& in)
{
    step_spec step;
    step.count = in.at("count").get<unsigned>();
    step.need.millicores = in.at("millicores").get<std::int64_t>();
    step.need.memoryMb = in.at("memory_mb").get<std::int64_t>();
    step.need.accelerators = in.at("accelerators").get<std::int64_t>();
    step.runTimeMs = in.at("estimate_ms").get<std::int64_t>();
    step.after = in.value("after", std::vector<unsigned> {});
    step.checkpointing = in.value("checkpointing", false);
    step.gang = in.value("gang", false);
    step.sameRack = in.value("same_rack", false);
    step.lasting = in.value("lasting", false);
    step.fillsIdle = in.value("fills_idle", false);
    step.requirement = in.value("requirement", "");
    step.affinityRack = in.value("affinity_rack", "");
    step.image = in.value("image", "");
    step.antiAffinity = in.value("anti_affinity", 0U);
    step.optional = in.value("optional", 0U);
    step.targetMs = in.value("target_ms", 0U);
    return step;
}

/// A task as an array: status, attempt, failures, attempt that failed last, and while it matters worker, instance,
/// birth and checkpoint.
json encodeTask(const task_progress& task)
{
    json out = { static_cast<int>(task.status), task.attempt, task.failures, task.failedAttempt };
    if (task.status == task_status::Live || !task.checkpoint.empty()) {
        out.push_back(task.worker);
        out.push_back(task.life.instance);
        out.push_back(task.life.bornUnixMs);
        out.push_back(task.checkpoint);
    }
    return out;
}

task_progress decodeTask(const json& in)
{
    task_progress task;
    task.status = static_cast<task_status>(in.at(0).get<int>());
    task.attempt = in.at(1).get<unsigned>();
    task.failures = in.at(2).get<unsigned>();
    task.failedAttempt = in.at(3).get<unsigned>();
    if (in.size() > 4) {
        task.worker = in.at(4).get<std::string>();
        task.life = { in.at(5).get<std::string>(), in.at(6).get<std::int64_t>() };
        task.checkpoint = in.at(7).get<std::string>();
    }
    return task;
}

/// @brief Runs a decoder; a record that can't be read has no value.
template <typename Value>
std::optional<Value> guarded(std::string_view text, const std::function<Value(const json&)>& decode)
{
    try {
        return decode(json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string_view toString(job_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string encodeJob(const accepted_job& job)
{
    json steps = json::array();
    for (const auto& step : job.spec.steps)
        steps.push_back(encodeStep(step));
    json out = { { "id", job.id }, { "queue", job.queue }, { "service", job.service }, { "organisation", job.organisation },
        { "accepted_unix_ms", job.acceptedUnixMs }, { "digest", job.bodyDigest }, { "text", job.spec.text },
        { "steps", std::move(steps) } };
    if (job.spec.repeatCount > 0) {
        out["repeat"] = job.spec.repeatCount;
        out["first_due_unix_ms"] = job.spec.firstDueUnixMs;
        out["interval_ms"] = job.spec.intervalMs;
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<accepted_job> decodeJob(std::string_view text)
{
    return guarded<accepted_job>(text, [](const json& in) {
        accepted_job job;
        job.id = in.at("id").get<std::string>();
        job.queue = in.at("queue").get<std::string>();
        job.service = in.at("service").get<std::string>();
        job.organisation = in.at("organisation").get<std::string>();
        job.acceptedUnixMs = in.at("accepted_unix_ms").get<std::int64_t>();
        job.bodyDigest = in.at("digest").get<std::uint64_t>();
        job.spec.text = in.at("text").get<std::string>();
        for (const auto& step : in.at("steps"))
            job.spec.steps.push_back(decodeStep(step));
        job.spec.repeatCount = in.value("repeat", 0U);
        job.spec.firstDueUnixMs = in.value("first_due_unix_ms", std::int64_t { 0 });
        job.spec.intervalMs = in.value("interval_ms", std::int64_t { 0 });
        return job;
    });
}

std::string encodeProgress(const job_progress& progress)
{
    json occurrences = json::array();
    for (const auto& occurrence : progress.occurrences) {
        json steps = json::array();
        for (const auto& step : occurrence.steps) {
            json tasks = json::array();
            for (const auto& task : step)
                tasks.push_back(encodeTask(task));
            steps.push_back(std::move(tasks));
        }
        occurrences.push_back(std::move(steps));
    }
    return json { { "state", toString(progress.state) }, { "occurrences", std::move(occurrences) } }.dump();
}

std::optional<job_progress> decodeProgress(std::string_view text)
{
    return guarded<job_progress>(text, [](const json& in) {
        job_progress progress;
        progress.state = parseState(in.at("state").get<std::string>());
        for (const auto& steps : in.at("occurrences")) {
            occurrence_progress occurrence;
            for (const auto& tasks : steps) {
                auto& step = occurrence.steps.emplace_back();
                for (const auto& task : tasks)
                    step.push_back(decodeTask(task));
            }
            progress.occurrences.push_back(std::move(occurrence));
        }
        return progress;
    });
}

std::string encodeStatus(const job_status& status)
{
    return json { { "queue", status.queue }, { "state", toString(status.state) } }.dump();
}

std::optional<job_status> decodeStatus(std::string_view text)
{
    return guarded<job_status>(text, [](const json& in) {
        return job_status { in.at("queue").get<std::string>(), parseState(in.at("state").get<std::string>()) };
    });
}

} // namespace fleet
