#include <oriole/agent/task_run.hpp>

namespace oriole {

nlohmann::json attemptLogFields(const attempt& subject)
{
    return { { "attempt", toString(subject.id) }, { "organisation", subject.id.organisation },
        { "epoch", subject.epoch }, { "guaranteed", subject.guaranteed }, { "urgent", subject.urgent },
        { "workers", subject.allocations.size() } };
}

task_phase phaseOf(runtime_state state)
{
    switch (state) {
    case runtime_state::Running:
        return task_phase::Running;
    case runtime_state::Finished:
        return task_phase::Finished;
    case runtime_state::Failed:
        return task_phase::Failed;
    case runtime_state::Stopped:
        return task_phase::Evicted;
    case runtime_state::Expired:
    case runtime_state::Unknown:
        return task_phase::Lost;
    }
    return task_phase::Lost;
}

} // namespace oriole
