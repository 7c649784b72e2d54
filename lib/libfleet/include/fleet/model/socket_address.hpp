/// @file
/// @brief Check of addresses that come from outside.
#pragma once

#include <string>

namespace fleet {

/// @brief Whether the text is an IPv4 address and a port, as in `10.1.0.19:7000`. Names are none, so nothing is looked up.
[[nodiscard]] bool isSocketAddress(const std::string& text);

} // namespace fleet
