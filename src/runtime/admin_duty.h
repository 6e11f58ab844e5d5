#ifndef PLANTAINGAP_RUNTIME_ADMIN_DUTY_H
#define PLANTAINGAP_RUNTIME_ADMIN_DUTY_H

#include "operator/admin_api.h"
#include "runtime/cell_administration.h"
#include "support/duty.h"
#include "support/http_server.h"

#include <functional>

namespace plantaingap::runtime {

struct admin_settings
{
    std::string instance;
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint platform;
    std::uint64_t incarnation = 0;
    std::shared_ptr<boost::asio::ssl::context> tls;
    std::shared_ptr<boost::asio::ssl::context> platformTls;
};

// The duty towards operators: the administration API and the metrics' endpoint on one listener, and
// the configuration in force. It runs on a thread of its own.
class admin_duty
{
public:
    using in_force = std::function<void(std::uint64_t, const operators::configuration_set &)>;
    // The metrics as text; runs on this duty's thread.
    using metrics_text = std::function<std::string()>;

    admin_duty(admin_settings settings, operators::authenticator known,
               cell_administration::control_sink control, in_force tell, metrics_text metrics);
    ~admin_duty();

    std::error_code listen();
    std::uint16_t port() const { return m_server.port(); }
    void start();
    void stop();

private:
    boost::asio::awaitable<support::http_response> handle(support::http_request request);

    admin_settings m_settings;
    support::duty m_duty;
    platform::platform_client m_platform;
    config_keeper m_keeper;
    cell_administration m_administration;
    operators::admin_api m_api;
    metrics_text m_metrics;
    support::http_server m_server;
};

} // namespace plantaingap::runtime

#endif
