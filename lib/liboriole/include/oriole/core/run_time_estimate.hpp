/// @file
/// @brief Corrects declared run times by what earlier jobs of the organisation took.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace oriole {

/// @brief Learns the ratio of real to declared run times of one organisation.
class run_time_estimate {
public:
    /// @brief Takes in one finished run; ignored when either time is not positive.
    void learn(std::chrono::milliseconds declared, std::chrono::milliseconds ran);

    /// @brief Run time to expect, a high quantile of the learned ratios times the declaration.
    /// @return Milliseconds; the declaration itself while too little is known.
    [[nodiscard]] std::chrono::milliseconds correct(std::chrono::milliseconds declared) const;

private:
    std::vector<double> m_ratios; ///< The latest ones, overwritten in turn.
    std::size_t m_next = 0;
    double m_quantile = 1;
};

} // namespace oriole
