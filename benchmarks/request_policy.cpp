// Drives the request scheduler and two baselines with the same seeded arrivals, a fake clock and
// finishing times, and prints what callers would have waited and what the decisions cost.
//     request-policy --help

#include "decision/request_scheduler.h"
#include "request_baselines.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slotsPerWorker = 8;
constexpr std::uint32_t workersPerRack = 8;
constexpr service_id service {1};
constexpr caller_id liar {999};
constexpr std::array classNames = {"quick", "normal", "long"};

// One kind of request: its class in truth, its mean time on a slot and its share of the slots.
struct kind_load
{
    kind_id kind {};
    work_class truth = work_class::Quick;
    duration mean {};
    double share = 0;
    duration patience {};
};

struct scenario
{
    std::string name;
    std::uint32_t workers = 48;
    std::vector<kind_load> kinds;
    // Declarations are off by ten times, half of the callers up and half down.
    bool wrongSizes = false;
    // One caller sends this share of the long work as quick.
    double liarShare = 0;
    // This part of the workers fails every request after a millisecond.
    double failing = 0;
    // A rack is lost every minute for half a minute.
    bool losesRacks = false;
    // Quick work comes at five times its rate for one second in twenty.
    bool waves = false;
    duration length = 600s;
};

struct class_result
{
    std::vector<double> waits;
    std::vector<double> slowdowns;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

struct run_result
{
    std::array<class_result, 3> classes;
    std::vector<std::uint32_t> stepNanoseconds;
    double slotSeconds = 0;
    // Of the whole run, the benchmark's own share included.
    double cpuSeconds = 0;
    // The longest time that the steps for the loss of one rack took together.
    double rackLossSeconds = 0;
};

double quantile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

class simulation
{
public:
    simulation(const scenario &chosen, request_policy &policy, std::uint64_t seed)
        : m_scenario(chosen)
        , m_policy(policy)
        , m_random(seed)
    { }

    run_result run();

private:
    enum class happening : std::uint8_t { Arrival, End, RackLost, RackBack };

    struct entry
    {
        time_point at {};
        happening what = happening::Arrival;
        std::uint64_t id = 0;
        std::uint32_t attempt = 0;

        bool operator>(const entry &other) const { return at > other.at; }
    };

    struct request_info
    {
        std::size_t load = 0;
        time_point arrivedAt {};
        duration size {};
        worker_id worker {};
        time_point sentAt {};
        std::uint32_t attempt = 0;
        bool running = false;
    };

    bool fails(worker_id worker) const;
    void addWorker(std::uint32_t number);
    void scheduleArrival(std::size_t load);
    void arrive(std::size_t load);
    work_class declare(const kind_load &load, duration size, caller_id caller) const;
    void end(const entry &due);
    void loseRack();
    void returnRack(std::uint64_t rack);
    void step(const request_event &event);
    void expireUntil(time_point at);
    void carryOut();
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }

    const scenario &m_scenario;
    request_policy &m_policy;
    std::mt19937_64 m_random;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> m_calendar;
    std::unordered_map<std::uint64_t, request_info> m_requests;
    std::vector<request_action> m_actions;
    run_result m_result;
    time_point m_now {};
    std::uint64_t m_lastId = 0;
};

bool simulation::fails(worker_id worker) const
{
    // Spread over the racks.
    const auto broken =
        static_cast<std::uint32_t>(std::lround(m_scenario.failing * m_scenario.workers));
    return broken > 0 && number(worker) % (m_scenario.workers / broken) == 7
           && m_now > time_point(10s);
}

void simulation::addWorker(std::uint32_t id)
{
    step(worker_added {worker_id {id}, service, rack_id {id / workersPerRack}, slotsPerWorker, 0});
}

void simulation::scheduleArrival(std::size_t load)
{
    const auto &kind = m_scenario.kinds[load];
    auto rate = kind.share * m_scenario.workers * slotsPerWorker / seconds(kind.mean);
    const bool wave = m_scenario.waves && m_now.time_since_epoch() % 20s < 1s;
    if (wave && kind.truth == work_class::Quick)
        rate *= 5;
    const auto gap = std::exponential_distribution<double>(rate)(m_random);
    const auto at =
        m_now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
    m_calendar.push({at, happening::Arrival, load, 0});
}

