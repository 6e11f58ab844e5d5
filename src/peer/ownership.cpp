#include "peer/ownership.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::peer {

namespace {

bool contains(const std::vector<instance_ref> &refs, const instance_ref &ref)
{
    return std::ranges::find(refs, ref) != refs.end();
}

void addOnce(std::vector<instance_ref> &refs, const instance_ref &ref)
{
    if (!contains(refs, ref))
        refs.push_back(ref);
}

// Records since when the condition has held; resets when it does not hold.
void trackSince(std::optional<time_point> &since, bool holds, time_point now)
{
    if (!holds)
        since.reset();
    else if (!since)
        since = now;
}

} // namespace

group_ownership::group_ownership(const instance_ref &self, const ownership_limits &limits)
    : m_self(self)
    , m_limits(limits)
{ }

void group_ownership::step(const ownership_event &event, time_point now,
                           std::vector<ownership_action> &actions)
{
    // Checked before the event: the process may have been paused for longer than the grace period.
    if (m_authority && storeGraceExpired(now) && !mutated("ownership.skip_store_grace"))
        loseAuthority(actions);
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
    PLANTAINGAP_INVARIANT(!m_authority || *m_authority >= m_highestEpoch,
                          "ownership.acts_below_heard");
}

bool group_ownership::storeUnavailable(time_point now) const
{
    return m_readsFailingSince && now - *m_readsFailingSince >= m_limits.storeUnavailableAfter;
}

void group_ownership::on(const candidates_changed &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    m_candidates = event.ranked;
    decide(now, actions);
}

void group_ownership::on(const row_read &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    m_readsFailingSince.reset();
    const bool older = m_readAt && event.sentAt < *m_readAt;
    const bool lowerGeneration = m_row && (!event.row || event.row->generation < m_row->generation);
    if ((older || lowerGeneration) && !mutated("ownership.skip_read_order"))
        return;
    if (m_pending)
        resolvePendingWrite(event, actions);
    if (event.row)
        updateRow(*event.row, event.sentAt, now, actions);
    else
        m_readAt = event.sentAt;
    decide(now, actions);
}

void group_ownership::on(const row_read_failed & /*event*/, time_point now,
                         std::vector<ownership_action> &actions)
{
    if (!m_readsFailingSince)
        m_readsFailingSince = now;
    decide(now, actions);
}

void group_ownership::on(const row_written &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    const bool isOurs =
        m_pending
        && (m_pending->row.write == event.write || mutated("ownership.skip_write_identity"));
    if (!isOurs)
        return;
    const bool assumedApplied =
        event.outcome == write_outcome::Unknown && mutated("ownership.unknown_is_applied");
    if (event.outcome == write_outcome::Applied || assumedApplied) {
        const pending_write finished = *m_pending;
        m_pending.reset();
        updateRow(finished.row, finished.sentAt, now, actions);
        decide(now, actions);
        return;
    }
    if (event.outcome == write_outcome::NotSent && !m_pending->maybeApplied) {
        m_pending.reset();
        return;
    }
    // The conflict may be with an earlier copy of this same write, so the row is read to find out.
    m_pending->maybeApplied = true;
    if (event.outcome == write_outcome::Conflict)
        requestRead(now, actions);
}

void group_ownership::on(const epoch_received &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    m_highestEpoch = std::max(m_highestEpoch, event.received);
    if (m_authority && m_highestEpoch > *m_authority && !mutated("ownership.skip_heard_epoch")) {
        loseAuthority(actions);
        requestRead(now, actions);
    }
}

void group_ownership::on(const successor_idle &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    auto &[generation, askedAt] = m_successorIdleReports[event.successor];
    if (event.generation > generation)
        askedAt = event.askedAt;
    else if (event.generation == generation)
        askedAt = std::max(askedAt, event.askedAt);
    generation = std::max(generation, event.generation);
    updateExclusivity(actions);
    decide(now, actions);
}

void group_ownership::on(const handover_requested & /*event*/, time_point now,
                         std::vector<ownership_action> &actions)
{
    m_stopping = true;
    std::erase(m_candidates, m_self);
    decide(now, actions);
}

void group_ownership::on(const ownership_tick & /*event*/, time_point now,
                         std::vector<ownership_action> &actions)
{
    if (!m_lastReadRequestAt || now - *m_lastReadRequestAt >= m_limits.readInterval)
        requestRead(now, actions);
    decide(now, actions);
}

// Resolves the outcome of the pending write from the row that was read. Sending the write again is
// safe: its version is fixed, so at most one copy is ever applied.
void group_ownership::resolvePendingWrite(const row_read &read,
                                          std::vector<ownership_action> &actions)
{
    const auto &pending = m_pending->row;
    const std::uint64_t generation = read.row ? read.row->generation : 0;
    if (generation >= pending.generation) {
        m_pending.reset();
        return;
    }
    // sentAt keeps the time of the first copy, because that copy may be the one that is applied.
    if (m_pending->maybeApplied)
        actions.emplace_back(write_row {pending});
}

