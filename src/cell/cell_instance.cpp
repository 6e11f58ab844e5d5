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

// Timeout of callers that send none.
constexpr milliseconds defaultCallerTimeout {3000};
constexpr milliseconds maxCallerTimeout {60'000};
// How long a request waits until the instance has joined the cell.
constexpr milliseconds joinWaitTimeout {1200};
constexpr milliseconds joinCheckInterval {60};

constexpr milliseconds storeTimeout {1500};
constexpr milliseconds layoutReadInterval {200};
// The layout is stored when the number of listed workers has not grown for this long, which covers
// an interval of their reports, or after maxLayoutDelay.
constexpr milliseconds workerListSettleTime {1700};
constexpr milliseconds maxLayoutDelay {6000};
constexpr milliseconds workerCountInterval {800};
// The layout is sized for the instance that stores it, so instances that would lead last store it
// later by this multiple of their takeover delay, more than an interval between counts.
constexpr int layoutDelayFactor = 5;
// Instances far from the store count workers later by this multiple of a read's duration, so that
// few read the whole list.
constexpr int layoutDelayReads = 80;
constexpr milliseconds maxLayoutDistanceDelay {3000};

// A gang may need this share of the capacity that its partition is expected to allow it. A wider
// one could wait for ever while the rest of the cell has room.
constexpr double maxGangShareOfPartition = 0.8;

constexpr unsigned statusUnavailable = 503;
constexpr std::uint32_t joiningRetrySeconds = 1;
// Questions of operators, at the listener of metrics.
constexpr std::string_view jobsPath = "/jobs";
constexpr milliseconds explainTimeout {1500};

const row_key layoutKey {"cell", "layout", {}};

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
    , m_peerTransport(
          context, {[this](const heartbeat_request &request) {
                        auto *member = partition(request.partition);
                        return member ? member->handleHeartbeat(request) : heartbeat_reply {};
                    },
                    [this](caller_request request) -> awaitable<caller_response> {
                        auto *member = partition(request.partition);
                        if (!member)
                            co_return caller_response {};
                        co_return co_await member->handleRequest(std::move(request));
                    },
                    [&advisor](peer_advice_request request) {
                        return advisor.requestAdvice(std::move(request.step),
                                                     std::move(request.workers), request.deadline);
                    },
                    [this](jobs::limit_request request) -> awaitable<jobs::limit_reply> {
                        auto *member = partition(0);
                        if (!member)
                            co_return jobs::limit_reply {};
                        co_return co_await member->handleLimitRequest(std::move(request));
                    }})
    , m_ports {store, workers, advisor, codec, std::move(tables), m_peerTransport}
    , m_callerServer(context, callerLimits(m_options),
                     [this](support::http_request request, const support::http_peer &) {
                         return serveCaller(std::move(request));
                     })
    , m_readyServer(context, {}, [this](support::http_request request, const support::http_peer &) {
        return serveReady(std::move(request));
    })
{ }

std::error_code cell_instance::start()
{
    if (const auto error = m_peerTransport.listen(m_options.peerListen))
        return error;
    if (const auto error = m_callerServer.listen(m_options.callerListen))
        return error;
    if (const auto error = m_readyServer.listen(m_options.readyListen))
        return error;
    asio::co_spawn(m_context, joinCell(), asio::detached);
    return {};
}

awaitable<void> cell_instance::sleepFor(milliseconds period)
{
    asio::steady_timer timer(m_context, period);
    co_await timer.async_wait(asTuple);
}

partition_member *cell_instance::partition(std::uint32_t index)
{
    return index < m_partitions.size() ? m_partitions[index].get() : nullptr;
}

std::uint32_t cell_instance::partitionsLed() const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_partitions, [](const auto &member) { return member->leads(); }));
}

// Without any leader the instance cannot serve. While one of several partitions has none, requests
// for the others are served, and no other instance is better off.
bool cell_instance::isReady() const
{
    return !m_stopping && std::ranges::any_of(m_partitions, [](const auto &member) {
        return member->hasLeader();
    });
}

// Layout.

awaitable<std::optional<cell_layout>> cell_instance::readLayout(bool &storeRead, bool &cellExists)
{
    const key_range range {layoutKey.table, layoutKey.part, {}, {}};
    auto read = co_await m_ports.store.read(range, clock::now() + storeTimeout);
    const auto *page = std::get_if<row_page>(&read);
    storeRead = page != nullptr;
    if (!page)
        co_return std::nullopt;
    for (const auto &row : page->rows) {
        if (row.rowKey.key != layoutKey.key) {
            cellExists = true;
            continue;
        }
        const auto layout = decodeLayout(row.value);
        if (!layout)
            log_event(log_level::Error, "layout.unreadable").field("revision", row.revision);
        // A layout of a later version is not replaced.
        storeRead = layout.has_value();
        co_return layout;
    }
    co_return std::nullopt;
}

