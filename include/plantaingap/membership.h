#ifndef PLANTAINGAP_MEMBERSHIP_H
#define PLANTAINGAP_MEMBERSHIP_H

#include <compare>
#include <cstdint>
#include <plantaingap/ids.h>
#include <plantaingap/time.h>
#include <variant>
#include <vector>

// One view of every instance, joined from the platform's lagging list, heartbeats and the outcome
// of calls. The machine is peer::membership (src/peer/membership.h).
//
// How a shell drives it: one machine per instance. Give it each heartbeat as it arrives, each end
// of a call to a peer, each reading of the platform's list, and membership_tick every 100 ms. Send
// a heartbeat every heartbeatEvery and also at once after a worker_leaving_seen action; fill its
// fields from heard() and leavingWorkers(). Heartbeats come before any placing of the same moment.
namespace plantaingap {

// One run of an instance. A restart at the same address has a higher incarnation.
struct instance_ref
{
    instance_id instance {};
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_ref &) const = default; // NOLINT(modernize-use-nullptr)
};

// A worker that the platform's list showed as leaving. The revision is the list's own, which grows.
struct leaving_mark
{
    worker_id worker {};
    std::uint64_t revision = 0;
};

struct heartbeat_heard
{
    instance_ref from;
    region_id region {};
    // Grows with each heartbeat of one incarnation; late and doubled ones are passed over.
    std::uint64_t sequence = 0;
    bool stopping = false;
    // Who the sender has heard of late: without us in it, our messages do not arrive there.
    std::vector<instance_ref> heard;
    std::vector<leaving_mark> leavingWorkers;
};

struct peer_call_ended
{
    instance_id peer {};
    bool answered = false;
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

// The platform's list as read; it lags. An older revision than one seen is passed over.
struct platform_list_read
{
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
    std::vector<listed_worker> workers;
};

struct membership_tick
{ };

using membership_event =
    std::variant<heartbeat_heard, peer_call_ended, platform_list_read, membership_tick>;

enum class instance_state : std::uint8_t {
    // Listed, not heard yet.
    Unknown,
    // Heard of late, hears us, and our calls to it do not fail.
    Live,
    // Heard of late, but our messages do not arrive: alive, yet no use to forward to.
    OneWay,
    // Live, but being stopped: owns nothing new.
    Stopping,
    // Silent for suspectAfter.
    Suspect,
    // Silent, and the platform no longer lists it.
    Gone,
};

struct instance_changed
{
    instance_ref instance;
    region_id region {};
    instance_state state = instance_state::Unknown;
};

// The worker is to get nothing new from this moment; sent once per mark.
struct worker_leaving_seen
{
    worker_id worker {};
};

// A newer list shows the worker as staying.
struct worker_staying_seen
{
    worker_id worker {};
};

struct worker_gone_seen
{
    worker_id worker {};
};

using membership_action =
    std::variant<instance_changed, worker_leaving_seen, worker_staying_seen, worker_gone_seen>;

struct membership_limits
{
    duration heartbeatEvery = std::chrono::milliseconds(300);
    duration suspectAfter = std::chrono::milliseconds(1500);
    // Calls that fail in a row before a peer that we hear counts as cut one way.
    std::uint32_t failedCalls = 3;
};

} // namespace plantaingap

#endif
