#ifndef PLANTAINGAP_CELL_PORTS_H
#define PLANTAINGAP_CELL_PORTS_H

#include "cell/connection_budget.h"
#include "jobs/job.h"
#include "jobs/worker.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <plantaingap/result.h>
#include <string>
#include <variant>
#include <vector>

// Interfaces to the platform that a cell runs on, implemented by an adapter. All calls run on the
// thread of the cell's io_context.
namespace plantaingap::cell {

template<class T>
using awaitable = boost::asio::awaitable<T>;

// Why a call returned no result.
enum class call_failure : std::uint8_t {
    // The callee reported that it did nothing: it is overloaded or unavailable, or rejects calls of
    // this instance.
    Refused,
    // The callee rejected the call for what it contains, so repeating it is of no use.
    Rejected,
    // The call may or may not have taken effect: no reply by the deadline, a broken connection, or
    // a malformed reply.
    Unknown,
    // The store no longer keeps changes since the requested revision.
    RevisionCompacted,
};

// The result of a call, or why there is none.
template<class T>
using outcome = std::variant<T, call_failure>;

// The store keeps each table in parts; a transaction spans rows of one part.
struct row_key
{
    std::string table;
    std::string key;
    std::string part;

    auto operator<=>(const row_key &) const = default;
};

// The rows of one part of a table with from <= key < to; an empty `to` means no upper bound.
struct key_range
{
    std::string table;
    std::string part;
    std::string from;
    std::string to;
};

struct stored_row
{
    row_key rowKey;
    std::string value;
    std::uint64_t revision = 0;
    // The row was deleted.
    bool removed = false;
};

// Applied atomically: all operations or none.
struct transaction
{
    struct precondition
    {
        row_key rowKey;
        // The row's current revision; 0 if the row must not exist.
        std::uint64_t revision = 0;
    };
    std::vector<precondition> preconditions;
    std::vector<std::pair<row_key, std::string>> puts;
    std::vector<row_key> deletions;

    std::size_t operationCount() const
    {
        return preconditions.size() + puts.size() + deletions.size();
    }
};

// The new revision if the transaction was applied; otherwise the current rows whose revision did
// not match a precondition.
struct transaction_result
{
    bool applied = false;
    std::uint64_t revision = 0;
    std::vector<stored_row> conflicts;
};

struct row_page
{
    std::vector<stored_row> rows;
    // More rows follow the last one.
    bool hasMore = false;
    // The table's revision when the page was read.
    std::uint64_t revision = 0;
};

// The platform's table service: rows with revisions, and transactions.
class table_store
{
public:
    virtual ~table_store() = default;

    virtual awaitable<outcome<transaction_result>> commit(transaction changes,
                                                          time_point deadline) = 0;
    // Returns the first rows of the range in key order.
    virtual awaitable<outcome<row_page>> read(key_range range, time_point deadline) = 0;
    // Long poll: returns the rows that changed after a revision as soon as there is one, or an
    // empty page after `wait`.
    virtual awaitable<outcome<row_page>> pollChanges(std::string table, std::uint64_t after,
                                                     std::chrono::milliseconds wait) = 0;
    // Makes later calls open new connections, because the pooled ones may be dead.
    virtual void resetConnections() = 0;
};

// A worker's reply to an order.
enum class order_status : std::uint8_t {
    Accepted,
    // The worker has received orders of a later term.
    StaleTerm,
    // This attempt or a later one has already ended or been stopped on the worker.
    OldAttempt,
    // The deadline in the order had passed.
    Expired,
    NoCapacity,
    InvalidTicket,
    // Another incarnation of the worker has this address.
    OtherIncarnation,
    // Not executed: the worker is unhealthy or overloaded.
    WorkerUnhealthy,
    // Not sent: no connection was free in time, or it broke before the worker had told its
    // incarnation.
    NotSent,
    // The worker rejected the order as malformed or for an unlisted reason.
    Refused,
    // The connection broke before the reply: the order may have been executed.
    ConnectionBroken,
    // No reply: the order may have been executed, or may still be executed later.
    Unknown,
};

struct order_reply
{
    order_status status = order_status::Unknown;
    // The worker's clock when it replied; empty without a reply.
    std::optional<std::int64_t> workerClockMs;
};

// Connections of this process to one worker.
struct connection_count
{
    std::string worker;
    std::size_t idle = 0;
    // By call_kind.
    std::array<std::size_t, callKinds> busy {};
    std::uint64_t refusals = 0;
};

// Sends orders to workers over few connections each, because a worker limits those of all
// processes together; connection_budget.h tells how many. Orders wait for a connection until
// `sendBy`; one that got none by then was not sent. A start order is executed by the incarnation
// that it names or by none.
class worker_gateway
{
public:
    virtual ~worker_gateway() = default;

    virtual awaitable<order_reply> start(jobs::start_order order, time_point sendBy) = 0;
    virtual awaitable<order_reply> stop(jobs::stop_order order, time_point sendBy) = 0;
    virtual awaitable<order_reply> throttle(jobs::throttle_order order, time_point sendBy) = 0;
    // Renews the worker's lease and returns its active and ended runs. If the incarnation that the
    // renewal names may have been replaced, only requests the report. Fails as Refused if the
    // worker accepts no connection, or none that is open was free.
    virtual awaitable<outcome<jobs::worker_report>> renewLease(jobs::lease_renewal order,
                                                               time_point deadline) = 0;
    // Connections that the worker accepts from all processes together, and the number of former
    // leaders whose connections it may still count.
    virtual void setConnectionLimit(const std::string &, std::uint32_t, double) { }
    // Closes the connections to a worker that was removed, or that this instance leads no more.
    virtual void closeConnections(const std::string &worker) = 0;
    virtual std::vector<connection_count> connectionCounts() const { return {}; }
};

// The workers that the placement advisor accepts for a step. A start order there carries the
// worker's ticket.
struct advice
{
    struct ticket
    {
        std::string worker;
        std::string text;
    };
    std::vector<ticket> tickets;
    // From the advisor's reply until the tickets expire.
    std::chrono::milliseconds validity {0};
};

// The placement advisor: the service that decides on which workers a step may run.
class step_advisor
{
public:
    virtual ~step_advisor() = default;
    virtual awaitable<outcome<advice>>
    requestAdvice(std::string step, std::vector<std::string> workers, time_point deadline) = 0;
};

// Converts between the project's types and the platform's encoding of caller requests, responses
// and table rows.
class platform_codec
{
public:
    virtual ~platform_codec() = default;
    // Parses the steps and payload of a job, leaving id and queue empty. Returns nullopt if the
    // body is malformed.
    virtual std::optional<jobs::job_definition> parseSubmission(std::string_view body) const = 0;
    virtual std::string formatState(jobs::job_state state) const = 0;
    virtual std::string formatWaitingJobs(std::size_t count) const = 0;
    // Rows written by the platform's operators and workers; nullopt if malformed.
    virtual std::optional<jobs::cell_configuration>
    parseConfiguration(std::string_view value) const = 0;
    virtual std::optional<jobs::worker_entry> parseWorkerEntry(const std::string &id,
                                                               std::string_view value) const = 0;
};

// Tables and keys written by the platform rather than by the cell.
struct platform_tables
{
    row_key configuration;
    std::string workers;
};

} // namespace plantaingap::cell

#endif
