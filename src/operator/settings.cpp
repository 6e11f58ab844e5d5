#include "operator/settings.h"

#include "operator/document_reader.h"
#include "operator/files.h"
#include "operator/settings_tables.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <map>

namespace plantaingap::operators {

namespace {

// Checks that need more than one key. A check is left out when one of its keys was refused: it
// would judge a value that nobody wrote.
class settings_checks
{
public:
    settings_checks(const support::json_document &document, findings &found)
        : m_document(document)
        , m_findings(found)
    { }

    void run(const instance_settings &settings)
    {
        if (clean({"/caller_listen", "/admin_listen", "/peer_listen"}))
            checkListeners(settings);
        if (clean({"/peers"}))
            checkPeers(settings);
        if (present("platform") && clean({"/platform"}) && settings.platform.port() == 0)
            add("/platform", "port 0 cannot be called");
        if (clean({"/principals"}))
            checkPrincipals(settings);
        if (clean({"/tls"}))
            checkCertificates(settings.tls);
    }

private:
    bool clean(std::initializer_list<std::string_view> paths) const
    {
        return std::ranges::all_of(
            paths, [this](auto path) { return isClean(m_findings, m_document.file, path); });
    }

    bool present(std::string_view key) const
    {
        return std::ranges::count(m_document.root.members, key, &support::json_member::key) > 0;
    }

    void add(const std::string &path, std::string message)
    {
        const int line = support::nearestNode(m_document.root, path).line;
        m_findings.push_back({m_document.file, line, path, std::move(message)});
    }

    void checkListeners(const instance_settings &settings)
    {
        const std::array<std::pair<std::string, boost::asio::ip::tcp::endpoint>, 3> listeners {
            {{"/caller_listen", settings.callerListen},
             {"/admin_listen", settings.adminListen},
             {"/peer_listen", settings.peerListen}}};
        std::map<boost::asio::ip::tcp::endpoint, std::string> taken;
        for (const auto &[path, endpoint] : listeners) {
            // Port 0 takes a free port each time.
            if (endpoint.port() == 0)
                continue;
            const auto [first, fresh] = taken.emplace(endpoint, path);
            if (!fresh)
                add(path, "the same address as " + first->second);
        }
    }

    void checkPeers(const instance_settings &settings)
    {
        std::map<boost::asio::ip::tcp::endpoint, std::size_t> seen;
        for (std::size_t i = 0; i < settings.peers.size(); ++i) {
            const auto path = "/peers/" + std::to_string(i);
            const auto [first, fresh] = seen.emplace(settings.peers[i].address, i);
            if (!fresh)
                add(path + "/address",
                    "the same address as /peers/" + std::to_string(first->second) + "/address");
            if (settings.peers[i].address.port() == 0)
                add(path + "/address", "port 0 cannot be called");
        }
    }

    void checkPrincipals(const instance_settings &settings)
    {
        std::map<std::string, std::size_t> names;
        for (std::size_t i = 0; i < settings.principals.size(); ++i) {
            const auto [first, fresh] = names.emplace(settings.principals[i].name, i);
            if (!fresh)
                add("/principals/" + std::to_string(i) + "/name",
                    "the same name as /principals/" + std::to_string(first->second));
        }
    }

    void checkCertificates(const link_security &tls)
    {
        if (tls.callerCertificates == support::peer_certificates::Required && !tls.callers)
            add("/tls/caller_certificates", "certificates need the key 'callers'");
        if (tls.administrationCertificates == support::peer_certificates::Required
            && !tls.administration)
            add("/tls/administration_certificates", "certificates need the key 'administration'");
    }

    const support::json_document &m_document;
    findings &m_findings;
};

void resolveFile(const std::filesystem::path &folder, std::string &name)
{
    name = (folder / name).lexically_normal().string();
}

void resolveFiles(const std::string &file, instance_settings &settings)
{
    const auto folder = std::filesystem::path(file).parent_path();
    for (auto &principal : settings.principals)
        resolveFile(folder, principal.tokenFile);
    auto &tls = settings.tls;
    for (auto *identity : {&tls.callers, &tls.administration, &tls.peers, &tls.platform}) {
        if (!*identity)
            continue;
        resolveFile(folder, (*identity)->certificate);
        resolveFile(folder, (*identity)->key);
        resolveFile(folder, (*identity)->authorities);
    }
}

} // namespace

settings_outcome parseSettings(const std::string &file, std::string_view text)
{
    const auto document = support::parseJsonDocument(file, text);
    if (!document)
        return findings {document.error()};
    findings found;
    instance_settings settings;
    document_reader(file, unknown_keys::Refuse, found).read(document->root, settings);
    if (document->root.kind == support::json_kind::Object)
        settings_checks(*document, found).run(settings);
    if (!found.empty())
        return found;
    resolveFiles(file, settings);
    return settings;
}

settings_outcome loadSettings(const std::string &file)
{
    const auto text = readFile(file);
    if (!text)
        return findings {{file, 0, "", "cannot be read: " + text.error().message()}};
    return parseSettings(file, *text);
}

} // namespace plantaingap::operators
