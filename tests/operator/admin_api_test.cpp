#include "operator/admin_api.h"

#include "operator/api_messages.h"
#include "operator/document_reader.h"
#include "operator/document_writer.h"
#include "operator/memory_administration.h"
#include "temporary_folder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::operators;
namespace http = boost::beast::http;

namespace {

constexpr const char *onCallToken = "on-call-secret-0001";
constexpr const char *deskToken = "desk-secret-00000002";

class api_fixture
{
public:
    api_fixture()
    {
        const auto onCall = folder.write("on-call", std::string(onCallToken) + "\n");
        const auto desk = folder.write("desk", deskToken);
        auto known = authenticator::load({{"on-call", principal_role::Operator, onCall},
                                          {"desk", principal_role::Submitter, desk}});
        REQUIRE(known.has_value());
        api.emplace(behind, std::move(*known));
    }

    support::http_response call(http::verb method, std::string_view target, std::string body,
                                const std::string &token = onCallToken)
    {
        auto request = support::makeRequest(method, target, std::move(body));
        request.set(http::field::authorization, "Bearer " + token);
        boost::asio::io_context context;
        support::http_response answer;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                answer = co_await api->handle(std::move(request));
            },
            boost::asio::detached);
        context.run();
        return answer;
    }

    // Applies the set that one file declares, prepared against a version.
    support::http_response apply(std::uint64_t base, const std::string &text,
                                 const std::string &token = onCallToken)
    {
        const auto set = makeSet(readSet({{"a", text}}).value().declared);
        const auto difference = differenceOf(behind.versions.at(base - 1).set, set);
        return call(http::verb::post, "/v1/configuration/apply",
                    writeText(apply_request {base, difference}, defaults::Omitted), token);
    }

    temporary_folder folder;
    memory_administration behind;
    std::optional<admin_api> api;
};

const std::string deskTeam =
    R"({"teams": [{"name": "t", "quota": {"processors": 8}, "submitters": ["desk"]},
                    {"name": "u", "quota": {"processors": 8}}]})";

std::string jobOf(const std::string &team)
{
    return R"({"name": "j", "kind": "batch", "each": {"processors": 1}, "team": ")" + team + "\"}";
}

} // namespace

TEST_CASE("an accepted set is a new version with its entry in the trail")
{
    api_fixture fixture;
    const auto answer = fixture.apply(1, deskTeam);
    CHECK(answer.result() == http::status::ok);
    CHECK(fixture.behind.versions.back().version == 2);
    REQUIRE(fixture.behind.trail.size() == 1);
    const auto &entry = fixture.behind.trail[0];
    CHECK(entry.who == "on-call");
    CHECK(entry.outcome == audit_outcome::Accepted);
    CHECK(entry.fromVersion == 1);
    CHECK(entry.toVersion == 2);
    CHECK(entry.digest == fixture.behind.versions.back().set.digest);
}

TEST_CASE("the loser of a race is told who won and what changed")
{
    api_fixture fixture;
    REQUIRE(fixture.apply(1, deskTeam).result() == http::status::ok);
    const auto answer = fixture.apply(1, R"({"groups": "data_centre"})");
    CHECK(answer.result() == http::status::conflict);
    const auto refusal = readMessage<refusal_message>(answer.body());
    REQUIRE(refusal.has_value());
    CHECK(refusal->code == "version_conflict");
    REQUIRE(refusal->conflict.has_value());
    CHECK(refusal->conflict->who == "on-call");
    CHECK(refusal->conflict->version == 2);
    REQUIRE(refusal->changes.size() == 2);
    CHECK(refusal->changes[0].path == "/teams/t");
    CHECK(fixture.behind.versions.size() == 2);
    CHECK(fixture.behind.trail.back().outcome == audit_outcome::Refused);
}

