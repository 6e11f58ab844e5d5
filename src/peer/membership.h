#ifndef PLANTAINGAP_PEER_MEMBERSHIP_H
#define PLANTAINGAP_PEER_MEMBERSHIP_H

#include <map>
#include <plantaingap/membership.h>
#include <span>

namespace plantaingap::peer {

// Derives one state per instance from the platform's list, heartbeats and call outcomes, and
// propagates leaving marks of workers. The states are hints: taking over from a live instance by
// mistake costs a handover but not safety, because workers reject lower epochs.
class membership
{
public:
    membership(const instance_ref &self, region_id region, const membership_limits &limits);

    void step(const membership_event &event, time_point now,
              std::vector<membership_action> &actions);

    instance_state stateOf(instance_id instance) const;

    // Live instances of the region, including this one unless it is stopping, ordered by id.
    std::vector<instance_ref> candidates() const;

    // Excludes this instance from candidates().
    void markStopping() { m_stopping = true; }

    // Peers whose heartbeats arrived recently; sent in the heartbeats of this instance.
    std::vector<instance_ref> recentPeers() const;

    // Leaving marks to be propagated in the heartbeats of this instance.
    std::vector<leaving_mark> leavingWorkers() const;

private:
    struct peer_view
    {
        instance_ref ref;
        region_id region {};
        std::uint64_t sequence = 0;
        time_point lastHeartbeatAt {};
        bool heartbeatReceived = false;
        // Whether the peer reports receiving the heartbeats of this instance.
        bool receivesOurs = false;
        bool stopping = false;
        bool listed = false;
        bool listedLeaving = false;
        std::uint32_t failedCalls = 0;
        instance_state state = instance_state::Unknown;
    };

    struct worker_view
    {
        // Revisions of the platform's list.
        std::uint64_t listedRevision = 0;
        std::uint64_t leavingRevision = 0;
        bool leaving = false;
    };

    void on(const heartbeat_received &event, time_point now,
            std::vector<membership_action> &actions);
    void on(const peer_call_finished &event, time_point now,
            std::vector<membership_action> &actions);
    void on(const platform_list_read &event, time_point now,
            std::vector<membership_action> &actions);
    void on(const membership_tick &event, time_point now, std::vector<membership_action> &actions);
    void updateInstances(const platform_list_read &event);
    void updateWorkers(const platform_list_read &event, std::vector<membership_action> &actions);
    void markLeaving(const leaving_mark &mark, std::vector<membership_action> &actions);
    instance_state computeState(const peer_view &view, time_point now) const;
    void updateState(peer_view &view, time_point now, std::vector<membership_action> &actions);

    instance_ref m_self;
    region_id m_region;
    membership_limits m_limits;
    bool m_stopping = false;
    std::uint64_t m_listRevision = 0;
    std::map<instance_id, peer_view> m_peers;
    std::map<worker_id, worker_view> m_workers;
};

// Orders the live instances by preference as owner of the group. Uses rendezvous hashing, so that
// when an instance joins or leaves, only the groups that it gains or loses move.
std::vector<instance_ref> rankCandidates(group_id group, std::span<const instance_ref> live);

} // namespace plantaingap::peer

#endif
