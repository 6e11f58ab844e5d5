#include "cell/leader.h"
#include "support/boot_time.h"
#include "support/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

// The leader's part in the division of workspaces' limits among the partitions of a cell.
namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using support::log_event;
using support::log_level;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view ceilingsKey = "limit_ceilings";
constexpr milliseconds requestInterval {250};
// A request waits for the store's write of the ceilings that it is granted.
constexpr milliseconds requestTimeout {1000};
constexpr milliseconds answerTimeout {900};
constexpr milliseconds rowReadTimeout {800};
// Below the platform's limit for a row of 65,536 bytes: the store never accepts a larger one, and
// the writes after it would wait for ever.
constexpr std::size_t maxRowBytes = 60'000;

} // namespace

awaitable<bool> leader::loadCeilings()
{
    std::vector<stored_row> rows;
    const std::string key(ceilingsKey);
    const key_range range {"cell", m_storePart, key, key + '\x01'};
    if (!co_await loadTable(range, rows))
        co_return false;
    std::optional<std::string_view> row;
    if (!rows.empty())
        row = rows.front().value;
    if (!m_limitGrantor.load(row))
        log_event(log_level::Error, "limits.unreadable").field("revision", rows.front().revision);
    co_return true;
}

void leader::configureLimits()
{
    if (!sharesLimits())
        return;
    const auto &configuration = m_scheduler.configuration();
    jobs::workspace_limits limits;
    for (const auto &workspace : configuration.workspaces) {
        if (workspace.limit != resources {})
            limits[workspace.name] = workspace.limit;
    }
    m_limitHolder.configure(configuration.version, limits);
    if (grantsLimits()) {
        m_limitGrantor.configure(configuration.version, limits);
        m_ceilingsTooLarge = false;
    }
    applyCeilings();
    m_limitTimer.cancel();
}

void leader::applyCeilings()
{
    bool changed = false;
    for (const auto &[name, limit] : m_limitHolder.limits()) {
        const auto ceiling = m_limitHolder.ceiling(name);
        if (!m_scheduler.setCeiling(name, ceiling))
            continue;
        changed = true;
        ++m_counters["limit_ceiling_changes"];
        if (m_ceilingChangesToLog == 0)
            continue;
        --m_ceilingChangesToLog;
        const auto *account = m_scheduler.accounts().find(name);
        log_event(log_level::Info, "limits.ceiling")
            .field("partition", m_options.partition.index)
            .field("term", m_row.term)
            .field("version", m_scheduler.configuration().version)
            .field("workspace", name)
            .field("cores", ceiling.milliCores / 1000)
            .field("memory_mib", ceiling.memoryMib)
            .field("accelerators", ceiling.accelerators)
            .field("cores_used", account->used.milliCores / 1000)
            .field("cores_limit", limit.milliCores / 1000);
    }
    if (changed && m_ready)
        schedulePlan();
}

awaitable<void> leader::shareLimitsLoop()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        if (!m_limitHolder.limits().empty())
            co_await askForCeilings();
        if (m_ended)
            co_return;
        m_limitTimer.expires_after(requestInterval);
        co_await m_limitTimer.async_wait(asTuple);
    }
}

awaitable<std::string> leader::findGrantor()
{
    const partition_id grantor {0, m_options.partition.count};
    const key_range range {"cell", grantor.storePart(), "leader", std::string("leader") + '\x01'};
    auto read = co_await m_ports.store.read(range, clock::now() + rowReadTimeout);
    const auto *page = std::get_if<row_page>(&read);
    if (!page || page->rows.empty())
        co_return std::string();
    const auto row = decodeLeaderRow(page->rows.front().value);
    co_return row && !row->resigned ? row->address : std::string();
}

awaitable<void> leader::askForCeilings()
{
    if (!grantsLimits() && m_grantorAddress.empty()) {
        m_grantorAddress = co_await findGrantor();
        if (m_grantorAddress.empty() || m_ended)
            co_return;
    }
    ++m_counters["limit_requests"];
    auto request = m_limitHolder.nextRequest(m_scheduler.limitUses());
    jobs::limit_reply reply;
    if (grantsLimits()) {
        reply = co_await handleLimitRequest(std::move(request));
    } else {
        const auto address = m_grantorAddress;
        auto result = co_await m_ports.peers.shareLimits(address, std::move(request),
                                                         clock::now() + requestTimeout);
        if (auto *received = std::get_if<jobs::limit_reply>(&result))
            reply = std::move(*received);
    }
    if (m_ended)
        co_return;
    if (!reply.answered) {
        ++m_counters["limit_requests_not_answered"];
        m_grantorAddress.clear();
    }
    if (m_limitHolder.accept(reply))
        applyCeilings();
}

awaitable<jobs::limit_reply> leader::handleLimitRequest(jobs::limit_request request)
{
    const auto self = shared_from_this();
    if (!ready() || !grantsLimits())
        co_return jobs::limit_reply {};
    const auto answer = m_limitGrantor.handle(request);
    if (!answer)
        co_return jobs::limit_reply {};
    if (hasCeilingsToStore())
        m_changeTimer.cancel();
    const auto deadline = clock::now() + answerTimeout;
    while (answer->storedRevision > m_storedCeilings) {
        if (m_ended || clock::now() >= deadline)
            co_return jobs::limit_reply {};
        const auto timer = std::make_shared<asio::steady_timer>(m_context, deadline);
        m_ceilingWaiters.insert(timer);
        co_await timer->async_wait(asTuple);
        m_ceilingWaiters.erase(timer);
    }
    co_return answer->reply;
}

bool leader::hasCeilingsToStore() const
{
    return grantsLimits() && !m_ceilingsTooLarge && m_limitGrantor.revision() > m_storedCeilings;
}

void leader::takeCeilings()
{
    m_ceilingsWrite.reset();
    if (!hasCeilingsToStore())
        return;
    auto row = m_limitGrantor.encode();
    if (row.size() > maxRowBytes) {
        m_ceilingsTooLarge = true;
        log_event(log_level::Error, "limits.row_too_large")
            .field("bytes", static_cast<std::uint64_t>(row.size()));
        return;
    }
    m_ceilingsWrite = {m_limitGrantor.revision(), std::move(row)};
}

void leader::onCeilingsStored()
{
    if (!m_ceilingsWrite)
        return;
    m_storedCeilings = m_ceilingsWrite->revision;
    m_ceilingsWrite.reset();
    ++m_counters["limit_ceilings_stored"];
    for (const auto &timer : m_ceilingWaiters)
        timer->cancel();
}

void leader::addLimits(std::string &metrics) const
{
    const auto add = [&](std::string_view name, const std::string &workspace, std::int64_t value) {
        metrics.append("plantaingap_workspace_").append(name).append("{partition=\"");
        metrics.append(std::to_string(m_options.partition.index)).append("\",workspace=\"");
        metrics.append(workspace).append("\"} ").append(std::to_string(value)).append("\n");
    };
    const auto addAll = [&](const std::string &name, const std::string &workspace,
                            const resources &amount) {
        add(name + "_millicores", workspace, amount.milliCores);
        add(name + "_memory_mib", workspace, amount.memoryMib);
        add(name + "_accelerators", workspace, amount.accelerators);
    };
    for (const auto &[name, limit] : m_limitHolder.limits()) {
        addAll("ceiling", name, m_limitHolder.ceiling(name));
        if (grantsLimits())
            addAll("granted", name, m_limitGrantor.granted(name));
    }
}

} // namespace plantaingap::cell