awaitable<std::optional<std::size_t>> cell_instance::countWorkers()
{
    std::size_t count = 0;
    key_range range {m_ports.tables.workers, {}, {}, {}};
    while (true) {
        auto read = co_await m_ports.store.read(range, clock::now() + storeTimeout);
        const auto *page = std::get_if<row_page>(&read);
        if (!page)
            co_return std::nullopt;
        count += page->rows.size();
        if (!page->hasMore || page->rows.empty())
            co_return count;
        range.from = page->rows.back().rowKey.key + '\x01';
    }
}

awaitable<void> cell_instance::storeLayout(cell_layout layout)
{
    transaction changes;
    changes.preconditions.push_back({layoutKey, 0});
    changes.puts.emplace_back(layoutKey, encodeLayout(layout));
    // Whether it was applied, or another instance was first, the next read tells.
    co_await m_ports.store.commit(std::move(changes), clock::now() + storeTimeout);
}

awaitable<void> cell_instance::joinCell()
{
    const auto ownDelay = m_options.takeoverDelay * layoutDelayFactor;
    const auto storeLayoutBy = bootNow() + maxLayoutDelay + ownDelay;
    std::optional<time_point> countAt;
    std::size_t workers = 0;
    time_point settledAt {};
    while (true) {
        bool storeRead = false;
        bool cellExists = false;
        const auto readAt = bootNow();
        const auto stored = co_await readLayout(storeRead, cellExists);
        if (stored) {
            startPartitions(*stored);
            co_return;
        }
        if (storeRead && cellExists) {
            co_await storeLayout(cell_layout {});
            continue;
        }
        if (storeRead && !countAt) {
            const auto distanceDelay =
                std::min<duration>((bootNow() - readAt) * layoutDelayReads, maxLayoutDistanceDelay);
            countAt = bootNow() + distanceDelay;
        }
        if (storeRead && bootNow() >= *countAt) {
            countAt = bootNow() + workerCountInterval;
            const auto count = co_await countWorkers();
            if (count && *count > workers) {
                workers = *count;
                settledAt = bootNow() + workerListSettleTime + ownDelay;
            }
            const bool settled = workers > 0 && bootNow() >= settledAt;
            if (count && (settled || bootNow() >= storeLayoutBy)) {
                co_await storeLayout(layoutFor(workers, m_options.capacity));
                continue;
            }
        }
        co_await sleepFor(layoutReadInterval);
    }
}

void cell_instance::startPartitions(cell_layout layout)
{
    log_event(log_level::Info, "cell.joined").field("partitions", layout.partitions);
    for (std::uint32_t index = 0; index < layout.partitions; ++index) {
        member_options options {m_options.instance, m_options.peerListen, m_options.takeoverDelay,
                                m_options.leader};
        options.leader.partition = {index, layout.partitions};
        options.leader.scheduler.partitions = layout.partitions;
        auto &waitingCalls = options.leader.scheduler.maxWaitingAdviceCalls;
        waitingCalls = std::max<std::uint32_t>(waitingCalls / layout.partitions, 1);
        if (layout.partitions > 1)
            options.leader.scheduler.maxGangShare = maxGangShareOfPartition;
        m_partitions.push_back(std::make_unique<partition_member>(
            m_context, std::move(options), m_ports, [this, index] {
                const bool leadsThis = m_partitions[index]->leads();
                return partitionsLed() - (leadsThis ? 1 : 0);
            }));
    }
    for (auto &member : m_partitions) {
        member->start();
        if (m_stopping)
            member->stop();
    }
}

// Callers' requests.

awaitable<caller_response> cell_instance::routeToPartition(std::uint32_t index,
                                                           caller_request request)
{
    request.partition = index;
    request.configurationVersion = m_configurationVersion;
    auto response = co_await m_partitions[index]->routeRequest(std::move(request));
    m_configurationVersion = std::max(m_configurationVersion, response.configurationVersion);
    co_return response;
}

// A request that names no job is about a queue, whose jobs are in all partitions.
awaitable<caller_response> cell_instance::routeToAll(caller_request request)
{
    std::uint64_t waiting = 0;
    caller_response response;
    for (std::uint32_t index = 0; index < m_partitions.size(); ++index) {
        response = co_await routeToPartition(index, request);
        if (!response.waitingJobs)
            co_return response;
        waiting += *response.waitingJobs;
    }
    response.body = m_ports.codec.formatWaitingJobs(waiting);
    co_return response;
}

