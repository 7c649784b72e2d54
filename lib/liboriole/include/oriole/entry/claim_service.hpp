/// @file
/// @brief Requests that run at most once per idempotency key.
#pragma once

#include <oriole/entry/ownership.hpp>
#include <oriole/entry/request_dispatcher.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oriole {

/// @brief Claims a key in the organisation's page before the request is dispatched.
///
/// A later submission of the key gets the recorded answer, waits for the one that runs, or is told `may-have-run`.
class claim_service {
public:
    using handler = std::function<void(request_outcome)>;

    claim_service(ownership& pages, request_dispatcher& dispatcher, timer_service& timers);

    /// @brief Handles a submission with a key at the entry that owns the organisation.
    void submit(const request_submission& submission, handler done);

private:
    using claim_key = std::pair<std::string, std::string>;

    void claim(const std::shared_ptr<page_keeper>& keeper, const request_submission& submission, handler done);
    void dispatch(const request_submission& submission, const std::string& claimId, handler done);
    void finished(const request_submission& submission, const std::string& claimId, const request_outcome& outcome);
    void forget(const std::string& organisation, const std::string& key, const std::string& claimId);
    void joinRunning(const claim_key& key, const claim_record& claim, milliseconds patience, handler done);

    ownership& m_pages;
    request_dispatcher& m_dispatcher;
    timer_service& m_timers;
    std::map<claim_key, std::vector<handler>> m_running; ///< Submissions that wait for the one that runs here.
};

} // namespace oriole
