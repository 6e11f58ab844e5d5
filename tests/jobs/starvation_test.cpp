#include "jobs/starvation_rows.h"

#include <doctest/doctest.h>

using namespace plantaingap::tests;

TEST_CASE("No kind of step waits for ever while there is capacity for it")
{
    checkStarvation(soundKinds());
}

TEST_CASE("No step waits for ever for workers that were slow")
{
    checkStarvation(slowKinds());
}
