#include <oriole/core/run_time_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace oriole {

namespace {

constexpr std::size_t maxRuns = 64;
constexpr std::size_t minRuns = 5;
constexpr double quantile = 0.75;
constexpr double priorSquaredDeviation = 5; // Prior weight of the declared times (slope 1), as a sum of squared deviations.
constexpr double maxLog = 40; // Keeps the result within the value range of milliseconds.

double quantileOf(std::vector<double> values)
{
    const auto position = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

} // namespace

void run_time_estimate::addRun(std::chrono::milliseconds declared, std::chrono::milliseconds ran)
{
    if (declared.count() <= 0 || ran.count() <= 0)
        return;

    const finished_run one { std::log(static_cast<double>(declared.count())), std::log(static_cast<double>(ran.count())) };
    if (m_runs.size() < maxRuns)
        m_runs.push_back(one);
    else
        m_runs[m_next] = one;
    m_next = (m_next + 1) % maxRuns;

    if (m_runs.size() >= minRuns)
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
    double variance = priorSquaredDeviation;
    double covariance = priorSquaredDeviation;
    for (const auto& one : m_runs) {
        variance += (one.declared - mean.declared) * (one.declared - mean.declared);
        covariance += (one.declared - mean.declared) * (one.ran - mean.ran);
    }
    m_slope = std::clamp(covariance / variance, 0.0, 1.0);

    std::vector<double> offsets;
    offsets.reserve(m_runs.size());
    for (const auto& one : m_runs)
        offsets.push_back(one.ran - m_slope * one.declared);
    m_offset = quantileOf(std::move(offsets));
}

std::chrono::milliseconds run_time_estimate::correct(std::chrono::milliseconds declared) const
{
    if (declared.count() <= 0 || m_runs.size() < minRuns)
        return declared;
    const auto expected = m_slope * std::log(static_cast<double>(declared.count())) + m_offset;
    return std::chrono::milliseconds(std::llround(std::exp(std::min(expected, maxLog))));
}

} // namespace oriole
