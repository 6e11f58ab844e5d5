#include "support/http_client.h"
#include "support/http_server.h"
#include "support/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <unordered_map>

// A stand-in for a worker with a backend server: answers requests with what they sent, and counts
// what it ran. It can be told to misbehave. GET /statistics tells the counts.
namespace {

using namespace plantaingap;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace options = boost::program_options;

// Which of the requests go wrong, and how: every so many; 0 for none.
struct misbehaviour
{
    unsigned truncateEvery = 0;
    unsigned crossEvery = 0;
    unsigned failEvery = 0;
};

class stand_in
{
public:
    stand_in(asio::io_context &context, unsigned slots, std::chrono::microseconds work,
             misbehaviour faults)
        : m_context(context)
        , m_slots(slots)
        , m_work(work)
        , m_faults(faults)
    { }

    asio::awaitable<support::http_response> handle(support::http_request request)
    {
        if (request.target() == "/statistics")
            co_return support::jsonResponse(http::status::ok, statistics());
        const std::string id(request["Plantaingap-Request-Id"]);
        if (m_busy >= m_slots) {
            ++m_overSlots;
            co_return refusal(id);
        }
        ++m_busy;
        m_mostBusy = std::max(m_mostBusy, m_busy);
        ++m_served;
        if (request["Plantaingap-Run-Once"] == "true" || !id.empty())
            m_repeated += ++m_runs[id] > 1 ? 1 : 0;
        co_await work();
        --m_busy;
        co_return answer(id, std::move(request.body()));
    }

private:
    asio::awaitable<void> work()
    {
        if (m_work.count() == 0)
            co_return;
        asio::steady_timer timer(m_context, m_work);
        co_await timer.async_wait(asio::use_awaitable);
    }

    bool due(unsigned every) const { return every != 0 && m_served % every == 0; }

    support::http_response answer(const std::string &id, std::string body) const
    {
        const auto status =
            due(m_faults.failEvery) ? http::status::internal_server_error : http::status::ok;
        auto response = support::makeResponse(status, "text/plain", std::move(body));
        response.set("Plantaingap-Request-Id", due(m_faults.crossEvery) ? id + "-other" : id);
        if (due(m_faults.truncateEvery)) {
            // Announces more than it sends, then closes.
            response.content_length(response.body().size() + 1);
            response.keep_alive(false);
        }
        return response;
    }

    static support::http_response refusal(const std::string &id)
    {
        auto response =
            support::makeResponse(http::status::service_unavailable, "text/plain", "no slot\n");
        response.set("Plantaingap-Request-Id", id);
        response.set("Plantaingap-Run", "no");
        return response;
    }

    std::string statistics() const
    {
        boost::json::object counts;
        counts["served"] = m_served;
        counts["most_busy"] = m_mostBusy;
        counts["over_slots"] = m_overSlots;
        counts["repeated"] = m_repeated;
        return boost::json::serialize(counts);
    }

    asio::io_context &m_context;
    unsigned m_slots;
    std::chrono::microseconds m_work;
    misbehaviour m_faults;
    unsigned m_busy = 0;
    unsigned m_mostBusy = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_overSlots = 0;
    std::uint64_t m_repeated = 0;
    std::unordered_map<std::string, unsigned> m_runs;
};

} // namespace

int main(int argc, char **argv)
{
    std::string address;
    unsigned slots = 0;
    unsigned workUs = 0;
    misbehaviour faults;
    options::options_description known("A stand-in for a worker");
    known.add_options()("help", "show this")("listen",
                                             options::value(&address)->default_value("127.0.0.1:0"),
                                             "IP number and port; port 0 takes a free one")(
        "slots", options::value(&slots)->default_value(8), "requests that it runs at once")(
        "work-us", options::value(&workUs)->default_value(0), "time that a request takes")(
        "truncate-every", options::value(&faults.truncateEvery)->default_value(0),
        "cut the answer short of every so many requests")(
        "cross-every", options::value(&faults.crossEvery)->default_value(0),
        "name another request in the answer to every so many")(
        "fail-every", options::value(&faults.failEvery)->default_value(0),
        "answer every so many with 500");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, known), given);
    options::notify(given);
    if (given.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    support::startLogging(support::log_level::Info);
    asio::io_context context(1);
    stand_in worker(context, slots, std::chrono::microseconds(workUs), faults);
    support::http_server server(context, {},
                                [&](support::http_request request, const support::http_peer &) {
                                    return worker.handle(std::move(request));
                                });
    const auto endpoint = support::parseEndpoint(address);
    if (endpoint.has_error() || server.listen(*endpoint)) {
        std::cerr << "cannot listen on " << address << "\n";
        return 1;
    }
    std::cout << "ready workers=" << support::formatEndpoint({endpoint->address(), server.port()})
              << std::endl;
    context.run();
    return 0;
}
