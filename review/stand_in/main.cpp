#include "world.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iostream>
#include <sys/resource.h>
#include <unistd.h>

// The scenarios of the cases. Each returns the exit code of its script: 0 the rule held, 1 it was
// broken, 2 the case could not run.
namespace review {
namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

std::string job(const json::array &steps, const json::object &more = {})
{
    json::object body {{"spec", "review"}, {"steps", steps}};
    for (const auto &[key, value] : more)
        body[key] = value;
    return json::serialize(body);
}

std::string stateOf(const answer &got)
{
    for (const auto *state : {"queued", "running", "completed", "failed", "cancelled"}) {
        if (got.body.find(state) != std::string::npos)
            return state;
    }
    return got.status == 0 ? "no answer" : std::to_string(got.status);
}

awaitable<bool> prepare(world &all, int workers, const std::string &folder)
{
    all.addWorkers(workers, {});
    all.table.put("op", "config", configuration(7, {{"plan", "/plan/"}, {"stock", "/stock/"}}));
    all.startInstances(folder);
    const bool ready = co_await all.awaitReady(25'000);
    co_await all.sleep(1500);
    co_return ready;
}

// Waits until a run of the task is at work; null if none is in time.
awaitable<worker *> awaitRun(world &all, std::string task, std::int64_t milliseconds)
{
    const auto until = nowMs() + milliseconds;
    while (nowMs() < until) {
        for (auto &one : all.workers) {
            if (one->up() && one->runs(task))
                co_return one.get();
        }
        co_await all.sleep(20);
    }
    co_return nullptr;
}

// A task that lasts, while its worker and the leader are cut off from the rest together.
awaitable<int> partition(world &all, std::string folder)
{
    const std::string id = "00000000000000b1";
    all.works[id] = {-1, false, {}};
    all.setInstances(4);
    if (!co_await prepare(all, 8, folder))
        co_return couldNotRun;
    const auto body = job({json::object {
        {"count", 1}, {"cpu", 4000}, {"mem_mb", 512}, {"estimate_ms", 1000}, {"daemon", true}}});
    const auto accepted = co_await all.submit(id, body);
    auto *at = accepted.status == 200 ? co_await awaitRun(all, id, 15'000) : nullptr;
    const auto leader = all.leader();
    if (!at || leader < 0)
        co_return couldNotRun;
    co_await all.sleep(3000);
    const auto cut = [&](bool on) {
        all.storeLink(leader).cut = on;
        at->reachesStore = !on;
        for (auto &one : all.workers) {
            for (int i = 0; i < all.instances(); ++i) {
                if ((one.get() == at) != (i == leader))
                    one->linkTo(i).cut = on;
            }
        }
        all.log.line(std::string(on ? "cut off" : "joined again") + ": edge-"
                     + std::to_string(leader + 1) + " and " + at->id());
    };
    if (all.trouble)
        cut(true);
    co_await all.sleep(12'000);
    if (all.trouble)
        cut(false);
    co_await all.sleep(4000);
    const auto now = nowMs();
    int overlaps = 0;
    for (std::size_t i = 0; i < all.runs.size(); ++i) {
        for (std::size_t j = i + 1; j < all.runs.size(); ++j) {
            const auto &one = all.runs[i];
            const auto &other = all.runs[j];
            if (one.task != other.task)
                continue;
            const auto from = std::max(one.startedAt, other.startedAt);
            const auto to = std::min(one.endedAt < 0 ? now : one.endedAt,
                                     other.endedAt < 0 ? now : other.endedAt);
            if (to <= from)
                continue;
            ++overlaps;
            all.log.line("task " + one.task + " ran twice for " + std::to_string(to - from)
                         + " ms: attempt " + std::to_string(one.attempt) + " on " + one.worker
                         + " and attempt " + std::to_string(other.attempt) + " on " + other.worker);
        }
    }
    co_return overlaps > 0 ? broken : held;
}

// A job whose progress does not fit into a row of the store, beside a job with due times.
awaitable<int> wide(world &all, std::string folder)
{
    const std::string wideId = "00000000000000c1";
    const std::string otherId = "00000000000000c2";
    const std::string lastId = "00000000000000c3";
    all.works[otherId] = {500, false, {}};
    all.works[lastId] = {500, false, {}};
    all.works[wideId] = {60'000, true, {}};
    if (!co_await prepare(all, 12, folder))
        co_return couldNotRun;
    // Three steps of 200 tasks, six times, every three seconds.
    const json::object wideStep {{"count", all.trouble ? 200 : 20},
                                 {"cpu", 100},
                                 {"mem_mb", 16},
                                 {"estimate_ms", 6800},
                                 {"checkpoint", true}};
    const auto body = job({wideStep, wideStep, wideStep},
                          {{"times", 6}, {"start_ms", wallMs() + 1000}, {"interval_ms", 3000}});
    const auto accepted = co_await all.submit(wideId, body);
    if (accepted.status != 200)
        co_return couldNotRun;
    co_await all.sleep(1000);
    // A small job with due times, three seconds apart.
    constexpr int times = 4;
    constexpr std::int64_t intervalMs = 3000;
    constexpr std::int64_t firstMs = 16'000;
    const json::object step {{"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 500}};
    const auto small = job({step});
    const auto firstAt = nowMs() + firstMs;
    const auto timed = job(
        {step}, {{"times", times}, {"start_ms", wallMs() + firstMs}, {"interval_ms", intervalMs}});
    const auto other = co_await all.submit(otherId, timed);
    if (other.status != 200)
        co_return couldNotRun;
    co_await all.sleep(firstMs);
    // Other clients' jobs meanwhile.
    const auto last = co_await all.submit(lastId, small, 4);
    const auto lastDue = firstAt + (times - 1) * intervalMs;
    while (nowMs() < lastDue + 14'000)
        co_await all.sleep(100);
    co_await all.state(wideId);
    co_await all.state(otherId);
    int late = 0;
    for (int k = 0; k < times; ++k) {
        const auto task = otherId + "." + std::to_string(k) + ".0.0";
        const auto due = firstAt + k * intervalMs;
        const auto run = std::ranges::find(all.runs, task, &run_record::task);
        const auto wait = (run == all.runs.end() ? nowMs() : run->startedAt) - due;
        if (wait > 3000)
            ++late;
        all.log.line("occurrence " + std::to_string(k)
                     + (run == all.runs.end() ? " has not started " : " started ")
                     + std::to_string(wait) + " ms after it was due");
    }
    all.log.line("another client's job: " + std::to_string(last.status)
                 + "; occurrences with nothing running for over 3 s: " + std::to_string(late)
                 + "; writes that the store refused: " + std::to_string(all.table.refusedWrites()));
    co_return late > 0 ? broken : held;
}

// More than 500 runs end on one worker while the store is away.
awaitable<int> ends(world &all, std::string folder)
{
    const std::string prefix = "00000000000000";
    constexpr int jobs = 20;
    all.works[prefix] = {7500, false, {}};
    if (!co_await prepare(all, 6, folder))
        co_return couldNotRun;
    const json::object step {{"count", 40}, {"cpu", 50}, {"mem_mb", 8}, {"estimate_ms", 7500}};
    const auto body = job({step});
    const auto begun = nowMs();
    for (int i = 0; i < jobs; ++i) {
        const auto id = prefix + std::to_string(10 + i);
        const auto accepted = co_await all.submit(id, body);
        if (accepted.status != 200)
            co_return couldNotRun;
        co_await all.sleep(begun + (i + 1) * 150 - nowMs());
    }
    co_await all.sleep(begun + 7000 - nowMs());
    if (all.trouble) {
        all.setStoreAway(true);
        all.log.line("the store does not answer");
    }
    co_await all.sleep(4500);
    if (all.trouble) {
        all.setStoreAway(false);
        all.log.line("the store answers again");
    }
    co_await all.sleep(16'000);
    int again = 0;
    int completed = 0;
    for (const auto &first : all.runs) {
        if (first.how != "done" || first.notedAt < 0)
            continue;
        again += static_cast<int>(std::ranges::count_if(all.runs, [&](const run_record &other) {
            return other.task == first.task && other.startedAt > first.endedAt;
        }));
    }
    for (int i = 0; i < jobs; ++i) {
        const auto id = prefix + std::to_string(10 + i);
        const auto seen = co_await all.state(id);
        completed += stateOf(seen) == "completed" ? 1 : 0;
    }
    all.log.line("jobs shown as completed: " + std::to_string(completed)
                 + "; starts after a run that had ended `done`, which was taken note of: "
                 + std::to_string(again));
    co_return again > 0 ? broken : held;
}

// A worker whose reports don't reach the store starts again as another kind.
awaitable<int> kind(world &all, std::string folder)
{
    const std::string id = "00000000000000d1";
    const std::string second = "00000000000000d2";
    all.works[id] = {500, false, "fast"};
    all.works[second] = {500, false, "fast"};
    all.addWorkers(1, {64'000, 131'072, "fast"});
    if (!co_await prepare(all, 6, folder))
        co_return couldNotRun;
    auto &changed = *all.workers.front();
    const auto body = job({json::object {
        {"count", 4}, {"cpu", 4000}, {"mem_mb", 512}, {"estimate_ms", 500}, {"requires", "fast"}}});
    const auto accepted = co_await all.submit(id, body);
    if (accepted.status != 200)
        co_return couldNotRun;
    co_await all.sleep(3000);
    if (all.trouble) {
        changed.reachesStore = false;
        all.log.line("reports of " + changed.id() + " don't reach the store");
        co_await all.sleep(500);
        changed.crash();
        co_await all.sleep(1000);
        changed.start({16'000, 32'768, "slow"});
        co_await all.sleep(300);
    }
    co_await all.submit(second, body);
    co_await all.sleep(2500);
    changed.reachesStore = true;
    co_await all.sleep(1000);
    const auto wrong = std::ranges::count_if(all.runs, &run_record::labelMissing);
    all.log.line("starts on a worker without the label: " + std::to_string(wrong));
    co_return wrong > 0 ? broken : held;
}

// More workers than one leader takes, and a job that lasts and needs more than half of them.
awaitable<int> halves(world &all, std::string folder)
{
    const std::string id = "00000000000000a1";
    all.works[id] = {-1, false, {}};
    const int tasks = all.trouble ? 130 : 100;
    if (!co_await prepare(all, 240, folder))
        co_return couldNotRun;
    const auto layout = all.table.get("cell", "", "layout");
    all.log.line("layout: " + layout);
    const json::object step {{"count", tasks},
                             {"cpu", 33000},
                             {"mem_mb", 4096},
                             {"estimate_ms", 1000},
                             {"daemon", true}};
    const auto body = job({step});
    const auto accepted = co_await all.submit(id, body);
    if (accepted.status != 200)
        co_return couldNotRun;
    co_await all.sleep(20'000);
    std::set<std::string> started;
    for (const auto &run : all.runs)
        started.insert(run.task);
    const auto idle = std::ranges::count_if(
        all.workers, [](const auto &one) { return one->up() && one->active() == 0; });
    const auto missing = tasks - static_cast<int>(started.size());
    all.log.line("20 s after the job was accepted " + std::to_string(missing) + " of "
                 + std::to_string(tasks) + " tasks have never started; workers that run nothing: "
                 + std::to_string(idle) + " of " + std::to_string(all.workers.size()));
    co_return missing > 0 && idle > 2 * missing ? broken : held;
}

// A queue is removed and comes back; meanwhile the leader changes and a task of it fails once.
awaitable<int> queue(world &all, std::string folder)
{
    const std::string id = "00000000000000e1";
    all.works[id] = {4000, false, {}, false};
    all.works[id + ".0.0.1"] = {4000, false, {}, true};
    if (!co_await prepare(all, 6, folder))
        co_return couldNotRun;
    const json::object first {{"count", 3}, {"cpu", 4000}, {"mem_mb", 512}, {"estimate_ms", 4000}};
    const auto body = job({first});
    all.prefix = "/stock/";
    const auto accepted = co_await all.submit(id, body);
    if (accepted.status != 200 || !co_await awaitRun(all, id, 10'000))
        co_return couldNotRun;
    co_await all.sleep(500);
    all.table.put("op", "config", configuration(9, {{"plan", "/plan/"}}));
    all.log.line("operator writes configuration 9 without the queue of the job");
    co_await all.sleep(500);
    if (all.trouble)
        all.signalInstance(all.leader(), SIGTERM);
    co_await all.sleep(11'000);
    all.table.put("op", "config", configuration(11, {{"plan", "/plan/"}, {"stock", "/stock/"}}));
    all.log.line("operator writes configuration 11 with the queue");
    std::string seen;
    const auto until = nowMs() + 15'000;
    while (nowMs() < until && seen != "completed" && seen != "failed") {
        co_await all.sleep(1000);
        const auto got = co_await all.state(id);
        seen = stateOf(got);
    }
    const auto failures =
        std::ranges::count_if(all.runs, [&](const run_record &run) { return run.how == "failed"; });
    all.log.line("job " + id + " is shown as " + seen + "; its task ended `failed` "
                 + std::to_string(failures) + " times, attempts of the queue in each version: 3");
    if (seen == "failed" && failures < 3)
        co_return broken;
    co_return seen == "completed" ? held : couldNotRun;
}

awaitable<int> scenario(world &all, std::string name, std::string folder)
{
    if (name == "partition")
        co_return co_await partition(all, folder);
    if (name == "wide")
        co_return co_await wide(all, folder);
    if (name == "ends")
        co_return co_await ends(all, folder);
    if (name == "kind")
        co_return co_await kind(all, folder);
    if (name == "halves")
        co_return co_await halves(all, folder);
    if (name == "queue")
        co_return co_await queue(all, folder);
    co_return couldNotRun;
}

awaitable<void> play(world &all, std::string name, std::string folder, int &code)
{
    code = co_await scenario(all, name, folder);
    all.context.stop();
}

awaitable<void> limit(world &all)
{
    co_await all.sleep(112'000);
    all.log.line("the time for a case is over");
    all.context.stop();
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: stand_in SCENARIO RECORD FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 16'384);
    ::setrlimit(RLIMIT_NOFILE, &files);
    int code = 2;
    review::world all(argv[2]);
    boost::asio::co_spawn(all.context, all.ticker(), boost::asio::detached);
    boost::asio::signal_set signals(all.context, SIGTERM, SIGINT);
    signals.async_wait([&all](const auto &, int) { all.context.stop(); });
    boost::asio::co_spawn(all.context, review::limit(all), boost::asio::detached);
    boost::asio::co_spawn(all.context, review::play(all, argv[1], argv[3], code),
                          boost::asio::detached);
    all.context.run();
    all.log.line("exit code " + std::to_string(code));
    return code;
}
