#include <oriole/entry/claim_service.hpp>
#include <oriole/helpers/random.hpp>

#include <memory>
#include <utility>

namespace oriole {

namespace {

constexpr std::size_t largestKeptBody = 16UL * 1024UL;

request_outcome refused(const failure& error, const std::string& requestId = {})
{
    request_outcome outcome;
    outcome.requestId = requestId;
    outcome.ran = error.ran;
    outcome.status = httpStatus(error);
    outcome.reason = error.reason;
    return outcome;
}

request_outcome recorded(const claim_record& claim)
{
    request_outcome outcome;
    outcome.requestId = claim.requestId;
    outcome.ran = verdict::Completed;
    outcome.status = claim.status;
    outcome.contentType = claim.contentType;
    outcome.body = claim.body;
    if (!claim.bodyKept) {
        outcome.contentType = "application/json";
        outcome.body = R"({"verdict":"completed","reason":"the answer was too long to be kept"})";
    }
    return outcome;
}

claim_record answeredClaim(const std::string& claimId, const request_outcome& outcome)
{
    claim_record claim;
    claim.requestId = claimId;
    claim.answered = true;
    claim.status = outcome.status;
    claim.contentType = outcome.contentType;
    claim.bodyKept = outcome.body.size() <= largestKeptBody;
    if (claim.bodyKept)
        claim.body = outcome.body;
    claim.claimedUnixMs = unixMilliseconds();
    return claim;
}

} // namespace

claim_service::claim_service(ownership& pages, request_dispatcher& dispatcher, timer_service& timers)
    : m_pages(pages)
    , m_dispatcher(dispatcher)
    , m_timers(timers)
{
}

void claim_service::submit(const request_submission& submission, handler done)
{
    const auto keeper = m_pages.find(submission.organisation);
    if (keeper == nullptr) {
        done(refused(notRun(failure_kind::Unavailable, "this entry does not own the organisation")));
        return;
    }

    const auto& claims = keeper->page().claims;
    const auto& key = submission.idempotencyKey.value();
    if (const auto known = claims.find(key); known != claims.end()) {
        if (known->second.answered)
            done(recorded(known->second));
        else
            joinRunning({ submission.organisation, key }, known->second, submission.timeout, std::move(done));
        return;
    }
    if (keeper->full()) {
        done(refused(notRun(failure_kind::Overloaded, "the organisation's page is full")));
        return;
    }
    claim(keeper, submission, std::move(done));
}

void claim_service::claim(
    const std::shared_ptr<page_keeper>& keeper, const request_submission& submission, handler done)
{
    claim_record wanted;
    wanted.requestId = randomId();
    wanted.claimedUnixMs = unixMilliseconds();
    const auto key = submission.idempotencyKey.value();
    m_running[{ submission.organisation, key }];

    const auto write = [key, wanted](organisation_page& page) { page.claims.emplace(key, wanted); };
    const auto started = m_timers.now();
    const auto claimed = [this, submission, claimId = wanted.requestId, started, done = std::move(done)](
                             const result<bool>& committed) {
        auto rest = submission;
        rest.timeout -= std::chrono::duration_cast<milliseconds>(m_timers.now() - started);
        if (committed && rest.timeout > milliseconds::zero()) {
            dispatch(rest, claimId, done);
            return;
        }

        // It was not dispatched, so it did not run, whatever became of the claim.
        const auto reason = committed ? std::string("the deadline passed before dispatch") : committed.error().reason;
        const auto outcome = refused(notRun(failure_kind::Unavailable, reason), claimId);
        finished(submission, claimId, outcome);
        done(outcome);
    };
    keeper->update(write, submission.timeout, claimed);
}

void claim_service::dispatch(const request_submission& submission, const std::string& claimId, handler done)
{
    m_dispatcher.submit(submission, [this, submission, claimId, done = std::move(done)](const request_outcome& outcome) {
        finished(submission, claimId, outcome);
        done(outcome);
    });
}

void claim_service::finished(
    const request_submission& submission, const std::string& claimId, const request_outcome& outcome)
{
    const auto& key = submission.idempotencyKey.value();
    if (outcome.ran == verdict::NotRun)
        forget(submission.organisation, key, claimId);
    if (const auto keeper = m_pages.find(submission.organisation);
        keeper != nullptr && outcome.ran == verdict::Completed) {
        const auto write
            = [key, claim = answeredClaim(claimId, outcome)](organisation_page& page) { page.claims[key] = claim; };
        keeper->update(write, std::nullopt, [](const result<bool>&) {});
    }

    auto waiting = m_running.extract({ submission.organisation, key });
    if (waiting.empty())
        return;
    for (const auto& waiter : waiting.mapped())
        waiter(outcome);
}

void claim_service::forget(const std::string& organisation, const std::string& key, const std::string& claimId)
{
    const auto keeper = m_pages.find(organisation);
    if (keeper == nullptr)
        return;
    const auto remove = [key, claimId](organisation_page& page) {
        if (const auto found = page.claims.find(key); found != page.claims.end() && found->second.requestId == claimId)
            page.claims.erase(found);
    };
    keeper->update(remove, std::nullopt, [](const result<bool>&) {});
}

void claim_service::joinRunning(
    const claim_key& key, const claim_record& claim, milliseconds patience, handler done)
{
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        const auto error
            = mayHaveRun(failure_kind::Broken, "an earlier submission with this key may have run; its answer is lost");
        done(refused(error, claim.requestId));
        return;
    }

    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, done = std::move(done)](const request_outcome& outcome) {
        if (!std::exchange(*answered, true))
            done(outcome);
    };
    running->second.push_back(once);
    m_timers.subscribeOnce(patience, [once, id = claim.requestId](time_point) {
        once(refused(mayHaveRun(failure_kind::Timeout, "an earlier submission with this key still runs"), id));
    });
}

} // namespace oriole
