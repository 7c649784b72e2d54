#include <oriole/core/policy.hpp>

namespace oriole {

namespace {

constexpr std::string_view guaranteeName = "guarantee";
constexpr std::string_view firstFitName = "first-fit";

} // namespace

std::string_view toString(const policy& value)
{
    return std::holds_alternative<guarantee_policy>(value) ? guaranteeName : firstFitName;
}

std::optional<policy> parsePolicy(std::string_view text)
{
    if (text == guaranteeName)
        return guarantee_policy {};
    if (text == firstFitName)
        return first_fit_policy {};
    return std::nullopt;
}

} // namespace oriole