TEST_CASE("a refused change changes nothing and is in the trail")
{
    const auto broken = [](const std::string &digest) {
        configuration_difference difference;
        difference.from = makeSet({}).digest;
        difference.to = digest;
        return writeText(apply_request {1, difference}, defaults::Omitted);
    };
    // Sound in form, yet its quota exceeds the cell that it declares.
    configuration tooLarge;
    tooLarge.teams.push_back({"t", {5000, 0, 0}, {}});
    tooLarge.workerClasses.push_back({"w", 1, 1, {1000, 0, 0}});
    const auto contradiction = differenceOf(makeSet({}), makeSet(tooLarge));
    struct row
    {
        std::string name;
        std::string token;
        std::string target;
        std::string body;
        http::status status;
        std::error_code storeError;
    };
    const std::vector<row> rows = {
        {"a submitter applies",
         deskToken,
         "/v1/configuration/apply",
         "{}",
         http::status::forbidden,
         {}},
        {"no JSON", onCallToken, "/v1/configuration/apply", "{", http::status::bad_request, {}},
        {"a difference that does not lead to its digest",
         onCallToken,
         "/v1/configuration/apply",
         broken("f00"),
         http::status::bad_request,
         {}},
        {"a version that never was",
         onCallToken,
         "/v1/configuration/apply",
         R"({"base": 9, "difference": {"from": "a", "to": "b"}})",
         http::status::conflict,
         {}},
        {"a set that contradicts itself",
         onCallToken,
         "/v1/configuration/apply",
         writeText(apply_request {1, contradiction}, defaults::Omitted),
         http::status::unprocessable_entity,
         {}},
        {"a job of an unknown team",
         onCallToken,
         "/v1/jobs",
         jobOf("t"),
         http::status::unprocessable_entity,
         {}},
        {"a submitter submits for a team that does not list it",
         deskToken,
         "/v1/jobs",
         jobOf("t"),
         http::status::forbidden,
         {}},
        {"a job that is not there is cancelled",
         onCallToken,
         "/v1/jobs/j/cancel",
         "",
         http::status::not_found,
         {}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        api_fixture fixture;
        const auto answer = fixture.call(http::verb::post, row.target, row.body, row.token);
        CHECK(answer.result() == row.status);
        CHECK(readMessage<refusal_message>(answer.body()).has_value());
        CHECK(fixture.behind.versions.size() == 1);
        CHECK(fixture.behind.jobs.empty());
        REQUIRE(fixture.behind.trail.size() == 1);
        CHECK(fixture.behind.trail[0].outcome == audit_outcome::Refused);
        CHECK(!fixture.behind.trail[0].reason.empty());
    }
}

TEST_CASE("the store away is told as such")
{
    const std::vector<std::pair<errc, http::status>> rows = {
        {errc::StoreUnavailable, http::status::service_unavailable},
        {errc::OutcomeUnknown, http::status::gateway_timeout},
    };
    for (const auto &[error, status] : rows) {
        api_fixture fixture;
        fixture.behind.storeError = error;
        CHECK(fixture.apply(1, deskTeam).result() == status);
    }
}

TEST_CASE("who may do what")
{
    struct row
    {
        std::string name;
        http::verb method;
        std::string target;
        std::string body;
        std::string token;
        http::status status;
    };
    const std::vector<row> rows = {
        {"an unknown token", http::verb::get, "/v1/status", "", "guess",
         http::status::unauthorized},
        {"an empty token", http::verb::get, "/v1/status", "", "", http::status::unauthorized},
        {"a submitter reads", http::verb::get, "/v1/status", "", deskToken, http::status::ok},
        {"a submitter checks", http::verb::post, "/v1/configuration/check", "{}", deskToken,
         http::status::ok},
        {"a submitter submits for its team", http::verb::post, "/v1/jobs", jobOf("t"), deskToken,
         http::status::ok},
        {"a submitter submits for another", http::verb::post, "/v1/jobs", jobOf("u"), deskToken,
         http::status::forbidden},
        {"a submitter cancels its team's", http::verb::post, "/v1/jobs/mine/cancel", "", deskToken,
         http::status::ok},
        {"a submitter cancels another's", http::verb::post, "/v1/jobs/theirs/cancel", "", deskToken,
         http::status::forbidden},
        {"an operator submits for any team", http::verb::post, "/v1/jobs", jobOf("u"), onCallToken,
         http::status::ok},
        {"a path that is no route", http::verb::get, "/v1/jobs/a/b/why", "", onCallToken,
         http::status::not_found},
        {"a method that is none", http::verb::delete_, "/v1/jobs/mine", "", onCallToken,
         http::status::not_found},
        {"why", http::verb::get, "/v1/jobs/mine/why", "", deskToken, http::status::ok},
        {"the trail", http::verb::get, "/v1/audit?limit=1", "", deskToken, http::status::ok},
        {"an old version", http::verb::get, "/v1/configuration?version=1", "", deskToken,
         http::status::ok},
        {"a difference", http::verb::get, "/v1/configuration/difference?from=1&to=2", "", deskToken,
         http::status::ok},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        api_fixture fixture;
        REQUIRE(fixture.apply(1, deskTeam).result() == http::status::ok);
        fixture.behind.jobs["mine"] = {"mine", "t", job_kind::Batch, "waiting", 1, 0, 0, 0};
        fixture.behind.jobs["theirs"] = {"theirs", "u", job_kind::Batch, "waiting", 1, 0, 0, 0};
        CHECK(fixture.call(row.method, row.target, row.body, row.token).result() == row.status);
    }
}

TEST_CASE("token files that are missing, short or shared are findings")
{
    temporary_folder folder;
    const auto shared = folder.write("a", onCallToken);
    const auto again = folder.write("b", std::string("  ") + onCallToken + "\n");
    const auto shortToken = folder.write("c", "short");
    const auto known =
        authenticator::load({{"a", principal_role::Operator, shared},
                             {"b", principal_role::Operator, again},
                             {"c", principal_role::Operator, shortToken},
                             {"d", principal_role::Operator, folder.path() + "/none"}});
    REQUIRE(known.has_error());
    CHECK(known.error().size() == 3);
}
