#include "runtime/cell_administration.h"

#include "operator/api_messages.h"
#include "operator/document_reader.h"
#include "operator/document_writer.h"
#include "support/log.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>

// GCC 12 inlines only half of the pair by which Asio recycles the memory of coroutine frames, and
// then takes the pair for mismatched.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace plantaingap::runtime {

namespace asio = boost::asio;
using operators::audit_entry;
using operators::audit_outcome;

namespace {

// For one administration call and all the calls to the platform that it needs.
constexpr std::chrono::seconds patience {10};
// The trail is read by days, newest first, this far back.
constexpr int auditDays = 31;

std::string dayOf(wall_time when)
{
    const auto seconds = std::chrono::system_clock::to_time_t(when);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y%m%d");
    return text.str();
}

std::string auditRowText(const audit_entry &entry)
{
    return operators::writeText(operators::audit_message {{entry}}, operators::defaults::Written);
}

// Why a job waits, as a sentence for people.
std::string sentenceFor(std::string_view reason)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 8> sentences = {{
        {"not_waiting", "nothing of it waits"},
        {"fragmented", "there is room in sum, but no worker has enough of it"},
        {"no_capacity", "the free capacity of its group is too small"},
        {"over_quota", "its team uses more than its quota and others come first"},
        {"reserved", "capacity is being set aside for it"},
        {"workers_unconfirmed", "workers that could run it have not answered yet"},
        {"former_task_uncertain", "tasks of it may still run on workers that were lost"},
        {"retry_later", "its tasks failed and wait before the next attempt"},
    }};
    const auto found = std::find_if(sentences.begin(), sentences.end(),
                                    [&](const auto &entry) { return entry.first == reason; });
    return std::string(found == sentences.end() ? reason : found->second);
}

} // namespace

cell_administration::cell_administration(asio::io_context &context,
                                         platform::platform_client &platform, config_keeper &keeper,
                                         std::string instance, control_sink control)
    : m_context(context)
    , m_platform(platform)
    , m_keeper(keeper)
    , m_instance(std::move(instance))
    , m_control(std::move(control))
{ }

// Gives an order to the control duty and waits for its reply. The slot and the order are named
// objects: GCC 12 destroys lambdas that are passed within an awaited call twice.
template<class Reply>
asio::awaitable<Reply> cell_administration::ask(std::shared_ptr<reply_slot<Reply>> slot,
                                                control_order order, Reply full)
{
    if (!m_control(std::move(order)))
        co_return full;
    co_await slot->wait();
    co_return slot->take();
}

wall_time cell_administration::now() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::string cell_administration::newAuditKey(wall_time when)
{
    return "audit/" + dayOf(when) + "/" + std::to_string(when.time_since_epoch().count()) + "-"
           + m_instance + "-" + std::to_string(++m_entries);
}

cell_administration::answer<operators::configuration_version>
cell_administration::configurationAt(std::optional<std::uint64_t> version)
{
    const auto wanted = version.value_or(m_keeper.version());
    if (wanted == m_keeper.version())
        co_return operators::configuration_version {wanted, m_keeper.set()};
    if (wanted == 0)
        co_return operators::configuration_version {0, operators::makeSet({})};
    auto set = co_await m_keeper.fetch(wanted, clock::now() + patience);
    if (set.has_error())
        co_return set.error();
    co_return operators::configuration_version {wanted, std::move(*set)};
}

cell_administration::answer<operators::apply_outcome>
cell_administration::apply(operators::apply_order order)
{
    auto entry = order.audit;
    entry.toVersion = order.base + 1;
    const auto key = newAuditKey(entry.when);
    const auto text = auditRowText(entry);
    const auto outcome =
        co_await m_keeper.apply(std::move(order.set), std::move(order.difference), order.base,
                                entry.who, key, text, clock::now() + patience);
    if (outcome.outcome == errc::Ok)
        co_return operators::apply_outcome {outcome.version, std::nullopt};
    if (outcome.outcome != errc::VersionConflict)
        co_return make_error_code(outcome.outcome);
    operators::apply_conflict conflict;
    if (!outcome.conflictingChanges.empty()) {
        const auto &last = outcome.conflictingChanges.back();
        conflict.version = last.version;
        conflict.digest = last.digest;
        conflict.who = last.author;
    }
    co_return operators::apply_outcome {0, conflict};
}

cell_administration::answer<operators::cell_status> cell_administration::status()
{
    const auto slot = std::make_shared<reply_slot<operators::cell_status>>(m_context);
    control_order order = status_order {slot->receiver()};
    operators::cell_status full;
    auto known = co_await ask(slot, std::move(order), std::move(full));
    co_return known;
}

cell_administration::answer<operators::job_explanation> cell_administration::why(std::string job)
{
    const auto row = co_await readJob(job);
    if (row.has_error())
        co_return row.error();
    operators::job_explanation explanation;
    explanation.job = job;
    explanation.state = jobStatus(*row).state;
    if (row->state != job_state::Accepted)
        co_return explanation;
    const auto slot = std::make_shared<reply_slot<std::optional<std::string>>>(m_context);
    control_order order = why_order {job, slot->receiver()};
    std::optional<std::string> full;
    const auto reason = co_await ask(slot, std::move(order), std::move(full));
    explanation.reasons.push_back(reason ? sentenceFor(*reason)
                                         : "another instance owns its group; ask that one");
    co_return explanation;
}

