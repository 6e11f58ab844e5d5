#include "caller/caller_listener.h"

#include "caller/caller_message.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantaingap::caller {

namespace asio = boost::asio;

namespace {

// The hint for a caller that met no room.
constexpr std::chrono::milliseconds retryAfterRefusal {500};

} // namespace

template<class Handler>
struct caller_listener::typed_waiter final : waiter
{
    explicit typed_waiter(Handler &&suspended)
        : handler(std::move(suspended))
    { }

    void complete(service_response_ptr answer) override { std::move(handler)(std::move(answer)); }

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
    auto read = readCallerRequest(std::move(request), clock::now());
    if (read.has_error()) {
        const auto code = static_cast<errc>(read.error().value());
        co_return writeCallerAnswer(refusal(code), {}, clock::now());
    }
    const auto id = request_id {++m_lastId};
    read->id = id;
    read->name = m_namePrefix + std::to_string(m_lastId);
    const auto admitted = std::make_shared<const service_request>(std::move(*read));
    if (m_stopping)
        co_return writeCallerAnswer(refusal(errc::Stopping), admitted->name, clock::now());
    if (m_waiting.size() >= m_limits.openRequests || !m_admit(admitted))
        co_return writeCallerAnswer(refusal(errc::Overloaded), admitted->name, clock::now());
    const auto answer = co_await answerTo(id);
    co_return writeCallerAnswer(*answer, admitted->name, clock::now());
}

asio::awaitable<service_response_ptr> caller_listener::answerTo(request_id id)
{
    // The answer comes over a ring that this same thread reads, so not before this has suspended.
    return asio::async_initiate<const asio::use_awaitable_t<>, void(service_response_ptr)>(
        [this, id](auto handler) {
            using typed = typed_waiter<decltype(handler)>;
            m_waiting.emplace(id, std::make_unique<typed>(std::move(handler)));
        },
        asio::use_awaitable);
}

void caller_listener::deliver(const service_response_ptr &answer)
{
    auto node = m_waiting.extract(answer->id);
    if (!node.empty())
        node.mapped()->complete(answer);
}

service_response caller_listener::refusal(errc code) const
{
    service_response answer;
    answer.code = code;
    answer.run = run_state::NotRun;
    answer.retryAt = clock::now() + retryAfterRefusal;
    return answer;
}

} // namespace plantaingap::caller
