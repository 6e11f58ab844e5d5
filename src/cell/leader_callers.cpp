#include "cell/leader.h"
#include "support/boot_time.h"
#include "support/http_message.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

// The leader's side of callers' requests.
namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using support::bootNow;
using support::log_event;
using support::log_level;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusNotAllowed = 405;
constexpr unsigned statusGone = 410;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusUnknown = 504;

constexpr std::size_t identifierLength = 16;
constexpr milliseconds endedPatience {1000};
// How long a caller's job waits for the store before its caller is answered.
constexpr milliseconds storedPatience {1200};
// With more jobs than this waiting to be stored the store is the bottleneck; new ones are refused.
constexpr std::size_t mostWaitingChanges = 150;
// Callers come back after as long as the store has been away already, within these bounds.
constexpr std::int64_t shortestReturn = 1;
constexpr std::int64_t longestReturn = 4;

bool isIdentifier(std::string_view text)
{
    return text.size() == identifierLength
           && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

caller_answer answer(unsigned status, std::string body = {}, std::uint32_t retryAfter = 0)
{
    return {true, status, std::move(body), retryAfter};
}

// "name:port" as a Host header may have it.
std::string_view hostName(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

awaitable<caller_answer> leader::handle(caller_call call)
{
    const auto self = shared_from_this();
    if (!ready())
        co_return caller_answer {};
    const auto &configuration = m_scheduler.configuration();
    if (configuration.version == 0)
        co_return answer(statusUnavailable, {}, 1);
    const auto path = support::targetPath(call.target);
    const auto *queue = configuration.find(hostName(call.host), path);
    if (!queue)
        co_return answer(statusNotFound);
    const auto rest = std::string(path.substr(queue->prefix.size()));
    if (rest.empty()) {
        if (call.method != "GET")
            co_return answer(statusNotAllowed);
        co_return answer(statusOk, m_ports.codec.waitingJobs(m_scheduler.waitingJobs(queue->name)));
    }
    if (!isIdentifier(rest)) {
        co_return answer(call.method == "POST" ? statusBadRequest : statusGone);
    }
    if (call.method == "GET")
        co_return co_await tell(std::move(call), rest);
    if (call.method == "DELETE")
        co_return co_await cancel(std::move(call), rest);
    if (call.method != "POST")
        co_return answer(statusNotAllowed);
    if (call.body.size() > configuration.bodyBytes)
        co_return answer(statusBadRequest);
    auto definition = m_ports.codec.submission(call.body);
    if (!definition) {
        ++m_counters["submissions_malformed"];
        co_return answer(statusBadRequest);
    }
    definition->id = rest;
    definition->queue = queue->name;
    co_return co_await submit(std::move(call), std::move(*definition));
}

std::uint32_t leader::returnSeconds(time_point now) const
{
    const auto away = std::chrono::duration_cast<std::chrono::seconds>(now - m_committedAt);
    return static_cast<std::uint32_t>(std::clamp(away.count(), shortestReturn, longestReturn));
}

caller_answer leader::refuseUnstored(const std::string &id, std::string_view reason, time_point now)
{
    ++m_counters["submissions_store_away"];
    const auto seconds = returnSeconds(now);
    log_event(log_level::Info, "job.refused")
        .field("job", id)
        .field("reason", reason)
        .field("committed_ms_ago",
               std::chrono::duration_cast<milliseconds>(now - m_committedAt).count())
        .field("retry_after_s", seconds);
    return answer(statusUnavailable, {}, seconds);
}

awaitable<caller_answer> leader::submit(caller_call call, jobs::job_definition definition)
{
    const auto id = definition.id;
    const auto now = bootNow();
    const bool known = m_scheduler.awaitingStore(id) || m_scheduler.state(id);
    if (!known && m_resigning)
        co_return caller_answer {};
    if (!known && (storeAway(now) || m_scheduler.waitingChanges() > mostWaitingChanges)) {
        co_return refuseUnstored(id, "the store is away", now);
    }
    const auto queue = definition.queue;
    const auto verdict = m_scheduler.submit(std::move(definition), now, m_wall.at(now));
    if (verdict.status == jobs::submit_status::Refused) {
        ++m_counters["submissions_refused"];
        log_event(log_level::Info, "job.refused")
            .field("job", id)
            .field("queue", queue)
            .field("reason", "no hope to be in time")
            .field("retry_after_s", verdict.retryAfterSeconds);
        co_return answer(statusTooMany, {}, verdict.retryAfterSeconds);
    }
    if (verdict.status == jobs::submit_status::AlreadyAccepted)
        co_return answer(statusOk);
    m_changed.cancel();
    planSoon();
    co_await waitStored(id, std::min(call.deadline, clock::now() + storedPatience));
    if (!m_ended && m_scheduler.discardUnstored(id)) {
        co_return refuseUnstored(id, "not stored in time", bootNow());
    }
    // The store may have it: only its answer tells.
    co_await waitStored(id, call.deadline);
    if (m_scheduler.state(id)) {
        ++m_counters["submissions_accepted"];
        log_event(log_level::Info, "job.accepted").field("job", id).field("queue", queue);
        co_return answer(statusOk);
    }
    if (!m_ended)
        co_return answer(statusUnknown);
    // The last write of this term may have been done.
    caller_answer open;
    open.uncertain = !m_scheduler.discardUnstored(id);
    co_return open;
}

awaitable<caller_answer> leader::cancel(caller_call call, std::string id)
{
    if (m_scheduler.cancel(id, bootNow())) {
        m_changed.cancel();
        planSoon();
        co_await waitStored(id, call.deadline);
        const auto state = m_scheduler.state(id);
        if (state && *state > jobs::job_state::Running) {
            log_event(log_level::Info, "job.cancelled").field("job", id);
            co_return answer(statusOk);
        }
        if (m_ended)
            co_return caller_answer {};
        co_return answer(statusUnknown);
    }
    bool known = false;
    auto state = m_scheduler.state(id);
    if (!state)
        state = co_await endedState(id, known);
    if (state)
        co_return answer(statusOk);
    co_return known ? answer(statusGone) : answer(statusUnavailable, {}, 1);
}

awaitable<caller_answer> leader::tell(caller_call call, std::string id)
{
    if (!m_scheduler.state(id) && m_scheduler.awaitingStore(id))
        co_await waitStored(id, call.deadline);
    if (const auto state = m_scheduler.state(id))
        co_return answer(statusOk, m_ports.codec.state(*state));
    if (m_ended)
        co_return caller_answer {};
    bool known = false;
    const auto ended = co_await endedState(id, known);
    if (ended)
        co_return answer(statusOk, m_ports.codec.state(*ended));
    if (known)
        co_return answer(statusGone);
    co_return answer(statusUnavailable, {}, 1);
}

// What the store has of a job that is not in memory; known tells whether the store was asked.
awaitable<std::optional<jobs::job_state>> leader::endedState(std::string id, bool &known)
{
    const auto self = shared_from_this();
    const auto askedAt = bootNow();
    auto read = co_await m_ports.store.read("ended", id, id + '\x01', clock::now() + endedPatience);
    const auto *page = std::get_if<row_page>(&read);
    // Another leader may have accepted the job since this one last wrote.
    known = page && !m_ended && m_committedAt >= askedAt - m_options.leadership.stillFor;
    if (!page || page->rows.empty())
        co_return std::nullopt;
    co_return jobs::parseState(page->rows.front().value);
}

awaitable<void> leader::waitStored(std::string id, time_point deadline)
{
    const auto self = shared_from_this();
    while (!m_ended && m_scheduler.awaitingStore(id) && clock::now() < deadline) {
        auto timer = std::make_shared<asio::steady_timer>(m_context, deadline);
        const auto at = m_waiters.emplace(id, timer);
        co_await timer->async_wait(asTuple);
        m_waiters.erase(at);
    }
}

void leader::wake(const std::string &id)
{
    const auto [first, last] = m_waiters.equal_range(id);
    for (auto at = first; at != last; ++at)
        at->second->cancel();
}

} // namespace plantaingap::cell
