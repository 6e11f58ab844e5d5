#ifndef PLANTAINGAP_ACTIVE_CONFIG_H
#define PLANTAINGAP_ACTIVE_CONFIG_H

#include <cstdint>
#include <optional>
#include <plantaingap/ownership.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>
#include <variant>
#include <vector>

// Events and actions of the state machine that tracks the active configuration set of an instance
// and commits new versions: peer::active_config (src/peer/active_config.h).
//
// Driver contract, one state machine per instance:
// - At start, pass config_peers_expected with the peers listed by the platform, and serve nothing
//   until ready().
// - Pass config_version_received from every heartbeat and heartbeat reply, config_tick every
//   100 ms, and the results of actions as they arrive.
// - To apply a set, validate all of it, put the document into the object store under its digest,
//   then pass config_apply_requested.
// - write_head updates the row config/head by compare-and-set and inserts the audit entry in the
//   same transaction, so that every accepted change has an entry.
// - For fetch_config, get the document or the difference from the given instance, or from the store
//   if none is given, verify its digest, then pass config_fetched; pass config_fetch_failed on any
//   failure or timeout.
// - On activate_config, pass the set to every component of the daemon before the next event.
namespace plantaingap {

struct config_change
{
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    // JSON pointers to the values that differ from the previous version.
    std::vector<std::string> changed;
    write_id write;

    bool operator==(const config_change &) const = default;
};

// The row config/head: the most recent changes, oldest first, at most configHistory of them.
struct config_head
{
    std::vector<config_change> recent;
};

constexpr std::size_t configHistory = 16;

struct config_apply_requested
{
    std::uint64_t ticket = 0;
    // The version that the set was prepared against.
    std::uint64_t baseVersion = 0;
    std::string digest;
    std::string author;
    std::vector<std::string> changed;
    // At this time an outcome that is still unknown is reported as OutcomeUnknown.
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
    // Peers that have sent no heartbeat by this time are no longer waited for.
    time_point until {};
};

struct config_version_received
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
                                  config_peers_expected, config_version_received, config_fetched,
                                  config_fetch_failed, config_tick>;

// One entry of the audit trail, keyed by the write identity so that inserting it is idempotent.
struct config_audit_entry
{
    config_change change;
    std::uint64_t baseVersion = 0;
    errc outcome = errc::Ok;
};

struct read_head
{ };

// Compare-and-set that expects the stored version head.recent.back().version - 1.
struct write_head
{
    config_head head;
    config_audit_entry audit;
};

// Inserts an audit entry for a change that was not applied.
struct write_audit
{
    config_audit_entry entry;
};

struct fetch_config
{
    // The peer to fetch from; the object store if empty.
    std::optional<instance_id> from;
    // The active version, which a difference can start from; 0 for none.
    std::uint64_t currentVersion = 0;
    std::uint64_t version = 0;
    std::string digest;
};

struct activate_config
{
    std::uint64_t version = 0;
    std::string digest;
};

struct apply_finished
{
    std::uint64_t ticket = 0;
    // Ok and OutcomeUnknown, or a code of a change that was not applied: VersionConflict,
    // StoreUnavailable, Overloaded or DeadlinePassed.
    errc outcome = errc::Ok;
    std::uint64_t version = 0;
    // With VersionConflict: the changes accepted since the base version.
    std::vector<config_change> conflictingChanges;
};

using config_action =
    std::variant<read_head, write_head, write_audit, fetch_config, activate_config, apply_finished>;

struct config_limits
{
    duration readInterval = std::chrono::seconds(1);
    duration fetchRetryInterval = std::chrono::milliseconds(200);
};

} // namespace plantaingap

#endif
