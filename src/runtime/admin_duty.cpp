#include "runtime/admin_duty.h"

#include "support/stable_id.h"

namespace plantaingap::runtime {

namespace http = boost::beast::http;

admin_duty::admin_duty(admin_settings settings, operators::authenticator known,
                       cell_administration::control_sink control, in_force tell,
                       metrics_text metrics)
    : m_settings(std::move(settings))
    , m_duty("admin")
    , m_platform(m_duty.context(), m_settings.platform, m_settings.platformTls)
    , m_keeper(m_duty.context(), m_platform,
               {support::stableId<instance_id>(m_settings.instance), m_settings.incarnation},
               std::move(tell))
    , m_administration(m_duty.context(), m_platform, m_keeper, m_settings.instance,
                       std::move(control))
    , m_api(m_administration, std::move(known))
    , m_metrics(std::move(metrics))
    , m_server(
          m_duty.context(), {},
          [this](support::http_request request, const support::http_peer &) {
              return handle(std::move(request));
          },
          m_settings.tls)
{ }

admin_duty::~admin_duty()
{
    stop();
}

std::error_code admin_duty::listen()
{
    return m_server.listen(m_settings.listen);
}

void admin_duty::start()
{
    m_keeper.start();
    m_duty.start();
}

void admin_duty::stop()
{
    m_duty.stop();
}

boost::asio::awaitable<support::http_response> admin_duty::handle(support::http_request request)
{
    const std::string path(support::targetPath(request.target()));
    if (path == "/metrics")
        co_return support::makeResponse(http::status::ok, "text/plain; version=0.0.4", m_metrics());
    co_return co_await m_api.handle(std::move(request));
}

} // namespace plantaingap::runtime
