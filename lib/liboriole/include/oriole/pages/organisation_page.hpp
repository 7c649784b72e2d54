/// @file
/// @brief The organisation page: all that lasts of one organisation, as one value in the platform's store.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/model.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace oriole {

enum class job_state {
    Waiting,
    Starting, ///< An attempt is being reserved or committed.
    Running,
    Finished,
    Failed,
    Cancelled,
    MayHaveRun,
};

std::string_view toString(job_state state);
std::optional<job_state> parseJobState(std::string_view text);
bool isEnd(job_state state);
job_state endState(job_outcome outcome);

/// @brief An accepted job.
struct job_record {
    job_spec spec;
    job_state state = job_state::Waiting;
    unsigned lastAttempt = 0; ///< Highest attempt number recorded; numbers are not contiguous.
    unsigned attempts = 0; ///< Attempts recorded.
    std::optional<attempt> recorded; ///< An attempt that may be held or running at its agents.
    std::string idempotencyKey;
    std::string reason;
    std::int64_t acceptedUnixMs = 0;
    std::int64_t endedUnixMs = 0;

    auto operator<=>(const job_record&) const = default;
};

/// @brief The claim of an idempotency key by a request that must run at most once.
struct claim_record {
    std::string requestId;
    bool answered = false; ///< False: it may be running, or its entry died after the claim.
    unsigned status = 0;
    std::string contentType;
    std::string body; ///< Empty when it was too long to keep.
    bool bodyKept = true;
    std::int64_t claimedUnixMs = 0;

    auto operator<=>(const claim_record&) const = default;
};

struct organisation_page {
    std::string organisation;
    std::string owner; ///< Name of the entry; empty when it was handed over.
    std::string token; ///< Random per take-over: tells the owner's writes from those of a namesake.
    std::uint64_t epoch = 0; ///< Grows with each take-over; agents refuse lower ones.
    std::uint64_t sequence = 0; ///< Highest change of this owner that the page holds.
    std::map<std::string, job_record> jobs; ///< By job id.
    std::map<std::string, claim_record> claims; ///< By idempotency key.

    auto operator<=>(const organisation_page&) const = default;
};

/// @brief Encodes the page as JSON.
std::string encodePage(const organisation_page& page);

/// @return No value when the text is not a page.
std::optional<organisation_page> decodePage(const std::string& text);

/// @brief Drops ended jobs and answered claims that are older than their retention.
void dropExpired(organisation_page& page, std::int64_t nowUnixMs);

/// @brief Milliseconds since 1970, for records that outlive processes.
std::int64_t unixMilliseconds();

} // namespace oriole
