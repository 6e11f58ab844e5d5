#ifndef PLANTAINGAP_CELL_LEADERSHIP_H
#define PLANTAINGAP_CELL_LEADERSHIP_H

#include "cell/peer_transport.h"

#include <cstdint>
#include <optional>
#include <plantaingap/time.h>
#include <string>
#include <string_view>

// Leader election through one row of the store. Each write of the leader requires the row's
// revision from its previous write; an instance takes the row over once it has been unchanged long
// enough.
namespace plantaingap::cell {

// The stored row that names the leader.
struct leader_row
{
    std::string holder;
    // IP:PORT of the holder's peer listener.
    std::string address;
    // Incremented with each change of leader; workers reject orders of lower terms.
    std::uint64_t term = 0;
    // Number of the leader's write in this term; shows whether a write without a reply was applied.
    std::uint64_t sequence = 0;
    // The holder has resigned: the row can be taken over without a timeout.
    bool resigned = false;
    // Leaders that were replaced without having resigned, in thousandths, each counted half as much
    // after lossHalfLife, as of that time in milliseconds since 1970.
    std::uint64_t lostLeaderThousandths = 0;
    std::int64_t lostLeadersAtMs = 0;

    bool operator==(const leader_row &) const = default;
};

// How long the connections of a lost leader are taken into account at workers, which may or may not
// have dropped them.
inline constexpr std::chrono::hours lossHalfLife {1};

// The row with which an instance takes over from the leader of `former`.
leader_row claimRow(const std::optional<leader_row> &former, std::string holder,
                    std::string address, wall_time now);
std::string encodeLeaderRow(const leader_row &row);
std::optional<leader_row> decodeLeaderRow(std::string_view text);

struct leadership_options
{
    // The leader writes at least this often, even when there is nothing to store.
    std::chrono::milliseconds rowWriteInterval {250};
    // A follower considers the leader lost when it has read the row unchanged for this long.
    std::chrono::milliseconds unchangedTimeout {500};
    // If the leader's last write is older than this, followers read the row themselves. Covers
    // rowWriteInterval plus several round trips to a healthy store.
    std::chrono::milliseconds maxCommitAge {450};
};

// Tracks a follower's reads of the row and calls to the leader, and decides when the follower reads
// the row and when it may take over. A state machine without I/O: the caller passes in events and
// times.
class leadership_monitor
{
public:
    leadership_monitor(std::string self, leadership_options options);

    // The store returned the row, or nullopt if there is none; the read took readTime.
    void rowRead(std::optional<leader_row> row, std::uint64_t revision, duration readTime,
                 time_point now);
    // The leader replied to a heartbeat sent at sentAt.
    void leaderReplied(const heartbeat_reply &reply, time_point sentAt, time_point now);
    // A heartbeat or forwarded request got no reply, or the callee does not lead any more.
    void leaderCallFailed(time_point now);
    // A read of the row failed.
    void rowReadFailed(time_point now);

    // The follower should read the row.
    bool needsRowRead(time_point now) const;
    // The row may be taken over, on the precondition of the last read revision().
    bool canTakeOver(time_point now) const;
    // The last call to the leader failed, and no other leader is known.
    bool leaderUnresponsive() const { return m_leaderUnresponsive; }
    // Reads of the row have failed for a while, so this instance cannot take over.
    bool storeUnavailable(time_point now) const;
    // The leader has replied recently and has not resigned.
    bool hasLeader(time_point now) const;

    const std::optional<leader_row> &row() const { return m_row; }
    std::uint64_t revision() const { return m_revision; }
    // When a leader last replied.
    time_point lastReplyAt() const { return m_lastReplyAt; }

private:
    std::string m_self;
    leadership_options m_options;
    std::optional<leader_row> m_row;
    std::uint64_t m_revision = 0;
    bool m_hasReadRow = false;
    // The revision in the leader's last reply, and when the first heartbeat that got it was sent.
    std::uint64_t m_reportedRevision = 0;
    time_point m_reportedAt {};
    // When the row was first and last known to have this revision.
    time_point m_unchangedSince {};
    time_point m_lastReadAt {};
    duration m_readTime {};
    // The first failed read since the last successful one.
    std::optional<time_point> m_readFailingSince;
    bool m_rowReadNeeded = true;
    bool m_leaderUnresponsive = false;
    time_point m_lastReplyAt {};
    // The leader counts as known until then, unless a call to it fails.
    time_point m_replyValidUntil {};
};

} // namespace plantaingap::cell

#endif
