#ifndef PLANTAINGAP_TESTS_CELL_MEMORY_PORTS_H
#define PLANTAINGAP_TESTS_CELL_MEMORY_PORTS_H

#include "cell/leader.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

// The cell's ports in memory, for tests without any platform.
namespace plantaingap::tests {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// A table service that can be told to misbehave.
class memory_store final : public cell::table_store
{
public:
    enum class mood : std::uint8_t {
        Well,
        // Does nothing and says so.
        Refuses,
        // Does what is asked and does not answer.
        LosesAnswers,
        // Neither does anything nor answers.
        Silent,
    };

    explicit memory_store(asio::io_context &context)
        : m_context(context)
    { }

    cell::awaitable<cell::outcome<cell::transaction_result>> commit(cell::transaction changes,
                                                                    time_point deadline) override
    {
        co_await pause(milliseconds(1));
        ++commits;
        if (now == mood::Silent) {
            ++unanswered;
            co_await pause(std::chrono::duration_cast<milliseconds>(deadline - clock::now()));
            --unanswered;
            co_return cell::call_failure::Unknown;
        }
        if (now == mood::Refuses)
            co_return cell::call_failure::Refused;
        auto result = apply(changes);
        if (now == mood::LosesAnswers)
            co_return cell::call_failure::Unknown;
        co_return result;
    }

    cell::awaitable<cell::outcome<cell::row_page>> read(std::string table, std::string from,
                                                        std::string to, time_point) override
    {
        co_await pause(milliseconds(1));
        if (now != mood::Well)
            co_return cell::call_failure::Unknown;
        cell::row_page page;
        page.revision = revision;
        for (const auto &[at, row] : rows) {
            if (at.table == table && at.key >= from && (to.empty() || at.key < to))
                page.rows.push_back(row);
        }
        co_return page;
    }

    cell::awaitable<cell::outcome<cell::row_page>> changes(std::string, std::uint64_t,
                                                           milliseconds wait) override
    {
        co_await pause(wait);
        cell::row_page page;
        page.revision = revision;
        co_return page;
    }

    void renewConnections() override { }

    cell::transaction_result apply(const cell::transaction &changes)
    {
        cell::transaction_result result;
        for (const auto &one : changes.expected) {
            const auto found = rows.find(one.at);
            const auto has = found == rows.end() ? 0 : found->second.revision;
            if (has != one.revision)
                result.conflicts.push_back(
                    found == rows.end() ? cell::stored_row {one.at, {}, 0, false} : found->second);
        }
        if (!result.conflicts.empty())
            return result;
        ++revision;
        for (const auto &[at, value] : changes.puts)
            rows[at] = {at, value, revision, false};
        for (const auto &at : changes.removals)
            rows.erase(at);
        result.applied = true;
        result.revision = revision;
        return result;
    }

    mood now = mood::Well;
    std::map<cell::row_key, cell::stored_row> rows;
    std::uint64_t revision = 0;
    int commits = 0;
    // Writes that wait for an answer in vain.
    int unanswered = 0;

private:
    cell::awaitable<void> pause(milliseconds span)
    {
        asio::steady_timer timer(m_context, span);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context &m_context;
};

// No workers at all.
class no_workers final : public cell::worker_gateway
{
public:
    cell::awaitable<cell::order_reply> start(jobs::start_order, time_point) override
    {
        co_return cell::order_reply {};
    }
    cell::awaitable<cell::order_reply> stop(jobs::stop_order, time_point) override
    {
        co_return cell::order_reply {};
    }
    cell::awaitable<cell::order_reply> throttle(jobs::throttle_order, time_point) override
    {
        co_return cell::order_reply {};
    }
    cell::awaitable<cell::outcome<jobs::worker_report>> look(jobs::lease_renewal, time_point) override
    {
        co_return cell::call_failure::Unknown;
    }
    void forget(const std::string &) override { }
};

class no_advisor final : public cell::step_advisor
{
public:
    cell::awaitable<cell::outcome<cell::advice>> ask(std::string, std::vector<std::string>,
                                                     time_point) override
    {
        co_return cell::call_failure::Unknown;
    }
};

// One queue, and jobs of one task whatever the body says.
class plain_codec final : public cell::caller_codec
{
public:
    std::optional<jobs::job_definition> submission(std::string_view) const override
    {
        jobs::job_definition job;
        job.steps.resize(1);
        job.steps[0].tasks = 1;
        job.steps[0].demand = {1000, 100, 0};
        return job;
    }
    std::string state(jobs::job_state state) const override
    {
        return std::string(jobs::stateName(state));
    }
    std::string waitingJobs(std::size_t count) const override { return std::to_string(count); }
    std::optional<jobs::cell_configuration> configuration(std::string_view) const override
    {
        jobs::cell_configuration configuration;
        configuration.version = 1;
        configuration.queues.push_back({"queue", "host", "/q/", "service", 0, 1, 1.0, {}, {}});
        return configuration;
    }
    std::optional<jobs::worker_entry> workerEntry(const std::string &,
                                                  std::string_view) const override
    {
        return std::nullopt;
    }
};

} // namespace plantaingap::tests

#endif
