#include "adapter/http_worker.h"
#include "platform/gateways.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::http_worker;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::int64_t incarnation = 1'700'000'000'000;
constexpr std::int64_t clockMs = 7'000'000;
constexpr std::int64_t leaseEndMs = 7'005'000;
constexpr std::chrono::seconds testTimeout {30};
constexpr milliseconds roundTrip {20};
constexpr milliseconds renewalHold {700};
constexpr milliseconds unsentTime {1000};
// Of the users' platform: the connections that a worker accepts from all instances together.
constexpr std::size_t workerLimit = 64;
// An instance that vanishes leaves its connections at the worker; so many are to be borne.
constexpr std::size_t vanishedInstances = 20;
// What an instance keeps open at most while no order is on its way.
constexpr std::size_t mostKept = 8;
constexpr std::size_t processLimit = 1000;

// Leaders with a gateway each, and one worker.
class limited_worker_world
{
public:
    explicit limited_worker_world(std::size_t limit)
    {
        m_worker.limitConnections(limit);
        m_worker.replyAfter(roundTrip);
        takeOver();
    }

    // The leader, if there is one, vanishes: the connections that it has open stay open at the
    // worker.
    void takeOver()
    {
        const auto left = m_worker.openConnections();
        m_gateway.reset();
        awaitOpenConnections(m_sockets.size());
        occupy(left);
        m_gateway = std::make_unique<adapter::orders_gateway>(m_context, processLimit);
        m_gateway->setConnectionLimit("w0", workerLimit, static_cast<double>(m_term));
        ++m_term;
    }

    // Sends so many orders at once, which may wait for so long to be sent, and waits for all
    // replies.
    std::map<order_status, int> send(int starts, int stops, duration sendTime = testTimeout)
    {
        m_replies.clear();
        m_sendBy = clock::now() + sendTime;
        for (int i = 0; i < starts; ++i)
            asio::co_spawn(m_context, start(), asio::detached);
        for (int i = 0; i < stops; ++i)
            asio::co_spawn(m_context, stop(), asio::detached);
        runUntil([&] { return static_cast<int>(m_replies.size()) == starts + stops; });
        std::map<order_status, int> counts;
        for (const auto status : m_replies)
            ++counts[status];
        return counts;
    }

    std::optional<call_failure> renew()
    {
        bool done = false;
        std::optional<call_failure> failure;
        asio::co_spawn(m_context, renewOnce(milliseconds(0), done, failure), asio::detached);
        runUntil([&] { return done; });
        return failure;
    }

    // As send(), while the worker holds a renewal.
    std::map<order_status, int> sendBesideRenewal(int starts, int stops)
    {
        bool done = false;
        std::optional<call_failure> failure;
        asio::co_spawn(m_context, renewOnce(renewalHold, done, failure), asio::detached);
        auto counts = send(starts, stops);
        runUntil([&] { return done; });
        CHECK_FALSE(failure);
        return counts;
    }

    // Waits until this leader has no more connections open than it keeps.
    void awaitKept() { awaitOpenConnections(m_sockets.size() + mostKept); }

    // Has so many connections open that are never used.
    void occupy(std::size_t connections)
    {
        while (m_sockets.size() < connections) {
            const auto before = m_worker.openConnections();
            auto &socket = m_sockets.emplace_back(m_context);
            socket.connect(*support::parseEndpoint(m_worker.address()));
            runUntil([&] { return m_worker.openConnections() > before; });
        }
    }

    void releaseOccupied()
    {
        const auto left = m_worker.openConnections() - m_sockets.size();
        m_sockets.clear();
        awaitOpenConnections(left);
    }

    const http_worker &worker() const { return m_worker; }

private:
    template<class Condition>
    void runUntil(Condition condition)
    {
        const auto until = clock::now() + testTimeout;
        while (!condition() && clock::now() < until)
            m_context.run_one_for(milliseconds(10));
        REQUIRE(condition());
    }

    void awaitOpenConnections(std::size_t atMost)
    {
        runUntil([&] { return m_worker.openConnections() <= atMost; });
    }

    jobs::worker_address address() const { return {"w0", m_worker.address()}; }

    awaitable<void> start()
    {
        jobs::start_order order;
        order.worker = address();
        order.task = "00000000000000f1.0.0." + std::to_string(++m_orders);
        order.attempt = 1;
        order.incarnationMs = incarnation;
        order.leaseEndMs = leaseEndMs;
        order.term = m_term;
        const auto reply = co_await m_gateway->start(order, m_sendBy);
        m_replies.push_back(reply.status);
    }

