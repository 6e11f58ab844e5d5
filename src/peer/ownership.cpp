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

// Starts the wait when the condition begins to hold, ends it when it ceases.
void track(std::optional<time_point> &since, bool holds, time_point now)
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
    // First of all: a pause may have outlived the authority.
    if (m_authority && graceOver(now) && !mutated("ownership.skip_store_grace"))
        lose(actions);
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
    PLANTAINGAP_INVARIANT(!m_authority || *m_authority >= m_heard, "ownership.acts_below_heard");
}

bool group_ownership::storeAway(time_point now) const
{
    return m_failingSince && now - *m_failingSince >= m_limits.storeAwayAfter;
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
    m_failingSince.reset();
    const bool older = m_readAt && event.sentAt < *m_readAt;
    const bool lower = m_row && (!event.row || event.row->generation < m_row->generation);
    if ((older || lower) && !mutated("ownership.skip_read_order"))
        return;
    if (m_pending)
        settle(event, actions);
    if (event.row)
        adopt(*event.row, event.sentAt, now, actions);
    else
        m_readAt = event.sentAt;
    decide(now, actions);
}

void group_ownership::on(const row_read_failed & /*event*/, time_point now,
                         std::vector<ownership_action> &actions)
{
    if (!m_failingSince)
        m_failingSince = now;
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
    const bool claimed =
        event.outcome == write_outcome::Unknown && mutated("ownership.unknown_is_applied");
    if (event.outcome == write_outcome::Applied || claimed) {
        const pending_write done = *m_pending;
        m_pending.reset();
        adopt(done.row, done.sentAt, now, actions);
        decide(now, actions);
        return;
    }
    if (event.outcome == write_outcome::NotSent && !m_pending->mayHaveArrived) {
        m_pending.reset();
        return;
    }
    // A conflict may be our own earlier copy of this write: only reading settles it.
    m_pending->mayHaveArrived = true;
    if (event.outcome == write_outcome::Conflict)
        readNow(now, actions);
}

void group_ownership::on(const epoch_heard &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    m_heard = std::max(m_heard, event.seen);
    if (m_authority && m_heard > *m_authority && !mutated("ownership.skip_heard_epoch")) {
        lose(actions);
        readNow(now, actions);
    }
}

void group_ownership::on(const successor_idle &event, time_point now,
                         std::vector<ownership_action> &actions)
{
    auto &[generation, askedAt] = m_idle[event.successor];
    if (event.generation > generation)
        askedAt = event.askedAt;
    else if (event.generation == generation)
        askedAt = std::max(askedAt, event.askedAt);
    generation = std::max(generation, event.generation);
    confirm(actions);
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
    if (!m_askedAt || now - *m_askedAt >= m_limits.readEvery)
        readNow(now, actions);
    decide(now, actions);
}

// Tells what became of our write from the row as read. The same write may be sent again without
// harm: its version is fixed, so at most one copy is ever applied.
void group_ownership::settle(const row_read &read, std::vector<ownership_action> &actions)
{
    const auto &wanted = m_pending->row;
    const std::uint64_t generation = read.row ? read.row->generation : 0;
    if (generation >= wanted.generation) {
        m_pending.reset();
        return;
    }
    // The time of the first sending stays: that copy may be the one that is applied.
    if (m_pending->mayHaveArrived)
        actions.emplace_back(write_row {wanted});
}

void group_ownership::adopt(const group_row &row, time_point readAt, time_point now,
                            std::vector<ownership_action> &actions)
{
    // Before the time taken here nobody can have acted under the row's generation.
    if (!m_row || row.generation > m_row->generation)
        m_bornAfter = row.write == m_lastWrite ? m_lastWriteAt : m_readAt;
    m_row = row;
    m_readAt = m_readAt ? std::max(*m_readAt, readAt) : readAt;
    const epoch recorded {row.generation, 0};
    m_heard = std::max(m_heard, recorded);
    if (m_authority && m_authority->generation < row.generation) {
        const bool renewed = row.owner == m_self && !m_stopping && recorded >= m_heard;
        if (renewed)
            gain(recorded, now, actions);
        else
            lose(actions);
        return;
    }
    confirm(actions);
}

void group_ownership::decide(time_point now, std::vector<ownership_action> &actions)
{
    if (!m_readAt)
        return;
    if (m_pending) {
        // Acting by rank needs no answer from the store.
        if (!m_authority && !m_stopping && storeAway(now) && m_row && !isCandidate(m_row->owner))
            decideByRank(now, actions);
        return;
    }
    if (m_authority)
        decideAsOwner(now, actions);
    else
        decideAsWatcher(now, actions);
}

void group_ownership::decideAsOwner(time_point now, std::vector<ownership_action> &actions)
{
    if (m_stopping) {
        // Orders go on until the row names the next owner; with nobody to name they go on to the
        // end.
        if (!m_candidates.empty() && !storeAway(now))
            propose(m_candidates.front(), now, actions);
        return;
    }
    if (m_authority->rank > 0) {
        // The store answers again: what was done by rank is put on record.
        if (!m_failingSince)
            propose(m_self, now, actions);
        return;
    }
    const bool better = !m_candidates.empty() && m_candidates.front() != m_self;
    track(m_betterSince, better, now);
    track(m_successorsStaleSince, successorsStale(), now);
    if (m_failingSince)
        return;
    if (m_betterSince && now - *m_betterSince >= m_limits.balanceAfter)
        propose(m_candidates.front(), now, actions);
    else if (m_successorsStaleSince && now - *m_successorsStaleSince >= m_limits.balanceAfter)
        propose(m_self, now, actions);
}

