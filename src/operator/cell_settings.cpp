#include "operator/cell_settings.h"

#include "operator/document_reader.h"
#include "operator/files.h"
#include "operator/settings_tables.h"

namespace plantaingap::operators {

template<>
struct document_table<cell_settings>
{
    static constexpr std::string_view title = "Settings of an instance on the platform";
    static constexpr std::string_view doc =
        "The file given to 'plantaingapd cell'. Addresses are IP numbers with a port.";
    static constexpr auto fields = std::make_tuple(
        required("instance", &cell_settings::instance, nameRule, "Unique in the cell."),
        required("region", &cell_settings::region, nameRule, "Where the instance runs."),
        required("data_centre", &cell_settings::dataCentre, nameRule,
                 "Where in the region it runs."),
        required("caller_listen", &cell_settings::callerListen, anyValue, "For callers."),
        required("ready_listen", &cell_settings::readyListen, anyValue,
                 "For the balancer's question and for metrics."),
        required("peer_listen", &cell_settings::peerListen, anyValue, "For other instances."),
        required("store", &cell_settings::store, anyValue, "The platform's table service."),
        optional("advisor", &cell_settings::advisor, anyValue, "The placement advisor."),
        optional("caller_connections", &cell_settings::callerConnections, range(1, 1'000'000),
                 "Open connections of callers; more are closed at once."),
        optional("longest_lease", &cell_settings::longestLease, range(500, 3'600'000),
                 "The longest lease that a worker takes."),
        optional("stop_grace", &cell_settings::stopGrace, range(500, 3'600'000),
                 "From the signal to stop until the process is ended by force."),
        optional("log_level", &cell_settings::logLevel, anyValue, "The lowest level told."));
};

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
