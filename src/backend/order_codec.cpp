#include "backend/order_codec.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <plantaingap/invariant.h>

namespace plantaingap::backend {

namespace json = boost::json;

namespace {

// Reads members of a JSON object and records whether any was missing or had the wrong type.
class member_reader
{
public:
    explicit member_reader(const json::value *value)
        : m_object(value ? value->if_object() : nullptr)
        , m_complete(m_object != nullptr)
    { }

    bool complete() const { return m_complete; }

    const json::value *member(std::string_view key)
    {
        const auto *found = m_object ? m_object->if_contains(key) : nullptr;
        m_complete = m_complete && found;
        return found;
    }

    template<class Number>
    Number count(std::string_view key)
    {
        const auto *found = member(key);
        boost::system::error_code error;
        const auto number = found ? found->to_number<Number>(error) : Number {};
        m_complete = m_complete && !error;
        return number;
    }

    std::string text(std::string_view key)
    {
        const auto *found = member(key);
        m_complete = m_complete && found && found->is_string();
        return m_complete ? std::string(found->get_string()) : std::string();
    }

    const json::array *list(std::string_view key)
    {
        const auto *found = member(key);
        m_complete = m_complete && found && found->is_array();
        return m_complete ? &found->get_array() : nullptr;
    }

    void require(bool holds) { m_complete = m_complete && holds; }

private:
    const json::object *m_object;
    bool m_complete;
};

json::value toJson(const task_id &task)
{
    return json::object {
        {"job", number(task.job)}, {"index", task.index}, {"attempt", task.attempt}};
}

json::value toJson(const epoch &authority)
{
    return json::object {{"generation", authority.generation}, {"rank", authority.rank}};
}

json::value toJson(const worker_timestamp &stamp)
{
    return json::object {{"boot", stamp.boot}, {"uptime_ns", stamp.uptime.count()}};
}

json::value toJson(const std::vector<task_id> &tasks)
{
    json::array list;
    for (const auto &task : tasks)
        list.push_back(toJson(task));
    return list;
}

task_id taskFrom(member_reader &outer, const json::value *value)
{
    member_reader reader(value);
    const task_id task {job_id {reader.count<std::uint64_t>("job")},
                        reader.count<std::uint32_t>("index"),
                        reader.count<std::uint32_t>("attempt")};
    outer.require(reader.complete());
    return task;
}

std::vector<task_id> tasksFrom(member_reader &outer, std::string_view key)
{
    std::vector<task_id> tasks;
    if (const auto *list = outer.list(key)) {
        for (const auto &entry : *list)
            tasks.push_back(taskFrom(outer, &entry));
    }
    return tasks;
}

epoch epochFrom(member_reader &outer, std::string_view key)
{
    member_reader reader(outer.member(key));
    const epoch read {reader.count<std::uint64_t>("generation"),
                      reader.count<std::uint32_t>("rank")};
    outer.require(reader.complete());
    return read;
}

worker_timestamp stampFrom(member_reader &outer, std::string_view key)
{
    member_reader reader(outer.member(key));
    const worker_timestamp read {reader.count<std::uint64_t>("boot"),
                                 duration(reader.count<std::int64_t>("uptime_ns"))};
    outer.require(reader.complete());
    return read;
}

// Writes the members that are specific to one type of order.
struct order_writer
{
    json::object &object;

    void operator()(const query_order &) const { object["order"] = "query"; }

    void operator()(const renew_order &order) const
    {
        object["order"] = "renew";
        object["until"] = toJson(order.until);
    }

    void operator()(const start_order &order) const
    {
        object["order"] = "start";
        object["task"] = toJson(order.task);
        object["latest_start"] = toJson(order.latestStart);
        object["until"] = toJson(order.until);
    }

