#include "cell/leadership.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace plantaingap::cell {

namespace json = boost::json;

namespace {

constexpr std::uint64_t thousandths = 1000;

// A follower without a heartbeat reply for this long, or for this many of its heartbeat intervals
// if that is longer, considers the leader lost and reads its row.
constexpr std::chrono::milliseconds heartbeatReplyValidity {1500};
constexpr int replyValidityIntervals = 2;
// Reads of the row that fail for this long mean that the store is unavailable, rather than that one
// reply was lost.
constexpr std::chrono::milliseconds storeOutageThreshold {400};
// Minimum takeover timeout as a multiple of the last read's duration, because a write takes a few
// times as long as a read.
constexpr int slowStoreFactor = 4;

} // namespace

leader_row claimRow(const std::optional<leader_row> &former, std::string holder,
                    std::string address, wall_time now)
{
    leader_row row;
    row.holder = std::move(holder);
    row.address = std::move(address);
    row.term = 1;
    row.lostLeadersAtMs = now.time_since_epoch().count();
    if (!former)
        return row;
    row.term = former->term + 1;
    const auto passed = std::max<std::int64_t>(row.lostLeadersAtMs - former->lostLeadersAtMs, 0)
                        / static_cast<double>(std::chrono::milliseconds(lossHalfLife).count());
    const auto earlier = static_cast<double>(former->lostLeaderThousandths) * std::exp2(-passed);
    row.lostLeaderThousandths =
        static_cast<std::uint64_t>(earlier) + (former->resigned ? 0 : thousandths);
    return row;
}

std::string encodeLeaderRow(const leader_row &row)
{
    return json::serialize(json::object {{"holder", row.holder},
                                         {"address", row.address},
                                         {"term", row.term},
                                         {"sequence", row.sequence},
                                         {"resigned", row.resigned},
                                         {"lost_leader_thousandths", row.lostLeaderThousandths},
                                         {"lost_leaders_at_ms", row.lostLeadersAtMs}});
}

std::optional<leader_row> decodeLeaderRow(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        const auto &object = value.as_object();
        leader_row row;
        row.holder = object.at("holder").as_string().c_str();
        row.address = object.at("address").as_string().c_str();
        row.term = object.at("term").to_number<std::uint64_t>();
        row.sequence = object.at("sequence").to_number<std::uint64_t>();
        row.resigned = object.at("resigned").as_bool();
        // Rows of earlier versions have no losses.
        if (const auto *lost = object.if_contains("lost_leader_thousandths"))
            row.lostLeaderThousandths = lost->to_number<std::uint64_t>();
        if (const auto *countedAt = object.if_contains("lost_leaders_at_ms"))
            row.lostLeadersAtMs = countedAt->to_number<std::int64_t>();
        return row;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

leadership_monitor::leadership_monitor(std::string self, leadership_options options)
    : m_self(std::move(self))
    , m_options(options)
{ }

void leadership_monitor::rowRead(std::optional<leader_row> row, std::uint64_t revision,
                                 duration readTime, time_point now)
{
    m_readTime = readTime;
    if (!m_hasReadRow || revision != m_revision) {
        // The leader itself reported this revision, so the row is unchanged since that report.
        m_unchangedSince =
            revision == m_reportedRevision && m_reportedRevision != 0 ? m_reportedAt : now;
        m_hasReadRow = true;
    }
    // The leader could not write during a store outage either, so its timeout starts again.
    if (storeUnavailable(now))
        m_unchangedSince = now;
    m_readFailingSince.reset();
    m_lastReadAt = now;
    if (!row || !m_row || row->term != m_row->term)
        m_leaderUnresponsive = false;
    m_row = std::move(row);
    m_revision = revision;
}

void leadership_monitor::leaderReplied(const heartbeat_reply &reply, time_point sentAt,
                                       time_point now)
{
    if (m_row && reply.term < m_row->term)
        return;
    if (reply.rowRevision != m_reportedRevision) {
        m_reportedRevision = reply.rowRevision;
        m_reportedAt = sentAt;
    }
    m_lastReplyAt = now;
    m_replyValidUntil =
        now + std::max(heartbeatReplyValidity, reply.interval * replyValidityIntervals);
    m_leaderUnresponsive = false;
    m_rowReadNeeded = reply.commitAge > m_options.maxCommitAge;
}

void leadership_monitor::rowReadFailed(time_point now)
{
    if (!m_readFailingSince)
        m_readFailingSince = now;
}

void leadership_monitor::leaderCallFailed(time_point)
{
    m_rowReadNeeded = true;
    m_leaderUnresponsive = true;
}

bool leadership_monitor::needsRowRead(time_point now) const
{
    return m_rowReadNeeded || now > m_replyValidUntil;
}

bool leadership_monitor::canTakeOver(time_point now) const
{
    if (!m_hasReadRow || !needsRowRead(now))
        return false;
    if (!m_row || m_row->resigned)
        return true;
    // The row is held by an earlier process of this instance, which has ended.
    if (m_row->holder == m_self)
        return true;
    // A slow store delays the leader's writes too.
    const auto timeout =
        std::max<duration>(m_options.unchangedTimeout, m_readTime * slowStoreFactor);
    return m_lastReadAt - m_unchangedSince >= timeout;
}

bool leadership_monitor::storeUnavailable(time_point now) const
{
    return m_readFailingSince && now - *m_readFailingSince >= storeOutageThreshold;
}

bool leadership_monitor::hasLeader(time_point now) const
{
    return m_row && !m_row->resigned && now <= m_replyValidUntil;
}

} // namespace plantaingap::cell
