#include "cell/cell_instance.h"

#include "support/boot_time.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace plantaingap::cell {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using support::bootNow;
using support::log_event;
using support::log_level;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds heartbeatInterval {200};
constexpr milliseconds heartbeatTimeout {250};
// Interval between reads of the leader's row while the leader is unresponsive or has not committed
// recently.
constexpr milliseconds rowReadInterval {100};
constexpr milliseconds rowReadTimeout {800};
constexpr milliseconds takeoverTimeout {1000};
// Before it takes over, an instance waits this multiple of the duration of its last row read, at
// most maxDistanceDelay, so that the instance nearest to the store leads.
constexpr int takeoverDelayRowReads = 4;
constexpr milliseconds maxDistanceDelay {400};

// Timeout of callers that send none.
constexpr milliseconds defaultCallerTimeout {3000};
constexpr milliseconds maxCallerTimeout {60'000};
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

const row_key leaderKey {"cell", "leader"};

time_point callerDeadline(const support::http_request &request)
{
    const auto text = request[std::string(cell_instance::deadlineHeader)];
    std::int64_t timeout = defaultCallerTimeout.count();
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), timeout);
    if (parsed.ec != std::errc {} || timeout <= 0)
        timeout = defaultCallerTimeout.count();
    return clock::now() + std::min(milliseconds(timeout), maxCallerTimeout);
}

support::http_response makeHttpResponse(const caller_response &result)
{
    auto response = support::makeResponse(static_cast<http::status>(result.status),
                                          "application/json", result.body);
    if (result.retryAfterSeconds > 0)
        response.set(http::field::retry_after, std::to_string(result.retryAfterSeconds));
    return response;
}

support::http_server_limits callerLimits(const instance_options &options)
{
    support::http_server_limits limits;
    limits.connections = options.maxCallerConnections;
    limits.bodyBytes = std::size_t {1} << 20;
    return limits;
}

} // namespace

cell_instance::cell_instance(asio::io_context &context, instance_options options,
                             table_store &store, worker_gateway &workers, step_advisor &advisor,
                             const platform_codec &codec, platform_tables tables)
    : m_context(context)
    , m_options(std::move(options))
    , m_store(store)
    , m_peerTransport(
          context, {[this](const heartbeat_request &request) {
                        return m_leader ? m_leader->handleHeartbeat(request) : heartbeat_reply {};
                    },
                    [this](caller_request request) -> awaitable<caller_response> {
                        const auto leading = m_leader;
                        if (!leading)
                            co_return caller_response {};
                        co_return co_await leading->handleRequest(std::move(request));
                    },
                    [&advisor](peer_advice_request request) {
                        return advisor.requestAdvice(std::move(request.step),
                                                     std::move(request.workers), request.deadline);
                    }})
    , m_ports {store, workers, advisor, codec, std::move(tables), m_peerTransport}
    , m_callerServer(context, callerLimits(m_options),
                     [this](support::http_request request, const support::http_peer &) {
                         return serveCaller(std::move(request));
                     })
    , m_readyServer(context, {},
                    [this](support::http_request request, const support::http_peer &) {
                        return serveReady(std::move(request));
                    })
    , m_followTimer(context)
    , m_leadershipMonitor(m_options.instance, m_options.leader.leadership)
{ }

std::error_code cell_instance::start()
{
    if (const auto error = m_peerTransport.listen(m_options.peerListen))
        return error;
    if (const auto error = m_callerServer.listen(m_options.callerListen))
        return error;
    if (const auto error = m_readyServer.listen(m_options.readyListen))
        return error;
    asio::co_spawn(m_context, electionLoop(), asio::detached);
    return {};
}

awaitable<void> cell_instance::sleepFor(milliseconds period)
{
    asio::steady_timer timer(m_context, period);
    co_await timer.async_wait(asTuple);
}

bool cell_instance::isReady() const
{
    if (m_stopping)
        return false;
    return (m_leader && m_leader->ready()) || m_leadershipMonitor.hasLeader(bootNow());
}

// Leadership.

awaitable<bool> cell_instance::readLeaderRow()
{
    const auto readStartedAt = bootNow();
    auto read = co_await m_store.read(leaderKey.table, leaderKey.key, leaderKey.key + '\x01',
                                      clock::now() + rowReadTimeout);
    const auto *page = std::get_if<row_page>(&read);
    if (!page) {
        m_leadershipMonitor.rowReadFailed(readStartedAt);
        co_return false;
    }
    const auto now = bootNow();
    m_rowReadTime = std::chrono::duration_cast<milliseconds>(now - readStartedAt);
    if (page->rows.empty())
        m_leadershipMonitor.rowRead(std::nullopt, 0, now - readStartedAt, now);
    else
        m_leadershipMonitor.rowRead(decodeLeaderRow(page->rows.front().value),
                                    page->rows.front().revision, now - readStartedAt, now);
    co_return true;
}

