#include <oriole/core/placement.hpp>

#include <algorithm>
#include <bit>
#include <tuple>

namespace oriole {

namespace {

constexpr unsigned maxAccelerators = 64;

unsigned count(accelerator_set set)
{
    return static_cast<unsigned>(std::popcount(set));
}

accelerator_set block(unsigned offset, unsigned size)
{
    return firstAccelerators(size) << offset;
}

/// Proportional share of @p total for @p part out of @p whole, rounded down.
unsigned share(unsigned total, unsigned part, unsigned whole)
{
    return static_cast<unsigned>(std::uint64_t { total } * part / whole);
}

bool hasProcessorsAndMemory(const resources& room, const shape& wanted)
{
    return room.processors >= wanted.processors && room.memoryGb >= wanted.memoryGb;
}

/// Number of the shape's accelerators that fit into the room together with their share of processors and memory.
unsigned capacityFor(const resources& room, const shape& wanted)
{
    std::uint64_t most = std::min(count(room.accelerators), wanted.accelerators);
    if (wanted.processors > 0)
        most = std::min(most, std::uint64_t { room.processors } * wanted.accelerators / wanted.processors);
    if (wanted.memoryGb > 0)
        most = std::min(most, std::uint64_t { room.memoryGb } * wanted.accelerators / wanted.memoryGb);
    return static_cast<unsigned>(most);
}

/// Calls @p visit with every free aligned block of @p size contiguous accelerators.
template <typename visitor>
void forEachBlock(accelerator_set room, unsigned size, visitor visit)
{
    if (size == 0) {
        visit(accelerator_set { 0 });
        return;
    }
    if (size > maxAccelerators)
        return;
    const auto cell = std::bit_ceil(size);
    for (unsigned offset = 0; offset + size <= maxAccelerators; offset += cell) {
        const auto candidate = block(offset, size);
        if ((room & candidate) == candidate)
            visit(candidate);
    }
}

struct group_member {
    const available_resources* from = nullptr;
    unsigned capacity = 0;
    double score = 0;
};

std::vector<group_member> membersOf(std::span<const available_resources> rooms, const shape& wanted)
{
    std::vector<group_member> members;
    unsigned total = 0;
    for (const auto& from : rooms) {
        const auto capacity = capacityFor(from.room, wanted);
        if (capacity == 0)
            continue;
        total += capacity;
        members.push_back({ &from, capacity, 0 });
    }
    if (total < wanted.accelerators)
        return {};

    return members;
}

/// True if @p left should be used before @p right: members that can hold all remaining accelerators come first, in
/// ascending order of score; the others follow in descending order of capacity.
bool isBetter(const group_member& left, const group_member& right, unsigned rest)
{
    const bool leftFits = left.capacity >= rest;
    if (leftFits != (right.capacity >= rest))
        return leftFits;
    if (leftFits)
        return std::tie(left.score, left.capacity) < std::tie(right.score, right.capacity);
    return std::tuple(-static_cast<int>(left.capacity), left.score) < std::tuple(-static_cast<int>(right.capacity), right.score);
}

/// Scores each member for the accelerators that would be taken from it to cover the remaining demand.
void scoreMembers(std::vector<group_member>& members, unsigned rest, const part_scorer& score)
{
    for (auto& member : members)
        member.score = score(*member.from, chooseAccelerators(member.from->room.accelerators, std::min(member.capacity, rest)));
}

} // namespace

bool requiresOneWorker(const shape& wanted)
{
    return wanted.adjacency == adjacency::Worker || wanted.accelerators == 0;
}

unsigned holeAround(accelerator_set room, accelerator_set taken)
{
    if (taken == 0)
        return 0;
    const auto first = static_cast<unsigned>(std::countr_zero(taken));
    const auto last = static_cast<unsigned>(std::bit_width(taken)) - 1;
    unsigned hole = 0;
    for (unsigned size = 1; size <= maxAccelerators; size *= 2) {
        if (first / size != last / size)
            continue;
        const auto cell = block(first / size * size, size);
        if ((room & cell) != cell)
            break;
        hole = size;
    }
    return hole == 0 ? count(taken) : hole;
}

unsigned largestHole(accelerator_set room)
{
    unsigned largest = 0;
    for (unsigned size = 1; size <= maxAccelerators; size *= 2) {
        bool found = false;
        forEachBlock(room, size, [&](accelerator_set) { found = true; });
        if (!found)
            break;
        largest = size;
    }
    return largest;
}

accelerator_set chooseAccelerators(accelerator_set room, unsigned wanted)
{
    if (count(room) <= wanted)
        return room;

    accelerator_set chosen = 0;
    unsigned size = std::bit_floor(std::max(1U, wanted));
    while (count(chosen) < wanted && size > 0) {
        accelerator_set best = 0;
        unsigned bestHole = 0;
        forEachBlock(room & ~chosen, size, [&](accelerator_set candidate) {
            const auto hole = holeAround(room & ~chosen, candidate);
            if (best == 0 || hole < bestHole) {
                best = candidate;
                bestHole = hole;
            }
        });
        chosen |= best;
        const auto rest = wanted - count(chosen);
        size = best == 0 ? size / 2 : std::min(size, std::bit_floor(std::max(1U, rest)));
    }
    return chosen;
}

std::optional<place> placeOnWorker(std::span<const available_resources> rooms, const shape& wanted, const part_scorer& score)
{
    std::optional<place> best;
    unsigned candidates = 0;
    for (const auto& from : rooms) {
        if (!hasProcessorsAndMemory(from.room, wanted))
            continue;
        forEachBlock(from.room.accelerators, wanted.accelerators, [&](accelerator_set candidate) {
            ++candidates;
            const auto value = score(from, candidate);
            if (!best || value < best->score)
                best = place { { { from.worker, { candidate, wanted.processors, wanted.memoryGb } } }, value, 0 };
        });
    }
    if (best)
        best->candidates = candidates;
    return best;
}

std::optional<place> placeInGroup(std::span<const available_resources> rooms, const shape& wanted, const part_scorer& score)
{
    auto members = membersOf(rooms, wanted);
    place found;
    found.candidates = static_cast<unsigned>(members.size());
    unsigned placed = 0;
    while (placed < wanted.accelerators && !members.empty()) {
        const auto rest = wanted.accelerators - placed;
        scoreMembers(members, rest, score);
        const auto next = std::min_element(members.begin(), members.end(), [rest](const group_member& left, const group_member& right) { return isBetter(left, right, rest); });
        const auto taken = std::min(next->capacity, rest);
        const auto set = chooseAccelerators(next->from->room.accelerators, taken);
        const auto after = placed + taken;
        const auto processors = share(wanted.processors, after, wanted.accelerators) - share(wanted.processors, placed, wanted.accelerators);
        const auto memory = share(wanted.memoryGb, after, wanted.accelerators) - share(wanted.memoryGb, placed, wanted.accelerators);
        found.parts.push_back({ next->from->worker, { set, processors, memory } });
        found.score += score(*next->from, set);
        placed = after;
        members.erase(next);
    }
    if (placed < wanted.accelerators)
        return std::nullopt;
    return found;
}

} // namespace oriole
