#include "operator/cli_commands.h"

#include <array>

// The commands that look at the cell: status and audit.
namespace plantaingap::operators {

namespace {

namespace po = boost::program_options;

void addNothing(po::options_description &) { }

void addAuditOptions(po::options_description &options)
{
    options.add_options()("limit", po::value<std::uint32_t>()->default_value(100),
                          "how many entries, the newest first");
}

template<tabled Struct>
void printSection(std::ostream &out, std::string_view title, const std::vector<Struct> &values)
{
    out << title << ": " << values.size() << '\n';
    if (!values.empty())
        printTable(out, values);
    out << '\n';
}

exit_code status(const cli_context &context, cli_connection &connection)
{
    const auto cell = connection.get<cell_status>("/v1/status");
    if (!cell)
        return tellFailure(context, cell.error());
    if (context.format == output_format::Json) {
        printJson(context.out, *cell);
        return exit_code::Ok;
    }
    context.out << "version " << cell->version << ", digest " << cell->digest << "\n\n";
    printSection(context.out, "instances", cell->instances);
    printSection(context.out, "workers", cell->workers);
    printSection(context.out, "queues", cell->queues);
    printSection(context.out, "teams", cell->teams);
    printSection(context.out, "jobs", cell->jobs);
    return exit_code::Ok;
}

exit_code audit(const cli_context &context, cli_connection &connection)
{
    const auto limit = context.options["limit"].as<std::uint32_t>();
    const auto trail = connection.get<audit_message>("/v1/audit?limit=" + std::to_string(limit));
    if (!trail)
        return tellFailure(context, trail.error());
    if (context.format == output_format::Json)
        printJson(context.out, *trail);
    else
        printTable(context.out, trail->entries);
    return exit_code::Ok;
}

} // namespace

std::span<const cli_command> cellCommands()
{
    static constexpr std::array<cli_command, 2> commands {{
        {"status", "", "instances, workers, queues, teams and jobs", addNothing, nullptr, status},
        {"audit", "", "who changed what, accepted or refused", addAuditOptions, nullptr, audit},
    }};
    return commands;
}

} // namespace plantaingap::operators
