#include "operator/cli.h"

#include "operator/admin_api.h"
#include "operator/files.h"
#include "operator/memory_administration.h"
#include "support/duty.h"
#include "support/http_client.h"
#include "support/http_server.h"
#include "temporary_folder.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace plantaingap;
using namespace plantaingap::operators;
namespace asio = boost::asio;

namespace {

const std::string examples = std::string(PLANTAINGAP_SOURCE) + "/examples";

// The operators' program against an administration API that listens on loopback.
class cli_fixture
{
public:
    cli_fixture()
        : onCall(folder.write("on-call", "on-call-secret-0001"))
        , stranger(folder.write("stranger", "stranger-secret-01"))
        , api(behind, authenticator::load({{"on-call", principal_role::Operator, onCall}}).value())
        , server(duty.context(), {}, [this](support::http_request request, support::http_peer) {
            return api.handle(std::move(request));
        })
    {
        REQUIRE(!server.listen({asio::ip::address_v4::loopback(), 0}));
        address = support::formatEndpoint({asio::ip::address_v4::loopback(), server.port()});
        duty.start();
    }
    ~cli_fixture() { duty.stop(); }

    exit_code run(std::vector<std::string> arguments)
    {
        if (arguments.size() < 2 || arguments.back() != "--local")
            arguments.insert(arguments.end(), {"--server", address, "--token-file", onCall});
        else
            arguments.pop_back();
        out.str("");
        err.str("");
        return runCommandLine(arguments, out, err);
    }

