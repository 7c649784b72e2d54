/// @file
/// @brief States whether a request or an attempt may have run.
#pragma once

#include <compare>
#include <optional>
#include <string_view>

namespace oriole {

/// @brief The answer to "did it run?" that every reply and every error carries.
enum class verdict {
    Completed, ///< It ran and its whole answer is known.
    NotRun, ///< It did not run and will not run.
    MayHaveRun, ///< It was handed over and its answer is unknown.
};

/// @brief Returns the verdict as written on the wire: `completed`, `not-run`, `may-have-run`.
std::string_view toString(verdict value);

/// @brief Parses the wire form.
/// @return No value when the text is none of the three forms.
std::optional<verdict> parseVerdict(std::string_view text);

} // namespace oriole
