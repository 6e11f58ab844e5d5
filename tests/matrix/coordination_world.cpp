#include "matrix/coordination_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t taskCount = 4;
constexpr group_id group {7};
constexpr region_id region {1};
constexpr sim_time tickInterval = 100ms;

ownership_limits ownershipLimits()
{
    ownership_limits limits;
    limits.readInterval = 400ms;
    limits.takeoverStagger = 300ms;
    limits.storeUnavailableAfter = 1s;
    limits.storeGrace = 6s;
    limits.rebalanceDelay = 3s;
    return limits;
}

lease_limits leaseLimits()
{
    lease_limits limits;
    limits.lease = 3s;
    limits.renewInterval = 700ms;
    limits.queryInterval = 300ms;
    limits.startWindow = 2s;
    limits.storeGrace = 6s;
    limits.driftPpm = 100'000;
    return limits;
}

membership_limits membershipLimits()
{
    membership_limits limits;
    limits.heartbeatInterval = 300ms;
    limits.suspectAfter = 1200ms;
    return limits;
}

void require(bool holds, const char *name)
{
    if (!holds)
        throw invariant_violation {name};
}

} // namespace

coordination_world::coordination_world(std::uint64_t seed)
    : m_network(seed)
    , m_instances(instanceCount)
{
    std::uniform_int_distribution<int> drift(-1, 1);
    for (std::uint32_t index = 0; index < workerCount; ++index) {
        m_workers.push_back(
            {backend::worker_order_handler(worker_id {index}, 1), -10s, 1, false, {}, {}});
        m_workers.back().rate = 1 + driftAtBound * 0.9 * drift(m_network.random());
    }
    for (std::uint32_t index = 0; index < instanceCount; ++index) {
        auto &self = m_instances[index];
        self.index = index;
        self.ref = {instance_id {index}, 0};
        self.rate = 1 + driftAtBound * 0.9 * drift(m_network.random());
        self.offset = 1000s * index;
        start(index);
    }
    m_network.setPhaseHook([this](step reachedStep, phase reachedPhase, std::uint32_t sender) {
        const bool isInjectionPoint =
            m_armed && reachedStep == m_cell.first.atStep && reachedPhase == m_cell.first.atPhase;
        if (!isInjectionPoint || ++m_occurrences != m_cell.first.occurrence)
            return;
        m_reached = true;
        inject(m_cell.first.injectedFault, m_instances[sender]);
        if (m_cell.second) {
            m_network.schedule(m_network.now() + 400ms,
                               [this, sender] { inject(*m_cell.second, m_instances[sender]); });
        }
    });
}

// Makes the platform's list report, after a lag, that an incarnation has ended.
void coordination_world::reportGone(const instance_ref &goneInstance)
{
    m_network.schedule(m_network.now() + 800ms,
                       [this, goneInstance] { m_gone.insert(goneInstance); });
}

// Starts a new incarnation of the instance, which keeps no state of the previous one.
void coordination_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.ref.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.ticks = 0;
    self.members = std::make_unique<peer::membership>(self.ref, region, membershipLimits());
    self.ownership = std::make_unique<peer::group_ownership>(self.ref, ownershipLimits());
    self.leases = std::make_unique<backend::worker_leases>(leaseLimits());
    self.placed.clear();
    self.confirmedTasks.clear();
    self.candidates.clear();
    for (std::uint32_t number = 0; number < workerCount; ++number)
        process(self, lease_event(worker_listed {worker_id {number}}));
    scheduleTick(index);
}

void coordination_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].ref.incarnation;
    m_network.schedule(std::max(m_network.now() + tickInterval, m_instances[index].pausedUntil),
                       [this, index, incarnation] {
                           auto &self = m_instances[index];
                           if (!self.alive || self.ref.incarnation != incarnation)
                               return;
                           // A tick that comes due during a pause is skipped; scheduleTick()
                           // schedules the next one for the end of the pause.
                           if (self.pausedUntil <= m_network.now())
                               tick(self);
                           scheduleTick(index);
                       });
}

void coordination_world::tick(instance &self)
{
    process(self, membership_event(membership_tick {}));
    auto ranked = peer::rankCandidates(group, self.members->candidates());
    if (ranked != self.candidates) {
        self.candidates = ranked;
        process(self, ownership_event(candidates_changed {std::move(ranked)}));
    }
    process(self, ownership_event(ownership_tick {}));
    if (self.ownership->authority()) {
        for (const auto &goneInstance : m_gone)
            process(self, lease_event(previous_owner_stopped {goneInstance}));
    }
    process(self, lease_event(lease_tick {}));
    place(self);
    if (self.ticks++ % 3 == 0)
        sendHeartbeat(self);
}