awaitable<caller_response> cell_instance::routeRequest(caller_request request)
{
    const auto joinBy = clock::now() + joinWaitTimeout;
    while (m_partitions.empty() && clock::now() < std::min(joinBy, request.deadline))
        co_await sleepFor(joinCheckInterval);
    if (m_partitions.empty()) {
        caller_response response;
        response.status = statusUnavailable;
        response.retryAfterSeconds = joiningRetrySeconds;
        co_return response;
    }
    const auto id = jobIdOf(request.target);
    if (id.empty())
        co_return co_await routeToAll(std::move(request));
    const auto index = partitionOfJob(id, static_cast<std::uint32_t>(m_partitions.size()));
    co_return co_await routeToPartition(index, std::move(request));
}

awaitable<support::http_response> cell_instance::serveCaller(support::http_request request)
{
    ++m_callerRequests;
    caller_request forwarded;
    forwarded.deadline = callerDeadline(request);
    forwarded.method = std::string(request.method_string());
    if (forwarded.method == leader::explainMethod)
        co_return support::makeResponse(http::status::method_not_allowed, "text/plain", {});
    forwarded.host = std::string(request[http::field::host]);
    forwarded.target = std::string(request.target());
    forwarded.body = std::move(request.body());
    forwarded.authorization = std::string(request[http::field::authorization]);
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
    std::uint64_t forwardFailures = 0;
    std::uint64_t notAnswered = 0;
    for (const auto &member : m_partitions) {
        forwardFailures += member->forwardFailures();
        notAnswered += member->requestsNotAnswered();
    }
    add("caller_requests_total", m_callerRequests);
    add("relay_failures_total", forwardFailures);
    add("unanswerable_total", notAnswered);
    add("partitions", m_partitions.size());
    add("leads", partitionsLed());
    addWorkerConnections(text);
    for (const auto &member : m_partitions)
        text += member->metrics();
    return text;
}

void cell_instance::addWorkerConnections(std::string &metrics) const
{
    std::uint64_t refusals = 0;
    for (const auto &count : m_ports.workers.connectionCounts()) {
        refusals += count.refusals;
        const auto add = [&](std::string_view use, std::size_t connections) {
            if (connections == 0)
                return;
            metrics.append("plantaingap_worker_connections{worker=\"")
                .append(count.worker)
                .append("\",use=\"")
                .append(use)
                .append("\"} ")
                .append(std::to_string(connections))
                .append("\n");
        };
        add("idle", count.idle);
        for (std::size_t kind = 0; kind < callKinds; ++kind)
            add(callKindName(static_cast<call_kind>(kind)), count.busy[kind]);
    }
    metrics.append("plantaingap_worker_connections_refused_total ")
        .append(std::to_string(refusals))
        .append("\n");
}

awaitable<support::http_response> cell_instance::explainJobs(std::string path)
{
    const auto count = static_cast<std::uint32_t>(m_partitions.size());
    const auto id = jobIdOf(path);
    if (path != jobsPath && id.empty())
        co_return support::makeResponse(http::status::not_found, "text/plain", "not found\n");
    std::string body;
    bool complete = count > 0;
    for (std::uint32_t index = 0; index < count; ++index) {
        if (!id.empty() && index != partitionOfJob(id, count))
            continue;
        caller_request question;
        question.method = std::string(leader::explainMethod);
        question.target = path;
        question.deadline = clock::now() + explainTimeout;
        const auto response = co_await routeToPartition(index, std::move(question));
        const bool answered = response.status == static_cast<unsigned>(http::status::ok);
        complete = complete && answered;
        body += answered ? response.body
                         : "partition=" + std::to_string(index) + " leader= no answer\n";
    }
    co_return support::makeResponse(complete ? http::status::ok : http::status::service_unavailable,
                                    "text/plain", body);
}

awaitable<support::http_response> cell_instance::serveReady(support::http_request request)
{
    const auto path = support::targetPath(request.target());
    if (path.starts_with(jobsPath))
        co_return co_await explainJobs(std::string(path));
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
    for (auto &member : m_partitions)
        member->stop();
    asio::co_spawn(m_context, finishStop(std::move(stopped)), asio::detached);
}

awaitable<void> cell_instance::finishStop(std::function<void()> stopped)
{
    const auto start = clock::now();
    co_await sleepFor(m_options.stopAcceptDelay);
    m_callerServer.stopAccepting();
    while (clock::now() - start < m_options.stopDeadline
           && (partitionsLed() > 0 || m_callerServer.unanswered() > 0)) {
        co_await sleepFor(milliseconds(50));
    }
    log_event(log_level::Info, "instance.stopped")
        .field("open_requests", static_cast<std::uint64_t>(m_callerServer.unanswered()));
    stopped();
}

} // namespace plantaingap::cell
