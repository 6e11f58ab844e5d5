#include "runtime/config_keeper.h"

#include "platform/row_codec.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// GCC 12 inlines only half of the pair by which Asio recycles the memory of coroutine frames, and
// then takes the pair for mismatched.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace plantaingap::runtime {

namespace asio = boost::asio;
using operators::configuration_difference;
using operators::configuration_set;
using support::log_event;
using support::log_level;

namespace {

constexpr std::chrono::milliseconds tickEvery {100};
constexpr std::chrono::seconds callTime {2};
constexpr std::string_view headKey = "config/head";

std::string setKey(const std::string &digest)
{
    return "config/set/" + digest;
}

std::string differenceKey(const std::string &digest)
{
    return "config/difference/" + digest;
}

std::vector<std::string> changedPaths(const configuration &before, const configuration &after)
{
    std::vector<std::string> paths;
    for (const auto &change : operators::changesBetween(before, after))
        paths.push_back(change.path);
    return paths;
}

} // namespace

config_keeper::config_keeper(asio::io_context &context, platform::platform_client &platform,
                             const instance_ref &self, in_force tell)
    : m_context(context)
    , m_platform(platform)
    , m_machine(self, config_limits {})
    , m_tell(std::move(tell))
    , m_set(operators::makeSet({}))
{ }

void config_keeper::start()
{
    asio::co_spawn(m_context, runTicks(), asio::detached);
}

