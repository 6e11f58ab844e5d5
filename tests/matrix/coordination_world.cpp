#include "matrix/coordination_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t taskCount = 4;
constexpr group_id group {7};
constexpr region_id region {1};
constexpr sim_time tickEvery = 100ms;

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
    limits.renewEvery = 700ms;
    limits.queryEvery = 300ms;
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
        throw broken_invariant {name};
}

} // namespace

coordination_world::coordination_world(std::uint64_t seed)
    : m_network(seed)
    , m_instances(instanceCount)
{
    std::uniform_int_distribution<int> drift(-1, 1);
    for (std::uint32_t index = 0; index < workerCount; ++index) {
        m_workers.push_back({backend::worker_rules(worker_id {index}, 1), -10s, 1, false, {}, {}});
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
    m_network.onPhase([this](step what, phase when, std::uint32_t sender) {
        const bool meant = m_armed && what == m_cell.first.at && when == m_cell.first.when;
        if (!meant || ++m_occurrences != m_cell.first.occurrence)
            return;
        m_reached = true;
        inject(m_cell.first.what, m_instances[sender]);
        if (m_cell.second) {
            m_network.at(m_network.now() + 400ms,
                         [this, sender] { inject(*m_cell.second, m_instances[sender]); });
        }
    });
}

// The platform's list tells of a run that ended, with a lag.
void coordination_world::tellGone(const instance_ref &gone)
{
    m_network.at(m_network.now() + 800ms, [this, gone] { m_gone.insert(gone); });
}

// A new run of the instance: nothing of the former one is kept.
void coordination_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.ref.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.beats = 0;
    self.members = std::make_unique<peer::membership>(self.ref, region, membershipLimits());
    self.ownership = std::make_unique<peer::group_ownership>(self.ref, ownershipLimits());
    self.leases = std::make_unique<backend::worker_leases>(leaseLimits());
    self.placed.clear();
    self.ours.clear();
    self.candidates.clear();
    for (std::uint32_t number = 0; number < workerCount; ++number)
        give(self, lease_event(worker_listed {worker_id {number}}));
    scheduleTick(index);
}

void coordination_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].ref.incarnation;
    m_network.at(std::max(m_network.now() + tickEvery, m_instances[index].pausedUntil),
                 [this, index, incarnation] {
                     auto &self = m_instances[index];
                     if (!self.alive || self.ref.incarnation != incarnation)
                         return;
                     // A pause that began meanwhile: the tick comes when it ends.
                     if (self.pausedUntil <= m_network.now())
                         tick(self);
                     scheduleTick(index);
                 });
}

void coordination_world::tick(instance &self)
{
    give(self, membership_event(membership_tick {}));
    auto ranked = peer::rankCandidates(group, self.members->candidates());
    if (ranked != self.candidates) {
        self.candidates = ranked;
        give(self, ownership_event(candidates_changed {std::move(ranked)}));
    }
    give(self, ownership_event(ownership_tick {}));
    if (self.ownership->authority()) {
        for (const auto &gone : m_gone)
            give(self, lease_event(former_stopped {gone}));
    }
    give(self, lease_event(lease_tick {}));
    place(self);
    if (self.beats++ % 3 == 0)
        beat(self);
}

