#include <fleet_soak/rule_checker.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <utility>

using namespace fleet::soak;

namespace {

const std::string id = "0123456789abcdef";

run_record run(const std::string& task, unsigned attempt, double from, double to, const std::string& outcome, bool noted = true)
{
    run_record out;
    out.task = id + ".0." + task;
    out.attempt = attempt;
    out.worker = "w" + std::to_string(attempt);
    out.instance = "i";
    out.spec = "work";
    out.startedAt = from;
    out.endedAt = to;
    out.outcome = outcome;
    out.noted = noted;
    return out;
}

/// @brief Two steps of one task each; the first one failed once.
soak_history correctHistory()
{
    soak_history history;
    history.runs = { run("0.0", 1, 1, 2, "failed"), run("0.0", 2, 2, 3, "done"), run("1.0", 1, 3.5, 4, "done") };
    job_record job;
    job.id = id;
    job.spec = "work";
    job.stepSizes = { 1, 1 };
    job.maxAttempts = 2;
    job.state = handing_in::Accepted;
    job.lastState = "completed";
    job.shown = { { 3, "in_progress" }, { 5, "completed" } };
    history.jobs[id] = job;
    return history;
}

std::vector<std::string> rulesBrokenAfter(const std::function<void(soak_history&, job_record&)>& change)
{
    auto history = correctHistory();
    change(history, history.jobs.at(id));
    std::vector<std::string> rules;
    for (const auto& entry : findViolations(history))
        rules.push_back(entry.rule);
    return rules;
}

using rules = std::vector<std::string>;

} // namespace

TEST_CASE("the soak's checker is silent on a correct history", "[soak-checker]")
{
    CHECK(findViolations(correctHistory()).empty());
    // An end that was not noted allows another start, and so does one whose lease expired before it was noted.
    CHECK(rulesBrokenAfter([](auto& history, auto&) {
        history.runs[1].noted = false;
        history.runs.insert(history.runs.begin() + 2, run("0.0", 3, 3.1, 3.3, "done"));
    }).empty());
    CHECK(rulesBrokenAfter([](auto&, auto& job) { job.cancelSent = true; job.lastState = "410"; }).empty());
    CHECK(rulesBrokenAfter([](auto&, auto& job) { job.longestIdle = 2.9; }).empty());
}

TEST_CASE("the soak's checker reports each broken rule", "[soak-checker]")
{
    CHECK(rulesBrokenAfter([](auto& history, auto&) { history.runs[0].endedAt = 2.5; }) == rules { "TWICE" });
    CHECK(rulesBrokenAfter([](auto& history, auto&) { history.runs[0].endedAt = notYet; }) == rules { "TWICE" });
    CHECK(rulesBrokenAfter([](auto& history, auto&) { history.runs.push_back(run("0.0", 3, 9, 10, "stopped")); }) == rules { "TWICE" });
    CHECK(rulesBrokenAfter([](auto& history, auto&) { history.ownEnds = { { "entry-0", 4, 134 } }; }) == rules { "FAULT" });
    CHECK(rulesBrokenAfter([](auto& history, auto&) { history.runs[1].spec = "wor"; }) == rules { "UNASKED" });
    CHECK(rulesBrokenAfter([](auto& history, auto&) {
        history.runs.push_back(run("0.0", 1, 9, 10, "done"));
        history.runs.back().task = "fedcba9876543210.0.0.0";
    }) == rules { "UNASKED" });
    CHECK(rulesBrokenAfter([](auto& history, auto& job) {
        job.state = handing_in::Rejected;
        history.runs.resize(1);
    }) == rules { "REFUSED", "MIXED", "MIXED" });
    CHECK(rulesBrokenAfter([](auto& history, auto&) { history.runs[2].startedAt = 2.9; }) == rules { "ORDER" });
    CHECK(rulesBrokenAfter([](auto& history, auto& job) {
        job.shown = { { 3.9, "completed" } };
        history.runs[2].endedAt = 4.1;
    }) == rules { "MIXED" });
    CHECK(rulesBrokenAfter([](auto&, auto& job) { job.lastState = "unknown"; }) == rules { "LOST" });
    CHECK(rulesBrokenAfter([](auto&, auto& job) { job.lastState = "failed"; }) == rules { "LOST" });
    CHECK(rulesBrokenAfter([](auto&, auto& job) { job.lastState = "in_progress"; job.longestIdle = 3.1; }) == rules { "LOST" });
    CHECK(rulesBrokenAfter([](auto& history, auto& job) {
        job.lastState = "failed";
        history.runs.insert(history.runs.begin(), run("0.0", 0, 0.1, 0.2, "failed"));
    }).empty());
}
