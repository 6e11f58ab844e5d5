#ifndef PLANTAINGAP_OPERATOR_CONFIGURATION_SET_H
#define PLANTAINGAP_OPERATOR_CONFIGURATION_SET_H

#include "support/json_document.h"

#include <plantaingap/configuration.h>
#include <plantaingap/result.h>
#include <string>
#include <string_view>
#include <vector>

namespace plantaingap::operators {

// A set that was read and checked. The digest is that of the canonical text, so sets that declare
// the same are the same set, whatever their comments, order or division into files.
struct configuration_set
{
    configuration declared;
    std::string digest;
    // The files it was read from; empty for a set that came over the wire.
    std::vector<std::string> files;
};

// One file of a set.
struct set_file
{
    std::string name;
    std::string text;
};

// The set, or everything that is wrong with it, over all its files.
using set_outcome = boost::system::result<configuration_set, findings>;
set_outcome readSet(const std::vector<set_file> &files);
// The *.json files of a folder.
set_outcome loadSet(const std::string &folder);
// A set as canonicalText() wrote it; the name is told in findings.
set_outcome parseSet(const std::string &name, std::string_view text);

// The set with declarations sorted by name and its digest computed. What it declares is not
// checked.
configuration_set makeSet(configuration declared);

// All declarations as one JSON text, without keys that hold their default.
std::string canonicalText(const configuration &declared);

} // namespace plantaingap::operators

#endif
