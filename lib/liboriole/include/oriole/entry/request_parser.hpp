/// @file
/// @brief Turns callers' HTTP requests into checked values.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/control/configuration.hpp>
#include <oriole/core/model.hpp>
#include <oriole/http/http_server.hpp>

#include <chrono>
#include <compare>
#include <optional>
#include <string>

namespace oriole {

/// @brief A short request as its caller sent it.
struct request_submission {
    std::string organisation;
    std::string service;
    bool repeatable = true; ///< False: handed to one backend server at the most.
    std::optional<std::string> idempotencyKey;
    std::chrono::milliseconds timeout { 2000 }; ///< From now to the caller's deadline.
    std::string contentType;
    std::string body;

    auto operator<=>(const request_submission&) const = default;
};

/// @brief A job as its caller sent it. The id of @c job is empty; the owner gives one.
struct job_submission {
    job_spec job;
    std::optional<std::string> idempotencyKey;

    auto operator<=>(const job_submission&) const = default;
};

/// @brief Reads `POST /v1/organisations/{org}/requests/{service}`.
/// @return NotFound for an unknown organisation or service, TooLarge, or InvalidInput naming the header.
result<request_submission> parseRequest(const http_call& call, const configuration& config);

/// @brief Reads `POST /v1/organisations/{org}/jobs`.
/// @return InvalidInput naming the path of the faulty member, NotFound, or Impossible with the reason when no
/// configuration of the declared capacity could hold the shape.
result<job_submission> parseJob(const http_call& call, const configuration& config);

} // namespace oriole
