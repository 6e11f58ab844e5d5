// Drives entry instances that forward requests to the owners of groups, whose summaries reach them
// late, with seeded arrivals and a fake clock; prints waits and the share of requests that crossed
// between regions, by rule of routing.
//     request-routing --help

#include "decision/request_scheduler.h"
#include "decision/router.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;
using namespace std::chrono_literals;

namespace {

constexpr service_id service {1};
constexpr std::uint32_t regions = 3;
constexpr std::uint32_t groupsPerRegion = 4;
constexpr std::uint32_t groups = regions * groupsPerRegion;
constexpr std::uint32_t workersPerGroup = 8;
constexpr std::uint32_t slotsPerWorker = 8;
constexpr std::uint32_t slotsPerGroup = workersPerGroup * slotsPerWorker;
constexpr std::uint32_t instances = 8;
constexpr duration nearDelay = 1ms;
constexpr duration farDelay = 30ms;
constexpr duration length = 300s;

struct load
{
    work_class name = work_class::Quick;
    duration mean {};
    // Of the slots.
    double share = 0;
};

constexpr std::array loads = {load {work_class::Quick, 30ms, 0.15},
                              load {work_class::Normal, 1s, 0.25},
                              load {work_class::Long, 10s, 0.4}};

// One entry instance: what it knows of the groups.
struct entry_instance
{
    region_id region {};
    router routes;
    std::array<group_summary, groups> latest {};
};

std::uint32_t regionOf(std::uint32_t group)
{
    return group / groupsPerRegion;
}

std::uint64_t waitingUpTo(const group_summary &summary, work_class name)
{
    std::uint64_t sum = 0;
    for (std::size_t each = 0; each <= static_cast<std::size_t>(name); ++each)
        sum += summary.waiting[each];
    return sum;
}

using rule = std::uint32_t (*)(entry_instance &, work_class, time_point, std::mt19937_64 &);

std::uint32_t anyOfRegion(entry_instance &from, work_class, time_point, std::mt19937_64 &random)
{
    return number(from.region) * groupsPerRegion
           + static_cast<std::uint32_t>(random() % groupsPerRegion);
}

std::uint32_t anyGroup(entry_instance &, work_class, time_point, std::mt19937_64 &random)
{
    return static_cast<std::uint32_t>(random() % groups);
}

std::uint32_t leastLoaded(entry_instance &from, work_class name, time_point, std::mt19937_64 &)
{
    const auto load = [&](const group_summary &summary) {
        return static_cast<std::int64_t>(waitingUpTo(summary, name)) - summary.freeSlots;
    };
    const auto best = std::ranges::min_element(from.latest, {}, load);
    return static_cast<std::uint32_t>(best - from.latest.begin());
}

std::uint32_t ownRegionFirst(entry_instance &from, work_class name, time_point now,
                             std::mt19937_64 &)
{
    const auto chosen = from.routes.choose(service, name, now);
    const auto group = chosen ? number(chosen->group) : number(from.region) * groupsPerRegion;
    from.routes.recordForwarded(group_id {group}, service, name, now);
    return group;
}

struct named_rule
{
    const char *name;
    rule choose;
};

constexpr std::array rules = {
    named_rule {"any-group", anyGroup}, named_rule {"any-of-region", anyOfRegion},
    named_rule {"least-loaded", leastLoaded}, named_rule {"router", ownRegionFirst}};

class routing_run
{
public:
    routing_run(rule choose, double skew, duration period, const router_limits &limits,
                std::uint64_t seed);
    void run();
    void print(const char *name);

private:
    enum class happening : std::uint8_t { Arrival, Reach, End, Publish, Learn };

    struct entry
    {
        time_point at {};
        happening what = happening::Arrival;
        // A load, request or group, by what happens.
        std::uint64_t id = 0;
        std::uint32_t region = 0;
        std::uint32_t instance = 0;

        bool operator>(const entry &other) const { return at > other.at; }
    };

    struct request_info
    {
        std::size_t load = 0;
        std::uint32_t group = 0;
        time_point arrivedAt {};
        duration size {};
    };

