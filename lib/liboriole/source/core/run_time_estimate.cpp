#include <oriole/core/run_time_estimate.hpp>

#include <algorithm>

namespace oriole {

namespace {

constexpr std::size_t ratiosKept = 64;
constexpr std::size_t ratiosNeeded = 5;
constexpr double quantile = 0.75;
constexpr double smallestRatio = 0.05;
constexpr double largestRatio = 20;

double quantileOf(std::vector<double> ratios)
{
    const auto position = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(ratios.size() - 1));
    std::nth_element(ratios.begin(), ratios.begin() + position, ratios.end());
    return ratios[static_cast<std::size_t>(position)];
}

} // namespace

void run_time_estimate::learn(std::chrono::milliseconds declared, std::chrono::milliseconds ran)
{
    if (declared.count() <= 0 || ran.count() <= 0)
        return;

    const auto ratio = static_cast<double>(ran.count()) / static_cast<double>(declared.count());
    const auto bounded = std::clamp(ratio, smallestRatio, largestRatio);
    if (m_ratios.size() < ratiosKept)
        m_ratios.push_back(bounded);
    else
        m_ratios[m_next] = bounded;
    m_next = (m_next + 1) % ratiosKept;

    if (m_ratios.size() >= ratiosNeeded)
        m_quantile = quantileOf(m_ratios);
}

std::chrono::milliseconds run_time_estimate::correct(std::chrono::milliseconds declared) const
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(declared.count()) * m_quantile));
}

} // namespace oriole
