#include "support/tls.h"

#include "certificates.h"
#include "support/http_client.h"
#include "support/http_server.h"
#include "temporary_folder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::support;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

asio::awaitable<http_response> answerName(http_request, http_peer peer)
{
    co_return makeResponse(http::status::ok, "text/plain", peer.certificateName);
}

class tls_fixture
{
public:
    tls_files files(const std::string &name, const test_authority &issuer,
                    const test_authority &trusted,
                    test_authority::validity valid = test_authority::validity::Current)
    {
        const auto identity = issuer.issue(name, valid);
        return {folder.write(name + ".pem", identity.certificate),
                folder.write(name + ".key", identity.key),
                folder.write(name + "-trusted.pem", trusted.certificate())};
    }

    // The body of an answer, or "refused".
    static std::string exchange(const tls_context &server, const tls_context &client)
    {
        asio::io_context context;
        http_server listener(context, {}, answerName, server);
        REQUIRE(!listener.listen({asio::ip::address_v4::loopback(), 0}));
        http_client caller(context, {asio::ip::address_v4::loopback(), listener.port()}, 1, client);
        std::string body = "refused";
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                const auto outcome = co_await caller.fetch(makeRequest(http::verb::get, "/", ""),
                                                           clock::now() + std::chrono::hours(1));
                if (outcome.has_value())
                    body = outcome->body();
                context.stop();
            },
            asio::detached);
        context.run();
        return body;
    }

    temporary_folder folder;
    test_authority ours {"ours"};
    test_authority theirs {"theirs"};
};

} // namespace

TEST_CASE("only certificates of the link's authorities are accepted")
{
    using validity = test_authority::validity;
    struct row
    {
        std::string name;
        peer_certificates asked;
        std::string serverSigner;
        std::string clientSigner;
        std::string expected;
    };
    const std::vector<row> rows = {
        {"both sides show certificates", peer_certificates::Required, "ours", "ours", "client"},
        {"the client shows none and is not asked", peer_certificates::NotAsked, "ours", "", ""},
        {"the client shows none and is asked", peer_certificates::Required, "ours", "", "refused"},
        {"the client's is another authority's", peer_certificates::Required, "ours", "theirs",
         "refused"},
        {"the client's has expired", peer_certificates::Required, "ours", "expired", "refused"},
        {"the server's is another authority's", peer_certificates::NotAsked, "theirs", "",
         "refused"},
        {"the server's has expired", peer_certificates::NotAsked, "expired", "", "refused"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        tls_fixture fixture;
        const auto identity = [&](const std::string &name, const std::string &signer) {
            return fixture.files(name, signer == "theirs" ? fixture.theirs : fixture.ours,
                                 fixture.ours,
                                 signer == "expired" ? validity::Expired : validity::Current);
        };
        auto clientFiles = identity("client", row.clientSigner);
        if (row.clientSigner.empty())
            clientFiles.certificate = clientFiles.key = "";
        const auto server = makeServerTls(identity("server", row.serverSigner), row.asked);
        const auto client = makeClientTls(clientFiles);
        REQUIRE((server && client));
        CHECK(tls_fixture::exchange(*server, *client) == row.expected);
    }
}

TEST_CASE("plain HTTP and TLS do not meet")
{
    tls_fixture fixture;
    const auto files = fixture.files("server", fixture.ours, fixture.ours);
    const auto server = makeServerTls(files, peer_certificates::NotAsked);
    const auto client = makeClientTls({"", "", files.authorities});
    REQUIRE((server && client));
    CHECK(tls_fixture::exchange(*server, nullptr) == "refused");
    CHECK(tls_fixture::exchange(nullptr, *client) == "refused");
}

TEST_CASE("unusable files are refused when the context is made")
{
    tls_fixture fixture;
    const auto sound = fixture.files("server", fixture.ours, fixture.ours);
    const auto other = fixture.files("other", fixture.ours, fixture.ours);
    const auto noise = fixture.folder.write("noise.pem", "no certificate");
    const std::vector<std::pair<std::string, tls_files>> rows = {
        {"no certificate", {fixture.folder.path() + "/none", sound.key, sound.authorities}},
        {"a certificate that is none", {noise, sound.key, sound.authorities}},
        {"no key", {sound.certificate, fixture.folder.path() + "/none", sound.authorities}},
        {"another certificate's key", {sound.certificate, other.key, sound.authorities}},
        {"no authorities", {sound.certificate, sound.key, fixture.folder.path() + "/none"}},
        {"authorities that are none", {sound.certificate, sound.key, noise}},
    };
    for (const auto &[name, files] : rows) {
        CAPTURE(name);
        CHECK(makeServerTls(files, peer_certificates::Required).has_error());
        CHECK(makeClientTls(files).has_error());
    }
    CHECK(makeServerTls(sound, peer_certificates::Required).has_value());
}
