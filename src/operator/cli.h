#ifndef PLANTAINGAP_OPERATOR_CLI_H
#define PLANTAINGAP_OPERATOR_CLI_H

#include <iosfwd>
#include <plantaingap/cell_check.h>
#include <string>
#include <vector>

namespace plantaingap::operators {

// How the operators' program ends, for scripts. The numbers stay as they are.
enum class exit_code : int {
    Ok = 0,
    // The files have findings, or the instance refused the set for some.
    Findings = 1,
    // The command line itself is wrong.
    Usage = 2,
    // Another operator's change came first.
    Conflict = 3,
    // Applied, but not in force everywhere by the deadline; who lags was named.
    Lagging = 4,
    // The token is unknown or may not do this.
    Forbidden = 5,
    // No whole answer: whether a change was made is not known; ask show or audit.
    Unknown = 6,
    NotFound = 7,
    // Not reached, or refused for now, for example with the store away: nothing was changed.
    Refused = 8,
    // The job that was followed failed or was cancelled.
    JobFailed = 9,
};

// Runs the operators' program: the arguments without its own name, and where it writes. The command
// check-cell exists only in a program that passes a check.
exit_code runCommandLine(const std::vector<std::string> &arguments, std::ostream &out,
                         std::ostream &err, const cell_check &check = {});

} // namespace plantaingap::operators

#endif
