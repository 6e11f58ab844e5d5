#ifndef PLANTAINGAP_TESTS_MATRIX_CELLS_H
#define PLANTAINGAP_TESTS_MATRIX_CELLS_H

#include "matrix/fault.h"

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace plantaingap::matrix {

// One protocol of the matrix: its scenarios, the steps that they may take and the faults that may
// come at them.
struct protocol
{
    const char *name;
    std::vector<const char *> scenarios;
    std::vector<step> steps;
    std::vector<fault> faults;
    // Faults that come as the second of a pair.
    std::vector<fault> seconds;
    // The fault comes at the first, and then at every so many further times, up to this many.
    std::uint32_t occurrences;
    std::uint32_t everyNth;
    cell_result (*run)(const cell &what);
};

std::span<const protocol> protocols();

// All cells of a protocol: scenarios, steps, phases and faults, then pairs of faults.
std::vector<cell> cellsOf(const protocol &which);

// The invariant that a fault at a step threatens most.
const char *threatened(step at, fault what);

// Counts and prints how cells ended.
class report
{
public:
    void passed(const cell &what) { ++m_rows[what.first.at].passed; }
    void failed(const cell &what) { ++m_rows[what.first.at].failed; }
    void notApplicable(const cell &what, const char *reason);
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
