#ifndef PLANTAINGAP_RUNTIME_GROUP_SHELL_H
#define PLANTAINGAP_RUNTIME_GROUP_SHELL_H

#include "platform/platform_client.h"
#include "runtime/control_note.h"
#include "runtime/group_control.h"
#include "runtime/job_desk.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace plantaingap::runtime {

// What a group's shell shares with the others of its instance.
struct control_services
{
    boost::asio::io_context &context;
    platform::platform_client &platform;
    std::function<void(control_note)> tell;
    // How long one call to the platform or to a worker may take.
    duration callTime = std::chrono::seconds(2);
};

// Carries out the actions of one group's machines and hands in what comes back. It runs on the
// control duty's thread; it must live until the duty's loop has ended.
class group_shell
{
public:
    group_shell(control_services &services, std::string name, const instance_ref &self,
                const group_limits &limits);

    static std::string rowKey(std::string_view name) { return "group/" + std::string(name); }
    const std::string &name() const { return m_name; }
    const group_control &control() const { return m_control; }
    const job_desk &desk() const { return m_desk; }

    // The group's workers as the platform lists them.
    void setWorkers(std::vector<named_worker> workers);
    void step(const ownership_event &event);
    void workerLeaving(worker_id worker);
    void setQuotas(const std::vector<decision::quota_changed> &quotas);
    void formerStopped(const instance_ref &former);
    void tick();

    // True when the machine asked for a read of the row since the last call.
    bool takeReadWanted();

    boost::asio::awaitable<errc> submit(job_spec spec, time_point deadline);
    boost::asio::awaitable<errc> cancel(std::string name, time_point deadline);

    struct worker_view
    {
        named_worker listed;
        std::uint32_t busySlots = 0;
    };
    std::vector<worker_view> workers() const;

private:
    struct worker_link
    {
        named_worker listed;
        std::unique_ptr<support::http_client> client;
        std::uint32_t busySlots = 0;
        std::vector<task_id> acknowledged;
    };

    void carryOut(const std::vector<control_action> &actions);
    void on(const read_row &action);
    void on(const write_row &action);
    void on(const group_gained &action);
    void on(const group_lost &action);
    void on(const load_jobs &action);
    void on(const worker_order &action);
    void on(const worker_ready &action);
    void on(const worker_unready &action);
    void on(const task_finished &action);
    void on(const decision::checkpoint_task &action);
    void on(const decision::throttle_task &action);
    void on(const decision::reject_job &action);
    void on(const decision::finish_job &action);
    void on(const decision::quarantine_worker &action);
    void on(const decision::release_worker &action);

    boost::asio::awaitable<void> writeGroupRow(group_row row);
    boost::asio::awaitable<void> loadJobs(epoch authority);
    boost::asio::awaitable<void> sendOrder(worker_id worker, backend::order_message message);
    boost::asio::awaitable<void> flushJobs();
    void spawn(boost::asio::awaitable<void> work);

    control_services &m_services;
    std::string m_name;
    group_control m_control;
    job_desk m_desk;
    std::map<worker_id, worker_link> m_workers;
    bool m_readWanted = false;
    bool m_loading = false;
    bool m_flushing = false;
};

} // namespace plantaingap::runtime

#endif
