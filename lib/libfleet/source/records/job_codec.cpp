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
    json target = { { "count", step.count }, { "millicores", step.need.millicores }, { "memory_mb", step.need.memoryMb },
        { "accelerators", step.need.accelerators }, { "estimate_ms", step.runTimeMs } };
    const auto add = [&target](const char* name, const auto& value) {
        if (value != std::decay_t<decltype(value)> {})
            target[name] = value;
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
    return target;
}

step_spec decodeStep(const json& source)
{
    step_spec step;
    step.count = source.at("count").get<unsigned>();
    step.need.millicores = source.at("millicores").get<std::int64_t>();
    step.need.memoryMb = source.at("memory_mb").get<std::int64_t>();
    step.need.accelerators = source.at("accelerators").get<std::int64_t>();
    step.runTimeMs = source.at("estimate_ms").get<std::int64_t>();
    step.after = source.value("after", std::vector<unsigned> {});
    step.checkpointing = source.value("checkpointing", false);
    step.gang = source.value("gang", false);
    step.sameRack = source.value("same_rack", false);
    step.lasting = source.value("lasting", false);
    step.fillsIdle = source.value("fills_idle", false);
    step.requirement = source.value("requirement", "");
    step.affinityRack = source.value("affinity_rack", "");
    step.image = source.value("image", "");
    step.antiAffinity = source.value("anti_affinity", 0U);
    step.optional = source.value("optional", 0U);
    step.targetMs = source.value("target_ms", 0U);
    return step;
}

/// A task is an array of status, attempt, failures and last failed attempt. A task that is live or has a checkpoint also
/// has worker, instance, start time of the instance and checkpoint.
json encodeTask(const task_progress& task)
{
    json target = { static_cast<int>(task.status), task.attempt, task.failures, task.failedAttempt };
    if (task.status == task_status::Live || !task.checkpoint.empty()) {
        target.push_back(task.worker);
        target.push_back(task.life.instance);
        target.push_back(task.life.startedUnixMs);
        target.push_back(task.checkpoint);
    }
    return target;
}

task_progress decodeTask(const json& source)
{
    task_progress task;
    const int status = source.at(0).get<int>();
    if (status < 0 || status > static_cast<int>(task_status::Done))
        throw std::invalid_argument("unknown status of a task");
    task.status = static_cast<task_status>(status);
    task.attempt = source.at(1).get<unsigned>();
    task.failures = source.at(2).get<unsigned>();
    task.failedAttempt = source.at(3).get<unsigned>();
    if (source.size() > 4) {
        task.worker = source.at(4).get<std::string>();
        task.life = { source.at(5).get<std::string>(), source.at(6).get<std::int64_t>() };
        task.checkpoint = source.at(7).get<std::string>();
    }
    return task;
}

/// @brief Parses and decodes a record.
/// @return No value when the record is malformed.
template <typename Value>
std::optional<Value> tryDecode(std::string_view text, const std::function<Value(const json&)>& decode)
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

std::size_t maxProgressBytes(const job_spec& spec)
{
    // Status, three counts, the names of a worker and its instance, a start time and a checkpoint.
    constexpr std::size_t bytesPerTask = 128;
    constexpr std::size_t bytesPerRecord = 100;
    std::size_t tasks = 0;
    for (const auto& step : spec.steps)
        tasks += step.count;
    return bytesPerRecord + tasks * spec.occurrences() * bytesPerTask;
}

std::string encodeJob(const accepted_job& job)
{
    json steps = json::array();
    for (const auto& step : job.spec.steps)
        steps.push_back(encodeStep(step));
    json target = { { "id", job.id }, { "queue", job.queue }, { "service", job.service }, { "organisation", job.organisation },
        { "accepted_unix_ms", job.acceptedUnixMs }, { "digest", job.bodyDigest }, { "text", job.spec.text },
        { "steps", std::move(steps) } };
    if (job.spec.repeatCount > 0) {
        target["repeat"] = job.spec.repeatCount;
        target["first_due_unix_ms"] = job.spec.firstDueUnixMs;
        target["interval_ms"] = job.spec.intervalMs;
    }
    if (job.terms) {
        target["terms"] = { { "priority", job.terms->priority }, { "max_attempts", job.terms->maxAttempts },
            { "slack_factor", job.terms->slackFactor }, { "target_ms", job.terms->targetLatencyMs } };
    }
    return target.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<accepted_job> decodeJob(std::string_view text)
{
    return tryDecode<accepted_job>(text, [](const json& source) {
        accepted_job job;
        job.id = source.at("id").get<std::string>();
        job.queue = source.at("queue").get<std::string>();
        job.service = source.at("service").get<std::string>();
        job.organisation = source.at("organisation").get<std::string>();
        job.acceptedUnixMs = source.at("accepted_unix_ms").get<std::int64_t>();
        job.bodyDigest = source.at("digest").get<std::uint64_t>();
        job.spec.text = source.at("text").get<std::string>();
        for (const auto& step : source.at("steps"))
            job.spec.steps.push_back(decodeStep(step));
        if (const auto terms = source.find("terms"); terms != source.end()) {
            job.terms = acceptance_terms { terms->at("priority").get<unsigned>(), terms->at("max_attempts").get<unsigned>(),
                terms->at("slack_factor").get<double>(), terms->at("target_ms").get<std::int64_t>() };
        }
        job.spec.repeatCount = source.value("repeat", 0U);
        job.spec.firstDueUnixMs = source.value("first_due_unix_ms", std::int64_t { 0 });
        job.spec.intervalMs = source.value("interval_ms", std::int64_t { 0 });
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
    return tryDecode<job_progress>(text, [](const json& source) {
        job_progress progress;
        progress.state = parseState(source.at("state").get<std::string>());
        for (const auto& steps : source.at("occurrences")) {
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
    return tryDecode<job_status>(text, [](const json& source) {
        return job_status { source.at("queue").get<std::string>(), parseState(source.at("state").get<std::string>()) };
    });
}

} // namespace fleet
