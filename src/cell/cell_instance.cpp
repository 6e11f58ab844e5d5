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

constexpr milliseconds beatEvery {200};
constexpr milliseconds beatPatience {250};
// Between looks at the leader's row while the leader is silent.
constexpr milliseconds rowEvery {100};
constexpr milliseconds rowPatience {800};
constexpr milliseconds takeOverPatience {1000};
// Instances far from the store wait this many of its answers longer before they take over, so that
// the nearest leads.
constexpr int storeDistance = 4;
constexpr milliseconds longestHandicap {400};

// A caller that names no deadline waits this long.
constexpr milliseconds usualDeadline {3000};
constexpr milliseconds longestDeadline {60'000};
// Kept back from a caller's deadline for the answer's way.
constexpr milliseconds answerWay {100};
// One attempt to pass a request on; the leader may have changed meanwhile. A second attempt finds
// what the first one did.
constexpr milliseconds relayPatience {700};
constexpr milliseconds relayRetry {60};
// Without any leader a request that was passed to nobody is refused after this.
constexpr milliseconds leaderPatience {1200};
// Refused callers come back after as long as there has been no leader already, within these bounds.
constexpr std::int64_t shortestReturn = 1;
constexpr std::int64_t longestReturn = 4;

constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusUnknown = 504;

const row_key leaderKey {"cell", "leader"};

time_point callerDeadline(const support::http_request &request)
{
    const auto text = request[std::string(cell_instance::deadlineHeader)];
    std::int64_t wait = usualDeadline.count();
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), wait);
    if (parsed.ec != std::errc {} || wait <= 0)
        wait = usualDeadline.count();
    return clock::now() + std::min(milliseconds(wait), longestDeadline);
}

support::http_response makeAnswer(const caller_answer &given)
{
    auto response = support::makeResponse(static_cast<http::status>(given.status),
                                          "application/json", given.body);
    if (given.retryAfterSeconds > 0)
        response.set(http::field::retry_after, std::to_string(given.retryAfterSeconds));
    return response;
}

support::http_server_limits callerLimits(const instance_options &options)
{
    support::http_server_limits limits;
    limits.connections = options.callerConnections;
    limits.bodyBytes = std::size_t {1} << 20;
    return limits;
}

} // namespace

cell_instance::cell_instance(asio::io_context &context, instance_options options,
                             table_store &store, worker_gateway &workers, step_advisor &advisor,
                             const caller_codec &codec, platform_tables tables)
    : m_context(context)
    , m_options(std::move(options))
    , m_store(store)
    , m_peers(context, {[this](const follower_beat &told) {
                            return m_leader ? m_leader->beat(told) : leader_beat {};
                        },
                        [this](caller_call call) -> awaitable<caller_answer> {
                            const auto leading = m_leader;
                            if (!leading)
                                co_return caller_answer {};
                            co_return co_await leading->handle(std::move(call));
                        },
                        [&advisor](advice_call call) {
                            return advisor.ask(std::move(call.step), std::move(call.workers),
                                               call.deadline);
                        }})
    , m_ports {store, workers, advisor, codec, std::move(tables), m_peers}
    , m_callers(context, callerLimits(m_options),
                [this](support::http_request request, const support::http_peer &) {
                    return serveCaller(std::move(request));
                })
    , m_ready(context, {},
              [this](support::http_request request, const support::http_peer &) {
                  return serveReady(std::move(request));
              })
    , m_followWake(context)
    , m_watch(m_options.instance, m_options.leader.leadership)
{ }

std::error_code cell_instance::start()
{
    if (const auto error = m_peers.listen(m_options.peerListen))
        return error;
    if (const auto error = m_callers.listen(m_options.callerListen))
        return error;
    if (const auto error = m_ready.listen(m_options.readyListen))
        return error;
    asio::co_spawn(m_context, live(), asio::detached);
    return {};
}

awaitable<void> cell_instance::pause(milliseconds span)
{
    asio::steady_timer timer(m_context, span);
    co_await timer.async_wait(asTuple);
}

bool cell_instance::serving() const
{
    if (m_stopping)
        return false;
    return (m_leader && m_leader->ready()) || m_watch.hasLeader(bootNow());
}

// Leadership.

