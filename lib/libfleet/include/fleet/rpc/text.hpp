/// @file
/// @brief Texts of messages, byte for byte. The library's own conversions end at the first NUL character.
#pragma once

#include <kj/string.h>

#include <string>

namespace fleet {

/// @brief The text for a message's setter; @p text has to outlive the call.
[[nodiscard]] inline kj::StringPtr toMessageText(const std::string& text)
{
    return { text.c_str(), text.size() };
}

[[nodiscard]] inline std::string fromMessageText(kj::StringPtr text)
{
    return { text.begin(), text.end() };
}

} // namespace fleet
