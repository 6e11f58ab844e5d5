#include "operator/document_keys.h"

#include "operator/configuration_tables.h"
#include "operator/document_writer.h"
#include "operator/settings_tables.h"

#include <type_traits>

namespace plantaingap::operators {

namespace {

constexpr std::string_view introduction = R"(# Settings and configuration

Every key, with its type, bounds and default. This page is printed by `plantaingap check
--document-keys` from the tables that the programs read files by; a test compares the two.

Files are JSON with `//` and `/* */` comments and trailing commas. Durations are strings such as
"250ms", "2s", "5m", "1h"; sizes of memory "512MiB", "128GiB", "2TiB"; cores are numbers with up to
three decimals; times are UTC such as "2026-12-04T06:00:00Z"; addresses are IP numbers with a port,
"127.0.0.1:8080" or "[::1]:8080". Unknown keys, keys that stand twice, wrong types and units, missing
keys and limits that contradict each other are told together, each with file, line and path; a file
in which anything is found changes nothing.

Try it with `plantaingap check examples/registry` and `plantaingap check --settings FILE`.
)";

template<class Value>
struct element_type
{
    using type = Value;
    static constexpr std::string_view prefix {};
};

template<class Value>
struct element_type<std::optional<Value>>
{
    using type = Value;
    static constexpr std::string_view prefix {};
};

template<class Value>
struct element_type<std::vector<Value>>
{
    using type = Value;
    static constexpr std::string_view prefix = "list of ";
};

template<class Value>
std::string typeName(const value_rule &rule)
{
    if constexpr (tabled<Value>) {
        return std::string(document_table<Value>::title);
    } else if constexpr (named_enum<Value>) {
        std::string choices;
        for (const auto &[name, value] : enum_names<Value>::names)
            choices += (choices.empty() ? "" : ", ") + std::string(name);
        return "one of " + choices;
    } else if constexpr (std::is_same_v<Value, std::string>) {
        return rule.form == text_form::Name ? "name" : "text";
    } else if constexpr (std::is_same_v<Value, bool>) {
        return "boolean";
    } else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>) {
        return "duration";
    } else if constexpr (std::is_same_v<Value, wall_time>) {
        return "time";
    } else if constexpr (std::is_same_v<Value, boost::asio::ip::tcp::endpoint>) {
        return "address";
    } else {
        switch (rule.unit) {
        case value_unit::None:
            return "whole number";
        case value_unit::Cores:
            return "cores";
        case value_unit::Megabits:
            return "Mbit/s";
        case value_unit::Memory:
            return "memory";
        }
        return "";
    }
}

template<class Value>
std::string boundText(std::int64_t bound, const value_rule &rule)
{
    if constexpr (std::is_same_v<Value, std::chrono::milliseconds>)
        return formatDuration(std::chrono::milliseconds(bound));
    else if constexpr (std::is_integral_v<Value>)
        return boost::json::serialize(writeValue(bound, rule, defaults::Written));
    else
        return std::to_string(bound);
}

template<class Value>
std::string rangeText(const value_rule &rule)
{
    const auto lowest = boundText<Value>(rule.lowest, rule);
    if (rule.highest != std::numeric_limits<std::int64_t>::max())
        return lowest + " to " + boundText<Value>(rule.highest, rule);
    if constexpr (std::is_integral_v<Value> && !std::is_same_v<Value, bool>)
        return "from " + lowest;
    return "";
}

// The default is what the struct itself holds when the key is absent.
template<class Struct, class Member>
std::string defaultText(const field<Struct, Member> &each)
{
    if (each.needed == presence::Required)
        return "required";
    if constexpr (tabled<Member>)
        return "";
    else
        return "`"
               + boost::json::serialize(
                   writeValue(Struct {}.*each.member, each.rule, defaults::Written))
               + "`";
}

template<class Struct, class Value>
std::string defaultText(const field<Struct, std::optional<Value>> &)
{
    return "none";
}

template<class Struct, class Member>
std::string rowText(const field<Struct, Member> &each)
{
    using element = element_type<Member>;
    const std::string type =
        std::string(element::prefix) + typeName<typename element::type>(each.rule);
    return "| `" + std::string(each.key) + "` | " + type + " | " + rangeText<Member>(each.rule)
           + " | " + defaultText(each) + " | " + std::string(each.doc) + " |\n";
}

template<tabled Struct>
std::string tableText()
{
    using table = document_table<Struct>;
    std::string text = "\n### " + std::string(table::title) + "\n\n" + std::string(table::doc)
                       + "\n\n| key | type | range | default | meaning |\n|---|---|---|---|---|\n";
    forEachField<Struct>([&](const auto &each) { text += rowText(each); });
    return text;
}

} // namespace

std::string documentKeys()
{
    return std::string(introduction) + "\n## Settings file\n" + tableText<instance_settings>()
           + tableText<link_security>() + tableText<support::tls_files>()
           + tableText<principal_settings>() + tableText<instance_limits>()
           + tableText<peer_settings>() + "\n## Settings file on the platform\n"
           + tableText<cell_settings>() + "\n## Configuration set\n" + tableText<configuration>()
           + tableText<service_declaration>() + tableText<kind_declaration>()
           + tableText<team_declaration>() + tableText<job_declaration>()
           + tableText<worker_class_declaration>() + tableText<resources>();
}

} // namespace plantaingap::operators
