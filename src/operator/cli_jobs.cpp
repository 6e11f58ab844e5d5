#include "operator/cli_commands.h"
#include "operator/configuration_tables.h"
#include "operator/files.h"

#include <algorithm>
#include <array>

// The commands over one job: submit, cancel, follow and why.
namespace plantaingap::operators {

namespace {

namespace po = boost::program_options;

constexpr std::chrono::milliseconds followPause {500};

void addNothing(po::options_description &) { }

exit_code tellJob(const cli_context &context, const job_status &job)
{
    if (context.format == output_format::Json)
        printJson(context.out, job);
    else
        printTable(context.out, std::vector<job_status> {job});
    return exit_code::Ok;
}

std::string jobTarget(const cli_context &context, std::string_view below)
{
    return "/v1/jobs/" + context.argument() + std::string(below);
}

// The file holds one job; whether its team and its size are sound is judged by the instance.
boost::system::result<job_declaration, findings> loadJob(const std::string &file)
{
    const auto text = readFile(file);
    if (!text)
        return findings {{file, 0, "", "cannot be read: " + text.error().message()}};
    const auto document = support::parseJsonDocument(file, *text);
    if (!document)
        return findings {document.error()};
    findings found;
    job_declaration job;
    document_reader(file, unknown_keys::Refuse, found).read(document->root, job);
    if (!found.empty())
        return found;
    return job;
}

exit_code submit(const cli_context &context, cli_connection &connection)
{
    const auto job = loadJob(context.argument());
    if (!job) {
        printFindings(context.err, job.error());
        return exit_code::Findings;
    }
    const auto status = connection.post<job_status>("/v1/jobs", writeText(*job, defaults::Omitted));
    return status ? tellJob(context, *status) : tellFailure(context, status.error());
}

exit_code cancel(const cli_context &context, cli_connection &connection)
{
    const auto status = connection.post<job_status>(jobTarget(context, "/cancel"), "");
    return status ? tellJob(context, *status) : tellFailure(context, status.error());
}

exit_code why(const cli_context &context, cli_connection &connection)
{
    const auto explanation = connection.get<job_explanation>(jobTarget(context, "/why"));
    if (!explanation)
        return tellFailure(context, explanation.error());
    if (context.format == output_format::Json) {
        printJson(context.out, *explanation);
        return exit_code::Ok;
    }
    context.out << explanation->job << ": " << explanation->state << '\n';
    for (const auto &reason : explanation->reasons)
        context.out << "  " << reason << '\n';
    return exit_code::Ok;
}

bool hasEnded(const job_status &job)
{
    static constexpr std::array<std::string_view, 4> ends {"finished", "failed", "cancelled",
                                                           "refused"};
    return std::ranges::count(ends, std::string_view(job.state)) > 0;
}

// Tells each change of the job until it has ended.
exit_code follow(const cli_context &context, cli_connection &connection)
{
    std::optional<job_status> last;
    while (true) {
        const auto job = connection.get<job_status>(jobTarget(context, ""));
        if (!job)
            return tellFailure(context, job.error());
        if (last != *job)
            tellJob(context, *job);
        if (hasEnded(*job))
            return job->state == "finished" ? exit_code::Ok : exit_code::JobFailed;
        last = *job;
        connection.pause(followPause);
    }
}

} // namespace

std::span<const cli_command> jobCommands()
{
    static constexpr std::array<cli_command, 4> commands {{
        {"submit", "FILE", "submit the job that a file declares", addNothing, nullptr, submit},
        {"cancel", "JOB", "cancel a job", addNothing, nullptr, cancel},
        {"follow", "JOB", "tell each change of a job until it has ended", addNothing, nullptr,
         follow},
        {"why", "JOB", "why a job waits", addNothing, nullptr, why},
    }};
    return commands;
}

} // namespace plantaingap::operators
