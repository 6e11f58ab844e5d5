#include "jobs/capacity_runs.h"

#include <doctest/doctest.h>

using plantaingap::tests::checkCapacityRuns;
using plantaingap::tests::stopping_report;

TEST_CASE("No start brings a worker over its capacity and no task runs twice, whatever is lost")
{
    checkCapacityRuns(stopping_report::Active);
}
