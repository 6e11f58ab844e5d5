#include "matrix/cells.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace plantaingap::matrix;

namespace {

// Sanitizer builds run about ten times slower, so they run every tenth cell.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t stride = 10;
#else
constexpr std::size_t stride = 1;
#endif

} // namespace

TEST_CASE("invariants hold under every fault at every step")
{
    // Restricts the run to protocols whose name contains this text.
    const char *protocolFilter = std::getenv("MATRIX_PROTOCOL");
    for (const auto &tested : protocols()) {
        if (protocolFilter
            && std::string_view(tested.name).find(protocolFilter) == std::string_view::npos)
            continue;
        report table;
        const auto cells = enumerateCells(tested);
        for (std::size_t index = 0; index < cells.size(); index += stride) {
            const auto &matrixCell = cells[index];
            const auto reason =
                notApplicable(matrixCell.first.injectedFault, matrixCell.first.atPhase);
            if (!reason.empty()) {
                table.notApplicable(matrixCell, reason.c_str());
                continue;
            }
            const auto result = tested.run(matrixCell);
            if (!result.reached) {
                table.notApplicable(matrixCell, "the scenario never reaches this step");
                continue;
            }
            if (result.violatedInvariant.empty()) {
                table.passed(matrixCell);
                continue;
            }
            table.failed(matrixCell);
            FAIL_CHECK(tested.name << ": " << matrixCell.name() << ", seed " << matrixCell.seed
                                   << ", threatens "
                                   << threatenedInvariant(matrixCell.first.atStep,
                                                          matrixCell.first.injectedFault)
                                   << ", violated: " << result.violatedInvariant);
        }
        table.print(tested.name);
    }
}
