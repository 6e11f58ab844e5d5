#ifndef PLANTAINGAP_CELL_LEADER_H
#define PLANTAINGAP_CELL_LEADER_H

#include "cell/cell_layout.h"
#include "cell/duty_times.h"
#include "cell/follower_table.h"
#include "cell/leadership.h"
#include "cell/peer_transport.h"
#include "cell/ports.h"
#include "cell/wall_clock_estimator.h"
#include "jobs/job_scheduler.h"
#include "jobs/worker_list_cache.h"
#include "jobs/workspaces/configuration_freshness.h"
#include "jobs/workspaces/configuration_review.h"
#include "jobs/workspaces/key_directory.h"
#include "jobs/workspaces/limit_shares.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace plantaingap::cell {

// Dependencies of a leader; all of them outlive it.
struct cell_ports
{
    table_store &store;
    worker_gateway &workers;
    step_advisor &advisor;
    const platform_codec &codec;
    platform_tables tables;
    peer_transport &peers;
};

struct leader_options
{
    std::string instance;
    partition_id partition;
    // Whether this instance should leave the partition to a follower that could lead; empty: never.
    std::function<bool()> shouldYield;
    leadership_options leadership;
    jobs::scheduler_options scheduler;
    // How long a key may be used after a configuration without it was stored; 0: as long as no such
    // configuration has been read.
    std::chrono::milliseconds keyRevocation {0};
};

// One term of leadership of a partition. Loads the cell's state from the store and the workers,
// serves callers' requests, stores each change before acting on it, and sends orders to workers.
class leader : public std::enable_shared_from_this<leader>
{
public:
    // `row` and `revision` are those of the write by which this instance took over, which it sent
    // at `claimSentAt`.
    leader(boost::asio::io_context &context, cell_ports ports, leader_options options,
           leader_row row, std::uint64_t revision, time_point claimSentAt);

    // Loads the state and serves until another instance leads or resign() has completed.
    awaitable<void> run();
    // Stops accepting new jobs; run() returns once pending changes and the resignation are stored.
    void resign();

    // The leader resigned in favour of a follower.
    bool yielded() const { return m_yielded; }
    // The state is loaded and requests can be served.
    bool ready() const { return m_ready && !m_ended; }
    awaitable<caller_response> handleRequest(caller_request request);
    // Method of requests by which an instance asks why jobs are not done: the one that the target
    // ends with, otherwise all. Not accepted from callers.
    static constexpr std::string_view explainMethod = "EXPLAIN";
    heartbeat_reply handleHeartbeat(const heartbeat_request &request);
    // Answers a partition's request for shares of the workspaces' limits; only in partition 0.
    awaitable<jobs::limit_reply> handleLimitRequest(jobs::limit_request request);
    std::string metrics() const;
    // Requests without a valid key that are logged between two load logs; the rest are
    // counted.
    static constexpr std::uint32_t maxKeyRefusalsLogged = 20;
    // The leader's row as this leader last wrote it.
    const leader_row &row() const { return m_row; }

private:
    // Loading at the start of the term; false if there was no recent commit before it succeeded.
    awaitable<bool> loadState();
    awaitable<bool> loadTable(key_range range, std::vector<stored_row> &rows);
    void restoreJobs(const std::vector<stored_row> &definitions,
                     const std::vector<stored_row> &progress);
    void restoreRemainingRuns(std::string_view id, std::string_view value);

    // Background coroutines that end with the term.
    awaitable<void> storeChanges();
    awaitable<void> watchConfiguration();
    // Reads the configuration whenever the watch has not confirmed it for long.
    awaitable<void> confirmConfiguration();
    awaitable<void> watchWorkers();
    awaitable<void> renewLeaseLoop(std::string id);
    void onReport(const std::string &id, const jobs::worker_report &report, time_point askedAt);
    awaitable<void> planPeriodically();
    awaitable<void> logLoad();
    void logWaits(const jobs::job_explanations &waits, time_point now);
    // Logs a line for each accepted job that is not done, up to a bound.
    void logUnfinished() const;
    // Answers a request with explainMethod.
    caller_response explainJobs(std::string_view target) const;
    std::string explainJob(const std::string &id, time_point now) const;
    // Logs the figures of each kind of step that have changed.
    void logFigures();
    void logSizes();
    // Logs the time spent on each duty since the last call.
    void logDuties();
    void addFigures(std::string &metrics) const;
    void addSizes(std::string &metrics) const;
    void addWorkspaces(std::string &metrics) const;
    void addInterference(std::string &metrics) const;
    awaitable<void> loadEndedJobs();

