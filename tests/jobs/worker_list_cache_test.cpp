#include "jobs/worker_list_cache.h"

#include <doctest/doctest.h>
#include <string>

using namespace plantaingap;
using namespace plantaingap::jobs;

namespace {

struct list_read
{
    int ms;
    std::vector<std::string> listed;
    std::vector<std::string> counted;
};

struct list_row
{
    const char *name;
    std::vector<list_read> reads;
};

const list_row rows[] = {
    {"an entry that goes while the store is well is gone",
     {{0, {"a", "b"}, {"a", "b"}}, {800, {"a"}, {"a"}}}},
    {"an entry that lapsed in an outage counts until it is back",
     {{0, {"a", "b"}, {"a", "b"}},
      {5000, {"a"}, {"a", "b"}},
      {6000, {"a"}, {"a", "b"}},
      {7000, {"a", "b"}, {"a", "b"}},
      {8000, {"a", "b"}, {"a", "b"}}}},
    {"one that is not back in time is gone",
     {{0, {"a", "b"}, {"a", "b"}}, {5000, {"a"}, {"a", "b"}}, {7400, {"a"}, {"a"}}}},
    {"the first list is taken as it is", {{5000, {"a"}, {"a"}}}},
};

} // namespace

TEST_CASE("Which workers count as listed")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        worker_list_cache cache;
        for (const auto &one : row.reads) {
            CAPTURE(one.ms);
            std::vector<worker_entry> entries;
            for (const auto &id : one.listed)
                entries.emplace_back().id = id;
            const auto now = time_point(std::chrono::seconds(50) + milliseconds(one.ms));
            std::vector<std::string> ids;
            for (const auto &entry : cache.update(entries, now))
                ids.push_back(entry.id);
            CHECK(ids == one.counted);
        }
    }
}
