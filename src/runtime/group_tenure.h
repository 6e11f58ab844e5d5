#ifndef PLANTAINGAP_RUNTIME_GROUP_TENURE_H
#define PLANTAINGAP_RUNTIME_GROUP_TENURE_H

#include "decision/request_scheduler.h"
#include "decision/router.h"
#include "runtime/group_keys.h"
#include "runtime/name_table.h"
#include "support/stable_id.h"

#include <map>

namespace plantaingap::runtime {

// What an owner holds of a group from the day it gains it until it gives it up: a scheduler that
// knows only workers that answered under this epoch, and the keys of requests that may run once.
class group_tenure
{
public:
    group_tenure(std::string name, const epoch &authority, const decision::request_limits &limits)
        : m_name(std::move(name))
        , m_group(support::stableId<group_id>(m_name))
        , m_authority(authority)
        , scheduler(limits)
    { }

    const std::string &name() const { return m_name; }
    group_id group() const { return m_group; }
    const epoch &authority() const { return m_authority; }

    // Slots by service, of the workers that the scheduler knows.
    void addSlots(worker_id worker, service_id service, std::uint32_t slots)
    {
        removeSlots(worker);
        m_workers[worker] = {service, slots};
        m_slots[service] += slots;
    }

    void removeSlots(worker_id worker)
    {
        const auto found = m_workers.find(worker);
        if (found == m_workers.end())
            return;
        m_slots[found->second.first] -= found->second.second;
        m_workers.erase(found);
    }

    bool knows(worker_id worker) const { return m_workers.contains(worker); }

    // One summary for each service of the group.
    std::vector<decision::group_summary> summaries(instance_id owner, region_id region,
                                                   time_point now) const
    {
        using decision::work_class;
        std::vector<decision::group_summary> told;
        for (const auto &[service, slots] : m_slots) {
            decision::group_summary summary;
            summary.group = m_group;
            summary.owner = owner;
            summary.region = region;
            summary.service = service;
            summary.slots = slots;
            summary.freeSlots = scheduler.freeSlots(service);
            for (const auto name : {work_class::Quick, work_class::Normal, work_class::Long}) {
                const auto waiting = scheduler.waiting(service, name);
                summary.waiting[static_cast<std::size_t>(name)] =
                    static_cast<std::uint32_t>(waiting);
            }
            summary.receivedAt = now;
            told.push_back(summary);
        }
        return told;
    }

private:
    std::string m_name;
    group_id m_group;
    epoch m_authority;
    std::map<worker_id, std::pair<service_id, std::uint32_t>> m_workers;
    std::map<service_id, std::uint32_t> m_slots;

public:
    decision::request_scheduler scheduler;
    // None when there is no table to keep keys in.
    std::shared_ptr<group_keys> keys;
    // The router's picture of it is older than its last step.
    bool changed = true;
};

} // namespace plantaingap::runtime

#endif