    // Writes to the store; a write without a reply is hedged by further attempts.
    struct hedged_write;
    std::vector<jobs::job_change> takeBatch();
    awaitable<bool> storeBatch(std::vector<jobs::job_change> batch);
    awaitable<std::optional<transaction_result>> hedgedWrite(std::shared_ptr<hedged_write> write,
                                                             const transaction &changes);
    awaitable<void> attemptWrite(std::shared_ptr<hedged_write> write, transaction changes);
    void recordStoreFailure(bool refused);
    // Logs once for each write: the leader repeats it, and stores nothing else meanwhile.
    void recordRejectedWrite(hedged_write &write, const transaction &changes);
    // Whether new jobs are stored on condition that the store has no end of them.
    enum class ended_check : std::uint8_t { InStore, InMemory };
    transaction makeTransaction(const std::vector<jobs::job_change> &batch,
                                ended_check check) const;
    // Removes jobs from the batch that the store already has as ended, and sets `applied` if an
    // earlier attempt was committed. Returns false if another instance leads.
    bool resolveConflicts(const std::vector<stored_row> &conflicts,
                          std::vector<jobs::job_change> &batch, bool &applied);
    void onBatchStored(const std::vector<jobs::job_change> &batch);
    void applyConfiguration(const stored_row &row);
    // Activates nothing, but revokes the keys that the rejected configuration does not have.
    void rejectConfiguration(const stored_row &row, const jobs::cell_configuration &rejected,
                             const std::vector<jobs::configuration_finding> &findings);
    // Reads the configuration's row and applies it; false without an answer by the deadline.
    // To confirm the configuration, a row that was applied before is not parsed again.
    enum class configuration_read : std::uint8_t { Apply, Confirm };
    awaitable<bool> readConfigurationRow(time_point deadline, configuration_read purpose);
    // Waits until at least that version of the configuration is in force; false if it is not by
    // the deadline.
    awaitable<bool> awaitConfiguration(std::uint64_t version, time_point deadline);
    awaitable<void> readConfiguration();
    // Reads the whole list of workers; false if that failed and there was no recent commit.
    awaitable<bool> loadWorkers();
    // Updates one entry of the list of workers from its row.
    void applyWorkerRow(const stored_row &row);
    void updateFleet();
    // Tells the gateway how many connections each worker accepts.
    void applyConnectionLimits();
    void startLeaseRenewals();
    row_key rowKey(std::string_view table, std::string_view key) const;
    key_range wholeTable(std::string_view table) const;

    // Shares of the workspaces' limits in a cell of several partitions; see limit_shares.h.
    bool sharesLimits() const { return m_options.partition.count > 1; }
    bool grantsLimits() const { return sharesLimits() && m_options.partition.index == 0; }
    awaitable<bool> loadCeilings();
    void configureLimits();
    void applyCeilings();
    awaitable<void> shareLimitsLoop();
    awaitable<void> askForCeilings();
    // The address of the leader of partition 0; empty if its row names none.
    awaitable<std::string> findGrantor();
    // The row of ceilings has changes that are not stored.
    bool hasCeilingsToStore() const;
    // Includes the row of ceilings as it is now in the next write.
    void takeCeilings();
    void onCeilingsStored();
    void addLimits(std::string &metrics) const;

    // Placement passes.
    void schedulePlan();
    void plan();
    void logEvents();
    awaitable<void> sendStart(jobs::start_order order);
    awaitable<void> sendStop(jobs::stop_order order);
    awaitable<void> sendThrottle(jobs::throttle_order order);
    awaitable<void> sendAdviceRequest(jobs::advice_request request);

    // Callers' requests.
    awaitable<caller_response> handleInConfiguration(caller_request request);
    // // Whether a request for the job needs a key; `queue` is that of the path, null for none.
    bool requiresKey(const jobs::queue_definition *queue, const std::string &id) const;
    // Refuses a request whose key does not allow it; otherwise none. `workspace` is set to that of
    // a known key.
    std::optional<caller_response> checkKey(const caller_request &request, bool keyRequired,
                                            const std::string &id, std::string &workspace);
    // Whether a caller of that workspace may see a job of that owner; a job without one is
    // everyone's.
    bool mayAccess(const std::string &workspace, const std::string &owner) const;
    // Whether the configuration is recent enough for keys to be checked with it.
    bool canCheckKeys() const;
    caller_response refuseKey(unsigned status, std::string_view reason,
                              const std::string &workspace);
    jobs::submit_result decideSubmission(jobs::job_definition definition, time_point now);
    awaitable<caller_response> submit(caller_request request, jobs::job_definition definition);
    // Rejects a job that was not sent to the store.
    caller_response rejectUnstored(const std::string &id, const jobs::job_size &size,
                                   std::string_view reason, time_point now);
    awaitable<caller_response> cancel(caller_request request, std::string id,
                                      std::string workspace);
    awaitable<caller_response> reportState(caller_request request, std::string id,
                                           std::string workspace);
    awaitable<std::optional<jobs::ended_record>> readEnded(std::string id, bool &storeRead);
    awaitable<void> waitUntilStored(std::string id, time_point deadline);
    void wakeWaiters(const std::string &id);
    bool storeUnavailable(time_point now) const;
    std::uint32_t outageRetrySeconds(time_point now) const;
    // Another instance that has taken over meanwhile still waits for leases that end by then.
    bool hasRecentCommit(time_point now) const;
    void onCommitted(time_point sentAt);
    awaitable<void> sleepFor(std::chrono::milliseconds period);

