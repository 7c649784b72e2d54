#include <oriole/core/commands.hpp>

namespace oriole {

std::string_view toString(job_outcome outcome)
{
    switch (outcome) {
    case job_outcome::Finished:
        return "finished";
    case job_outcome::Failed:
        return "failed";
    case job_outcome::Cancelled:
        return "cancelled";
    case job_outcome::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

} // namespace oriole
