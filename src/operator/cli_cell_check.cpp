#include "operator/cell_check_tables.h"
#include "operator/cli_commands.h"
#include "operator/files.h"

#include <algorithm>
#include <array>

// The command check-cell. The check itself comes from the program that joins the packages.
namespace plantaingap::operators {

namespace {

namespace po = boost::program_options;

void addCellCheckOptions(po::options_description &options)
{
    options.add_options()("in-force", po::value<std::string>(),
                          "file of the version in force; its differences are printed");
}

// A file that cannot be read is a finding like any other.
std::optional<named_text> readNamed(const std::string &name, std::vector<cell_finding> &found)
{
    auto text = readFile(name);
    if (!text) {
        found.push_back({cell_finding_level::Error, name, 0, "",
                         "it cannot be read: " + text.error().message()});
        return std::nullopt;
    }
    return named_text {name, std::move(*text)};
}

cell_check_report makeReport(const cli_context &context)
{
    std::vector<cell_finding> unread;
    const auto configuration = readNamed(context.argument(), unread);
    std::optional<named_text> inForce;
    if (context.options.contains("in-force"))
        inForce = readNamed(context.options["in-force"].as<std::string>(), unread);
    cell_check_report report;
    if (configuration)
        report = context.check(*configuration, inForce);
    report.findings.insert(report.findings.end(), unread.begin(), unread.end());
    return report;
}

exit_code checkCell(const cli_context &context)
{
    const auto report = makeReport(context);
    const auto errors =
        std::ranges::count(report.findings, cell_finding_level::Error, &cell_finding::level);
    if (context.format == output_format::Json) {
        printJson(context.out, report);
    } else {
        printCellFindings(context.err, report.findings);
        printCellChanges(context.out, report.changes);
        if (errors == 0)
            context.out << "sound, " << report.findings.size() << " warnings\n";
    }
    return errors == 0 ? exit_code::Ok : exit_code::Findings;
}

} // namespace

std::span<const cli_command> cellCheckCommands()
{
    static constexpr std::array<cli_command, 1> commands {{
        {"check-cell", "FILE", "what is wrong with a cell's configuration, and what it changes",
         addCellCheckOptions, checkCell, nullptr},
    }};
    return commands;
}

} // namespace plantaingap::operators
