#ifndef PLANTAINGAP_RUNTIME_CELL_ADMINISTRATION_H
#define PLANTAINGAP_RUNTIME_CELL_ADMINISTRATION_H

#include "operator/administration.h"
#include "platform/platform_client.h"
#include "runtime/config_keeper.h"
#include "runtime/control_duty.h"
#include "runtime/reply_slot.h"

#include <functional>

namespace plantaingap::runtime {

// The administration over the platform's table, the configuration's keeper and the control duty. It
// runs on the administration duty's thread. What concerns a job of a group that another instance
// owns is answered from the table, so that any instance can be asked.
class cell_administration final : public operators::administration
{
public:
    // Hands an order to the control duty; false when its ring is full.
    using control_sink = std::function<bool(control_order)>;

    cell_administration(boost::asio::io_context &context, platform::platform_client &platform,
                        config_keeper &keeper, std::string instance, control_sink control);

    answer<operators::configuration_version>
    configurationAt(std::optional<std::uint64_t> version) override;
    answer<operators::apply_outcome> apply(operators::apply_order order) override;
    answer<operators::cell_status> status() override;
    answer<operators::job_explanation> why(std::string job) override;
    answer<operators::job_status> job(std::string name) override;
    answer<operators::job_status> submit(job_declaration job,
                                         operators::audit_entry audit) override;
    answer<operators::job_status> cancel(std::string job, operators::audit_entry audit) override;
    answer<std::vector<operators::audit_entry>> audit(operators::audit_query query) override;
    boost::asio::awaitable<std::error_code> record(operators::audit_entry entry) override;
    wall_time now() const override;

private:
    template<class Reply>
    boost::asio::awaitable<Reply> ask(std::shared_ptr<reply_slot<Reply>> slot, control_order order,
                                      Reply full);
    answer<job_row> readJob(std::string name);
    boost::asio::awaitable<errc> leaveCancellation(std::string job);
    std::string newAuditKey(wall_time when);

    boost::asio::io_context &m_context;
    platform::platform_client &m_platform;
    config_keeper &m_keeper;
    std::string m_instance;
    control_sink m_control;
    std::uint64_t m_entries = 0;
};

} // namespace plantaingap::runtime

#endif