    temporary_folder folder;
    std::string onCall;
    std::string stranger;
    std::string address;
    memory_administration behind;
    admin_api api;
    support::duty duty {"admin"};
    support::http_server server;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

TEST_CASE("a folder is applied, shown, compared and found in the trail")
{
    cli_fixture fixture;
    CHECK(fixture.run({"apply", examples + "/registry"}) == exit_code::Ok);
    CHECK(fixture.out.str().find("+ /services/search") != std::string::npos);
    CHECK(fixture.out.str().find("version 2") != std::string::npos);
    CHECK(fixture.run({"apply", examples + "/workshop"}) == exit_code::Ok);
    CHECK(fixture.out.str().find("- /services/search") != std::string::npos);
    struct row
    {
        std::vector<std::string> arguments;
        std::string told;
    };
    const std::vector<row> rows = {
        {{"show"}, "+ /jobs/price-tables"},
        {{"show", "--version", "2"}, "+ /jobs/reindex"},
        {{"show", "--output", "json"}, R"("version":3)"},
        {{"diff", "--from", "2"}, "- /teams/records"},
        {{"diff", "--from", "2", "--to", "3", "--output", "json"}, R"("path":"/teams/records")"},
        {{"audit"}, "on-call"},
        {{"audit", "--output", "json"}, R"("outcome":"accepted")"},
        {{"status"}, "entry-1"},
        {{"status", "--output", "json"}, R"("instance":"entry-1")"},
        {{"submit", fixture.folder.write("job.json", R"({"name": "nightly", "kind": "batch",
           "team": "planning", "each": {"processors": 1}})")},
         "nightly"},
        {{"why", "nightly"}, "no room yet"},
        {{"cancel", "nightly"}, "cancelled"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.arguments.front());
        CHECK(fixture.run(row.arguments) == exit_code::Ok);
        CAPTURE(fixture.out.str());
        CHECK(fixture.out.str().find(row.told) != std::string::npos);
    }
    CHECK(fixture.run({"follow", "nightly"}) == exit_code::JobFailed);
}

TEST_CASE("who lags is named, and a set that lost its race names the winner")
{
    cli_fixture fixture;
    fixture.behind.cell.instances.push_back({"entry-2", "south", "south-a", 1, "ready", 0, 0});
    fixture.behind.lagging = "entry-2";
    CHECK(fixture.run({"apply", examples + "/registry", "--wait", "0ms"}) == exit_code::Lagging);
    CHECK(fixture.err.str().find("entry-2") != std::string::npos);
    CHECK(fixture.err.str().find("entry-1") == std::string::npos);
    CHECK(fixture.run({"apply", examples + "/workshop", "--base", "1"}) == exit_code::Conflict);
    CHECK(fixture.err.str().find("version 2 by on-call") != std::string::npos);
    CHECK(fixture.err.str().find("+ /services/search") != std::string::npos);
}

TEST_CASE("every way to end has its code")
{
    cli_fixture fixture;
    const auto folder = fixture.folder.path();
    std::filesystem::create_directory(folder + "/bad");
    fixture.folder.write("bad/a.json", "{\n\"srvices\": []}");
    struct row
    {
        std::string name;
        std::vector<std::string> arguments;
        exit_code code;
        std::string told;
    };
    const std::vector<row> rows = {
        {"a sound folder", {"check", examples + "/registry", "--local"}, exit_code::Ok, "sound"},
        {"sound settings",
         {"check", "--settings", examples + "/instance.json", "--local"},
         exit_code::Ok,
         ""},
        {"a bad folder",
         {"check", folder + "/bad", "--local"},
         exit_code::Findings,
         "a.json:2: /srvices: unknown key (did you mean 'services'?)"},
        {"a bad folder as JSON",
         {"check", folder + "/bad", "--output", "json", "--local"},
         exit_code::Findings,
         R"("line":2)"},
        {"a bad folder is not applied", {"apply", folder + "/bad"}, exit_code::Findings, "srvices"},
        {"no command", {"--local", "--local"}, exit_code::Usage, "no command"},
        {"a misspelt command", {"aply", folder, "--local"}, exit_code::Usage, "apply"},
        {"no folder", {"check", "--local"}, exit_code::Usage, "FOLDER is missing"},
        {"an unknown option", {"check", folder, "--colour", "--local"}, exit_code::Usage, "colour"},
        {"no token", {"status", "--server", fixture.address, "--local"}, exit_code::Usage, "token"},
        {"a wrong duration", {"status", "--timeout", "3"}, exit_code::Usage, "duration"},
        {"a job that is no name", {"why", "a b"}, exit_code::Usage, "name"},
        {"a job that is not there", {"why", "none"}, exit_code::NotFound, "not_found"},
        {"a version that is not there", {"show", "--version", "9"}, exit_code::NotFound, ""},
        {"an unknown token",
         {"status", "--server", fixture.address, "--token-file", fixture.stranger, "--local"},
         exit_code::Forbidden,
         "unauthenticated"},
        {"help", {"apply", "--help", "--local"}, exit_code::Ok, "Exit codes"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        CHECK(fixture.run(row.arguments) == row.code);
        const auto told = fixture.out.str() + fixture.err.str();
        CAPTURE(told);
        CHECK(told.find(row.told) != std::string::npos);
    }
    CHECK(fixture.behind.versions.size() == 1);
}

TEST_CASE(
    "an instance that is not there certainly changed nothing, one with its store away neither")
{
    cli_fixture fixture;
    asio::io_context context;
    asio::ip::tcp::acceptor closed(context, {asio::ip::address_v4::loopback(), 0});
    const auto address = support::formatEndpoint(closed.local_endpoint());
    closed.close();
    CHECK(fixture.run({"apply", examples + "/registry", "--server", address, "--token-file",
                       fixture.onCall, "--local"})
          == exit_code::Refused);
    fixture.behind.storeError = errc::StoreUnavailable;
    CHECK(fixture.run({"apply", examples + "/registry"}) == exit_code::Refused);
    fixture.behind.storeError = errc::OutcomeUnknown;
    CHECK(fixture.run({"apply", examples + "/registry"}) == exit_code::Unknown);
    CHECK(fixture.behind.versions.size() == 1);
}

// Guards against a check whose exit code or output a script cannot rely on, whatever the check
// finds: a stand-in takes the place of the platform's format.
TEST_CASE("a cell's configuration is checked by the program's own check")
{
    using level = cell_finding_level;
    const cell_finding warning {level::Warning, "f", 3, "queue q", "never matches"};
    const cell_finding error {level::Error, "f", 0, "", "not JSON"};
    const cell_change change {cell_change_kind::Changed, "queue q", "priority", "1", "2"};
    const temporary_folder folder;
    const auto file = folder.write("cell.json", "new");
    const auto inForce = folder.write("in-force.json", "old");
    const auto missing = folder.path() + "/missing";
    struct row
    {
        std::string name;
        std::vector<std::string> arguments;
        cell_check_report report;
        exit_code code;
        std::string out;
        std::string err;
    };
    const std::vector<row> rows = {
        {"sound", {file}, {}, exit_code::Ok, "sound, 0 warnings\n", ""},
        {"warnings only",
         {file},
         {{warning}, {}},
         exit_code::Ok,
         "sound, 1 warnings\n",
         "f:3: warning: queue q: never matches\n"},
        {"an error", {file}, {{error}, {}}, exit_code::Findings, "", "f: error: not JSON\n"},
        {"changes",
         {file, "--in-force", inForce},
         {{}, {change}},
         exit_code::Ok,
         "~ queue q: priority 1 -> 2\nsound, 0 warnings\n",
         ""},
        {"JSON",
         {file, "--output", "json"},
         {{warning, error}, {change}},
         exit_code::Findings,
         R"({"findings":[{"level":"warning","file":"f","line":3,"entry":"queue q",)"
         R"("message":"never matches"},{"level":"error","file":"f","line":0,"entry":"",)"
         R"("message":"not JSON"}],"changes":[{"kind":"changed","entry":"queue q",)"
         R"("field":"priority","before":"1","after":"2"}]})"
         "\n",
         ""},
        {"no such file",
         {missing},
         {},
         exit_code::Findings,
         "",
         missing + ": error: it cannot be read: No such file or directory\n"},
        {"no such version in force",
         {file, "--in-force", missing},
         {},
         exit_code::Findings,
         "",
         missing + ": error: it cannot be read: No such file or directory\n"},
        {"no file", {}, {}, exit_code::Usage, "", "FILE is missing\n"},
        {"another format",
         {file, "--output", "xml"},
         {},
         exit_code::Usage,
         "",
         "--output must be table or json\n"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const bool compared = row.arguments.size() > 1 && row.arguments[1] == "--in-force";
        const cell_check check = [&](const named_text &checked,
                                     const std::optional<named_text> &before) {
            CHECK(checked.name == file);
            CHECK(checked.text == "new");
            CHECK(before.has_value() == (compared && row.arguments[2] == inForce));
            CHECK((!before || before->text == "old"));
            return row.report;
        };
        std::vector<std::string> arguments {"check-cell"};
        arguments.insert(arguments.end(), row.arguments.begin(), row.arguments.end());
        std::ostringstream out;
        std::ostringstream err;
        CHECK(runCommandLine(arguments, out, err, check) == row.code);
        CHECK(out.str() == row.out);
        CHECK(err.str() == row.err);
    }
    std::ostringstream out;
    std::ostringstream err;
    CHECK(runCommandLine({"check-cell", file}, out, err) == exit_code::Usage);
    CHECK(err.str().find("no command 'check-cell'") != std::string::npos);
}
