#include "runtime/job_row.h"

#include "support/stable_id.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantaingap::runtime {

namespace json = boost::json;

namespace {

template<class Value>
struct named_value
{
    std::string_view name;
    Value value;
};

constexpr std::array<named_value<decision::job_kind>, 3> kinds = {
    {{"service", decision::job_kind::Service},
     {"batch", decision::job_kind::Batch},
     {"all_or_nothing", decision::job_kind::AllOrNothing}}};

constexpr std::array<named_value<decision::job_urgency>, 3> urgencies = {
    {{"idle", decision::job_urgency::Idle},
     {"normal", decision::job_urgency::Normal},
     {"urgent", decision::job_urgency::Urgent}}};

constexpr std::array<named_value<decision::spread_rule>, 4> spreads = {
    {{"anywhere", decision::spread_rule::Anywhere},
     {"racks", decision::spread_rule::Racks},
     {"data_centres", decision::spread_rule::DataCentres},
     {"one_rack", decision::spread_rule::SingleRack}}};

constexpr std::array<named_value<job_state>, 6> states = {{{"accepted", job_state::Accepted},
                                                           {"succeeded", job_state::Succeeded},
                                                           {"failed", job_state::Failed},
                                                           {"cancelled", job_state::Cancelled},
                                                           {"too_late", job_state::TooLate},
                                                           {"rejected", job_state::Rejected}}};

template<class Table, class Value>
std::string_view nameIn(const Table &table, Value value)
{
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const auto &entry) { return entry.value == value; });
    return found == table.end() ? std::string_view() : found->name;
}

// Reads members; remembers whether one was missing or wrong.
struct row_reader
{
    const json::object *object;
    bool good = true;

    std::string text(std::string_view key)
    {
        const auto *found = object->if_contains(key);
        good = good && found && found->is_string();
        return good ? std::string(found->get_string()) : std::string();
    }

    std::int64_t count(std::string_view key)
    {
        const auto *found = object->if_contains(key);
        boost::system::error_code error;
        const auto value = found ? found->to_number<std::int64_t>(error) : -1;
        good = good && !error && value >= 0;
        return good ? value : 0;
    }

    bool flag(std::string_view key)
    {
        const auto *found = object->if_contains(key);
        good = good && found && found->is_bool();
        return good && found->get_bool();
    }

    template<class Table>
    auto oneOf(std::string_view key, const Table &table)
    {
        const auto name = text(key);
        const auto found = std::find_if(table.begin(), table.end(),
                                        [&](const auto &entry) { return entry.name == name; });
        good = good && found != table.end();
        return good ? found->value : table.front().value;
    }
};

job_spec specFrom(row_reader &reader)
{
    job_spec spec;
    spec.name = reader.text("name");
    spec.team = reader.text("team");
    spec.kind = reader.oneOf("kind", kinds);
    spec.urgent = reader.oneOf("urgency", urgencies);
    spec.tasks = static_cast<std::uint32_t>(reader.count("tasks"));
    spec.each = {reader.count("milli_cores"), reader.count("memory_mib"),
                 reader.count("accelerators")};
    spec.command = reader.text("command");
    spec.taskKind = reader.text("task_kind");
    spec.checkpointable = reader.flag("checkpointable");
    spec.runTime = std::chrono::milliseconds(reader.count("run_time_ms"));
    spec.spread = reader.oneOf("spread", spreads);
    spec.declared = reader.flag("declared");
    if (reader.object->contains("start_by_ms"))
        spec.startBy = wall_time(std::chrono::milliseconds(reader.count("start_by_ms")));
    return spec;
}

} // namespace

std::string jobRowText(const job_row &row)
{
    const auto &spec = row.spec;
    const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(spec.runTime);
    json::object object {{"name", spec.name},
                         {"team", spec.team},
                         {"kind", nameIn(kinds, spec.kind)},
                         {"urgency", nameIn(urgencies, spec.urgent)},
                         {"tasks", spec.tasks},
                         {"milli_cores", spec.each.milliCores},
                         {"memory_mib", spec.each.memoryMib},
                         {"accelerators", spec.each.accelerators},
                         {"command", spec.command},
                         {"task_kind", spec.taskKind},
                         {"checkpointable", spec.checkpointable},
                         {"run_time_ms", runTime.count()},
                         {"spread", nameIn(spreads, spec.spread)},
                         {"declared", spec.declared},
                         {"state", nameIn(states, row.state)},
                         {"cancel_requested", row.cancelRequested}};
    if (spec.startBy)
        object["start_by_ms"] = spec.startBy->time_since_epoch().count();
    json::array finished;
    for (const auto index : row.finished)
        finished.push_back(index);
    object["finished"] = std::move(finished);
    return json::serialize(object);
}

result<job_row> jobRowFrom(std::string_view text)
{
    boost::system::error_code error;
    const auto document = json::parse(text, error);
    if (error || !document.is_object())
        return make_error_code(errc::Malformed);
    row_reader reader {&document.get_object()};
    job_row row;
    row.spec = specFrom(reader);
    row.state = reader.oneOf("state", states);
    row.cancelRequested = reader.flag("cancel_requested");
    const auto *finished = reader.object->if_contains("finished");
    if (!reader.good || !finished || !finished->is_array() || row.spec.name.empty()
        || row.spec.tasks == 0)
        return make_error_code(errc::Malformed);
    for (const auto &entry : finished->get_array()) {
        const auto index = entry.to_number<std::uint32_t>(error);
        if (error || index >= row.spec.tasks)
            return make_error_code(errc::Malformed);
        row.finished.push_back(index);
    }
    return row;
}

decision::job_submitted jobSubmitted(const job_row &row, time_point now, wall_time wallNow)
{
    const auto &spec = row.spec;
    decision::job_submitted job;
    job.job = jobIdOf(spec.name);
    job.team = support::stableId<team_id>(spec.team);
    job.kind = spec.kind;
    job.urgency = spec.urgent;
    job.tasks = spec.tasks;
    job.perTask = spec.each;
    job.taskKind = support::stableId<kind_id>(spec.taskKind.empty() ? spec.name : spec.taskKind);
    job.checkpointable = spec.checkpointable;
    job.runTime = spec.runTime;
    if (spec.startBy)
        job.startBy = now + (*spec.startBy - wallNow);
    job.spread = spec.spread;
    job.finished = row.finished;
    return job;
}

job_id jobIdOf(std::string_view name)
{
    return support::stableId<job_id>(name);
}

std::string_view stateName(job_state state)
{
    return nameIn(states, state);
}

} // namespace plantaingap::runtime
