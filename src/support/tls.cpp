#include "support/tls.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

namespace plantaingap::support {

namespace {

namespace ssl = boost::asio::ssl;

// Restarted processes share no tickets, and an operator who replaces the authorities expects that
// the next connection is judged by the new ones; every session is therefore negotiated anew.
void restrict(ssl::context &context)
{
    context.set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1
                        | ssl::context::no_tlsv1_1 | ssl::context::no_compression);
    SSL_CTX_set_session_cache_mode(context.native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_options(context.native_handle(), SSL_OP_NO_TICKET);
}

boost::system::error_code loadIdentity(ssl::context &context, const tls_files &files)
{
    boost::system::error_code error;
    context.use_certificate_chain_file(files.certificate, error);
    if (error)
        return error;
    context.use_private_key_file(files.key, ssl::context::pem, error);
    if (!error && SSL_CTX_check_private_key(context.native_handle()) != 1)
        error.assign(static_cast<int>(ERR_get_error()), boost::asio::error::get_ssl_category());
    return error;
}

boost::system::error_code trust(ssl::context &context, const tls_files &files)
{
    boost::system::error_code error;
    context.load_verify_file(files.authorities, error);
    if (!error)
        context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
    return error;
}

} // namespace

result<tls_context> makeServerTls(const tls_files &files, peer_certificates asked)
{
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    restrict(*context);
    auto error = loadIdentity(*context, files);
    if (!error && asked == peer_certificates::Required)
        error = trust(*context, files);
    if (error)
        return std::error_code(error);
    return context;
}

result<tls_context> makeClientTls(const tls_files &files)
{
    auto context = std::make_shared<ssl::context>(ssl::context::tls_client);
    restrict(*context);
    auto error = trust(*context, files);
    const bool identified = !files.certificate.empty() || !files.key.empty();
    if (!error && identified)
        error = loadIdentity(*context, files);
    if (error)
        return std::error_code(error);
    return context;
}

} // namespace plantaingap::support
