/// @file
/// @brief Base64 with padding, as JSON gateways use it for binary members.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace oriole {

std::string encodeBase64(std::string_view bytes);

/// @return No value when the text is not well-formed base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace oriole
