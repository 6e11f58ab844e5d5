#ifndef PLANTAINGAP_OPERATOR_DOCUMENT_READER_H
#define PLANTAINGAP_OPERATOR_DOCUMENT_READER_H

#include "operator/document_table.h"
#include "support/json_document.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

namespace plantaingap::operators {

// What a reader does with a key that its table does not have. Files of operators are refused;
// messages between programs of different versions are taken.
enum class unknown_keys : std::uint8_t { Refuse, Ignore };

// Reads nodes into structs by their tables and collects everything that is wrong. It never stops
// at the first fault; a member whose value was refused keeps what it had.
class document_reader
{
public:
    document_reader(std::string file, unknown_keys unknown, findings &found);

    template<tabled Struct>
    void read(const support::json_node &node, Struct &out);

    // The values of fields, each by its type and the field's rule.
    void readValue(const support::json_node &node, const value_rule &rule, std::string &out);
    void readValue(const support::json_node &node, const value_rule &rule, bool &out);
    void readValue(const support::json_node &node, const value_rule &rule, std::int64_t &out);
    void readValue(const support::json_node &node, const value_rule &rule, std::uint64_t &out);
    void readValue(const support::json_node &node, const value_rule &rule, std::uint32_t &out);
    void readValue(const support::json_node &node, const value_rule &rule, int &out);
    void readValue(const support::json_node &node, const value_rule &rule,
                   std::chrono::milliseconds &out);
    void readValue(const support::json_node &node, const value_rule &rule, wall_time &out);
    void readValue(const support::json_node &node, const value_rule &rule,
                   boost::asio::ip::tcp::endpoint &out);
    template<named_enum Enum>
    void readValue(const support::json_node &node, const value_rule &rule, Enum &out);
    template<tabled Struct>
    void readValue(const support::json_node &node, const value_rule &rule, Struct &out);
    template<class Value>
    void readValue(const support::json_node &node, const value_rule &rule,
                   std::optional<Value> &out);
    template<class Value>
    void readValue(const support::json_node &node, const value_rule &rule, std::vector<Value> &out);

private:
    // Appends a token to the path while it lives.
    class path_step
    {
    public:
        path_step(std::string &path, std::string_view token);
        ~path_step() { m_path.resize(m_length); }
        path_step(const path_step &) = delete;
        path_step &operator=(const path_step &) = delete;

    private:
        std::string &m_path;
        std::size_t m_length;
    };

    void add(int line, std::string message);
    bool expect(const support::json_node &node, support::json_kind kind);
    void refuseChoice(const support::json_node &node, const std::vector<std::string_view> &choices);
    void checkRange(const support::json_node &node, std::int64_t value, const value_rule &rule);
    void checkMembers(const support::json_node &node, const std::vector<std::string_view> &known);
    template<class Field, class Struct>
    void readField(const support::json_node &node, const Field &each, Struct &out);

    std::string m_file;
    unknown_keys m_unknown;
    findings &m_findings;
    std::string m_path;
};

// A name that differs from the given one by a slip of the keys, as " (did you mean ...?)"; empty
// when there is none.
std::string nearestNameHint(std::string_view name, const std::vector<std::string_view> &known);

// True when nothing was found wrong at a path of a file or below it.
bool isClean(const findings &found, std::string_view file, std::string_view path);

// A JSON pointer with one more token, escaped.
std::string childPointer(std::string_view pointer, std::string_view token);

template<tabled Struct>
void document_reader::read(const support::json_node &node, Struct &out)
{
    if (!expect(node, support::json_kind::Object))
        return;
    std::vector<std::string_view> known;
    forEachField<Struct>([&](const auto &each) { known.push_back(each.key); });
    checkMembers(node, known);
    forEachField<Struct>([&](const auto &each) { readField(node, each, out); });
}

template<class Field, class Struct>
void document_reader::readField(const support::json_node &node, const Field &each, Struct &out)
{
    for (const auto &member : node.members) {
        if (member.key != each.key)
            continue;
        const path_step step(m_path, member.key);
        readValue(member.value, each.rule, out.*each.member);
        return;
    }
    if (each.needed == presence::Required)
        add(node.line, "key '" + std::string(each.key) + "' is missing");
}

template<named_enum Enum>
void document_reader::readValue(const support::json_node &node, const value_rule &, Enum &out)
{
    if (!expect(node, support::json_kind::String))
        return;
    std::vector<std::string_view> choices;
    for (const auto &[name, value] : enum_names<Enum>::names) {
        if (name == node.text) {
            out = value;
            return;
        }
        choices.push_back(name);
    }
    refuseChoice(node, choices);
}

template<tabled Struct>
void document_reader::readValue(const support::json_node &node, const value_rule &, Struct &out)
{
    read(node, out);
}

template<class Value>
void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::optional<Value> &out)
{
    Value value {};
    const auto before = m_findings.size();
    readValue(node, rule, value);
    if (m_findings.size() == before)
        out = std::move(value);
}

// The bounds of the rule are those of the number of elements.
template<class Value>
void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::vector<Value> &out)
{
    if (!expect(node, support::json_kind::Array))
        return;
    checkRange(node, static_cast<std::int64_t>(node.elements.size()), rule);
    const value_rule elementRule {.unit = rule.unit, .form = rule.form};
    out.clear();
    for (const auto &element : node.elements) {
        const path_step step(m_path, std::to_string(out.size()));
        readValue(element, elementRule, out.emplace_back());
    }
}

// A message from another program: errc::Malformed when it does not follow its table. Keys that a
// newer program adds are passed over.
template<tabled Struct>
result<Struct> readMessage(std::string_view text)
{
    const auto document = support::parseJsonDocument("", text);
    if (!document)
        return make_error_code(errc::Malformed);
    findings found;
    Struct message;
    document_reader("", unknown_keys::Ignore, found).read(document->root, message);
    if (!found.empty())
        return make_error_code(errc::Malformed);
    return message;
}

} // namespace plantaingap::operators

#endif
