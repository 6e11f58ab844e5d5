#ifndef PLANTAINGAP_RUNTIME_REQUEST_DESK_H
#define PLANTAINGAP_RUNTIME_REQUEST_DESK_H

#include "backend/worker_transport.h"
#include "decision/router.h"
#include "peer/peer_message.h"
#include "runtime/control_note.h"
#include "runtime/group_tenure.h"
#include "support/metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <plantaingap/service_request.h>
#include <set>

namespace plantaingap::runtime {

// Where the desk's decisions go; each hands its message to another duty.
struct desk_outlets
{
    // Comes before the first request for the worker.
    std::function<void(backend::worker_address &&)> addWorker;
    std::function<void(backend::send_order &&)> sendToWorker;
    std::function<void(service_response_ptr)> answer;
    std::function<void(peer::forward_call &&)> forward;
    // The load of the groups that this instance owns, at an interval.
    std::function<void(std::vector<decision::group_summary> &&)> summaries;
};

struct desk_limits
{
    decision::router_limits router;
    decision::request_limits requests;
    // Requests without a usable group wait for one at most so long, and at most so many.
    duration parkAtMost = std::chrono::seconds(5);
    std::size_t parked = 4096;
    duration summaryEvery = std::chrono::milliseconds(100);
};

// The heart of the scheduling duty: takes callers' and forwarded requests, routes each to the owner
// of a group, and drives the request schedulers of the groups that this instance owns. It runs on
// the thread of its io_context.
class request_desk
{
public:
    request_desk(boost::asio::io_context &context, instance_id self, const desk_limits &limits,
                 platform::platform_client *platform, desk_outlets outlets);

    // Begins to publish summaries and to look after what waits.
    void start();

    void addService(std::string_view name);

    // A change of what this instance owns.
    void note(const control_note &note);

    // A caller's request.
    void admit(const service_request_ptr &request);
    // A request that another instance sent to us as the owner of the group.
    void admitForwarded(const service_request_ptr &request, group_id group);

    void sendEnded(backend::send_finished &&ended);
    void forwardEnded(peer::forward_result &&ended);
    void learn(const std::vector<decision::group_summary> &summaries);

    // Counts of answers and refusals, and waiting times by class, as the collectors read them.
    std::string metricsText();

    // Requests that were admitted and not yet answered.
    std::size_t open() const { return m_open.size(); }

private:
    // Who has the request now.
    enum class holder : std::uint8_t {
        Parked,
        Tenure,
        // On a worker of a group that we have given up since.
        FormerTenure,
        Peer,
    };

    struct open_request
    {
        service_request_ptr request;
        time_point admittedAt {};
        group_id group {};
        holder heldBy = holder::Parked;
        bool mayHaveRun = false;
        // Sent to a worker and not ended.
        bool sent = false;
        bool forwarded = false;
        // The caller was told at its deadline; only the worker's slot is still held.
        bool told = false;
        // Until when it may stay parked.
        time_point parkedUntil {};
    };

    using open_table = std::unordered_map<request_id, open_request>;

    void on(const group_owned &note);
    void on(const group_given_up &note);
    void on(const worker_usable &note);
    void on(const worker_unusable &note);
    void on(const worker_is_leaving &note);
    void on(const worker_slots_held &note);
    void on(const service_groups &note);

    group_tenure *tenure(group_id group);
    void admit(open_request &&open);
    void place(open_request &open);
    void place(open_request &open, const decision::route &route);
    void placeHere(open_request &open, group_tenure &owned);
    void schedule(request_id request);
    void tryElsewhere(open_table::iterator found, errc code, time_point retryAt);
    void park(open_request &open);
    void retryParked();
    std::optional<decision::route> chooseRoute(const service_request &request);

    void step(group_tenure &owned, const decision::request_event &event);
    void carryOut(group_tenure &owned, const decision::send_request &action);
    void carryOut(group_tenure &owned, const decision::refuse_request &action);
    void refuseKey(const decision::refuse_key &refused);
    void answer(open_table::iterator found, service_response_ptr answer);
    void refuse(open_table::iterator found, errc code, run_state run, time_point retryAt);

    void refreshSummaries();
    void publish();
    void armTimer(const group_tenure &owned);
    void armTimerAt(time_point next);
    void tellLate(time_point now);
    void expire();

    boost::asio::io_context &m_context;
    support::metrics m_metrics;
    instance_id m_self;
    desk_limits m_limits;
    platform::platform_client *m_platform;
    desk_outlets m_outlets;
    decision::router m_router;
    name_table<kind_id> m_kinds;
    std::set<std::string, std::less<>> m_services;
    std::map<std::string, std::vector<group_id>, std::less<>> m_groupsOf;
    std::map<group_id, std::unique_ptr<group_tenure>> m_tenures;
    open_table m_open;
    std::deque<request_id> m_parked;
    // Requests on workers by their deadlines.
    std::set<std::pair<time_point, request_id>> m_sent;
    // Kept between steps to save its memory.
    std::vector<decision::request_action> m_actions;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_publishTimer;
    std::optional<time_point> m_armedFor;
};

} // namespace plantaingap::runtime

#endif