work_class simulation::declare(const kind_load &load, duration size, caller_id caller) const
{
    if (caller == liar)
        return work_class::Quick;
    if (!m_scenario.wrongSizes)
        return load.truth;
    const auto told = number(caller) % 2 == 0 ? size * 10 : size / 10;
    const request_limits limits;
    if (told <= limits.quickMaxDuration)
        return work_class::Quick;
    return told <= limits.normalMaxDuration ? work_class::Normal : work_class::Long;
}

void simulation::arrive(std::size_t load)
{
    const auto &kind = m_scenario.kinds[load];
    const double sigma = 0.6;
    const auto size = std::lognormal_distribution<double>(
        std::log(seconds(kind.mean)) - sigma * sigma / 2, sigma)(m_random);
    const auto id = ++m_lastId;
    auto &info = m_requests[id];
    info.load = load;
    info.arrivedAt = m_now;
    info.size = std::chrono::duration_cast<duration>(std::chrono::duration<double>(size));
    auto caller = caller_id {1 + m_random() % 200};
    auto kindSent = kind.kind;
    if (kind.truth == work_class::Long && uniform() < m_scenario.liarShare) {
        caller = liar;
        kindSent = m_scenario.kinds[0].kind;
    }
    const auto declared = declare(kind, info.size, caller);
    scheduleArrival(load);
    step(request_arrived {request_id {id}, service, kindSent, declared, true, m_now + kind.patience,
                          caller});
}

void simulation::end(const entry &due)
{
    const auto found = m_requests.find(due.id);
    if (found == m_requests.end() || !found->second.running || found->second.attempt != due.attempt)
        return;
    auto &info = found->second;
    auto &result = m_result.classes[static_cast<std::size_t>(m_scenario.kinds[info.load].truth)];
    const bool failed = fails(info.worker);
    const auto wait = seconds(info.sentAt - info.arrivedAt);
    m_result.slotSeconds += seconds(m_now - info.sentAt);
    if (failed) {
        ++result.failed;
    } else {
        result.waits.push_back(wait);
        result.slowdowns.push_back((wait + seconds(info.size)) / seconds(info.size));
    }
    m_requests.erase(found);
    step(request_ended {request_id {due.id},
                        failed ? send_outcome::WorkerFailed : send_outcome::Completed});
}

void simulation::loseRack()
{
    const auto racks = m_scenario.workers / workersPerRack;
    const auto rack = m_random() % racks;
    const auto stepsBefore = static_cast<std::ptrdiff_t>(m_result.stepNanoseconds.size());
    for (std::uint32_t each = 0; each < workersPerRack; ++each)
        step(worker_removed {worker_id {static_cast<std::uint32_t>(rack * workersPerRack + each)}});
    std::vector<std::uint64_t> lost;
    for (auto &[id, info] : m_requests) {
        if (!info.running || number(info.worker) / workersPerRack != rack)
            continue;
        info.running = false;
        m_result.slotSeconds += seconds(m_now - info.sentAt);
        lost.push_back(id);
    }
    std::ranges::sort(lost);
    for (const auto id : lost)
        step(request_ended {request_id {id}, send_outcome::Unknown});
    const auto &spent = m_result.stepNanoseconds;
    const auto sum = std::accumulate(spent.begin() + stepsBefore, spent.end(), 0.0);
    m_result.rackLossSeconds = std::max(m_result.rackLossSeconds, 1e-9 * sum);
    m_calendar.push({m_now + 30s, happening::RackBack, rack, 0});
    m_calendar.push({m_now + 60s, happening::RackLost, 0, 0});
}

void simulation::returnRack(std::uint64_t rack)
{
    for (std::uint32_t each = 0; each < workersPerRack; ++each)
        addWorker(static_cast<std::uint32_t>(rack * workersPerRack + each));
}

void simulation::step(const request_event &event)
{
    const auto before = std::chrono::steady_clock::now();
    m_policy.step(event, m_now, m_actions);
    const auto spent = std::chrono::steady_clock::now() - before;
    m_result.stepNanoseconds.push_back(static_cast<std::uint32_t>(spent.count()));
    carryOut();
}

void simulation::carryOut()
{
    for (const auto &action : m_actions) {
        if (const auto *refused = std::get_if<refuse_request>(&action)) {
            const auto found = m_requests.find(number(refused->request));
            const auto truth = m_scenario.kinds[found->second.load].truth;
            ++m_result.classes[static_cast<std::size_t>(truth)].refused;
            m_requests.erase(found);
            continue;
        }
        const auto &sent = std::get<send_request>(action);
        auto &info = m_requests.at(number(sent.request));
        info.worker = sent.worker;
        info.sentAt = m_now;
        info.running = true;
        ++info.attempt;
        const auto time = fails(sent.worker) ? duration(1ms) : info.size;
        m_calendar.push({m_now + time, happening::End, number(sent.request), info.attempt});
    }
    m_actions.clear();
}

