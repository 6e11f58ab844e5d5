#ifndef PLANTAINGAP_RUNTIME_CONTROL_DUTY_H
#define PLANTAINGAP_RUNTIME_CONTROL_DUTY_H

#include "operator/administration.h"
#include "peer/membership.h"
#include "runtime/declared_cell.h"
#include "runtime/group_shell.h"
#include "support/duty.h"
#include "support/mailbox.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace plantaingap::runtime {

struct control_settings
{
    std::string instance;
    std::string region;
    boost::asio::ip::tcp::endpoint platform;
    std::shared_ptr<boost::asio::ssl::context> platformTls;
    // Grows with each start of the instance, for example the wall time of the start.
    std::uint64_t incarnation = 0;
    membership_limits membership;
    group_limits group;
    duration tickEvery = std::chrono::milliseconds(100);
    duration listEvery = std::chrono::seconds(1);
};

// What an operator's or submitter's order comes back with.
using job_reply = std::function<void(errc)>;

struct submit_order
{
    job_spec spec;
    time_point deadline {};
    job_reply reply;
};

struct cancel_order
{
    std::string name;
    time_point deadline {};
    job_reply reply;
};

// Asks for what this instance knows of the cell.
struct status_order
{
    std::function<void(operators::cell_status)> reply;
};

// Ask why a job does not run: the reason's name, or nothing for a job that is not ours.
struct why_order
{
    std::string name;
    std::function<void(std::optional<std::string>)> reply;
};

// The configuration that came in force: teams' quotas and the declared jobs.
struct declared_order
{
    std::uint64_t version = 0;
    std::string digest;
    std::shared_ptr<const configuration> declared;
};

using control_order =
    std::variant<submit_order, cancel_order, status_order, why_order, declared_order>;

// The duty that owns groups of workers: membership, ownership, leases and jobs, on one thread with
// its own connections to the platform and to the workers' order interface. The other duties hand in
// heartbeats and orders through bounded rings and are told of changes by the two functions, which
// run on this duty's thread and must not block.
class control_duty
{
public:
    using note_sink = std::function<void(control_note)>;
    using heartbeat_sink = std::function<void(control_heartbeat)>;

    control_duty(control_settings settings, note_sink tell, heartbeat_sink beat);
    ~control_duty();

    void start();

    // Hands all groups over and calls done when none is owned any more, or at the deadline.
    void handOver(time_point deadline, std::function<void()> done);
    void stop();

    // Rings of 1,024: a heartbeat that finds its ring full is dropped, the next one comes in
    // 300 ms; an order that finds it full is false and is refused as Overloaded by the caller.
    bool heartbeatArrived(control_heartbeat heartbeat)
    {
        return m_heartbeats.push(std::move(heartbeat));
    }
    // A reply to a heartbeat of ours, with the time at which that one left.
    bool replyArrived(instance_id peer, std::optional<control_heartbeat> reply, time_point askedAt);
    bool order(control_order order) { return m_orders.push(std::move(order)); }

private:
    struct peer_reply
    {
        instance_id peer {};
        std::optional<control_heartbeat> heartbeat;
        time_point askedAt {};
    };

    void on(control_heartbeat &&heartbeat);
    void on(peer_reply &&reply);
    void on(submit_order &order);
    void on(cancel_order &order);
    void on(status_order &order);
    void on(why_order &order);
    void on(declared_order &order);
    void feed(const membership_event &event);
    void noteEpochs(const control_heartbeat &heartbeat);
    void noteIdle(const control_heartbeat &heartbeat, time_point askedAt);
    void updateGroups(const platform_list &list);
    void tellServiceGroups(const platform_list &list);
    void updateCandidates();
    void tick();
    void beat();
    control_heartbeat ownHeartbeat();
    operators::cell_status status() const;
    void addWorkers(const group_shell &group, operators::cell_status &status) const;
    void addJobs(const group_shell &group, operators::cell_status &status) const;
    void addTeams(operators::cell_status &status) const;
    void applyQuotas();
    void reconcileJobs();
    group_shell *groupFor(const job_spec &spec);
    group_shell *groupWith(std::string_view job);

    boost::asio::awaitable<void> runTicks();
    boost::asio::awaitable<void> runListReads();
    boost::asio::awaitable<void> readRows();
    boost::asio::awaitable<void> submit(submit_order order);
    boost::asio::awaitable<void> submitDeclared(group_shell &group, job_spec spec);
    boost::asio::awaitable<void> cancelDeclared(group_shell &group, std::string name);
    boost::asio::awaitable<void> readCancellations();
    boost::asio::awaitable<void> cancel(cancel_order order);
    boost::asio::awaitable<void> waitHandedOver(time_point deadline, std::function<void()> done);
    boost::asio::awaitable<void> pause(duration span);

    control_settings m_settings;
    instance_ref m_self;
    support::duty m_duty;
    platform::platform_client m_platform;
    control_services m_services;
    heartbeat_sink m_beat;
    peer::membership m_membership;
    std::map<std::string, std::unique_ptr<group_shell>, std::less<>> m_groups;
    std::map<worker_id, std::string> m_workerNames;
    std::vector<instance_ref> m_candidates;
    std::set<instance_id> m_listed;
    std::map<instance_id, std::string> m_instanceNames;
    std::map<instance_id, std::uint64_t> m_versions;
    std::uint64_t m_version = 0;
    std::string m_digest;
    service_groups m_serviceGroups;
    // Whole capacities, of all regions.
    std::map<std::string, resources> m_capacities;
    std::shared_ptr<const configuration> m_declared;
    // Declared jobs whose submission or cancellation is under way.
    std::set<std::string, std::less<>> m_reconciling;
    time_point m_reconcileAt {};
    time_point m_nextBeat {};
    std::uint64_t m_sequence = 0;
    bool m_stopping = false;
    bool m_reading = false;
    support::mailbox<control_heartbeat> m_heartbeats;
    support::mailbox<peer_reply> m_replies;
    support::mailbox<control_order> m_orders;
};

} // namespace plantaingap::runtime

#endif
