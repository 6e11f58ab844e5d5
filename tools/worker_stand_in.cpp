#include "support/http_client.h"
#include "support/http_server.h"
#include "support/log.h"
#include "support/stable_id.h"
#include "task_stand_in.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>
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
    stand_in(asio::io_context &context, const std::string &name, unsigned slots,
             std::chrono::microseconds work, misbehaviour faults)
        : m_context(context)
        , m_slots(slots)
        , m_work(work)
        , m_faults(faults)
        , m_tasks(support::stableId<worker_id>(name), bootNumber())
    { }

    asio::awaitable<support::http_response> handle(support::http_request request)
    {
        if (request.target() == "/statistics")
            co_return support::jsonResponse(http::status::ok, statistics());
        if (request.target() == "/orders")
            co_return m_tasks.handle(request, uptime(), heldBelow());
        const std::string id(request["Plantaingap-Request-Id"]);
        const auto under = epochOf(request);
        if (under < m_tasks.highest())
            co_return refusal(id);
        if (m_busy >= m_slots) {
            ++m_overSlots;
            co_return refusal(id);
        }
        ++m_busy;
        m_mostBusy = std::max(m_mostBusy, m_busy);
        ++m_served;
        ++m_runs[request.body()];
        ++m_heldUnder[under];
        co_await work();
        --m_heldUnder[under];
        --m_busy;
        co_return answer(id, std::move(request.body()));
    }

private:
    static std::uint64_t bootNumber()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(now / std::chrono::milliseconds(1));
    }

    duration uptime() const { return clock::now() - m_startedAt; }

    // Callers that come directly send no epoch and are served all the same.
    epoch epochOf(const support::http_request &request) const
    {
        epoch under;
        const std::string text(request["Plantaingap-Epoch"]);
        if (text.empty())
            return m_tasks.highest();
        std::istringstream fields(text);
        char dot = 0;
        fields >> under.generation >> dot >> under.rank;
        return under;
    }

    // Slots that requests of former owners hold.
    std::uint32_t heldBelow() const
    {
        std::uint32_t held = 0;
        for (const auto &[under, count] : m_heldUnder)
            held += under < m_tasks.highest() ? count : 0;
        return held;
    }

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

    support::http_response refusal(const std::string &id) const
    {
        auto response =
            support::makeResponse(http::status::service_unavailable, "text/plain", "not run\n");
        response.set("Plantaingap-Request-Id", id);
        response.set("Plantaingap-Run", "no");
        const auto &highest = m_tasks.highest();
        response.set("Plantaingap-Highest-Epoch",
                     std::to_string(highest.generation) + "." + std::to_string(highest.rank));
        return response;
    }

    std::string statistics() const
    {
        boost::json::object counts;
        counts["served"] = m_served;
        counts["most_busy"] = m_mostBusy;
        counts["over_slots"] = m_overSlots;
        counts["starts"] = m_tasks.starts();
        std::uint64_t repeated = 0;
        for (const auto &[body, runs] : m_runs)
            repeated += runs > 1 ? 1 : 0;
        counts["repeated"] = repeated;
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
    // By body: callers of tests give each request a body of its own.
    std::unordered_map<std::string, unsigned> m_runs;
    std::map<epoch, std::uint32_t> m_heldUnder;
    time_point m_startedAt = clock::now();
    task_stand_in m_tasks;
};

} // namespace

int main(int argc, char **argv)
{
    std::string address;
    std::string name;
    unsigned slots = 0;
    unsigned workUs = 0;
    misbehaviour faults;
    options::options_description known("A stand-in for a worker");
    known.add_options()("help", "show this")("listen",
                                             options::value(&address)->default_value("127.0.0.1:0"),
                                             "IP number and port; port 0 takes a free one")(
        "name", options::value(&name)->default_value("worker"), "as the platform lists it")(
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
    stand_in worker(context, name, slots, std::chrono::microseconds(workUs), faults);
    support::http_server server(context, {},
                                [&](support::http_request request, const support::http_peer &) {
                                    return worker.handle(std::move(request));
                                });
    const auto endpoint = support::parseEndpoint(address);
    if (endpoint.has_error() || server.listen(*endpoint)) {
        std::cerr << "cannot listen on " << address << "\n";
        return 1;
    }
    std::cout << "event=ready workers="
              << support::formatEndpoint({endpoint->address(), server.port()}) << std::endl;
    context.run();
    return 0;
}
