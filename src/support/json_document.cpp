#include "support/json_document.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <charconv>
#include <limits>
#include <stdexcept>

namespace plantaingap::support {

namespace {

namespace json = boost::json;

// Receives the parser's events and builds nodes. The parser is fed one line at a time, so the line
// that is being fed is the line of every value that an event begins.
class node_builder
{
public:
    // NOLINTBEGIN(readability-identifier-naming): the names are Boost.JSON's.
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    // NOLINTEND(readability-identifier-naming)

    void setLine(int line) { m_line = line; }
    json_node takeRoot() { return std::move(m_root); }

    // NOLINTBEGIN(readability-identifier-naming): the names are Boost.JSON's.
    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_array_begin(json::error_code &) { return open(json_kind::Array); }
    bool on_array_end(std::size_t, json::error_code &) { return close(); }
    bool on_object_begin(json::error_code &) { return open(json_kind::Object); }
    bool on_object_end(std::size_t, json::error_code &) { return close(); }
    bool on_string_part(json::string_view part, std::size_t, json::error_code &)
    {
        m_text.append(part.data(), part.size());
        return true;
    }
    bool on_string(json::string_view last, std::size_t, json::error_code &)
    {
        m_text.append(last.data(), last.size());
        json_node &node = add(json_kind::String);
        node.text = std::exchange(m_text, {});
        return true;
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        m_text.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view last, std::size_t, json::error_code &)
    {
        m_text.append(last.data(), last.size());
        m_open.back()->members.push_back({std::exchange(m_text, {}), m_line, {}});
        return true;
    }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t value, json::string_view, json::error_code &)
    {
        json_node &node = add(json_kind::Integer);
        node.integer = value;
        node.number = static_cast<double>(value);
        return true;
    }
    // Above the signed range: kept as a number, so that a range check refuses it.
    bool on_uint64(std::uint64_t value, json::string_view, json::error_code &)
    {
        add(json_kind::Number).number = static_cast<double>(value);
        return true;
    }
    bool on_double(double value, json::string_view, json::error_code &)
    {
        add(json_kind::Number).number = value;
        return true;
    }
    bool on_bool(bool value, json::error_code &)
    {
        add(json_kind::Boolean).boolean = value;
        return true;
    }
    bool on_null(json::error_code &)
    {
        add(json_kind::Null);
        return true;
    }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    json_node &place()
    {
        if (m_open.empty())
            return m_root;
        json_node &parent = *m_open.back();
        if (parent.kind == json_kind::Object)
            return parent.members.back().value;
        return parent.elements.emplace_back();
    }

    json_node &add(json_kind kind)
    {
        json_node &node = place();
        node.kind = kind;
        node.line = m_line;
        return node;
    }

    // Pointers stay valid: a container grows only while it is the innermost open one.
    bool open(json_kind kind)
    {
        m_open.push_back(&add(kind));
        return true;
    }

    bool close()
    {
        m_open.pop_back();
        return true;
    }

    json_node m_root;
    std::vector<json_node *> m_open;
    std::string m_text;
    int m_line = 1;
};

std::string decodeToken(std::string_view token)
{
    std::string decoded;
    for (std::size_t i = 0; i < token.size(); ++i) {
        if (token[i] != '~' || i + 1 == token.size()) {
            decoded += token[i];
            continue;
        }
        ++i;
        decoded += token[i] == '1' ? '/' : '~';
    }
    return decoded;
}

const json_node *childNode(const json_node &parent, std::string_view token)
{
    if (parent.kind == json_kind::Object) {
        const auto key = decodeToken(token);
        const auto found = std::ranges::find(parent.members, key, &json_member::key);
        return found == parent.members.end() ? nullptr : &found->value;
    }
    std::size_t index = parent.elements.size();
    std::from_chars(token.data(), token.data() + token.size(), index);
    return index < parent.elements.size() ? &parent.elements[index] : nullptr;
}

} // namespace

boost::system::result<json_document, finding> parseJsonDocument(std::string file,
                                                                std::string_view text)
{
    json::parse_options options;
    options.max_depth = jsonDepthLimit;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::basic_parser<node_builder> parser(options);
    json::error_code error;
    int line = 0;
    do {
        ++line;
        const auto end = std::min(text.find('\n'), text.size() - 1) + 1;
        const auto fed = text.substr(0, text.empty() ? 0 : end);
        text.remove_prefix(fed.size());
        parser.handler().setLine(line);
        const auto used = parser.write_some(!text.empty(), fed.data(), fed.size(), error);
        if (!error && used < fed.size())
            error = json::error::extra_data;
    } while (!error && !text.empty());
    if (error)
        return finding {std::move(file), line, "", "not JSON: " + error.message()};
    return json_document {std::move(file), parser.handler().takeRoot()};
}

const json_node &nearestNode(const json_node &root, std::string_view pointer)
{
    const json_node *node = &root;
    while (!pointer.empty()) {
        pointer.remove_prefix(1);
        const auto token = pointer.substr(0, pointer.find('/'));
        const json_node *next = childNode(*node, token);
        if (!next)
            break;
        node = next;
        pointer.remove_prefix(token.size());
    }
    return *node;
}

std::string_view kindName(json_kind kind)
{
    switch (kind) {
    case json_kind::Null:
        return "null";
    case json_kind::Boolean:
        return "a boolean";
    case json_kind::Integer:
        return "a whole number";
    case json_kind::Number:
        return "a number";
    case json_kind::String:
        return "a string";
    case json_kind::Array:
        return "a list";
    case json_kind::Object:
        return "an object";
    }
    return "nothing";
}

} // namespace plantaingap::support

namespace plantaingap {

void throw_exception_from_error(const finding &found, const boost::source_location &location)
{
    boost::throw_exception(std::logic_error(found.message), location);
}

void throw_exception_from_error(const findings &found, const boost::source_location &location)
{
    throw_exception_from_error(found.front(), location);
}

} // namespace plantaingap
