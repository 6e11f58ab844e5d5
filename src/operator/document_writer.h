#ifndef PLANTAINGAP_OPERATOR_DOCUMENT_WRITER_H
#define PLANTAINGAP_OPERATOR_DOCUMENT_WRITER_H

#include "operator/document_table.h"
#include "operator/document_values.h"
#include "support/http_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

// Writes structs by their tables, in the forms that document_reader reads back unchanged. Keys
// stand in the order of the table, so equal structs give equal texts.
namespace plantaingap::operators {

// Whether optional keys that hold what the struct itself starts with are written. Omitted, a text
// stays the same when a later program knows more keys, so that instances of both agree on digests.
enum class defaults : std::uint8_t { Written, Omitted };

template<tabled Struct>
boost::json::object writeObject(const Struct &value, defaults style);

inline boost::json::value writeValue(const std::string &value, const value_rule &, defaults)
{
    return boost::json::string(value);
}

inline boost::json::value writeValue(bool value, const value_rule &, defaults)
{
    return value;
}

inline boost::json::value writeValue(std::int64_t value, const value_rule &rule, defaults)
{
    constexpr std::int64_t thousandths = 1000;
    if (rule.unit == value_unit::Memory)
        return boost::json::string(formatMemory(value));
    if (rule.unit != value_unit::Cores && rule.unit != value_unit::Megabits)
        return value;
    if (value % thousandths == 0)
        return value / thousandths;
    return static_cast<double>(value) / static_cast<double>(thousandths);
}

inline boost::json::value writeValue(std::uint64_t value, const value_rule &, defaults)
{
    return value;
}

inline boost::json::value writeValue(std::uint32_t value, const value_rule &, defaults)
{
    return value;
}

inline boost::json::value writeValue(int value, const value_rule &, defaults)
{
    return value;
}

inline boost::json::value writeValue(std::chrono::milliseconds value, const value_rule &, defaults)
{
    return boost::json::string(formatDuration(value));
}

inline boost::json::value writeValue(wall_time value, const value_rule &, defaults)
{
    return boost::json::string(formatWallTime(value));
}

inline boost::json::value writeValue(const boost::asio::ip::tcp::endpoint &value,
                                     const value_rule &, defaults)
{
    return boost::json::string(support::formatEndpoint(value));
}

template<named_enum Enum>
boost::json::value writeValue(Enum value, const value_rule &, defaults)
{
    return boost::json::string(enumName(value));
}

template<tabled Struct>
boost::json::value writeValue(const Struct &value, const value_rule &, defaults style)
{
    return writeObject(value, style);
}

template<class Value>
boost::json::value writeValue(const std::vector<Value> &values, const value_rule &rule,
                              defaults style)
{
    boost::json::array array;
    for (const auto &value : values)
        array.push_back(writeValue(value, rule, style));
    return array;
}

template<class Struct, class Member>
void writeMember(boost::json::object &object, const field<Struct, Member> &each,
                 const Struct &value, defaults style)
{
    const auto &member = value.*each.member;
    if (style == defaults::Omitted && each.needed == presence::Optional
        && member == Struct {}.*each.member)
        return;
    object[each.key] = writeValue(member, each.rule, style);
}

// An absent value has no key.
template<class Struct, class Value>
void writeMember(boost::json::object &object, const field<Struct, std::optional<Value>> &each,
                 const Struct &value, defaults style)
{
    const auto &member = value.*each.member;
    if (member)
        object[each.key] = writeValue(*member, each.rule, style);
}

template<tabled Struct>
boost::json::object writeObject(const Struct &value, defaults style)
{
    boost::json::object object;
    forEachField<Struct>([&](const auto &each) { writeMember(object, each, value, style); });
    return object;
}

template<tabled Struct>
std::string writeText(const Struct &value, defaults style)
{
    return boost::json::serialize(boost::json::value(writeObject(value, style)));
}

} // namespace plantaingap::operators

#endif
