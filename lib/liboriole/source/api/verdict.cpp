#include <oriole/api/verdict.hpp>

namespace oriole {

std::string_view toString(verdict value)
{
    switch (value) {
    case verdict::Completed:
        return "completed";
    case verdict::NotRun:
        return "not-run";
    case verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::optional<verdict> parseVerdict(std::string_view text)
{
    if (text == "completed")
        return verdict::Completed;
    if (text == "not-run")
        return verdict::NotRun;
    if (text == "may-have-run")
        return verdict::MayHaveRun;
    return std::nullopt;
}

} // namespace oriole
