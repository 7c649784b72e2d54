/// @file
/// @brief Bounds retries to a share of the requests sent, so that an overload is not amplified.
#pragma once

namespace oriole {

/// @brief A token bucket that each request fills by a share of a token and each retry empties by one.
class retry_budget {
public:
    /// @param share Retries allowed per request, averaged.
    /// @param burst Tokens held at the start and at the most.
    explicit retry_budget(double share, double burst = 10);

    void setShare(double share) { m_share = share; }

    /// @brief Counts a request that was accepted.
    void deposit();

    /// @brief Takes a token for one retry.
    /// @return False when the budget is spent.
    bool take();

    [[nodiscard]] double tokens() const { return m_tokens; }

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace oriole
