#ifndef PLANTAINGAP_CELL_LEADERSHIP_H
#define PLANTAINGAP_CELL_LEADERSHIP_H

#include <cstdint>
#include <optional>
#include <plantaingap/time.h>
#include <string>
#include <string_view>

// Who leads the cell: one row in the store, that every write of the leader expects as its last
// write left it. An instance that finds the row still for long enough takes it over.
namespace plantaingap::cell {

// The leader's row.
struct leader_row
{
    std::string holder;
    // IP:PORT of the holder's peer listener.
    std::string address;
    // Rises by one with each change of leader; workers refuse orders of lower terms.
    std::uint64_t term = 0;
    // Counts the leader's writes in this term; tells whether a write without an answer was done.
    std::uint64_t sequence = 0;
    // The holder gives way: no need to wait.
    bool resigned = false;

    bool operator==(const leader_row &) const = default;
};

std::string encodeLeaderRow(const leader_row &row);
std::optional<leader_row> decodeLeaderRow(std::string_view text);

struct leadership_options
{
    // A leader writes at least this often, also when there is nothing to store.
    std::chrono::milliseconds writeEvery {250};
    // A row that stands still this long, as one that looks at it sees it, has lost its leader.
    std::chrono::milliseconds stillFor {500};
    // Writes of the leader older than this make its followers look at the row themselves: its pause
    // between writes, and several answers of a healthy store.
    std::chrono::milliseconds suspectAge {450};
};

// What a follower has seen of the leader and of its row, and what follows from it.
class leadership_watch
{
public:
    leadership_watch(std::string self, leadership_options options);

    // The row as the store gave it after that time; none when there is no row.
    void rowSeen(std::optional<leader_row> row, std::uint64_t revision, duration readTime,
                 time_point now);
    // The leader of that term answered a heartbeat that was sent then, and told its row's revision.
    void leaderAnswered(std::uint64_t term, std::chrono::milliseconds commitAge,
                        std::uint64_t revision, time_point sentAt, time_point now);
    void leaderSilent(time_point now);
    // The store gave no answer about the row.
    void rowUnreadable(time_point now);

    // The row is to be read again.
    bool suspicious(time_point now) const;
    // The row may be taken over, expecting the revision that was seen last.
    bool mayTakeOver(time_point now) const;
    // The leader did not answer when it was last asked, and no other is known.
    bool silent() const { return m_silent; }
    // Reads of the row have failed for a while: nobody can take over, as far as is seen here.
    bool storeAway(time_point now) const;
    // The leader answered lately.
    bool hasLeader(time_point now) const;

    const std::optional<leader_row> &row() const { return m_row; }
    std::uint64_t revision() const { return m_revision; }
    // When a leader answered last.
    time_point answeredAt() const { return m_answeredAt; }

private:
    std::string m_self;
    leadership_options m_options;
    std::optional<leader_row> m_row;
    std::uint64_t m_revision = 0;
    bool m_seen = false;
    // The revision that the leader told last, and when it told of it first.
    std::uint64_t m_toldRevision = 0;
    time_point m_toldAt {};
    // When the row was first and last seen at this revision.
    time_point m_stillSince {};
    time_point m_lastSeen {};
    duration m_readTime {};
    // The first of the reads that failed since the row was last seen.
    std::optional<time_point> m_unreadableSince;
    bool m_suspicious = true;
    bool m_silent = false;
    time_point m_answeredAt {};
};

} // namespace plantaingap::cell

#endif
