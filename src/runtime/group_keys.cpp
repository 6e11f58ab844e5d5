#include "runtime/group_keys.h"

#include "support/log.h"
#include "support/stable_id.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace plantaingap::runtime {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace decision;
using platform::change_kind;
using platform::table_change;

namespace {

// How long a key is remembered at least.
constexpr std::chrono::hours keptFor {24};
constexpr std::chrono::seconds callTime {2};
constexpr std::chrono::seconds betweenLoads {1};
// Batch numbers of one generation follow one another below this.
constexpr int generationShift = 32;
// Each batch is written once, so its row has this version until it is removed.
constexpr std::uint64_t writtenOnce = 1;

wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::string keyRow(const request_key &key)
{
    return "request-key/" + support::contentDigest(key);
}

std::string batchText(const stored_batch &batch)
{
    json::array keys;
    for (const auto &stored : batch.keys)
        keys.push_back(json::array {stored.key, stored.expiresAt.time_since_epoch().count()});
    return json::serialize(keys);
}

std::optional<stored_batch> batchFrom(std::string_view name, std::string_view text)
{
    std::uint64_t batch = 0;
    const auto read = std::from_chars(name.data(), name.data() + name.size(), batch);
    boost::system::error_code error;
    const auto document = json::parse(text, error);
    if (read.ec != std::errc {} || error || !document.is_array())
        return std::nullopt;
    stored_batch stored {batch_id {batch}, {}};
    for (const auto &entry : document.get_array()) {
        const auto *pair = entry.if_array();
        if (!pair || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_int64())
            return std::nullopt;
        const std::chrono::milliseconds until((*pair)[1].get_int64());
        stored.keys.push_back({std::string((*pair)[0].get_string()), wall_time(until)});
    }
    return stored;
}

} // namespace

group_keys::group_keys(asio::io_context &context, platform::platform_client &platform,
                       std::string group, const epoch &authority, outlets out)
    : m_context(context)
    , m_platform(platform)
    , m_group(std::move(group))
    , m_authority(authority)
    , m_out(std::move(out))
    , m_memory({}, batch_id {authority.generation << generationShift})
    , m_timer(context)
{ }

void group_keys::start()
{
    asio::co_spawn(m_context, load(shared_from_this()), asio::detached);
}

void group_keys::stop()
{
    step(ownership_lost {});
    m_stopped = true;
    m_timer.cancel();
}

void group_keys::arrived(const service_request &request)
{
    auto key = request.service + "/" + request.key;
    m_requestKeys.emplace(request.id, key);
    step(key_arrived {request.id, std::move(key), request.deadline, wallNow() + keptFor});
}

void group_keys::answered(const service_request &request, unsigned status)
{
    step(key_completed {request.service + "/" + request.key, status});
}

void group_keys::step(const key_event &event)
{
    if (m_stopped)
        return;
    m_memory.step(event, clock::now(), m_actions);
    carryOut();
}

void group_keys::carryOut()
{
    const auto actions = std::move(m_actions);
    m_actions.clear();
    for (const auto &action : actions)
        std::visit([this](const auto &typed) { carryOut(typed); }, action);
    armTimer();
}

void group_keys::carryOut(const commit_keys &action)
{
    asio::co_spawn(m_context, commit(shared_from_this(), action), asio::detached);
}

void group_keys::carryOut(const read_batch &action)
{
    asio::co_spawn(m_context, readBatch(shared_from_this(), action.batch), asio::detached);
}

void group_keys::carryOut(const release_request &action)
{
    m_requestKeys.erase(action.request);
    m_out.release(action.request);
}

void group_keys::carryOut(const refuse_key &action)
{
    auto refused = action;
    const auto key = m_requestKeys.extract(action.request);
    if (!key.empty() && m_elsewhere.erase(key.mapped()) > 0)
        refused.code = errc::DuplicateKey;
    m_out.refuse(refused);
}

void group_keys::armTimer()
{
    const auto next = m_memory.nextDeadline();
    if (m_stopped || !next || (m_armedFor && *m_armedFor <= *next))
        return;
    m_armedFor = next;
    m_timer.expires_at(*next);
    m_timer.async_wait([self = shared_from_this()](const auto &error) {
        if (error || self->m_stopped)
            return;
        self->m_armedFor.reset();
        self->m_memory.expire(clock::now(), wallNow(), self->m_actions);
        self->carryOut();
    });
}

