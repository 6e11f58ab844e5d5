#ifndef PLANTAINGAP_TESTS_JOBS_CAPACITY_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_CAPACITY_WORLD_H

#include "jobs/model_worker.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

// Model workers and the real scheduler over a network and a store that lose, delay and reorder, on
// a clock that advances in steps. Checks that no start brings a worker over its capacity, that no
// task runs twice at a time, that none is started again after it has ended as done under a lease
// that still holds, and that no start brings a workspace over its limit by more than a tenth and
// one task.
namespace plantaingap::tests {

// Chances per mille of one message or, for the events of the world, of one step.
struct capacity_faults
{
    // Of an order or a renewal: never executed, executed without a reply, executed seconds later
    // without a reply, executed a second time seconds later.
    int lost = 0;
    int replyLost = 0;
    int late = 0;
    int doubled = 0;
    // A start that the worker answers with a refusal.
    int refused = 0;
    // A worker accepts no connection for orders for a while: they are not sent. Renewals are.
    int unsent = 0;
    int submit = 0;
    int cancel = 0;
    int resign = 0;
    int kill = 0;
    int crash = 0;
    // A worker starts again under its id, with or without closing its connections, and is cut off
    // soon after.
    int restartAndCut = 0;
    int freeze = 0;
    int cut = 0;
    int shrink = 0;
    int slowStore = 0;
    // The leader is cut off from the store and from all workers but one, which only it reaches.
    int split = 0;
    // Of a run: fails.
    int failure = 0;
    // Of a job: is a gang, lasts.
    int gang = 0;
    int lasting = 0;
    // A configuration changes the limit of a workspace.
    int changeLimit = 0;
};

struct capacity_options
{
    int workers = 1;
    std::uint64_t seed = 1;
    capacity_faults faults {};
    // A stop takes at most this long; each takes a random part of it if `randomTimes` is set.
    milliseconds stopTime {400};
    stopping_report stopping = stopping_report::Active;
    milliseconds messageTime {2};
    milliseconds storeTime {10};
    // From a report to the next renewal; a random part of it if `randomTimes` is set.
    milliseconds renewalInterval {5};
    bool randomTimes = false;
    // Members of a gang end within this time of each other.
    milliseconds gangEndSkew {0};
    // Starts, and renewals with a lease, are executed only by the incarnation that they name, as
    // the gateway to the workers ensures.
    bool bound = true;
    // The list of workers tells their incarnations. Otherwise starts go to a restarted worker as
    // soon as it reports.
    bool listsIncarnations = true;
    // Each random job belongs to one of these.
    std::vector<jobs::workspace_definition> workspaces {};
    // The scheduler knows the limits; without them the checks of the world must find a violation.
    bool limitsKnown = true;
};

// How a worker that crashes starts again.
struct restart_options
{
    bool sameId = true;
    bool breaksConnections = true;
    // How far its clock is ahead of its former one; random if not set.
    std::optional<milliseconds> clockStep {};
};

class capacity_world
{
public:
    static constexpr milliseconds stepTime {5};
    static constexpr resources fullCapacity {16'000, 32'768, 0};

    explicit capacity_world(capacity_options options);

    // Steps until `span` has passed or an invariant is broken.
    void advance(milliseconds span);
    // // Ends all faults and submissions, raises the limits so that they hold any gang, cancels
    // what lasts, and advances until no job is left, at most for `span`. Returns what accounts
    // still charge, and what still waits; empty if all has ended.
    std::string drain(milliseconds span);
    void step();

    void submit(const std::string &id, std::vector<jobs::step_definition> steps,
                milliseconds runTime, const std::string &workspace = {});
    void changeLimit(const std::string &workspace, resources limit);
    void cancel(const std::string &id);
    // Ends the gang of a step, its first member now and the others `later`.
    void endGang(const std::string &step, jobs::run_outcome outcome, milliseconds later);
    // The leader's last batch is stored, and another one leads `gap` later.
    void resign(milliseconds gap);
    // The leader is gone; its batch in flight may have been stored.
    void kill(milliseconds gap);
    void crash(model_worker &worker, milliseconds downTime, restart_options next = {});
    void shrink(model_worker &worker, resources capacity);
    // From now on, no call reaches the worker and no reply comes back until `until`.
    void cut(const std::string &worker, milliseconds span);
    // Until `span` has passed, no order to the worker is sent.
    void holdOrders(const std::string &worker, milliseconds span);
    // Until `span` has passed, the store takes no write.
    void stopStore(milliseconds span);
    // Until `span` has passed, the leader reaches that worker and nothing else, and nothing else
    // reaches the worker. Another one leads `gap` later.
    void splitOff(const std::string &worker, milliseconds gap, milliseconds span);
    // The leader is cut off from the store, and learns after `span` that another one leads since
    // `gap`.
    void replaceUnnoticed(milliseconds gap, milliseconds span);
    // Calls of that term to the worker arrive when they are let through.
    void hold(const std::string &worker, std::uint64_t term) { m_held.emplace(worker, term); }
    void letThrough(const std::string &worker, std::uint64_t term) { m_held.erase({worker, term}); }
    // The leader of that term is suspended before its next renewals.
    void suspendRenewals(std::uint64_t term, milliseconds span) { m_awakeAt[term] = now() + span; }