    boost::asio::io_context &m_context;
    cell_ports m_ports;
    leader_options m_options;
    std::string m_storePart;
    leader_row m_row;
    std::uint64_t m_revision;
    jobs::job_scheduler m_scheduler;
    wall_clock_estimator m_wallClock;
    bool m_ready = false;
    bool m_ended = false;
    bool m_resigning = false;
    bool m_yielded = false;
    // A worker has received orders of a later term.
    bool m_superseded = false;
    // No leases are renewed, for want of a recent commit.
    bool m_renewalsPaused = false;
    // When the last committed write was sent, at first the one by which this instance took over.
    time_point m_lastCommitSentAt;
    // The last write attempt failed or got no reply.
    bool m_storeFailing = false;
    // When the pending write was first sent, and the round-trip time of the last committed write.
    std::optional<time_point> m_pendingWriteSince;
    duration m_lastWriteTime {};
    bool m_planScheduled = false;
    duration m_lastPassTime {};
    // All jobs that ended in earlier terms are in memory.
    bool m_endedJobsLoaded = false;
    // Cancelled to wake storeChanges() when there are changes to store.
    boost::asio::steady_timer m_changeTimer;
    // The store revision up to which configuration changes have been read.
    std::uint64_t m_configurationRevision = 0;
    // Revision of the row of the configuration that was last applied or rejected.
    std::uint64_t m_configurationRowRevision = 0;
    jobs::configuration_freshness m_configurationFreshness;
    jobs::key_directory m_keys;
    // Refusals of requests without a valid key that may still be logged until the next load log.
    std::uint32_t m_keyRefusalsToLog = maxKeyRefusalsLogged;
    bool m_keysUsable = true;
    jobs::limit_holder m_limitHolder;
    jobs::limit_grantor m_limitGrantor;
    // The row of ceilings in the write that is pending, and its revision.
    struct ceilings_write
    {
        std::uint64_t revision = 0;
        std::string row;
    };
    std::optional<ceilings_write> m_ceilingsWrite;
    std::uint64_t m_storedCeilings = 0;
    bool m_ceilingsTooLarge = false;
    // Requests that wait until the ceilings that they were granted are stored.
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_ceilingWaiters;
    // Of the leader of partition 0, until a call fails.
    std::string m_grantorAddress;
    // Cancelled to ask for ceilings at once.
    boost::asio::steady_timer m_limitTimer;
    static constexpr std::uint32_t maxCeilingChangesLogged = 20;
    // Changes of ceilings that may still be logged until the next load log.
    std::uint32_t m_ceilingChangesToLog = maxCeilingChangesLogged;
    // By version: requests that wait for it; and whether the configuration is being read for them.
    std::multimap<std::uint64_t, std::shared_ptr<boost::asio::steady_timer>> m_configurationWaiters;
    bool m_readingConfiguration = false;
    // The store revision up to which the list of workers has been read, and its entries of this
    // partition.
    std::uint64_t m_workersRevision = 0;
    std::map<std::string, jobs::worker_entry> m_workerEntries;
    jobs::worker_list_cache m_workerList;
    // By worker; cancelled to renew a lease at once when the worker's reported ends are stored.
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> m_leaseTimers;
    // Runs by task and attempt whose stop waits for a connection or for its reply.
    std::set<std::pair<std::string, std::uint32_t>> m_openStops;
    // By job: coroutines that wait until its changes are stored.
    std::multimap<std::string, std::shared_ptr<boost::asio::steady_timer>> m_storeWaiters;
    follower_table m_followers;
    std::map<std::string, std::uint64_t> m_counters;
    duty_times m_duties;
    // How late the event loop has run a timer that is due at short intervals: the last time, and at
    // most since it was last logged.
    duration m_lag {};
    duration m_greatestLag {};
    // As last logged.
    jobs::figures_by_queue m_loggedFigures;
    std::map<std::string, jobs::figures_by_size, std::less<>> m_loggedSizes;
    std::array<duration, leaderDuties> m_loggedDuties {};
};

} // namespace plantaingap::cell

#endif