void coordination_world::sendHeartbeat(instance &self)
{
    if (!beforeSend(step::Heartbeat, self))
        return;
    heartbeat_received message;
    message.from = self.ref;
    message.region = region;
    message.sequence = self.ticks;
    message.stopping = self.stopping;
    message.recentPeers = self.members->recentPeers();
    const epoch actingEpoch = self.ownership->authority().value_or(epoch {});
    const time_point askedAt = localTime(self);
    const auto generation = self.ownership->row() ? self.ownership->row()->generation : 0;
    for (auto &peer : m_instances) {
        if (peer.index == self.index)
            continue;
        const auto to = peer.index;
        const auto from = self.index;
        m_network.call(step::Heartbeat, self.index,
                       [this, from, to, message, actingEpoch, askedAt,
                        generation]() -> network::reply_handler {
                           auto &receiver = m_instances[to];
                           const auto &sender = m_instances[from];
                           const bool cut = receiver.cutFromPeers || sender.cutFromPeers;
                           if (cut || !receiver.alive || receiver.pausedUntil > m_network.now())
                               return {};
                           process(receiver, membership_event(message));
                           process(receiver, ownership_event(epoch_received {actingEpoch}));
                           const epoch acted = receiver.ownership->highestActedEpoch();
                           const epoch received = receiver.ownership->highestEpoch();
                           const bool hasNoAuthority = !receiver.ownership->authority();
                           const instance_ref ref = receiver.ref;
                           return replyTo(sender, [=, this](instance &requester) {
                               process(requester, ownership_event(epoch_received {acted}));
                               const auto authority = requester.ownership->authority();
                               if (authority && hasNoAuthority && received >= *authority)
                                   process(requester, lease_event(previous_owner_stopped {ref}));
                               if (acted < epoch {generation, 1})
                                   process(requester, ownership_event(successor_idle {
                                                          ref, generation, askedAt}));
                           });
                       },
                       {});
    }
}

// An owner requests a start of every task that it does not know to be placed.
void coordination_world::place(instance &self)
{
    if (!self.ownership->authority())
        return;
    for (std::uint32_t index = 0; index < taskCount; ++index) {
        if (self.placed.contains(index))
            continue;
        // The worker may not be ready: the state machine under test must reject the start then.
        const worker_id chosen {(index + self.attempts) % workerCount};
        const auto attempt = static_cast<std::uint32_t>(
            (self.ownership->authority()->generation * 4 + self.index) * 1000 + ++self.attempts
            + 100'000 * self.ref.incarnation);
        const auto origin =
            self.confirmedTasks.contains(index) ? task_origin::Accepted : task_origin::Inherited;
        self.placed[index] = chosen;
        process(self, lease_event(start_requested {chosen, {job_id {1}, index, attempt}, origin}));
    }
}

bool coordination_world::beforeSend(step reachedStep, instance &self)
{
    const auto &hook = m_cell.first;
    if (m_armed && hook.atStep == reachedStep && hook.atPhase == phase::BeforeSend
        && ++m_occurrences == hook.occurrence) {
        m_reached = true;
        inject(hook.injectedFault, self);
        if (m_cell.second) {
            const auto sender = self.index;
            m_network.schedule(m_network.now() + 400ms,
                               [this, sender] { inject(*m_cell.second, m_instances[sender]); });
        }
    }
    // A paused sender still sends a pending message after the pause.
    return self.alive;
}

void coordination_world::process(instance &self, const membership_event &event)
{
    std::vector<membership_action> actions;
    self.members->step(event, localTime(self), actions);
}

void coordination_world::process(instance &self, const ownership_event &event)
{
    std::vector<ownership_action> actions;
    self.ownership->step(event, localTime(self), actions);
    execute(self, actions);
}

void coordination_world::process(instance &self, const lease_event &event)
{
    std::vector<lease_action> actions;
    self.leases->step(event, localTime(self), actions);
    execute(self, actions);
}

void coordination_world::execute(instance &self, const std::vector<ownership_action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *gained = std::get_if<authority_gained>(&action)) {
            self.placed.clear();
            self.confirmedTasks.clear();
            checkGained(self, gained->authority);
            process(self, lease_event(*gained));
        } else if (const auto *confirmed = std::get_if<authority_confirmed>(&action)) {
            process(self, lease_event(*confirmed));
        } else if (std::holds_alternative<authority_lost>(action)) {
            process(self, lease_event(authority_lost {}));
        } else if (std::holds_alternative<read_row>(action)) {
            readRow(self);
        } else if (const auto *write = std::get_if<write_row>(&action)) {
            writeRow(self, write->row);
        }
    }
}

