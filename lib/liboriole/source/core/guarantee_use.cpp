#include <oriole/core/guarantee_use.hpp>

#include <algorithm>
#include <tuple>

namespace oriole {

namespace {

using guarantees = std::vector<guarantee>;

bool withinLimit(unsigned wanted, unsigned granted)
{
    return granted == 0 || wanted <= granted;
}

bool fits(const shape& gang, bool spansWorkers, const shape& granted)
{
    if (spansWorkers && granted.adjacency == adjacency::Worker)
        return false;
    return gang.accelerators <= granted.accelerators && withinLimit(gang.processors, granted.processors) && withinLimit(gang.memoryGb, granted.memoryGb);
}

bool smaller(const shape& left, const shape& right)
{
    return std::tie(left.accelerators, left.adjacency, left.processors, left.memoryGb) < std::tie(right.accelerators, right.adjacency, right.processors, right.memoryGb);
}

/// The smallest guaranteed shape that can hold the gang, of equal sizes the one with the strictest adjacency; null if none
/// can.
const shape* shapeFor(const guarantees& granted, const shape& gang, bool spansWorkers)
{
    const shape* best = nullptr;
    for (const auto& one : granted) {
        if (fits(gang, spansWorkers, one.shape) && (!best || smaller(one.shape, *best)))
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

guarantee_usage matchGuarantees(const organisation_row& organisation)
{
    const auto& granted = organisation.policy.guarantees;
    guarantee_usage usage;
    for (const auto& one : granted)
        usage.unused.push_back(one.count);
    for (const auto* attempt : attemptsInOrder(organisation)) {
        const auto* match = shapeFor(granted, attempt->totalShape, attempt->spansWorkers);
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
    // The guaranteed adjacency must be at least as strict as the requested one, because an attempt does not carry the
    // adjacency that its job requested.
    if (!match || match->adjacency > wanted.adjacency)
        return std::nullopt;
    return unusedOf(granted, matchGuarantees(organisation).unused, *match);
}

} // namespace oriole