cell_administration::answer<job_row> cell_administration::readJob(std::string name)
{
    const auto deadline = clock::now() + patience;
    const auto named = co_await m_platform.read(jobNameKey(name), deadline);
    if (named.has_error())
        co_return named.error();
    if (!named->has_value())
        co_return make_error_code(errc::NotFound);
    const auto stored = co_await m_platform.read(jobRowKey((*named)->value, name), deadline);
    if (stored.has_error())
        co_return stored.error();
    if (!stored->has_value())
        co_return make_error_code(errc::NotFound);
    co_return jobRowFrom((*stored)->value);
}

cell_administration::answer<operators::job_status> cell_administration::job(std::string name)
{
    const auto row = co_await readJob(name);
    if (row.has_error())
        co_return row.error();
    const auto known = co_await status();
    if (known.has_value()) {
        const auto found = std::find_if(known->jobs.begin(), known->jobs.end(),
                                        [&](const auto &one) { return one.job == name; });
        if (found != known->jobs.end())
            co_return *found;
    }
    co_return jobStatus(*row);
}

cell_administration::answer<operators::job_status> cell_administration::submit(job_declaration job,
                                                                               audit_entry audit)
{
    const auto spec = specOf(job);
    const auto deadline = clock::now() + patience;
    const auto slot = std::make_shared<reply_slot<errc>>(m_context);
    control_order order = submit_order {spec, deadline, slot->receiver()};
    const auto outcome = co_await ask(slot, std::move(order), errc::Overloaded);
    if (outcome != errc::Ok) {
        audit.outcome = audit_outcome::Refused;
        audit.reason = make_error_code(outcome).message();
    }
    const auto failed = co_await record(audit);
    // The job is durable all the same; the answer must not claim less.
    if (failed)
        support::log_event(support::log_level::Warning, "audit.not_written").field("job", job.name);
    if (outcome == errc::VersionConflict)
        co_return make_error_code(errc::DuplicateKey);
    if (outcome != errc::Ok)
        co_return make_error_code(outcome);
    co_return jobStatus({spec, job_state::Accepted, false, {}});
}

cell_administration::answer<operators::job_status> cell_administration::cancel(std::string job,
                                                                               audit_entry audit)
{
    const auto deadline = clock::now() + patience;
    const auto slot = std::make_shared<reply_slot<errc>>(m_context);
    control_order order = cancel_order {job, deadline, slot->receiver()};
    auto outcome = co_await ask(slot, std::move(order), errc::Overloaded);
    if (outcome == errc::NotFound)
        outcome = co_await leaveCancellation(job);
    if (outcome != errc::Ok) {
        audit.outcome = audit_outcome::Refused;
        audit.reason = make_error_code(outcome).message();
    }
    co_await record(audit);
    if (outcome != errc::Ok)
        co_return make_error_code(outcome);
    const auto row = co_await readJob(job);
    if (row.has_error())
        co_return row.error();
    co_return jobStatus(*row);
}

// For a job of another instance's group: its owner reads the row and carries it out.
asio::awaitable<errc> cell_administration::leaveCancellation(std::string job)
{
    const auto deadline = clock::now() + patience;
    const auto named = co_await m_platform.read(jobNameKey(job), deadline);
    if (named.has_error())
        co_return errc::StoreUnavailable;
    if (!named->has_value())
        co_return errc::NotFound;
    const std::vector<platform::table_change> changes = {
        {"cancel/" + (*named)->value + "/" + job, 0, job}};
    const auto outcomes =
        co_await m_platform.commit(changes, platform::commit_mode::Independent, deadline);
    // A conflict means that the cancellation stands there already.
    const bool there =
        outcomes.front() == write_outcome::Applied || outcomes.front() == write_outcome::Conflict;
    if (there)
        co_return errc::Ok;
    co_return outcomes.front() == write_outcome::NotSent ? errc::StoreUnavailable
                                                         : errc::OutcomeUnknown;
}

cell_administration::answer<std::vector<audit_entry>>
cell_administration::audit(operators::audit_query query)
{
    std::vector<audit_entry> entries;
    const auto deadline = clock::now() + patience;
    for (int back = 0; back < auditDays && entries.size() < query.limit; ++back) {
        const auto day = dayOf(now() - std::chrono::hours(24 * back));
        const auto rows = co_await m_platform.readRange("audit/" + day + "/", deadline);
        if (rows.has_error())
            co_return rows.error();
        for (auto row = rows->rbegin(); row != rows->rend(); ++row) {
            auto read = operators::readMessage<operators::audit_message>(row->value);
            if (read.has_error() || read->entries.empty() || entries.size() >= query.limit)
                continue;
            auto &entry = read->entries.front();
            if (!query.beforeVersion || entry.toVersion < *query.beforeVersion)
                entries.push_back(std::move(entry));
        }
    }
    co_return entries;
}

asio::awaitable<std::error_code> cell_administration::record(audit_entry entry)
{
    const auto key = newAuditKey(entry.when);
    const std::vector<platform::table_change> changes = {{key, 0, auditRowText(entry)}};
    const auto deadline = clock::now() + patience;
    while (true) {
        const auto outcomes =
            co_await m_platform.commit(changes, platform::commit_mode::Independent, deadline);
        // A conflict on a key that is only ours is our own earlier copy.
        if (outcomes.front() == write_outcome::Applied
            || outcomes.front() == write_outcome::Conflict)
            co_return std::error_code();
        if (outcomes.front() == write_outcome::NotSent || clock::now() >= deadline)
            co_return make_error_code(errc::StoreUnavailable);
    }
}

} // namespace plantaingap::runtime
