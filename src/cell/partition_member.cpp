#include "cell/partition_member.h"

#include "support/boot_time.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using support::bootNow;
using support::log_event;
using support::log_level;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Used until the leader has told an interval, and while it does not reply.
constexpr milliseconds defaultHeartbeatInterval {200};
constexpr milliseconds heartbeatTimeout {250};
// Interval between reads of the leader's row while the leader is unresponsive or has not committed
// recently.
constexpr milliseconds rowReadInterval {100};
// A follower with infrequent heartbeats is not among the first successors, and reads the row of a
// leader that replies but does not commit this many times in a heartbeat interval.
constexpr int rowReadsPerHeartbeat = 4;
constexpr milliseconds rowReadTimeout {800};
constexpr milliseconds takeoverTimeout {1000};
// Before it takes over, an instance waits this multiple of the duration of its last row read, at
// most maxDistanceDelay, so that the instance nearest to the store leads.
constexpr int takeoverDelayRowReads = 4;
constexpr milliseconds maxDistanceDelay {400};
// Further waits of an instance that prefers another partition, and for each partition that it leads
// already, so that leaders are on different instances.
constexpr milliseconds otherHomeDelay {120};
constexpr milliseconds leadsElsewhereDelay {500};

// A leader yields no earlier than this after it took over, and no more often than this. For
// yieldTime afterwards it leaves the partition to others.
constexpr milliseconds minTermBeforeYield {3000};
constexpr milliseconds minYieldInterval {30'000};
constexpr milliseconds yieldTime {3000};

// Reserved from a caller's timeout for sending the response.
constexpr milliseconds responseMargin {100};
// Timeout of one attempt to forward a request, so that it is retried if the leader has changed. A
// retry is safe: it returns the result of an earlier attempt that took effect.
constexpr milliseconds forwardTimeout {700};
constexpr milliseconds forwardRetryInterval {60};
// How long a request waits for a leader. If an earlier leader may have executed it, it waits until
// its deadline while a new leader can be elected.
constexpr milliseconds leaderWaitTimeout {1200};
// Bounds of the retry delay of rejected callers, which is the time since the leader's last reply.
constexpr std::int64_t minRetryAfterSeconds = 1;
constexpr std::int64_t maxRetryAfterSeconds = 4;

constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusUnknown = 504;

} // namespace

partition_member::partition_member(asio::io_context &context, member_options options,
                                   cell_ports ports, std::function<std::uint32_t()> leadsElsewhere)
    : m_context(context)
    , m_options(std::move(options))
    , m_ports(std::move(ports))
    , m_leadsElsewhere(std::move(leadsElsewhere))
    , m_leaderKey {"cell", "leader", m_options.leader.partition.storePart()}
    , m_followTimer(context)
    , m_monitor(m_options.instance, m_options.leader.leadership)
{
    m_options.leader.shouldYield = [this] { return shouldYield(); };
}

void partition_member::start()
{
    asio::co_spawn(m_context, electionLoop(), asio::detached);
}

void partition_member::stop()
{
    m_stopping = true;
    if (m_leader)
        m_leader->resign();
}

bool partition_member::hasLeader() const
{
    return (m_leader && m_leader->ready()) || m_monitor.hasLeader(bootNow());
}

heartbeat_reply partition_member::handleHeartbeat(const heartbeat_request &request)
{
    return m_leader ? m_leader->handleHeartbeat(request) : heartbeat_reply {};
}

awaitable<caller_response> partition_member::handleRequest(caller_request request)
{
    const auto leading = m_leader;
    if (!leading)
        co_return caller_response {};
    co_return co_await leading->handleRequest(std::move(request));
}

awaitable<jobs::limit_reply> partition_member::handleLimitRequest(jobs::limit_request request)
{
    const auto leading = m_leader;
    if (!leading)
        co_return jobs::limit_reply {};
    co_return co_await leading->handleLimitRequest(std::move(request));
}

std::string partition_member::metrics() const
{
    return m_leader ? m_leader->metrics() : std::string();
}

awaitable<void> partition_member::sleepFor(milliseconds period)
{
    asio::steady_timer timer(m_context, period);
    co_await timer.async_wait(asTuple);
}

// Leadership.

awaitable<bool> partition_member::readLeaderRow()
{
    const auto readStartedAt = bootNow();
    const key_range range {m_leaderKey.table, m_leaderKey.part, m_leaderKey.key,
                           m_leaderKey.key + '\x01'};
    auto read = co_await m_ports.store.read(range, clock::now() + rowReadTimeout);
    const auto *page = std::get_if<row_page>(&read);
    if (!page) {
        m_monitor.rowReadFailed(readStartedAt);
        co_return false;
    }
    const auto now = bootNow();
    m_rowReadTime = std::chrono::duration_cast<milliseconds>(now - readStartedAt);
    if (page->rows.empty())
        m_monitor.rowRead(std::nullopt, 0, now - readStartedAt, now);
    else
        m_monitor.rowRead(decodeLeaderRow(page->rows.front().value), page->rows.front().revision,
                          now - readStartedAt, now);
    co_return true;
}

