#include "jobs/capacity_world.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace plantaingap::tests {

using jobs::run_outcome;
using jobs::start_result;

namespace {

constexpr milliseconds orderTimeout {800};
constexpr milliseconds renewalTimeout {1400};
constexpr milliseconds renewalRetryInterval {150};
constexpr milliseconds connectionBreakTime {5};
constexpr milliseconds frozenRetryInterval {20};
constexpr milliseconds lateExecution {1000};
constexpr milliseconds longestLateness {3000};
constexpr milliseconds slowStoreTime {1500};
// A leader without changes writes its row at this interval.
constexpr milliseconds rowWriteInterval {250};
constexpr milliseconds endedJobsLoadTime {60};
constexpr milliseconds longestDownTime {3000};
constexpr milliseconds longestOrderHold {9'000};
constexpr milliseconds longestFreeze {7000};
constexpr milliseconds longestShrink {2000};
constexpr milliseconds longestGap {3000};
constexpr milliseconds longestSplit {15'000};
constexpr milliseconds longestRestart {1000};
constexpr milliseconds longestWaitForCut {2500};
// From a change of the configuration until the leader has read it.
constexpr milliseconds configurationTime {1000};
// The clocks of workers first start at or above this value. Half of the restarts change them by at
// most `smallClockStep`, the others to any value up to twice this one.
constexpr std::int64_t firstClockMs = 8'000'000;
constexpr std::int64_t smallClockStep = 20'000;
constexpr milliseconds gangWait {1000};
constexpr std::size_t maxLiveJobs = 14;
constexpr std::size_t maxLastingJobs = 2;
constexpr std::size_t maxBatchEntries = 98;
constexpr std::size_t maxTraceLines = 4000;

constexpr std::array<resources, 5> demands {{{800, 1'952, 0},
                                             {2'000, 3'000, 0},
                                             {4'000, 8'000, 0},
                                             {8'000, 9'000, 0},
                                             {16'000, 16'000, 0}}};

// Limits that workspaces are changed to; the least is below the demand of some tasks.
constexpr std::array<resources, 4> limits {
    {{4'000, 6'000, 0}, {12'000, 0, 0}, {0, 24'000, 0}, {32'000, 50'000, 0}}};

wall_time wallAt(duration elapsed)
{
    return wall_time(std::chrono::hours(24 * 365 * 50))
           + std::chrono::duration_cast<milliseconds>(elapsed);
}

std::string hexId(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id(16, '0');
    for (auto it = id.rbegin(); number > 0; ++it, number /= 16)
        *it = digits[number % 16];
    return id;
}

std::string describe(const std::string &task, std::uint32_t attempt)
{
    return task + "#" + std::to_string(attempt);
}

} // namespace

capacity_world::capacity_world(capacity_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_clockRandom(options.seed)
{
    for (int i = 0; i < m_options.workers; ++i) {
        const auto id = "w" + std::to_string(i);
        auto created =
            std::make_unique<model_worker>(id, "10.0.0.1:" + std::to_string(7000 + i), fullCapacity,
                                           firstClockMs + randomClock(firstClockMs), now());
        if (m_options.randomTimes)
            created->clockRatePerMille = 980 + static_cast<std::int64_t>(m_random() % 21);
        m_workers.emplace(id, std::move(created));
    }
    beginTerm();
}

void capacity_world::at(milliseconds delay, std::function<void()> action)
{
    m_actions.emplace(std::make_pair(now() + delay, m_sequence++), std::move(action));
}

bool capacity_world::chance(int perMille)
{
    return perMille > 0 && static_cast<int>(m_random() % 1000) < perMille;
}

milliseconds capacity_world::randomTime(milliseconds longest)
{
    return milliseconds(
        static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest.count() + 1)));
}

milliseconds capacity_world::latency()
{
    return m_options.randomTimes ? randomTime(m_options.messageTime) : m_options.messageTime;
}

std::int64_t capacity_world::randomClock(std::int64_t end)
{
    return static_cast<std::int64_t>(m_clockRandom() % static_cast<std::uint64_t>(end));
}

// The clock of the next incarnation of a worker.
std::int64_t capacity_world::nextClock(const model_worker &worker, std::optional<milliseconds> step)
{
    const auto former = worker.clock(now());
    if (step)
        return former + step->count();
    if (m_clockRandom() % 2 == 0)
        return 1 + randomClock(2 * firstClockMs);
    const auto difference = randomClock(2 * smallClockStep + 1) - smallClockStep;
    return std::max<std::int64_t>(1, former + difference);
}

void capacity_world::log(std::string line)
{
    const auto time = std::chrono::duration_cast<milliseconds>(m_elapsed).count();
    m_trace.push_back(std::to_string(time) + " " + std::move(line));
    if (m_trace.size() > maxTraceLines)
        m_trace.pop_front();
}

void capacity_world::fail(std::string text)
{
    log("violation " + text);
    if (m_violation.empty())
        m_violation = std::move(text);
}

std::string capacity_world::trace(const std::string &word) const
{
    std::string text;
    for (const auto &line : m_trace) {
        if (line.find(word) != std::string::npos || line.find(" term") != std::string::npos)
            text += line + "\n";
    }
    return text;
}

std::size_t capacity_world::running(const std::string &prefix) const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : m_workers) {
        count += static_cast<std::size_t>(
            std::ranges::count_if(worker->active, [&prefix](const auto &entry) {
                return entry.first.starts_with(prefix);
            }));
    }
    return count;
}

