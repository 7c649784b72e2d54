#include <oriole/core/guarantee_use.hpp>

#include <algorithm>
#include <tuple>

namespace oriole {

namespace {

using guarantees = std::vector<guarantee>;

bool within(unsigned wanted, unsigned granted)
{
    return granted == 0 || wanted <= granted;
}

bool fits(const shape& gang, bool spread, const shape& granted)
{
    if (spread && granted.adjacency == adjacency::Worker)
        return false;
    return gang.accelerators <= granted.accelerators && within(gang.processors, granted.processors) && within(gang.memoryGb, granted.memoryGb);
}

bool smaller(const shape& left, const shape& right)
{
    return std::tie(left.accelerators, left.adjacency, left.processors, left.memoryGb) < std::tie(right.accelerators, right.adjacency, right.processors, right.memoryGb);
}

/// The smallest guaranteed shape that holds the gang, the strictest among equals; null when none does.
const shape* shapeFor(const guarantees& granted, const shape& gang, bool spread)
{
    const shape* best = nullptr;
    for (const auto& one : granted) {
        if (fits(gang, spread, one.shape) && (!best || smaller(one.shape, *best)))
            best = &one.shape;
    }
    return best;
}

std::optional<std::size_t> unusedOf(const guarantees& granted, const std::vector<unsigned>& unused, const shape& wanted)
{
    for (std::size_t index = 0; index < granted.size(); ++index) {
        if (unused[index] > 0 && granted[index].shape == wanted)
            return index;
    }
    return std::nullopt;
}

std::vector<const attempt_row*> attemptsInOrder(const organisation_row& organisation)
{
    std::vector<const attempt_row*> attempts(organisation.guaranteedAttempts.begin(), organisation.guaranteedAttempts.end());
    std::sort(attempts.begin(), attempts.end(), [](const attempt_row* left, const attempt_row* right) { return left->id < right->id; });
    return attempts;
}

} // namespace

guarantee_usage usageOf(const organisation_row& organisation)
{
    const auto& granted = organisation.policy.guarantees;
    guarantee_usage usage;
    for (const auto& one : granted)
        usage.unused.push_back(one.count);
    for (const auto* attempt : attemptsInOrder(organisation)) {
        const auto* match = shapeFor(granted, attempt->whole, attempt->spread);
        if (!match)
            continue;
        if (const auto index = unusedOf(granted, usage.unused, *match)) {
            --usage.unused[*index];
            usage.used.push_back({ *index, attempt });
        }
    }
    return usage;
}

std::optional<std::size_t> guaranteeFor(const organisation_row& organisation, const shape& wanted)
{
    const auto& granted = organisation.policy.guarantees;
    const auto* match = shapeFor(granted, wanted, false);
    // What carries the job has to be as strict as the job: an attempt does not tell what its job asked for.
    if (!match || match->adjacency > wanted.adjacency)
        return std::nullopt;
    return unusedOf(granted, usageOf(organisation).unused, *match);
}

} // namespace oriole
