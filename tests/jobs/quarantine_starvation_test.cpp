#include "jobs/starvation_rows.h"

#include <doctest/doctest.h>

using namespace plantaingap::tests;

TEST_CASE("No step waits for ever for workers that were quarantined")
{
    checkStarvation(quarantinedKinds());
}