awaitable<bool> cell_instance::takeOver()
{
    leader_row row;
    row.holder = m_options.instance;
    row.address = m_options.peerListen;
    row.term = m_leadershipMonitor.row() ? m_leadershipMonitor.row()->term + 1 : 1;
    transaction changes;
    changes.preconditions.push_back({leaderKey, m_leadershipMonitor.revision()});
    changes.puts.emplace_back(leaderKey, encodeLeaderRow(row));
    auto done = co_await m_store.commit(changes, clock::now() + takeoverTimeout);
    if (const auto *result = std::get_if<transaction_result>(&done)) {
        if (!result->applied)
            co_return false;
        co_await runTerm(row, result->revision);
        co_return true;
    }
    // The write may have been applied despite the missing reply: read the row to find out.
    if (!co_await readLeaderRow() || m_leadershipMonitor.row() != row)
        co_return false;
    co_await runTerm(row, m_leadershipMonitor.revision());
    co_return true;
}

awaitable<void> cell_instance::runTerm(leader_row row, std::uint64_t revision)
{
    log_event(log_level::Info, "leadership.acquired").field("term", row.term);
    m_leader = std::make_shared<leader>(m_context, m_ports, m_options.leader, row, revision);
    if (m_stopping)
        m_leader->resign();
    co_await m_leader->run();
    log_event(log_level::Info, "leadership.lost").field("term", row.term);
    m_leader.reset();
}

awaitable<void> cell_instance::electionLoop()
{
    while (true) {
        co_await followLeader();
        if (m_stopping) {
            co_await sleepFor(heartbeatInterval);
            continue;
        }
        // Lets instances nearer to the store take over first. If the row has changed after the
        // wait, another instance leads.
        const auto takeoverWait = std::min(m_rowReadTime * takeoverDelayRowReads, maxDistanceDelay)
                                  + m_options.takeoverDelay;
        co_await sleepFor(takeoverWait);
        if (co_await readLeaderRow() && m_leadershipMonitor.canTakeOver(bootNow()) && !m_stopping)
            co_await takeOver();
    }
}

// Follows the leader until its row may be taken over. Heartbeats run concurrently with reads of the
// row, so that an unresponsive leader does not delay the reads.
awaitable<void> cell_instance::followLeader()
{
    while (true) {
        if (m_leadershipMonitor.needsRowRead(bootNow())) {
            co_await readLeaderRow();
            if (m_leadershipMonitor.canTakeOver(bootNow()))
                co_return;
        }
        const auto &row = m_leadershipMonitor.row();
        if (row && !m_heartbeatPending && !row->resigned && row->holder != m_options.instance)
            asio::co_spawn(m_context, sendHeartbeat(row->address, row->term), asio::detached);
        m_followTimer.expires_after(
            m_leadershipMonitor.needsRowRead(bootNow()) ? rowReadInterval : heartbeatInterval);
        co_await m_followTimer.async_wait(asTuple);
    }
}

// Called when a forwarded request fails, which detects a lost or resigned leader before the next
// heartbeat does.
void cell_instance::verifyLeader()
{
    if (m_leadershipMonitor.leaderUnresponsive())
        return;
    m_leadershipMonitor.leaderCallFailed(bootNow());
    m_followTimer.cancel();
}

awaitable<void> cell_instance::sendHeartbeat(std::string address, std::uint64_t term)
{
    m_heartbeatPending = true;
    const auto sentAt = bootNow();
    // Not a temporary: GCC 12 destroys aggregate temporaries of an awaited call twice.
    heartbeat_request request {m_options.instance, m_options.peerListen, support::wallNow()};
    auto result = co_await m_peerTransport.sendHeartbeat(address, std::move(request),
                                                         clock::now() + heartbeatTimeout);
    m_heartbeatPending = false;
    // The leader was replaced while the call was open.
    if (m_leadershipMonitor.row() && m_leadershipMonitor.row()->term > term)
        co_return;
    const auto *reply = std::get_if<heartbeat_reply>(&result);
    if (reply && reply->leads && reply->term >= term) {
        if (!m_leadershipMonitor.hasLeader(bootNow()))
            log_event(log_level::Info, "leader.responsive").field("term", reply->term);
        m_leadershipMonitor.leaderReplied(reply->term, reply->commitAge, reply->rowRevision, sentAt,
                                          bootNow());
        co_return;
    }
    if (m_leadershipMonitor.hasLeader(bootNow()) && !m_leadershipMonitor.leaderUnresponsive())
        log_event(log_level::Warning, "leader.unresponsive").field("term", term);
    m_leadershipMonitor.leaderCallFailed(bootNow());
    if (!reply)
        m_peerTransport.dropConnection(address);
}

// Callers' requests.

