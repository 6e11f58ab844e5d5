#include "cell/cell_layout.h"
#include "cell/follower_table.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace plantaingap;
using namespace plantaingap::cell;
using std::chrono::milliseconds;

namespace {

jobs::worker_entry workerIn(const std::string &id, const std::string &rack)
{
    jobs::worker_entry entry;
    entry.id = id;
    entry.labels = {"a", rack};
    return entry;
}

struct layout_row
{
    const char *name;
    std::size_t workers;
    instance_capacity leader;
    std::uint32_t partitions;
};

const layout_row layouts[] = {
    {"a fleet that one leader can serve is not divided", 48, {250, 1'000'000}, 1},
    {"a leader with half a core serves 350 workers", 350, {500, 200'000}, 1},
    {"1,100 workers need three such leaders", 1100, {500, 200'000}, 3},
    {"a narrow link limits a leader like its processor", 120, {500, 2'000}, 2},
    {"an unknown link is no limit", 350, {500, 0}, 1},
    {"no workers yet", 0, {500, 200'000}, 1},
    {"the number of partitions is bounded", 1'000'000, {500, 200'000}, 64},
};

} // namespace

TEST_CASE("Number of partitions for a fleet")
{
    for (const auto &row : layouts) {
        CAPTURE(std::string(row.name));
        const auto layout = layoutFor(row.workers, row.leader);
        CHECK(layout.partitions == row.partitions);
        CHECK(decodeLayout(encodeLayout(layout)) == layout);
    }
}

TEST_CASE("A malformed layout is not taken for one")
{
    for (const auto *text : {"", "[]", R"({"partitions":0})", R"({"partitions":65})",
                             R"({"partitions":"2"})", R"({"partitions":-1})"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(decodeLayout(text));
    }
}

// Stored rows of a partition are found again by later versions of the program only if these
// assignments never change.
TEST_CASE("Assignments to partitions are stable")
{
    CHECK(partitionOfJob("5c0e7a21d94b36f8", 3) == 1);
    CHECK(partitionOfJob("00000000000000f1", 3) == 0);
    CHECK(partitionOfWorker(workerIn("w1", "r1-7"), 3) == 1);
    CHECK(partitionOfWorker(workerIn("w2", "r1-8"), 3) == 2);
    CHECK(homePartition("edge-north-a-1", 3) == 0);
}

TEST_CASE("Racks stay whole and are dealt out evenly")
{
    constexpr std::uint32_t partitions = 3;
    constexpr int dataCentres = 6;
    constexpr int racksEach = 23;
    std::map<std::uint32_t, int> racks;
    for (int centre = 1; centre <= dataCentres; ++centre) {
        for (int rack = 0; rack < racksEach; ++rack) {
            const auto label = "r" + std::to_string(centre) + "-" + std::to_string(rack);
            const auto first = partitionOfWorker(workerIn("a", label), partitions);
            CHECK(partitionOfWorker(workerIn("b", label), partitions) == first);
            ++racks[first];
        }
    }
    REQUIRE(racks.size() == partitions);
    for (const auto &[partition, count] : racks)
        CHECK(std::abs(count - dataCentres * racksEach / static_cast<int>(partitions)) <= 3);
}

TEST_CASE("A store part for each partition, the unnamed one for a cell of one")
{
    CHECK(partition_id {0, 1}.storePart().empty());
    CHECK(partition_id {0, 3}.storePart() == "p0");
    CHECK(partition_id {2, 3}.storePart() == "p2");
}

// Load: heartbeats of hundreds of followers.
TEST_CASE("Heartbeats are frequent for successors and bounded in total")
{
    struct heartbeat_row
    {
        const char *name;
        int followers;
        double maxPerSecond;
    };
    const heartbeat_row rows[] = {
        {"seven followers", 7, 35.0},
        {"147 followers", 147, 110.0},
        {"2,700 followers", 2700, 1400.0},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        follower_table followers;
        const auto now = time_point(std::chrono::hours(1));
        double perSecond = 0;
        std::vector<milliseconds> intervals;
        for (int round = 0; round < 2; ++round) {
            perSecond = 0;
            intervals.clear();
            for (int i = 0; i < row.followers; ++i) {
                heartbeat_request request;
                request.instance = "e" + std::to_string(i);
                request.address = "address";
                request.takeoverDelay = milliseconds(i);
                const auto interval =
                    followers.heartbeatReceived(request, now + std::chrono::seconds(round));
                intervals.push_back(interval);
                perSecond += 1000.0 / static_cast<double>(interval.count());
            }
        }
        CHECK(perSecond <= row.maxPerSecond);
        CHECK(intervals.front() == milliseconds(200));
        CHECK(followers.address("e0") == "address");
        CHECK(followers.address("unknown").empty());
    }
}
