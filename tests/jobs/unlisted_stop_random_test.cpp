#include "jobs/capacity_runs.h"

#include <doctest/doctest.h>

using plantaingap::tests::checkCapacityRuns;
using plantaingap::tests::stopping_report;

TEST_CASE("The same holds if a worker lists a run nowhere while it stops it")
{
    checkCapacityRuns(stopping_report::Unlisted);
}
