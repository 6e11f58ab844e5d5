#ifndef PLANTAINGAP_OPERATOR_CLI_COMMANDS_H
#define PLANTAINGAP_OPERATOR_CLI_COMMANDS_H

#include "operator/cli.h"
#include "operator/cli_connection.h"
#include "operator/cli_output.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <ostream>
#include <span>
#include <string>

namespace plantaingap::operators {

// What every command is given: its options and where it writes.
struct cli_context
{
    const boost::program_options::variables_map &options;
    output_format format = output_format::Table;
    std::ostream &out;
    std::ostream &err;
    const cell_check &check;

    // The positional argument: a folder, a file or a job's name.
    std::string argument() const;
    std::chrono::milliseconds timeout() const;
};

// A command that needs no instance, or one that talks to an instance.
using local_command = exit_code (*)(const cli_context &);
using remote_command = exit_code (*)(const cli_context &, cli_connection &);

struct cli_command
{
    std::string_view name;
    // How the positional argument is called; empty when there is none.
    std::string_view argument;
    std::string_view summary;
    void (*addOptions)(boost::program_options::options_description &);
    local_command local;
    remote_command remote;
};

// Tells a failed call on the error stream.
exit_code tellFailure(const cli_context &context, const call_failure &failure);

std::span<const cli_command> configurationCommands();
std::span<const cli_command> cellCommands();
std::span<const cli_command> jobCommands();
// Needs cli_context::check.
std::span<const cli_command> cellCheckCommands();

} // namespace plantaingap::operators

#endif
