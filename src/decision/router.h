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

// Load of one group for one service, as reported by its owner in heartbeats.
struct group_summary
{
    group_id group {};
    instance_id owner {};
    region_id region {};
    service_id service {};
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    // Requests queued at the owner, by class.
    std::array<std::uint32_t, 3> waiting {};
    // Mean time for which a request holds a slot, by class; zero when unknown.
    std::array<duration, 3> serviceTime {};
    // When this instance received the summary.
    time_point receivedAt {};
};

// The destination of a request.
struct route
{
    group_id group {};
    instance_id owner {};
};

struct router_limits
{
    region_id region {};
    // Groups whose summary is older are not used.
    duration maxSummaryAge = std::chrono::seconds(5);
    // Interval between summaries of a group.
    duration summaryInterval = std::chrono::seconds(1);
    // Cost of forwarding to another region, as waiting time: traffic between regions is billed by
    // volume, and each direction takes 30 ms. A request crosses only if it saves more time.
    duration crossRegionCost = std::chrono::milliseconds(500);
    // Second forwards allowed per request, after a refusal that says "not run".
    double retryRatio = 0.1;
    double retryBurst = 20;
};

// Chooses the group whose owner gets a request, at the instance that received the request. It
// picks two groups at random and takes the one with the shorter expected wait, so that instances
// with the same outdated summaries do not all choose the same group.
class router
{
public:
    router(const router_limits &limits, std::uint64_t seed);

    // Replaces the group's summary unless the given one is older.
    void updateSummary(const group_summary &summary);
    void removeGroup(group_id group);

    // A suspected owner gets no requests until the suspicion is cleared.
    void markSuspected(instance_id owner);
    void clearSuspicion(instance_id owner);

    // Route for an idempotent request; none when no usable group is known.
    std::optional<route> choose(service_id service, work_class workClass, time_point now);

    // Route to another group after one refused the request as not run; none when there is no other
    // usable group or the retry budget is exhausted.
    std::optional<route> chooseAlternative(service_id service, work_class workClass,
                                           group_id refusedBy, time_point now);

    // Route for a non-idempotent request. Instances that know the same groups choose the same one
    // regardless of load, so that a repeat reaches the same owner. None while that group is
    // unusable, since no other group may take the request.
    std::optional<route> chooseForKey(service_id service, std::uint64_t keyHash,
                                      std::span<const group_id> groups, time_point now) const;

    // Counts a request that was forwarded to the group, until a summary includes it; the count
    // decays with the service time.
    void recordForwarded(group_id group, service_id service, work_class workClass, time_point now);

private:
    struct group_state
    {
        group_summary summary;
        // Expected number of requests forwarded since the summary that have not ended, by class, at
        // the time forwardedAt.
        std::array<double, 3> forwarded {};
        time_point forwardedAt {};
    };

    using groups_by_id = std::map<group_id, group_state>;

    bool usable(const group_state &state, time_point now) const;
    static duration serviceTime(const group_state &state, std::size_t workClass);
    // Decays the forwarded counts to the given time.
    static void decayForwarded(group_state &state, time_point now);
    duration expectedWait(const group_state &state, work_class workClass) const;
    duration cost(const group_state &state, work_class workClass) const;
    // Fraction of the slots in use; compares groups that both have free slots.
    double utilization(const group_state &state) const;
    const group_state *cheaper(const group_state *left, const group_state *right,
                               work_class workClass) const;
    const group_state *chooseOfTwo(std::span<const group_state *const> candidates,
                                   work_class workClass);
    std::optional<route> chooseExcluding(service_id service, work_class workClass,
                                         std::optional<group_id> excluded, time_point now);
    std::uint64_t random(std::uint64_t bound);

    router_limits m_limits;
    std::map<service_id, groups_by_id> m_services;
    std::set<instance_id> m_suspected;
    retry_budget m_retries;
    std::uint64_t m_random;
    // Members only to reuse their memory between calls.
    std::vector<const group_state *> m_local;
    std::vector<const group_state *> m_remote;
};

} // namespace plantaingap::decision

#endif
