#ifndef PLANTAINGAP_RUNTIME_REQUEST_DESK_H
#define PLANTAINGAP_RUNTIME_REQUEST_DESK_H

#include "backend/worker_transport.h"
#include "decision/request_scheduler.h"
#include "decision/router.h"
#include "runtime/name_table.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <plantaingap/service_request.h>

namespace plantaingap::runtime {

// A group of workers as the desk knows it.
struct desk_group
{
    group_id group {};
    std::string name;
    region_id region {};
};

// A worker of a group, which serves one service.
struct desk_worker
{
    worker_id worker {};
    group_id group {};
    std::string service;
    rack_id rack {};
    std::uint32_t slots = 0;
};

// Where the desk's decisions go; each hands its message to another duty.
struct desk_outlets
{
    std::function<void(backend::send_order &&)> sendToWorker;
    std::function<void(service_answer_ptr)> answer;
};

// Drives the request schedulers of the groups that this instance owns: the heart of the scheduling
// duty. Requests, ends of sends and changes of authority come in on the thread of its io_context.
class request_desk
{
public:
    request_desk(boost::asio::io_context &context, instance_id self,
                 const decision::router_limits &limits, desk_outlets outlets);

    void addService(std::string_view name);
    void addGroup(const desk_group &group);
    void addWorker(const desk_worker &worker);
    // The worker finishes what it runs and gets nothing new.
    void markLeaving(worker_id worker);

    // From now on this instance gives the orders of the group, under this epoch.
    void gainGroup(group_id group, const epoch &authority);

    void admit(const service_request_ptr &request);
    void sendEnded(backend::send_ended &&ended);

    // Requests that were admitted and not yet answered.
    std::size_t open() const { return m_open.size(); }

private:
    struct group_state
    {
        group_state(desk_group told, const decision::request_limits &limits)
            : about(std::move(told))
            , scheduler(limits)
        { }

        desk_group about;
        decision::request_scheduler scheduler;
        std::optional<epoch> authority;
        // Services of its workers with their slots.
        std::map<service_id, std::uint32_t> slots;
        // The router's picture of it is older than its last step.
        bool changed = false;
    };

    struct open_request
    {
        service_request_ptr request;
        group_id group {};
    };

    void step(group_state &group, const decision::request_event &event);
    void carryOut(group_state &group);
    void carryOut(group_state &group, const decision::send_request &action);
    void carryOut(group_state &group, const decision::refuse_request &action);
    void refuse(const service_request &request, errc code, run_state run, time_point retryAt);
    void refreshSummaries();
    std::optional<decision::route> chooseRoute(const service_request &request, service_id service);
    void armTimer(const group_state &group);
    void expire();

    boost::asio::io_context &m_context;
    instance_id m_self;
    desk_outlets m_outlets;
    decision::router m_router;
    name_table<service_id> m_services;
    name_table<kind_id> m_kinds;
    std::map<group_id, group_state> m_groups;
    std::map<service_id, std::vector<group_id>> m_groupsOf;
    std::unordered_map<worker_id, desk_worker> m_workers;
    std::unordered_map<request_id, open_request> m_open;
    // Kept between steps to save its memory.
    std::vector<decision::request_action> m_actions;
    boost::asio::steady_timer m_timer;
    std::optional<time_point> m_armedFor;
};

} // namespace plantaingap::runtime

#endif
