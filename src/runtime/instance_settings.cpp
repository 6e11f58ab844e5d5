#include "runtime/instance_settings.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace plantaingap::runtime {

namespace json = boost::json;

namespace {

std::string text(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint32_t count(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (!value || !value->is_int64() || value->get_int64() < 0)
        return 0;
    return static_cast<std::uint32_t>(value->get_int64());
}

// Calls read for each object in the array under this key.
template<class Read>
void forEach(const json::object &object, std::string_view key, const Read &read)
{
    const auto *value = object.if_contains(key);
    if (!value || !value->is_array())
        return;
    for (const auto &entry : value->get_array()) {
        if (entry.is_object())
            read(entry.get_object());
    }
}

worker_settings readWorker(const json::object &object)
{
    return {text(object, "name"),        text(object, "address"),      text(object, "service"),
            count(object, "slots"),      count(object, "connections"), text(object, "rack"),
            text(object, "data_centre"), text(object, "region")};
}

} // namespace

result<instance_settings> readInstanceSettings(std::string_view document)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code error;
    const auto value = json::parse(document, error, {}, options);
    if (error || !value.is_object())
        return make_error_code(errc::InvalidConfiguration);
    const auto &object = value.get_object();
    instance_settings settings;
    settings.name = text(object, "name");
    settings.region = text(object, "region");
    settings.dataCentre = text(object, "data_centre");
    settings.callerListen = text(object, "caller_listen");
    settings.adminListen = text(object, "admin_listen");
    settings.peerListen = text(object, "peer_listen");
    settings.platform = text(object, "platform");
    forEach(object, "peers", [&](const json::object &peer) {
        settings.peers.push_back({text(peer, "name"), text(peer, "address"), text(peer, "region")});
    });
    forEach(object, "workers",
            [&](const json::object &worker) { settings.workers.push_back(readWorker(worker)); });
    forEach(object, "services", [&](const json::object &service) {
        settings.services.push_back(text(service, "name"));
    });
    if (settings.name.empty() || settings.callerListen.empty())
        return make_error_code(errc::InvalidConfiguration);
    return settings;
}

} // namespace plantaingap::runtime
