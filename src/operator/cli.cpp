#include "operator/cli.h"

#include "operator/cli_commands.h"
#include "operator/files.h"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>

namespace plantaingap::operators {

namespace {

namespace po = boost::program_options;

constexpr const char *defaultServer = "127.0.0.1:8081";

std::vector<cli_command> allCommands(const cell_check &check)
{
    std::vector<cli_command> all;
    for (const auto commands : {configurationCommands(), cellCommands(), jobCommands()})
        all.insert(all.end(), commands.begin(), commands.end());
    if (check) {
        const auto commands = cellCheckCommands();
        all.insert(all.end(), commands.begin(), commands.end());
    }
    return all;
}

void printExitCodes(std::ostream &out)
{
    out << "\nExit codes: 0 done; 1 findings; 2 wrong command line; 3 another change came first;\n"
           "4 applied but not in force everywhere in time; 5 unknown token or not allowed; 6 no\n"
           "whole answer, so a change may or may not have been made; 7 not found; 8 refused for\n"
           "now or not reached, nothing was changed; 9 the job failed or was cancelled.\n";
}

void printOverview(std::ostream &out, const std::vector<cli_command> &commands)
{
    out << "plantaingap COMMAND [ARGUMENT] [OPTIONS]\n\n";
    std::vector<std::vector<std::string>> rows;
    rows.reserve(commands.size());
    for (const auto &command : commands)
        rows.push_back({std::string(command.name), std::string(command.argument),
                        std::string(command.summary)});
    printColumns(out, {"command", "argument", ""}, rows);
    out << "\nplantaingap COMMAND --help tells the options of each.\n";
    printExitCodes(out);
}

po::options_description commonOptions()
{
    po::options_description options("Options");
    options.add_options()("help", "this text")(
        "output", po::value<std::string>()->default_value("table"), "table or json");
    return options;
}

void addRemoteOptions(po::options_description &options)
{
    options.add_options()("server", po::value<std::string>()->default_value(defaultServer),
                          "an instance's admin_listen, IP number and port")(
        "token-file", po::value<std::string>(), "file that holds the bearer token")(
        "timeout", po::value<std::string>()->default_value("10s"), "for each call")(
        "tls-authorities", po::value<std::string>()->default_value(""),
        "PEM file of authorities; turns TLS on")("tls-certificate",
                                                 po::value<std::string>()->default_value(""),
                                                 "PEM file of the certificate to show")(
        "tls-key", po::value<std::string>()->default_value(""), "PEM file of its key");
}

exit_code tellUsage(std::ostream &err, const std::string &message)
{
    err << message << '\n';
    return exit_code::Usage;
}

result<support::tls_context> makeTls(const po::variables_map &options)
{
    const support::tls_files files {options["tls-certificate"].as<std::string>(),
                                    options["tls-key"].as<std::string>(),
                                    options["tls-authorities"].as<std::string>()};
    if (files.authorities.empty())
        return support::tls_context {};
    return support::makeClientTls(files);
}

exit_code runRemote(const cli_command &command, const cli_context &context)
{
    const auto server = support::parseEndpoint(context.options["server"].as<std::string>());
    if (!server)
        return tellUsage(context.err, "--server must be an IP number, ':' and a port");
    if (!context.options.contains("token-file"))
        return tellUsage(context.err, "--token-file is missing");
    const auto token = readSecret(context.options["token-file"].as<std::string>());
    if (!token)
        return tellUsage(context.err, "--token-file: " + token.error().message());
    const auto tls = makeTls(context.options);
    if (!tls)
        return tellUsage(context.err, "TLS files: " + tls.error().message());
    cli_connection connection(*server, *token, *tls, context.timeout());
    return command.remote(context, connection);
}

// Durations that are given as options, checked before anything is done.
bool durationsAreSound(const po::variables_map &options)
{
    for (const std::string key : {"timeout", "wait"}) {
        if (options.contains(key) && !parseDuration(options[key].as<std::string>()))
            return false;
    }
    return true;
}

bool needsArgument(const cli_command &command, const po::variables_map &options)
{
    return !command.argument.empty() && !options.contains("document-keys");
}

exit_code runParsed(const cli_command &command, const po::variables_map &options, std::ostream &out,
                    std::ostream &err, const cell_check &check)
{
    const auto format = options["output"].as<std::string>();
    if (format != "table" && format != "json")
        return tellUsage(err, "--output must be table or json");
    if (needsArgument(command, options) && !options.contains("argument"))
        return tellUsage(err, std::string(command.argument) + " is missing");
    if (command.argument == "JOB" && !isName(options["argument"].as<std::string>()))
        return tellUsage(err, "JOB must be the name of a job");
    if (!durationsAreSound(options))
        return tellUsage(err, "a duration is a whole number with ms, s, m or h");
    const cli_context context {
        options, format == "json" ? output_format::Json : output_format::Table, out, err, check};
    return command.local ? command.local(context) : runRemote(command, context);
}

exit_code runCommand(const cli_command &command, const std::vector<std::string> &arguments,
                     std::ostream &out, std::ostream &err, const cell_check &check)
{
    auto visible = commonOptions();
    if (command.remote)
        addRemoteOptions(visible);
    command.addOptions(visible);
    po::options_description all;
    all.add(visible);
    all.add_options()("argument", po::value<std::string>());
    po::positional_options_description positional;
    positional.add("argument", command.argument.empty() ? 0 : 1);
    po::variables_map options;
    // Program_options tells faults of the command line by exceptions; they end here.
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(positional).run(),
                  options);
        if (options.contains("help")) {
            out << "plantaingap " << command.name << ' ' << command.argument << "\n"
                << command.summary << "\n\n"
                << visible;
            printExitCodes(out);
            return exit_code::Ok;
        }
        po::notify(options);
    } catch (const po::error &fault) {
        return tellUsage(err, fault.what());
    }
    return runParsed(command, options, out, err, check);
}

} // namespace

std::string cli_context::argument() const
{
    return options["argument"].as<std::string>();
}

std::chrono::milliseconds cli_context::timeout() const
{
    return parseDuration(options["timeout"].as<std::string>())
        .value_or(std::chrono::milliseconds(0));
}

exit_code tellFailure(const cli_context &context, const call_failure &failure)
{
    if (context.format == output_format::Json)
        printJson(context.out, failure.refusal);
    else
        printRefusal(context.err, failure.refusal);
    return failure.code;
}

exit_code runCommandLine(const std::vector<std::string> &arguments, std::ostream &out,
                         std::ostream &err, const cell_check &check)
{
    const auto commands = allCommands(check);
    if (arguments.empty() || arguments.front() == "--help") {
        printOverview(arguments.empty() ? err : out, commands);
        return arguments.empty() ? exit_code::Usage : exit_code::Ok;
    }
    for (const auto &command : commands) {
        if (command.name == arguments.front())
            return runCommand(command, {arguments.begin() + 1, arguments.end()}, out, err, check);
    }
    std::vector<std::string_view> names;
    names.reserve(commands.size());
    for (const auto &command : commands)
        names.push_back(command.name);
    return tellUsage(err, "no command '" + arguments.front() + "'"
                              + nearestNameHint(arguments.front(), names));
}

} // namespace plantaingap::operators
