#include "cell/memory_ports.h"
#include "support/boot_time.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <set>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const row_key leaderKey {"cell", "leader", {}};

// Keeps all lines that are logged.
class capturing_appender final : public log4cplus::Appender
{
public:
    ~capturing_appender() override { destructorImpl(); }
    void close() override { }

    std::vector<std::string> lines;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        lines.push_back(event.getMessage());
    }
};

class log_capture
{
public:
    log_capture()
        : m_appender(m_shared)
    {
        log4cplus::Logger::getRoot().addAppender(m_appender);
    }
    ~log_capture() { log4cplus::Logger::getRoot().removeAppender(m_appender); }

    log_capture(const log_capture &) = delete;
    log_capture &operator=(const log_capture &) = delete;

    std::vector<std::string> linesOf(const std::string &event) const
    {
        std::vector<std::string> found;
        std::ranges::copy_if(
            m_shared->lines, std::back_inserter(found),
            [&](const std::string &line) { return line.starts_with("event=" + event + " "); });
        return found;
    }

private:
    // Owned by the pointer of the library.
    capturing_appender *m_shared = new capturing_appender;
    log4cplus::SharedAppenderPtr m_appender;
};

std::string idOf(int number)
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

// A leader without workers that has accepted jobs of one task, whose objective is over at once.
struct leader_fixture
{
    explicit leader_fixture(int jobs, const jobs::scheduler_options &scheduler = {})
    {
        leader_row row {"one", "10.0.0.1:7000", 1, 0, false};
        transaction first;
        first.puts.emplace_back(leaderKey, encodeLeaderRow(row));
        first.puts.emplace_back(row_key {"op", "config", {}}, "any");
        const auto revision = store.apply(first).revision;
        leader_options options;
        options.instance = "one";
        options.scheduler = scheduler;
        leading =
            std::make_shared<leader>(context, ports, options, row, revision, support::bootNow());
        asio::co_spawn(
            context,
            [this]() -> awaitable<void> {
                co_await leading->run();
                ended = true;
            },
            asio::detached);
        while (!leading->ready())
            context.run_one();
        for (int i = 0; i < jobs; ++i)
            submit(idOf(i));
        while (accepted < jobs)
            context.run_one();
    }

