/// @file
/// @brief What the workers, the clients and the operator of a soak run have seen.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace fleet::soak {

constexpr double notYet = -1;

/// @brief One start on a worker. Times are seconds since the start of the soak run.
struct run_record {
    std::string task; ///< JOB.OCCURRENCE.STEP.INDEX
    unsigned attempt = 0;
    std::string worker;
    std::string instance;
    std::string spec;
    double startedAt = 0;
    double endedAt = notYet;
    std::string outcome; ///< As the worker lists it; "crashed" if the worker crashed.
    bool noted = false; ///< The end was acknowledged, and the worker's lease did not expire in between.
    std::string order; ///< The call that started it: incarnation, clock, deadline, token, whether it was carried out late.
    std::string acknowledgement; ///< The poll that acknowledged its end.
};

enum class handing_in {
    Unsettled, ///< No answer, or one that leaves open whether the job was stored.
    Rejected,
    Accepted,
};

struct job_record {
    std::string id;
    std::string spec;
    std::vector<unsigned> stepSizes; ///< Tasks of each step; a step follows the one before it.
    unsigned maxAttempts = 0;
    handing_in state = handing_in::Unsettled;
    bool cancelSent = false;
    double deniedAt = notYet; ///< When a cancellation was answered with 410, no such job.
    double idleSince = notYet; ///< In the final phase: since when nothing of the unfinished job has been at work.
    double longestIdle = 0;
    std::string lastState; ///< As the last GET has shown it; empty before the first.
    std::vector<std::pair<double, std::string>> shown; ///< Each state that a GET has shown, with its time.
};

/// @brief A process that ended though nobody had ended it.
struct own_end {
    std::string process;
    double time = 0;
    int code = 0; ///< Its exit code, or 128 plus the signal that ended it.
};

struct soak_history {
    std::vector<own_end> ownEnds;
    std::vector<run_record> runs;
    std::map<std::string, job_record> jobs;
};

} // namespace fleet::soak
