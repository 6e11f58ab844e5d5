#include "jobs/workspaces/limit_shares.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::jobs;

namespace {

const std::string name = "a";
constexpr std::int64_t limit = 100;

workspace_limits limitsOf(std::int64_t cores)
{
    return {{name, {cores, 0, 0}}};
}

limit_request requestOf(std::uint32_t partition, std::uint64_t number, std::int64_t used,
                        std::int64_t wanted, std::int64_t ceiling, std::uint64_t term = 1)
{
    return {partition,
            term,
            number,
            1,
            {{name, {used, 0, 0}, {wanted, 0, 0}, {std::max(used, ceiling), 0, 0}}}};
}

struct partition_wish
{
    std::int64_t used = 0;
    std::int64_t wanted = 0;
};

// Partitions that report at each step, with everything stored at once.
struct division
{
    explicit division(std::vector<partition_wish> initial)
        : wishes(std::move(initial))
        , ceilings(wishes.size())
        , grantor(static_cast<std::uint32_t>(wishes.size()))
    {
        REQUIRE(grantor.load(std::nullopt));
        grantor.configure(1, limitsOf(limit));
    }

    void step()
    {
        ++number;
        for (std::uint32_t index = 0; index < wishes.size(); ++index) {
            const auto &wish = wishes[index];
            const auto answer =
                grantor.handle(requestOf(index, number, wish.used, wish.wanted, ceilings[index]));
            REQUIRE(answer);
            ceilings[index] = answer->reply.ceilings.at(name).milliCores;
            // Until every partition has reported, what it uses counts as the whole limit.
            if (number > 1)
                CHECK(grantor.granted(name).milliCores <= limit);
        }
    }

    std::vector<partition_wish> wishes;
    std::vector<std::int64_t> ceilings;
    limit_grantor grantor;
    std::uint64_t number = 0;
};

struct division_row
{
    const char *name;
    std::vector<partition_wish> wishes;
    std::vector<std::int64_t> ceilings;
};

} // namespace

