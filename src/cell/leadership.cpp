#include "cell/leadership.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantaingap::cell {

namespace json = boost::json;

namespace {

// Heartbeats without an answer for this long leave a follower without a leader.
constexpr std::chrono::milliseconds answerValidity {1500};
// Reads of the row that fail for this long mean that the store is away, and not one lost answer.
constexpr std::chrono::milliseconds outage {400};
// A write takes a few times as long as a read.
constexpr int slowStoreFactor = 4;

} // namespace

std::string encodeLeaderRow(const leader_row &row)
{
    return json::serialize(json::object {{"holder", row.holder},
                                         {"address", row.address},
                                         {"term", row.term},
                                         {"sequence", row.sequence},
                                         {"resigned", row.resigned}});
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
        return row;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

leadership_watch::leadership_watch(std::string self, leadership_options options)
    : m_self(std::move(self))
    , m_options(options)
{ }

void leadership_watch::rowSeen(std::optional<leader_row> row, std::uint64_t revision,
                               duration readTime, time_point now)
{
    m_readTime = readTime;
    if (!m_seen || revision != m_revision) {
        // The leader told of this revision itself: the row has stood still since.
        m_stillSince = revision == m_toldRevision && m_toldRevision != 0 ? m_toldAt : now;
        m_seen = true;
    }
    // While the store was away the leader could not write either; it gets its time anew.
    if (storeAway(now))
        m_stillSince = now;
    m_unreadableSince.reset();
    m_lastSeen = now;
    if (!row || !m_row || row->term != m_row->term)
        m_silent = false;
    m_row = std::move(row);
    m_revision = revision;
}

void leadership_watch::leaderAnswered(std::uint64_t term, std::chrono::milliseconds commitAge,
                                      std::uint64_t revision, time_point sentAt, time_point now)
{
    if (m_row && term < m_row->term)
        return;
    if (revision != m_toldRevision) {
        m_toldRevision = revision;
        m_toldAt = sentAt;
    }
    m_answeredAt = now;
    m_silent = false;
    m_suspicious = commitAge > m_options.suspectAge;
}

void leadership_watch::rowUnreadable(time_point now)
{
    if (!m_unreadableSince)
        m_unreadableSince = now;
}

void leadership_watch::leaderSilent(time_point)
{
    m_suspicious = true;
    m_silent = true;
}

bool leadership_watch::suspicious(time_point now) const
{
    return m_suspicious || now - m_answeredAt > answerValidity;
}

bool leadership_watch::mayTakeOver(time_point now) const
{
    if (!m_seen || !suspicious(now))
        return false;
    if (!m_row || m_row->resigned)
        return true;
    // An earlier process of this instance led, and is gone.
    if (m_row->holder == m_self)
        return true;
    // A store that answers slowly makes a leader's writes slow too.
    const auto still = std::max<duration>(m_options.stillFor, m_readTime * slowStoreFactor);
    return m_lastSeen - m_stillSince >= still;
}

bool leadership_watch::storeAway(time_point now) const
{
    return m_unreadableSince && now - *m_unreadableSince >= outage;
}

bool leadership_watch::hasLeader(time_point now) const
{
    return m_row && !m_row->resigned && now - m_answeredAt <= answerValidity;
}

} // namespace plantaingap::cell
