#ifndef PLANTAINGAP_TESTS_MATRIX_MEMBERSHIP_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_MEMBERSHIP_WORLD_H

#include "matrix/network.h"
#include "peer/membership.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// Four instances with heartbeats and a list that lags for all but one of them. A worker leaves, one
// instance is stopped by plan, and everybody must know in time.
class membership_world
{
public:
    explicit membership_world(std::uint64_t seed);
    cell_result run(const cell &what);

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
        // Since when the instance was last whole: neither cut nor paused nor just started.
        sim_time wholeSince {};
        std::uint64_t beats = 0;
        std::unique_ptr<peer::membership> machine;
        std::map<std::uint32_t, bool> leaving;
        std::set<std::uint32_t> knowsStopping;
    };

    void start(std::uint32_t index);
    void scheduleTick(std::uint32_t index);
    void tick(instance &self);
    void give(instance &self, const membership_event &event);
    void readList(instance &self);
    platform_list_read listAt(sim_time when) const;
    void checkTick(const instance &self) const;
    void checkEnd() const;
    void inject(fault what, instance &victim);
    void meet(step what, phase when, std::uint32_t sender);
    time_point localTime() const { return time_point(m_network.now() + sim_time(1000)); }

    network m_network;
    std::vector<instance> m_instances;
    sim_time m_markedAt = sim_time::max();
    sim_time m_stayingAt = sim_time::max();
    cell m_cell;
    bool m_armed = false;
    bool m_reached = false;
    std::uint32_t m_occurrences = 0;
};

} // namespace plantaingap::matrix

#endif