// Leaders.

void capacity_world::beginTerm()
{
    ++m_term;
    m_leader = std::make_shared<term_state>();
    m_leader->term = m_term;
    jobs::scheduler_options schedulerOptions;
    schedulerOptions.maxStopTime = m_options.stopTime;
    m_leader->scheduler = std::make_unique<jobs::job_scheduler>(schedulerOptions);
    auto &next = *m_leader->scheduler;
    next.configure(configuration());
    next.startTerm(m_term, now());
    for (const auto &[job, definition] : m_definitions) {
        std::optional<jobs::recorded_progress> progress;
        if (m_progress.contains(job))
            progress = *jobs::decodeProgress(m_progress.at(job));
        next.restore(*jobs::decodeJob(definition), progress, now(), wallAt(m_elapsed));
    }
    for (const auto &[job, progress] : m_progress) {
        if (!m_definitions.contains(job))
            next.restoreRemainingRuns(job, *jobs::decodeRemainingRuns(job, progress));
    }
    log("term " + std::to_string(m_term) + " begins");
    listWorkers();
    at(endedJobsLoadTime, [this, leader = m_leader] {
        for (const auto &[job, state] : m_ended) {
            if (!leader->ended)
                leader->scheduler->recordEnded(job, state, now());
        }
    });
}

