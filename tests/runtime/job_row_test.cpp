#include "runtime/job_row.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::runtime;

namespace {

job_row sample()
{
    job_row row;
    row.spec.name = "nightly";
    row.spec.team = "cutting";
    row.spec.kind = decision::job_kind::AllOrNothing;
    row.spec.urgent = decision::job_urgency::Urgent;
    row.spec.tasks = 3;
    row.spec.each = {500, 1024, 1};
    row.spec.taskKind = "nest";
    row.spec.checkpointable = true;
    row.spec.runTime = std::chrono::seconds(90);
    row.spec.startBy = wall_time(std::chrono::seconds(1000));
    row.spec.spread = decision::spread_rule::SingleRack;
    row.finished = {0, 2};
    return row;
}

struct broken_row
{
    std::string name;
    std::string from;
    std::string to;
};

} // namespace

TEST_CASE("a job's row survives its text")
{
    const auto read = jobRowFrom(jobRowText(sample()));
    REQUIRE(read.has_value());
    CHECK((*read == sample()));
}

TEST_CASE("a broken row is malformed")
{
    const std::vector<broken_row> rows = {
        {"an unknown kind", "all_or_nothing", "some"},
        {"a negative size", "\"memory_mib\":1024", "\"memory_mib\":-1"},
        {"a finished task that there is not", "\"finished\":[0,2]", "\"finished\":[0,3]"},
        {"no tasks", "\"tasks\":3", "\"tasks\":0"},
        {"a missing member", "\"state\":", "\"stat\":"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        auto text = jobRowText(sample());
        const auto at = text.find(row.from);
        REQUIRE(at != std::string::npos);
        text.replace(at, row.from.size(), row.to);
        CHECK(jobRowFrom(text).has_error());
    }
}

TEST_CASE("a wall time becomes a deadline of this process's clock")
{
    const time_point now(std::chrono::hours(5));
    const auto job = jobSubmitted(sample(), now, wall_time(std::chrono::seconds(990)));
    CHECK((job.startBy == now + std::chrono::seconds(10)));
    CHECK(job.job == jobIdOf("nightly"));
}
