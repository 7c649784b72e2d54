#include <oriole/core/model.hpp>

namespace oriole {

std::string_view toString(adjacency value)
{
    switch (value) {
    case adjacency::Worker:
        return "worker";
    case adjacency::Rack:
        return "rack";
    case adjacency::FailureDomain:
        return "failure-domain";
    }
    return "worker";
}

std::optional<adjacency> parseAdjacency(std::string_view text)
{
    for (const auto value : { adjacency::Worker, adjacency::Rack, adjacency::FailureDomain }) {
        if (text == toString(value))
            return value;
    }
    return std::nullopt;
}

std::string toString(const attempt_id& id)
{
    return id.organisation + "/" + id.job + "/" + std::to_string(id.number);
}

std::string_view toString(job_class value)
{
    return value == job_class::Urgent ? "urgent" : "normal";
}

std::optional<job_class> parseJobClass(std::string_view text)
{
    for (const auto value : { job_class::Normal, job_class::Urgent }) {
        if (text == toString(value))
            return value;
    }
    return std::nullopt;
}

std::string_view toString(task_phase phase)
{
    switch (phase) {
    case task_phase::Reserved:
        return "reserved";
    case task_phase::Committed:
        return "committed";
    case task_phase::Running:
        return "running";
    case task_phase::Evicting:
        return "evicting";
    case task_phase::Finished:
        return "finished";
    case task_phase::Failed:
        return "failed";
    case task_phase::Evicted:
        return "evicted";
    case task_phase::Lost:
        return "lost";
    case task_phase::Released:
        return "released";
    }
    return "lost";
}

bool isTerminal(task_phase phase)
{
    return phase >= task_phase::Finished;
}

} // namespace oriole
