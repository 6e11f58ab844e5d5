#ifndef PLANTAINGAP_CELL_PORTS_H
#define PLANTAINGAP_CELL_PORTS_H

#include "jobs/job.h"
#include "jobs/worker.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <plantaingap/result.h>
#include <string>
#include <variant>
#include <vector>

// What the cell needs from the platform that it runs on. An adapter implements these; all of them
// run on the thread of the cell's io_context.
namespace plantaingap::cell {

template<class T>
using awaitable = boost::asio::awaitable<T>;

// How a call that brought no usable answer ended.
enum class call_failure : std::uint8_t {
    // The callee said that it did nothing: overloaded, unavailable, or turning this instance away.
    Refused,
    // Nothing is known: no answer by the deadline, a broken connection, or an unreadable answer.
    Unknown,
    // The history that was asked for is no longer there.
    HistoryLost,
};

template<class T>
using outcome = std::variant<T, call_failure>;

struct row_key
{
    std::string table;
    std::string key;

    auto operator<=>(const row_key &) const = default;
};

struct stored_row
{
    row_key at;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

// Applied whole or not at all.
struct transaction
{
    struct expectation
    {
        row_key at;
        // 0: the row must not exist.
        std::uint64_t revision = 0;
    };
    std::vector<expectation> expected;
    std::vector<std::pair<row_key, std::string>> puts;
    std::vector<row_key> removals;

    std::size_t entries() const { return expected.size() + puts.size() + removals.size(); }
};

// What came of a transaction: the new revision, or the rows that were not as expected.
struct transaction_result
{
    bool applied = false;
    std::uint64_t revision = 0;
    std::vector<stored_row> conflicts;
};

struct row_page
{
    std::vector<stored_row> rows;
    bool more = false;
    std::uint64_t revision = 0;
};

// The platform's table service.
class table_store
{
public:
    virtual ~table_store() = default;

    virtual awaitable<outcome<transaction_result>> commit(transaction changes,
                                                          time_point deadline) = 0;
    // Rows with from <= key < to in the order of keys; an empty `to` is no bound.
    virtual awaitable<outcome<row_page>> read(std::string table, std::string from, std::string to,
                                              time_point deadline) = 0;
    // Rows that changed after a revision, as soon as there is one; empty when none came in time.
    virtual awaitable<outcome<row_page>> changes(std::string table, std::uint64_t after,
                                                 std::chrono::milliseconds wait) = 0;
    // Calls from now on use new connections: those that are kept may be silent.
    virtual void renewConnections() = 0;
};

// What a worker answered to an order.
enum class order_answer : std::uint8_t {
    Accepted,
    // A newer leader gives orders to this worker.
    StaleTerm,
    // This attempt or a later one has ended or been stopped there.
    OldAttempt,
    // The order's own deadline had passed.
    Expired,
    NoRoom,
    BadTicket,
    // Another life of the worker is at this address.
    OtherIncarnation,
    // Not carried out; the worker is unhealthy or overloaded.
    Unwell,
    // Malformed, as the worker sees it.
    Refused,
    // No answer; the order may have been carried out, or may be later.
    Unknown,
};

struct order_reply
{
    order_answer answer = order_answer::Unknown;
    // The worker's own clock when it answered; none without an answer.
    std::optional<std::int64_t> workerClockMs;
};

// Orders to workers. Calls to one worker share a few connections that are kept.
class worker_gateway
{
public:
    virtual ~worker_gateway() = default;

    virtual awaitable<order_reply> start(jobs::start_order order, time_point deadline) = 0;
    virtual awaitable<order_reply> stop(jobs::stop_order order, time_point deadline) = 0;
    virtual awaitable<order_reply> throttle(jobs::throttle_order order, time_point deadline) = 0;
    // Renews the worker's lease and brings what runs and what has ended there.
    virtual awaitable<outcome<jobs::worker_report>> look(jobs::lease_renewal order,
                                                         time_point deadline) = 0;
    // Closes the connections to a worker that is gone.
    virtual void forget(const std::string &worker) = 0;
};

struct advice
{
    struct ticket
    {
        std::string worker;
        std::string text;
    };
    std::vector<ticket> good;
    std::chrono::milliseconds validity {0};
};

// The service that names the workers on which a step may run.
class step_advisor
{
public:
    virtual ~step_advisor() = default;
    virtual awaitable<outcome<advice>> ask(std::string step, std::vector<std::string> workers,
                                           time_point deadline) = 0;
};

// What callers send and are told, in the platform's encoding.
class caller_codec
{
public:
    virtual ~caller_codec() = default;
    // Steps and payload of a job; id and queue stay empty. None: malformed.
    virtual std::optional<jobs::job_definition> submission(std::string_view body) const = 0;
    virtual std::string state(jobs::job_state state) const = 0;
    virtual std::string waitingJobs(std::size_t count) const = 0;
    // Rows that the platform's operators and workers write.
    virtual std::optional<jobs::cell_configuration> configuration(std::string_view value) const = 0;
    virtual std::optional<jobs::worker_entry> workerEntry(const std::string &id,
                                                          std::string_view value) const = 0;
};

// Tables and keys that others than the cell write.
struct platform_tables
{
    row_key configuration;
    std::string workers;
};

} // namespace plantaingap::cell

#endif