jobs::cell_configuration capacity_world::configuration() const
{
    jobs::cell_configuration found;
    found.version = m_configurationVersion;
    found.queues = {
        {"queue", "host", "/queue/", "service", 1, 2, 100.0, milliseconds(600'000), std::nullopt}};
    found.workspaces = m_options.workspaces;
    for (auto &workspace : found.workspaces) {
        if (!m_options.limitsKnown)
            workspace.limit = {};
    }
    return found;
}

// The leader reads the configuration a moment later.
void capacity_world::changeLimit(const std::string &workspace, resources limit)
{
    for (auto &definition : m_options.workspaces) {
        if (definition.name != workspace)
            continue;
        m_pastLimits[workspace].emplace_back(now() + configurationTime, definition.limit);
        definition.limit = limit;
    }
    ++m_configurationVersion;
    log("limit of " + workspace + " " + std::to_string(limit.milliCores));
    at(randomTime(configurationTime), [this] {
        if (!m_leader->ended)
            m_leader->scheduler->configure(configuration());
    });
}

void capacity_world::endTerm(milliseconds gap)
{
    m_leader->ended = true;
    log("term " + std::to_string(m_term) + " ends");
    at(gap, [this] { beginTerm(); });
}

void capacity_world::resign(milliseconds gap)
{
    if (m_leader->ended || m_leader->resigning || !m_leader->reachesStore)
        return;
    m_leader->resigning = true;
    log("term " + std::to_string(m_term) + " resigns");
    at(milliseconds(0), [this, gap, leader = m_leader] { storeLastBatch(leader, gap); });
}

// Waits for the batch in flight, whose reply comes first.
void capacity_world::storeLastBatch(const leader_ref &leader, milliseconds gap)
{
    if (leader->ended)
        return;
    if (leader->storing) {
        at(stepTime, [this, gap, leader] { storeLastBatch(leader, gap); });
        return;
    }
    for (const auto &change : leader->scheduler->takeChanges(maxBatchEntries))
        record(change);
    endTerm(gap);
}

void capacity_world::kill(milliseconds gap)
{
    if (m_leader->ended || !m_leader->reachesStore)
        return;
    log("term " + std::to_string(m_term) + " killed");
    endTerm(gap);
}

void capacity_world::listWorkers()
{
    if (m_leader->ended)
        return;
    std::vector<jobs::worker_entry> entries;
    for (const auto &[id, worker] : m_workers) {
        if (m_replaced.contains(id))
            continue;
        entries.push_back(worker->entry);
        if (!m_options.listsIncarnations)
            entries.back().incarnationMs = 0;
    }
    m_leader->scheduler->updateWorkerList(entries);
    for (const auto &[id, worker] : m_leader->scheduler->workers().all()) {
        if (m_leader->renewing.insert(id).second)
            renew(m_leader, id);
    }
}

void capacity_world::plan()
{
    if (m_leader->ended)
        return;
    const auto orders = m_leader->scheduler->plan(now(), wallAt(m_elapsed));
    for (const auto &stop : orders.stops)
        send(m_leader, stop);
    storeChanges(m_leader);
    takeEvents();
}

void capacity_world::takeEvents()
{
    for (const auto &event : m_leader->scheduler->takeEvents()) {
        m_unlistedReleases += event.event == "run.released_unlisted" ? 1 : 0;
        std::string line(event.event);
        line += " " + describe(event.task, event.attempt) + " " + event.worker + " "
                + std::string(event.reason);
        for (const auto &[key, value] : event.fields)
            line += " " + std::string(key) + "=" + value;
        log(std::move(line));
    }
}

void capacity_world::storeChanges(const leader_ref &leader)
{
    if (!leader->reachesStore || leader->storing || now() < m_storeAwayUntil
        || (!leader->scheduler->hasChanges() && now() < m_nextRowWrite))
        return;
    m_nextRowWrite = now() + rowWriteInterval;
    leader->storing = true;
    const auto batch = std::make_shared<std::vector<jobs::job_change>>(
        leader->scheduler->takeChanges(maxBatchEntries));
    const auto longest = chance(m_options.faults.slowStore) ? slowStoreTime : m_options.storeTime;
    const auto appliedAfter = m_options.randomTimes ? randomTime(longest) : longest;
    at(appliedAfter, [this, leader, batch] {
        // A later leader's claim keeps the write from being applied.
        if (leader->term != m_term)
            return;
        for (const auto &change : *batch)
            record(change);
    });
    at(appliedAfter + latency(), [this, leader, batch, sentAt = now()] {
        if (leader->ended || !leader->reachesStore)
            return;
        leader->storing = false;
        leader->scheduler->commitSent(sentAt);
        for (const auto &order : leader->scheduler->onBatchStored(*batch, now()))
            send(leader, order);
    });
}

void capacity_world::record(const jobs::job_change &change)
{
    if (change.definition)
        m_definitions[change.id] = *change.definition;
    if (change.progress)
        m_progress[change.id] = *change.progress;
    else if (change.finished || change.remainingRunsGone)
        m_progress.erase(change.id);
    if (change.finished) {
        m_definitions.erase(change.id);
        m_ended[change.id] = *change.finished;
        m_done += *change.finished == jobs::job_state::Completed ? 1 : 0;
        log("stored end of " + change.id + " " + std::string(stateName(*change.finished)));
    }
}

// Messages.

model_worker *capacity_world::reached(const std::string &id)
{
    const auto found = m_workers.find(id);
    return found != m_workers.end() && found->second->up ? found->second.get() : nullptr;
}

void capacity_world::cut(const std::string &worker, milliseconds span)
{
    m_cutUntil[worker] = now() + span;
}

void capacity_world::stopStore(milliseconds span)
{
    log("store away");
    m_storeAwayUntil = now() + span;
}

void capacity_world::splitOff(const std::string &worker, milliseconds gap, milliseconds span)
{
    if (m_leader->ended || m_leader->resigning || !m_leader->reachesStore)
        return;
    log("split of term " + std::to_string(m_term) + " with " + worker);
    m_leader->reachesStore = false;
    m_splits.push_back({worker, m_term, now() + span});
    at(gap, [this] { beginTerm(); });
    // It learns then that it has been replaced.
    at(std::max(gap, span), [leader = m_leader] { leader->ended = true; });
}

void capacity_world::replaceUnnoticed(milliseconds gap, milliseconds span)
{
    log("term " + std::to_string(m_term) + " is cut off from the store");
    m_leader->reachesStore = false;
    at(gap, [this] { beginTerm(); });
    at(span, [leader = m_leader] { leader->ended = true; });
}

bool capacity_world::isSplit(std::uint64_t term, const std::string &worker) const
{
    return std::ranges::any_of(m_splits, [&](const split &one) {
        return one.until > now() && (one.term == term) != (one.worker == worker);
    });
}

// Delivers a call by one of the fates; `execute` runs at the worker, `reply` and `timeOut` at the
// leader.
struct capacity_world::call
{
    std::string worker;
    std::uint64_t term = 0;
    std::function<void(model_worker &)> execute;
    std::function<void()> reply;
    // Whether the connection broke.
    std::function<void(bool)> failed;
    // Another worker answers at the address.
    std::function<void()> replaced;
    std::optional<milliseconds> executedAfter;
    milliseconds timeOut {0};
    time_point sentAt {};
    // The incarnation that was there when the call was sent.
    std::int64_t incarnationMs = 0;
    // The only one that may execute it, none for any.
    std::optional<std::int64_t> boundTo;
    bool answered = false;
};

void capacity_world::deliver(const call_ref &sent, bool replies, bool late)
{
    auto *worker = reached(sent->worker);
    const auto cutUntil = m_cutUntil.find(sent->worker);
    if (cutUntil != m_cutUntil.end() && cutUntil->second > now())
        return;
    if (isSplit(sent->term, sent->worker))
        return;
    if (m_held.contains({sent->worker, sent->term})) {
        at(stepTime, [this, sent, replies, late] { deliver(sent, replies, late); });
        return;
    }
    const bool replaced = m_replaced.contains(sent->worker);
    if (!worker || replaced) {
        if (late || !replies || (!replaced && !m_workers.at(sent->worker)->breaksConnections))
            return;
        at(connectionBreakTime, [sent, replaced] {
            if (std::exchange(sent->answered, true))
                return;
            if (replaced)
                sent->replaced();
            else
                sent->failed(true);
        });
        return;
    }
    // A connection does not outlive the process of the worker.
    if (late && worker->entry.incarnationMs != sent->incarnationMs)
        return;
    if (worker->frozen) {
        at(frozenRetryInterval, [this, sent, replies, late] { deliver(sent, replies, late); });
        return;
    }
    const bool other =
        m_options.bound && sent->boundTo && *sent->boundTo != worker->entry.incarnationMs;
    if (!other)
        sent->execute(*worker);
    if (!replies)
        return;
    at(latency(), [sent, other] {
        if (std::exchange(sent->answered, true))
            return;
        if (other)
            sent->replaced();
        else
            sent->reply();
    });
}

void capacity_world::holdOrders(const std::string &worker, milliseconds span)
{
    log("orders to " + worker + " held");
    m_ordersHeldUntil[worker] = now() + span;
}

bool capacity_world::holdsOrders(const std::string &worker) const
{
    const auto held = m_ordersHeldUntil.find(worker);
    return held != m_ordersHeldUntil.end() && held->second > now();
}

void capacity_world::post(const call_ref &sent)
{
    const auto &faults = m_options.faults;
    if (auto *worker = reached(sent->worker))
        sent->incarnationMs = worker->entry.incarnationMs;
    sent->sentAt = now();
    at(sent->timeOut, [sent] {
        if (!std::exchange(sent->answered, true))
            sent->failed(false);
    });
    const auto deliverAfter = [&](milliseconds delay, bool replies, bool late) {
        at(delay, [this, sent, replies, late] { deliver(sent, replies, late); });
    };
    if (sent->executedAfter) {
        deliverAfter(*sent->executedAfter, false, true);
        return;
    }
    if (chance(faults.lost))
        return;
    if (chance(faults.replyLost)) {
        deliverAfter(latency(), false, false);
        if (chance(500)) {
            at(latency() * 2, [sent] {
                if (!std::exchange(sent->answered, true))
                    sent->failed(true);
            });
        }
        return;
    }
    if (chance(faults.late)) {
        deliverAfter(lateExecution + randomTime(longestLateness), false, true);
        return;
    }
    deliverAfter(latency(), true, false);
    if (chance(faults.doubled))
        deliverAfter(lateExecution + randomTime(longestLateness), false, true);
}

void capacity_world::send(const leader_ref &leader, const jobs::start_order &order)
{
    const auto sent = std::make_shared<call>();
    const auto reply = std::make_shared<model_order_reply>();
    const auto finish = [this, leader, order](start_result result,
                                              std::optional<std::int64_t> clockMs) {
        if (!leader->ended)
            leader->scheduler->onStartReply(order, result, clockMs, now());
    };
    if (holdsOrders(order.worker.id)) {
        at(latency(), [finish] { finish(start_result::NotSent, std::nullopt); });
        return;
    }
    log("start sent " + describe(order.task, order.attempt) + " " + order.worker.id);
    sent->worker = order.worker.id;
    sent->term = leader->term;
    sent->timeOut = orderTimeout;
    sent->boundTo = order.incarnationMs;
    if (startDelay)
        sent->executedAfter = startDelay(order);
    const bool refused = chance(m_options.faults.refused);
    sent->execute = [this, order, reply, refused, sentAt = now()](model_worker &worker) {
        if (refused)
            *reply = {start_result::Refused, worker.clock(now())};
        else
            *reply = execute(order, worker, sentAt);
    };
    sent->reply = [finish, reply] { finish(reply->result, reply->clockMs); };
    sent->failed = [finish](bool broken) {
        finish(broken ? start_result::ConnectionBroken : start_result::Unknown, std::nullopt);
    };
    sent->replaced = [finish] { finish(start_result::OtherIncarnation, std::nullopt); };
    post(sent);
}

void capacity_world::send(const leader_ref &leader, const jobs::stop_order &order)
{
    const auto sent = std::make_shared<call>();
    const auto accepted = std::make_shared<bool>(false);
    const auto finish = [this, leader, order](bool settled) {
        if (!leader->ended)
            leader->scheduler->onStopReply(order, settled, now());
    };
    if (holdsOrders(order.worker.id)) {
        at(latency(), [finish] { finish(false); });
        return;
    }
    sent->worker = order.worker.id;
    sent->term = leader->term;
    sent->timeOut = orderTimeout;
    sent->execute = [this, order, accepted](model_worker &worker) {
        const auto time =
            m_options.randomTimes ? randomTime(m_options.stopTime) : m_options.stopTime;
        *accepted = worker.stop(order, now(), time);
        log("stop executed " + describe(order.task, order.attempt) + " " + order.worker.id);
    };
    sent->reply = [finish, accepted] { finish(*accepted); };
    sent->failed = [finish](bool) { finish(false); };
    sent->replaced = [finish] { finish(true); };
    post(sent);
}

void capacity_world::renew(const leader_ref &leader, const std::string &id)
{
    auto *worker = leader->ended ? nullptr : leader->scheduler->workers().find(id);
    if (!worker) {
        leader->renewing.erase(id);
        return;
    }
    const auto awakeAt = m_awakeAt.find(leader->term);
    if (awakeAt != m_awakeAt.end() && awakeAt->second > now()) {
        at(stepTime, [this, leader, id] { renew(leader, id); });
        return;
    }
    const auto order = leader->scheduler->renewLease(*worker, now());
    const auto sent = std::make_shared<call>();
    const auto report = std::make_shared<jobs::worker_report>();
    const auto renewAfter = [this, leader, id](milliseconds delay) {
        at(delay, [this, leader, id] { renew(leader, id); });
    };
    const auto received = [this, leader, id, renewAfter, askedAt = now()](
                              const jobs::worker_report &content, milliseconds delay) {
        if (!leader->ended && !content.staleTerm)
            leader->scheduler->onReport(id, content, askedAt, now());
        renewAfter(delay);
    };
    sent->worker = id;
    sent->term = leader->term;
    sent->timeOut = renewalTimeout;
    sent->execute = [this, order, report](model_worker &target) {
        auto executed = order;
        if (m_options.bound && order.incarnationMs != target.entry.incarnationMs) {
            executed.leaseEndMs.reset();
            executed.lastStoredEnd = 0;
        }
        *report = target.renewLease(executed, now(), m_options.stopping);
    };
    sent->reply = [this, received, report] {
        received(*report, m_options.randomTimes ? randomTime(m_options.renewalInterval)
                                                : m_options.renewalInterval);
    };
    sent->failed = [this, leader, id, renewAfter](bool broken) {
        if (!leader->ended) {
            leader->scheduler->leaseRenewalFailed(id,
                                                  broken ? jobs::renewal_failure::ConnectionBroken
                                                         : jobs::renewal_failure::NoReply,
                                                  now());
        }
        renewAfter(renewalRetryInterval);
    };
    sent->replaced = [received] {
        jobs::worker_report other;
        other.otherIncarnation = true;
        received(other, renewalRetryInterval);
    };
    post(sent);
}

// Workers.

model_order_reply capacity_world::execute(const jobs::start_order &order, model_worker &worker,
                                          time_point sentAt)
{
    const auto name = jobs::task_name::parse(order.task);
    const auto &job = m_jobs.at(name->job);
    const auto &step = job.steps.at(name->step);
    model_run run;
    run.attempt = order.attempt;
    run.demand = step.demand;
    run.endsAt = now() + (m_options.randomTimes ? randomTime(job.runTime) : job.runTime);
    run.outcome = chance(m_options.faults.failure) ? run_outcome::Failed : run_outcome::Done;
    if (step.gang || step.longRunning)
        run.endsAt = time_point::max();
    const bool present = worker.active.contains(order.task);
    const auto before = worker.used();
    const auto reply = worker.start(order, run, now());
    log("start executed " + describe(order.task, order.attempt) + " " + worker.entry.id + " result "
        + std::to_string(static_cast<int>(reply.result)));
    if (reply.result == start_result::Accepted && !present) {
        ++m_starts;
        checkStart(worker, order, before, sentAt);
        checkLimit(order, sentAt);
    }
    return reply;
}

void capacity_world::checkStart(const model_worker &worker, const jobs::start_order &order,
                                const resources &before, time_point sentAt)
{
    auto allowed = worker.entry.capacity;
    for (const auto &[until, capacity] : m_pastCapacities[worker.entry.id]) {
        if (until >= sentAt)
            allowed = greatest(allowed, capacity);
    }
    const auto what = describe(order.task, order.attempt) + " on " + worker.entry.id;
    if (!worker.used().fitsIn(allowed)) {
        fail("capacity: " + what + ", " + std::to_string(before.milliCores) + " of "
             + std::to_string(allowed.milliCores) + " cores and " + std::to_string(before.memoryMib)
             + " of " + std::to_string(allowed.memoryMib) + " MiB taken");
    }
    for (const auto &[id, other] : m_workers) {
        if (other.get() != &worker && other->up && !other->leaseEnded(now())
            && other->active.contains(order.task))
            fail("twice: " + what + ", active on " + id);
        if (other->doneUnderLease(order.task, now()))
            fail("again: " + what + ", done on " + id);
    }
}

resources capacity_world::usedBy(const std::string &workspace) const
{
    resources used;
    for (const auto &[id, worker] : m_workers) {
        if (!worker->up || worker->leaseEnded(now()))
            continue;
        for (const auto &[task, run] : worker->active) {
            if (m_jobs.at(jobs::task_name::parse(task)->job).workspace == workspace)
                used += run.demand;
        }
    }
    return used;
}

// Of the limits that may have been in force when the order was sent the highest counts.
void capacity_world::checkLimit(const jobs::start_order &order, time_point sentAt)
{
    const auto name = jobs::task_name::parse(order.task);
    const auto &job = m_jobs.at(name->job);
    const auto definition =
        std::ranges::find(m_options.workspaces, job.workspace, &jobs::workspace_definition::name);
    if (definition == m_options.workspaces.end())
        return;
    std::vector<resources> inForce {definition->limit};
    for (const auto &[until, past] : m_pastLimits[job.workspace]) {
        if (until >= sentAt)
            inForce.push_back(past);
    }
    const auto used = usedBy(job.workspace);
    const auto &demand = job.steps.at(name->step).demand;
    for (const auto dimension :
         {&resources::milliCores, &resources::memoryMib, &resources::accelerators}) {
        const auto isOver = [&](const resources &limit) {
            const auto bound = limit.*dimension + limit.*dimension / 10 + demand.*dimension;
            return limit.*dimension > 0 && used.*dimension > bound;
        };
        if (std::ranges::all_of(inForce, isOver)) {
            fail("limit: " + describe(order.task, order.attempt) + " brings " + job.workspace
                 + " to " + std::to_string(used.*dimension) + " of "
                 + std::to_string(definition->limit.*dimension));
        }
    }
}

void capacity_world::crash(model_worker &worker, milliseconds downTime, restart_options next)
{
    if (!worker.up || m_replaced.contains(worker.entry.id))
        return;
    log("crash of " + worker.entry.id);
    worker.up = false;
    worker.breaksConnections = next.breaksConnections;
    worker.frozen = false;
    worker.active.clear();
    at(downTime, [this, &worker, next] {
        log("restart of " + worker.entry.id + (next.sameId ? " with its id" : " with another id"));
        if (next.sameId) {
            worker.restart(nextClock(worker, next.clockStep), now());
        } else {
            const auto id = worker.entry.id + "+";
            m_workers.emplace(id, std::make_unique<model_worker>(id, worker.entry.address,
                                                                 worker.entry.capacity,
                                                                 nextClock(worker, {}), now()));
            m_replaced.insert(worker.entry.id);
        }
        listWorkers();
    });
}

void capacity_world::shrink(model_worker &worker, resources capacity)
{
    auto &past = m_pastCapacities[worker.entry.id];
    std::erase_if(past, [this](const auto &entry) {
        return entry.first + orderTimeout + lateExecution + longestLateness < now();
    });
    past.emplace_back(now(), worker.entry.capacity);
    worker.entry.capacity = capacity;
    log("capacity of " + worker.entry.id + " " + std::to_string(capacity.milliCores));
    listWorkers();
}

// Ends gangs: done together, broken with a member, or alone.
void capacity_world::advanceGangs()
{
    struct group
    {
        std::vector<std::pair<model_worker *, std::string>> members;
    };
    std::map<std::pair<std::string, std::uint32_t>, group> groups;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[task, run] : worker->active) {
            const auto name = jobs::task_name::parse(task);
            if (m_jobs.at(name->job).steps[name->step].gang)
                groups[{task.substr(0, task.rfind('.')), run.attempt}].members.emplace_back(
                    worker.get(), task);
        }
    }
    for (const auto &[key, found] : groups) {
        const auto name = jobs::task_name::parse(found.members.front().second);
        const auto &job = m_jobs.at(name->job);
        auto &state = m_gangs[key];
        const auto endMembers = [&](run_outcome outcome, milliseconds within) {
            state.ending = true;
            for (const auto &[worker, task] : found.members) {
                auto &run = worker->active.at(task);
                run.stoppedAt.reset();
                run.outcome = outcome;
                run.endsAt = now() + randomTime(within);
            }
        };
        if (state.ending)
            continue;
        const bool complete = found.members.size() == job.steps[name->step].tasks;
        if (state.since == time_point {})
            state.since = now();
        if (state.endsAt == time_point {}) {
            if (complete)
                state.endsAt =
                    now() + (m_options.randomTimes ? randomTime(job.runTime) : job.runTime);
            else if (now() - state.since > gangWait)
                endMembers(run_outcome::GangIncomplete, milliseconds(0));
        } else if (!complete) {
            endMembers(run_outcome::GangMemberEnded, milliseconds(0));
        } else if (state.endsAt <= now()) {
            const bool failed = chance(m_options.faults.failure);
            endMembers(failed ? run_outcome::Failed : run_outcome::Done, m_options.gangEndSkew);
        }
    }
    std::erase_if(m_gangs, [&](const auto &entry) { return !groups.contains(entry.first); });
}

void capacity_world::endGang(const std::string &step, run_outcome outcome, milliseconds later)
{
    for (const auto &[id, worker] : m_workers) {
        for (auto &[task, run] : worker->active) {
            if (!task.starts_with(step))
                continue;
            auto &state = m_gangs[{task.substr(0, task.rfind('.')), run.attempt}];
            run.outcome = outcome;
            run.endsAt = std::exchange(state.ending, true) ? now() + later : now();
        }
    }
}

// Jobs.

void capacity_world::submit(const std::string &id, std::vector<jobs::step_definition> steps,
                            milliseconds runTime, const std::string &workspace)
{
    m_jobs[id] = {steps, runTime, workspace};
    jobs::job_definition job;
    job.id = id;
    job.queue = "queue";
    job.workspace = workspace;
    job.payload = "payload";
    job.steps = std::move(steps);
    m_leader->scheduler->submit(std::move(job), now(), wallAt(m_elapsed));
}

void capacity_world::cancel(const std::string &id)
{
    log("cancel " + id);
    m_leader->scheduler->cancel(id, now());
}

void capacity_world::submitRandom()
{
    if (m_definitions.size() >= maxLiveJobs)
        return;
    const auto lasting = std::ranges::count_if(m_definitions, [this](const auto &entry) {
        return m_jobs.at(entry.first).steps.front().longRunning;
    });
    std::vector<jobs::step_definition> steps(1 + m_random() % 2);
    const bool lasts =
        chance(m_options.faults.lasting) && static_cast<std::size_t>(lasting) < maxLastingJobs;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        steps[i].demand = demands[m_random() % demands.size()];
        steps[i].tasks = static_cast<std::uint32_t>(1 + m_random() % 6);
        steps[i].estimate = milliseconds(300);
        if (i > 0)
            steps[i].after = {0};
        steps[i].longRunning = lasts;
        if (!lasts && chance(m_options.faults.gang)) {
            steps[i].gang = true;
            steps[i].tasks = static_cast<std::uint32_t>(2 + m_random() % 3);
        }
    }
    if (lasts)
        steps.resize(1);
    const milliseconds runTime(50 + m_random() % 1500);
    const auto workspace =
        m_options.workspaces.empty()
            ? std::string()
            : m_options.workspaces[m_random() % m_options.workspaces.size()].name;
    submit(hexId(m_nextJob++), std::move(steps), runTime, workspace);
}