    awaitable<void> stop()
    {
        jobs::stop_order order;
        order.worker = address();
        order.task = "00000000000000f2.0.0." + std::to_string(++m_orders);
        order.attempt = 1;
        order.term = m_term;
        const auto reply = co_await m_gateway->stop(order, m_sendBy);
        m_replies.push_back(reply.status);
    }

    awaitable<void> renewOnce(milliseconds hold, bool &done, std::optional<call_failure> &failure)
    {
        jobs::lease_renewal renewal;
        renewal.worker = address();
        renewal.term = m_term;
        renewal.incarnationMs = incarnation;
        renewal.leaseEndMs = leaseEndMs;
        renewal.wait = hold;
        const auto result =
            co_await m_gateway->renewLease(renewal, clock::now() + hold + milliseconds(700));
        if (const auto *failed = std::get_if<call_failure>(&result))
            failure = *failed;
        done = true;
    }

    asio::io_context m_context {1};
    http_worker m_worker {m_context, incarnation, clockMs};
    std::unique_ptr<adapter::orders_gateway> m_gateway;
    std::vector<tcp::socket> m_sockets;
    std::vector<order_status> m_replies;
    time_point m_sendBy {};
    std::uint64_t m_term = 0;
    int m_orders = 0;
};

struct vanishing_row
{
    const char *name;
    // Orders that are sent at once, and orders one after another until the leader vanishes.
    int burst;
    int single;
};

constexpr vanishing_row vanishing[] = {
    {"after renewals only", 0, 0},
    {"while single starts and stops are sent", 0, 4},
    {"after a burst of starts and stops", 8, 2},
};

} // namespace

// Guards against leaders that use up the connections of the workers as they vanish one after
// another (review/11).
TEST_CASE("Twenty leaders that vanish leave the next one connections to each worker")
{
    for (const auto &row : vanishing) {
        CAPTURE(std::string(row.name));
        limited_worker_world world(workerLimit);
        for (std::size_t i = 0; i < vanishedInstances; ++i) {
            CHECK_FALSE(world.renew());
            if (row.burst > 0) {
                CHECK(world.send(row.burst, row.burst)[order_status::Accepted] == 2 * row.burst);
                world.awaitKept();
            }
            for (int order = 0; order < row.single; ++order)
                CHECK(world.send(order % 2, 1 - order % 2)[order_status::Accepted] == 1);
            CHECK_FALSE(world.renew());
            world.takeOver();
        }
        CHECK_FALSE(world.renew());
        CHECK(world.send(1, 1)[order_status::Accepted] == 2);
        CHECK(world.worker().refusedConnections() == 0);
    }
}

// Guards against one leader that takes all connections of a worker when many orders come at once.
TEST_CASE("Many orders at once use at most half of a worker's connections, and all are carried out")
{
    limited_worker_world world(workerLimit);
    CHECK_FALSE(world.renew());
    CHECK(world.send(30, 300)[order_status::Accepted] == 330);
    CHECK(world.worker().mostConnections() <= workerLimit / 2);
    CHECK(world.worker().refusedConnections() == 0);
    world.awaitKept();
}

// Guards against orders that fail although the renewals' connection to a full worker is open.
TEST_CASE("Renewals and orders share the last connection of a worker")
{
    limited_worker_world world(workerLimit);
    world.occupy(workerLimit - 1);
    CHECK_FALSE(world.renew());
    for (int i = 0; i < 4; ++i)
        CHECK(world.sendBesideRenewal(2, 2)[order_status::Accepted] == 4);
}

// Guards against a full worker that is taken for a crashed or failing one, and against orders to it
// that are not sent once it has room again.
TEST_CASE("Orders to a full worker are not sent, and are as soon as it has room")
{
    limited_worker_world world(workerLimit);
    world.occupy(workerLimit);
    CHECK(world.renew() == call_failure::Refused);
    CHECK(world.send(4, 4, unsentTime)[order_status::NotSent] == 8);
    CHECK(world.worker().refusedConnections() <= 16);
    world.releaseOccupied();
    CHECK_FALSE(world.renew());
    CHECK(world.send(4, 4)[order_status::Accepted] == 8);
}