void group_ownership::updateRow(const group_row &row, time_point readAt, time_point now,
                                std::vector<ownership_action> &actions)
{
    // No instance can have acted under the row's generation before this time.
    if (!m_row || row.generation > m_row->generation)
        m_notWrittenBefore = row.write == m_lastWrite ? m_lastWriteAt : m_readAt;
    m_row = row;
    m_readAt = m_readAt ? std::max(*m_readAt, readAt) : readAt;
    const epoch recorded {row.generation, 0};
    m_highestEpoch = std::max(m_highestEpoch, recorded);
    if (m_authority && m_authority->generation < row.generation) {
        const bool renewed = row.owner == m_self && !m_stopping && recorded >= m_highestEpoch;
        if (renewed)
            gainAuthority(recorded, now, actions);
        else
            loseAuthority(actions);
        return;
    }
    updateExclusivity(actions);
}

void group_ownership::decide(time_point now, std::vector<ownership_action> &actions)
{
    if (!m_readAt)
        return;
    if (m_pending) {
        // Acting by rank does not depend on the outcome of the write.
        if (!m_authority && !m_stopping && storeUnavailable(now) && m_row
            && !isCandidate(m_row->owner))
            decideByRank(now, actions);
        return;
    }
    if (m_authority)
        decideAsOwner(now, actions);
    else
        decideAsNonOwner(now, actions);
}

void group_ownership::decideAsOwner(time_point now, std::vector<ownership_action> &actions)
{
    if (m_stopping) {
        // This instance keeps sending orders until the row has a new owner, or, if there is no
        // candidate, until it stops.
        if (!m_candidates.empty() && !storeUnavailable(now))
            proposeOwner(m_candidates.front(), now, actions);
        return;
    }
    if (m_authority->rank > 0) {
        // The store is reachable again: record this instance as the owner.
        if (!m_readsFailingSince)
            proposeOwner(m_self, now, actions);
        return;
    }
    const bool isOutranked = !m_candidates.empty() && m_candidates.front() != m_self;
    trackSince(m_outrankedSince, isOutranked, now);
    trackSince(m_successorsStaleSince, successorsStale(), now);
    if (m_readsFailingSince)
        return;
    if (m_outrankedSince && now - *m_outrankedSince >= m_limits.rebalanceDelay)
        proposeOwner(m_candidates.front(), now, actions);
    else if (m_successorsStaleSince && now - *m_successorsStaleSince >= m_limits.rebalanceDelay)
        proposeOwner(m_self, now, actions);
}

void group_ownership::decideAsNonOwner(time_point now, std::vector<ownership_action> &actions)
{
    const bool isOwner = m_row && m_row->owner == m_self;
    if (m_stopping) {
        if (isOwner && !m_candidates.empty() && !m_readsFailingSince)
            proposeOwner(m_candidates.front(), now, actions);
        return;
    }
    if (isOwner) {
        const epoch recorded {m_row->generation, 0};
        if (recorded >= m_highestEpoch && !storeGraceExpired(now))
            gainAuthority(recorded, now, actions);
        else if (!m_readsFailingSince)
            proposeOwner(m_self, now, actions);
        return;
    }
    trackSince(m_ownerMissingSince, !m_row || !isCandidate(m_row->owner), now);
    if (!m_ownerMissingSince)
        return;
    if (storeUnavailable(now)) {
        decideByRank(now, actions);
        return;
    }
    const auto position = std::ranges::find(m_candidates, m_self) - m_candidates.begin();
    const bool isOurTurn = now - *m_ownerMissingSince >= position * m_limits.takeoverStagger;
    if (isCandidate(m_self) && isOurTurn && !m_readsFailingSince)
        proposeOwner(m_self, now, actions);
}

void group_ownership::decideByRank(time_point now, std::vector<ownership_action> &actions)
{
    if (!m_row || storeGraceExpired(now))
        return;
    const auto &successors = m_row->successors;
    const auto found = std::ranges::find(successors, m_self);
    if (found == successors.end())
        return;
    // A live successor of a lower rank takes precedence. It has the same information, so if
    // it does not act it has a reason, such as a higher epoch.
    if (std::any_of(successors.begin(), found, [&](const auto &ref) { return isCandidate(ref); }))
        return;
    const auto rank = static_cast<std::uint32_t>(found - successors.begin()) + 1;
    const epoch ranked {m_row->generation, rank};
    if (ranked >= m_highestEpoch)
        gainAuthority(ranked, now, actions);
}