    void scheduleArrival(std::size_t load, std::uint32_t region);
    void arrive(std::size_t load, std::uint32_t region);
    void reach(std::uint64_t id);
    void publish(std::uint32_t group);
    void learn(const entry &due);
    void step(std::uint32_t group, const request_event &event);
    void expire(std::uint32_t group);
    void carryOut(std::uint32_t group);

    rule m_choose;
    double m_skew;
    duration m_period;
    std::mt19937_64 m_random;
    std::vector<entry_instance> m_instances;
    std::vector<request_scheduler> m_owners;
    // Published and on its way to an instance.
    std::vector<group_summary> m_published;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> m_calendar;
    std::unordered_map<std::uint64_t, request_info> m_requests;
    std::vector<request_action> m_actions;
    std::array<std::vector<double>, 3> m_waits;
    std::uint64_t m_refused = 0;
    std::uint64_t m_crossed = 0;
    std::uint64_t m_lastId = 0;
    time_point m_now {1h};
};

routing_run::routing_run(rule choose, double skew, duration period, const router_limits &limits,
                         std::uint64_t seed)
    : m_choose(choose)
    , m_skew(skew)
    , m_period(period)
    , m_random(seed)
{
    for (std::uint32_t each = 0; each < instances; ++each) {
        auto own = limits;
        own.region = region_id {each % regions};
        m_instances.push_back({own.region, router(own, seed + each), {}});
    }
    request_limits owned;
    owned.queueLimit = 20000;
    for (std::uint32_t group = 0; group < groups; ++group)
        m_owners.emplace_back(owned);
}

void routing_run::scheduleArrival(std::size_t load, std::uint32_t region)
{
    const double part = region == 0 ? m_skew : (regions - m_skew) / (regions - 1);
    const auto &kind = loads[load];
    const auto rate = part * kind.share * groupsPerRegion * slotsPerGroup
                      / std::chrono::duration<double>(kind.mean).count();
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(m_random));
    m_calendar.push(
        {m_now + std::chrono::duration_cast<duration>(gap), happening::Arrival, load, region, 0});
}

void routing_run::arrive(std::size_t load, std::uint32_t region)
{
    scheduleArrival(load, region);
    const auto perRegion = (instances - region + regions - 1) / regions;
    auto &from = m_instances[region + regions * (m_random() % perRegion)];
    const auto group = m_choose(from, loads[load].name, m_now, m_random);
    const bool crosses = regionOf(group) != region;
    m_crossed += crosses ? 1 : 0;
    const auto mean = std::chrono::duration<double>(loads[load].mean).count();
    const std::chrono::duration<double> size(
        std::lognormal_distribution<double>(std::log(mean) - 0.18, 0.6)(m_random));
    const auto id = ++m_lastId;
    m_requests[id] = {load, group, m_now, std::chrono::duration_cast<duration>(size)};
    m_calendar.push({m_now + (crosses ? farDelay : nearDelay), happening::Reach, id, 0, 0});
}

void routing_run::reach(std::uint64_t id)
{
    const auto &info = m_requests.at(id);
    step(info.group,
         request_arrived {request_id {id}, service, kind_id {static_cast<std::uint32_t>(info.load)},
                          loads[info.load].name, true, m_now + 30min, caller_id {}});
}

void routing_run::publish(std::uint32_t group)
{
    group_summary summary;
    summary.group = group_id {group};
    summary.owner = instance_id {group};
    summary.region = region_id {regionOf(group)};
    summary.service = service;
    summary.slots = slotsPerGroup;
    summary.freeSlots = m_owners[group].freeSlots(service);
    for (const auto name : {work_class::Quick, work_class::Normal, work_class::Long}) {
        const auto waiting = m_owners[group].waiting(service, name);
        summary.waiting[static_cast<std::size_t>(name)] = static_cast<std::uint32_t>(waiting);
    }
    for (std::size_t each = 0; each < loads.size(); ++each)
        summary.serviceTime[each] = loads[each].mean;
    m_published.push_back(summary);
    for (std::uint32_t each = 0; each < instances; ++each) {
        const bool far = m_instances[each].region != summary.region;
        m_calendar.push({m_now + (far ? farDelay : nearDelay), happening::Learn,
                         m_published.size() - 1, 0, each});
    }
    m_calendar.push({m_now + m_period, happening::Publish, group, 0, 0});
}

