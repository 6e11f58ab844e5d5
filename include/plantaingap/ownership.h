#ifndef PLANTAINGAP_OWNERSHIP_H
#define PLANTAINGAP_OWNERSHIP_H

#include <cstdint>
#include <optional>
#include <plantaingap/epoch.h>
#include <plantaingap/membership.h>
#include <variant>
#include <vector>

// Which instance may give orders to the workers of a group. The machine is peer::group_ownership
// (src/peer/ownership.h); the argument why it is safe stands in docs/PROTOCOL.md.
//
// How a shell drives it: one machine per group that this instance may own (the groups of its
// region). Feed it
// - candidates_changed whenever membership changes: the live instances of the region (this one
//   included, stopping ones excluded), ordered by peer::rankCandidates();
// - ownership_tick every 100 ms; it asks for reads by read_row when one is due. Reads of many
//   groups may be one range read: give row_read to each, with the time at which it was sent;
// - row_read, row_read_failed and row_written as the table answers. A write whose reply was lost or
//   timed out is write_outcome::Unknown, never a failure: the machine settles it by reading;
// - epoch_heard from every worker's answer and every heartbeat's group summary;
// - successor_idle for each heartbeat reply (or heartbeat) of an instance that says it has never
//   acted for this group under the generation named; askedAt is when our question left, or for a
//   heartbeat without question, never: an unsolicited statement proves nothing about now;
// - handover_requested once, at a planned stop.
// Carry out actions in order. Hand authority_gained, authority_confirmed and authority_lost to
// backend::worker_leases before anything else; after authority_lost give no order for the group.
namespace plantaingap {

// Names one write, so that a lost reply can be settled by reading the row.
struct write_id
{
    instance_ref writer;
    std::uint64_t sequence = 0;

    auto operator<=>(const write_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// The row group/NAME of the table. The generation is the row's version: each write adds one.
struct group_row
{
    std::uint64_t generation = 0;
    instance_ref owner;
    // Who may act, in order of rank from 1, while the table cannot be reached.
    std::vector<instance_ref> successors;
    // Whose leases may still run from earlier generations.
    std::vector<instance_ref> formers;
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
    // The row was at another version.
    Conflict,
    // Certainly not applied: the request never left.
    NotSent,
    // No reply: may have been applied, or may yet be.
    Unknown,
};

struct row_written
{
    write_id write;
    write_outcome outcome = write_outcome::Unknown;
};

struct epoch_heard
{
    epoch seen;
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
    std::variant<candidates_changed, row_read, row_read_failed, row_written, epoch_heard,
                 successor_idle, handover_requested, ownership_tick>;

struct read_row
{ };

// Compare-and-set on the version row.generation - 1; 0 means that there must be no row.
struct write_row
{
    group_row row;
};

// From now on orders may be given under this epoch.
struct authority_gained
{
    epoch authority;
    // The latest time at which certainly no higher epoch had given an order.
    time_point exclusiveAt {};
    // When the table confirmed the generation; nothing for a successor that acts by rank.
    std::optional<time_point> recordedAt;
    std::vector<instance_ref> formers;
};

struct authority_confirmed
{
    time_point exclusiveAt {};
};

// No order may be given from now on.
struct authority_lost
{ };

using ownership_action =
    std::variant<read_row, write_row, authority_gained, authority_confirmed, authority_lost>;

struct ownership_limits
{
    duration readEvery = std::chrono::seconds(1);
    // Between the takeover attempts of the first and second candidate, and so on.
    duration stagger = std::chrono::seconds(1);
    // Reads that fail for this long mean that the store is away.
    duration storeAwayAfter = std::chrono::seconds(2);
    // Without store contact for this long an owner stops giving orders.
    duration storeGrace = std::chrono::minutes(15);
    // A better placed candidate is steady for this long before a group is moved to it.
    duration balanceAfter = std::chrono::seconds(10);
    std::uint32_t successors = 2;
};

} // namespace plantaingap

#endif
