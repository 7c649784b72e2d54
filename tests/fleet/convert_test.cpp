#include "core_fixture.hpp"

#include <fleet/rpc/convert.hpp>
#include <fleet/rpc/text.hpp>

#include <capnp/message.h>
#include <catch2/catch.hpp>

using namespace fleet;
using namespace fleet::test;

// Guards against tasks that start with a part of their specification: a C string ends at its first NUL character.
TEST_CASE("texts of messages arrive byte for byte", "[rpc][text]")
{
    const std::string text("before\0after", 12);
    capnp::MallocMessageBuilder message;
    auto order = message.initRoot<rpc::Agent::StartParams>();
    order.setText(toMessageText(text));
    CHECK(fromMessageText(order.asReader().getText()) == text);

    auto report = workerReport("r1", 8, text);
    report.worker.labels = { text, text };
    report.active.push_back({ { { "0123456789abcdef", 1, 2, 3 }, 4 }, text, 12.5, 3 });
    capnp::MallocMessageBuilder second;
    auto out = second.initRoot<rpc::Report>();
    writeReport(out, report);
    const auto read = readReport(out.asReader());
    CHECK(read.worker == report.worker);
    CHECK(read.active == report.active);
}

TEST_CASE("a report survives the message; an end of an unknown kind counts as lost", "[rpc]")
{
    auto report = workerReport("r1");
    report.active.push_back({ { { "0123456789abcdef", 1, 2, 3 }, 4 }, "saved", 12.5, 3 });
    for (int how = 0; how <= static_cast<int>(run_outcome::Lost); ++how)
        report.ended.push_back({ 7, { { "0123456789abcdef", 0, 0, 0 }, 1 }, static_cast<run_outcome>(how), "" });
    report.endsTruncated = true;
    report.gone = true;
    report.othersMayRun = true;
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<rpc::Report>();
    writeReport(out, report);
    auto read = readReport(out.asReader());
    CHECK(read.active == report.active);
    CHECK(read.ended == report.ended);
    CHECK(read.endsTruncated);
    CHECK(read.gone);
    CHECK(read.othersMayRun);

    out.getEnded()[0].setHow(200);
    out.getActive()[0].getRun().setTask("no task");
    read = readReport(out.asReader());
    CHECK(read.active.empty());
    CHECK(read.ended[0].outcome == run_outcome::Lost);
}
