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

TEST_CASE("a repeat that meets another group since its rack went is not run again")
{
    // Two racks of two workers; enough keys that each rack has some.
    constexpr int keys = 12;
    test_cluster cluster(4, 2, {});
    cluster.awaitService(0);
    cluster.awaitService(1);
    const auto before = cluster.count("served");
    const auto ask = [&](int key, unsigned index) {
        const auto name = "certificate-" + std::to_string(key);
        return fetch(
            cluster.entry(index).address("callers"),
            call("/services/register-search/", name,
                 {{"Plantaingap-Idempotent", "false"}, {"Plantaingap-Request-Key", name}}));
    };
    for (int key = 0; key < keys; ++key)
        CHECK(ask(key, 0).result_int() == 200);
    CHECK(cluster.count("served") == before + keys);
    cluster.listOnly(2);
    for (int key = 0; key < keys; ++key) {
        CAPTURE(key);
        CHECK(ask(key, 1).result_int() == 409);
    }
    CHECK(cluster.count("served") == before + keys);
}
