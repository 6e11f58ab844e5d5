#include "peer/membership.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::peer {

namespace {

// The splitmix64 finalizer: every input bit affects every output bit.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

std::vector<instance_ref> rankCandidates(group_id group, std::span<const instance_ref> live)
{
    // The incarnation is not hashed, so that a restarted instance gets the same groups back.
    const auto weight = [group](const instance_ref &ref) {
        return mix(mix(number(group)) ^ number(ref.instance));
    };
    std::vector<instance_ref> ranked(live.begin(), live.end());
    std::ranges::sort(ranked, [&](const instance_ref &left, const instance_ref &right) {
        const auto leftWeight = weight(left);
        const auto rightWeight = weight(right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return ranked;
}

membership::membership(const instance_ref &self, region_id region, const membership_limits &limits)
    : m_self(self)
    , m_region(region)
    , m_limits(limits)
{ }

void membership::step(const membership_event &event, time_point now,
                      std::vector<membership_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

instance_state membership::stateOf(instance_id instance) const
{
    const auto found = m_peers.find(instance);
    return found == m_peers.end() ? instance_state::Unknown : found->second.state;
}

std::vector<instance_ref> membership::candidates() const
{
    std::vector<instance_ref> live;
    for (const auto &[id, view] : m_peers) {
        // A OneWay peer is alive and may keep the groups that it owns.
        const bool alive =
            view.state == instance_state::Live || view.state == instance_state::OneWay;
        if (alive && view.region == m_region)
            live.push_back(view.ref);
    }
    if (!m_stopping)
        live.push_back(m_self);
    std::ranges::sort(live);
    return live;
}

std::vector<instance_ref> membership::recentPeers() const
{
    std::vector<instance_ref> refs;
    for (const auto &[id, view] : m_peers) {
        if (view.state != instance_state::Unknown && view.state != instance_state::Suspect
            && view.state != instance_state::Gone)
            refs.push_back(view.ref);
    }
    return refs;
}

std::vector<leaving_mark> membership::leavingWorkers() const
{
    std::vector<leaving_mark> marks;
    for (const auto &[worker, view] : m_workers) {
        if (view.leaving)
            marks.push_back({worker, view.leavingRevision});
    }
    return marks;
}

void membership::on(const heartbeat_received &event, time_point now,
                    std::vector<membership_action> &actions)
{
    // Marks are merged by revision, so those of a late heartbeat still count.
    for (const auto &mark : event.leavingWorkers)
        markLeaving(mark, actions);
    if (event.from.instance == m_self.instance)
        return;
    auto &view = m_peers[event.from.instance];
    const bool isPreviousIncarnation = event.from.incarnation < view.ref.incarnation;
    const bool outdated =
        event.from.incarnation == view.ref.incarnation && event.sequence <= view.sequence;
    if (view.heartbeatReceived && (isPreviousIncarnation || outdated)
        && !mutated("membership.skip_sequence"))
        return;
    if (view.ref.incarnation != event.from.incarnation) {
        // The instance restarted at the same address: what is known of its previous incarnation no
        // longer applies.
        view.state = instance_state::Unknown;
        view.failedCalls = 0;
    }
    view.ref = event.from;
    view.region = event.region;
    view.sequence = event.sequence;
    view.lastHeartbeatAt = now;
    view.heartbeatReceived = true;
    view.stopping = event.stopping;
    view.receivesOurs = std::ranges::find(event.recentPeers, m_self) != event.recentPeers.end();
    updateState(view, now, actions);
}

void membership::on(const peer_call_finished &event, time_point now,
                    std::vector<membership_action> &actions)
{
    const auto found = m_peers.find(event.peer);
    if (found == m_peers.end())
        return;
    auto &view = found->second;
    view.failedCalls = event.responded ? 0 : view.failedCalls + 1;
    updateState(view, now, actions);
}

void membership::on(const platform_list_read &event, time_point now,
                    std::vector<membership_action> &actions)
{
    if (event.revision < m_listRevision && !mutated("membership.skip_list_revision"))
        return;
    m_listRevision = event.revision;
    updateInstances(event);
    for (auto &[id, view] : m_peers)
        updateState(view, now, actions);
    updateWorkers(event, actions);
}

void membership::updateInstances(const platform_list_read &event)
{
    for (auto &[id, view] : m_peers)
        view.listed = false;
    for (const auto &entry : event.instances) {
        if (entry.instance == m_self.instance)
            continue;
        auto &view = m_peers[entry.instance];
        view.ref.instance = entry.instance;
        view.listed = true;
        view.listedLeaving = entry.leaving;
    }
}

void membership::updateWorkers(const platform_list_read &event,
                               std::vector<membership_action> &actions)
{
    for (const auto &entry : event.workers) {
        auto &view = m_workers[entry.worker];
        view.listedRevision = event.revision;
        if (entry.leaving) {
            markLeaving({entry.worker, event.revision}, actions);
        } else if (view.leaving && event.revision > view.leavingRevision) {
            view.leaving = false;
            actions.emplace_back(worker_staying_detected {entry.worker});
        }
    }
    std::erase_if(m_workers, [&](const auto &entry) {
        const bool gone = entry.second.listedRevision < event.revision
                          && entry.second.leavingRevision <= event.revision;
        if (gone)
            actions.emplace_back(worker_gone_detected {entry.first});
        return gone;
    });
}

void membership::markLeaving(const leaving_mark &mark, std::vector<membership_action> &actions)
{
    auto &view = m_workers[mark.worker];
    // A list newer than the mark showed that the worker is not leaving.
    if (!view.leaving && view.listedRevision > mark.revision)
        return;
    view.leavingRevision = std::max(view.leavingRevision, mark.revision);
    if (view.leaving)
        return;
    view.leaving = true;
    actions.emplace_back(worker_leaving_detected {mark.worker});
}

void membership::on(const membership_tick & /*event*/, time_point now,
                    std::vector<membership_action> &actions)
{
    for (auto &[id, view] : m_peers)
        updateState(view, now, actions);
}

instance_state membership::computeState(const peer_view &view, time_point now) const
{
    if (!view.heartbeatReceived)
        return instance_state::Unknown;
    if (now - view.lastHeartbeatAt > m_limits.suspectAfter)
        return view.listed ? instance_state::Suspect : instance_state::Gone;
    if (view.stopping || view.listedLeaving)
        return instance_state::Stopping;
    const bool reachable = view.receivesOurs && view.failedCalls < m_limits.maxFailedCalls;
    return reachable ? instance_state::Live : instance_state::OneWay;
}

void membership::updateState(peer_view &view, time_point now,
                             std::vector<membership_action> &actions)
{
    const auto state = computeState(view, now);
    if (state == view.state)
        return;
    view.state = state;
    actions.emplace_back(instance_changed {view.ref, view.region, state});
}

} // namespace plantaingap::peer