void group_ownership::decideAsWatcher(time_point now, std::vector<ownership_action> &actions)
{
    const bool ours = m_row && m_row->owner == m_self;
    if (m_stopping) {
        if (ours && !m_candidates.empty() && !m_failingSince)
            propose(m_candidates.front(), now, actions);
        return;
    }
    if (ours) {
        const epoch recorded {m_row->generation, 0};
        if (recorded >= m_heard && !graceOver(now))
            gain(recorded, now, actions);
        else if (!m_failingSince)
            propose(m_self, now, actions);
        return;
    }
    track(m_ownerMissingSince, !m_row || !isCandidate(m_row->owner), now);
    if (!m_ownerMissingSince)
        return;
    if (storeAway(now)) {
        decideByRank(now, actions);
        return;
    }
    const auto place = std::ranges::find(m_candidates, m_self) - m_candidates.begin();
    const bool isOurTurn = now - *m_ownerMissingSince >= place * m_limits.stagger;
    if (isCandidate(m_self) && isOurTurn && !m_failingSince)
        propose(m_self, now, actions);
}

void group_ownership::decideByRank(time_point now, std::vector<ownership_action> &actions)
{
    if (!m_row || graceOver(now))
        return;
    const auto &successors = m_row->successors;
    const auto found = std::ranges::find(successors, m_self);
    if (found == successors.end())
        return;
    // Whoever stands before us and is alive sees what we see; it acts, or knows better.
    if (std::any_of(successors.begin(), found, [&](const auto &ref) { return isCandidate(ref); }))
        return;
    const auto rank = static_cast<std::uint32_t>(found - successors.begin()) + 1;
    const epoch ranked {m_row->generation, rank};
    if (ranked >= m_heard)
        gain(ranked, now, actions);
}

void group_ownership::propose(const instance_ref &owner, time_point now,
                              std::vector<ownership_action> &actions)
{
    group_row row;
    row.generation = (m_row ? m_row->generation : 0) + 1;
    row.owner = owner;
    row.successors = successorsFor(owner);
    row.formers = formersFor(owner, now);
    row.write = {m_self, ++m_writes};
    PLANTAINGAP_INVARIANT(row.generation > m_acted.generation, "ownership.generation_grows");
    m_betterSince.reset();
    m_successorsStaleSince.reset();
    m_pending = pending_write {row, now, false};
    m_lastWrite = row.write;
    m_lastWriteAt = now;
    actions.emplace_back(write_row {std::move(row)});
}

void group_ownership::gain(const epoch &authority, time_point now,
                           std::vector<ownership_action> &actions)
{
    PLANTAINGAP_INVARIANT(authority >= m_acted, "ownership.epoch_never_falls");
    PLANTAINGAP_INVARIANT(m_row && m_row->generation == authority.generation,
                          "ownership.acts_under_its_row");
    m_authority = authority;
    m_acted = authority;
    m_heard = std::max(m_heard, authority);
    m_gainedAt = now;
    m_exclusiveAt = exclusiveAt(authority.rank);
    m_ownerMissingSince.reset();
    authority_gained gained {authority, m_exclusiveAt, std::nullopt, m_row->formers};
    if (authority.rank == 0)
        gained.recordedAt = now;
    actions.emplace_back(std::move(gained));
}

void group_ownership::lose(std::vector<ownership_action> &actions)
{
    m_authority.reset();
    actions.emplace_back(authority_lost {});
}

void group_ownership::confirm(std::vector<ownership_action> &actions)
{
    if (!m_authority || !m_row || m_row->generation != m_authority->generation)
        return;
    const time_point latest = exclusiveAt(m_authority->rank);
    if (latest <= m_exclusiveAt)
        return;
    m_exclusiveAt = latest;
    actions.emplace_back(authority_confirmed {latest});
}

void group_ownership::readNow(time_point now, std::vector<ownership_action> &actions)
{
    m_askedAt = now;
    actions.emplace_back(read_row {});
}

// The latest time at which no epoch above (generation, rank) had given an order: the row was still
// at the generation, and each successor of a higher rank has said since that it never acted.
time_point group_ownership::exclusiveAt(std::uint32_t rank) const
{
    time_point latest = *m_readAt;
    for (std::size_t index = rank; index < m_row->successors.size(); ++index) {
        const auto found = m_idle.find(m_row->successors[index]);
        time_point idleAt = m_bornAfter.value_or(time_point::min());
        if (found != m_idle.end() && found->second.first >= m_row->generation)
            idleAt = std::max(idleAt, found->second.second);
        if (!mutated("ownership.skip_successor_idle"))
            latest = std::min(latest, idleAt);
    }
    return latest;
}

bool group_ownership::graceOver(time_point now) const
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
    const auto wanted = successorsFor(m_self).size();
    const auto alive =
        std::ranges::count_if(m_row->successors, [&](const auto &ref) { return isCandidate(ref); });
    return static_cast<std::size_t>(alive) < wanted;
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

// Everybody who may have given orders whose leases still run. Forgotten once this owner has held
// the group for so long that all of them have lapsed: twice the grace is more than grace and lease.
std::vector<instance_ref> group_ownership::formersFor(const instance_ref &owner,
                                                      time_point now) const
{
    std::vector<instance_ref> formers;
    if (!m_row)
        return formers;
    const bool settled =
        m_authority && m_authority->rank == 0 && now - m_gainedAt > 2 * m_limits.storeGrace;
    if (!settled)
        formers = m_row->formers;
    addOnce(formers, m_row->owner);
    for (const auto &ref : m_row->successors)
        addOnce(formers, ref);
    std::erase(formers, owner);
    return formers;
}

} // namespace plantaingap::peer
