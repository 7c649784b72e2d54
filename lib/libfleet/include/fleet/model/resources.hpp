/// @file
/// @brief Amounts of a worker's processors, memory and accelerators.
#pragma once

#include <compare>
#include <cstdint>

namespace fleet {

/// @brief An accelerator weighs as much as this many cores when work is compared.
constexpr double coresPerAccelerator = 8;

struct resources {
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const resources&) const = default;

    resources& operator+=(const resources& other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        millicores -= other.millicores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }

    /// @return Whether each amount is at most that of @p space.
    [[nodiscard]] bool fits(const resources& space) const
    {
        return millicores <= space.millicores && memoryMb <= space.memoryMb && accelerators <= space.accelerators;
    }

    /// @brief Processors and accelerators in cores.
    [[nodiscard]] double weight() const
    {
        return static_cast<double>(millicores) / 1000 + static_cast<double>(accelerators) * coresPerAccelerator;
    }
};

} // namespace fleet
