/// @file
/// @brief Corrects declared run times by the measured run times of earlier jobs of the organisation.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace oriole {

/// @brief Estimates the run times of one organisation's jobs from the declared ones.
///
/// Fits a linear regression between the logarithms of both. If declarations predict run times well, the estimate follows
/// them; the weaker the correlation, the closer the estimate is to the usual run time of the organisation's jobs.
class run_time_estimate {
public:
    /// @brief Adds one finished run; ignored unless both times are positive.
    void addRun(std::chrono::milliseconds declared, std::chrono::milliseconds ran);

    /// @brief Estimates the run time such that a high quantile of the known runs took no longer than their estimate.
    /// @return The estimate, or the declared time itself while too few runs are known.
    [[nodiscard]] std::chrono::milliseconds correct(std::chrono::milliseconds declared) const;

private:
    /// Logarithms of the times in milliseconds.
    struct finished_run {
        double declared = 0;
        double ran = 0;
    };

    void fit();

    std::vector<finished_run> m_runs; ///< Ring buffer of the latest runs.
    std::size_t m_next = 0;
    double m_slope = 1;
    double m_offset = 0;
};

} // namespace oriole
