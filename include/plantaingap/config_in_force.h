#ifndef PLANTAINGAP_CONFIG_IN_FORCE_H
#define PLANTAINGAP_CONFIG_IN_FORCE_H

#include <cstdint>
#include <optional>
#include <plantaingap/ownership.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>
#include <variant>
#include <vector>

// Which configuration set is in force here, and how a set becomes the next version. The machine is
// peer::config_in_force (src/peer/config_in_force.h).
//
// How a shell drives it: one machine per instance. At the start give config_peers_expected with the
// peers that the platform lists, and serve nothing before ready(). Give config_version_heard from
// every heartbeat and heartbeat reply, config_tick every 100 ms, and answers as they come. To apply
// a set: check it whole, put the document into the object store under its digest, then give
// config_apply_requested. write_head changes the row config/head by compare-and-set and inserts the
// audit entry in the same transaction, so that no accepted change lacks its entry. For fetch_config
// get the document or the difference from the instance named, or from the store if none is named,
// check its digest, then give config_fetched; give config_fetch_failed on any failure or timeout.
// On put_in_force hand the set to every part of the daemon before the next event.
namespace plantaingap {

struct config_change
{
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    // Pointers to what differs from the version before.
    std::vector<std::string> changed;
    write_id write;

    bool operator==(const config_change &) const = default;
};

// The row config/head: the changes made last, oldest first, at most configHistory of them.
struct config_head
{
    std::vector<config_change> recent;
};

constexpr std::size_t configHistory = 16;

struct config_apply_requested
{
    std::uint64_t ticket = 0;
    // The version that the set was prepared against.
    std::uint64_t base = 0;
    std::string digest;
    std::string author;
    std::vector<std::string> changed;
    // After this time the outcome is told as far as it is known.
    time_point deadline {};
};

struct head_read
{
    time_point sentAt {};
    std::optional<config_head> head;
};

struct head_read_failed
{ };

struct head_written
{
    write_id write;
    write_outcome outcome = write_outcome::Unknown;
};

struct config_peers_expected
{
    std::vector<instance_id> peers;
    // Peers silent until then are not waited for.
    time_point until {};
};

struct config_version_heard
{
    instance_id from {};
    std::uint64_t version = 0;
    std::string digest;
};

struct config_fetched
{
    std::uint64_t version = 0;
    std::string digest;
};

struct config_fetch_failed
{ };

struct config_tick
{ };

using config_event = std::variant<config_apply_requested, head_read, head_read_failed, head_written,
                                  config_peers_expected, config_version_heard, config_fetched,
                                  config_fetch_failed, config_tick>;

// One line of the audit trail. The write names it, so that a repeated insert changes nothing.
struct config_audit_entry
{
    config_change change;
    std::uint64_t base = 0;
    errc outcome = errc::Ok;
};

struct read_head
{ };

// Compare-and-set on the version before head.recent.back().version.
struct write_head
{
    config_head head;
    config_audit_entry audit;
};

// Inserts an entry about a refused change.
struct write_audit
{
    config_audit_entry entry;
};

struct fetch_config
{
    // The store when there is none.
    std::optional<instance_id> from;
    std::uint64_t have = 0;
    std::uint64_t version = 0;
    std::string digest;
};

struct put_in_force
{
    std::uint64_t version = 0;
    std::string digest;
};

struct apply_ended
{
    std::uint64_t ticket = 0;
    // Ok, VersionConflict, StoreUnavailable (certainly not applied) or OutcomeUnknown.
    errc outcome = errc::Ok;
    std::uint64_t version = 0;
    // Who won the race and what they changed.
    std::vector<config_change> winners;
};

using config_action =
    std::variant<read_head, write_head, write_audit, fetch_config, put_in_force, apply_ended>;

struct config_limits
{
    duration readEvery = std::chrono::seconds(1);
    duration fetchRetry = std::chrono::milliseconds(200);
};

} // namespace plantaingap

#endif
