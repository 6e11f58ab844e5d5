#include "platform/list_codec.h"

#include <boost/json/value_to.hpp>

namespace plantaingap::platform {

namespace json = boost::json;

namespace {

std::string text(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    return found && found->is_string() ? std::string(found->get_string()) : std::string();
}

template<class Number>
Number count(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    boost::system::error_code error;
    const auto number = found ? found->to_number<Number>(error) : Number {};
    return error ? Number {} : number;
}

bool flag(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    return found && found->is_bool() && found->get_bool();
}

named_worker workerFromJson(const json::object &object)
{
    named_worker worker;
    worker.name = text(object, "name");
    worker.address = text(object, "address");
    worker.location = {text(object, "region"), text(object, "data_centre"), text(object, "rack")};
    worker.service = text(object, "service");
    worker.slots = count<std::uint32_t>(object, "slots");
    worker.connections = count<std::uint32_t>(object, "connections");
    worker.capacity = {count<std::int64_t>(object, "milli_cores"),
                       count<std::int64_t>(object, "memory_mib"),
                       count<std::int64_t>(object, "accelerators")};
    worker.leaving = flag(object, "leaving");
    return worker;
}

json::object workerToJson(const named_worker &worker)
{
    return {{"name", worker.name},
            {"address", worker.address},
            {"region", worker.location.region},
            {"data_centre", worker.location.dataCentre},
            {"rack", worker.location.rack},
            {"service", worker.service},
            {"slots", worker.slots},
            {"connections", worker.connections},
            {"milli_cores", worker.capacity.milliCores},
            {"memory_mib", worker.capacity.memoryMib},
            {"accelerators", worker.capacity.accelerators},
            {"leaving", worker.leaving}};
}

} // namespace

result<platform_list> listFromJson(const json::value &document)
{
    const auto *object = document.if_object();
    const auto *instances = object ? object->if_contains("instances") : nullptr;
    const auto *workers = object ? object->if_contains("workers") : nullptr;
    if (!instances || !instances->is_array() || !workers || !workers->is_array())
        return make_error_code(errc::Malformed);
    platform_list list;
    list.revision = count<std::uint64_t>(*object, "revision");
    for (const auto &entry : instances->get_array()) {
        const auto *item = entry.if_object();
        if (!item || text(*item, "name").empty())
            return make_error_code(errc::Malformed);
        list.instances.push_back({text(*item, "name"), flag(*item, "leaving")});
    }
    for (const auto &entry : workers->get_array()) {
        const auto *item = entry.if_object();
        if (!item || text(*item, "name").empty() || text(*item, "address").empty())
            return make_error_code(errc::Malformed);
        list.workers.push_back(workerFromJson(*item));
    }
    return list;
}

json::value listToJson(const platform_list &list)
{
    json::array instances;
    for (const auto &instance : list.instances)
        instances.push_back(json::object {{"name", instance.name}, {"leaving", instance.leaving}});
    json::array workers;
    for (const auto &worker : list.workers)
        workers.push_back(workerToJson(worker));
    return json::object {{"revision", list.revision},
                         {"instances", std::move(instances)},
                         {"workers", std::move(workers)}};
}

} // namespace plantaingap::platform