asio::awaitable<void> config_keeper::runTicks()
{
    while (true) {
        step(config_tick {});
        asio::steady_timer timer(m_context, tickEvery);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void config_keeper::step(const config_event &event)
{
    std::vector<config_action> actions;
    m_machine.step(event, clock::now(), actions);
    for (const auto &action : actions)
        std::visit([this](const auto &typed) { carryOut(typed); }, action);
}

void config_keeper::carryOut(const read_head &)
{
    asio::co_spawn(m_context, readHead(), asio::detached);
}

asio::awaitable<void> config_keeper::readHead()
{
    const auto sentAt = clock::now();
    const auto row = co_await m_platform.read(std::string(headKey), sentAt + callTime);
    if (row.has_error())
        co_return step(head_read_failed {});
    if (!row->has_value())
        co_return step(head_read {sentAt, std::nullopt});
    auto head = platform::configHeadFrom((*row)->value);
    if (!head)
        co_return step(head_read_failed {});
    m_head = *head;
    step(head_read {sentAt, std::move(head)});
}

void config_keeper::carryOut(const write_head &action)
{
    asio::co_spawn(m_context, writeHead(action), asio::detached);
}

asio::awaitable<void> config_keeper::writeHead(write_head action)
{
    const auto &change = action.head.recent.back();
    std::vector<platform::table_change> changes = {
        {std::string(headKey), change.version - 1, platform::configHeadText(action.head)}};
    // The machine settles one change at a time, so the pending one is the one being written.
    for (const auto &[ticket, pending] : m_applying) {
        if (!pending.ended && !pending.auditKey.empty())
            changes.push_back({pending.auditKey, 0, pending.auditText});
    }
    const auto outcomes = co_await m_platform.commit(changes, platform::commit_mode::AllOrNone,
                                                     clock::now() + callTime);
    if (outcomes.front() == write_outcome::Applied)
        m_head = action.head;
    step(head_written {change.write, outcomes.front()});
}

void config_keeper::carryOut(const write_audit &)
{
    // The administration writes the entries of refused changes itself, with who asked and why.
}

void config_keeper::carryOut(const fetch_config &action)
{
    asio::co_spawn(m_context, fetchTarget(action), asio::detached);
}

asio::awaitable<void> config_keeper::fetchTarget(fetch_config action)
{
    const auto deadline = clock::now() + callTime;
    auto found = co_await followDifferences(action, deadline);
    if (!found) {
        auto whole = co_await fetchWhole(action.digest, deadline);
        if (whole.has_error())
            co_return step(config_fetch_failed {});
        found = std::move(*whole);
    }
    m_fetched = std::move(*found);
    step(config_fetched {action.version, action.digest});
}

// From the set in force to the one wanted; nothing when a step is missing or does not fit.
asio::awaitable<std::optional<configuration_set>>
config_keeper::followDifferences(fetch_config wanted, time_point deadline)
{
    if (wanted.currentVersion == 0)
        co_return std::nullopt;
    auto set = m_set;
    const auto changes = m_head.recent;
    std::uint64_t reached = wanted.currentVersion;
    for (const auto &change : changes) {
        if (change.version <= reached || change.version > wanted.version)
            continue;
        if (change.version != reached + 1)
            co_return std::nullopt;
        const auto text = co_await m_platform.readObject(differenceKey(change.digest), deadline);
        if (text.has_error())
            co_return std::nullopt;
        const auto difference = operators::parseDifference(*text);
        if (difference.has_error())
            co_return std::nullopt;
        auto next = operators::applyDifference(set, *difference);
        if (next.has_error())
            co_return std::nullopt;
        set = std::move(*next);
        reached = change.version;
    }
    if (reached != wanted.version || set.digest != wanted.digest)
        co_return std::nullopt;
    co_return set;
}

asio::awaitable<result<configuration_set>> config_keeper::fetchWhole(std::string digest,
                                                                     time_point deadline)
{
    const auto text = co_await m_platform.readObject(setKey(digest), deadline);
    if (text.has_error())
        co_return text.error();
    auto set = operators::parseSet(setKey(digest), *text);
    if (set.has_error() || set->digest != digest)
        co_return make_error_code(errc::Malformed);
    co_return std::move(*set);
}

void config_keeper::carryOut(const activate_config &action)
{
    m_set = std::move(m_fetched);
    log_event(log_level::Info, "configuration.in_force")
        .field("version", action.version)
        .field("digest", action.digest);
    m_tell(action.version, m_set);
}

void config_keeper::carryOut(const apply_finished &action)
{
    const auto found = m_applying.find(action.ticket);
    if (found == m_applying.end())
        return;
    found->second.ended = action;
    found->second.wakeup->cancel();
}

asio::awaitable<config_apply_result>
config_keeper::apply(configuration_set set, configuration_difference difference, std::uint64_t base,
                     std::string author, std::string auditKey, std::string auditText,
                     time_point deadline)
{
    const auto text = operators::canonicalText(set.declared);
    const auto failed = co_await m_platform.writeObject(setKey(set.digest), text, deadline);
    if (failed)
        co_return config_apply_result {errc::StoreUnavailable, 0, {}};
    // The difference only saves traffic: without it the others fetch the whole set.
    co_await m_platform.writeObject(differenceKey(set.digest),
                                    operators::differenceText(difference), deadline);
    const auto ticket = ++m_tickets;
    const auto wakeup = std::make_shared<asio::steady_timer>(m_context, deadline + callTime);
    m_applying.emplace(ticket,
                       pending_apply {std::move(auditKey), std::move(auditText), {}, wakeup});
    config_apply_requested request;
    request.ticket = ticket;
    request.baseVersion = base;
    request.digest = set.digest;
    request.author = std::move(author);
    request.changed = changedPaths(m_set.declared, set.declared);
    request.deadline = deadline;
    step(request);
    if (!m_applying.at(ticket).ended) {
        boost::system::error_code ignored;
        co_await wakeup->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const auto ended = m_applying.at(ticket).ended;
    m_applying.erase(ticket);
    if (!ended)
        co_return config_apply_result {errc::OutcomeUnknown, 0, {}};
    co_return config_apply_result {ended->outcome, ended->version, ended->conflictingChanges};
}

asio::awaitable<result<configuration_set>> config_keeper::fetch(std::uint64_t version,
                                                                time_point deadline)
{
    if (version == m_machine.version())
        co_return m_set;
    const auto &recent = m_head.recent;
    const auto found = std::find_if(recent.begin(), recent.end(),
                                    [&](const auto &change) { return change.version == version; });
    if (found == recent.end())
        co_return make_error_code(errc::NotFound);
    const auto digest = found->digest;
    co_return co_await fetchWhole(digest, deadline);
}

} // namespace plantaingap::runtime
