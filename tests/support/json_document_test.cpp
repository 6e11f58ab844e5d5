#include "support/json_document.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::support;

TEST_CASE("every value knows the line it began on")
{
    const auto document =
        parseJsonDocument("a.json", "// first\n{ \"a\": 1,\n \"b\": [true, /* x\n"
                                    " */ \"two\\u0041\",\n null, 1.5,],\n}\n// end");
    REQUIRE(document.has_value());
    const auto &root = document->root;
    const std::vector<std::tuple<std::string, int, json_kind>> rows = {
        {"", 2, json_kind::Object},     {"/a", 2, json_kind::Integer},
        {"/b", 3, json_kind::Array},    {"/b/0", 3, json_kind::Boolean},
        {"/b/1", 4, json_kind::String}, {"/b/2", 5, json_kind::Null},
        {"/b/3", 5, json_kind::Number},
    };
    for (const auto &[pointer, line, kind] : rows) {
        CAPTURE(pointer);
        CHECK(nearestNode(root, pointer).line == line);
        CHECK(nearestNode(root, pointer).kind == kind);
    }
    CHECK(nearestNode(root, "/b/1").text == "twoA");
    CHECK(&nearestNode(root, "/b/9/x") == &nearestNode(root, "/b"));
}

TEST_CASE("text that is not JSON is refused with the line where it stops being so")
{
    struct row
    {
        std::string name;
        std::string text;
        int line;
    };
    const std::vector<row> rows = {
        {"an empty text", "", 1},
        {"a comment alone", "// nothing\n", 1},
        {"an object that is not closed", "{\n\"a\": 1\n", 2},
        {"a bare word", "{\n\n\"a\": yes\n}", 3},
        {"a second document", "{}\n{}\n", 2},
        {"nesting beyond the bound", std::string(40, '['), 1},
        {"bytes that are not UTF-8", "{\"a\":\n\"\xff\"}", 2},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto document = parseJsonDocument("a.json", row.text);
        REQUIRE(document.has_error());
        CHECK(document.error().line == row.line);
        CHECK(document.error().file == "a.json");
    }
}
