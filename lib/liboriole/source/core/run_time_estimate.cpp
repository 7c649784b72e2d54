#include <oriole/core/run_time_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace oriole {

namespace {

constexpr std::size_t runsKept = 64;
constexpr std::size_t runsNeeded = 5;
constexpr double quantile = 0.75;
constexpr double priorForDeclared = 5; // Squared deviation that speaks for the declaration before anything is learned.
constexpr double longestLog = 40; // Keeps the result within the range of milliseconds.

double quantileOf(std::vector<double> values)
{
    const auto position = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

} // namespace

void run_time_estimate::learn(std::chrono::milliseconds declared, std::chrono::milliseconds ran)
{
    if (declared.count() <= 0 || ran.count() <= 0)
        return;

    const finished_run one { std::log(static_cast<double>(declared.count())), std::log(static_cast<double>(ran.count())) };
    if (m_runs.size() < runsKept)
        m_runs.push_back(one);
    else
        m_runs[m_next] = one;
    m_next = (m_next + 1) % runsKept;

    if (m_runs.size() >= runsNeeded)
        fit();
}

void run_time_estimate::fit()
{
    const auto count = static_cast<double>(m_runs.size());
    finished_run mean;
    for (const auto& one : m_runs) {
        mean.declared += one.declared / count;
        mean.ran += one.ran / count;
    }
    double spread = priorForDeclared;
    double common = priorForDeclared;
    for (const auto& one : m_runs) {
        spread += (one.declared - mean.declared) * (one.declared - mean.declared);
        common += (one.declared - mean.declared) * (one.ran - mean.ran);
    }
    m_slope = std::clamp(common / spread, 0.0, 1.0);

    std::vector<double> offsets;
    offsets.reserve(m_runs.size());
    for (const auto& one : m_runs)
        offsets.push_back(one.ran - m_slope * one.declared);
    m_offset = quantileOf(std::move(offsets));
}

std::chrono::milliseconds run_time_estimate::correct(std::chrono::milliseconds declared) const
{
    if (declared.count() <= 0 || m_runs.size() < runsNeeded)
        return declared;
    const auto expected = m_slope * std::log(static_cast<double>(declared.count())) + m_offset;
    return std::chrono::milliseconds(std::llround(std::exp(std::min(expected, longestLog))));
}

} // namespace oriole