    model_worker &worker(const std::string &id) { return *m_workers.at(id); }
    jobs::job_scheduler &scheduler() { return *m_leader->scheduler; }
    std::size_t running(const std::string &prefix = {}) const;
    // The broken invariant, empty for none.
    const std::string &violation() const { return m_violation; }
    std::uint64_t starts() const { return m_starts; }
    std::uint64_t takeovers() const { return m_term - 1; }
    std::uint64_t done() const { return m_done; }
    std::uint64_t unlistedReleases() const { return m_unlistedReleases; }
    time_point now() const { return time_point(std::chrono::hours(1)) + m_elapsed; }
    // The last events, for the report of a violation.
    std::string trace(const std::string &word) const;

    // Overrides the fate of start orders in scripted tests: returns when the order is executed,
    // none for the usual fate.
    std::function<std::optional<milliseconds>(const jobs::start_order &)> startDelay;

private:
    // One term of a leader; messages and replies of an ended term do nothing at its scheduler.
    struct term_state
    {
        std::unique_ptr<jobs::job_scheduler> scheduler;
        std::uint64_t term = 0;
        bool ended = false;
        bool resigning = false;
        bool storing = false;
        bool reachesStore = true;
        std::set<std::string> renewing;
    };
    using leader_ref = std::shared_ptr<term_state>;

    // A worker and the term of the leader that is cut off with it.
    struct split
    {
        std::string worker;
        std::uint64_t term = 0;
        time_point until {};
    };

    // A gang at work.
    struct gang_state
    {
        time_point since {};
        // Set when all members are there.
        time_point endsAt {};
        bool ending = false;
    };

    struct job_model
    {
        std::vector<jobs::step_definition> steps;
        milliseconds runTime {0};
        std::string workspace;
    };

    void at(milliseconds delay, std::function<void()> action);
    bool chance(int perMille);
    milliseconds randomTime(milliseconds longest);
    milliseconds latency();
    // Below `end`.
    std::int64_t randomClock(std::int64_t end);
    std::int64_t nextClock(const model_worker &worker, std::optional<milliseconds> step);
    void log(std::string line);
    void fail(std::string text);

    void beginTerm();
    void endTerm(milliseconds gap);
    void storeLastBatch(const leader_ref &leader, milliseconds gap);
    void listWorkers();
    void plan();
    void storeChanges(const leader_ref &leader);
    void record(const jobs::job_change &change);
    void renew(const leader_ref &leader, const std::string &id);
    void send(const leader_ref &leader, const jobs::start_order &order);
    void send(const leader_ref &leader, const jobs::stop_order &order);
    struct call;
    using call_ref = std::shared_ptr<call>;
    void post(const call_ref &sent);
    void deliver(const call_ref &sent, bool replies, bool late);
    model_order_reply execute(const jobs::start_order &order, model_worker &worker,
                              time_point sentAt);
    void checkStart(const model_worker &worker, const jobs::start_order &order,
                    const resources &before, time_point sentAt);
    // What the runs of a workspace that are at work, or being stopped, demand.
    resources usedBy(const std::string &workspace) const;
    void checkLimit(const jobs::start_order &order, time_point sentAt);
    jobs::cell_configuration configuration() const;
    // None while the worker is down.
    model_worker *reached(const std::string &id);
    bool holdsOrders(const std::string &worker) const;
    bool isSplit(std::uint64_t term, const std::string &worker) const;
    void advanceGangs();
    void randomEvents();
    void submitRandom();
    void takeEvents();

    capacity_options m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_clockRandom;
    duration m_elapsed {0};
    std::uint64_t m_term = 0;
    std::uint64_t m_sequence = 0;
    // By due time, then in order of creation.
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_actions;
    leader_ref m_leader;
    time_point m_nextRowWrite {};
    std::map<std::string, std::unique_ptr<model_worker>> m_workers;
    // Workers that have left the list for another id at their address.
    std::set<std::string> m_replaced;
    std::map<std::string, time_point> m_cutUntil;
    std::map<std::string, time_point> m_ordersHeldUntil;
    std::set<std::pair<std::string, std::uint64_t>> m_held;
    std::map<std::uint64_t, time_point> m_awakeAt;
    std::vector<split> m_splits;
    time_point m_storeAwayUntil {};
    // By worker: capacities with the time until which each held.
    std::map<std::string, std::vector<std::pair<time_point, resources>>> m_pastCapacities;
    // By workspace: limits with the time until which each was in force.
    std::map<std::string, std::vector<std::pair<time_point, resources>>> m_pastLimits;
    std::uint64_t m_configurationVersion = 1;
    std::map<std::string, job_model> m_jobs;
    // By step and attempt.
    std::map<std::pair<std::string, std::uint32_t>, gang_state> m_gangs;
    std::map<std::string, std::string> m_definitions;
    std::map<std::string, std::string> m_progress;
    std::map<std::string, jobs::job_state> m_ended;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_starts = 0;
    std::uint64_t m_done = 0;
    std::uint64_t m_unlistedReleases = 0;
    std::string m_violation;
    std::deque<std::string> m_trace;
};

} // namespace plantaingap::tests

#endif
