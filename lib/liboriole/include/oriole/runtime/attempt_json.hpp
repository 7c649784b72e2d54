/// @file
/// @brief An attempt as JSON, for the labels of its tasks.
#pragma once

#include <oriole/core/model.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace oriole {

nlohmann::json attemptToJson(const attempt& source);

/// @return No value when a member is missing or has the wrong type.
std::optional<attempt> attemptFromJson(const nlohmann::json& source);

} // namespace oriole
