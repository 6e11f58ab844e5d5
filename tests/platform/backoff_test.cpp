#include "platform/backoff.h"

#include <doctest/doctest.h>
#include <set>

using namespace plantaingap;
using namespace std::chrono_literals;

TEST_CASE("waits double up to the longest, and instances come back spread")
{
    struct wait_row
    {
        const char *name;
        int failures;
        duration least;
        duration most;
    };
    const wait_row rows[] = {
        {"the first failure", 1, 25ms, 50ms},
        {"the third failure", 3, 25ms, 200ms},
        {"after many failures", 40, 25ms, 5s},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        std::set<time_point> returns;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            platform::backoff machine(50ms, 5s, seed);
            time_point next {};
            for (int failure = 0; failure < row.failures; ++failure)
                next = machine.failed(time_point {});
            CHECK(next >= time_point(row.least));
            CHECK(next <= time_point(row.most));
            returns.insert(next);
        }
        CHECK(returns.size() >= 90);
    }
}
