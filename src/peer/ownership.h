#ifndef PLANTAINGAP_PEER_OWNERSHIP_H
#define PLANTAINGAP_PEER_OWNERSHIP_H

#include <map>
#include <plantaingap/ownership.h>

namespace plantaingap::peer {

// One instance's part in the ownership of one group: watches the group's row, takes over when the
// owner is missing, acts by rank while the store is away, and steps down when it hears of a higher
// epoch. include/plantaingap/ownership.h says how to drive it.
class group_ownership
{
public:
    group_ownership(const instance_ref &self, const ownership_limits &limits);

    void step(const ownership_event &event, time_point now, std::vector<ownership_action> &actions);

    // The epoch under which this instance may give orders; nothing when it may not.
    const std::optional<epoch> &authority() const { return m_authority; }

    // The highest epoch under which this instance ever acted; goes into its heartbeat replies.
    epoch acted() const { return m_acted; }

    // The highest epoch known of.
    epoch heard() const { return m_heard; }

    // The row as last read.
    const std::optional<group_row> &row() const { return m_row; }

    // True while reads of the row have failed for storeAwayAfter.
    bool storeAway(time_point now) const;

private:
    // A write whose outcome is not known yet.
    struct pending_write
    {
        group_row row;
        time_point sentAt {};
        bool mayHaveArrived = false;
    };

    void on(const candidates_changed &event, time_point now,
            std::vector<ownership_action> &actions);
    void on(const row_read &event, time_point now, std::vector<ownership_action> &actions);
    void on(const row_read_failed &event, time_point now, std::vector<ownership_action> &actions);
    void on(const row_written &event, time_point now, std::vector<ownership_action> &actions);
    void on(const epoch_heard &event, time_point now, std::vector<ownership_action> &actions);
    void on(const successor_idle &event, time_point now, std::vector<ownership_action> &actions);
    void on(const handover_requested &event, time_point now,
            std::vector<ownership_action> &actions);
    void on(const ownership_tick &event, time_point now, std::vector<ownership_action> &actions);

    void settle(const row_read &read, std::vector<ownership_action> &actions);
    void adopt(const group_row &row, time_point readAt, time_point now,
               std::vector<ownership_action> &actions);
    void decide(time_point now, std::vector<ownership_action> &actions);
    void decideAsOwner(time_point now, std::vector<ownership_action> &actions);
    void decideAsWatcher(time_point now, std::vector<ownership_action> &actions);
    void decideByRank(time_point now, std::vector<ownership_action> &actions);
    void propose(const instance_ref &owner, time_point now, std::vector<ownership_action> &actions);
    void gain(const epoch &authority, time_point now, std::vector<ownership_action> &actions);
    void lose(std::vector<ownership_action> &actions);
    void confirm(std::vector<ownership_action> &actions);
    void readNow(time_point now, std::vector<ownership_action> &actions);

    time_point exclusiveAt(std::uint32_t rank) const;
    bool graceOver(time_point now) const;
    bool isCandidate(const instance_ref &ref) const;
    bool successorsStale() const;
    std::vector<instance_ref> successorsFor(const instance_ref &owner) const;
    std::vector<instance_ref> formersFor(const instance_ref &owner, time_point now) const;

    instance_ref m_self;
    ownership_limits m_limits;
    std::vector<instance_ref> m_candidates;
    std::optional<group_row> m_row;
    // When the read left that last showed the row; nothing before the first.
    std::optional<time_point> m_readAt;
    // When the row's generation was certainly not written yet.
    std::optional<time_point> m_bornAfter;
    write_id m_lastWrite;
    std::optional<time_point> m_lastWriteAt;
    std::optional<time_point> m_askedAt;
    std::optional<time_point> m_failingSince;
    std::optional<pending_write> m_pending;
    std::optional<epoch> m_authority;
    time_point m_gainedAt {};
    time_point m_exclusiveAt {};
    epoch m_heard;
    epoch m_acted;
    std::map<instance_ref, std::pair<std::uint64_t, time_point>> m_idle;
    std::optional<time_point> m_ownerMissingSince;
    std::optional<time_point> m_betterSince;
    std::optional<time_point> m_successorsStaleSince;
    std::uint64_t m_writes = 0;
    bool m_stopping = false;
};

} // namespace plantaingap::peer

#endif
