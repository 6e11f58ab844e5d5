#ifndef PLANTAINGAP_TESTS_MATRIX_CELLS_H
#define PLANTAINGAP_TESTS_MATRIX_CELLS_H

#include "matrix/fault.h"

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace plantaingap::matrix {

// One protocol of the matrix: its scenarios, steps and the faults that may occur at them.
struct protocol
{
    const char *name;
    std::vector<const char *> scenarios;
    std::vector<step> steps;
    std::vector<fault> faults;
    // Faults that are used as the second of a pair.
    std::vector<fault> secondFaults;
    // Faults are injected at occurrence 1 of a step, and from there at every occurrenceStride-th
    // one up to maxOccurrence.
    std::uint32_t maxOccurrence;
    std::uint32_t occurrenceStride;
    cell_result (*run)(const cell &matrixCell);
};

std::span<const protocol> protocols();

// All cells of a protocol: each combination of scenario, step, phase and fault, then a sample of
// them with a second fault.
std::vector<cell> enumerateCells(const protocol &tested);

// The invariant most likely to be violated by a fault at a step; used in failure messages.
const char *threatenedInvariant(step atStep, fault injected);

// Counts and prints the results of cells.
class report
{
public:
    void passed(const cell &matrixCell) { ++m_rows[matrixCell.first.atStep].passed; }
    void failed(const cell &matrixCell) { ++m_rows[matrixCell.first.atStep].failed; }
    void notApplicable(const cell &matrixCell, const char *reason);
    void print(const char *name) const;

private:
    struct row
    {
        int passed = 0;
        int failed = 0;
        int notApplicable = 0;
    };

    std::map<step, row> m_rows;
    std::map<std::string, int> m_reasons;
};

} // namespace plantaingap::matrix

#endif
