#include <oriole/entry/end_acknowledgement.hpp>

#include <catch2/catch.hpp>

using namespace oriole;

TEST_CASE("an owner takes note of ends of its own epoch and earlier ones, not of a later owner's")
{
    task_report task;
    task.attempt.id = { "alpha", "job", 20001 };
    task.attempt.epoch = 2;
    task.phase = task_phase::Finished;
    CHECK_FALSE(mayAcknowledge(task, 1));
    CHECK(mayAcknowledge(task, 2));
    CHECK(mayAcknowledge(task, 3));
    task.phase = task_phase::Running;
    CHECK_FALSE(mayAcknowledge(task, 2));
}
