// Control duties of two instances with a platform stand-in and worker stand-ins over loopback, all
// in one process, each with its thread.

#include "../../tools/platform_stand_in.h"
#include "../../tools/task_stand_in.h"
#include "runtime/control_duty.h"
#include "support/stable_id.h"

#include <boost/asio/post.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <thread>

using namespace plantaingap;
using namespace plantaingap::runtime;
using boost::asio::ip::tcp;

namespace {

// Long enough for any machine; a test that waits this long has failed.
constexpr std::chrono::seconds patience {30};

tcp::endpoint loopback(std::uint16_t port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

// A worker that runs tasks, on the thread of its context.
struct test_worker
{
    test_worker(boost::asio::io_context &context, const std::string &name)
        : tasks(support::stableId<worker_id>(name), 1)
        , startedAt(clock::now() - std::chrono::hours(1))
        , server(context, {},
                 [this](http_request request, http_peer) -> boost::asio::awaitable<http_response> {
                     co_return tasks.handle(request, clock::now() - startedAt, 0);
                 })
    {
        REQUIRE(!server.listen(loopback(0)));
        listed.name = name;
        listed.address = "127.0.0.1:" + std::to_string(server.port());
        listed.location = {"north", "north-a", "rack-1"};
        listed.slots = 8;
        listed.connections = 64;
        listed.capacity = {4000, 4096, 0};
    }

    task_stand_in tasks;
    time_point startedAt;
    support::http_server server;
    named_worker listed;
};

// The platform and two workers on one thread.
struct surroundings
{
    surroundings()
        : platform(duty.context())
        , server(duty.context(), {},
                 [this](http_request request, http_peer) { return platform.handle(request); })
        , first(duty.context(), "worker-1")
        , second(duty.context(), "worker-2")
    {
        REQUIRE(!server.listen(loopback(0)));
        platform_list list;
        list.revision = 1;
        list.instances = {{"entry-1", false}, {"entry-2", false}};
        list.workers = {first.listed, second.listed};
        platform.setList(list);
        duty.start();
    }

    ~surroundings() { duty.stop(); }

    // Runs a question on the stand-ins' thread.
    template<class Question>
    auto ask(Question question)
    {
        std::packaged_task<decltype(question())()> task(question);
        auto answer = task.get_future();
        boost::asio::post(duty.context(), [&task] { task(); });
        return answer.get();
    }

    support::duty duty {"stand-ins"};
    platform_stand_in platform;
    support::http_server server;
    test_worker first;
    test_worker second;
};

// One instance's control duty, with a short memory of what it told.
struct test_instance
{
    test_instance(surroundings &around, const std::string &name, std::uint64_t incarnation)
        : control(
            {name, "north", loopback(around.server.port()), nullptr, incarnation, {}, {}},
            [this](const control_note &note) { told(note); },
            [this](const control_heartbeat &beat) { sent(beat); })
    { }

    void told(const control_note &note)
    {
        const std::lock_guard lock(mutex);
        if (std::holds_alternative<group_owned>(note))
            owned = true;
        if (std::holds_alternative<group_given_up>(note))
            owned = false;
        if (std::holds_alternative<worker_usable>(note))
            ++usable;
        changed.notify_all();
    }

    void sent(const control_heartbeat &beat)
    {
        if (auto *to = other.load())
            to->control.heartbeatArrived(beat);
    }

    template<class Condition>
    bool wait(Condition condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, patience, condition);
    }

    errc submit(const job_spec &spec)
    {
        std::promise<errc> outcome;
        control.order(submit_order {spec, clock::now() + patience,
                                    [&](errc code) { outcome.set_value(code); }});
        return outcome.get_future().get();
    }

    std::mutex mutex;
    std::condition_variable changed;
    bool owned = false;
    int usable = 0;
    std::atomic<test_instance *> other = nullptr;
    control_duty control;
};

job_spec batch(const std::string &name, std::uint32_t tasks)
{
    job_spec spec;
    spec.name = name;
    spec.team = "tests";
    spec.tasks = tasks;
    spec.each = {1000, 512, 0};
    spec.runTime = std::chrono::milliseconds(20);
    return spec;
}

// Polls a status until the condition holds; false after too long.
template<class Condition>
bool eventually(Condition condition)
{
    const auto deadline = clock::now() + patience;
    while (clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::yield();
    }
    return false;
}

bool succeeded(test_instance &instance, const std::string &job)
{
    std::promise<operators::cell_status> status;
    instance.control.order(
        status_order {[&](operators::cell_status told) { status.set_value(std::move(told)); }});
    const auto told = status.get_future().get();
    for (const auto &entry : told.jobs) {
        if (entry.job == job)
            return entry.state == "finished";
    }
    return false;
}

} // namespace

TEST_CASE("a job is accepted, run to its end and recorded once")
{
    surroundings around;
    test_instance one(around, "entry-1", 1);
    one.control.start();
    REQUIRE(one.wait([&] { return one.owned && one.usable == 2; }));
    REQUIRE(eventually([&] { return one.submit(batch("sums", 12)) == errc::Ok; }));
    CHECK(one.submit(batch("sums", 12)) == errc::Ok);
    CHECK(one.submit(batch("sums", 13)) == errc::VersionConflict);
    CHECK(eventually([&] { return succeeded(one, "sums"); }));
    CHECK(around.ask([&] { return around.first.tasks.starts() + around.second.tasks.starts(); })
          == 12);
    one.control.stop();
}

TEST_CASE("a planned stop hands the group and its jobs to the other instance")
{
    surroundings around;
    test_instance one(around, "entry-1", 1);
    test_instance two(around, "entry-2", 1);
    one.other = &two;
    two.other = &one;
    one.control.start();
    two.control.start();
    REQUIRE(eventually([&] {
        return one.submit(batch("first", 4)) == errc::Ok
               || two.submit(batch("first", 4)) == errc::Ok;
    }));
    auto &owner = one.wait([&] { return true; }) && one.owned ? one : two;
    auto &heir = &owner == &one ? two : one;
    auto endless = batch("endless", 2);
    endless.runTime = duration::zero();
    REQUIRE(eventually([&] { return owner.submit(endless) == errc::Ok; }));
    REQUIRE(eventually([&] {
        return around.ask([&] {
            return around.first.tasks.running().size() + around.second.tasks.running().size();
        }) == 2;
    }));
    std::promise<void> done;
    owner.control.handOver(clock::now() + patience, [&] { done.set_value(); });
    done.get_future().get();
    REQUIRE(heir.wait([&] { return heir.owned; }));
    REQUIRE(eventually([&] { return heir.submit(batch("second", 4)) == errc::Ok; }));
    CHECK(eventually([&] { return succeeded(heir, "second"); }));
    // The endless tasks went on where they were: nothing was started again.
    CHECK(around.ask([&] { return around.first.tasks.starts() + around.second.tasks.starts(); })
          == 10);
    one.control.stop();
    two.control.stop();
}
