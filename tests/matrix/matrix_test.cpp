#include "matrix/cells.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace plantaingap::matrix;

namespace {

// The sanitizers take about ten times as long; they see every tenth cell.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t stride = 10;
#else
constexpr std::size_t stride = 1;
#endif

} // namespace

TEST_CASE("every fault at every step leaves the invariants whole")
{
    // One protocol alone, by a part of its name.
    const char *only = std::getenv("MATRIX_PROTOCOL");
    for (const auto &which : protocols()) {
        if (only && std::string_view(which.name).find(only) == std::string_view::npos)
            continue;
        report table;
        const auto cells = cellsOf(which);
        for (std::size_t index = 0; index < cells.size(); index += stride) {
            const auto &what = cells[index];
            const auto reason = notApplicable(what.first.what, what.first.when);
            if (!reason.empty()) {
                table.notApplicable(what, reason.c_str());
                continue;
            }
            const auto result = which.run(what);
            if (!result.reached) {
                table.notApplicable(what, "the scenario never comes to this step");
                continue;
            }
            if (result.broken.empty()) {
                table.passed(what);
                continue;
            }
            table.failed(what);
            FAIL_CHECK(which.name << ": " << what.name() << ", seed " << what.seed << ", threatens "
                                  << threatened(what.first.at, what.first.what)
                                  << ", broke: " << result.broken);
        }
        table.print(which.name);
    }
}