void coordination_world::beat(instance &self)
{
    if (!before(step::Heartbeat, self))
        return;
    heartbeat_received message;
    message.from = self.ref;
    message.region = region;
    message.sequence = self.beats;
    message.stopping = self.stopping;
    message.recentPeers = self.members->recentPeers();
    const epoch acting = self.ownership->authority().value_or(epoch {});
    const time_point askedAt = localTime(self);
    const auto generation = self.ownership->row() ? self.ownership->row()->generation : 0;
    for (auto &peer : m_instances) {
        if (peer.index == self.index)
            continue;
        const auto to = peer.index;
        const auto from = self.index;
        m_network.call(
            step::Heartbeat, self.index,
            [this, from, to, message, acting, askedAt, generation]() -> network::answer {
                auto &receiver = m_instances[to];
                const auto &sender = m_instances[from];
                const bool cut = receiver.cutFromPeers || sender.cutFromPeers;
                if (cut || !receiver.alive || receiver.pausedUntil > m_network.now())
                    return {};
                give(receiver, membership_event(message));
                give(receiver, ownership_event(epoch_received {acting}));
                const epoch acted = receiver.ownership->highestActedEpoch();
                const epoch heard = receiver.ownership->highestEpoch();
                const bool idle = !receiver.ownership->authority();
                const instance_ref ref = receiver.ref;
                return answerTo(sender, [=, this](instance &asker) {
                    give(asker, ownership_event(epoch_received {acted}));
                    const auto authority = asker.ownership->authority();
                    if (authority && idle && heard >= *authority)
                        give(asker, lease_event(former_stopped {ref}));
                    if (acted < epoch {generation, 1})
                        give(asker, ownership_event(successor_idle {ref, generation, askedAt}));
                });
            },
            {});
    }
}

// Each owner keeps every task running that its group should run.
void coordination_world::place(instance &self)
{
    if (!self.ownership->authority())
        return;
    for (std::uint32_t index = 0; index < taskCount; ++index) {
        if (self.placed.contains(index))
            continue;
        // Ready or not: it is the machine that must refuse.
        const worker_id chosen {(index + self.attempts) % workerCount};
        const auto attempt = static_cast<std::uint32_t>(
            (self.ownership->authority()->generation * 4 + self.index) * 1000 + ++self.attempts
            + 100'000 * self.ref.incarnation);
        const auto origin =
            self.ours.contains(index) ? task_origin::Accepted : task_origin::Inherited;
        self.placed[index] = chosen;
        give(self, lease_event(start_requested {chosen, {job_id {1}, index, attempt}, origin}));
    }
}

bool coordination_world::before(step what, instance &self)
{
    const auto &hook = m_cell.first;
    if (m_armed && hook.at == what && hook.when == phase::BeforeSend
        && ++m_occurrences == hook.occurrence) {
        m_reached = true;
        inject(hook.what, self);
        if (m_cell.second) {
            const auto sender = self.index;
            m_network.at(m_network.now() + 400ms,
                         [this, sender] { inject(*m_cell.second, m_instances[sender]); });
        }
    }
    // A paused sender still sends what it was about to send, when it comes back.
    return self.alive;
}

void coordination_world::give(instance &self, const membership_event &event)
{
    std::vector<membership_action> actions;
    self.members->step(event, localTime(self), actions);
}

void coordination_world::give(instance &self, const ownership_event &event)
{
    std::vector<ownership_action> actions;
    self.ownership->step(event, localTime(self), actions);
    carryOut(self, actions);
}

void coordination_world::give(instance &self, const lease_event &event)
{
    std::vector<lease_action> actions;
    self.leases->step(event, localTime(self), actions);
    carryOut(self, actions);
}

void coordination_world::carryOut(instance &self, const std::vector<ownership_action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *gained = std::get_if<authority_gained>(&action)) {
            self.placed.clear();
            self.ours.clear();
            checkGained(self, gained->authority);
            give(self, lease_event(*gained));
        } else if (const auto *confirmed = std::get_if<authority_confirmed>(&action)) {
            give(self, lease_event(*confirmed));
        } else if (std::holds_alternative<authority_lost>(action)) {
            give(self, lease_event(authority_lost {}));
        } else if (std::holds_alternative<read_row>(action)) {
            readRow(self);
        } else if (const auto *write = std::get_if<write_row>(&action)) {
            writeRow(self, write->row);
        }
    }
}

