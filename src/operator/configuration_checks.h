#ifndef PLANTAINGAP_OPERATOR_CONFIGURATION_CHECKS_H
#define PLANTAINGAP_OPERATOR_CONFIGURATION_CHECKS_H

#include "operator/document_reader.h"
#include "support/json_document.h"

#include <plantaingap/configuration.h>
#include <plantaingap/result.h>
#include <vector>

namespace plantaingap::operators {

// One file as it was read, beside its document, in which findings look up their lines.
struct read_file
{
    support::json_document document;
    configuration declared;
};

// What one key alone cannot show: names declared twice, names that nothing declares, limits that
// contradict each other and demands that no part of the cell can ever meet. Declarations in which
// something was found already are left out, so that one slip is not told twice. Appends to found.
void checkConfiguration(const std::vector<read_file> &files, findings &found);

} // namespace plantaingap::operators

#endif
