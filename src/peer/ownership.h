#ifndef PLANTAINGAP_PEER_OWNERSHIP_H
#define PLANTAINGAP_PEER_OWNERSHIP_H

#include <map>
#include <plantaingap/ownership.h>

namespace plantaingap::peer {

// Ownership of one group from the view of one instance: monitors the group's row, takes over when
// the owner is missing, acts by rank while the store is unavailable, and steps down when it
// receives a higher epoch. The driver contract is in include/plantaingap/ownership.h.
class group_ownership
{
public:
    group_ownership(const instance_ref &self, const ownership_limits &limits);

    void step(const ownership_event &event, time_point now, std::vector<ownership_action> &actions);

    // The epoch under which this instance may send orders; empty if it may not.
    const std::optional<epoch> &authority() const { return m_authority; }

    // The highest epoch under which this instance ever acted; sent in its heartbeat replies.
    epoch highestActedEpoch() const { return m_highestActedEpoch; }

    // The highest epoch that this instance knows of.
    epoch highestEpoch() const { return m_highestEpoch; }

    // The row as last read.
    const std::optional<group_row> &row() const { return m_row; }

    // True while reads of the row have failed for storeUnavailableAfter.
    bool storeUnavailable(time_point now) const;

private:
    // A write of the row whose outcome is not known yet.
    struct pending_write
    {
        group_row row;
        time_point sentAt {};
        // Whether a copy of the write may have been applied.
        bool maybeApplied = false;
    };

    void on(const candidates_changed &event, time_point now,
            std::vector<ownership_action> &actions);
    void on(const row_read &event, time_point now, std::vector<ownership_action> &actions);
    void on(const row_read_failed &event, time_point now, std::vector<ownership_action> &actions);
    void on(const row_written &event, time_point now, std::vector<ownership_action> &actions);
    void on(const epoch_received &event, time_point now, std::vector<ownership_action> &actions);
    void on(const successor_idle &event, time_point now, std::vector<ownership_action> &actions);
    void on(const handover_requested &event, time_point now,
            std::vector<ownership_action> &actions);
    void on(const ownership_tick &event, time_point now, std::vector<ownership_action> &actions);

    void resolvePendingWrite(const row_read &read, std::vector<ownership_action> &actions);
    void updateRow(const group_row &row, time_point readAt, time_point now,
                   std::vector<ownership_action> &actions);
    void decide(time_point now, std::vector<ownership_action> &actions);
    void decideAsOwner(time_point now, std::vector<ownership_action> &actions);
    void decideAsNonOwner(time_point now, std::vector<ownership_action> &actions);
    void decideByRank(time_point now, std::vector<ownership_action> &actions);
    void proposeOwner(const instance_ref &owner, time_point now,
                      std::vector<ownership_action> &actions);
    void gainAuthority(const epoch &authority, time_point now,
                       std::vector<ownership_action> &actions);
    void loseAuthority(std::vector<ownership_action> &actions);
    void updateExclusivity(std::vector<ownership_action> &actions);
    void requestRead(time_point now, std::vector<ownership_action> &actions);

    time_point exclusiveAt(std::uint32_t rank) const;
    bool storeGraceExpired(time_point now) const;
    bool isCandidate(const instance_ref &ref) const;
    bool successorsStale() const;
    std::vector<instance_ref> successorsFor(const instance_ref &owner) const;
    std::vector<instance_ref> previousOwnersFor(const instance_ref &owner, time_point now) const;

    instance_ref m_self;
    ownership_limits m_limits;
    std::vector<instance_ref> m_candidates;
    std::optional<group_row> m_row;
    // When the last successful read or write of the row was sent; empty before the first.
    std::optional<time_point> m_readAt;
    // A time at which the row's generation had certainly not been written yet.
    std::optional<time_point> m_notWrittenBefore;
    write_id m_lastWrite;
    std::optional<time_point> m_lastWriteAt;
    std::optional<time_point> m_lastReadRequestAt;
    std::optional<time_point> m_readsFailingSince;
    std::optional<pending_write> m_pending;
    std::optional<epoch> m_authority;
    time_point m_gainedAt {};
    time_point m_exclusiveAt {};
    epoch m_highestEpoch;
    epoch m_highestActedEpoch;
    // For each successor, the highest generation under which it reported that it never acted, and
    // the latest askedAt of such a report.
    std::map<instance_ref, std::pair<std::uint64_t, time_point>> m_successorIdleReports;
    std::optional<time_point> m_ownerMissingSince;
    std::optional<time_point> m_outrankedSince;
    std::optional<time_point> m_successorsStaleSince;
    std::uint64_t m_lastWriteSequence = 0;
    bool m_stopping = false;
};

} // namespace plantaingap::peer

#endif