awaitable<bool> partition_member::takeOver()
{
    const auto row =
        claimRow(m_monitor.row(), m_options.instance, m_options.peerListen, support::wallNow());
    transaction changes;
    changes.preconditions.push_back({m_leaderKey, m_monitor.revision()});
    changes.puts.emplace_back(m_leaderKey, encodeLeaderRow(row));
    const auto sentAt = bootNow();
    auto done = co_await m_ports.store.commit(changes, clock::now() + takeoverTimeout);
    if (const auto *result = std::get_if<transaction_result>(&done)) {
        if (!result->applied)
            co_return false;
        co_await runTerm(row, result->revision, sentAt);
        co_return true;
    }
    // The write may have been applied despite the missing reply: read the row to find out.
    if (!co_await readLeaderRow() || m_monitor.row() != row)
        co_return false;
    co_await runTerm(row, m_monitor.revision(), sentAt);
    co_return true;
}

awaitable<void> partition_member::runTerm(leader_row row, std::uint64_t revision,
                                          time_point claimSentAt)
{
    const auto index = m_options.leader.partition.index;
    log_event(log_level::Info, "leadership.acquired")
        .field("partition", index)
        .field("term", row.term);
    m_leader =
        std::make_shared<leader>(m_context, m_ports, m_options.leader, row, revision, claimSentAt);
    if (m_stopping)
        m_leader->resign();
    m_yieldAfter = std::max(m_yieldAfter, bootNow() + minTermBeforeYield);
    co_await m_leader->run();
    if (m_leader->yielded()) {
        m_takeOverAfter = bootNow() + yieldTime;
        m_yieldAfter = bootNow() + minYieldInterval;
    }
    log_event(log_level::Info, "leadership.lost").field("partition", index).field("term", row.term);
    m_leader.reset();
}

bool partition_member::shouldYield() const
{
    const auto &partition = m_options.leader.partition;
    const bool leadsTooMany =
        m_leadsElsewhere() > 0
        && homePartition(m_options.instance, partition.count) != partition.index;
    return bootNow() >= m_yieldAfter && (m_options.takeoverDelay > milliseconds(0) || leadsTooMany);
}

milliseconds partition_member::takeoverDelay() const
{
    const auto &partition = m_options.leader.partition;
    auto delay = std::min(m_rowReadTime * takeoverDelayRowReads, maxDistanceDelay)
                 + m_options.takeoverDelay + leadsElsewhereDelay * m_leadsElsewhere();
    if (homePartition(m_options.instance, partition.count) != partition.index)
        delay += otherHomeDelay;
    return delay;
}

awaitable<void> partition_member::electionLoop()
{
    while (true) {
        co_await followLeader();
        if (m_stopping || bootNow() < m_takeOverAfter) {
            co_await sleepFor(defaultHeartbeatInterval);
            continue;
        }
        // If the row has changed after the wait, another instance leads.
        // Not a temporary: GCC 12 emits no code to resume this function with one here.
        const auto delay = takeoverDelay();
        co_await sleepFor(delay);
        if (co_await readLeaderRow() && m_monitor.canTakeOver(bootNow()) && !m_stopping)
            co_await takeOver();
    }
}

// Follows the leader until its row may be taken over. Heartbeats run concurrently with reads of the
// row, so that an unresponsive leader does not delay the reads.
awaitable<void> partition_member::followLeader()
{
    while (true) {
        if (m_monitor.needsRowRead(bootNow())) {
            co_await readLeaderRow();
            if (m_monitor.canTakeOver(bootNow()))
                co_return;
        }
        const auto now = bootNow();
        const auto &row = m_monitor.row();
        if (row && !m_heartbeatPending && now >= m_heartbeatDueAt && !row->resigned
            && row->holder != m_options.instance)
            asio::co_spawn(m_context, sendHeartbeat(row->address, row->term), asio::detached);
        auto wait = m_heartbeatDueAt > now ? std::chrono::ceil<milliseconds>(m_heartbeatDueAt - now)
                                           : defaultHeartbeatInterval;
        if (m_monitor.needsRowRead(now)) {
            const auto reads =
                m_monitor.leaderUnresponsive()
                    ? rowReadInterval
                    : std::max(rowReadInterval, m_heartbeatInterval / rowReadsPerHeartbeat);
            wait = std::min(wait, reads);
        }
        m_followTimer.expires_after(wait);
        co_await m_followTimer.async_wait(asTuple);
    }
}

// Called when a forwarded request fails, which detects a lost or resigned leader before the next
// heartbeat does.
void partition_member::verifyLeader()
{
    if (m_monitor.leaderUnresponsive())
        return;
    m_monitor.leaderCallFailed(bootNow());
    m_heartbeatDueAt = {};
    m_followTimer.cancel();
}

