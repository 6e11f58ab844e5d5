#include "process/test_cluster.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::test;

TEST_CASE("a request that is not idempotent runs once, whoever is asked again")
{
    test_cluster cluster(4, 3, {});
    for (unsigned index = 0; index < 3; ++index)
        cluster.awaitService(index);
    const auto before = cluster.count("served");
    const headers given = {{"Plantaingap-Idempotent", "false"},
                           {"Plantaingap-Request-Key", "certificate-1"}};
    const auto first = fetch(cluster.entry(0).address("callers"),
                             call("/services/register-search/", "certificate 1", given));
    CHECK(first.result_int() == 200);
    CHECK(first.body() == "certificate 1");
    for (unsigned index = 0; index < 3; ++index) {
        const auto again = fetch(cluster.entry(index).address("callers"),
                                 call("/services/register-search/", "certificate 1", given));
        CHECK(again.result_int() == 409);
        CHECK(again["Plantaingap-Run"] == "yes");
    }
    CHECK(cluster.count("served") == before + 1);
}
