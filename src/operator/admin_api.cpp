#include "operator/admin_api.h"

#include "operator/api_answers.h"
#include "operator/document_reader.h"
#include "operator/document_values.h"
#include "support/log.h"

#include <algorithm>
#include <array>
#include <charconv>

// GCC 12 inlines only half of the pair by which Asio recycles the memory of coroutine frames, and
// then takes the pair for mismatched.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace plantaingap::operators {

namespace {

namespace http = boost::beast::http;
using support::http_response;
using support::log_level;

constexpr std::uint32_t auditLimit = 1000;

// The number of a query parameter; nothing when it is absent or no number.
std::optional<std::uint64_t> queryNumber(std::string_view target, std::string_view name)
{
    const auto text = support::queryParameter(target, name);
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Matches a path against a pattern in which one '*' stands for one segment.
bool matches(std::string_view pattern, std::string_view path, std::string_view &name)
{
    const auto star = pattern.find('*');
    if (star == std::string_view::npos)
        return pattern == path;
    const auto after = pattern.substr(star + 1);
    if (path.size() <= star + after.size() || !path.starts_with(pattern.substr(0, star))
        || !path.ends_with(after)) {
        return false;
    }
    name = path.substr(star, path.size() - star - after.size());
    return isName(name);
}

http_response unauthenticated()
{
    auto answer = support::jsonResponse(http::status::unauthorized,
                                        R"({"code":"unauthenticated","message":"no known token"})");
    answer.set(http::field::www_authenticate, "Bearer");
    return answer;
}

std::string describe(const apply_conflict &conflict)
{
    return "version " + std::to_string(conflict.version) + " by " + conflict.who + " at "
           + formatWallTime(conflict.when) + " came first";
}

} // namespace

admin_api::admin_api(administration &behind, authenticator known)
    : m_behind(behind)
    , m_known(std::move(known))
{ }

const admin_api::route *admin_api::findRoute(http::verb method, std::string_view path,
                                             std::string_view &name)
{
    constexpr auto get = http::verb::get;
    constexpr auto post = http::verb::post;
    constexpr auto anyone = principal_role::Submitter;
    constexpr auto operators = principal_role::Operator;
    static constexpr std::array<route, 10> routes {{
        {get, "/v1/configuration", anyone, &admin_api::showConfiguration},
        {get, "/v1/configuration/difference", anyone, &admin_api::showDifference},
        {post, "/v1/configuration/check", anyone, &admin_api::checkConfiguration},
        {post, "/v1/configuration/apply", operators, &admin_api::applyConfiguration},
        {get, "/v1/status", anyone, &admin_api::showStatus},
        {get, "/v1/audit", anyone, &admin_api::showAudit},
        {post, "/v1/jobs", anyone, &admin_api::submitJob},
        {get, "/v1/jobs/*", anyone, &admin_api::showJob},
        {get, "/v1/jobs/*/why", anyone, &admin_api::explainJob},
        {post, "/v1/jobs/*/cancel", anyone, &admin_api::cancelJob},
    }};
    const auto found = std::ranges::find_if(routes, [&](const route &each) {
        return each.method == method && matches(each.path, path, name);
    });
    return found == routes.end() ? nullptr : &*found;
}

admin_api::response admin_api::handle(support::http_request request)
{
    const auto header = request[http::field::authorization];
    const auto *who = m_known.authenticate({header.data(), header.size()});
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = support::targetPath(target);
    if (!who) {
        support::log_event(log_level::Warning, "administration.unauthenticated")
            .field("path", path);
        co_return unauthenticated();
    }
    std::string_view name;
    const route *found = findRoute(request.method(), path, name);
    if (!found)
        co_return refuse(errc::NotFound);
    if (found->needed == principal_role::Operator && who->role != principal_role::Operator)
        co_return co_await refuseChange(newAudit(*who, "apply", ""), errc::Forbidden);
    const api_call call {*who, request, name};
    co_return co_await (this->*found->handler)(call);
}

admin_api::response admin_api::showConfiguration(const api_call &call)
{
    const auto target = call.request.target();
    const auto version = queryNumber({target.data(), target.size()}, "version");
    const auto found = co_await m_behind.configurationAt(version);
    if (!found)
        co_return refuse(found.error());
    co_return answerWith(version_message {found->version, found->set.digest, found->set.declared});
}

admin_api::response admin_api::showDifference(const api_call &call)
{
    const std::string_view target(call.request.target().data(), call.request.target().size());
    const auto before = co_await m_behind.configurationAt(queryNumber(target, "from"));
    if (!before)
        co_return refuse(before.error());
    const auto after = co_await m_behind.configurationAt(queryNumber(target, "to"));
    if (!after)
        co_return refuse(after.error());
    co_return answerWith(
        changes_message {before->version, after->version,
                         changesBetween(before->set.declared, after->set.declared)});
}

admin_api::response admin_api::checkConfiguration(const api_call &call)
{
    const auto set = parseSet("set", call.request.body());
    if (!set) {
        refusal_message refusal;
        refusal.found = set.error();
        co_return refuse(errc::InvalidConfiguration, refusal);
    }
    co_return answerWith(apply_answer {0, set->digest});
}

admin_api::response admin_api::applyConfiguration(const api_call &call)
{
    auto audit = newAudit(call.who, "apply", "");
    auto asked = readMessage<apply_request>(call.request.body());
    if (!asked)
        co_return co_await refuseChange(std::move(audit), asked.error());
    audit.fromVersion = asked->base;
    audit.toVersion = asked->base;
    audit.digest = asked->difference.to;
    co_return co_await applyOrder(std::move(*asked), std::move(audit));
}

admin_api::response admin_api::applyOrder(apply_request asked, audit_entry audit)
{
    const auto base = co_await m_behind.configurationAt(asked.base);
    if (!base && base.error() == errc::NotFound) {
        audit.reason = "version " + std::to_string(asked.base) + " is not kept";
        co_return co_await refuseChange(std::move(audit), errc::VersionConflict);
    }
    if (!base)
        co_return co_await refuseChange(std::move(audit), base.error());
    const auto wanted = applyDifference(base->set, asked.difference);
    if (!wanted)
        co_return co_await refuseChange(std::move(audit), wanted.error());
    // The sender has checked its files; a set is checked here again, since anyone may send one.
    const auto checked = parseSet("set", canonicalText(wanted->declared));
    if (!checked)
        co_return co_await refuseChange(std::move(audit), errc::InvalidConfiguration,
                                        checked.error());
    audit_entry accepted = audit;
    accepted.outcome = audit_outcome::Accepted;
    apply_order order {asked.base, *wanted, std::move(asked.difference), std::move(accepted)};
    const auto outcome = co_await m_behind.apply(std::move(order));
    // When it cannot be known, the entry is in the trail if and only if the version is in force.
    if (!outcome && outcome.error() == errc::OutcomeUnknown)
        co_return refuse(outcome.error());
    if (!outcome)
        co_return co_await refuseChange(std::move(audit), outcome.error());
    if (outcome->conflict)
        co_return co_await refuseLost(*outcome->conflict, base->set, std::move(audit));
    support::log_event(log_level::Info, "configuration.applied")
        .field("who", audit.who)
        .field("version", outcome->version)
        .field("digest", wanted->digest);
    co_return answerWith(apply_answer {outcome->version, wanted->digest});
}

admin_api::response admin_api::refuseLost(const apply_conflict &conflict,
                                          const configuration_set &base, audit_entry audit)
{
    refusal_message refusal;
    refusal.message = describe(conflict);
    refusal.conflict = conflict;
    const auto winner = co_await m_behind.configurationAt(conflict.version);
    if (winner)
        refusal.changes = changesBetween(base.declared, winner->set.declared);
    audit.reason = refusal.message;
    co_await refuseChange(std::move(audit), errc::VersionConflict);
    co_return refuse(errc::VersionConflict, std::move(refusal));
}

admin_api::response admin_api::refuseChange(audit_entry audit, std::error_code error,
                                            findings found)
{
    audit.outcome = audit_outcome::Refused;
    audit.toVersion = audit.fromVersion;
    if (audit.reason.empty())
        audit.reason =
            found.empty() ? error.message() : found.front().path + " " + found.front().message;
    support::log_event(log_level::Warning, "change.refused")
        .field("who", audit.who)
        .field("change", audit.change)
        .field("subject", audit.subject)
        .field("reason", audit.reason);
    const auto unwritten = co_await m_behind.record(audit);
    if (unwritten)
        support::log_event(log_level::Error, "audit.unwritten")
            .field("reason", unwritten.message());
    refusal_message refusal;
    refusal.message = audit.reason;
    refusal.found = std::move(found);
    co_return refuse(error, std::move(refusal));
}

admin_api::response admin_api::showStatus(const api_call &)
{
    const auto status = co_await m_behind.status();
    co_return answerWith(status);
}

admin_api::response admin_api::showAudit(const api_call &call)
{
    const std::string_view target(call.request.target().data(), call.request.target().size());
    audit_query query;
    const auto limit = queryNumber(target, "limit").value_or(query.limit);
    query.limit = static_cast<std::uint32_t>(std::min<std::uint64_t>(limit, auditLimit));
    query.beforeVersion = queryNumber(target, "before");
    const auto entries = co_await m_behind.audit(query);
    if (!entries)
        co_return refuse(entries.error());
    co_return answerWith(audit_message {*entries});
}

boost::asio::awaitable<std::error_code> admin_api::mayUseTeam(const principal &who,
                                                              std::string_view team)
{
    if (who.role == principal_role::Operator)
        co_return std::error_code {};
    const auto inForce = co_await m_behind.configurationAt(std::nullopt);
    if (!inForce)
        co_return inForce.error();
    for (const auto &declared : inForce->set.declared.teams) {
        if (declared.name == team && std::ranges::count(declared.submitters, who.name) > 0)
            co_return std::error_code {};
    }
    co_return make_error_code(errc::Forbidden);
}

admin_api::response admin_api::submitJob(const api_call &call)
{
    const auto job = readMessage<job_declaration>(call.request.body());
    auto audit = newAudit(call.who, "submit", job ? job->name : "");
    if (!job)
        co_return co_await refuseChange(std::move(audit), job.error());
    const auto forbidden = co_await mayUseTeam(call.who, job->team);
    if (forbidden)
        co_return co_await refuseChange(std::move(audit), forbidden);
    // Checked as part of the set in force, so that its team and its size are judged like any other.
    auto inForce = co_await m_behind.configurationAt(std::nullopt);
    if (!inForce)
        co_return co_await refuseChange(std::move(audit), inForce.error());
    auto declared = inForce->set.declared;
    declared.jobs = {*job};
    const auto checked = parseSet(job->name, canonicalText(declared));
    if (!checked)
        co_return co_await refuseChange(std::move(audit), errc::InvalidConfiguration,
                                        checked.error());
    auto accepted = audit;
    accepted.outcome = audit_outcome::Accepted;
    const auto status = co_await m_behind.submit(*job, std::move(accepted));
    if (!status && status.error() != errc::OutcomeUnknown)
        co_return co_await refuseChange(std::move(audit), status.error());
    co_return answerWith(status);
}

admin_api::response admin_api::showJob(const api_call &call)
{
    const auto status = co_await m_behind.job(std::string(call.name));
    co_return answerWith(status);
}

admin_api::response admin_api::explainJob(const api_call &call)
{
    const auto explanation = co_await m_behind.why(std::string(call.name));
    co_return answerWith(explanation);
}

admin_api::response admin_api::cancelJob(const api_call &call)
{
    const std::string name(call.name);
    auto audit = newAudit(call.who, "cancel", name);
    const auto job = co_await m_behind.job(name);
    if (!job)
        co_return co_await refuseChange(std::move(audit), job.error());
    const auto forbidden = co_await mayUseTeam(call.who, job->team);
    if (forbidden)
        co_return co_await refuseChange(std::move(audit), forbidden);
    auto accepted = audit;
    accepted.outcome = audit_outcome::Accepted;
    const auto status = co_await m_behind.cancel(name, std::move(accepted));
    if (!status && status.error() != errc::OutcomeUnknown)
        co_return co_await refuseChange(std::move(audit), status.error());
    co_return answerWith(status);
}

audit_entry admin_api::newAudit(const principal &who, std::string_view change,
                                std::string_view subject)
{
    audit_entry entry;
    entry.who = who.name;
    entry.when = m_behind.now();
    entry.change = change;
    entry.subject = subject;
    return entry;
}

} // namespace plantaingap::operators
