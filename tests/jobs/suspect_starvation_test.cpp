#include "jobs/starvation_rows.h"

#include <doctest/doctest.h>

using namespace plantaingap::tests;

TEST_CASE("No step that is suspected to crash workers waits for ever")
{
    checkStarvation(suspectedKinds());
}
