#ifndef PLANTAINGAP_TESTS_MATRIX_CONFIG_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_CONFIG_WORLD_H

#include "matrix/network.h"
#include "peer/active_config.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// Three instances that maintain the active configuration through one row of the table, while
// operators apply changes at all of them, often against the same version.
class config_world
{
public:
    explicit config_world(std::uint64_t seed);
    cell_result run(const cell &matrixCell);

private:
    struct instance
    {
        std::uint32_t index = 0;
        instance_ref ref;
        bool alive = true;
        sim_time pausedUntil {};
        bool cutFromPeers = false;
        bool cutFromStore = false;
        std::uint64_t highestReady = 0;
        std::unique_ptr<peer::active_config> machine;
    };

    struct reported_outcome
    {
        config_change change;
        errc outcome = errc::Ok;
    };

    void start(std::uint32_t index);
    void scheduleTick(std::uint32_t index);
    void tick(instance &self);
    void process(instance &self, const config_event &event);
    void execute(instance &self, const config_action &action);
    void readHead(instance &self);
    void writeHead(instance &self, const write_head &write);
    void writeAudit(instance &self, const write_audit &write);
    void fetch(instance &self, const fetch_config &request);
    void apply(std::uint32_t index, std::uint64_t ticket);
    void checkActivated(instance &self, const activate_config &activated);
    void checkEnd();
    void inject(fault injected, instance &victim);
    void handlePhase(step reachedStep, phase reachedPhase, std::uint32_t sender);
    bool beforeSend(step reachedStep, instance &self);
    bool storeReachable(const instance &self) const;
    network::reply_handler replyTo(const instance &self, std::function<void(instance &)> action);
    time_point localTime() const { return time_point(m_network.now() + sim_time(1000)); }

    network m_network;
    std::vector<instance> m_instances;
    config_head m_head;
    std::map<std::uint64_t, config_change> m_history;
    std::set<write_id> m_audited;
    std::vector<reported_outcome> m_reported;
    std::map<std::uint64_t, config_change> m_requested;
    sim_time m_storeUnavailableUntil {};
    sim_time m_storeReplyLostUntil {};
    cell m_cell;
    bool m_armed = false;
    bool m_reached = false;
    std::uint32_t m_occurrences = 0;
};

} // namespace plantaingap::matrix

#endif
