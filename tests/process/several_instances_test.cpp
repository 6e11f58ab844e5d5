#include "process/test_cluster.h"

#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::test;
namespace json = boost::json;

namespace {

std::int64_t countIn(const json::value &report, const char *name)
{
    return report.at(name).to_number<std::int64_t>();
}

// Every request had one whole answer of its own, and no worker ran more than its slots.
void checkAllAnswered(const json::value &report, const test_cluster &cluster, std::int64_t requests)
{
    CHECK(countIn(report, "answered") == requests);
    CHECK(countIn(report, "refused") == 0);
    CHECK(countIn(report, "unknown") == 0);
    CHECK(countIn(report, "failed") == 0);
    CHECK(countIn(report, "crossed") == 0);
    CHECK(cluster.count("over_slots") == 0);
}

} // namespace

TEST_CASE("three instances serve every request once, whichever owns the worker")
{
    test_cluster cluster(4, 3, {});
    for (unsigned index = 0; index < 3; ++index)
        cluster.awaitService(index);
    const auto before = cluster.count("served");
    auto load = cluster.load(24, 6000, {});
    const auto report = json::parse(load.rest());
    CHECK(load.wait() == 0);
    checkAllAnswered(report, cluster, 6000);
    CHECK(cluster.count("served") == before + 6000);
    CHECK(cluster.count("repeated") == 0);
}

TEST_CASE("a planned stop under load loses nothing and hands its groups over")
{
    test_cluster cluster(4, 3, {"--work-us=2000"});
    for (unsigned index = 0; index < 3; ++index)
        cluster.awaitService(index);
    auto load = cluster.load(12, 6000, {"--follow"});
    cluster.entry(0).signal(SIGTERM);
    CHECK(cluster.entry(0).wait() == 0);
    const auto report = json::parse(load.rest());
    CHECK(load.wait() == 0);
    checkAllAnswered(report, cluster, 6000);
}

TEST_CASE("idempotent requests at the others survive the kill of an instance")
{
    test_cluster cluster(4, 3, {"--work-us=2000"});
    for (unsigned index = 0; index < 3; ++index)
        cluster.awaitService(index);
    auto load = cluster.load(12, 6000, {"--follow"});
    cluster.entry(0).signal(SIGKILL);
    CHECK(cluster.entry(0).wait() == -SIGKILL);
    const auto report = json::parse(load.rest());
    load.wait();
    // Callers of the killed instance lost the connection; they ask again elsewhere.
    CHECK(countIn(report, "answered") == 6000);
    CHECK(countIn(report, "crossed") == 0);
    CHECK(cluster.count("over_slots") == 0);
}

TEST_CASE("a request that outlasts its caller's deadline holds its slot until the worker is done")
{
    test_cluster cluster(1, 1, {"--work-us=150000"});
    cluster.awaitService(0);
    const auto before = cluster.count("served");
    auto load = cluster.load(16, 64, {"--deadline-ms=50"});
    const auto report = json::parse(load.rest());
    load.wait();
    CHECK(countIn(report, "failed") == 0);
    CHECK(countIn(report, "unknown") == cluster.count("served") - before);
    CHECK(countIn(report, "unknown") + countIn(report, "refused") == 64);
    CHECK(cluster.count("over_slots") == 0);
}
