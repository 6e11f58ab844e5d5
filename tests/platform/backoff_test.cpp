#include "platform/backoff.h"

#include <doctest/doctest.h>
#include <set>

using namespace plantaingap;
using namespace std::chrono_literals;

TEST_CASE("delays double up to the maximum and are spread over instances")
{
    struct delay_row
    {
        const char *name;
        int failures;
        duration min;
        duration max;
    };
    const delay_row rows[] = {
        {"the first failure", 1, 25ms, 50ms},
        {"the third failure", 3, 25ms, 200ms},
        {"after many failures", 40, 25ms, 5s},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        std::set<time_point> retryTimes;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            platform::backoff retries(50ms, 5s, seed);
            time_point next {};
            for (int failure = 0; failure < row.failures; ++failure)
                next = retries.failed(time_point {});
            CHECK(next >= time_point(row.min));
            CHECK(next <= time_point(row.max));
            retryTimes.insert(next);
        }
        CHECK(retryTimes.size() >= 90);
    }
}
