/// @file
/// @brief The error type and the result type of the whole project.
#pragma once

#include <oriole/api/verdict.hpp>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include <compare>
#include <string>

namespace oriole {

/// @brief The class of an error, from which the HTTP status and the exit code follow.
enum class failure_kind {
    InvalidInput, ///< 400: the caller's input is wrong.
    NotFound, ///< 404
    Conflict, ///< 409: somebody else changed it first.
    TooLarge, ///< 413
    Impossible, ///< 422: no configuration could hold it.
    Overloaded, ///< 429: a limit or quota is reached.
    Unavailable, ///< 503: a part that is needed is away or stopping.
    Broken, ///< 502: the far side answered wrongly or not at all.
    Timeout, ///< 504: the deadline passed.
};

/// @brief An error, and whether what was asked for may have run in spite of it.
struct failure {
    failure_kind kind = failure_kind::Unavailable;
    verdict ran = verdict::NotRun;
    std::string reason;

    auto operator<=>(const failure&) const = default;
};

/// @brief A value or a failure. Reading the wrong side terminates the process.
template <typename Value>
using result = boost::outcome_v2::basic_result<Value, failure, boost::outcome_v2::policy::terminate>;

/// @brief Makes a failure whose request has certainly not run.
failure notRun(failure_kind kind, std::string reason);

/// @brief Makes a failure whose request may have run.
failure mayHaveRun(failure_kind kind, std::string reason);

/// @brief Returns the HTTP status that tells a caller of this failure.
unsigned httpStatus(const failure& error);

} // namespace oriole
