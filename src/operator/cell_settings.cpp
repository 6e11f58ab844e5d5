#include "operator/cell_settings.h"

#include "operator/document_reader.h"
#include "operator/files.h"
#include "operator/settings_tables.h"

namespace plantaingap::operators {

cell_settings_outcome parseCellSettings(const std::string &file, std::string_view text)
{
    const auto document = support::parseJsonDocument(file, text);
    if (!document)
        return findings {document.error()};
    findings found;
    cell_settings settings;
    document_reader(file, unknown_keys::Refuse, found).read(document->root, settings);
    if (found.empty() && settings.store.port() == 0) {
        const int line = support::nearestNode(document->root, "/store").line;
        found.push_back({file, line, "/store", "port 0 cannot be called"});
    }
    if (!found.empty())
        return found;
    return settings;
}

cell_settings_outcome loadCellSettings(const std::string &file)
{
    const auto text = readFile(file);
    if (!text)
        return findings {{file, 0, "", "cannot be read: " + text.error().message()}};
    return parseCellSettings(file, *text);
}

} // namespace plantaingap::operators
