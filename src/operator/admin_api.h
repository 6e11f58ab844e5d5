#ifndef PLANTAINGAP_OPERATOR_ADMIN_API_H
#define PLANTAINGAP_OPERATOR_ADMIN_API_H

#include "operator/administration.h"
#include "operator/api_messages.h"
#include "operator/authentication.h"
#include "support/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <string_view>

// The administration API: HTTP requests in, calls of the administration interface, HTTP answers
// out.
//     GET  /v1/configuration[?version=N]       a version, the one in force by default
//     GET  /v1/configuration/difference?from=N&to=N
//     POST /v1/configuration/check             operators: what is wrong with a set
//     POST /v1/configuration/apply             operators: a difference and the version it is from
//     GET  /v1/status
//     GET  /v1/audit[?limit=N]
//     POST /v1/jobs                            operators and the team's submitters
//     GET  /v1/jobs/NAME                       how far it is
//     GET  /v1/jobs/NAME/why                   why it waits
//     POST /v1/jobs/NAME/cancel                operators and the team's submitters
// Every change that an authenticated principal asks for, accepted or refused, is in the audit
// trail. A request without a known token is only logged: the trail's writes are not for anyone to
// spend.
namespace plantaingap::operators {

class admin_api
{
public:
    // The administration must outlive the API.
    admin_api(administration &behind, authenticator known);

    boost::asio::awaitable<support::http_response> handle(support::http_request request);

private:
    using response = boost::asio::awaitable<support::http_response>;

    // One request, after its principal was recognised and its route found.
    struct api_call
    {
        const principal &who;
        const support::http_request &request;
        // The part of the path that the route's '*' stands for.
        std::string_view name;
    };

    struct route
    {
        boost::beast::http::verb method;
        std::string_view path;
        principal_role needed;
        response (admin_api::*handler)(const api_call &);
    };
    static const route *findRoute(boost::beast::http::verb method, std::string_view path,
                                  std::string_view &name);

    response showConfiguration(const api_call &call);
    response showDifference(const api_call &call);
    response checkConfiguration(const api_call &call);
    response applyConfiguration(const api_call &call);
    response showStatus(const api_call &call);
    response showAudit(const api_call &call);
    response submitJob(const api_call &call);
    response showJob(const api_call &call);
    response explainJob(const api_call &call);
    response cancelJob(const api_call &call);

    response applyOrder(apply_request asked, audit_entry audit);
    response refuseLost(const apply_conflict &conflict, const configuration_set &base,
                        audit_entry audit);
    // Writes the refusal to the audit trail, then answers with it.
    response refuseChange(audit_entry audit, std::error_code error, findings found = {});
    boost::asio::awaitable<std::error_code> mayUseTeam(const principal &who, std::string_view team);
    audit_entry newAudit(const principal &who, std::string_view change, std::string_view subject);

    administration &m_behind;
    authenticator m_known;
};

} // namespace plantaingap::operators

#endif
