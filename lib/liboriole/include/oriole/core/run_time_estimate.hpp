/// @file
/// @brief Corrects declared run times by what earlier jobs of the organisation took.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace oriole {

/// @brief Learns how the run times of one organisation's jobs depend on the declared ones.
///
/// The line of regression between the logarithms of both: exact declarations are followed, and the less they say, the
/// closer the estimate is to what the organisation's jobs usually take.
class run_time_estimate {
public:
    /// @brief Takes in one finished run; ignored when either time is not positive.
    void learn(std::chrono::milliseconds declared, std::chrono::milliseconds ran);

    /// @brief Run time to expect, so that a high quantile of the learned runs took no longer than their estimate.
    /// @return Milliseconds; the declaration itself while too little is known.
    [[nodiscard]] std::chrono::milliseconds correct(std::chrono::milliseconds declared) const;

private:
    /// Logarithms of the times in milliseconds.
    struct finished_run {
        double declared = 0;
        double ran = 0;
    };

    void fit();

    std::vector<finished_run> m_runs; ///< The latest ones, overwritten in turn.
    std::size_t m_next = 0;
    double m_slope = 1;
    double m_offset = 0;
};

} // namespace oriole