void coordination_world::execute(instance &self, const std::vector<lease_action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<send_order>(&action)) {
            sendOrder(self, send->order);
        } else if (const auto *ready = std::get_if<worker_ready>(&action)) {
            for (const auto &task : ready->running)
                self.placed[task.index] = ready->worker;
        } else if (const auto *stopped = std::get_if<task_stopped>(&action)) {
            self.placed.erase(stopped->task.index);
            self.confirmedTasks.insert(stopped->task.index);
        } else if (const auto *refused = std::get_if<start_refused>(&action)) {
            self.placed.erase(refused->task.index);
        } else if (const auto *received = std::get_if<epoch_received>(&action)) {
            process(self, ownership_event(*received));
        }
    }
}

network::reply_handler coordination_world::replyTo(const instance &self,
                                                   std::function<void(instance &)> action)
{
    const auto index = self.index;
    const auto incarnation = self.ref.incarnation;
    return [this, index, incarnation, action = std::move(action)] {
        auto &receiver = m_instances[index];
        const auto run = [this, index, incarnation, action] {
            auto &later = m_instances[index];
            if (later.alive && later.ref.incarnation == incarnation)
                action(later);
        };
        if (receiver.pausedUntil > m_network.now())
            m_network.schedule(receiver.pausedUntil, run);
        else
            run();
    };
}

void coordination_world::readRow(instance &self)
{
    if (!beforeSend(step::TableRead, self))
        return;
    const time_point sentAt = localTime(self);
    const auto index = self.index;
    m_network.call(
        step::TableRead, index,
        [this, index, sentAt]() -> network::reply_handler {
            if (!storeReachable(m_instances[index]) || m_network.now() < m_storeReplyLostUntil)
                return {};
            return replyTo(m_instances[index], [this, sentAt, row = m_row](instance &requester) {
                process(requester, ownership_event(row_read {sentAt, row}));
            });
        },
        replyTo(self, [this](instance &requester) {
            process(requester, ownership_event(row_read_failed {}));
        }));
}

void coordination_world::writeRow(instance &self, const group_row &row)
{
    if (!beforeSend(step::TableWrite, self))
        return;
    const auto index = self.index;
    const auto deliver = [this, index, row]() -> network::reply_handler {
        if (!storeReachable(m_instances[index]))
            return {};
        const bool versionMatches = (m_row ? m_row->generation : 0) + 1 == row.generation;
        if (versionMatches)
            m_row = row;
        if (m_network.now() < m_storeReplyLostUntil)
            return {};
        const auto outcome = versionMatches ? write_outcome::Applied : write_outcome::Conflict;
        return replyTo(m_instances[index], [this, row, outcome](instance &requester) {
            process(requester, ownership_event(row_written {row.write, outcome}));
        });
    };
    const auto onTimeout = replyTo(self, [this, row](instance &requester) {
        process(requester, ownership_event(row_written {row.write, write_outcome::Unknown}));
    });
    // A slow table applies the write long after the call has timed out.
    const sim_time slow = m_network.now() < m_storeSlowUntil ? 2500ms : 0ms;
    if (slow == 0ms) {
        m_network.call(step::TableWrite, index, deliver, onTimeout);
        return;
    }
    m_network.schedule(m_network.now() + slow, [deliver] {
        if (const auto reply = deliver())
            reply();
    });
    m_network.schedule(m_network.now() + 1s, onTimeout);
}

void coordination_world::sendOrder(instance &self, const worker_order &order)
{
    constexpr std::array kinds = {step::Query, step::Renew, step::Start, step::Stop};
    const step kind = kinds[order.index()];
    if (!beforeSend(kind, self))
        return;
    const auto index = self.index;
    const auto send = [this, kind, index, order] {
        m_network.call(kind, index, executeOrder(index, order), {});
    };
    // If a pause begins between the decision and the send, the order is sent after the pause.
    if (self.pausedUntil > m_network.now())
        m_network.schedule(self.pausedUntil, send);
    else
        send();
}

