#ifndef PLANTAINGAP_OPERATOR_DOCUMENT_TABLE_H
#define PLANTAINGAP_OPERATOR_DOCUMENT_TABLE_H

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

// The form of a document as tables of member pointers. A struct that stands in a document has a
// document_table with a tuple of fields; reader, writer and the printed page of keys all follow it.
namespace plantaingap::operators {

// How a count is written in a document.
enum class value_unit : std::uint8_t {
    // A whole number.
    None,
    // Cores as a number with up to three decimals; held in thousandths.
    Cores,
    // Megabits a second as a number with up to three decimals; held in kilobits.
    Megabits,
    // A string such as "128GiB"; held in MiB.
    Memory,
};

enum class text_form : std::uint8_t {
    // Anything, also empty.
    Any,
    // Lower-case letters, digits, '-', '_' and '.', beginning with a letter or digit, at most 63.
    Name,
    // Not empty.
    Filled,
};

// What values a field takes. Bounds are in the unit that the struct holds: for durations
// milliseconds, for lists the number of elements.
struct value_rule
{
    value_unit unit = value_unit::None;
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    text_form form = text_form::Any;
};

enum class presence : std::uint8_t { Required, Optional };

template<class Struct, class Member>
struct field
{
    std::string_view key;
    Member Struct::*member;
    presence needed;
    value_rule rule;
    std::string_view doc;
};

template<class Struct, class Member>
constexpr auto required(std::string_view key, Member Struct::*member, value_rule rule,
                        std::string_view doc)
{
    return field<Struct, Member> {key, member, presence::Required, rule, doc};
}

// An absent key leaves the member as the struct's own initializer has it.
template<class Struct, class Member>
constexpr auto optional(std::string_view key, Member Struct::*member, value_rule rule,
                        std::string_view doc)
{
    return field<Struct, Member> {key, member, presence::Optional, rule, doc};
}

constexpr value_rule range(std::int64_t lowest, std::int64_t highest)
{
    return {.lowest = lowest, .highest = highest};
}

inline constexpr value_rule anyValue {};
inline constexpr value_rule nameRule {.form = text_form::Name};
inline constexpr value_rule filledRule {.form = text_form::Filled};

// Specialised for each struct of a document: title, doc and fields.
template<class Struct>
struct document_table
{ };

template<class Struct>
concept tabled = requires
{
    document_table<Struct>::fields;
};

// Specialised for each enumeration of a document: pairs of name and value.
template<class Enum>
struct enum_names
{ };

template<class Enum>
concept named_enum = requires
{
    enum_names<Enum>::names;
};

template<named_enum Enum>
constexpr std::string_view enumName(Enum value)
{
    for (const auto &[name, named] : enum_names<Enum>::names) {
        if (named == value)
            return name;
    }
    return "";
}

// Calls visit with each field of a struct's table, in order.
template<tabled Struct, class Visitor>
void forEachField(Visitor &&visit)
{
    std::apply([&](const auto &...each) { (visit(each), ...); }, document_table<Struct>::fields);
}

} // namespace plantaingap::operators

#endif