TEST_CASE("The limit is divided by what the partitions want")
{
    const division_row rows[] = {
        {"nobody wants any: equal parts ahead of demand", {{0, 0}, {0, 0}}, {50, 50}},
        {"one wants all", {{0, 500}, {0, 0}}, {100, 0}},
        {"one wants more than its part", {{0, 80}, {0, 10}}, {85, 15}},
        {"all want more", {{50, 500}, {50, 500}}, {50, 50}},
        {"a small wish is met in full", {{45, 500}, {10, 10}, {45, 500}}, {45, 10, 45}},
        {"one uses more than its part", {{80, 500}, {20, 500}}, {50, 20}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        division all(row.wishes);
        for (int i = 0; i < 5; ++i)
            all.step();
        CHECK(all.ceilings == row.ceilings);
    }
}

// Guards against a gang that waits for ever because its partition only ever gets an equal part.
TEST_CASE("A partition whose part is too small for what waits gets a turn with all it wants")
{
    division all({{50, 500}, {0, 95}});
    int steps = 0;
    while (all.ceilings[1] < 95) {
        REQUIRE(++steps < 1000);
        all.step();
        // The other starts small tasks up to its ceiling, and one of its runs ends now and then.
        auto &other = all.wishes[0];
        if (steps % 2 == 0 && other.used > 0)
            --other.used;
        other.used = std::max(other.used, all.ceilings[0]);
    }
    all.wishes[1].used = 95;
    for (int i = 0; i < 5; ++i)
        all.step();
    all.wishes[1] = {0, 0};
    for (int i = 0; i < 5; ++i)
        all.step();
    CHECK(all.ceilings[0] == 100);
}

// Guards against turns that end with a lost leader never.
TEST_CASE("The turn of a partition without a leader passes")
{
    division all({{0, 95}, {0, 95}});
    for (int i = 0; i < 30; ++i)
        all.step();
    const auto holder = all.ceilings[0] > all.ceilings[1] ? 0U : 1U;
    CHECK(all.ceilings[holder] == 95);
    const auto other = 1 - holder;
    // The holder's successor uses nothing, reports once and is lost.
    auto answer = all.grantor.handle(requestOf(holder, 1, 0, 0, 0, 2));
    REQUIRE(answer);
    std::int64_t ceiling = all.ceilings[other];
    for (int i = 0; i < 500 && ceiling < 95; ++i) {
        answer = all.grantor.handle(requestOf(other, ++all.number, 0, 95, ceiling));
        REQUIRE(answer);
        ceiling = answer->reply.ceilings.at(name).milliCores;
    }
    CHECK(ceiling >= 95);
}

struct request_row
{
    const char *name;
    limit_request request;
    bool answered;
    // Of partition 1 and 0 together afterwards.
    std::int64_t granted;
};

// Guards against a ceiling that is lowered by a message that is no longer true.
TEST_CASE("Only the newest request of the highest term lowers a ceiling")
{
    const auto outdated = [] {
        auto request = requestOf(1, 9, 0, 0, 0, 5);
        request.configuration = 2;
        return request;
    };
    const request_row rows[] = {
        {"the next request", requestOf(1, 8, 0, 0, 0, 5), true, 100},
        {"the same again", requestOf(1, 7, 0, 0, 0, 5), false, 100},
        {"an earlier one", requestOf(1, 6, 0, 0, 0, 5), false, 100},
        {"one of a former leader", requestOf(1, 99, 0, 0, 0, 4), false, 100},
        {"the first of the next leader", requestOf(1, 1, 0, 0, 0, 6), true, 100},
        {"one of another configuration", outdated(), false, 100},
        {"one of no partition", requestOf(2, 1, 0, 0, 0, 6), false, 100},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        limit_grantor grantor(2);
        REQUIRE(grantor.load(std::nullopt));
        grantor.configure(1, limitsOf(limit));
        REQUIRE(grantor.handle(requestOf(0, 1, 0, 0, 0)));
        const auto grant = grantor.handle(requestOf(1, 7, 0, 100, 0, 5));
        REQUIRE(grant);
        CHECK(grant->storedRevision == grantor.revision());
        CHECK(grant->reply.ceilings.at(name).milliCores == 100);
        const auto answer = grantor.handle(row.request);
        CHECK(answer.has_value() == row.answered);
        // What partition 1 no longer holds may be granted to partition 0.
        const auto other = grantor.handle(requestOf(0, 2, 0, 100, 0));
        REQUIRE(other);
        CHECK((other->reply.ceilings.at(name).milliCores > 0) == row.answered);
        CHECK(grantor.granted(name).milliCores == row.granted);
    }
}

// Guards against a successor at partition 0 that grants what others may use already.
TEST_CASE("A successor knows from the row what may be in use, and refuses requests from before")
{
    limit_grantor former(2);
    REQUIRE(former.load(std::nullopt));
    former.configure(1, limitsOf(limit));
    REQUIRE(former.handle(requestOf(1, 1, 0, 0, 0)));
    const auto lowering = requestOf(0, 1, 0, 0, 0);
    REQUIRE(former.handle(lowering));
    REQUIRE(former.handle(requestOf(0, 2, 0, 80, 0)));
    const auto row = former.encode();

    limit_grantor next(2);
    REQUIRE(next.load(row));
    CHECK(next.encode() == row);
    next.configure(1, limitsOf(limit));
    CHECK_FALSE(next.handle(lowering));
    const auto answer = next.handle(requestOf(1, 2, 0, 100, 0));
    REQUIRE(answer);
    CHECK(answer->reply.ceilings.at(name).milliCores == 100 - 90);
}

// Guards against a ceiling that a late request of the former leader lowers at a later leader of
// partition 0, while the new leader works by more.
TEST_CASE("The term of a new leader is stored before its first reply")
{
    limit_grantor grantor(2);
    REQUIRE(grantor.load(std::nullopt));
    grantor.configure(1, limitsOf(limit));
    REQUIRE(grantor.handle(requestOf(0, 1, 0, 0, 0)));
    const auto raised = grantor.handle(requestOf(1, 1, 0, 50, 0, 5));
    REQUIRE(raised);
    const auto stored = raised->storedRevision;
    // Partition 0 has the rest, so it is told no more than it reports.
    REQUIRE(grantor.handle(requestOf(0, 2, 60, 60, 60)));
    for (std::uint64_t number = 1; number <= 2; ++number) {
        const auto answer = grantor.handle(requestOf(1, number, 50, 50, 0, 6));
        REQUIRE(answer);
        CHECK(answer->reply.ceilings.at(name).milliCores <= 50);
        CHECK(answer->storedRevision > stored);
    }
    limit_grantor next(2);
    REQUIRE(next.load(grantor.encode()));
    next.configure(1, limitsOf(limit));
    CHECK_FALSE(next.handle(requestOf(1, 2, 10, 10, 10, 5)));
}

struct row_row
{
    const char *name;
    const char *row;
};

TEST_CASE("Nothing is granted by a row that cannot be read")
{
    const row_row rows[] = {
        {"no JSON", "{"},
        {"no partitions", "{}"},
        {"another number of partitions", R"({"partitions":[]})"},
        {"a ceiling of another type",
         R"({"partitions":[{"term":1,"number":1,"ceilings":{"a":1}},{"term":1,"number":1,"ceilings":{}}]})"},
        {"a ceiling with too few amounts",
         R"({"partitions":[{"term":1,"number":1,"ceilings":{"a":[1]}},{"term":1,"number":1,"ceilings":{}}]})"},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        limit_grantor grantor(2);
        CHECK_FALSE(grantor.load(row.row));
        grantor.configure(1, limitsOf(limit));
        CHECK_FALSE(grantor.handle(requestOf(0, 1, 0, 100, 0)));
    }
}

// Guards against grants beside runs that were started while there was no limit.
TEST_CASE("Nothing is granted until every partition has told what it uses")
{
    limit_grantor grantor(2);
    REQUIRE(grantor.load(std::nullopt));
    grantor.configure(1, limitsOf(limit));
    auto first = grantor.handle(requestOf(0, 1, 0, 100, 0));
    REQUIRE(first);
    CHECK(first->reply.ceilings.at(name) == resources {});
    REQUIRE(grantor.handle(requestOf(1, 1, 70, 70, 0)));
    first = grantor.handle(requestOf(0, 2, 0, 100, 0));
    REQUIRE(first);
    CHECK(first->storedRevision > 0);
    CHECK(first->reply.ceilings.at(name).milliCores == 30);
}

TEST_CASE("A lowered limit is granted anew once the partitions use less")
{
    limit_grantor grantor(2);
    REQUIRE(grantor.load(std::nullopt));
    grantor.configure(1, limitsOf(limit));
    REQUIRE(grantor.handle(requestOf(0, 1, 0, 0, 0)));
    REQUIRE(grantor.handle(requestOf(1, 1, 50, 50, 0)));
    REQUIRE(grantor.handle(requestOf(0, 2, 50, 50, 50)));
    const auto ask = [&grantor](std::uint32_t partition, std::uint64_t number, std::int64_t used) {
        auto request = requestOf(partition, number, used, 100, 0);
        request.configuration = 2;
        const auto answer = grantor.handle(request);
        REQUIRE(answer);
        return answer->reply.ceilings.at(name).milliCores;
    };
    grantor.configure(2, limitsOf(40));
    CHECK(ask(0, 3, 50) == 0);
    CHECK(ask(1, 3, 30) == 0);
    CHECK(ask(0, 4, 5) == 10);
    CHECK(ask(1, 4, 10) == 20);
    CHECK(ask(0, 5, 10) == 20);
    CHECK(grantor.granted(name).milliCores == 40);
}

struct holder_row
{
    const char *name;
    void (*change)(limit_holder &);
    std::int64_t ceiling;
};

// Guards against a holder that starts tasks by a reply or a limit that no longer holds.
TEST_CASE("A ceiling is taken only from the reply to the newest request")
{
    const holder_row rows[] = {
        {"the reply",
         [](limit_holder &holder) {
             CHECK(holder.accept({true, 2, {{name, {60, 0, 0}}}}));
         },
         60},
        {"one without a grant",
         [](limit_holder &holder) {
             CHECK_FALSE(holder.accept({false, 2, {{name, {60, 0, 0}}}}));
         },
         40},
        {"the reply to an earlier request",
         [](limit_holder &holder) {
             CHECK_FALSE(holder.accept({true, 1, {{name, {60, 0, 0}}}}));
         },
         40},
        {"the reply, and another one",
         [](limit_holder &holder) {
             CHECK(holder.accept({true, 2, {{name, {50, 0, 0}}}}));
             CHECK_FALSE(holder.accept({true, 2, {{name, {60, 0, 0}}}}));
         },
         50},
        {"a higher limit", [](limit_holder &holder) { holder.configure(2, limitsOf(200)); }, 40},
        {"a lower limit", [](limit_holder &holder) { holder.configure(2, limitsOf(90)); }, 0},
        {"a limit of a version that does not follow",
         [](limit_holder &holder) { holder.configure(3, limitsOf(100)); }, 0},
        {"a limit of a further resource",
         [](limit_holder &holder) {
             holder.configure(2, {{name, {limit, 10, 0}}});
         },
         0},
        {"a reply after another configuration",
         [](limit_holder &holder) {
             holder.configure(2, limitsOf(90));
             CHECK_FALSE(holder.accept({true, 2, {{name, {60, 0, 0}}}}));
         },
         0},
        {"the workspace has no limit for a time",
         [](limit_holder &holder) {
             holder.configure(2, {});
             holder.configure(3, limitsOf(100));
         },
         0},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        limit_holder holder(1, 3);
        holder.configure(1, limitsOf(limit));
        CHECK(holder.ceiling(name) == resources {});
        auto request = holder.nextRequest({{name, {30, 0, 0}, {90, 0, 0}, {}}});
        CHECK(request.number == 1);
        CHECK(request.uses.at(0).ceiling.milliCores == 30);
        CHECK(holder.accept({true, 1, {{name, {40, 0, 0}}}}));
        request = holder.nextRequest({{name, {30, 0, 0}, {90, 0, 0}, {}}});
        CHECK(request.number == 2);
        CHECK(request.uses.at(0).ceiling.milliCores == 40);
        row.change(holder);
        CHECK(holder.ceiling(name).milliCores == row.ceiling);
    }
}
