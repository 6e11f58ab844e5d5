#ifndef PLANTAINGAP_PEER_MEMBERSHIP_H
#define PLANTAINGAP_PEER_MEMBERSHIP_H

#include <map>
#include <plantaingap/membership.h>
#include <span>

namespace plantaingap::peer {

// Joins the platform's list, heartbeats and call outcomes into one state per instance, and passes
// leaving marks of workers on. It only ever informs: taking over from a live instance by mistake
// costs a handover, never safety, because workers refuse lower epochs.
class membership
{
public:
    membership(const instance_ref &self, region_id region, const membership_limits &limits);

    void step(const membership_event &event, time_point now,
              std::vector<membership_action> &actions);

    instance_state stateOf(instance_id instance) const;

    // Live instances of the region with this one unless it is stopping, in order of their ids.
    std::vector<instance_ref> candidates() const;

    // Takes this instance out of the candidates that it names itself.
    void stop() { m_stopping = true; }

    // Whom we have heard of late; goes into our heartbeats.
    std::vector<instance_ref> heard() const;

    // Marks to be passed on in our heartbeats.
    std::vector<leaving_mark> leavingWorkers() const;

private:
    struct peer_view
    {
        instance_ref ref;
        region_id region {};
        std::uint64_t sequence = 0;
        time_point heardAt {};
        bool everHeard = false;
        bool hearsUs = false;
        bool stopping = false;
        bool listed = false;
        bool listedLeaving = false;
        std::uint32_t failedCalls = 0;
        instance_state state = instance_state::Unknown;
    };

    struct worker_view
    {
        std::uint64_t listedAt = 0;
        std::uint64_t leavingAt = 0;
        bool leaving = false;
    };

    void on(const heartbeat_heard &event, time_point now, std::vector<membership_action> &actions);
    void on(const peer_call_ended &event, time_point now, std::vector<membership_action> &actions);
    void on(const platform_list_read &event, time_point now,
            std::vector<membership_action> &actions);
    void on(const membership_tick &event, time_point now, std::vector<membership_action> &actions);
    void listInstances(const platform_list_read &event);
    void listWorkers(const platform_list_read &event, std::vector<membership_action> &actions);
    void markLeaving(const leaving_mark &mark, std::vector<membership_action> &actions);
    instance_state judge(const peer_view &view, time_point now) const;
    void review(peer_view &view, time_point now, std::vector<membership_action> &actions);

    instance_ref m_self;
    region_id m_region;
    membership_limits m_limits;
    bool m_stopping = false;
    std::uint64_t m_listRevision = 0;
    std::map<instance_id, peer_view> m_peers;
    std::map<worker_id, worker_view> m_workers;
};

// The live instances in the order in which they are to own the group: rendezvous hashing, so that
// an instance that comes or goes moves only the groups that it gains or loses.
std::vector<instance_ref> rankCandidates(group_id group, std::span<const instance_ref> live);

} // namespace plantaingap::peer

#endif
