#include "core_fixture.hpp"

#include <oriole/core/intake.hpp>
#include <oriole/core/tables.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriole;
using namespace oriole::test;

namespace {

const std::vector<organisation_policy> organisations { { .name = "a", .guarantees = { { gang(16, adjacency::Rack), 1 }, { gang(4), 1 } } }, { .name = "b", .guarantees = { { gang(8), 2 }, { gang(4), 1 } } } };

/// @brief Tables with two racks of three workers that joined in the given order.
scheduler_tables tablesOf(const std::vector<unsigned>& order)
{
    scheduler_tables tables(1);
    applyEvent(tables, organisations_changed { organisations }, {});
    for (const auto index : order)
        applyEvent(tables, worker_joined { workerNamed("w" + std::to_string(index), "praha", "r" + std::to_string(index % 2)) }, {});
    tables.rankFleet();
    return tables;
}

/// @brief Sorted descriptions of the homes, independent of the order in which the workers joined.
std::vector<std::string> namesOf(const scheduler_tables& tables, const guarantee_homes& homes)
{
    std::vector<std::string> names;
    for (const auto& [organisation, places] : homes.places) {
        for (const auto& [wanted, found] : places) {
            for (const auto& home : found) {
                for (const auto& part : home.parts)
                    names.push_back(organisation + " " + std::to_string(wanted.accelerators) + " " + tables.workers[part.worker].info.name + " " + std::to_string(part.taken.accelerators));
            }
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

TEST_CASE("every entry computes the same homes, regardless of the reported work")
{
    const auto one = tablesOf({ 0, 1, 2, 3, 4, 5 });
    auto other = tablesOf({ 5, 2, 0, 4, 3, 1 });
    task_report urgent;
    urgent.attempt.id = { "c", "urgent", 1 };
    urgent.attempt.urgent = true;
    urgent.attempt.allocations = { { "w0", "", 0xff, 8, 8 } };
    applyEvent(other, worker_reported { "w0", { urgent } }, {});
    REQUIRE(namesOf(one, computeHomes(one)).size() == 6);
    REQUIRE(namesOf(one, computeHomes(one)) == namesOf(other, computeHomes(other)));
}

TEST_CASE("a worker that is absent for a short time keeps its homes")
{
    auto tables = tablesOf({ 0, 1, 2, 3, 4, 5 });
    updateHomes(tables, {});
    const auto before = namesOf(tables, tables.homes);
    applyEvent(tables, worker_left { "w0" }, {});
    updateHomes(tables, time_point {} + 1min);
    REQUIRE(namesOf(tables, tables.homes) == before);
    updateHomes(tables, time_point {} + 11min);
    const auto after = namesOf(tables, tables.homes);
    REQUIRE(std::none_of(after.begin(), after.end(), [](const std::string& home) { return home.find(" w0 ") != std::string::npos; }));
}

TEST_CASE("guaranteed work starts in its home, and urgent work outside guarantees avoids all homes")
{
    core_fixture fixture;
    fixture.addWorkers(2);
    fixture.addOrganisations({ { .name = "owner", .guarantees = { { gang(8), 1 } } }, { .name = "other", .guarantees = {}, .mayRunUrgent = true } });
    auto urgent = jobNamed("other", "urgent", gang(8));
    urgent.jobClass = job_class::Urgent;
    const auto first = only<start_attempt>(fixture.submit(urgent));
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].attempt.urgent);
    urgent.id = "second";
    const auto second = only<start_attempt>(fixture.submit(urgent));
    REQUIRE(second.size() == 1);
    REQUIRE_FALSE(second[0].attempt.urgent);
    const auto guaranteed = only<start_attempt>(fixture.submit(jobNamed("owner", "job", gang(8))));
    REQUIRE(guaranteed.size() == 1);
    REQUIRE(guaranteed[0].reason.rule == "reclaim");
    REQUIRE(guaranteed[0].attempt.allocations[0].worker == second[0].attempt.allocations[0].worker);
}

TEST_CASE("urgent work is evicted from the home of a guarantee that has no other place, unless it is unrepeatable")
{
    for (const bool repeatable : { true, false }) {
        core_fixture fixture;
        fixture.addWorkers(1);
        const organisation_policy other { .name = "other", .guarantees = {}, .mayRunUrgent = true };
        fixture.addOrganisations({ other });
        auto urgent = jobNamed("other", "urgent", gang(1));
        urgent.jobClass = job_class::Urgent;
        urgent.repeatable = repeatable;
        const auto first = only<start_attempt>(fixture.submit(urgent));
        fixture.run(first[0].attempt.id);
        fixture.addOrganisations({ other, { .name = "owner", .guarantees = { { gang(8), 1 } } } });
        REQUIRE(only<evict_attempt>(fixture.tick()).size() == (repeatable ? 1 : 0));
        REQUIRE(only<evict_attempt>(fixture.tick()).empty());
        if (!repeatable)
            continue;
        fixture.end(first[0].attempt.id, attempt_outcome::Evicted);
        fixture.tick();
        const auto guaranteed = only<start_attempt>(fixture.submit(jobNamed("owner", "job", gang(8))));
        REQUIRE(guaranteed.size() == 1);
        REQUIRE(guaranteed[0].attempt.guaranteed);
    }
}