network::delivery coordination_world::executeOrder(std::uint32_t sender, const worker_order &order)
{
    const time_point askedAt = localTime(m_instances[sender]);
    return [this, sender, order, askedAt]() -> network::reply_handler {
        const auto id = std::visit([](const auto &typed) { return typed.worker; }, order);
        const auto link = m_cutUntil.find({sender, number(id)});
        const bool cut = link != m_cutUntil.end() && m_network.now() < link->second;
        if (cut || m_instances[sender].cutFromWorkers)
            return {};
        const epoch authority =
            std::visit([](const auto &typed) { return typed.authority; }, order);
        auto &simWorker = m_workers[number(id)];
        simWorker.rules.expire(uptime(simWorker));
        const auto before = simWorker.rules.running();
        auto answer = simWorker.rules.step(order, uptime(simWorker));
        if (answer.code == errc::Ok) {
            require(authority >= simWorker.highestAcceptedEpoch,
                    "a worker executes no order of a lower epoch");
            simWorker.highestAcceptedEpoch = std::max(simWorker.highestAcceptedEpoch, authority);
        }
        const auto *started = std::get_if<start_order>(&order);
        if (started && !before.contains(started->task)
            && simWorker.rules.running().contains(started->task))
            checkStart(simWorker, *started);
        simWorker.receivedEpochs.insert(authority);
        if (simWorker.failsAll) {
            const auto running = simWorker.rules.running();
            for (const auto &task : running)
                simWorker.rules.taskEnded(task);
        }
        answer.askedAt = askedAt;
        const auto lossyLink = m_repliesLostUntil.find({sender, number(id)});
        if (lossyLink != m_repliesLostUntil.end() && m_network.now() < lossyLink->second)
            return {};
        return replyTo(m_instances[sender], [this, answer](instance &requester) {
            process(requester, lease_event(answer));
        });
    };
}

void coordination_world::checkStart(worker &simWorker, const start_order &order)
{
    require(++m_starts[order.task] == 1, "an attempt runs once");
    require(simWorker.receivedEpochs.contains(order.authority),
            "no task starts before the worker replied under the epoch");
    checkNoDuplicateRuns();
}

void coordination_world::checkGained(const instance &self, const epoch &authority)
{
    const auto [holder, added] = m_epochHolders.try_emplace(authority, self.ref);
    require(holder->second == self.ref, "an epoch has one holder");
    require(m_row && m_row->generation >= authority.generation,
            "the row has reached the generation of an epoch");
}

void coordination_world::checkNoDuplicateRuns()
{
    std::map<std::uint32_t, int> places;
    for (auto &simWorker : m_workers) {
        simWorker.rules.expire(uptime(simWorker));
        for (const auto &task : simWorker.rules.running())
            ++places[task.index];
    }
    for (const auto &[index, count] : places)
        require(count <= 1, "no task runs on two workers");
}

time_point coordination_world::localTime(const instance &self) const
{
    const auto scaled =
        static_cast<std::int64_t>(static_cast<double>(m_network.now().count()) * self.rate);
    return time_point(self.offset + sim_time(scaled));
}

duration coordination_world::uptime(const worker &simWorker) const
{
    const auto since = static_cast<double>((m_network.now() - simWorker.bootAt).count());
    return duration(static_cast<std::int64_t>(since * simWorker.rate));
}

bool coordination_world::storeReachable(const instance &self) const
{
    return m_network.now() >= m_storeUnavailableUntil && !self.cutFromStore;
}

void coordination_world::checkEnd()
{
    checkNoDuplicateRuns();
    std::set<std::uint32_t> running;
    for (const auto &simWorker : m_workers) {
        for (const auto &task : simWorker.rules.running())
            running.insert(task.index);
    }
    const auto owners = std::ranges::count_if(
        m_instances, [](const auto &self) { return self.alive && self.ownership->authority(); });
    require(owners == 1, "the group has one owner after the faults");
    require(running.size() == taskCount, "every task runs after the faults");
}

cell_result coordination_world::finish(sim_time span)
{
    cell_result result;
    invariantHandler = [](const char *name, const char *, int) {
        throw invariant_violation {name};
    };
    try {
        m_network.runUntil(span);
        checkEnd();
    } catch (const invariant_violation &broken) {
        result.violatedInvariant = broken.name;
    }
    invariantHandler = abortOnInvariant;
    result.reached = m_reached;
    result.steps = m_network.steps();
    return result;
}

} // namespace plantaingap::matrix
