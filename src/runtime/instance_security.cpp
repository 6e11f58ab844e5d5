#include "runtime/instance.h"

namespace plantaingap::runtime {

namespace {

using make_context = result<support::tls_context> (*)(const support::tls_files &,
                                                      support::peer_certificates);

result<support::tls_context> makeClient(const support::tls_files &files, support::peer_certificates)
{
    return support::makeClientTls(files);
}

// The context of one link; nothing for a link that speaks plain TCP.
support::tls_context contextFor(const std::optional<support::tls_files> &files,
                                support::peer_certificates asked, make_context make,
                                const std::string &path, findings &found)
{
    if (!files)
        return nullptr;
    auto context = make(*files, asked);
    if (context.has_value())
        return *context;
    found.push_back({files->certificate, 0, path, context.error().message()});
    return nullptr;
}

} // namespace

boost::system::result<instance_security, findings>
loadSecurity(const operators::instance_settings &settings)
{
    findings found;
    instance_security security;
    const auto &tls = settings.tls;
    security.callers = contextFor(tls.callers, tls.callerCertificates, support::makeServerTls,
                                  "/tls/callers", found);
    security.administration = contextFor(tls.administration, tls.administrationCertificates,
                                         support::makeServerTls, "/tls/administration", found);
    security.platform = contextFor(tls.platform, support::peer_certificates::Required, makeClient,
                                   "/tls/platform", found);
    // Better refused than silently plain.
    if (tls.peers)
        found.push_back({tls.peers->certificate, 0, "/tls/peers",
                         "links between instances cannot be encrypted yet"});
    auto principals = operators::authenticator::load(settings.principals);
    if (principals.has_value())
        security.principals = std::move(*principals);
    else
        found.insert(found.end(), principals.error().begin(), principals.error().end());
    if (!found.empty())
        return found;
    return security;
}

} // namespace plantaingap::runtime