    void operator()(const stop_order &order) const
    {
        object["order"] = "stop";
        object["task"] = toJson(order.task);
    }
};

using order_parser = worker_order (*)(member_reader &, worker_id, const epoch &);

struct order_format
{
    std::string_view name;
    order_parser parse;
};

worker_order parseQuery(member_reader &, worker_id worker, const epoch &authority)
{
    return query_order {worker, authority};
}

worker_order parseRenew(member_reader &reader, worker_id worker, const epoch &authority)
{
    return renew_order {worker, authority, stampFrom(reader, "until")};
}

worker_order parseStart(member_reader &reader, worker_id worker, const epoch &authority)
{
    const auto task = taskFrom(reader, reader.member("task"));
    const auto latest = stampFrom(reader, "latest_start");
    return start_order {worker, authority, task, latest, stampFrom(reader, "until")};
}

worker_order parseStop(member_reader &reader, worker_id worker, const epoch &authority)
{
    return stop_order {worker, authority, taskFrom(reader, reader.member("task"))};
}

constexpr std::array<order_format, 4> orderFormats = {
    {{"query", parseQuery}, {"renew", parseRenew}, {"start", parseStart}, {"stop", parseStop}}};

json::value toJson(const resources &amount)
{
    return json::object {{"milli_cores", amount.milliCores},
                         {"memory_mib", amount.memoryMib},
                         {"accelerators", amount.accelerators}};
}

resources resourcesFrom(member_reader &outer, std::string_view key)
{
    member_reader reader(outer.member(key));
    const resources read {reader.count<std::int64_t>("milli_cores"),
                          reader.count<std::int64_t>("memory_mib"),
                          reader.count<std::int64_t>("accelerators")};
    outer.require(reader.complete());
    return read;
}

json::value toJson(const task_payload &payload)
{
    return json::object {{"held", toJson(payload.held)},
                         {"command", payload.command},
                         {"run_time_ns", payload.runTime.count()},
                         {"checkpointable", payload.checkpointable}};
}

task_payload payloadFrom(member_reader &outer)
{
    member_reader reader(outer.member("payload"));
    task_payload payload;
    payload.held = resourcesFrom(reader, "held");
    payload.command = reader.text("command");
    payload.runTime = duration(reader.count<std::int64_t>("run_time_ns"));
    const auto *flag = reader.member("checkpointable");
    reader.require(flag && flag->is_bool());
    payload.checkpointable = reader.complete() && flag->get_bool();
    outer.require(reader.complete());
    return payload;
}

} // namespace

json::value orderToJson(const order_message &message)
{
    json::object object;
    object["group"] = message.group;
    std::visit(
        [&](const auto &order) {
            object["worker"] = number(order.worker);
            object["epoch"] = toJson(order.authority);
        },
        message.order);
    std::visit(order_writer {object}, message.order);
    object["payload"] = toJson(message.payload);
    object["acknowledged"] = toJson(message.acknowledged);
    return object;
}

result<order_message> orderFromJson(const json::value &document)
{
    member_reader reader(&document);
    order_message message;
    message.group = reader.text("group");
    const auto worker = worker_id {reader.count<std::uint32_t>("worker")};
    const auto authority = epochFrom(reader, "epoch");
    const auto name = reader.text("order");
    const auto *format =
        std::find_if(orderFormats.begin(), orderFormats.end(),
                     [&](const order_format &candidate) { return candidate.name == name; });
    if (!reader.complete() || format == orderFormats.end())
        return make_error_code(errc::Malformed);
    message.order = format->parse(reader, worker, authority);
    message.payload = payloadFrom(reader);
    message.acknowledged = tasksFrom(reader, "acknowledged");
    if (!reader.complete())
        return make_error_code(errc::Malformed);
    return message;
}

json::value replyToJson(const reply_message &message)
{
    json::array ended;
    for (const auto &entry : message.ended) {
        ended.push_back(json::object {{"task", toJson(entry.task)},
                                      {"outcome", static_cast<unsigned>(entry.outcome)}});
    }
    PLANTAINGAP_INVARIANT(message.held.size() == message.reply.running.size(),
                          "order.held_for_each_task");
    json::array running;
    for (std::size_t index = 0; index < message.held.size(); ++index) {
        running.push_back(json::object {{"task", toJson(message.reply.running[index])},
                                        {"held", toJson(message.held[index])}});
    }
    return json::object {{"code", static_cast<unsigned>(message.reply.code)},
                         {"highest", toJson(message.reply.highest)},
                         {"stamp", toJson(message.reply.stamp)},
                         {"running", std::move(running)},
                         {"ended", std::move(ended)},
                         {"busy_slots", message.busySlots}};
}

result<reply_message> replyFromJson(const json::value &document, worker_id worker)
{
    member_reader reader(&document);
    reply_message message;
    message.reply.worker = worker;
    message.reply.code = static_cast<errc>(reader.count<unsigned>("code"));
    message.reply.highest = epochFrom(reader, "highest");
    message.reply.stamp = stampFrom(reader, "stamp");
    if (const auto *running = reader.list("running")) {
        for (const auto &entry : *running) {
            member_reader item(&entry);
            message.reply.running.push_back(taskFrom(reader, item.member("task")));
            message.held.push_back(resourcesFrom(item, "held"));
            reader.require(item.complete());
        }
    }
    message.busySlots = reader.count<std::uint32_t>("busy_slots");
    if (const auto *ended = reader.list("ended")) {
        for (const auto &entry : *ended) {
            member_reader item(&entry);
            const auto task = taskFrom(reader, item.member("task"));
            const auto outcome = item.count<unsigned>("outcome");
            reader.require(item.complete()
                           && outcome <= unsigned(decision::task_outcome::NotStarted));
            message.ended.push_back({task, static_cast<decision::task_outcome>(outcome)});
        }
    }
    if (!reader.complete())
        return make_error_code(errc::Malformed);
    return message;
}

} // namespace plantaingap::backend
