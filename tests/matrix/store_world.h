#ifndef PLANTAINGAP_TESTS_MATRIX_STORE_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_STORE_WORLD_H

#include "matrix/network.h"
#include "platform/store_client.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// Two instances that share one table and write request keys before they send requests that are not
// idempotent. Callers repeat a key at the other instance. Writes of accepted jobs work the same
// way.
class store_world
{
public:
    explicit store_world(std::uint64_t seed);
    cell_result run(const cell &matrixCell);

private:
    struct instance
    {
        std::uint32_t index = 0;
        std::uint64_t incarnation = 0;
        bool alive = true;
        sim_time pausedUntil {};
        bool cutFromStore = false;
        std::uint64_t writes = 0;
        std::unique_ptr<platform::store_client> client;
        std::map<write_id, std::string> keys;
        std::map<std::uint64_t, sim_time> reads;
    };

    void start(std::uint32_t index);
    void scheduleTick(std::uint32_t index);
    void process(instance &self, const store_event &event);
    void commit(instance &self, const send_commit &batch);
    void read(instance &self, const send_read &request);
    void requestWrite(std::uint32_t index, const std::string &key);
    void requestRead(std::uint32_t index, const std::string &key);
    void recordOutcome(instance &self, const write_finished &result);
    void sendToWorker(instance &self, const std::string &key);
    void countCall(const instance &self);
    void checkEnd();
    void inject(fault injected, instance &victim);
    void handlePhase(step reachedStep, phase reachedPhase, std::uint32_t sender);
    bool reachable(const instance &self) const;
    network::reply_handler replyTo(const instance &self, std::function<void(instance &)> action);
    time_point localTime() const { return time_point(m_network.now() + sim_time(1000)); }

    network m_network;
    std::vector<instance> m_instances;
    std::map<std::string, write_id> m_table;
    // When each row was written.
    std::map<std::string, sim_time> m_writtenAt;
    std::map<std::string, int> m_runs;
    std::map<write_id, errc> m_reported;
    std::map<write_id, std::string> m_requested;
    std::map<std::uint32_t, std::vector<sim_time>> m_calls;
    sim_time m_storeUnavailableUntil {};
    sim_time m_storeReplyLostUntil {};
    sim_time m_storeSlowUntil {};
    std::uint64_t m_tickets = 0;
    cell m_cell;
    bool m_armed = false;
    bool m_reached = false;
    std::uint32_t m_occurrences = 0;
};

} // namespace plantaingap::matrix

#endif
