#include "cell/leader.h"
#include "support/boot_time.h"
#include "support/http_message.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

// The leader's handling of callers' requests.
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
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusForbidden = 403;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusNotAllowed = 405;
constexpr unsigned statusGone = 410;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusUnknown = 504;

constexpr std::size_t identifierLength = 16;
// Of the definition alone, below the platform's limit for a row of 65,536 bytes. The store never
// accepts a larger one, and the writes after it would wait for ever.
constexpr std::size_t maxRecordBytes = 60'000;
constexpr milliseconds endedReadTimeout {1000};
// How long a request waits for a configuration that another leader has applied already.
constexpr milliseconds configurationTimeout {1000};
// A submitted job that has not been sent to the store after this time is discarded and rejected.
constexpr milliseconds submissionStoreTimeout {1200};
// With more changes than this waiting to be stored, the store is the bottleneck and new jobs are
// rejected.
constexpr std::size_t maxWaitingChanges = 150;
// Bounds of the retry delay of rejected callers, which is the time since the last successful
// commit was sent.
constexpr std::int64_t minRetryAfterSeconds = 1;
constexpr std::int64_t maxRetryAfterSeconds = 4;

bool isIdentifier(std::string_view text)
{
    return text.size() == identifierLength
           && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

caller_response makeResponse(unsigned status, std::string body = {}, std::uint32_t retryAfter = 0)
{
    caller_response response;
    response.leads = true;
    response.status = status;
    response.body = std::move(body);
    response.retryAfterSeconds = retryAfter;
    return response;
}

// Strips the port from a Host header value.
std::string_view hostName(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

void addSize(log_event &line, const jobs::job_size &size)
{
    line.field("tasks", static_cast<std::uint64_t>(size.tasks))
        .field("whole_workers", static_cast<std::uint64_t>(size.wholeWorkers))
        .field("core_s", static_cast<std::int64_t>(std::llround(size.coreSeconds)));
}

} // namespace

awaitable<caller_response> leader::handleRequest(caller_request request)
{
    const auto self = shared_from_this();
    if (request.method == explainMethod)
        co_return ready() ? explainJobs(request.target) : caller_response {};
    auto response = co_await handleInConfiguration(std::move(request));
    response.configurationVersion = m_scheduler.configuration().version;
    co_return response;
}

awaitable<caller_response> leader::handleInConfiguration(caller_request request)
{
    if (!ready())
        co_return caller_response {};
    if (request.configurationVersion > m_scheduler.configuration().version) {
        const auto latest = std::min(request.deadline, clock::now() + configurationTimeout);
        if (!co_await awaitConfiguration(request.configurationVersion, latest))
            co_return makeResponse(statusUnavailable, {}, 1);
        if (!ready())
            co_return caller_response {};
    }
    const auto &configuration = m_scheduler.configuration();
    if (configuration.version == 0)
        co_return makeResponse(statusUnavailable, {}, 1);
    const auto path = support::targetPath(request.target);
    const auto *queue = configuration.find(hostName(request.host), path);
    const auto id = queue ? std::string(path.substr(queue->prefix.size())) : std::string();
    const bool keyRequired = m_keys.required() && requiresKey(queue, id);
    // A configuration that is too old tells neither which keys are known nor which queues.
    if (keyRequired && !canCheckKeys()) {
        // An accepted job runs, whatever the answer to a repeated submission.
        const bool mayRun =
            request.method == "POST"
            && (m_scheduler.awaitingStore(id) || m_scheduler.state(id) || !m_endedJobsLoaded);
        co_return refuseKey(mayRun ? statusUnknown : statusUnavailable,
                            "the configuration is not confirmed", {});
    }
    if (!queue)
        co_return makeResponse(statusNotFound);
    std::string workspace;
    if (auto refusal = checkKey(request, keyRequired, id, workspace))
        co_return std::move(*refusal);
    if (id.empty()) {
        if (request.method != "GET")
            co_return makeResponse(statusNotAllowed);
        auto response = makeResponse(statusOk);
        response.waitingJobs = m_scheduler.waitingJobs(queue->name);
        co_return response;
    }
    if (!isIdentifier(id)) {
        co_return makeResponse(request.method == "POST" ? statusBadRequest : statusGone);
    }
    if (request.method == "GET")
        co_return co_await reportState(std::move(request), id, std::move(workspace));
    if (request.method == "DELETE")
        co_return co_await cancel(std::move(request), id, std::move(workspace));
    if (request.method != "POST")
        co_return makeResponse(statusNotAllowed);
    if (request.body.size() > configuration.bodyBytes)
        co_return makeResponse(statusBadRequest);
    auto definition = m_ports.codec.parseSubmission(request.body);
    if (!definition) {
        ++m_counters["submissions_malformed"];
        co_return makeResponse(statusBadRequest);
    }
    definition->id = id;
    definition->queue = queue->name;
    definition->workspace = std::move(workspace);
    if (jobs::encodeJob(*definition, {}, nullptr).size() > maxRecordBytes) {
        ++m_counters["submissions_too_large"];
        log_event line(log_level::Info, "job.rejected");
        line.field("job", id)
            .field("queue", queue->name)
            .field("reason", "its record does not fit into a row of the store");
        addSize(line, m_scheduler.sizeOf(*definition));
        co_return makeResponse(statusBadRequest);
    }
    co_return co_await submit(std::move(request), std::move(*definition));
}

// A job of a workspace is the workspace's also when it is asked for by the path of an open queue.
bool leader::requiresKey(const jobs::queue_definition *queue, const std::string &id) const
{
    if (!queue || !queue->open)
        return true;
    const auto *job = m_scheduler.job(id);
    if (!job)
        return !m_scheduler.workspaceOf(id).empty();
    const auto *own = m_scheduler.configuration().byName(job->definition.queue);
    return !job->definition.workspace.empty() && !(own && own->open);
}

bool leader::mayAccess(const std::string &workspace, const std::string &owner) const
{
    return !m_keys.required() || owner.empty() || owner == workspace;
}

std::optional<caller_response> leader::checkKey(const caller_request &request, bool keyRequired,
                                                const std::string &id, std::string &workspace)
{
    if (!m_keys.required())
        return std::nullopt;
    const auto *found = canCheckKeys() ? m_keys.find(request.authorization) : nullptr;
    if (found)
        workspace = *found;
    if (!keyRequired)
        return std::nullopt;
    if (!found) {
        return refuseKey(statusUnauthorized,
                         request.authorization.empty() ? "no key" : "unknown key", {});
    }
    const auto owner = m_scheduler.workspaceOf(id);
    if (!owner.empty() && owner != workspace)
        return refuseKey(statusForbidden, "the job belongs to another workspace", workspace);
    return std::nullopt;
}

caller_response leader::refuseKey(unsigned status, std::string_view reason,
                                  const std::string &workspace)
{
    ++m_counters[status == statusUnauthorized ? "requests_unauthorized"
                 : status == statusForbidden  ? "requests_for_other_workspaces"
                                              : "requests_unconfirmed"];
    if (m_keyRefusalsToLog > 0) {
        --m_keyRefusalsToLog;
        log_event(log_level::Info, "request.refused")
            .field("partition", m_options.partition.index)
            .field("status", status)
            .field("reason", reason)
            .field("workspace", workspace)
            .field("version", m_scheduler.configuration().version);
    }
    return makeResponse(status, {}, status == statusUnavailable ? 1 : 0);
}

std::uint32_t leader::outageRetrySeconds(time_point now) const
{
    const auto sinceCommit =
        std::chrono::duration_cast<std::chrono::seconds>(now - m_lastCommitSentAt);
    return static_cast<std::uint32_t>(
        std::clamp(sinceCommit.count(), minRetryAfterSeconds, maxRetryAfterSeconds));
}

caller_response leader::rejectUnstored(const std::string &id, const jobs::job_size &size,
                                       std::string_view reason, time_point now)
{
    ++m_counters["submissions_store_away"];
    const auto seconds = outageRetrySeconds(now);
    log_event line(log_level::Info, "job.rejected");
    line.field("job", id)
        .field("reason", reason)
        .field("committed_ms_ago",
               std::chrono::duration_cast<milliseconds>(now - m_lastCommitSentAt).count())
        .field("retry_after_s", seconds);
    addSize(line, size);
    return makeResponse(statusUnavailable, {}, seconds);
}

jobs::submit_result leader::decideSubmission(jobs::job_definition definition, time_point now)
{
    const duty_times::scope timed(m_duties, leader_duty::Submissions);
    return m_scheduler.submit(std::move(definition), now, m_wallClock.estimate(now));
}

awaitable<caller_response> leader::submit(caller_request request, jobs::job_definition definition)
{
    const auto id = definition.id;
    const auto size = m_scheduler.sizeOf(definition);
    const auto now = bootNow();
    const bool duplicate = m_scheduler.awaitingStore(id) || m_scheduler.state(id);
    if (!duplicate && m_resigning)
        co_return caller_response {};
    if (!duplicate && (storeUnavailable(now) || m_scheduler.waitingChanges() > maxWaitingChanges)) {
        co_return rejectUnstored(id, size, "the store is unavailable", now);
    }
    const auto queue = definition.queue;
    const auto result = decideSubmission(std::move(definition), now);
    if (result.status == jobs::submit_status::Refused) {
        ++m_counters["submissions_refused"];
        log_event line(log_level::Info, "job.rejected");
        line.field("job", id)
            .field("queue", queue)
            .field("reason", result.reason)
            .field("retry_after_s", result.retryAfterSeconds);
        addSize(line, size);
        for (const auto &[key, value] : result.fields)
            line.field(key, value);
        co_return makeResponse(statusTooMany, {}, result.retryAfterSeconds);
    }
    if (result.status == jobs::submit_status::AlreadyAccepted)
        co_return makeResponse(statusOk);
    m_changeTimer.cancel();
    schedulePlan();
    co_await waitUntilStored(id, std::min(request.deadline, clock::now() + submissionStoreTimeout));
    if (!m_ended && m_scheduler.discardUnstored(id)) {
        co_return rejectUnstored(id, size, "not stored in time", bootNow());
    }
    // The job was already sent to the store, so wait for the store's reply.
    co_await waitUntilStored(id, request.deadline);
    if (m_scheduler.state(id)) {
        ++m_counters["submissions_accepted"];
        log_event line(log_level::Info, "job.accepted");
        line.field("job", id).field("queue", queue);
        addSize(line, size);
        co_return makeResponse(statusOk);
    }
    if (!m_ended)
        co_return makeResponse(statusUnknown);
    // The last write of this term may have been applied.
    caller_response response;
    response.outcomeUnknown = !m_scheduler.discardUnstored(id);
    co_return response;
}

awaitable<caller_response> leader::cancel(caller_request request, std::string id,
                                          std::string workspace)
{
    if (m_scheduler.cancel(id, bootNow())) {
        m_changeTimer.cancel();
        schedulePlan();
        co_await waitUntilStored(id, request.deadline);
        const auto state = m_scheduler.state(id);
        if (state && *state > jobs::job_state::Running) {
            log_event(log_level::Info, "job.cancelled").field("job", id);
            co_return makeResponse(statusOk);
        }
        if (m_ended)
            co_return caller_response {};
        co_return makeResponse(statusUnknown);
    }
    bool storeRead = false;
    if (m_scheduler.state(id))
        co_return makeResponse(statusOk);
    if (const auto ended = co_await readEnded(id, storeRead)) {
        if (!mayAccess(workspace, ended->workspace))
            co_return refuseKey(statusForbidden, "the job belongs to another workspace", workspace);
        co_return makeResponse(statusOk);
    }
    co_return storeRead ? makeResponse(statusGone) : makeResponse(statusUnavailable, {}, 1);
}

awaitable<caller_response> leader::reportState(caller_request request, std::string id,
                                               std::string workspace)
{
    if (!m_scheduler.state(id) && m_scheduler.awaitingStore(id))
        co_await waitUntilStored(id, request.deadline);
    if (const auto state = m_scheduler.state(id))
        co_return makeResponse(statusOk, m_ports.codec.formatState(*state));
    if (m_ended)
        co_return caller_response {};
    bool storeRead = false;
    const auto ended = co_await readEnded(id, storeRead);
    if (ended && !mayAccess(workspace, ended->workspace))
        co_return refuseKey(statusForbidden, "the job belongs to another workspace", workspace);
    if (ended)
        co_return makeResponse(statusOk, m_ports.codec.formatState(ended->state));
    if (storeRead)
        co_return makeResponse(statusGone);
    co_return makeResponse(statusUnavailable, {}, 1);
}

// Reads the end of a job that is not in memory; nullopt if the store has none. Sets
// `storeRead` if the read succeeded and was up to date.
awaitable<std::optional<jobs::ended_record>> leader::readEnded(std::string id, bool &storeRead)
{
    const auto self = shared_from_this();
    const auto readAt = bootNow();
    const key_range range {"ended", m_storePart, id, id + '\x01'};
    auto read = co_await m_ports.store.read(range, clock::now() + endedReadTimeout);
    const auto *page = std::get_if<row_page>(&read);
    // Without a recent commit of this leader, another one may have accepted the job.
    storeRead =
        page && !m_ended && m_lastCommitSentAt >= readAt - m_options.leadership.unchangedTimeout;
    if (!page || page->rows.empty())
        co_return std::nullopt;
    co_return jobs::parseEnded(page->rows.front().value);
}

awaitable<void> leader::waitUntilStored(std::string id, time_point deadline)
{
    const auto self = shared_from_this();
    while (!m_ended && m_scheduler.awaitingStore(id) && clock::now() < deadline) {
        auto timer = std::make_shared<asio::steady_timer>(m_context, deadline);
        const auto waiter = m_storeWaiters.emplace(id, timer);
        co_await timer->async_wait(asTuple);
        m_storeWaiters.erase(waiter);
    }
}

void leader::wakeWaiters(const std::string &id)
{
    const auto [first, last] = m_storeWaiters.equal_range(id);
    for (auto it = first; it != last; ++it)
        it->second->cancel();
}

} // namespace plantaingap::cell
