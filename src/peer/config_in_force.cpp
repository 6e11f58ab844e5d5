#include "peer/config_in_force.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::peer {

config_in_force::config_in_force(const instance_ref &self, const config_limits &limits)
    : m_self(self)
    , m_limits(limits)
{ }

void config_in_force::step(const config_event &event, time_point now,
                           std::vector<config_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

bool config_in_force::ready(time_point now) const
{
    if (m_version < m_target)
        return false;
    if (m_headReadAt)
        return true;
    if (!m_heardAny || m_version == 0)
        return mutated("config.ready_unasked");
    return m_expected.empty() || (m_expectedUntil && now >= *m_expectedUntil);
}

std::uint64_t config_in_force::headVersion() const
{
    return m_head.recent.empty() ? 0 : m_head.recent.back().version;
}

std::vector<config_change> config_in_force::changesAfter(std::uint64_t base) const
{
    std::vector<config_change> changes;
    for (const auto &change : m_head.recent) {
        if (change.version > base)
            changes.push_back(change);
    }
    return changes;
}

void config_in_force::on(const config_apply_requested &event, time_point now,
                         std::vector<config_action> &actions)
{
    config_change change {
        event.base + 1, event.digest, event.author, event.changed, {m_self, ++m_writes}};
    const auto refuse = [&](errc code) {
        actions.emplace_back(write_audit {{change, event.base, code}});
        const auto winners = code == errc::VersionConflict ? changesAfter(event.base)
                                                           : std::vector<config_change> {};
        actions.emplace_back(apply_ended {event.ticket, code, headVersion(), winners});
    };
    if (!m_headReadAt || m_failing)
        return refuse(errc::StoreUnavailable);
    if (m_pending)
        return refuse(errc::Overloaded);
    if (headVersion() != event.base && !mutated("config.skip_base_check"))
        return refuse(errc::VersionConflict);
    if (mutated("config.skip_base_check"))
        change.version = headVersion() + 1;
    if (now >= event.deadline)
        return refuse(errc::DeadlinePassed);
    m_pending = pending_apply {event, std::move(change), false, false};
    send(actions);
}

// May be sent any number of times: its version is fixed, so at most one copy is ever applied.
void config_in_force::send(std::vector<config_action> &actions)
{
    const auto &change = m_pending->change;
    config_head head {m_head.recent};
    head.recent.push_back(change);
    if (head.recent.size() > configHistory)
        head.recent.erase(head.recent.begin());
    actions.emplace_back(write_head {head, {change, change.version - 1, errc::Ok}});
}

void config_in_force::on(const head_read &event, time_point now,
                         std::vector<config_action> &actions)
{
    m_failing = false;
    if (m_headReadAt && event.sentAt < *m_headReadAt)
        return;
    m_headReadAt = event.sentAt;
    // A read that was on its way while our change was written shows an older head.
    const bool older = event.head && !event.head->recent.empty()
                       && event.head->recent.back().version < headVersion();
    if (event.head && !older)
        m_head = *event.head;
    if (headVersion() > 0)
        learn(headVersion(), m_head.recent.back().digest, std::nullopt, now, actions);
    settle(actions);
}

void config_in_force::on(const head_read_failed & /*event*/, time_point /*now*/,
                         std::vector<config_action> & /*actions*/)
{
    m_failing = true;
}

void config_in_force::on(const head_written &event, time_point now,
                         std::vector<config_action> &actions)
{
    if (!m_pending || m_pending->change.write != event.write)
        return;
    const bool claimed =
        event.outcome == write_outcome::Unknown && mutated("config.unknown_is_applied");
    if (event.outcome == write_outcome::Applied || claimed) {
        const config_change change = m_pending->change;
        // The next change may come before the next read of the head.
        if (headVersion() + 1 == change.version)
            m_head.recent.push_back(change);
        end(errc::Ok, actions);
        learn(change.version, change.digest, std::nullopt, now, actions);
        return;
    }
    if (event.outcome == write_outcome::NotSent && !m_pending->mayHaveArrived) {
        end(errc::StoreUnavailable, actions);
        return;
    }
    // A conflict may be our own earlier copy of this write: only reading settles it.
    m_pending->mayHaveArrived = true;
    if (event.outcome == write_outcome::Conflict && mutated("config.conflict_is_lost")) {
        end(errc::VersionConflict, actions);
        return;
    }
    m_askedAt = now;
    actions.emplace_back(read_head {});
}

void config_in_force::settle(std::vector<config_action> &actions)
{
    if (!m_pending)
        return;
    const config_change &ours = m_pending->change;
    if (headVersion() < ours.version) {
        if (m_pending->mayHaveArrived)
            send(actions);
        return;
    }
    const auto found = std::ranges::find(m_head.recent, ours.version, &config_change::version);
    if (found == m_head.recent.end())
        end(errc::OutcomeUnknown, actions);
    else
        end(found->write == ours.write ? errc::Ok : errc::VersionConflict, actions);
}

void config_in_force::end(errc outcome, std::vector<config_action> &actions)
{
    const pending_apply done = *m_pending;
    m_pending.reset();
    if (outcome != errc::Ok)
        actions.emplace_back(write_audit {{done.change, done.request.base, outcome}});
    if (done.told)
        return;
    const auto winners = outcome == errc::VersionConflict ? changesAfter(done.request.base)
                                                          : std::vector<config_change> {};
    actions.emplace_back(apply_ended {done.request.ticket, outcome, done.change.version, winners});
}

void config_in_force::on(const config_peers_expected &event, time_point /*now*/,
                         std::vector<config_action> & /*actions*/)
{
    m_expected = {event.peers.begin(), event.peers.end()};
    m_expected.erase(m_self.instance);
    m_expectedUntil = event.until;
}

void config_in_force::on(const config_version_heard &event, time_point now,
                         std::vector<config_action> &actions)
{
    m_expected.erase(event.from);
    if (event.version == 0)
        return;
    m_heardAny = true;
    learn(event.version, event.digest, event.from, now, actions);
}

void config_in_force::learn(std::uint64_t version, const std::string &digest,
                            std::optional<instance_id> from, time_point now,
                            std::vector<config_action> &actions)
{
    if (version == m_target)
        PLANTAINGAP_INVARIANT(digest == m_targetDigest, "config.one_set_per_version");
    if (version <= m_target && !mutated("config.skip_version_check"))
        return;
    m_target = version;
    m_targetDigest = digest;
    m_source = from;
    if (version != m_version)
        fetch(now, actions);
}

void config_in_force::fetch(time_point now, std::vector<config_action> &actions)
{
    m_fetching = true;
    m_fetchAt = now;
    actions.emplace_back(fetch_config {m_source, m_version, m_target, m_targetDigest});
}

void config_in_force::on(const config_fetched &event, time_point /*now*/,
                         std::vector<config_action> &actions)
{
    // A late answer to an earlier fetch is older than what is in force or wanted by now.
    const bool wanted = event.version == m_target && event.digest == m_targetDigest;
    const bool newer = event.version > m_version;
    if ((!wanted || !newer) && !mutated("config.skip_fetch_check"))
        return;
    PLANTAINGAP_INVARIANT(event.version >= m_version, "config.never_reverts");
    m_fetching = false;
    m_version = event.version;
    m_digest = event.digest;
    actions.emplace_back(put_in_force {m_version, m_digest});
}

void config_in_force::on(const config_fetch_failed & /*event*/, time_point now,
                         std::vector<config_action> & /*actions*/)
{
    // The store is asked next; a peer names itself again with its next heartbeat.
    m_source.reset();
    m_fetchAt = now;
}

void config_in_force::on(const config_tick & /*event*/, time_point now,
                         std::vector<config_action> &actions)
{
    if (!m_askedAt || now - *m_askedAt >= m_limits.readEvery) {
        m_askedAt = now;
        actions.emplace_back(read_head {});
    }
    if (m_version < m_target && (!m_fetchAt || now - *m_fetchAt >= m_limits.fetchRetry))
        fetch(now, actions);
    if (m_pending && !m_pending->told && now >= m_pending->request.deadline) {
        m_pending->told = true;
        const auto &request = m_pending->request;
        actions.emplace_back(
            apply_ended {request.ticket, errc::OutcomeUnknown, m_pending->change.version, {}});
    }
}

} // namespace plantaingap::peer
