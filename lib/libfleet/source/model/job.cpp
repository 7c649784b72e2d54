#include <fleet/model/job.hpp>

#include <array>
#include <charconv>

namespace fleet {

std::string toString(const task_id& task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

std::optional<task_id> parseTaskId(std::string_view text)
{
    std::array<unsigned, 3> numbers {};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const auto part = text.substr(dot + 1);
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), numbers.at(i));
        if (error != std::errc() || end != part.data() + part.size() || part.empty())
            return std::nullopt;
        text = text.substr(0, dot);
    }
    if (text.empty())
        return std::nullopt;
    return task_id { std::string(text), numbers[0], numbers[1], numbers[2] };
}

std::string_view toString(run_outcome how)
{
    switch (how) {
    case run_outcome::Done:
        return "done";
    case run_outcome::Failed:
        return "failed";
    case run_outcome::Stopped:
        return "stopped";
    case run_outcome::Lapsed:
        return "lapsed";
    case run_outcome::Broken:
        return "broken";
    case run_outcome::Alone:
        return "alone";
    case run_outcome::Lost:
        return "lost";
    }
    return "lost";
}

} // namespace fleet
