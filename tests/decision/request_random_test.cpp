#include "request_run.h"

#include <doctest/doctest.h>
#include <iostream>
#include <plantaingap/mutation.h>

using namespace plantaingap;
using namespace plantaingap::decision;

namespace {

constexpr int steps = 20000;

// Returns the name of the violated invariant, or an empty string.
std::string runHistory(std::uint64_t seed)
{
    const throwing_invariants guard;
    request_run run(seed);
    try {
        run.play(steps);
    } catch (const broken_invariant &violation) {
        return violation.what();
    }
    return run.completed() > 0 ? "" : "no request was completed";
}

} // namespace

TEST_CASE("random request histories violate no invariant")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK(runHistory(seed) == "");
    }
}

#ifdef PLANTAINGAP_MUTATIONS

TEST_CASE("each mutation of the request scheduler breaks an invariant")
{
    const std::vector<std::string> rows = {
        "requests.skip_slot_check", "requests.skip_phase_check",   "requests.forget_sends",
        "requests.repeat_unknown",  "requests.skip_waiting_count", "requests.forget_cancellation"};
    for (const auto &mutation : rows) {
        CAPTURE(mutation);
        activeMutation = mutation;
        const auto violation = runHistory(1);
        activeMutation = {};
        CHECK(violation != "");
        std::cout << mutation << " -> request_random_test: " << violation << '\n';
    }
}

#endif
