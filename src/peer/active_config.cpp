#include "peer/active_config.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::peer {

active_config::active_config(const instance_ref &self, const config_limits &limits)
    : m_self(self)
    , m_limits(limits)
{ }

void active_config::step(const config_event &event, time_point now,
                         std::vector<config_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

bool active_config::ready(time_point now) const
{
    if (m_version < m_target)
        return false;
    if (m_headReadAt)
        return true;
    if (!m_versionReceived || m_version == 0)
        return mutated("config.ready_unasked");
    return m_awaitedPeers.empty() || (m_peerWaitDeadline && now >= *m_peerWaitDeadline);
}

std::uint64_t active_config::headVersion() const
{
    return m_head.recent.empty() ? 0 : m_head.recent.back().version;
}

std::vector<config_change> active_config::changesAfter(std::uint64_t base) const
{
    std::vector<config_change> changes;
    for (const auto &change : m_head.recent) {
        if (change.version > base)
            changes.push_back(change);
    }
    return changes;
}

void active_config::on(const config_apply_requested &event, time_point now,
                       std::vector<config_action> &actions)
{
    config_change change {event.baseVersion + 1,
                          event.digest,
                          event.author,
                          event.changed,
                          {m_self, ++m_lastWriteSequence}};
    const auto reject = [&](errc code) {
        actions.emplace_back(write_audit {{change, event.baseVersion, code}});
        const auto conflictingChanges = code == errc::VersionConflict
                                            ? changesAfter(event.baseVersion)
                                            : std::vector<config_change> {};
        actions.emplace_back(
            apply_finished {event.ticket, code, headVersion(), conflictingChanges});
    };
    if (!m_headReadAt || m_lastReadFailed)
        return reject(errc::StoreUnavailable);
    if (m_pending)
        return reject(errc::Overloaded);
    if (headVersion() != event.baseVersion && !mutated("config.skip_base_check"))
        return reject(errc::VersionConflict);
    if (mutated("config.skip_base_check"))
        change.version = headVersion() + 1;
    if (now >= event.deadline)
        return reject(errc::DeadlinePassed);
    m_pending = pending_apply {event, std::move(change), false, false};
    sendHeadWrite(actions);
}

// Safe to send repeatedly: the version of the write is fixed, so at most one copy is ever applied.
void active_config::sendHeadWrite(std::vector<config_action> &actions)
{
    const auto &change = m_pending->change;
    config_head head {m_head.recent};
    head.recent.push_back(change);
    if (head.recent.size() > configHistory)
        head.recent.erase(head.recent.begin());
    actions.emplace_back(write_head {head, {change, change.version - 1, errc::Ok}});
}

void active_config::on(const head_read &event, time_point now, std::vector<config_action> &actions)
{
    m_lastReadFailed = false;
    if (m_headReadAt && event.sentAt < *m_headReadAt)
        return;
    m_headReadAt = event.sentAt;
    // A read that was in flight while the change of this instance was written returns an older
    // head.
    const bool older = event.head && !event.head->recent.empty()
                       && event.head->recent.back().version < headVersion();
    if (event.head && !older)
        m_head = *event.head;
    if (headVersion() > 0)
        updateTarget(headVersion(), m_head.recent.back().digest, std::nullopt, now, actions);
    resolvePendingApply(actions);
}

void active_config::on(const head_read_failed & /*event*/, time_point /*now*/,
                       std::vector<config_action> & /*actions*/)
{
    m_lastReadFailed = true;
}

void active_config::on(const head_written &event, time_point now,
                       std::vector<config_action> &actions)
{
    if (!m_pending || m_pending->change.write != event.write)
        return;
    const bool assumedApplied =
        event.outcome == write_outcome::Unknown && mutated("config.unknown_is_applied");
    if (event.outcome == write_outcome::Applied || assumedApplied) {
        const config_change change = m_pending->change;
        // The next change may come before the next read of the head.
        if (headVersion() + 1 == change.version)
            m_head.recent.push_back(change);
        finishApply(errc::Ok, actions);
        updateTarget(change.version, change.digest, std::nullopt, now, actions);
        return;
    }
    if (event.outcome == write_outcome::NotSent && !m_pending->maybeApplied) {
        finishApply(errc::StoreUnavailable, actions);
        return;
    }
    // The conflict may be with an earlier copy of this same write, so the head is read to find out.
    m_pending->maybeApplied = true;
    if (event.outcome == write_outcome::Conflict && mutated("config.conflict_is_lost")) {
        finishApply(errc::VersionConflict, actions);
        return;
    }
    m_lastReadRequestAt = now;
    actions.emplace_back(read_head {});
}

void active_config::resolvePendingApply(std::vector<config_action> &actions)
{
    if (!m_pending)
        return;
    const config_change &ours = m_pending->change;
    if (headVersion() < ours.version) {
        if (m_pending->maybeApplied)
            sendHeadWrite(actions);
        return;
    }
    const auto found = std::ranges::find(m_head.recent, ours.version, &config_change::version);
    if (found == m_head.recent.end())
        finishApply(errc::OutcomeUnknown, actions);
    else
        finishApply(found->write == ours.write ? errc::Ok : errc::VersionConflict, actions);
}

void active_config::finishApply(errc outcome, std::vector<config_action> &actions)
{
    const pending_apply finished = *m_pending;
    m_pending.reset();
    if (outcome != errc::Ok)
        actions.emplace_back(
            write_audit {{finished.change, finished.request.baseVersion, outcome}});
    if (finished.callerNotified)
        return;
    const auto conflictingChanges = outcome == errc::VersionConflict
                                        ? changesAfter(finished.request.baseVersion)
                                        : std::vector<config_change> {};
    actions.emplace_back(apply_finished {finished.request.ticket, outcome, finished.change.version,
                                         conflictingChanges});
}

void active_config::on(const config_peers_expected &event, time_point /*now*/,
                       std::vector<config_action> & /*actions*/)
{
    m_awaitedPeers = {event.peers.begin(), event.peers.end()};
    m_awaitedPeers.erase(m_self.instance);
    m_peerWaitDeadline = event.until;
}

void active_config::on(const config_version_received &event, time_point now,
                       std::vector<config_action> &actions)
{
    m_awaitedPeers.erase(event.from);
    if (event.version == 0)
        return;
    m_versionReceived = true;
    updateTarget(event.version, event.digest, event.from, now, actions);
}

void active_config::updateTarget(std::uint64_t version, const std::string &digest,
                                 std::optional<instance_id> source, time_point now,
                                 std::vector<config_action> &actions)
{
    if (version == m_target)
        PLANTAINGAP_INVARIANT(digest == m_targetDigest, "config.one_set_per_version");
    if (version <= m_target && !mutated("config.skip_version_check"))
        return;
    m_target = version;
    m_targetDigest = digest;
    m_source = source;
    if (version != m_version)
        startFetch(now, actions);
}

void active_config::startFetch(time_point now, std::vector<config_action> &actions)
{
    m_fetching = true;
    m_lastFetchAt = now;
    actions.emplace_back(fetch_config {m_source, m_version, m_target, m_targetDigest});
}

void active_config::on(const config_fetched &event, time_point /*now*/,
                       std::vector<config_action> &actions)
{
    // A late response to an earlier fetch may be older than the active or the target version.
    const bool isTarget = event.version == m_target && event.digest == m_targetDigest;
    const bool newer = event.version > m_version;
    if ((!isTarget || !newer) && !mutated("config.skip_fetch_check"))
        return;
    PLANTAINGAP_INVARIANT(event.version >= m_version, "config.never_reverts");
    m_fetching = false;
    m_version = event.version;
    m_digest = event.digest;
    actions.emplace_back(activate_config {m_version, m_digest});
}

void active_config::on(const config_fetch_failed & /*event*/, time_point now,
                       std::vector<config_action> & /*actions*/)
{
    // The next attempt goes to the store, unless a peer reports a newer version before it.
    m_source.reset();
    m_lastFetchAt = now;
}

void active_config::on(const config_tick & /*event*/, time_point now,
                       std::vector<config_action> &actions)
{
    if (!m_lastReadRequestAt || now - *m_lastReadRequestAt >= m_limits.readInterval) {
        m_lastReadRequestAt = now;
        actions.emplace_back(read_head {});
    }
    if (m_version < m_target
        && (!m_lastFetchAt || now - *m_lastFetchAt >= m_limits.fetchRetryInterval))
        startFetch(now, actions);
    if (m_pending && !m_pending->callerNotified && now >= m_pending->request.deadline) {
        m_pending->callerNotified = true;
        const auto &request = m_pending->request;
        actions.emplace_back(
            apply_finished {request.ticket, errc::OutcomeUnknown, m_pending->change.version, {}});
    }
}

} // namespace plantaingap::peer
