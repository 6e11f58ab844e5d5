#ifndef PLANTAINGAP_SUPPORT_JSON_DOCUMENT_H
#define PLANTAINGAP_SUPPORT_JSON_DOCUMENT_H

#include <cstdint>
#include <plantaingap/result.h>
#include <string>
#include <string_view>
#include <vector>

// JSON with comments and trailing commas, parsed by Boost.JSON, in which every value knows the line
// it began on and members keep their order and their duplicates. That is what a reader needs to
// tell a person where a document is wrong.
namespace plantaingap::support {

enum class json_kind : std::uint8_t { Null, Boolean, Integer, Number, String, Array, Object };

struct json_member;

struct json_node
{
    json_kind kind = json_kind::Null;
    // Counted from 1.
    int line = 0;
    bool boolean = false;
    std::int64_t integer = 0;
    // Also set for integers.
    double number = 0;
    std::string text;
    std::vector<json_node> elements;
    std::vector<json_member> members;
};

struct json_member
{
    std::string key;
    int line = 0;
    json_node value;
};

struct json_document
{
    // The name told in findings.
    std::string file;
    json_node root;
};

// Documents that nest deeper than this are refused.
inline constexpr std::size_t jsonDepthLimit = 32;

// The document, or the one finding that says where the text stops being JSON.
boost::system::result<json_document, finding> parseJsonDocument(std::string file,
                                                                std::string_view text);

// The node at a JSON pointer, or the nearest node above it that exists.
const json_node &nearestNode(const json_node &root, std::string_view pointer);

// The article and name of a kind as findings say it, for example "a string".
std::string_view kindName(json_kind kind);

} // namespace plantaingap::support

// Findings are values here; asking a refused text for its document is a fault of the program.
namespace plantaingap {
[[noreturn]] void throw_exception_from_error(const finding &found, // NOLINT
                                             const boost::source_location &location);
[[noreturn]] void throw_exception_from_error(const findings &found, // NOLINT
                                             const boost::source_location &location);
} // namespace plantaingap

#endif
