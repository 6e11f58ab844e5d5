#ifndef PLANTAINGAP_TESTS_MATRIX_MEMBERSHIP_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_MEMBERSHIP_WORLD_H

#include "matrix/network.h"
#include "peer/membership.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// Four instances that exchange heartbeats and read a platform list that lags for all but one of
// them. A worker leaves or an instance is stopped, and all instances must detect it in time.
class membership_world
{
public:
    explicit membership_world(std::uint64_t seed);
    cell_result run(const cell &matrixCell);

private:
    struct instance
    {
        std::uint32_t index = 0;
        instance_ref ref;
        bool alive = true;
        bool stopping = false;
        sim_time pausedUntil {};
        sim_time startedAt {};
        bool cut = false;
        // Since when the instance has been healthy: not cut off, paused or restarted.
        sim_time healthySince {};
        std::uint64_t ticks = 0;
        std::unique_ptr<peer::membership> machine;
        std::map<std::uint32_t, bool> leaving;
        std::set<std::uint32_t> observedStopping;
    };

    void start(std::uint32_t index);
    void scheduleTick(std::uint32_t index);
    void tick(instance &self);
    void process(instance &self, const membership_event &event);
    void readList(instance &self);
    platform_list_read listAt(sim_time when) const;
    void checkTick(const instance &self) const;
    void checkEnd() const;
    void inject(fault injected, instance &victim);
    void handlePhase(step reachedStep, phase reachedPhase, std::uint32_t sender);
    time_point localTime() const { return time_point(m_network.now() + sim_time(1000)); }

    network m_network;
    std::vector<instance> m_instances;
    sim_time m_leavingMarkedAt = sim_time::max();
    sim_time m_markClearedAt = sim_time::max();
    cell m_cell;
    bool m_armed = false;
    bool m_reached = false;
    std::uint32_t m_occurrences = 0;
};

} // namespace plantaingap::matrix

#endif
