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
    std::vector<std::string> expected;
};

struct list_row
{
    const char *name;
    std::vector<list_read> reads;
};

const list_row rows[] = {
    {"an entry removed while the store is available is dropped",
     {{0, {"a", "b"}, {"a", "b"}}, {800, {"a"}, {"a"}}}},
    {"an entry that expired during an outage is kept until it reappears",
     {{0, {"a", "b"}, {"a", "b"}},
      {5000, {"a"}, {"a", "b"}},
      {6000, {"a"}, {"a", "b"}},
      {7000, {"a", "b"}, {"a", "b"}},
      {8000, {"a", "b"}, {"a", "b"}}}},
    {"an entry that does not reappear in time is dropped",
     {{0, {"a", "b"}, {"a", "b"}}, {5000, {"a"}, {"a", "b"}}, {7400, {"a"}, {"a"}}}},
    {"the first list is used unchanged", {{5000, {"a"}, {"a"}}}},
};

} // namespace

TEST_CASE("Entries that expired during a store outage are kept for a limited time")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        worker_list_cache cache;
        for (const auto &read : row.reads) {
            CAPTURE(read.ms);
            std::vector<worker_entry> entries;
            for (const auto &id : read.listed)
                entries.emplace_back().id = id;
            const auto now = time_point(std::chrono::seconds(50) + milliseconds(read.ms));
            std::vector<std::string> ids;
            for (const auto &entry : cache.update(entries, now))
                ids.push_back(entry.id);
            CHECK(ids == read.expected);
        }
    }
}
