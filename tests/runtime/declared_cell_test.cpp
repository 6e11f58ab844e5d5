#include "runtime/declared_cell.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::runtime;

namespace {

struct share_row
{
    std::string name;
    resources quota;
    resources group;
    resources cell;
    resources expected;
};

struct group_row_case
{
    std::string name;
    decision::job_kind kind;
    std::uint32_t tasks;
    // Groups that may be chosen.
    std::vector<std::string> allowed;
};

} // namespace

TEST_CASE("a team's share of a group is in proportion and rounded down")
{
    const std::vector<share_row> rows = {
        {"half of the cell", {1000, 4096, 8}, {500, 500, 1}, {1000, 1000, 2}, {500, 2048, 4}},
        {"a third rounds down", {1000, 1000, 1}, {1, 1, 1}, {3, 3, 3}, {333, 333, 0}},
        {"a cell without accelerators", {10, 10, 5}, {1, 1, 0}, {2, 2, 0}, {5, 5, 0}},
        {"amounts near the largest",
         {1LL << 50, 1, 0},
         {1LL << 49, 1, 0},
         {1LL << 50, 1, 0},
         {1LL << 49, 1, 0}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto shares = quotaShares({{"team", row.quota, {}}}, row.group, row.cell);
        REQUIRE(shares.size() == 1);
        CHECK((shares[0].quota == row.expected));
    }
}

TEST_CASE("a job goes to a group that could hold it")
{
    const std::map<std::string, resources> groups = {{"large", {8000, 8000, 0}},
                                                     {"small", {1000, 1000, 0}}};
    const std::vector<group_row_case> rows = {
        {"all tasks at once fit only the large one",
         decision::job_kind::AllOrNothing,
         4,
         {"large"}},
        {"batch tasks fit either", decision::job_kind::Batch, 4, {"large", "small"}},
        {"what fits nowhere still has a group to refuse it",
         decision::job_kind::AllOrNothing,
         100,
         {"large", "small"}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        job_spec job;
        job.kind = row.kind;
        job.tasks = row.tasks;
        job.each = {1000, 1000, 0};
        for (int index = 0; index < 50; ++index) {
            job.name = "job-" + std::to_string(index);
            const auto chosen = groupForJob(job, groups);
            CHECK(std::find(row.allowed.begin(), row.allowed.end(), chosen) != row.allowed.end());
            CHECK(chosen == groupForJob(job, groups));
        }
    }
    CHECK(groupForJob({}, {}).empty());
}
