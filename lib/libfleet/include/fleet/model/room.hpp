/// @file
/// @brief Amounts of a worker's processors, memory and accelerators.
#pragma once

#include <compare>
#include <cstdint>

namespace fleet {

/// @brief An accelerator weighs as much as this many cores when work is compared.
constexpr double coresPerAccelerator = 8;

struct room {
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const room&) const = default;

    room& operator+=(const room& other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    room& operator-=(const room& other)
    {
        millicores -= other.millicores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend room operator+(room left, const room& right) { return left += right; }
    friend room operator-(room left, const room& right) { return left -= right; }

    /// @return Whether each amount is at most that of @p space.
    [[nodiscard]] bool fits(const room& space) const
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