std::string group_keys::rowKey(batch_id batch) const
{
    return "keys/" + m_group + "/" + std::to_string(number(batch));
}

asio::awaitable<void> group_keys::load([[maybe_unused]] std::shared_ptr<group_keys> self)
{
    const auto prefix = "keys/" + m_group + "/";
    while (!m_stopped) {
        const auto rows = co_await m_platform.readRange(prefix, clock::now() + callTime);
        keys_loaded loaded;
        bool whole = rows.has_value();
        for (std::size_t at = 0; whole && at < rows->size(); ++at) {
            const auto &row = (*rows)[at];
            auto batch = batchFrom(row.key.substr(prefix.size()), row.value);
            whole = batch.has_value();
            if (whole)
                noteKeys(*batch);
            if (whole)
                loaded.batches.push_back(std::move(*batch));
        }
        if (whole) {
            step(loaded);
            co_return;
        }
        support::log_event(support::log_level::Warning, "keys.not_loaded")
            .field("group", m_group)
            .field("epoch", m_authority.generation);
        asio::steady_timer pause(m_context, betweenLoads);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> group_keys::commit([[maybe_unused]] std::shared_ptr<group_keys> self,
                                         commit_keys action)
{
    const auto batch = action.row.batch;
    std::vector<table_change> changes = {
        {"group/" + m_group, m_authority.generation, "", change_kind::Check}};
    changes.push_back({rowKey(batch), 0, batchText(action.row), change_kind::Write});
    for (const auto &stored : action.row.keys)
        changes.push_back({keyRow(stored.key), 0, m_group, change_kind::Write});
    const auto outcomes = co_await m_platform.commit(
        std::move(changes), platform::commit_mode::AllOrNone, clock::now() + callTime);
    switch (outcomes.back()) {
    case write_outcome::Applied:
        noteKeys(action.row);
        asio::co_spawn(m_context, removeExpired(shared_from_this(), action.expired),
                       asio::detached);
        co_return step(keys_committed {batch});
    case write_outcome::NotSent:
        co_return step(commit_failed {batch});
    case write_outcome::Conflict:
        // Another owner holds the group, or a key stands under another group.
        co_await findElsewhere(action.row);
        break;
    case write_outcome::Unknown:
        break;
    }
    step(commit_unknown {batch});
}

void group_keys::noteKeys(const stored_batch &batch)
{
    auto &keys = m_batchKeys[batch.batch];
    for (const auto &stored : batch.keys)
        keys.push_back(stored.key);
}

// Rows that are gone already, or that a lost write never made, do not matter; so each goes alone.
asio::awaitable<void> group_keys::removeExpired([[maybe_unused]] std::shared_ptr<group_keys> self,
                                                std::vector<batch_id> expired)
{
    std::vector<table_change> changes;
    for (const auto batch : expired) {
        changes.push_back({rowKey(batch), writtenOnce, "", change_kind::Remove});
        for (const auto &key : m_batchKeys[batch])
            changes.push_back({keyRow(key), writtenOnce, "", change_kind::Remove});
        m_batchKeys.erase(batch);
    }
    if (changes.empty())
        co_return;
    co_await m_platform.commit(std::move(changes), platform::commit_mode::Independent,
                               clock::now() + callTime);
}

// After a conflict: which keys of the batch have rows that another group wrote. Their requests are
// told as repeats, since the first ones may have run there.
asio::awaitable<void> group_keys::findElsewhere(stored_batch batch)
{
    for (const auto &stored : batch.keys) {
        const auto row = co_await m_platform.read(keyRow(stored.key), clock::now() + callTime);
        if (row.has_value() && row->has_value() && (*row)->value != m_group)
            m_elsewhere.insert(stored.key);
    }
}

asio::awaitable<void> group_keys::readBatch([[maybe_unused]] std::shared_ptr<group_keys> self,
                                            batch_id batch)
{
    const auto row = co_await m_platform.read(rowKey(batch), clock::now() + callTime);
    if (row.has_error())
        step(batch_read_failed {batch});
    else
        step(batch_read_completed {batch, row->has_value()});
}

} // namespace plantaingap::runtime