void simulation::expireUntil(time_point at)
{
    for (auto next = m_policy.nextDeadline(); next && *next <= at; next = m_policy.nextDeadline()) {
        m_now = std::max(m_now, *next);
        m_policy.expire(m_now, m_actions);
        carryOut();
    }
}

run_result simulation::run()
{
    const auto cpu = threadCpuSeconds();
    for (std::uint32_t id = 0; id < m_scenario.workers; ++id)
        addWorker(id);
    for (std::size_t load = 0; load < m_scenario.kinds.size(); ++load)
        scheduleArrival(load);
    if (m_scenario.losesRacks)
        m_calendar.push({time_point(60s), happening::RackLost, 0, 0});
    while (!m_calendar.empty() && m_calendar.top().at <= time_point(m_scenario.length)) {
        const auto due = m_calendar.top();
        m_calendar.pop();
        expireUntil(due.at);
        m_now = due.at;
        if (due.what == happening::Arrival)
            arrive(due.id);
        else if (due.what == happening::End)
            end(due);
        else if (due.what == happening::RackLost)
            loseRack();
        else
            returnRack(due.id);
    }
    m_result.cpuSeconds = threadCpuSeconds() - cpu;
    return std::move(m_result);
}

std::vector<kind_load> caroni(double quick, double flood, double normal = 0)
{
    std::vector<kind_load> kinds = {
        {kind_id {1}, work_class::Quick, 20ms, quick, 5s},
        {kind_id {2}, work_class::Long, 4s, flood / 2, 30min},
        {kind_id {3}, work_class::Long, 20s, flood / 2, 30min},
    };
    if (normal > 0)
        kinds.push_back({kind_id {4}, work_class::Normal, 1s, normal, 60s});
    if (flood == 0)
        std::erase_if(kinds, [](const auto &kind) { return kind.truth == work_class::Long; });
    return kinds;
}

std::vector<kind_load> rielsur(double quick, double plans, double nestings)
{
    std::vector<kind_load> kinds = {
        {kind_id {1}, work_class::Quick, 30ms, quick, 5s},
        {kind_id {2}, work_class::Normal, 1s, plans, 60s},
    };
    if (nestings > 0)
        kinds.push_back({kind_id {3}, work_class::Long, 10s, nestings, 30min});
    return kinds;
}

std::vector<scenario> scenarios()
{
    std::vector<scenario> all;
    all.push_back({.name = "caroni-quiet", .kinds = caroni(0.1, 0)});
    all.push_back({.name = "caroni-flood", .kinds = caroni(0.1, 0.8)});
    all.push_back({.name = "caroni-overload", .kinds = caroni(0.1, 1.4)});
    all.push_back({.name = "caroni-quick-overload", .kinds = caroni(1.5, 0.3), .length = 120s});
    all.push_back({.name = "caroni-waves-quiet", .kinds = caroni(0.1, 0), .waves = true});
    all.push_back({.name = "caroni-waves", .kinds = caroni(0.1, 0.75), .waves = true});
    all.push_back({.name = "caroni-liar", .kinds = caroni(0.1, 0.8), .liarShare = 0.9});
    all.push_back({.name = "caroni-failing", .kinds = caroni(0.1, 0.8), .failing = 0.02});
    all.push_back({.name = "caroni-racks", .kinds = caroni(0.1, 0.65), .losesRacks = true});
    all.push_back({.name = "rielsur-quiet", .kinds = rielsur(0.1, 0.3, 0)});
    all.push_back({.name = "rielsur-flood", .kinds = rielsur(0.1, 0.3, 0.5)});
    all.push_back({.name = "rielsur-sizes", .kinds = rielsur(0.1, 0.3, 0.5), .wrongSizes = true});
    all.push_back({.name = "group-quiet", .workers = 8, .kinds = rielsur(0.1, 0.3, 0)});
    all.push_back({.name = "group-flood", .workers = 8, .kinds = rielsur(0.1, 0.3, 0.5)});
    all.push_back(
        {.name = "target-quiet", .workers = 2696, .kinds = caroni(0.01, 0, 0.1), .length = 120s});
    all.push_back({.name = "target-racks",
                   .workers = 2696,
                   .kinds = caroni(0.01, 0.79, 0.1),
                   .losesRacks = true,
                   .length = 90s});
    all.push_back({.name = "target-flood",
                   .workers = 2696,
                   .kinds = caroni(0.01, 0.79, 0.1),
                   .length = 120s});
    return all;
}