void coordination_world::carryOut(instance &self, const std::vector<lease_action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<send_order>(&action)) {
            sendOrder(self, send->order);
        } else if (const auto *ready = std::get_if<worker_ready>(&action)) {
            for (const auto &task : ready->running)
                self.placed[task.index] = ready->worker;
        } else if (const auto *stopped = std::get_if<task_stopped>(&action)) {
            self.placed.erase(stopped->task.index);
            self.ours.insert(stopped->task.index);
        } else if (const auto *refused = std::get_if<start_refused>(&action)) {
            self.placed.erase(refused->task.index);
        } else if (const auto *heard = std::get_if<epoch_received>(&action)) {
            give(self, ownership_event(*heard));
        }
    }
}

network::answer coordination_world::answerTo(const instance &self,
                                             std::function<void(instance &)> act)
{
    const auto index = self.index;
    const auto incarnation = self.ref.incarnation;
    return [this, index, incarnation, act = std::move(act)] {
        auto &receiver = m_instances[index];
        const auto run = [this, index, incarnation, act] {
            auto &later = m_instances[index];
            if (later.alive && later.ref.incarnation == incarnation)
                act(later);
        };
        if (receiver.pausedUntil > m_network.now())
            m_network.at(receiver.pausedUntil, run);
        else
            run();
    };
}

void coordination_world::readRow(instance &self)
{
    if (!before(step::TableRead, self))
        return;
    const time_point sentAt = localTime(self);
    const auto index = self.index;
    m_network.call(
        step::TableRead, index,
        [this, index, sentAt]() -> network::answer {
            if (!storeReachable(m_instances[index]) || m_network.now() < m_storeReplyLostUntil)
                return {};
            return answerTo(m_instances[index], [this, sentAt, row = m_row](instance &asker) {
                give(asker, ownership_event(row_read {sentAt, row}));
            });
        },
        answerTo(self,
                 [this](instance &asker) { give(asker, ownership_event(row_read_failed {})); }));
}

void coordination_world::writeRow(instance &self, const group_row &row)
{
    if (!before(step::TableWrite, self))
        return;
    const auto index = self.index;
    const auto deliver = [this, index, row]() -> network::answer {
        if (!storeReachable(m_instances[index]))
            return {};
        const bool fits = (m_row ? m_row->generation : 0) + 1 == row.generation;
        if (fits)
            m_row = row;
        if (m_network.now() < m_storeReplyLostUntil)
            return {};
        const auto outcome = fits ? write_outcome::Applied : write_outcome::Conflict;
        return answerTo(m_instances[index], [this, row, outcome](instance &asker) {
            give(asker, ownership_event(row_written {row.write, outcome}));
        });
    };
    const auto lost = answerTo(self, [this, row](instance &asker) {
        give(asker, ownership_event(row_written {row.write, write_outcome::Unknown}));
    });
    // A slow table applies the write long after its caller has given up.
    const sim_time slow = m_network.now() < m_storeSlowUntil ? 2500ms : 0ms;
    if (slow == 0ms) {
        m_network.call(step::TableWrite, index, deliver, lost);
        return;
    }
    m_network.at(m_network.now() + slow, [deliver] {
        if (const auto reply = deliver())
            reply();
    });
    m_network.at(m_network.now() + 1s, lost);
}

void coordination_world::sendOrder(instance &self, const worker_order &order)
{
    constexpr std::array kinds = {step::Query, step::Renew, step::Start, step::Stop};
    const step kind = kinds[order.index()];
    if (!before(kind, self))
        return;
    const auto index = self.index;
    const auto send = [this, kind, index, order] {
        m_network.call(kind, index, obey(index, order), {});
    };
    // What was decided before a pause leaves after it, if the pause came in between.
    if (self.pausedUntil > m_network.now())
        m_network.at(self.pausedUntil, send);
    else
        send();
}

