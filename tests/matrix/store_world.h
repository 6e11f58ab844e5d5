#ifndef PLANTAINGAP_TESTS_MATRIX_STORE_WORLD_H
#define PLANTAINGAP_TESTS_MATRIX_STORE_WORLD_H

#include "matrix/network.h"
#include "platform/store_client.h"

#include <map>
#include <memory>
#include <set>

namespace plantaingap::matrix {

// Two instances that write request keys before they send requests that are not idempotent, over one
// table. Callers repeat a key at the other instance. The same writes stand for accepted jobs.
class store_world
{
public:
    explicit store_world(std::uint64_t seed);
    cell_result run(const cell &what);

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
    void give(instance &self, const store_event &event);
    void commit(instance &self, const send_commit &batch);
    void read(instance &self, const send_read &wanted);
    void request(std::uint32_t index, const std::string &key);
    void ask(std::uint32_t index, const std::string &key);
    void told(instance &self, const write_finished &ended);
    void sendToWorker(instance &self, const std::string &key);
    void countCall(const instance &self);
    void checkEnd();
    void inject(fault what, instance &victim);
    void meet(step what, phase when, std::uint32_t sender);
    bool reachable(const instance &self) const;
    network::answer at(const instance &self, std::function<void(instance &)> act);
    time_point localTime() const { return time_point(m_network.now() + sim_time(1000)); }

    network m_network;
    std::vector<instance> m_instances;
    std::map<std::string, write_id> m_table;
    // When each row was written.
    std::map<std::string, sim_time> m_writtenAt;
    std::map<std::string, int> m_runs;
    std::map<write_id, errc> m_told;
    std::map<write_id, std::string> m_asked;
    std::map<std::uint32_t, std::vector<sim_time>> m_calls;
    sim_time m_awayUntil {};
    sim_time m_replyLostUntil {};
    sim_time m_slowUntil {};
    std::uint64_t m_tickets = 0;
    cell m_cell;
    bool m_armed = false;
    bool m_reached = false;
    std::uint32_t m_occurrences = 0;
};

} // namespace plantaingap::matrix

#endif