void print(const std::string &name, const std::string &policy, const scenario &chosen,
           run_result &result)
{
    for (std::size_t each = 0; each < classNames.size(); ++each) {
        auto &done = result.classes[each];
        if (done.waits.empty() && done.refused == 0)
            continue;
        std::printf("scenario=%s policy=%s class=%s answered=%zu refused=%llu failed=%llu "
                    "wait_ms p50=%.1f p99=%.1f p99.9=%.1f longest=%.1f slowdown_p99=%.2f\n",
                    name.c_str(), policy.c_str(), classNames[each], done.waits.size(),
                    static_cast<unsigned long long>(done.refused),
                    static_cast<unsigned long long>(done.failed), 1e3 * quantile(done.waits, 0.5),
                    1e3 * quantile(done.waits, 0.99), 1e3 * quantile(done.waits, 0.999),
                    1e3 * quantile(done.waits, 1), quantile(done.slowdowns, 0.99));
    }
    const auto slots = chosen.workers * slotsPerWorker * seconds(chosen.length);
    std::vector<double> steps(result.stepNanoseconds.begin(), result.stepNanoseconds.end());
    const auto total = std::accumulate(steps.begin(), steps.end(), 0.0);
    std::printf("scenario=%s policy=%s slot_use=%.3f steps=%zu steps_per_second=%.0f step_us "
                "p50=%.2f p99=%.2f longest=%.0f cpu_us_per_step=%.2f rack_loss_ms=%.3f\n",
                name.c_str(), policy.c_str(), result.slotSeconds / slots, steps.size(),
                1e9 * static_cast<double>(steps.size()) / total, 1e-3 * quantile(steps, 0.5),
                1e-3 * quantile(steps, 0.99), 1e-3 * quantile(steps, 1),
                1e6 * result.cpuSeconds / static_cast<double>(steps.size()),
                1e3 * result.rackLossSeconds);
}

// How long a quick request that comes behind many cancellations waits for its decision.
void cancellationWave()
{
    constexpr std::uint64_t count = 10000;
    request_limits limits;
    limits.queueLimit = 2 * count;
    request_scheduler scheduler(limits);
    std::vector<request_action> actions;
    const time_point now(1h);
    scheduler.step(worker_added {worker_id {1}, service, rack_id {1}, slotsPerWorker, 0}, now,
                   actions);
    for (std::uint64_t id = 1; id <= count + slotsPerWorker; ++id) {
        scheduler.step(request_arrived {request_id {id}, service, kind_id {2}, work_class::Long,
                                        true, now + 30min, caller_id {id % 200}},
                       now, actions);
    }
    const auto before = std::chrono::steady_clock::now();
    for (std::uint64_t id = 1; id <= count + slotsPerWorker; ++id)
        scheduler.step(request_cancelled {request_id {id}}, now, actions);
    const auto spent = std::chrono::steady_clock::now() - before;
    std::printf("cancellation_wave count=%llu left=%zu delay_ms=%.2f\n",
                static_cast<unsigned long long>(count), scheduler.waiting(), 1e3 * seconds(spent));
}

void runOne(const scenario &chosen, const std::string &policyName, std::uint64_t seed,
            const request_limits &limits)
{
    auto policy = makePolicy(policyName, limits);
    simulation run(chosen, *policy, seed);
    auto result = run.run();
    print(chosen.name, policyName, chosen, result);
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::string only;
    std::string policies;
    std::uint64_t seed = 1;
    request_limits limits;
    limits.queueLimit = 20000;
    options::options_description described("request-policy");
    described.add_options()("help", "show this")("scenario", options::value(&only),
                                                 "run scenarios whose name contains this")(
        "policies", options::value(&policies)->default_value("plantaingap,fifo,priority"),
        "which to run")("seed", options::value(&seed)->default_value(1), "for arrivals and sizes")(
        "deviations", options::value(&limits.headroomDeviations),
        "headroom for quick work, in standard deviations");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    cancellationWave();
    for (const auto &chosen : scenarios()) {
        if (chosen.name.find(only) == std::string::npos)
            continue;
        for (const std::string name : {"plantaingap", "fifo", "priority"}) {
            if (policies.find(name) != std::string::npos)
                runOne(chosen, name, seed, limits);
        }
    }
    return 0;
}