// The clock.

void capacity_world::randomEvents()
{
    const auto &faults = m_options.faults;
    if (!m_leader->ended && chance(faults.submit))
        submitRandom();
    if (!m_leader->ended && !m_definitions.empty() && chance(faults.cancel)) {
        auto it = m_definitions.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random() % m_definitions.size()));
        cancel(it->first);
    }
    if (chance(faults.changeLimit)) {
        const auto &changed = m_options.workspaces[m_random() % m_options.workspaces.size()];
        changeLimit(changed.name, limits[m_random() % limits.size()]);
    }
    if (chance(faults.resign))
        resign(randomTime(milliseconds(100)));
    if (chance(faults.kill))
        kill(randomTime(longestGap));
    const auto any = [this]() -> model_worker & {
        auto it = m_workers.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random() % m_workers.size()));
        return *it->second;
    };
    if (chance(faults.crash))
        crash(any(), randomTime(longestDownTime), {.sameId = m_random() % 2 == 0});
    if (chance(faults.restartAndCut)) {
        auto &restarted = any();
        const auto downTime = randomTime(longestRestart);
        crash(restarted, downTime, {.breaksConnections = m_random() % 4 == 0});
        at(downTime + randomTime(longestWaitForCut),
           [this, &restarted] { cut(restarted.entry.id, randomTime(longestSplit)); });
    }
    if (chance(faults.unsent))
        holdOrders(any().entry.id, randomTime(longestOrderHold));
    if (chance(faults.cut))
        cut(any().entry.id, randomTime(longestFreeze));
    if (chance(faults.split))
        splitOff(any().entry.id, randomTime(longestGap), randomTime(longestSplit));
    if (chance(faults.freeze)) {
        auto &frozen = any();
        if (frozen.up && !frozen.frozen) {
            frozen.frozen = true;
            log("freeze of " + frozen.entry.id);
            at(randomTime(longestFreeze), [this, &frozen] {
                frozen.frozen = false;
                frozen.advance(now());
            });
        }
    }
    if (chance(faults.shrink)) {
        auto &shrunk = any();
        if (shrunk.entry.capacity == fullCapacity) {
            shrink(shrunk, {8'000, 20'000, 0});
            at(randomTime(longestShrink), [this, &shrunk] { shrink(shrunk, fullCapacity); });
        }
    }
}

