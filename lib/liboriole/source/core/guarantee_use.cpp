#include <oriole/core/guarantee_use.hpp>

#include <algorithm>
#include <tuple>

namespace oriole {

namespace {

/// What counts of a gang when it is weighed against guarantees.
struct gang_size {
    unsigned accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;
    adjacency loosest = adjacency::Worker; ///< Loosest adjacency of a guarantee that may carry it.
    attempt_id id;

    auto operator<=>(const gang_size&) const = default;
};

/// An attempt does not tell the adjacency that its job asked for: on one worker it suits any guarantee.
gang_size sizeOf(const attempt_row& attempt)
{
    return { attempt.accelerators, attempt.processors, attempt.memoryGb, adjacency::FailureDomain, attempt.id };
}

bool within(unsigned wanted, unsigned granted)
{
    return granted == 0 || wanted <= granted;
}

bool fits(const gang_size& gang, bool spread, const shape& granted)
{
    if (spread && granted.adjacency == adjacency::Worker)
        return false;
    return gang.accelerators <= granted.accelerators && granted.adjacency <= gang.loosest
        && within(gang.processors, granted.processors) && within(gang.memoryGb, granted.memoryGb);
}

/// Takes the smallest guarantee that fits, the strictest one among equals.
std::optional<std::size_t> take(const std::vector<guarantee>& guarantees, std::vector<unsigned>& unused, const gang_size& gang, bool spread)
{
    std::optional<std::size_t> best;
    const auto order = [&](std::size_t index) { return std::tuple(guarantees[index].shape.accelerators, guarantees[index].shape.adjacency, guarantees[index].shape.processors, index); };
    for (std::size_t index = 0; index < guarantees.size(); ++index) {
        if (unused[index] == 0 || !fits(gang, spread, guarantees[index].shape))
            continue;
        if (!best || order(index) < order(*best))
            best = index;
    }
    if (best)
        --unused[*best];
    return best;
}

struct sized_gang {
    gang_size size;
    bool spread = false;
    bool added = false;

    auto operator<=>(const sized_gang&) const = default;
};

std::vector<sized_gang> gangsOf(const organisation_row& organisation)
{
    std::vector<sized_gang> gangs;
    for (const auto* attempt : organisation.guaranteedAttempts)
        gangs.push_back({ sizeOf(*attempt), attempt->workers.size() > 1, false });
    return gangs;
}

std::vector<unsigned> match(const organisation_row& organisation, std::vector<sized_gang> gangs, bool& allMatched)
{
    std::sort(gangs.begin(), gangs.end(), std::greater<>());
    const auto& guarantees = organisation.policy.guarantees;
    std::vector<unsigned> unused;
    for (const auto& granted : guarantees)
        unused.push_back(granted.count);
    for (const auto& gang : gangs) {
        const bool matched = take(guarantees, unused, gang.size, gang.spread).has_value();
        allMatched = allMatched && (matched || !gang.added);
    }
    return unused;
}

} // namespace

std::vector<unsigned> unusedGuarantees(const organisation_row& organisation)
{
    bool allMatched = true;
    return match(organisation, gangsOf(organisation), allMatched);
}

std::optional<std::size_t> guaranteeFor(const organisation_row& organisation, const shape& wanted)
{
    if (organisation.policy.guarantees.empty())
        return std::nullopt;

    const auto before = unusedGuarantees(organisation);
    if (std::all_of(before.begin(), before.end(), [](unsigned count) { return count == 0; }))
        return std::nullopt;

    auto gangs = gangsOf(organisation);
    gangs.push_back({ { wanted.accelerators, wanted.processors, wanted.memoryGb, wanted.adjacency, {} }, false, true });
    bool allMatched = true;
    const auto after = match(organisation, std::move(gangs), allMatched);

    std::optional<std::size_t> used;
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (after[index] == before[index])
            continue;
        if (used || after[index] + 1 != before[index])
            return std::nullopt;
        used = index;
    }
    return allMatched ? used : std::nullopt;
}

} // namespace oriole