network::delivery coordination_world::obey(std::uint32_t sender, const worker_order &order)
{
    const time_point askedAt = localTime(m_instances[sender]);
    return [this, sender, order, askedAt]() -> network::answer {
        const auto id = std::visit([](const auto &typed) { return typed.worker; }, order);
        const auto link = m_cutUntil.find({sender, number(id)});
        const bool cut = link != m_cutUntil.end() && m_network.now() < link->second;
        if (cut || m_instances[sender].cutFromWorkers)
            return {};
        const epoch authority =
            std::visit([](const auto &typed) { return typed.authority; }, order);
        auto &at = m_workers[number(id)];
        at.rules.expire(uptime(at));
        const auto before = at.rules.running();
        auto answer = at.rules.step(order, uptime(at));
        if (answer.code == errc::Ok) {
            require(authority >= at.obeyed, "a worker obeys no lower epoch");
            at.obeyed = std::max(at.obeyed, authority);
        }
        const auto *started = std::get_if<start_order>(&order);
        if (started && !before.contains(started->task)
            && at.rules.running().contains(started->task))
            checkStart(at, *started);
        at.asked.insert(authority);
        if (at.failsAll) {
            const auto running = at.rules.running();
            for (const auto &task : running)
                at.rules.taskEnded(task);
        }
        answer.askedAt = askedAt;
        const auto deaf = m_deafUntil.find({sender, number(id)});
        if (deaf != m_deafUntil.end() && m_network.now() < deaf->second)
            return {};
        return answerTo(m_instances[sender],
                        [this, answer](instance &asker) { give(asker, lease_event(answer)); });
    };
}

void coordination_world::checkStart(worker &at, const start_order &order)
{
    require(++m_starts[order.task] == 1, "an attempt runs once");
    require(at.asked.contains(order.authority), "nothing is placed before the worker answered");
    checkOnePlace();
}

void coordination_world::checkGained(const instance &self, const epoch &authority)
{
    const auto [holder, added] = m_holders.try_emplace(authority, self.ref);
    require(holder->second == self.ref, "an epoch has one holder");
    require(m_row && m_row->generation >= authority.generation, "an epoch stands in the row");
}

void coordination_world::checkOnePlace()
{
    std::map<std::uint32_t, int> places;
    for (auto &at : m_workers) {
        at.rules.expire(uptime(at));
        for (const auto &task : at.rules.running())
            ++places[task.index];
    }
    for (const auto &[index, count] : places)
        require(count <= 1, "no task runs in two places");
}

time_point coordination_world::localTime(const instance &self) const
{
    const auto scaled =
        static_cast<std::int64_t>(static_cast<double>(m_network.now().count()) * self.rate);
    return time_point(self.offset + sim_time(scaled));
}

duration coordination_world::uptime(const worker &at) const
{
    const auto since = static_cast<double>((m_network.now() - at.bootAt).count());
    return duration(static_cast<std::int64_t>(since * at.rate));
}

bool coordination_world::storeReachable(const instance &self) const
{
    return m_network.now() >= m_storeAwayUntil && !self.cutFromStore;
}

void coordination_world::checkEnd()
{
    checkOnePlace();
    std::set<std::uint32_t> running;
    for (const auto &at : m_workers) {
        for (const auto &task : at.rules.running())
            running.insert(task.index);
    }
    const auto owners = std::ranges::count_if(
        m_instances, [](const auto &self) { return self.alive && self.ownership->authority(); });
    require(owners == 1, "after the faults the group has one owner");
    require(running.size() == taskCount, "after the faults every task runs");
}

cell_result coordination_world::finish(sim_time span)
{
    cell_result result;
    invariantHandler = [](const char *name, const char *, int) { throw broken_invariant {name}; };
    try {
        m_network.runUntil(span);
        checkEnd();
    } catch (const broken_invariant &broken) {
        result.broken = broken.name;
    }
    invariantHandler = abortOnInvariant;
    result.reached = m_reached;
    result.steps = m_network.steps();
    return result;
}

} // namespace plantaingap::matrix
