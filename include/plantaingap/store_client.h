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

// Durable writes and reads of the platform's table: writes are grouped, reads shared, lost replies
// settled by reading, and calls kept within a budget. The machine is platform::store_client.
//
// How a shell drives it: one machine per instance. Each write inserts a row that must not exist yet
// and that holds the write's identity (an accepted job, a request key). Carry out send_commit as
// one call; the table answers for each row alone. Give commit_ended with one outcome per write, or
// Unknown for all after a timeout or a lost reply. Give read_ended likewise. store_tick comes every
// 10 ms while idle() is false. The body of a row stays with the shell, under the write's identity.
// write_ended tells the truth: Ok means durable, DuplicateKey means that another write holds the
// row, StoreUnavailable means certainly never written, OutcomeUnknown that nobody can say.
namespace plantaingap {

struct store_write_requested
{
    std::string key;
    write_id write;
    time_point deadline {};
};

// Asks for a row as it is at some time after this request.
struct store_read_requested
{
    std::uint64_t ticket = 0;
    std::string key;
    time_point deadline {};
};

struct commit_ended
{
    std::uint64_t batch = 0;
    // In the order of the writes; empty when nothing is known.
    std::vector<write_outcome> outcomes;
    // True when the call certainly never left.
    bool sent = true;
};

struct read_ended
{
    std::uint64_t call = 0;
    bool answered = false;
    // The identity that the row holds; nothing when there is no row.
    std::optional<write_id> holder;
};

struct store_tick
{ };

using store_event =
    std::variant<store_write_requested, store_read_requested, commit_ended, read_ended, store_tick>;

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

struct write_ended
{
    write_id write;
    errc outcome = errc::Ok;
};

struct read_told
{
    std::uint64_t ticket = 0;
    errc outcome = errc::Ok;
    std::optional<write_id> holder;
};

using store_action = std::variant<send_commit, send_read, write_ended, read_told>;

struct store_limits
{
    // Writes in one commit.
    std::size_t batch = 64;
    // A write waits this long for company.
    duration gather = std::chrono::milliseconds(2);
    // Calls a second, and how many may come at once.
    double callsPerSecond = 20;
    double burst = 20;
    // Writes waiting; one more is refused as Overloaded.
    std::size_t queue = 4096;
    duration firstRetry = std::chrono::milliseconds(50);
    duration longestRetry = std::chrono::seconds(5);
};

} // namespace plantaingap

#endif
