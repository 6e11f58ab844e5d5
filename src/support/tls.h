#ifndef PLANTAINGAP_SUPPORT_TLS_H
#define PLANTAINGAP_SUPPORT_TLS_H

#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <memory>
#include <plantaingap/result.h>
#include <string>

namespace plantaingap::support {

// The PEM files of one side of a link.
struct tls_files
{
    // The certificate that this side shows, with its chain, and its key. A client may leave both
    // empty when the server asks for none.
    std::string certificate;
    std::string key;
    // The authorities that must have signed the other side's certificate.
    std::string authorities;

    bool operator==(const tls_files &) const = default;
};

// Whether a server asks its clients for a certificate.
enum class peer_certificates : std::uint8_t { Required, NotAsked };

using tls_context = std::shared_ptr<boost::asio::ssl::context>;

// Contexts for TLS 1.2 and later. Reading a file fails with OpenSSL's error; a key that is not the
// certificate's is refused here, not at the first handshake. Addresses are IP numbers, so a
// certificate is trusted for its authority, not for a name: each link has authorities of its own.
result<tls_context> makeServerTls(const tls_files &files, peer_certificates asked);
result<tls_context> makeClientTls(const tls_files &files);

} // namespace plantaingap::support

#endif