awaitable<void> partition_member::sendHeartbeat(std::string address, std::uint64_t term)
{
    const auto &partition = m_options.leader.partition;
    m_heartbeatPending = true;
    const auto sentAt = bootNow();
    m_heartbeatDueAt = sentAt + defaultHeartbeatInterval;
    const bool takesAdviceCalls =
        homePartition(m_options.instance, partition.count) == partition.index
        && m_leadsElsewhere() == 0;
    const bool canLead =
        m_options.takeoverDelay == milliseconds(0) && m_leadsElsewhere() == 0 && !m_stopping;
    // Not a temporary: GCC 12 destroys aggregate temporaries of an awaited call twice.
    heartbeat_request request {m_options.instance,
                               m_options.peerListen,
                               support::wallNow(),
                               partition.index,
                               takesAdviceCalls,
                               takeoverDelay(),
                               canLead};
    auto result = co_await m_ports.peers.sendHeartbeat(address, std::move(request),
                                                       clock::now() + heartbeatTimeout);
    m_heartbeatPending = false;
    // The leader was replaced while the call was open.
    if (m_monitor.row() && m_monitor.row()->term > term)
        co_return;
    const auto *reply = std::get_if<heartbeat_reply>(&result);
    if (reply && reply->leads && reply->term >= term) {
        if (!m_monitor.hasLeader(bootNow()))
            log_event(log_level::Info, "leader.responsive")
                .field("partition", partition.index)
                .field("term", reply->term);
        m_heartbeatInterval = std::max(reply->interval, defaultHeartbeatInterval);
        m_heartbeatDueAt = sentAt + m_heartbeatInterval;
        m_monitor.leaderReplied(*reply, sentAt, bootNow());
        co_return;
    }
    if (m_monitor.hasLeader(bootNow()) && !m_monitor.leaderUnresponsive())
        log_event(log_level::Warning, "leader.unresponsive")
            .field("partition", partition.index)
            .field("term", term);
    m_monitor.leaderCallFailed(bootNow());
    if (!reply)
        m_ports.peers.dropConnection(address);
}

// Callers' requests.

awaitable<std::optional<caller_response>>
partition_member::sendToLeader(caller_request request, time_point giveUpAt, bool &ambiguous)
{
    if (const auto leading = m_leader) {
        request.deadline = giveUpAt;
        auto response = co_await leading->handleRequest(std::move(request));
        if (response.leads)
            co_return response;
        ambiguous = ambiguous || response.outcomeUnknown;
        co_return std::nullopt;
    }
    const auto &row = m_monitor.row();
    if (!row || row->resigned || m_monitor.leaderUnresponsive()
        || row->holder == m_options.instance)
        co_return std::nullopt;
    const auto attemptEnd = std::min(giveUpAt, clock::now() + forwardTimeout);
    request.deadline = attemptEnd;
    const auto address = row->address;
    auto result = co_await m_ports.peers.forwardRequest(address, std::move(request));
    if (const auto *response = std::get_if<caller_response>(&result)) {
        if (response->leads)
            co_return *response;
        verifyLeader();
        ambiguous = ambiguous || response->outcomeUnknown;
        co_return std::nullopt;
    }
    ++m_forwardFailures;
    ambiguous = true;
    // A timeout may be caused by a slow store. An earlier failure is a broken connection, so the
    // leader may be lost.
    if (clock::now() < attemptEnd)
        verifyLeader();
    co_return std::nullopt;
}

awaitable<caller_response> partition_member::routeRequest(caller_request request)
{
    const auto start = clock::now();
    const auto giveUpAt = request.deadline - responseMargin;
    // A leader that did not reply may have executed the request.
    bool ambiguous = false;
    while (true) {
        const auto now = clock::now();
        // With neither a leader nor a store to elect one, waiting is of no use.
        const bool noLeaderPossible =
            !m_leader && m_monitor.leaderUnresponsive() && m_monitor.storeUnavailable(bootNow());
        const auto waitLimit = noLeaderPossible && !ambiguous ? milliseconds(0) : leaderWaitTimeout;
        // A request that an unresponsive leader may have executed waits for the next leader, which
        // knows its result.
        if (now >= giveUpAt || ((noLeaderPossible || !ambiguous) && now - start >= waitLimit))
            break;
        auto response = co_await sendToLeader(request, giveUpAt, ambiguous);
        if (response)
            co_return std::move(*response);
        co_await sleepFor(forwardRetryInterval);
    }
    co_return unanswered(request, ambiguous);
}

caller_response partition_member::unanswered(const caller_request &request, bool ambiguous)
{
    ++m_requestsNotAnswered;
    log_event(log_level::Warning, "request.not_answered")
        .field("partition", m_options.leader.partition.index)
        .field("method", request.method)
        .field("target", request.target)
        .field("ambiguous", ambiguous ? 1 : 0);
    caller_response response;
    response.leads = true;
    if (ambiguous && request.method != "GET") {
        response.status = statusUnknown;
        return response;
    }
    const auto withoutLeader =
        std::chrono::duration_cast<std::chrono::seconds>(bootNow() - m_monitor.lastReplyAt());
    response.status = statusUnavailable;
    response.retryAfterSeconds = static_cast<std::uint32_t>(
        std::clamp(withoutLeader.count(), minRetryAfterSeconds, maxRetryAfterSeconds));
    return response;
}

} // namespace plantaingap::cell
