#include "runtime/job_desk.h"

#include <algorithm>

namespace plantaingap::runtime {

using platform::change_kind;
using platform::commit_mode;
using platform::table_change;

namespace {

void addFinished(job_row &row, std::uint32_t index)
{
    const auto at = std::lower_bound(row.finished.begin(), row.finished.end(), index);
    if (at == row.finished.end() || *at != index)
        row.finished.insert(at, index);
}

} // namespace

std::string jobRowKey(std::string_view group, std::string_view name)
{
    return "job/" + std::string(group) + "/" + std::string(name);
}

std::string jobNameKey(std::string_view name)
{
    return "job-name/" + std::string(name);
}

job_desk::job_desk(platform::platform_client &platform, std::string group, std::string groupKey)
    : m_platform(platform)
    , m_group(std::move(group))
    , m_groupKey(std::move(groupKey))
{ }

void job_desk::begin(const epoch &authority)
{
    m_authority = authority;
    m_rows.clear();
    m_versions.clear();
    m_names.clear();
    m_dirty.clear();
}

std::string job_desk::keyOf(std::string_view name) const
{
    return jobRowKey(m_group, name);
}

const job_row *job_desk::find(std::string_view name) const
{
    const auto found = m_rows.find(name);
    return found == m_rows.end() ? nullptr : &found->second;
}

const job_row *job_desk::find(job_id job) const
{
    const auto name = m_names.find(job);
    return name == m_names.end() ? nullptr : find(name->second);
}

void job_desk::remember(const platform::table_row &stored, job_row row)
{
    const auto name = row.spec.name;
    m_versions.insert_or_assign(name, stored.version);
    m_names.insert_or_assign(jobIdOf(name), name);
    m_rows.insert_or_assign(name, std::move(row));
}

boost::asio::awaitable<result<std::vector<job_row>>> job_desk::load(time_point deadline)
{
    const auto stored = co_await m_platform.readRange(keyOf(""), deadline);
    if (stored.has_error())
        co_return stored.error();
    std::vector<job_row> rows;
    for (const auto &entry : *stored) {
        auto row = jobRowFrom(entry.value);
        // A row that cannot be read is no reason to drop the others; it stays in the table.
        if (row.has_error())
            continue;
        rows.push_back(*row);
        remember(entry, std::move(*row));
    }
    co_return rows;
}

boost::asio::awaitable<errc> job_desk::insert(job_spec spec, time_point deadline)
{
    const auto authority = m_authority;
    while (true) {
        if (const auto *known = find(spec.name))
            co_return known->spec == spec ? errc::Ok : errc::VersionConflict;
        const job_row row {spec, job_state::Accepted, false, {}};
        const std::vector<table_change> changes = {
            {m_groupKey, authority.generation, "", change_kind::Check},
            {jobNameKey(spec.name), 0, m_group, change_kind::Write},
            {keyOf(spec.name), 0, jobRowText(row), change_kind::Write}};
        const auto outcomes = co_await m_platform.commit(changes, commit_mode::AllOrNone, deadline);
        if (outcomes.back() == write_outcome::NotSent)
            co_return errc::StoreUnavailable;
        if (outcomes.back() == write_outcome::Applied) {
            if (m_authority == authority)
                remember({keyOf(spec.name), 1, ""}, row);
            co_return errc::Ok;
        }
        const auto settled = co_await settleInsert(spec, deadline);
        if (settled)
            co_return *settled;
        // Not there and our group row unchanged: the write was lost, or may yet arrive; the same
        // insert again is harmless, since only one of them finds no row.
        if (clock::now() >= deadline)
            co_return errc::OutcomeUnknown;
        if (outcomes.back() == write_outcome::Conflict)
            co_return errc::NotReady;
    }
}

// Reads the row to learn what became of an insert; nothing when there is no row.
boost::asio::awaitable<std::optional<errc>> job_desk::settleInsert(const job_spec &spec,
                                                                   time_point deadline)
{
    const auto stored = co_await m_platform.read(keyOf(spec.name), deadline);
    if (stored.has_error())
        co_return errc::OutcomeUnknown;
    if (!stored->has_value())
        co_return co_await settleElsewhere(spec, deadline);
    auto row = jobRowFrom((*stored)->value);
    if (row.has_error() || row->spec != spec)
        co_return errc::VersionConflict;
    remember(**stored, std::move(*row));
    co_return errc::Ok;
}

// The name may belong to a job of another group: accepted there if it is the same job.
boost::asio::awaitable<std::optional<errc>> job_desk::settleElsewhere(const job_spec &spec,
                                                                      time_point deadline)
{
    const auto named = co_await m_platform.read(jobNameKey(spec.name), deadline);
    if (named.has_error())
        co_return errc::OutcomeUnknown;
    if (!named->has_value() || (*named)->value == m_group)
        co_return std::nullopt;
    const auto key = jobRowKey((*named)->value, spec.name);
    const auto stored = co_await m_platform.read(key, deadline);
    if (stored.has_error() || !stored->has_value())
        co_return errc::OutcomeUnknown;
    const auto row = jobRowFrom((*stored)->value);
    co_return row.has_value() && row->spec == spec ? errc::Ok : errc::VersionConflict;
}

boost::asio::awaitable<errc> job_desk::requestCancel(std::string name, time_point deadline)
{
    while (true) {
        const auto *known = find(name);
        if (!known)
            co_return errc::NotFound;
        if (known->cancelRequested || known->state != job_state::Accepted)
            co_return errc::Ok;
        auto row = *known;
        row.cancelRequested = true;
        const auto outcome = co_await writeRow(name, row, deadline);
        if (outcome != errc::VersionConflict)
            co_return outcome;
    }
}

boost::asio::awaitable<errc> job_desk::writeRow(std::string name, job_row row, time_point deadline)
{
    const auto version = m_versions[name];
    const std::vector<table_change> changes = {{keyOf(name), version, jobRowText(row)}};
    const auto outcomes = co_await m_platform.commit(changes, commit_mode::Independent, deadline);
    switch (outcomes.front()) {
    case write_outcome::Applied:
        remember({keyOf(name), version + 1, ""}, std::move(row));
        co_return errc::Ok;
    case write_outcome::NotSent:
        co_return errc::StoreUnavailable;
    case write_outcome::Conflict:
        co_await mergeStored(name, deadline);
        co_return clock::now() < deadline ? errc::VersionConflict : errc::OutcomeUnknown;
    case write_outcome::Unknown:
        break;
    }
    co_await mergeStored(name, deadline);
    co_return clock::now() < deadline ? errc::VersionConflict : errc::OutcomeUnknown;
}

// Takes over what the table holds of a row, without losing progress that is known here.
boost::asio::awaitable<void> job_desk::mergeStored(std::string name, time_point deadline)
{
    const auto stored = co_await m_platform.read(keyOf(name), deadline);
    if (stored.has_error() || !stored->has_value())
        co_return;
    auto row = jobRowFrom((*stored)->value);
    if (row.has_error())
        co_return;
    if (const auto *known = find(name)) {
        for (const auto index : known->finished)
            addFinished(*row, index);
        if (row->state == job_state::Accepted)
            row->state = known->state;
    }
    remember(**stored, std::move(*row));
}

void job_desk::taskFinished(const task_id &task)
{
    const auto name = m_names.find(task.job);
    if (name == m_names.end())
        return;
    addFinished(m_rows.at(name->second), task.index);
    m_dirty[name->second].finished.push_back(task);
}

void job_desk::ended(job_id job, job_state state)
{
    const auto name = m_names.find(job);
    if (name == m_names.end())
        return;
    m_rows.at(name->second).state = state;
    m_dirty[name->second];
}

boost::asio::awaitable<std::vector<task_id>> job_desk::flush(time_point deadline)
{
    const auto authority = m_authority;
    auto dirty = std::move(m_dirty);
    m_dirty.clear();
    std::vector<table_change> changes;
    std::vector<std::string> names;
    for (const auto &[name, progress] : dirty) {
        changes.push_back({keyOf(name), m_versions[name], jobRowText(m_rows.at(name))});
        names.push_back(name);
    }
    const auto outcomes = co_await m_platform.commit(changes, commit_mode::Independent, deadline);
    std::vector<task_id> durable;
    for (std::size_t at = 0; at < names.size(); ++at) {
        if (m_authority != authority)
            co_return durable;
        const auto &progress = dirty.at(names[at]);
        if (outcomes[at] == write_outcome::Applied) {
            m_versions[names[at]] = changes[at].expect + 1;
            durable.insert(durable.end(), progress.finished.begin(), progress.finished.end());
            continue;
        }
        // Written again with the next flush, on the version that is there by then.
        auto &again = m_dirty[names[at]].finished;
        again.insert(again.end(), progress.finished.begin(), progress.finished.end());
        if (outcomes[at] != write_outcome::NotSent)
            co_await mergeStored(names[at], deadline);
    }
    co_return durable;
}

} // namespace plantaingap::runtime
