#ifndef PLANTAINGAP_DECISION_ROUTER_H
#define PLANTAINGAP_DECISION_ROUTER_H

#include "decision/retry_budget.h"

#include <array>
#include <map>
#include <optional>
#include <plantaingap/request_scheduler.h>
#include <set>
#include <span>
#include <vector>

namespace plantaingap::decision {

// What an owner tells of one of its groups for one service, in its heartbeats.
struct group_summary
{
    group_id group {};
    instance_id owner {};
    region_id region {};
    service_id service {};
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    // Requests waiting at the owner, by class.
    std::array<std::uint32_t, 3> waiting {};
    // The mean time that a request holds a slot, by class; zero when unknown.
    std::array<duration, 3> serviceTime {};
    // When this instance received the summary.
    time_point asOf {};
};

// Where a request goes.
struct route
{
    group_id group {};
    instance_id owner {};
};

struct router_limits
{
    region_id region {};
    // A summary older than this is not used.
    duration staleAfter = std::chrono::seconds(5);
    // Between two summaries of a group.
    duration summaryPeriod = std::chrono::seconds(1);
    // What crossing to another region is worth: traffic between regions is paid by volume, and
    // each way takes 30 ms. A request crosses only when it gains more than this.
    duration regionCost = std::chrono::milliseconds(500);
    // Repeated forwards per request, after an answer that says "not run".
    double retryRatio = 0.1;
    double retryBurst = 20;
};

// Chooses, at the instance where a request came in, the group whose owner takes it. Of two groups
// drawn at random it takes the one with the shorter expected wait, so that instances that see the
// same late summaries do not all choose the same group.
class router
{
public:
    router(const router_limits &limits, std::uint64_t seed);

    // Takes a newer summary; an older one is dropped.
    void learn(const group_summary &summary);
    void forget(group_id group);

    // A suspected owner gets no requests until it is trusted again.
    void suspect(instance_id owner);
    void trust(instance_id owner);

    // The group for an idempotent request; none when no usable group is known.
    std::optional<route> choose(service_id service, work_class name, time_point now);

    // Another group after the first one refused the request as not run; none when there is no
    // other, or when the budget for this is spent.
    std::optional<route> chooseAgain(service_id service, work_class name, group_id refusedBy,
                                     time_point now);

    // The group for a request that is not idempotent: the same at every instance that knows the
    // same groups, whatever their load, so that a repeat meets the same owner. None while that
    // group cannot be used: another one must not take the request.
    std::optional<route> chooseByKey(service_id service, std::uint64_t keyHash,
                                     std::span<const group_id> groups, time_point now) const;

    // A request was forwarded to the group; counted until a summary shows it or it has ended in all
    // likelihood.
    void noteForwarded(group_id group, service_id service, work_class name, time_point now);

private:
    struct known_group
    {
        group_summary summary;
        // Forwarded since the summary came and still there, by class, as of a time.
        std::array<double, 3> forwarded {};
        time_point forwardedAt {};
    };

    using known_groups = std::map<group_id, known_group>;

    bool usable(const known_group &known, time_point now) const;
    static duration serviceTime(const known_group &known, std::size_t name);
    // Lets the forwarded requests end that have taken their time.
    static void age(known_group &known, time_point now);
    duration expectedWait(const known_group &known, work_class name) const;
    duration cost(const known_group &known, work_class name) const;
    // The share of the slots that is taken, which tells groups apart that have room.
    double busyShare(const known_group &known) const;
    const known_group *better(const known_group *left, const known_group *right,
                              work_class name) const;
    const known_group *drawTwo(std::span<const known_group *const> candidates, work_class name);
    std::optional<route> chooseBut(service_id service, work_class name,
                                   std::optional<group_id> excluded, time_point now);
    std::uint64_t random(std::uint64_t bound);

    router_limits m_limits;
    std::map<service_id, known_groups> m_services;
    std::set<instance_id> m_suspected;
    retry_budget m_retries;
    std::uint64_t m_random;
    // Kept between calls to save their memory.
    std::vector<const known_group *> m_near;
    std::vector<const known_group *> m_far;
};

} // namespace plantaingap::decision

#endif