awaitable<bool> cell_instance::readRow()
{
    const auto askedAt = bootNow();
    auto read = co_await m_store.read(leaderKey.table, leaderKey.key, leaderKey.key + '\x01',
                                      clock::now() + rowPatience);
    const auto *page = std::get_if<row_page>(&read);
    if (!page) {
        m_watch.rowUnreadable(askedAt);
        co_return false;
    }
    const auto now = bootNow();
    m_storeDelay = std::chrono::duration_cast<milliseconds>(now - askedAt);
    if (page->rows.empty())
        m_watch.rowSeen(std::nullopt, 0, now - askedAt, now);
    else
        m_watch.rowSeen(decodeLeaderRow(page->rows.front().value), page->rows.front().revision,
                        now - askedAt, now);
    co_return true;
}

awaitable<bool> cell_instance::takeOver()
{
    leader_row row;
    row.holder = m_options.instance;
    row.address = m_options.peerListen;
    row.term = m_watch.row() ? m_watch.row()->term + 1 : 1;
    transaction claim;
    claim.expected.push_back({leaderKey, m_watch.revision()});
    claim.puts.emplace_back(leaderKey, encodeLeaderRow(row));
    auto done = co_await m_store.commit(claim, clock::now() + takeOverPatience);
    if (const auto *result = std::get_if<transaction_result>(&done)) {
        if (!result->applied)
            co_return false;
        co_await lead(row, result->revision);
        co_return true;
    }
    // The claim may have been written; the row tells.
    if (!co_await readRow() || m_watch.row() != row)
        co_return false;
    co_await lead(row, m_watch.revision());
    co_return true;
}

awaitable<void> cell_instance::lead(leader_row row, std::uint64_t revision)
{
    log_event(log_level::Info, "leadership.won").field("term", row.term);
    m_leader = std::make_shared<leader>(m_context, m_ports, m_options.leader, row, revision);
    if (m_stopping)
        m_leader->resign();
    co_await m_leader->run();
    log_event(log_level::Info, "leadership.lost").field("term", row.term);
    m_leader.reset();
}

awaitable<void> cell_instance::live()
{
    while (true) {
        co_await follow();
        if (m_stopping) {
            co_await pause(beatEvery);
            continue;
        }
        // Nearer instances first; a row that moved meanwhile has found its leader.
        const auto handicap =
            std::min(m_storeDelay * storeDistance, longestHandicap) + m_options.takeOverDelay;
        co_await pause(handicap);
        if (co_await readRow() && m_watch.mayTakeOver(bootNow()) && !m_stopping)
            co_await takeOver();
    }
}

// Follows the leader until its row may be taken over. Heartbeats go on beside the looks at the row,
// which a silent leader must not hold up.
awaitable<void> cell_instance::follow()
{
    while (true) {
        if (m_watch.suspicious(bootNow())) {
            co_await readRow();
            if (m_watch.mayTakeOver(bootNow()))
                co_return;
        }
        const auto &row = m_watch.row();
        if (row && !m_beating && !row->resigned && row->holder != m_options.instance)
            asio::co_spawn(m_context, beat(row->address, row->term), asio::detached);
        m_followWake.expires_after(m_watch.suspicious(bootNow()) ? rowEvery : beatEvery);
        co_await m_followWake.async_wait(asTuple);
    }
}

// Requests notice a lost leader, or one that gives way, before heartbeats do.
void cell_instance::doubtLeader()
{
    if (m_watch.silent())
        return;
    m_watch.leaderSilent(bootNow());
    m_followWake.cancel();
}

awaitable<void> cell_instance::beat(std::string address, std::uint64_t term)
{
    m_beating = true;
    const auto sentAt = bootNow();
    // Named: GCC 12 destroys aggregate temporaries of an awaited call twice.
    follower_beat own {m_options.instance, m_options.peerListen, support::wallNow()};
    auto told = co_await m_peers.beat(address, std::move(own), clock::now() + beatPatience);
    m_beating = false;
    // The answer is about a leader that has been replaced meanwhile.
    if (m_watch.row() && m_watch.row()->term > term)
        co_return;
    const auto *answered = std::get_if<leader_beat>(&told);
    if (answered && answered->leads && answered->term >= term) {
        if (!m_watch.hasLeader(bootNow()))
            log_event(log_level::Info, "leader.regained").field("term", answered->term);
        m_watch.leaderAnswered(answered->term, answered->commitAge, answered->rowRevision, sentAt,
                               bootNow());
        co_return;
    }
    if (m_watch.hasLeader(bootNow()) && !m_watch.silent())
        log_event(log_level::Warning, "leader.silent").field("term", term);
    m_watch.leaderSilent(bootNow());
    if (!answered)
        m_peers.reconnect(address);
}

