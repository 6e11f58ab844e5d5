#ifndef PLANTAINGAP_RUNTIME_CONTROL_NOTE_H
#define PLANTAINGAP_RUNTIME_CONTROL_NOTE_H

#include <map>
#include <plantaingap/epoch.h>
#include <plantaingap/membership.h>
#include <plantaingap/platform_list.h>
#include <set>
#include <string>
#include <variant>
#include <vector>

// What the control duty tells the other duties of an instance, and what instances tell one another
// about the ownership of groups.
namespace plantaingap::runtime {

// This instance gives the orders of the group from now on.
struct group_owned
{
    std::string group;
    epoch authority;
};

struct group_given_up
{
    std::string group;
};

// The worker answered under our epoch: its slots may be used, but for those still busy.
struct worker_usable
{
    std::string group;
    epoch authority;
    named_worker worker;
    std::uint32_t busySlots = 0;
};

struct worker_unusable
{
    std::string group;
    std::string worker;
};

// Nothing new may be sent to the worker; told at most once per mark.
struct worker_is_leaving
{
    std::string worker;
};

// How many slots of a usable worker requests of former owners still hold; told when it changes.
struct worker_slots_held
{
    std::string group;
    std::string worker;
    std::uint32_t busySlots = 0;
};

// All groups of all regions by the service that they serve: what request keys are dealt out to.
struct service_groups
{
    std::map<std::string, std::set<std::string>> groups;

    bool operator==(const service_groups &) const = default;
};

using control_note = std::variant<group_owned, group_given_up, worker_usable, worker_unusable,
                                  worker_is_leaving, worker_slots_held, service_groups>;

// Which epoch of a group the sender holds, and the highest under which it ever acted.
struct group_epochs
{
    group_id group {};
    epoch held;
    epoch acted;
};

// The part of a heartbeat that membership and ownership need; goes into requests and replies.
struct control_heartbeat
{
    heartbeat_received membership;
    std::vector<group_epochs> groups;
    // The configuration in force at the sender; 0 for none.
    std::uint64_t configVersion = 0;
};

} // namespace plantaingap::runtime

#endif
