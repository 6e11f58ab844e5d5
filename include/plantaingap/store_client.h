#ifndef PLANTAINGAP_STORE_CLIENT_H
#define PLANTAINGAP_STORE_CLIENT_H

#include <cstdint>
#include <optional>
#include <plantaingap/ownership.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>
#include <variant>
#include <vector>

// Events and actions of the state machine for durable writes to and reads from the platform's
// table: platform::store_client. It batches writes, coalesces reads, resolves lost replies by
// reading, and rate-limits calls.
//
// Driver contract, one state machine per instance:
// - Each write inserts a row that must not exist yet and that contains the write's identity (an
//   accepted job, a request key). The driver keeps the row's body under that identity.
// - Execute send_commit as one call; the table reports an outcome for each row separately. Pass
//   commit_call_finished with one outcome per write, or with no outcomes after a timeout or a lost
//   reply. Pass read_call_finished when a read ends, with or without a response.
// - Pass store_tick every 10 ms while idle() is false.
// - The outcome in write_finished is Ok if the row is durable, DuplicateKey if another write
//   created it, StoreUnavailable if this write was certainly never applied, and OutcomeUnknown if
//   that could not be determined.
namespace plantaingap {

struct store_write_requested
{
    std::string key;
    write_id write;
    time_point deadline {};
};

// Requests a row as of some time after this request.
struct store_read_requested
{
    std::uint64_t ticket = 0;
    std::string key;
    time_point deadline {};
};

struct commit_call_finished
{
    std::uint64_t batch = 0;
    // In the order of the writes; empty if no outcome is known.
    std::vector<write_outcome> outcomes;
    // False if the call was certainly never sent.
    bool sent = true;
};

struct read_call_finished
{
    std::uint64_t call = 0;
    bool responded = false;
    // The write identity in the row; empty if there is no row.
    std::optional<write_id> storedWrite;
};

struct store_tick
{ };

using store_event = std::variant<store_write_requested, store_read_requested, commit_call_finished,
                                 read_call_finished, store_tick>;

struct store_write
{
    std::string key;
    write_id write;
};

struct send_commit
{
    std::uint64_t batch = 0;
    std::vector<store_write> writes;
};

struct send_read
{
    std::uint64_t call = 0;
    std::string key;
};

struct write_finished
{
    write_id write;
    errc outcome = errc::Ok;
};

struct read_finished
{
    std::uint64_t ticket = 0;
    errc outcome = errc::Ok;
    std::optional<write_id> storedWrite;
};

using store_action = std::variant<send_commit, send_read, write_finished, read_finished>;

struct store_limits
{
    // Writes in one commit.
    std::size_t maxBatchWrites = 64;
    // How long a write waits for others to share its commit.
    duration batchDelay = std::chrono::milliseconds(2);
    // Token bucket for calls: sustained rate and bucket size.
    double callsPerSecond = 20;
    double burst = 20;
    // Queued writes; further ones are rejected as Overloaded.
    std::size_t maxQueuedWrites = 4096;
    duration minRetryInterval = std::chrono::milliseconds(50);
    duration maxRetryInterval = std::chrono::seconds(5);
};

} // namespace plantaingap

#endif
