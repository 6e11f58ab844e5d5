#ifndef PLANTAINGAP_OWNERSHIP_H
#define PLANTAINGAP_OWNERSHIP_H

#include <cstdint>
#include <optional>
#include <plantaingap/epoch.h>
#include <plantaingap/membership.h>
#include <variant>
#include <vector>

// Events and actions of the state machine that decides which instance may send orders to the
// workers of a group: peer::group_ownership (src/peer/ownership.h). docs/PROTOCOL.md has the safety
// argument.
//
// Driver contract, one state machine per group that this instance may own (the groups of its
// region). Pass
// - candidates_changed whenever membership changes: the live instances of the region, including
//   this one and excluding instances that are stopping, ordered by peer::rankCandidates();
// - ownership_tick every 100 ms; it emits read_row when a read is due. Reads of many groups may be
//   combined into one range read: pass row_read to each group, with the time at which it was sent;
// - row_read, row_read_failed and row_written as the table responds. A write whose reply was lost
//   or timed out is write_outcome::Unknown, never a failure: its outcome is resolved by reading;
// - epoch_received from every worker's reply and the group summary of every heartbeat;
// - successor_idle for each heartbeat or heartbeat reply of an instance that reports that it has
//   never acted for this group under the given generation. askedAt is the time at which the
//   heartbeat that it replies to was sent. For an unsolicited heartbeat it is the minimum time,
//   because such a report may be arbitrarily old;
// - handover_requested once, at a planned stop.
// Execute actions in order. Pass authority_gained, authority_confirmed and authority_lost to
// backend::worker_leases before anything else; after authority_lost send no order for the group.
namespace plantaingap {

// Identifies one write, so that its outcome can be resolved by reading the row if the reply is
// lost.
struct write_id
{
    instance_ref writer;
    std::uint64_t sequence = 0;

    auto operator<=>(const write_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// The row group/NAME of the table. The generation is the row's version, which each write
// increments.
struct group_row
{
    std::uint64_t generation = 0;
    instance_ref owner;
    // Instances that may act while the table is unreachable, in order of rank from 1.
    std::vector<instance_ref> successors;
    // Owners and successors of earlier generations whose leases may not have expired yet.
    std::vector<instance_ref> previousOwners;
    write_id write;

    bool operator==(const group_row &) const = default;
};

struct candidates_changed
{
    std::vector<instance_ref> ranked;
};

struct row_read
{
    time_point sentAt {};
    std::optional<group_row> row;
};

struct row_read_failed
{ };

enum class write_outcome : std::uint8_t {
    Applied,
    // The row was not at the expected version.
    Conflict,
    // Certainly not applied: the request was never sent.
    NotSent,
    // No reply: the write may have been applied, or may still be applied later.
    Unknown,
};

struct row_written
{
    write_id write;
    write_outcome outcome = write_outcome::Unknown;
};

struct epoch_received
{
    epoch received;
};

struct successor_idle
{
    instance_ref successor;
    std::uint64_t generation = 0;
    time_point askedAt {};
};

struct handover_requested
{ };

struct ownership_tick
{ };

using ownership_event =
    std::variant<candidates_changed, row_read, row_read_failed, row_written, epoch_received,
                 successor_idle, handover_requested, ownership_tick>;

struct read_row
{ };

// Compare-and-set that expects the version row.generation - 1; 0 means that no row exists.
struct write_row
{
    group_row row;
};

// Orders may be sent under this epoch from now on.
struct authority_gained
{
    epoch authority;
    // The latest time at which no higher epoch can have sent an order yet.
    time_point exclusiveAt {};
    // When the table confirmed the generation; empty for a successor that acts by rank.
    std::optional<time_point> recordedAt;
    std::vector<instance_ref> previousOwners;
};

struct authority_confirmed
{
    time_point exclusiveAt {};
};

// No order may be sent from now on.
struct authority_lost
{ };

using ownership_action =
    std::variant<read_row, write_row, authority_gained, authority_confirmed, authority_lost>;

struct ownership_limits
{
    duration readInterval = std::chrono::seconds(1);
    // Delay between the takeover attempts of consecutive candidates in the ranking.
    duration takeoverStagger = std::chrono::seconds(1);
    // The store counts as unavailable after reads have failed for this long.
    duration storeUnavailableAfter = std::chrono::seconds(2);
    // An owner stops sending orders after this long without a successful read or write of the row.
    duration storeGrace = std::chrono::minutes(15);
    // How long a candidate must be ranked above the owner before the group is moved to it, and how
    // long successors must be missing before the row is rewritten.
    duration rebalanceDelay = std::chrono::seconds(10);
    std::uint32_t successors = 2;
};

} // namespace plantaingap

#endif
