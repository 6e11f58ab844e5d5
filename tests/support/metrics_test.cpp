#include "support/metrics.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::support;

TEST_CASE("counters and gauges are told with their labels")
{
    metrics own;
    own.counter("requests_total", "class=\"quick\"") += 2;
    own.gauge("waiting", "") = -1;
    CHECK(own.text()
          == "# TYPE requests_total counter\nrequests_total{class=\"quick\"} 2\n"
             "# TYPE waiting gauge\nwaiting -1\n");
}

TEST_CASE("a histogram's buckets are cumulative and lose nothing outside their range")
{
    struct row
    {
        std::string name;
        duration span;
        // How the bucket up to 1 s and the total read then.
        std::string second;
        std::string total;
    };
    const std::vector<row> rows = {
        {"below the first bucket", std::chrono::nanoseconds(1), "le=\"1\"} 1\n", "+Inf\"} 1\n"},
        {"in the middle", std::chrono::milliseconds(5), "le=\"1\"} 1\n", "+Inf\"} 1\n"},
        {"above the last bucket", std::chrono::hours(1), "le=\"1\"} 0\n", "+Inf\"} 1\n"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        metrics own;
        own.histogram("wait_seconds", "class=\"long\"").observe(row.span);
        const auto text = own.text();
        CHECK(text.find(row.second) != std::string::npos);
        CHECK(text.find(row.total) != std::string::npos);
        CHECK(text.find("wait_seconds_count{class=\"long\"} 1\n") != std::string::npos);
    }
}
