#ifndef PLANTAINGAP_MEMBERSHIP_H
#define PLANTAINGAP_MEMBERSHIP_H

#include <compare>
#include <cstdint>
#include <plantaingap/ids.h>
#include <plantaingap/time.h>
#include <variant>
#include <vector>

// Events and actions of the state machine that derives the state of every instance from the
// platform's list, which lags, from heartbeats and from the results of calls to peers:
// peer::membership (src/peer/membership.h).
//
// Driver contract, one state machine per instance: pass each heartbeat as it arrives, each finished
// call to a peer, each read of the platform's list, and membership_tick every 100 ms. Send a
// heartbeat every heartbeatInterval, and immediately after a worker_leaving_detected action, filled
// from recentPeers() and leavingWorkers(). Process heartbeats before placement decisions that are
// due at the same time.
namespace plantaingap {

// One incarnation of an instance. A restart at the same address has a higher incarnation number.
struct instance_ref
{
    instance_id instance {};
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_ref &) const = default; // NOLINT(modernize-use-nullptr)
};

// A worker that the platform's list shows as leaving, with the revision of that list. Revisions
// increase with every change of the list.
struct leaving_mark
{
    worker_id worker {};
    std::uint64_t revision = 0;
};

struct heartbeat_received
{
    instance_ref from;
    region_id region {};
    // Increases with each heartbeat of an incarnation; late and duplicate heartbeats are ignored.
    std::uint64_t sequence = 0;
    bool stopping = false;
    // Instances whose heartbeats the sender received recently. If the local instance is not among
    // them, its messages do not reach the sender.
    std::vector<instance_ref> recentPeers;
    std::vector<leaving_mark> leavingWorkers;
};

struct peer_call_finished
{
    instance_id peer {};
    bool responded = false;
};

struct listed_instance
{
    instance_id instance {};
    bool leaving = false;
};

struct listed_worker
{
    worker_id worker {};
    bool leaving = false;
};

// The platform's list as read; it lags. A revision older than the last one is ignored.
struct platform_list_read
{
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
    std::vector<listed_worker> workers;
};

struct membership_tick
{ };

using membership_event =
    std::variant<heartbeat_received, peer_call_finished, platform_list_read, membership_tick>;

enum class instance_state : std::uint8_t {
    // Listed, but no heartbeat received yet.
    Unknown,
    // Heartbeats arrive in both directions, and calls to it succeed.
    Live,
    // Its heartbeats arrive, but messages to it do not: alive, but not a target for forwarding.
    OneWay,
    // Alive, but shutting down: becomes the owner of no further group.
    Stopping,
    // No heartbeat for suspectAfter.
    Suspect,
    // No heartbeat for suspectAfter, and the platform no longer lists it.
    Gone,
};

struct instance_changed
{
    instance_ref instance;
    region_id region {};
    instance_state state = instance_state::Unknown;
};

// The worker must get no further work; emitted once per leaving mark.
struct worker_leaving_detected
{
    worker_id worker {};
};

// A newer list shows that the worker is no longer leaving.
struct worker_staying_detected
{
    worker_id worker {};
};

// The worker is no longer on the list.
struct worker_gone_detected
{
    worker_id worker {};
};

using membership_action = std::variant<instance_changed, worker_leaving_detected,
                                       worker_staying_detected, worker_gone_detected>;

struct membership_limits
{
    duration heartbeatInterval = std::chrono::milliseconds(300);
    duration suspectAfter = std::chrono::milliseconds(1500);
    // Consecutive failed calls after which a peer whose heartbeats arrive becomes OneWay.
    std::uint32_t maxFailedCalls = 3;
};

} // namespace plantaingap

#endif
