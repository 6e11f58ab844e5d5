// Operators' changes and faults of the store and of instances, on real processes.

#include "operator/cli.h"
#include "process/test_cluster.h"

#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

using namespace plantaingap;
using namespace plantaingap::test;
using operators::exit_code;

namespace {

constexpr unsigned everyInstance = 3;

// A folder with one configuration file, removed at the end.
struct set_folder
{
    explicit set_folder(const std::string &text)
        : path(std::filesystem::temp_directory_path()
               / ("plantaingap-set-" + std::to_string(clock::now().time_since_epoch().count())))
    {
        std::filesystem::create_directory(path);
        std::ofstream(path / "set.json") << text;
    }

    ~set_folder() { std::filesystem::remove_all(path); }

    set_folder(const set_folder &) = delete;
    set_folder &operator=(const set_folder &) = delete;

    std::filesystem::path path;
};

std::string teamSet(const std::string &name)
{
    return R"({"teams": [{"name": ")" + name
           + R"(", "quota": {"processors": 8, "memory": "8GiB"}, "submitters": []}],
"jobs": [{"name": "sums", "kind": "batch", "team": ")"
           + name + R"(", "command": "run for 10 ms", "tasks": 6,
"each": {"processors": 1, "memory": "1GiB"}}]})";
}

struct command_end
{
    exit_code code = exit_code::Ok;
    std::string out;
    std::string err;
};

command_end operate(test_cluster &cluster, unsigned index, std::vector<std::string> arguments)
{
    arguments.push_back("--server=" + addressOf(cluster.entry(index), "administration"));
    arguments.push_back("--token-file=" + cluster.tokenFile());
    std::ostringstream out;
    std::ostringstream err;
    const auto code = operators::runCommandLine(arguments, out, err);
    return {code, out.str(), err.str()};
}

// Repeats a command until it ends as wanted; the last end if it never does.
command_end operateUntil(test_cluster &cluster, unsigned index,
                         const std::vector<std::string> &arguments, exit_code wanted)
{
    const auto until = clock::now() + patience;
    auto end = operate(cluster, index, arguments);
    while (end.code != wanted && clock::now() < until)
        end = operate(cluster, index, arguments);
    return end;
}

} // namespace

TEST_CASE("a set of files is in force at every instance, and its jobs run to their ends")
{
    test_cluster cluster(4, everyInstance, {});
    const set_folder first(teamSet("first"));
    CHECK(operateUntil(cluster, 0, {"apply", first.path.string()}, exit_code::Ok).code
          == exit_code::Ok);
    for (unsigned index = 0; index < everyInstance; ++index) {
        CAPTURE(index);
        const auto shown = operate(cluster, index, {"show", "--output=json"});
        CHECK(boost::json::parse(shown.out).at("version").to_number<int>() == 1);
    }
    CHECK(operateUntil(cluster, 1, {"follow", "sums"}, exit_code::Ok).code == exit_code::Ok);
    // Six tasks, started once each.
    CHECK(cluster.count("starts") == 6);
    const auto audit = operate(cluster, 2, {"audit", "--output=json"});
    CHECK(boost::json::parse(audit.out).at("entries").as_array().size() == 1);
}

TEST_CASE("of two operators who change the same version one is told who came first")
{
    test_cluster cluster(2, 2, {});
    const set_folder left(teamSet("left"));
    const set_folder right(teamSet("right"));
    // Each tries until it has won or lost; while the table was not asked yet it is refused.
    const auto race = [&](unsigned index, const set_folder &folder) {
        command_end end;
        do
            end = operate(cluster, index, {"apply", folder.path.string(), "--base=0"});
        while (end.code == exit_code::Refused);
        return end;
    };
    auto other = std::async(std::launch::async, [&] { return race(0, left); });
    const auto rightEnd = race(1, right);
    const auto leftEnd = other.get();
    const auto &winner = leftEnd.code == exit_code::Ok ? leftEnd : rightEnd;
    const auto &loser = leftEnd.code == exit_code::Ok ? rightEnd : leftEnd;
    CHECK(winner.code == exit_code::Ok);
    CHECK(loser.code == exit_code::Conflict);
    CHECK(loser.err.find("on-call") != std::string::npos);
    const auto shown = operate(cluster, 0, {"show", "--output=json"});
    CHECK(boost::json::parse(shown.out).at("version").to_number<int>() == 1);
}

TEST_CASE("with the store away services go on and changes are refused as not made")
{
    test_cluster cluster(4, 2, {});
    cluster.awaitService(0);
    cluster.awaitService(1);
    const set_folder first(teamSet("first"));
    REQUIRE(operateUntil(cluster, 0, {"apply", first.path.string()}, exit_code::Ok).code
            == exit_code::Ok);
    cluster.controlPlatform(R"({"away": true})");
    const set_folder second(teamSet("second"));
    CHECK(operate(cluster, 0, {"apply", second.path.string(), "--base=1"}).code
          == exit_code::Refused);
    cluster.awaitService(0);
    cluster.awaitService(1);
    const auto shown = operate(cluster, 0, {"show", "--output=json"});
    CHECK(boost::json::parse(shown.out).at("version").to_number<int>() == 1);
    cluster.controlPlatform(R"({"away": false})");
    CHECK(operateUntil(cluster, 0, {"apply", second.path.string(), "--base=1"}, exit_code::Ok).code
          == exit_code::Ok);
}

TEST_CASE("a change whose reply the store loses is made once")
{
    test_cluster cluster(2, 2, {});
    const set_folder first(teamSet("first"));
    REQUIRE(operateUntil(cluster, 0, {"apply", first.path.string()}, exit_code::Ok).code
            == exit_code::Ok);
    cluster.controlPlatform(R"({"lose_replies": 3})");
    const set_folder second(teamSet("second"));
    CHECK(operate(cluster, 0, {"apply", second.path.string(), "--base=1"}).code == exit_code::Ok);
    const auto shown = operate(cluster, 1, {"show", "--output=json"});
    CHECK(boost::json::parse(shown.out).at("version").to_number<int>() == 2);
}

TEST_CASE("an owner that is paused past its time does not disturb its successor")
{
    test_cluster cluster(4, 2, {"--work-us=2000"});
    cluster.awaitService(0);
    cluster.awaitService(1);
    cluster.entry(0).signal(SIGSTOP);
    // The other instance owns all workers once it answers for each of them.
    cluster.awaitService(1);
    cluster.entry(0).signal(SIGCONT);
    auto load = cluster.load(8, 4000, {"--follow"});
    const auto report = boost::json::parse(load.rest());
    load.wait();
    CHECK(report.at("answered").to_number<int>() == 4000);
    CHECK(report.at("crossed").to_number<int>() == 0);
    CHECK(cluster.count("over_slots") == 0);
}
