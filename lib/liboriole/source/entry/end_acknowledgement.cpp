#include <oriole/entry/end_acknowledgement.hpp>

namespace oriole {

bool mayAcknowledge(const task_report& task, std::uint64_t epoch)
{
    return isTerminal(task.phase) && task.attempt.epoch <= epoch;
}

} // namespace oriole
