#include <fleet/core/unit_waits.hpp>

#include <algorithm>

namespace fleet {

void unit_waits::clear()
{
    m_steps.clear();
    m_again.clear();
}

milliseconds unit_waits::waited(const unit_id& unit, time_point now) const
{
    auto since = now;
    if (const auto again = m_again.find(unit); again != m_again.end())
        since = again->second;
    else if (const auto step = m_steps.find({ unit.occurrence, unit.step }); step != m_steps.end())
        since = step->second;
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - since));
}

} // namespace fleet