    void submit(const std::string &job)
    {
        asio::co_spawn(
            context,
            [this, job]() -> awaitable<void> {
                caller_request request;
                request.method = "POST";
                request.host = "host";
                request.target = "/q/" + job;
                request.deadline = clock::now() + std::chrono::seconds(30);
                const auto response = co_await leading->handleRequest(std::move(request));
                CHECK(response.status == 200);
                ++accepted;
            },
            asio::detached);
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::unresponsive_workers workers;
    tests::unresponsive_advisor advisor;
    tests::fixed_codec codec;
    peer_transport peers {context, {}};
    cell_ports ports {store, workers, advisor, codec, {{"op", "config", {}}, "servers"}, peers};
    std::shared_ptr<leader> leading;
    int accepted = 0;
    bool ended = false;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a job that was accepted, never ran and has no line in the log when its leader
// stops.
TEST_CASE("A leader that resigns explains the jobs that are not done")
{
    struct resign_row
    {
        const char *name;
        int jobs;
        std::size_t lines;
        std::string leftOut;
        int resignations;
    };
    const resign_row rows[] = {
        {"no jobs", 0, 0, "left_out=0", 1},
        {"some jobs", 3, 3, "left_out=0", 1},
        {"it is asked to resign again", 3, 3, "left_out=0", 2},
        {"more jobs than lines", 104, 100, "left_out=4", 1},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const log_capture log;
        leader_fixture fixture(row.jobs);
        CHECK(log.linesOf("job.unfinished").empty());
        for (int i = 0; i < row.resignations; ++i)
            fixture.leading->resign();
        while (!fixture.ended)
            fixture.context.run_one();
        const auto lines = log.linesOf("job.unfinished");
        CHECK(lines.size() == row.lines);
        std::set<std::string> named;
        for (const auto &line : lines) {
            const auto at = line.find(" job=");
            REQUIRE(at != std::string::npos);
            CHECK(named.insert(line.substr(at, 21)).second);
            for (const auto *part : {" partition=0", " cores=0", " cores_used=0",
                                     " why=", " waiting=1", " last_end=never_started"}) {
                CAPTURE(std::string(part));
                CHECK(contains(line, part));
            }
        }
        const auto summary = log.linesOf("leader.unfinished_jobs");
        REQUIRE(summary.size() == 1);
        CHECK(contains(summary.front(), " explained=" + std::to_string(row.lines) + " "));
        CHECK(contains(summary.front(), row.leftOut));
    }
}

// Guards against a row that is too large for the store, stops all writes and is named nowhere.
TEST_CASE(
    "A write that the store rejects for what it contains is logged once, with its largest row")
{
    struct rejection_row
    {
        const char *name;
        memory_store::failure_mode mode;
        std::size_t lines;
    };
    const rejection_row rows[] = {
        {"rejected for what it contains", memory_store::failure_mode::RejectsContent, 1},
        {"the store is overloaded", memory_store::failure_mode::Rejects, 0},
        {"the reply is lost", memory_store::failure_mode::LosesReplies, 0},
    };
    constexpr int attempts = 3;
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const log_capture log;
        leader_fixture fixture(0);
        auto &store = fixture.store;
        store.mode = row.mode;
        fixture.submit(idOf(1));
        const auto before = store.commits;
        while (store.commits < before + attempts && fixture.accepted == 0)
            fixture.context.run_one();
        store.mode = memory_store::failure_mode::None;
        while (fixture.accepted == 0)
            fixture.context.run_one();
        const auto lines = log.linesOf("store.write_rejected");
        REQUIRE(lines.size() == row.lines);
        for (const auto &line : lines) {
            CHECK(contains(line, " largest_row=jobs/" + idOf(1)));
            CHECK(contains(line, " largest_row_bytes="));
        }
    }
}

TEST_CASE("Lines a second about jobs that wait are bounded, and the rest is counted")
{
    struct bound_row
    {
        const char *name;
        int jobs;
        std::size_t overdue;
        std::size_t waiting;
        // Part of the line about the jobs without one, empty for no such line.
        std::string suppressed;
    };
    const bound_row rows[] = {
        {"all jobs have their lines", 3, 3, 3, ""},
        {"more jobs than lines", 12, 4, 8, " count=4"},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const log_capture log;
        leader_fixture fixture(row.jobs);
        const auto gauge = "plantaingap_steps_waiting{partition=\"0\",queue=\"queue\",gang=\"0\"} "
                           + std::to_string(row.jobs) + "\n";
        while (!contains(fixture.leading->metrics(), gauge))
            fixture.context.run_one();
        CHECK(log.linesOf("job.overdue").size() == row.overdue);
        CHECK(log.linesOf("job.waiting").size() == row.waiting);
        const auto suppressed = log.linesOf("job.waiting_suppressed");
        CHECK(suppressed.size() == (row.suppressed.empty() ? 0 : 1));
        for (const auto &line : suppressed)
            CHECK(contains(line, row.suppressed));
        const auto figures = log.linesOf("leader.load_by_kind");
        REQUIRE(figures.size() == 1);
        CHECK(contains(figures.front(), " queue=queue gang=0 "));
        CHECK(contains(figures.front(), " waiting=" + std::to_string(row.jobs) + " "));
        CHECK(contains(fixture.leading->metrics(), "plantaingap_cores{partition=\"0\"} 0\n"));
        // Ends the coroutines of the leader.
        fixture.leading->resign();
        while (!fixture.ended)
            fixture.context.run_one();
    }
}

// Guards against jobs that are refused or late for their size where no line tells the size.
TEST_CASE("The size of a job, and what becomes of the jobs of its size, is logged")
{
    const log_capture log;
    leader_fixture fixture(3);
    const auto accepted = log.linesOf("job.accepted");
    CHECK(accepted.size() == 3);
    for (const auto &line : accepted) {
        for (const auto *part : {" queue=queue", " tasks=1", " whole_workers=0", " core_s="}) {
            CAPTURE(std::string(part));
            CHECK(contains(line, part));
        }
    }
    const std::string labels = R"(_total{partition="0",queue="queue",size="largest_tenth"} )";
    while (log.linesOf("leader.jobs_by_size").empty())
        fixture.context.run_one();
    const auto lines = log.linesOf("leader.jobs_by_size");
    // The jobs are of one size, so each is among the largest.
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines.front(), " queue=queue size=largest_tenth submitted=3 accepted=3 "
                                  "refused=0 on_time=0 late=0 without_value=0"));
    const auto metrics = fixture.leading->metrics();
    for (const auto *counter : {"submitted", "accepted"})
        CHECK(contains(metrics, "plantaingap_jobs_" + std::string(counter) + labels + "3\n"));
    CHECK(contains(metrics, "plantaingap_jobs_refused" + labels + "0\n"));
    fixture.leading->resign();
    while (!fixture.ended)
        fixture.context.run_one();
}

// Guards against an operator who cannot see whether anything is learned, and against figures of a
// feature that is switched off.
TEST_CASE("Metrics tell about interference only where it is observed")
{
    for (const bool observed : {false, true}) {
        CAPTURE(observed);
        jobs::scheduler_options options;
        options.keepInterferingApart = observed;
        leader_fixture fixture(1, options);
        const auto metrics = fixture.leading->metrics();
        for (const auto *name :
             {"observations_total", "found_total", "gone_total", "kinds", "pairs", "pairs_apart"}) {
            CAPTURE(std::string(name));
            CHECK(contains(metrics, "plantaingap_interference_" + std::string(name)
                                        + "{partition=\"0\"} 0\n")
                  == observed);
        }
        CHECK(contains(metrics, "plantaingap_interference_") == observed);
        fixture.leading->resign();
        while (!fixture.ended)
            fixture.context.run_one();
    }
}
