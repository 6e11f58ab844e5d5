#ifndef PLANTAINGAP_CELL_LEADER_H
#define PLANTAINGAP_CELL_LEADER_H

#include "cell/leadership.h"
#include "cell/peer_link.h"
#include "cell/ports.h"
#include "cell/wall_estimate.h"
#include "jobs/job_scheduler.h"
#include "jobs/worker_list_cache.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace plantaingap::cell {

// What a leader works with; all of it outlives the leader.
struct cell_ports
{
    table_store &store;
    worker_gateway &workers;
    step_advisor &advisor;
    const caller_codec &codec;
    platform_tables tables;
    peer_link &peers;
};

struct leader_options
{
    std::string instance;
    leadership_options leadership;
    jobs::scheduler_options scheduler;
    // Without a write that the store took for this long a leader renews no leases: another may
    // lead.
    std::chrono::milliseconds validity {8000};
};

// One term of leadership: takes the cell over from the store and the workers, answers callers'
// requests, stores every change before it acts on it, and gives orders to workers.
class leader : public std::enable_shared_from_this<leader>
{
public:
    // The row is as this instance just wrote it.
    leader(boost::asio::io_context &context, cell_ports ports, leader_options options,
           leader_row row, std::uint64_t revision);

    // Takes over and serves; returns when another leads, or after resign().
    awaitable<void> run();
    // Gives way: no new work is accepted, what is being stored is finished, then run() returns.
    void resign() { m_resigning = true; }

    // Requests can be answered.
    bool ready() const { return m_ready && !m_ended; }
    awaitable<caller_answer> handle(caller_call call);
    leader_beat beat(const follower_beat &told);
    std::string metrics() const;
    // The leader's row as this leader last wrote it.
    const leader_row &row() const { return m_row; }

private:
    // Taking over.
    awaitable<bool> load();
    awaitable<bool> loadTable(const std::string &table, std::vector<stored_row> &rows);
    void restoreJobs(const std::vector<stored_row> &definitions,
                     const std::vector<stored_row> &progress);

    // Duties, each a coroutine that ends with the term.
    awaitable<void> storeChanges();
    awaitable<void> watchConfiguration();
    awaitable<void> watchWorkers();
    awaitable<void> lookAfter(std::string worker);
    awaitable<void> planRegularly();
    awaitable<void> tellLoad();
    awaitable<void> readEnded();

    struct write_race;
    awaitable<bool> storeBatch(std::vector<jobs::job_change> batch);
    awaitable<std::optional<transaction_result>>
    raceWrite(std::shared_ptr<write_race> race, const std::vector<jobs::job_change> &batch);
    awaitable<void> attemptWrite(std::shared_ptr<write_race> race, transaction changes);
    void tellStoreFailing(bool refused);
    transaction makeTransaction(const std::vector<jobs::job_change> &batch) const;
    // Takes out what the store already knows as ended; false when another leads.
    bool settleConflicts(const std::vector<stored_row> &conflicts,
                         std::vector<jobs::job_change> &batch, bool &applied);
    void batchStored(const std::vector<jobs::job_change> &batch);
    void takeConfiguration(const stored_row &row);
    awaitable<bool> readWorkers();
    void startLooks();

    void planSoon();
    void plan();
    void tellNotes();
    awaitable<void> sendStart(jobs::start_order order);
    awaitable<void> sendStop(jobs::stop_order order);
    awaitable<void> sendThrottle(jobs::throttle_order order);
    awaitable<void> sendAdvice(jobs::advice_request request);

    // Callers.
    awaitable<caller_answer> submit(caller_call call, jobs::job_definition definition);
    // Refuses a job that was not given to the store.
    caller_answer refuseUnstored(const std::string &id, std::string_view reason, time_point now);
    awaitable<caller_answer> cancel(caller_call call, std::string id);
    awaitable<caller_answer> tell(caller_call call, std::string id);
    awaitable<std::optional<jobs::job_state>> endedState(std::string id, bool &known);
    awaitable<void> waitStored(std::string id, time_point deadline);
    void wake(const std::string &id);
    bool storeAway(time_point now) const;
    std::uint32_t returnSeconds(time_point now) const;
    bool valid(time_point now) const;
    awaitable<void> pause(std::chrono::milliseconds span);

    boost::asio::io_context &m_context;
    cell_ports m_ports;
    leader_options m_options;
    leader_row m_row;
    std::uint64_t m_revision;
    jobs::job_scheduler m_scheduler;
    wall_estimate m_wall;
    bool m_ready = false;
    bool m_ended = false;
    bool m_resigning = false;
    // A worker has taken orders of a later leader.
    bool m_superseded = false;
    // When the last write that the store took was sent.
    time_point m_committedAt;
    // The last attempt to write failed.
    bool m_storeFailing = false;
    // When the write that has no answer yet was first sent, and how long the last one took.
    std::optional<time_point> m_writingSince;
    duration m_writeTime {};
    bool m_planPosted = false;
    // All jobs that ended before this term are in memory.
    bool m_endedKnown = false;
    boost::asio::steady_timer m_changed;
    std::uint64_t m_operatorRevision = 0;
    jobs::worker_list_cache m_list;
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> m_looks;
    std::multimap<std::string, std::shared_ptr<boost::asio::steady_timer>> m_waiters;
    // Where each instance that follows can be called.
    std::map<std::string, std::string> m_followers;
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace plantaingap::cell

#endif
