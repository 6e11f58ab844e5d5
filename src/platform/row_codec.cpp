#include "platform/row_codec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantaingap::platform {

namespace json = boost::json;

namespace {

template<class Number>
std::optional<Number> numberAt(const json::value &value, std::string_view key)
{
    const auto *object = value.if_object();
    const auto *found = object ? object->if_contains(key) : nullptr;
    if (!found)
        return std::nullopt;
    boost::system::error_code error;
    const auto number = found->to_number<Number>(error);
    return error ? std::nullopt : std::optional<Number>(number);
}

std::optional<std::string> textAt(const json::value &value, std::string_view key)
{
    const auto *object = value.if_object();
    const auto *found = object ? object->if_contains(key) : nullptr;
    if (!found || !found->is_string())
        return std::nullopt;
    return std::string(found->get_string());
}

const json::value *memberAt(const json::value &value, std::string_view key)
{
    const auto *object = value.if_object();
    return object ? object->if_contains(key) : nullptr;
}

json::value refJson(const instance_ref &ref)
{
    return json::object {{"instance", number(ref.instance)}, {"incarnation", ref.incarnation}};
}

std::optional<instance_ref> refFrom(const json::value *value)
{
    if (!value)
        return std::nullopt;
    const auto instance = numberAt<std::uint32_t>(*value, "instance");
    const auto incarnation = numberAt<std::uint64_t>(*value, "incarnation");
    if (!instance || !incarnation)
        return std::nullopt;
    return instance_ref {instance_id {*instance}, *incarnation};
}

// Decodes a list; returns nullopt if any entry is malformed.
template<class Item, class Read>
std::optional<std::vector<Item>> listAt(const json::value &value, std::string_view key, Read read)
{
    const auto *found = memberAt(value, key);
    if (!found || !found->is_array())
        return std::nullopt;
    std::vector<Item> items;
    for (const auto &entry : found->get_array()) {
        auto item = read(entry);
        if (!item)
            return std::nullopt;
        items.push_back(std::move(*item));
    }
    return items;
}

template<class Item, class Write>
json::array listJson(const std::vector<Item> &items, Write write)
{
    json::array list;
    for (const auto &item : items)
        list.push_back(write(item));
    return list;
}

std::optional<std::vector<instance_ref>> refsAt(const json::value &value, std::string_view key)
{
    return listAt<instance_ref>(value, key,
                                [](const json::value &entry) { return refFrom(&entry); });
}

json::array refsJson(const std::vector<instance_ref> &refs)
{
    return listJson(refs, [](const instance_ref &ref) { return refJson(ref); });
}

json::value changeJson(const config_change &change)
{
    return json::object {
        {"version", change.version},
        {"digest", change.digest},
        {"author", change.author},
        {"changed",
         listJson(change.changed, [](const std::string &path) { return json::value(path); })},
        {"write", toJson(change.write)}};
}

std::optional<std::string> pathFrom(const json::value &value)
{
    if (!value.is_string())
        return std::nullopt;
    return std::string(value.get_string());
}

std::optional<config_change> changeFrom(const json::value &value)
{
    const auto version = numberAt<std::uint64_t>(value, "version");
    auto digest = textAt(value, "digest");
    auto author = textAt(value, "author");
    auto changed = listAt<std::string>(value, "changed", pathFrom);
    const auto *writer = memberAt(value, "write");
    const auto write = writer ? writeIdFrom(*writer) : std::nullopt;
    if (!version || !digest || !author || !changed || !write)
        return std::nullopt;
    return config_change {*version, std::move(*digest), std::move(*author), std::move(*changed),
                          *write};
}

std::optional<json::value> parseText(std::string_view text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    return error ? std::nullopt : std::optional<json::value>(std::move(value));
}

} // namespace

json::value toJson(const write_id &write)
{
    return json::object {{"writer", refJson(write.writer)}, {"sequence", write.sequence}};
}

std::optional<write_id> writeIdFrom(const json::value &value)
{
    const auto writer = refFrom(memberAt(value, "writer"));
    const auto sequence = numberAt<std::uint64_t>(value, "sequence");
    if (!writer || !sequence)
        return std::nullopt;
    return write_id {*writer, *sequence};
}

std::string groupRowText(const group_row &row)
{
    return json::serialize(json::object {{"owner", refJson(row.owner)},
                                         {"successors", refsJson(row.successors)},
                                         {"formers", refsJson(row.previousOwners)},
                                         {"write", toJson(row.write)}});
}

std::optional<group_row> groupRowFrom(std::string_view text, std::uint64_t version)
{
    const auto value = parseText(text);
    if (!value)
        return std::nullopt;
    const auto owner = refFrom(memberAt(*value, "owner"));
    auto successors = refsAt(*value, "successors");
    auto previousOwners = refsAt(*value, "formers");
    const auto *writer = memberAt(*value, "write");
    const auto write = writer ? writeIdFrom(*writer) : std::nullopt;
    if (!owner || !successors || !previousOwners || !write)
        return std::nullopt;
    return group_row {version, *owner, std::move(*successors), std::move(*previousOwners), *write};
}

std::string configHeadText(const config_head &head)
{
    return json::serialize(json::object {{"recent", listJson(head.recent, changeJson)}});
}

std::optional<config_head> configHeadFrom(std::string_view text)
{
    const auto value = parseText(text);
    auto recent = value ? listAt<config_change>(*value, "recent", changeFrom) : std::nullopt;
    if (!recent)
        return std::nullopt;
    return config_head {std::move(*recent)};
}

std::string auditText(const config_audit_entry &entry)
{
    return json::serialize(json::object {{"change", changeJson(entry.change)},
                                         {"base", entry.baseVersion},
                                         {"outcome", static_cast<unsigned>(entry.outcome)}});
}

std::optional<config_audit_entry> auditFrom(std::string_view text)
{
    const auto value = parseText(text);
    const auto *change = value ? memberAt(*value, "change") : nullptr;
    auto read = change ? changeFrom(*change) : std::nullopt;
    const auto base = value ? numberAt<std::uint64_t>(*value, "base") : std::nullopt;
    const auto outcome = value ? numberAt<unsigned>(*value, "outcome") : std::nullopt;
    if (!read || !base || !outcome)
        return std::nullopt;
    return config_audit_entry {std::move(*read), *base, static_cast<errc>(*outcome)};
}

} // namespace plantaingap::platform