// Callers.

awaitable<caller_answer> cell_instance::passOn(caller_call call)
{
    const auto start = clock::now();
    const auto giveUp = call.deadline - answerWay;
    // Something may have been done about it by a leader that did not answer.
    bool ambiguous = false;
    while (true) {
        const auto now = clock::now();
        // Without a leader and a store to make one by, waiting is of no use.
        const bool hopeless = !m_leader && m_watch.silent() && m_watch.storeAway(bootNow());
        const auto patience = hopeless && !ambiguous ? milliseconds(0) : leaderPatience;
        // A request that a silent leader may have taken waits for what the next one knows of it.
        if (now >= giveUp || ((hopeless || !ambiguous) && now - start >= patience))
            break;
        auto attempt = call;
        if (const auto leading = m_leader) {
            attempt.deadline = giveUp;
            auto given = co_await leading->handle(std::move(attempt));
            if (given.leads)
                co_return given;
            ambiguous = ambiguous || given.uncertain;
        } else if (m_watch.row() && !m_watch.row()->resigned && !m_watch.silent()
                   && m_watch.row()->holder != m_options.instance) {
            attempt.deadline = std::min(giveUp, now + relayPatience);
            const auto attemptEnd = attempt.deadline;
            auto given = co_await m_peers.relay(m_watch.row()->address, std::move(attempt));
            const auto *answered = std::get_if<caller_answer>(&given);
            if (answered && answered->leads)
                co_return *answered;
            if (answered)
                doubtLeader();
            ambiguous = ambiguous || (answered && answered->uncertain);
            if (!answered) {
                ++m_relayFailures;
                ambiguous = true;
                // A slow store makes for slow answers; a broken connection is a lost leader.
                if (clock::now() < attemptEnd)
                    doubtLeader();
            }
        }
        co_await pause(relayRetry);
    }
    ++m_unanswerable;
    log_event(log_level::Warning, "request.unanswerable")
        .field("method", call.method)
        .field("target", call.target)
        .field("ambiguous", ambiguous ? 1 : 0);
    if (ambiguous && call.method != "GET")
        co_return caller_answer {true, statusUnknown, {}, 0};
    const auto away =
        std::chrono::duration_cast<std::chrono::seconds>(bootNow() - m_watch.answeredAt());
    const auto seconds = std::clamp(away.count(), shortestReturn, longestReturn);
    co_return caller_answer {true, statusUnavailable, {}, static_cast<std::uint32_t>(seconds)};
}

awaitable<support::http_response> cell_instance::serveCaller(support::http_request request)
{
    ++m_callerRequests;
    caller_call call;
    call.deadline = callerDeadline(request);
    call.method = std::string(request.method_string());
    call.host = std::string(request[http::field::host]);
    call.target = std::string(request.target());
    call.body = std::move(request.body());
    const auto given = co_await passOn(std::move(call));
    auto response = makeAnswer(given);
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
    add("relay_failures_total", m_relayFailures);
    add("unanswerable_total", m_unanswerable);
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
    co_return serving()
        ? support::makeResponse(http::status::ok, "text/plain", "ready\n")
        : support::makeResponse(http::status::service_unavailable, "text/plain", "not ready\n");
}

// A planned stop.

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
    co_await pause(m_options.stopAcceptAfter);
    m_callers.stopAccepting();
    while (clock::now() - start < m_options.stopDeadline
           && (m_leader || m_callers.unanswered() > 0)) {
        co_await pause(milliseconds(50));
    }
    log_event(log_level::Info, "instance.stopped")
        .field("unanswered", static_cast<std::uint64_t>(m_callers.unanswered()));
    stopped();
}

} // namespace plantaingap::cell