awaitable<caller_response> cell_instance::routeRequest(caller_request request)
{
    const auto start = clock::now();
    const auto giveUpAt = request.deadline - responseMargin;
    // A leader that did not reply may have executed the request.
    bool ambiguous = false;
    while (true) {
        const auto now = clock::now();
        // With neither a leader nor a store to elect one, waiting is of no use.
        const bool noLeaderPossible = !m_leader && m_leadershipMonitor.leaderUnresponsive()
                                      && m_leadershipMonitor.storeUnavailable(bootNow());
        const auto waitLimit = noLeaderPossible && !ambiguous ? milliseconds(0) : leaderWaitTimeout;
        // A request that an unresponsive leader may have executed waits for the next leader, which
        // knows its result.
        if (now >= giveUpAt || ((noLeaderPossible || !ambiguous) && now - start >= waitLimit))
            break;
        auto attempt = request;
        if (const auto leading = m_leader) {
            attempt.deadline = giveUpAt;
            auto response = co_await leading->handleRequest(std::move(attempt));
            if (response.leads)
                co_return response;
            ambiguous = ambiguous || response.outcomeUnknown;
        } else if (m_leadershipMonitor.row() && !m_leadershipMonitor.row()->resigned
                   && !m_leadershipMonitor.leaderUnresponsive()
                   && m_leadershipMonitor.row()->holder != m_options.instance) {
            attempt.deadline = std::min(giveUpAt, now + forwardTimeout);
            const auto attemptEnd = attempt.deadline;
            auto result = co_await m_peerTransport.forwardRequest(
                m_leadershipMonitor.row()->address, std::move(attempt));
            const auto *response = std::get_if<caller_response>(&result);
            if (response && response->leads)
                co_return *response;
            if (response)
                verifyLeader();
            ambiguous = ambiguous || (response && response->outcomeUnknown);
            if (!response) {
                ++m_forwardFailures;
                ambiguous = true;
                // A timeout may be caused by a slow store. An earlier failure is a broken
                // connection, so the leader may be lost.
                if (clock::now() < attemptEnd)
                    verifyLeader();
            }
        }
        co_await sleepFor(forwardRetryInterval);
    }
    ++m_requestsNotAnswered;
    log_event(log_level::Warning, "request.not_answered")
        .field("method", request.method)
        .field("target", request.target)
        .field("ambiguous", ambiguous ? 1 : 0);
    if (ambiguous && request.method != "GET")
        co_return caller_response {true, statusUnknown, {}, 0};
    const auto withoutLeader = std::chrono::duration_cast<std::chrono::seconds>(
        bootNow() - m_leadershipMonitor.lastReplyAt());
    const auto seconds =
        std::clamp(withoutLeader.count(), minRetryAfterSeconds, maxRetryAfterSeconds);
    co_return caller_response {true, statusUnavailable, {}, static_cast<std::uint32_t>(seconds)};
}

awaitable<support::http_response> cell_instance::serveCaller(support::http_request request)
{
    ++m_callerRequests;
    caller_request forwarded;
    forwarded.deadline = callerDeadline(request);
    forwarded.method = std::string(request.method_string());
    forwarded.host = std::string(request[http::field::host]);
    forwarded.target = std::string(request.target());
    forwarded.body = std::move(request.body());
    const auto result = co_await routeRequest(std::move(forwarded));
    auto response = makeHttpResponse(result);
    if (m_stopping)
        response.keep_alive(false);
    co_return response;
}

std::string cell_instance::metrics() const
{
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value) {
        text.append("plantaingap_").append(name).append(" ").append(std::to_string(value));
        text.append("\n");
    };
    add("caller_requests_total", m_callerRequests);
    add("relay_failures_total", m_forwardFailures);
    add("unanswerable_total", m_requestsNotAnswered);
    add("leads", m_leader ? 1 : 0);
    if (m_leader)
        text += m_leader->metrics();
    return text;
}

awaitable<support::http_response> cell_instance::serveReady(support::http_request request)
{
    const auto path = support::targetPath(request.target());
    if (path == "/metrics")
        co_return support::makeResponse(http::status::ok, "text/plain", metrics());
    if (path != "/ready")
        co_return support::makeResponse(http::status::not_found, "text/plain", "not found\n");
    co_return isReady()
        ? support::makeResponse(http::status::ok, "text/plain", "ready\n")
        : support::makeResponse(http::status::service_unavailable, "text/plain", "not ready\n");
}

// Planned stop.

void cell_instance::stop(std::function<void()> stopped)
{
    if (m_stopping)
        return;
    m_stopping = true;
    log_event(log_level::Info, "instance.stopping").field("instance", m_options.instance);
    if (m_leader)
        m_leader->resign();
    asio::co_spawn(m_context, finishStop(std::move(stopped)), asio::detached);
}

awaitable<void> cell_instance::finishStop(std::function<void()> stopped)
{
    const auto start = clock::now();
    co_await sleepFor(m_options.stopAcceptDelay);
    m_callerServer.stopAccepting();
    while (clock::now() - start < m_options.stopDeadline
           && (m_leader || m_callerServer.unanswered() > 0)) {
        co_await sleepFor(milliseconds(50));
    }
    log_event(log_level::Info, "instance.stopped")
        .field("open_requests", static_cast<std::uint64_t>(m_callerServer.unanswered()));
    stopped();
}

} // namespace plantaingap::cell
