/// @file
/// @brief The configuration document of one environment, as parsed and checked.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/core/model.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace oriole {

/// @brief Capacity that a failure domain is declared to have.
struct failure_domain_config {
    std::string name;
    std::string region;
    unsigned workers = 0;
    unsigned workersPerRack = 0;
    unsigned acceleratorsPerWorker = 0;
    unsigned processorsPerWorker = 0;
    unsigned memoryGbPerWorker = 0;

    auto operator<=>(const failure_domain_config&) const = default;
};

/// @brief A service of short requests that backend servers offer.
struct service_config {
    std::string name;
    std::chrono::milliseconds defaultTimeout { 2000 }; ///< For a request without Orioleway-Timeout-Ms.
    std::chrono::milliseconds longestTimeout { 30000 };
    std::size_t largestBodyBytes = 1 << 20;

    auto operator<=>(const service_config&) const = default;
};

struct organisation_config {
    organisation_policy policy;
    unsigned requestsAtOnce = 0; ///< Short requests in flight per entry; 0 means no limit.
    unsigned waitingJobs = 1000; ///< Jobs accepted and not ended; more are refused.

    auto operator<=>(const organisation_config&) const = default;
};

/// @brief Limits and times of the whole environment.
struct limits_config {
    double retryShare = 0.1; ///< Retries allowed per request sent, averaged.
    unsigned requestAttempts = 3; ///< Dispatches of one request at the most.
    unsigned jobFailures = 3; ///< Different workers on which a job fails before that is final.
    std::chrono::milliseconds evictionGrace { 500 }; ///< From checkpoint to stop.
    std::chrono::milliseconds reservationTtl { 5000 };
    std::chrono::milliseconds taskLease { 3000 };
    std::chrono::milliseconds promotionSoak { 10000 }; ///< In force everywhere that long before a promotion.

    auto operator<=>(const limits_config&) const = default;
};

struct configuration {
    std::string environment;
    std::vector<organisation_config> organisations;
    std::vector<failure_domain_config> failureDomains;
    std::vector<service_config> services;
    limits_config limits;

    auto operator<=>(const configuration&) const = default;

    [[nodiscard]] const organisation_config* findOrganisation(const std::string& name) const;
    [[nodiscard]] const service_config* findService(const std::string& name) const;
    [[nodiscard]] const failure_domain_config* findFailureDomain(const std::string& name) const;
};

/// @brief Parses and checks a document.
/// @return InvalidInput whose reason names the path of the faulty member, e.g. `organisations[1].weight`.
result<configuration> parseConfiguration(const std::string& document);

/// @brief Lists what differs between two documents, a line each with the path, for people.
std::vector<std::string> diffConfigurations(const std::string& before, const std::string& after);

/// @brief Outcome of checking guarantees against declared capacity.
struct capacity_check {
    std::vector<std::string> errors; ///< Guarantees that do not fit with every failure domain in.
    std::vector<std::string> warnings; ///< Guarantees that do not fit with one failure domain out.
};

capacity_check checkCapacity(const configuration& wanted);

} // namespace oriole