void group_ownership::proposeOwner(const instance_ref &owner, time_point now,
                                   std::vector<ownership_action> &actions)
{
    group_row row;
    row.generation = (m_row ? m_row->generation : 0) + 1;
    row.owner = owner;
    row.successors = successorsFor(owner);
    row.previousOwners = previousOwnersFor(owner, now);
    row.write = {m_self, ++m_lastWriteSequence};
    PLANTAINGAP_INVARIANT(row.generation > m_highestActedEpoch.generation,
                          "ownership.generation_grows");
    m_outrankedSince.reset();
    m_successorsStaleSince.reset();
    m_pending = pending_write {row, now, false};
    m_lastWrite = row.write;
    m_lastWriteAt = now;
    actions.emplace_back(write_row {std::move(row)});
}

void group_ownership::gainAuthority(const epoch &authority, time_point now,
                                    std::vector<ownership_action> &actions)
{
    PLANTAINGAP_INVARIANT(authority >= m_highestActedEpoch, "ownership.epoch_never_falls");
    PLANTAINGAP_INVARIANT(m_row && m_row->generation == authority.generation,
                          "ownership.acts_under_its_row");
    m_authority = authority;
    m_highestActedEpoch = authority;
    m_highestEpoch = std::max(m_highestEpoch, authority);
    m_gainedAt = now;
    m_exclusiveAt = exclusiveAt(authority.rank);
    m_ownerMissingSince.reset();
    authority_gained gained {authority, m_exclusiveAt, std::nullopt, m_row->previousOwners};
    if (authority.rank == 0)
        gained.recordedAt = now;
    actions.emplace_back(std::move(gained));
}

void group_ownership::loseAuthority(std::vector<ownership_action> &actions)
{
    m_authority.reset();
    actions.emplace_back(authority_lost {});
}

void group_ownership::updateExclusivity(std::vector<ownership_action> &actions)
{
    if (!m_authority || !m_row || m_row->generation != m_authority->generation)
        return;
    const time_point latest = exclusiveAt(m_authority->rank);
    if (latest <= m_exclusiveAt)
        return;
    m_exclusiveAt = latest;
    actions.emplace_back(authority_confirmed {latest});
}

void group_ownership::requestRead(time_point now, std::vector<ownership_action> &actions)
{
    m_lastReadRequestAt = now;
    actions.emplace_back(read_row {});
}

// The latest time at which no epoch above (generation, rank) can have sent an order: the row was
// still at the generation, and each successor of a higher rank has reported that it never acted.
time_point group_ownership::exclusiveAt(std::uint32_t rank) const
{
    time_point latest = *m_readAt;
    for (std::size_t index = rank; index < m_row->successors.size(); ++index) {
        const auto found = m_successorIdleReports.find(m_row->successors[index]);
        time_point idleAt = m_notWrittenBefore.value_or(time_point::min());
        if (found != m_successorIdleReports.end() && found->second.first >= m_row->generation)
            idleAt = std::max(idleAt, found->second.second);
        if (!mutated("ownership.skip_successor_idle"))
            latest = std::min(latest, idleAt);
    }
    return latest;
}

bool group_ownership::storeGraceExpired(time_point now) const
{
    return !m_readAt || now - *m_readAt > m_limits.storeGrace;
}

bool group_ownership::isCandidate(const instance_ref &ref) const
{
    return contains(m_candidates, ref);
}

bool group_ownership::successorsStale() const
{
    if (!m_row)
        return false;
    const auto desired = successorsFor(m_self).size();
    const auto alive =
        std::ranges::count_if(m_row->successors, [&](const auto &ref) { return isCandidate(ref); });
    return static_cast<std::size_t>(alive) < desired;
}

std::vector<instance_ref> group_ownership::successorsFor(const instance_ref &owner) const
{
    std::vector<instance_ref> successors;
    for (const auto &ref : m_candidates) {
        if (ref != owner && successors.size() < m_limits.successors)
            successors.push_back(ref);
    }
    return successors;
}

// All instances under whose orders leases may still be running. The previous list is dropped once
// this owner has held the group long enough for all those leases to have expired: twice the grace
// period is longer than the grace period plus a lease.
std::vector<instance_ref> group_ownership::previousOwnersFor(const instance_ref &owner,
                                                             time_point now) const
{
    std::vector<instance_ref> previousOwners;
    if (!m_row)
        return previousOwners;
    const bool leasesExpired =
        m_authority && m_authority->rank == 0 && now - m_gainedAt > 2 * m_limits.storeGrace;
    if (!leasesExpired)
        previousOwners = m_row->previousOwners;
    addOnce(previousOwners, m_row->owner);
    for (const auto &ref : m_row->successors)
        addOnce(previousOwners, ref);
    std::erase(previousOwners, owner);
    return previousOwners;
}

} // namespace plantaingap::peer
