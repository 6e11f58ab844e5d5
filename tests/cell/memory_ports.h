#ifndef PLANTAINGAP_TESTS_CELL_MEMORY_PORTS_H
#define PLANTAINGAP_TESTS_CELL_MEMORY_PORTS_H

#include "cell/leader.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>

// In-memory implementations of the cell's ports.
namespace plantaingap::tests {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// A table service with selectable failures.
class memory_store final : public cell::table_store
{
public:
    // The effect on commits; reads fail in every mode but None and CommitsUnresponsive.
    enum class failure_mode : std::uint8_t {
        None,
        // Rejects each commit without applying it.
        Rejects,
        // Rejects each commit for what it contains.
        RejectsContent,
        // Applies each commit but loses the reply.
        LosesReplies,
        // Neither applies a commit nor replies.
        Unresponsive,
        CommitsUnresponsive,
    };

    explicit memory_store(asio::io_context &context)
        : m_context(context)
    { }

    cell::awaitable<cell::outcome<cell::transaction_result>> commit(cell::transaction changes,
                                                                    time_point deadline) override
    {
        co_await sleepFor(milliseconds(1));
        ++commits;
        if (mode == failure_mode::Unresponsive || mode == failure_mode::CommitsUnresponsive) {
            ++openCalls;
            co_await sleepFor(std::chrono::duration_cast<milliseconds>(deadline - clock::now()));
            --openCalls;
            co_return cell::call_failure::Unknown;
        }
        if (mode == failure_mode::Rejects)
            co_return cell::call_failure::Refused;
        if (mode == failure_mode::RejectsContent)
            co_return cell::call_failure::Rejected;
        auto result = apply(changes);
        if (mode == failure_mode::LosesReplies)
            co_return cell::call_failure::Unknown;
        co_return result;
    }

    cell::awaitable<cell::outcome<cell::row_page>> read(cell::key_range range, time_point) override
    {
        ++reads[range.table];
        co_await sleepFor(milliseconds(1));
        if (range.table == unreadableTable)
            co_return cell::call_failure::Unknown;
        if (mode != failure_mode::None && mode != failure_mode::CommitsUnresponsive)
            co_return cell::call_failure::Unknown;
        cell::row_page page;
        page.revision = revision;
        for (const auto &[rowKey, row] : rows) {
            if (rowKey.table == range.table && rowKey.part == range.part && rowKey.key >= range.from
                && (range.to.empty() || rowKey.key < range.to))
                page.rows.push_back(row);
        }
        co_return page;
    }

    cell::awaitable<cell::outcome<cell::row_page>> pollChanges(std::string, std::uint64_t,
                                                               milliseconds wait) override
    {
        co_await sleepFor(wait);
        if (pollsFail)
            co_return cell::call_failure::Unknown;
        cell::row_page page;
        page.revision = revision;
        co_return page;
    }

    void resetConnections() override { }

    cell::transaction_result apply(const cell::transaction &changes)
    {
        cell::transaction_result result;
        for (const auto &precondition : changes.preconditions) {
            const auto it = rows.find(precondition.rowKey);
            const auto current = it == rows.end() ? 0 : it->second.revision;
            if (current != precondition.revision)
                result.conflicts.push_back(
                    it == rows.end() ? cell::stored_row {precondition.rowKey, {}, 0, false}
                                     : it->second);
        }
        if (!result.conflicts.empty())
            return result;
        ++revision;
        for (const auto &[rowKey, value] : changes.puts)
            rows[rowKey] = {rowKey, value, revision, false};
        for (const auto &rowKey : changes.deletions)
            rows.erase(rowKey);
        if (onApplied)
            onApplied();
        result.applied = true;
        result.revision = revision;
        return result;
    }

    failure_mode mode = failure_mode::None;
    std::string unreadableTable;
    bool pollsFail = false;
    // Called after each write that is applied.
    std::function<void()> onApplied;
    std::map<cell::row_key, cell::stored_row> rows;
    std::uint64_t revision = 0;
    int commits = 0;
    // By table.
    std::map<std::string, int> reads;
    // Commits that are waiting for a reply that will not come.
    int openCalls = 0;

private:
    cell::awaitable<void> sleepFor(milliseconds period)
    {
        asio::steady_timer timer(m_context, period);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context &m_context;
};

// A gateway to workers that never reply.
class unresponsive_workers final : public cell::worker_gateway
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
    cell::awaitable<cell::outcome<jobs::worker_report>> renewLease(jobs::lease_renewal,
                                                                   time_point) override
    {
        co_return cell::call_failure::Unknown;
    }
    void closeConnections(const std::string &) override { }
};

// A placement advisor that never replies.
class unresponsive_advisor final : public cell::step_advisor
{
public:
    cell::awaitable<cell::outcome<cell::advice>>
    requestAdvice(std::string, std::vector<std::string>, time_point) override
    {
        co_return cell::call_failure::Unknown;
    }
};

// Parses every configuration as one queue and every submission as a job with one task.
class fixed_codec final : public cell::platform_codec
{
public:
    std::optional<jobs::job_definition> parseSubmission(std::string_view) const override
    {
        jobs::job_definition job;
        job.steps.resize(1);
        job.steps[0].tasks = 1;
        job.steps[0].demand = {1000, 100, 0};
        return job;
    }
    std::string formatState(jobs::job_state state) const override
    {
        return std::string(jobs::stateName(state));
    }
    std::string formatWaitingJobs(std::size_t count) const override
    {
        return std::to_string(count);
    }
    std::optional<jobs::cell_configuration> parseConfiguration(std::string_view) const override
    {
        jobs::cell_configuration configuration;
        configuration.version = configurationVersion;
        configuration.queues.push_back({"queue", host, "/q/", "service", 0, 1, 1.0, {}, {}});
        configuration.queues.push_back(
            {"open", host, "/open/", "service", 0, 1, 1.0, {}, {}, true});
        configuration.workspaces = workspaces;
        configuration.unreadable = unreadable;
        return configuration;
    }
    std::optional<jobs::worker_entry> parseWorkerEntry(const std::string &,
                                                       std::string_view) const override
    {
        return std::nullopt;
    }

    // The Host header of requests for the queue.
    std::string host = "host";
    std::uint64_t configurationVersion = 1;
    std::vector<jobs::workspace_definition> workspaces;
    std::vector<std::string> unreadable;
};

} // namespace plantaingap::tests

#endif
