#include "operator/settings.h"

#include "operator/document_keys.h"
#include "operator/files.h"
#include "operator/findings_text.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::operators;

namespace {

const std::string start = R"({"instance": "i", "region": "r", "data_centre": "d",
"caller_listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2",
"peer_listen": "127.0.0.1:3", "platform": "127.0.0.1:4")";

} // namespace

TEST_CASE("bad settings are refused with everything that is wrong with them")
{
    struct row
    {
        std::string name;
        std::string text;
        std::vector<std::string> findings;
    };
    const std::vector<row> rows = {
        {"missing keys are told one by one",
         R"({"instance": "i", "region": "r", "caller_listen": "127.0.0.1:1", "admin_listen": "[::1]:2",
"peer_listen": "127.0.0.1:3"})",
         {"s:1  key 'data_centre' is missing", "s:1  key 'platform' is missing"}},
        {"a host name is no address",
         start + ",\n\"peers\": [{\"name\": \"p\", \"address\": \"localhost:80\"}]}",
         {"s:4 /peers/0/address 'localhost:80' is no address: an IP number, ':' and a port"}},
        {"two listeners at one address and two equal peers",
         R"({"instance": "i", "region": "r", "data_centre": "d", "platform": "127.0.0.1:4",
"caller_listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:3",
"peers": [{"name": "p", "address": "127.0.0.1:9"}, {"name": "q", "address": "127.0.0.1:9"}]})",
         {"s:2 /admin_listen the same address as /caller_listen",
          "s:3 /peers/1/address the same address as /peers/0/address"}},
        {"certificates asked without an identity",
         start + ", \"tls\": {\"caller_certificates\": \"required\"}}",
         {"s:3 /tls/caller_certificates certificates need the key 'callers'"}},
        {"a secret in place of its file",
         start + ", \"principals\": [{\"name\": \"n\", \"role\": \"operator\", \"token\": \"x\"}]}",
         {"s:3 /principals/0/token unknown key", "s:3 /principals/0 key 'token_file' is missing"}},
        {"a list in place of the settings", "[]", {"s:1  must be an object, not a list"}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto settings = parseSettings("s", row.text);
        REQUIRE(settings.has_error());
        CHECK(joined(findingTexts(settings.error())) == joined(row.findings));
    }
}

TEST_CASE("the example settings are sound and their files are found beside them")
{
    for (const std::string name : {"instance.json", "instance_tls.json"}) {
        CAPTURE(name);
        const std::string folder = std::string(PLANTAINGAP_SOURCE) + "/examples";
        const auto settings = loadSettings(folder + "/" + name);
        REQUIRE(settings.has_value());
        CHECK(settings->instance == "entry-1");
        CHECK(settings->principals.at(0).tokenFile == folder + "/secrets/on-call.token");
    }
}

TEST_CASE("the committed page of keys is the printed one")
{
    const auto page = readFile(std::string(PLANTAINGAP_SOURCE) + "/docs/CONFIGURATION.md");
    REQUIRE(page.has_value());
    CHECK(*page == documentKeys());
}
