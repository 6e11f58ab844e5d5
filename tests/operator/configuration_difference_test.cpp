#include "operator/configuration_difference.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace plantaingap;
using namespace plantaingap::operators;

namespace {

constexpr int namesPerSection = 6;

// Sets drawn from a small space, so that two of them share, change and miss declarations.
class set_generator
{
public:
    explicit set_generator(std::uint32_t seed)
        : m_random(seed)
    { }

    configuration_set next()
    {
        configuration declared;
        for (int i = 0; i < namesPerSection; ++i) {
            const auto name = "n" + std::to_string(i);
            if (coin())
                declared.services.push_back(service(name));
            if (coin())
                declared.teams.push_back({name, amount(), {"p" + std::to_string(draw(3))}});
            if (coin())
                declared.workerClasses.push_back({name, 1 + draw(2), 1 + draw(2), amount()});
            if (coin())
                declared.jobs.push_back(job(name));
        }
        std::ranges::shuffle(declared.jobs, m_random);
        declared.groups = coin() ? group_rule::Rack : group_rule::DataCentre;
        return makeSet(std::move(declared));
    }

private:
    std::uint32_t draw(std::uint32_t below)
    {
        return static_cast<std::uint32_t>(m_random() % below);
    }
    bool coin() { return draw(2) == 0; }
    resources amount() { return {draw(3) * 500, draw(3) * 1024, draw(2)}; }

    service_declaration service(const std::string &name)
    {
        service_declaration declared;
        declared.name = name;
        declared.queueLimit = 1 + draw(2);
        if (coin())
            declared.kinds.push_back(
                {.name = "k", .idempotent = coin(), .deadline = {}, .expectedDuration = {}});
        return declared;
    }

    job_declaration job(const std::string &name)
    {
        job_declaration declared;
        declared.name = name;
        declared.kind = static_cast<job_kind>(draw(3));
        declared.team = "n0";
        declared.perTask = amount();
        declared.urgent = coin();
        if (coin())
            declared.startBy = wall_time(std::chrono::seconds(draw(2) * 1000));
        return declared;
    }

    std::mt19937 m_random;
};

} // namespace

TEST_CASE("a difference leads from one set to the other, over the wire and back")
{
    for (std::uint32_t seed = 0; seed < 300; ++seed) {
        CAPTURE(seed);
        set_generator generator(seed);
        const auto before = generator.next();
        const auto after = generator.next();
        const auto difference = differenceOf(before, after);
        const auto sent = parseDifference(differenceText(difference));
        REQUIRE(sent.has_value());
        CHECK(*sent == difference);
        const auto applied = applyDifference(before, *sent);
        REQUIRE(applied.has_value());
        CHECK(applied->declared == after.declared);
        CHECK(applied->digest == after.digest);
        const auto returned = applyDifference(after, differenceOf(after, before));
        REQUIRE(returned.has_value());
        CHECK(returned->declared == before.declared);
        CHECK(changesBetween(before.declared, after.declared).empty()
              == (before.declared == after.declared));
    }
}

TEST_CASE("a difference is refused by a set that it was not made from")
{
    set_generator generator(7);
    const auto before = generator.next();
    const auto after = generator.next();
    const auto other = generator.next();
    auto difference = differenceOf(before, after);
    CHECK(applyDifference(other, difference).error() == errc::VersionConflict);
    difference.to = other.digest;
    CHECK(applyDifference(before, difference).error() == errc::Malformed);
}

TEST_CASE("changes are told by path with what stood there before and after")
{
    configuration before;
    before.services.emplace_back().name = "s";
    before.teams.push_back({"t", {1000, 0, 0}, {}});
    configuration after = before;
    after.services[0].queueLimit = 7;
    after.services[0].idempotent = true;
    after.teams.clear();
    after.groups = group_rule::DataCentre;
    const std::vector<declaration_change> expected = {
        {change_kind::Changed, "/services/s/queue_limit", "1024", "7"},
        {change_kind::Changed, "/services/s/idempotent", "false", "true"},
        {change_kind::Removed, "/teams/t", R"({"name":"t","quota":{"processors":1}})", ""},
        {change_kind::Changed, "/groups", "rack", "data_centre"},
    };
    CHECK((changesBetween(before, after) == expected));
}
