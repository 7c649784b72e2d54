#include <fleet/scheduler/claim_delay.hpp>

#include <algorithm>

namespace fleet {

namespace {

// A claim takes four calls to the store, up to 50 ms each, after the watch has reported the removed record.
constexpr oriole::milliseconds weakEntryDelay { 800 };
constexpr oriole::milliseconds recentLossDelay { 500 };

} // namespace

oriole::milliseconds claimDelay(double ownCores, const std::vector<double>& otherCores, bool lostRecently)
{
    auto delay = lostRecently ? recentLossDelay : oriole::milliseconds(0);
    if (ownCores <= 0 || otherCores.empty())
        return delay;
    const double strongest = *std::max_element(otherCores.begin(), otherCores.end());
    if (strongest > ownCores)
        delay += oriole::milliseconds(static_cast<std::int64_t>(static_cast<double>(weakEntryDelay.count()) * (1 - ownCores / strongest)));
    return delay;
}

} // namespace fleet
