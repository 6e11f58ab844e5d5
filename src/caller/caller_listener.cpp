#include "caller/caller_listener.h"

#include "caller/caller_message.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantaingap::caller {

namespace asio = boost::asio;

namespace {

// Retry hint in the response to a refused request.
constexpr std::chrono::milliseconds refusalRetryDelay {500};

} // namespace

template<class Handler>
struct caller_listener::typed_waiter final : waiter
{
    explicit typed_waiter(Handler &&suspended)
        : handler(std::move(suspended))
    { }

    void complete(service_response_ptr response) override
    {
        std::move(handler)(std::move(response));
    }

    Handler handler;
};

caller_listener::caller_listener(asio::io_context &context, caller_limits limits,
                                 std::string namePrefix, admission admit,
                                 std::shared_ptr<asio::ssl::context> tls)
    : m_limits(limits)
    , m_namePrefix(std::move(namePrefix))
    , m_admit(std::move(admit))
    , m_server(
          context, limits.http,
          [this](support::http_request request, const support::http_peer &) {
              return serve(std::move(request));
          },
          std::move(tls))
{ }

std::error_code caller_listener::listen(const asio::ip::tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

asio::awaitable<support::http_response> caller_listener::serve(support::http_request request)
{
    auto parsed = readCallerRequest(std::move(request), clock::now());
    if (parsed.has_error()) {
        const auto code = static_cast<errc>(parsed.error().value());
        co_return writeCallerResponse(refusal(code), {}, clock::now());
    }
    const auto id = request_id {++m_lastId};
    parsed->id = id;
    parsed->name = m_namePrefix + std::to_string(m_lastId);
    const auto admitted = std::make_shared<const service_request>(std::move(*parsed));
    if (m_stopping)
        co_return writeCallerResponse(refusal(errc::Stopping), admitted->name, clock::now());
    if (m_waiters.size() >= m_limits.openRequests || !m_admit(admitted))
        co_return writeCallerResponse(refusal(errc::Overloaded), admitted->name, clock::now());
    const auto response = co_await awaitResponse(id);
    co_return writeCallerResponse(*response, admitted->name, clock::now());
}

asio::awaitable<service_response_ptr> caller_listener::awaitResponse(request_id id)
{
    // The response arrives through a ring buffer that this thread reads, so it cannot be delivered
    // before this coroutine is suspended.
    return asio::async_initiate<const asio::use_awaitable_t<>, void(service_response_ptr)>(
        [this, id](auto handler) {
            using typed = typed_waiter<decltype(handler)>;
            m_waiters.emplace(id, std::make_unique<typed>(std::move(handler)));
        },
        asio::use_awaitable);
}

void caller_listener::deliver(const service_response_ptr &response)
{
    auto node = m_waiters.extract(response->id);
    if (!node.empty())
        node.mapped()->complete(response);
}

service_response caller_listener::refusal(errc code) const
{
    service_response response;
    response.code = code;
    response.run = run_state::NotRun;
    response.retryAt = clock::now() + refusalRetryDelay;
    return response;
}

} // namespace plantaingap::caller
