#include "operator/cli_commands.h"
#include "operator/document_keys.h"
#include "operator/settings.h"

#include <array>

// The commands over the declared configuration: check, apply, show and diff.
namespace plantaingap::operators {

namespace {

namespace po = boost::program_options;

constexpr std::chrono::milliseconds pollPause {200};

void addCheckOptions(po::options_description &options)
{
    options.add_options()("settings", "the argument is an instance's settings file")(
        "document-keys", "print the page of all keys, docs/CONFIGURATION.md");
}

void addApplyOptions(po::options_description &options)
{
    options.add_options()("base", po::value<std::uint64_t>(),
                          "the version the files were prepared against; by default the one in "
                          "force now")("wait", po::value<std::string>()->default_value("13s"),
                                       "how long to wait until it is in force everywhere");
}

void addShowOptions(po::options_description &options)
{
    options.add_options()("version", po::value<std::uint64_t>(), "by default the one in force");
}

void addDiffOptions(po::options_description &options)
{
    options.add_options()("from", po::value<std::uint64_t>()->required(), "the older version")(
        "to", po::value<std::uint64_t>(), "the newer one; by default the one in force");
}

exit_code tellFindings(const cli_context &context, const findings &found)
{
    if (context.format == output_format::Json)
        printJson(context.out, refusal_message {"invalid_configuration", "", found, {}, {}});
    else
        printFindings(context.err, found);
    return exit_code::Findings;
}

exit_code check(const cli_context &context)
{
    if (context.options.contains("document-keys")) {
        context.out << documentKeys();
        return exit_code::Ok;
    }
    if (context.options.contains("settings")) {
        const auto settings = loadSettings(context.argument());
        return settings ? exit_code::Ok : tellFindings(context, settings.error());
    }
    const auto set = loadSet(context.argument());
    if (!set)
        return tellFindings(context, set.error());
    if (context.format == output_format::Json)
        printJson(context.out, apply_answer {0, set->digest});
    else
        context.out << "sound: " << set->files.size() << " files, digest " << set->digest << '\n';
    return exit_code::Ok;
}

std::string versionTarget(const po::variables_map &options, const std::string &key)
{
    std::string target = "/v1/configuration";
    if (!options.contains(key))
        return target;
    return target + "?version=" + std::to_string(options[key].as<std::uint64_t>());
}

// The instances that have not yet the version, by name.
std::vector<std::string> laggingInstances(const cell_status &status, std::uint64_t version)
{
    std::vector<std::string> names;
    for (const auto &instance : status.instances) {
        if (instance.version < version)
            names.push_back(instance.instance);
    }
    return names;
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string all;
    for (const auto &name : names)
        all += (all.empty() ? "" : ", ") + name;
    return all;
}

// Polls until every instance reports the version. An instance that cannot be asked for a moment is
// no reason to give up: the version is applied whatever this program sees of it.
exit_code waitInForce(const cli_context &context, cli_connection &connection, std::uint64_t version)
{
    const auto wait = parseDuration(context.options["wait"].as<std::string>());
    const auto deadline = clock::now() + wait.value_or(std::chrono::milliseconds(0));
    std::string lagging;
    while (true) {
        const auto status = connection.get<cell_status>("/v1/status");
        lagging = status ? joinNames(laggingInstances(*status, version))
                         : "not known: " + status.error().refusal.message;
        if (lagging.empty())
            return exit_code::Ok;
        if (clock::now() + pollPause >= deadline)
            break;
        connection.pause(pollPause);
    }
    context.err << "version " << version << " is applied, but not in force everywhere: " << lagging
                << '\n';
    return exit_code::Lagging;
}

exit_code apply(const cli_context &context, cli_connection &connection)
{
    const auto wanted = loadSet(context.argument());
    if (!wanted)
        return tellFindings(context, wanted.error());
    const auto base = connection.get<version_message>(versionTarget(context.options, "base"));
    if (!base)
        return tellFailure(context, base.error());
    const auto before = makeSet(base->declared);
    if (before.digest != base->digest) {
        context.err << "the set in force has keys that this program does not know\n";
        return exit_code::Refused;
    }
    const auto difference = differenceOf(before, *wanted);
    const apply_request request {base->version, difference};
    const auto applied = connection.post<apply_answer>("/v1/configuration/apply",
                                                       writeText(request, defaults::Omitted));
    if (!applied)
        return tellFailure(context, applied.error());
    if (context.format == output_format::Json) {
        printJson(context.out, *applied);
    } else {
        printChanges(context.out, changesBetween(before.declared, wanted->declared));
        context.out << "version " << applied->version << ", digest " << applied->digest << '\n';
    }
    return waitInForce(context, connection, applied->version);
}

exit_code show(const cli_context &context, cli_connection &connection)
{
    const auto version = connection.get<version_message>(versionTarget(context.options, "version"));
    if (!version)
        return tellFailure(context, version.error());
    if (context.format == output_format::Json) {
        printJson(context.out, *version);
        return exit_code::Ok;
    }
    context.out << "version " << version->version << ", digest " << version->digest << '\n';
    printChanges(context.out, changesBetween({}, version->declared));
    return exit_code::Ok;
}

exit_code diff(const cli_context &context, cli_connection &connection)
{
    std::string target = "/v1/configuration/difference?from="
                         + std::to_string(context.options["from"].as<std::uint64_t>());
    if (context.options.contains("to"))
        target += "&to=" + std::to_string(context.options["to"].as<std::uint64_t>());
    const auto changes = connection.get<changes_message>(target);
    if (!changes)
        return tellFailure(context, changes.error());
    if (context.format == output_format::Json)
        printJson(context.out, *changes);
    else
        printChanges(context.out, changes->changes);
    return exit_code::Ok;
}

} // namespace

std::span<const cli_command> configurationCommands()
{
    static constexpr std::array<cli_command, 4> commands {{
        {"check", "FOLDER", "what is wrong with a folder of files, without applying it",
         addCheckOptions, check, nullptr},
        {"apply", "FOLDER", "put a folder of files in force as one version, and wait for it",
         addApplyOptions, nullptr, apply},
        {"show", "", "a version of the configuration", addShowOptions, nullptr, show},
        {"diff", "", "what changed between two versions", addDiffOptions, nullptr, diff},
    }};
    return commands;
}

} // namespace plantaingap::operators