void routing_run::learn(const entry &due)
{
    auto summary = m_published[due.id];
    summary.receivedAt = m_now;
    auto &instance = m_instances[due.instance];
    instance.latest[number(summary.group)] = summary;
    instance.routes.updateSummary(summary);
}

void routing_run::step(std::uint32_t group, const request_event &event)
{
    m_owners[group].step(event, m_now, m_actions);
    carryOut(group);
}

void routing_run::expire(std::uint32_t group)
{
    auto &owner = m_owners[group];
    for (auto next = owner.nextDeadline(); next && *next <= m_now; next = owner.nextDeadline()) {
        owner.expire(m_now, m_actions);
        carryOut(group);
    }
}

void routing_run::carryOut(std::uint32_t group)
{
    for (const auto &action : m_actions) {
        if (const auto *sent = std::get_if<send_request>(&action)) {
            const auto &info = m_requests.at(number(sent->request));
            const std::chrono::duration<double> wait = m_now - info.arrivedAt;
            m_waits[info.load].push_back(wait.count());
            m_calendar.push({m_now + info.size, happening::End, number(sent->request), 0, group});
            continue;
        }
        ++m_refused;
        m_requests.erase(number(std::get<refuse_request>(action).request));
    }
    m_actions.clear();
}

void routing_run::run()
{
    const auto until = m_now + length;
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (std::uint32_t each = 0; each < workersPerGroup; ++each)
            step(group, worker_added {worker_id {each}, service, rack_id {0}, slotsPerWorker, 0});
        // Owners do not publish in step with one another.
        m_calendar.push({m_now + m_period * group / groups, happening::Publish, group, 0, 0});
    }
    for (std::size_t load = 0; load < loads.size(); ++load) {
        for (std::uint32_t region = 0; region < regions; ++region)
            scheduleArrival(load, region);
    }
    while (m_calendar.top().at < until) {
        const auto due = m_calendar.top();
        m_calendar.pop();
        m_now = due.at;
        if (due.what == happening::Arrival) {
            arrive(due.id, due.region);
        } else if (due.what == happening::Reach) {
            expire(m_requests.at(due.id).group);
            reach(due.id);
        } else if (due.what == happening::End) {
            expire(due.instance);
            m_requests.erase(due.id);
            step(due.instance, request_ended {request_id {due.id}, send_outcome::Completed});
        } else if (due.what == happening::Publish) {
            publish(static_cast<std::uint32_t>(due.id));
        } else {
            learn(due);
        }
    }
}

void routing_run::print(const char *name)
{
    std::printf("rule=%s skew=%.2f crossed=%.4f refused=%llu", name, m_skew,
                static_cast<double>(m_crossed) / static_cast<double>(m_lastId),
                static_cast<unsigned long long>(m_refused));
    for (std::size_t each = 0; each < loads.size(); ++each) {
        auto &waits = m_waits[each];
        std::ranges::sort(waits);
        const auto last = static_cast<double>(waits.size() - 1);
        std::printf(" %s_ms p50=%.1f p99=%.1f", std::array {"quick", "normal", "long"}[each],
                    1e3 * waits[static_cast<std::size_t>(0.5 * last)],
                    1e3 * waits[static_cast<std::size_t>(0.99 * last)]);
    }
    std::printf("\n");
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    int periodMilliseconds = 1000;
    int costMilliseconds = 500;
    options::options_description described("request-routing");
    described.add_options()("help", "show this")("seed", options::value(&seed)->default_value(1),
                                                 "for arrivals and sizes")(
        "period", options::value(&periodMilliseconds)->default_value(1000),
        "milliseconds between two summaries of a group")(
        "region-cost", options::value(&costMilliseconds)->default_value(500),
        "milliseconds that a request must gain to cross between regions");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    router_limits limits;
    limits.crossRegionCost = std::chrono::milliseconds(costMilliseconds);
    limits.summaryInterval = std::chrono::milliseconds(periodMilliseconds);
    // Even load, and one region with more than it can carry.
    for (const double skew : {1.0, 1.4}) {
        for (const auto &each : rules) {
            routing_run one(each.choose, skew, std::chrono::milliseconds(periodMilliseconds),
                            limits, seed);
            one.run();
            one.print(each.name);
        }
    }
    return 0;
}
