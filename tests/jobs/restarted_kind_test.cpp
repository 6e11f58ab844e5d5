#include "jobs/take_over.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string jobId = "00000000000000a1";
constexpr const char *restarted = "w0";

// What happens between the placement of a task and the order to start it.
enum class before_order : std::uint8_t { Nothing, Reports, ReportsAndIsListed };

struct restart_row
{
    const char *name;
    // The kind of the new incarnation; tasks require "b", which the former one is.
    const char *kind;
    // What the leader learns before the tasks come, unless they have been placed by then.
    bool reported;
    bool listed;
    before_order placedBefore;
    bool takeOver;
    // The tasks start on the worker, at once or when it has reported and is listed.
    bool startsAtOnce;
    bool startsThen;
};

constexpr restart_row rows[] = {
    {"another kind reports before it is listed", "a", true, false, before_order::Nothing, false,
     false, false},
    {"another kind is listed before it reports", "a", false, true, before_order::Nothing, false,
     false, false},
    {"another kind reports and is listed", "a", true, true, before_order::Nothing, false, false,
     false},
    {"another kind reports to a new leader before it is listed", "a", true, false,
     before_order::Nothing, true, false, false},
    {"another kind reports between placement and start", "a", true, false, before_order::Reports,
     false, false, false},
    {"another kind is listed between placement and start", "a", true, true,
     before_order::ReportsAndIsListed, false, false, false},
    {"the same kind reports before it is listed", "b", true, false, before_order::Nothing, false,
     false, true},
    {"the same kind reports to a new leader before it is listed", "b", true, false,
     before_order::Nothing, true, false, true},
    {"the same kind reports and is listed", "b", true, true, before_order::Nothing, false, true,
     true},
};

class restart_world : public scheduler_world
{
public:
    restart_world()
        : scheduler_world(2)
    {
        listsRestarts = false;
        fleet[restarted].entry.labels[0] = "b";
    }

    void submitJob()
    {
        auto created = step(2, 1000);
        created.label = "b";
        submit(jobId, "quick", {created});
        settle();
    }

    // A worker whose list entry is its former one.
    void restartAs(const std::string &kind)
    {
        crash(restarted);
        m_listed = fleet[restarted].entry;
        m_listed.incarnationMs = fleet[restarted].incarnationMs;
        m_listed.labels[0] = kind;
    }

    void listRestarted()
    {
        fleet[restarted].entry = m_listed;
        list();
    }

    void renewAndSettle()
    {
        renewAllLeases();
        renewAllLeases();
        settle();
    }

private:
    jobs::worker_entry m_listed;
};

} // namespace

// Guards against starts by the labels of a worker's former incarnation, whose entry the list of
// workers still has (review/14).
TEST_CASE("Tasks start on a worker that has started again only by the entry of its incarnation")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        restart_world first;
        first.begin();
        const bool placed = row.placedBefore != before_order::Nothing;
        if (placed) {
            first.store = false;
            first.submitJob();
        }
        first.restartAs(row.kind);
        if (row.listed)
            first.listRestarted();
        restart_world next;
        auto &world = row.takeOver ? next : first;
        if (row.takeOver)
            tests::takeOver(first, next);
        if (row.reported)
            world.renewAllLeases();
        if (placed) {
            world.store = true;
            world.settle();
        } else {
            world.submitJob();
        }
        const auto atOnce = world.running(jobId);
        CHECK(atOnce == (row.startsAtOnce ? 2 : 0));
        first.listRestarted();
        if (row.takeOver) {
            next.fleet[restarted].entry = first.fleet[restarted].entry;
            next.list();
        }
        world.renewAndSettle();
        world.advance(milliseconds(1000));
        CHECK(world.running(jobId) == (row.startsThen ? 2 : 0));
        CHECK(world.startedTwice.empty());
    }
}