void capacity_world::step()
{
    m_elapsed += stepTime;
    for (const auto &[id, worker] : m_workers)
        worker->advance(now());
    while (!m_actions.empty() && m_actions.begin()->first.first <= now()) {
        const auto action = std::move(m_actions.begin()->second);
        m_actions.erase(m_actions.begin());
        action();
    }
    advanceGangs();
    randomEvents();
    plan();
}

void capacity_world::advance(milliseconds span)
{
    const auto until = now() + span;
    while (now() < until && m_violation.empty())
        step();
}

std::string capacity_world::drain(milliseconds span)
{
    m_options.faults = {};
    // An accepted gang that is larger than a lowered limit waits until the limit is raised.
    for (auto &workspace : std::vector(m_options.workspaces)) {
        if (workspace.limit != resources {})
            changeLimit(workspace.name, {fullCapacity.milliCores * m_options.workers, 0, 0});
    }
    advance(longestGap + longestSplit);
    for (const auto &[id, definition] : std::map(m_definitions)) {
        if (m_jobs.at(id).steps.front().longRunning && !m_leader->ended)
            cancel(id);
    }
    const auto until = now() + span;
    const auto charged = [this] {
        return std::ranges::any_of(m_leader->scheduler->accounts().all(), [](const auto &entry) {
            return entry.second.used != resources {};
        });
    };
    while (now() < until && (!m_definitions.empty() || charged()))
        step();
    std::string left;
    for (const auto &[id, definition] : m_definitions) {
        left += " " + id;
        for (const auto &line : m_leader->scheduler->explain(id, now()))
            left += " (" + line + ")";
    }
    for (const auto &[name, account] : m_leader->scheduler->accounts().all()) {
        if (account.used != resources {})
            left += " " + name + " charged " + std::to_string(account.used.milliCores);
    }
    return left;
}

} // namespace plantaingap::tests
