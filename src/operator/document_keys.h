#ifndef PLANTAINGAP_OPERATOR_DOCUMENT_KEYS_H
#define PLANTAINGAP_OPERATOR_DOCUMENT_KEYS_H

#include <string>

namespace plantaingap::operators {

// The text of docs/CONFIGURATION.md: every key with its type, bounds, default and meaning, printed
// from the same tables that the reader follows.
std::string documentKeys();

} // namespace plantaingap::operators

#endif
