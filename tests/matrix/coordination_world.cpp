#include "matrix/coordination_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 3;
constexpr std::uint32_t workerCount = 3;
constexpr std::uint32_t taskCount = 4;
constexpr group_id group {7};
constexpr region_id region {1};
constexpr double driftAtBound = 0.1;
constexpr sim_time tickEvery = 100ms;
constexpr sim_time faultsFrom = 6s;
constexpr sim_time faultsUntil = 16s;
constexpr sim_time cellEnd = 52s;

ownership_limits ownershipLimits()
{
    ownership_limits limits;
    limits.readEvery = 400ms;
    limits.stagger = 300ms;
    limits.storeAwayAfter = 1s;
    limits.storeGrace = 6s;
    limits.balanceAfter = 3s;
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
    limits.heartbeatEvery = 300ms;
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
    heartbeat_heard message;
    message.from = self.ref;
    message.region = region;
    message.sequence = self.beats;
    message.stopping = self.ownership && self.failed;
    message.heard = self.members->heard();
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
                give(receiver, ownership_event(epoch_heard {acting}));
                const epoch acted = receiver.ownership->acted();
                const epoch heard = receiver.ownership->heard();
                const bool idle = !receiver.ownership->authority();
                const instance_ref ref = receiver.ref;
                return answerTo(sender, [=, this](instance &asker) {
                    give(asker, ownership_event(epoch_heard {acted}));
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
        } else if (const auto *heard = std::get_if<epoch_heard>(&action)) {
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
    const auto incarnation = self.ref.incarnation;
    const auto send = [this, kind, index, incarnation, order] {
        m_network.call(kind, index, obey(index, order), {});
        (void)incarnation;
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

void coordination_world::heal(sim_time when, std::function<void()> run)
{
    m_network.at(when, std::move(run));
}

void coordination_world::cancelAll()
{
    for (auto &self : m_instances) {
        if (!self.alive || !self.ownership->authority() || self.pausedUntil > m_network.now())
            continue;
        for (const auto &at : m_workers) {
            const auto running = at.rules.running();
            for (const auto &task : running)
                give(self, lease_event(stop_requested {task}));
        }
    }
}

void coordination_world::inject(fault what, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    const auto cut = [&](bool instance::*link, sim_time span) {
        victim.*link = true;
        heal(now + span, [this, index, link] { m_instances[index].*link = false; });
    };
    switch (what) {
    case fault::Crash:
        if (!victim.alive)
            return;
        victim.alive = false;
        tellGone(victim.ref);
        heal(now + 2500ms, [this, index] { start(index); });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 4500ms;
        return;
    case fault::PausePastGrace:
        victim.pausedUntil = now + 9s;
        return;
    case fault::StoreAway:
        m_storeAwayUntil = now + 9s;
        return;
    case fault::StoreReplyLost:
        m_storeReplyLostUntil = now + 1500ms;
        return;
    case fault::StoreSlow:
        m_storeSlowUntil = now + 5s;
        return;
    case fault::CutFromPeers:
        return cut(&instance::cutFromPeers, 8s);
    case fault::CutFromWorkers:
        return cut(&instance::cutFromWorkers, 8s);
    case fault::CutFromOneWorker:
        m_cutUntil[{index, index % workerCount}] = now + 14s;
        return;
    case fault::CutFromStore:
        return cut(&instance::cutFromStore, 11s);
    case fault::Rival:
        // The others believe the sender gone, and the table is away: its successors act at once.
        m_storeAwayUntil = now + 4s;
        for (auto &other : m_instances) {
            const auto which = other.index;
            other.cutFromPeers = true;
            heal(now + 5s, [this, which] { m_instances[which].cutFromPeers = false; });
        }
        return;
    case fault::ClockAtBound:
        // Rates change from here on would move clocks back; they are set at the start of the cell.
        return;
    case fault::WorkerFailsAll:
        m_workers[0].failsAll = true;
        heal(now + 3s, [this] { m_workers[0].failsAll = false; });
        return;
    case fault::CancellationWave:
        cancelAll();
        return;
    case fault::WorkerRestart:
        restartWorker(index % workerCount);
        return;
    default:
        m_network.disturb(what);
    }
}

// The owner reaches worker 0 and nothing else; the others reach everything but worker 0.
void coordination_world::isolate(instance &self, sim_time span)
{
    const auto until = m_network.now() + span;
    const auto index = self.index;
    self.cutFromPeers = true;
    self.cutFromStore = true;
    heal(until, [this, index] {
        m_instances[index].cutFromPeers = false;
        m_instances[index].cutFromStore = false;
    });
    for (const auto &other : m_instances) {
        for (std::uint32_t at = 0; at < workerCount; ++at) {
            if ((at == 0) != (other.index == index))
                m_cutUntil[{other.index, at}] = until;
        }
    }
}

// The first successor, without the store, reaches worker 0 alone; the owner, with the store, all
// but that one; the third instance nothing.
void coordination_world::splitBySuccessor(instance &owner)
{
    const auto until = m_network.now() + 14s;
    const auto successor = number(m_row->successors.front().instance);
    for (auto &other : m_instances) {
        const auto index = other.index;
        other.cutFromPeers = true;
        other.cutFromStore = index != owner.index;
        heal(until, [this, index] {
            m_instances[index].cutFromPeers = false;
            m_instances[index].cutFromStore = false;
        });
        for (std::uint32_t at = 0; at < workerCount; ++at) {
            const bool reached = index == owner.index ? at != 0 : index == successor && at == 0;
            if (!reached)
                m_cutUntil[{index, at}] = until;
        }
    }
}

// The owner is cut off while another takes over and moves what ran on worker 0; then worker 0
// restarts, and the former owner is the first to find it.
void coordination_world::forgetEpoch(instance &owner)
{
    const auto from = m_network.now();
    const auto index = owner.index;
    isolate(owner, 12s);
    m_cutUntil[{index, 0}] = from + 3500ms;
    for (const auto &other : m_instances) {
        if (other.index != index)
            m_cutUntil.erase({other.index, 0});
    }
    m_network.at(from + 2400ms, [this, index] {
        auto &at = m_workers[0];
        const auto running = at.rules.running();
        for (const auto &task : running)
            at.rules.taskEnded(task);
        at.failsAll = true;
    });
    m_network.at(from + 3450ms, [this, index] {
        restartWorker(0);
        m_workers[0].failsAll = false;
        for (const auto &other : m_instances) {
            if (other.index != index)
                m_cutUntil[{other.index, 0}] = m_network.now() + 4s;
        }
    });
}

void coordination_world::restartWorker(std::uint32_t index)
{
    auto &at = m_workers[index];
    at.rules = backend::worker_rules(worker_id {index}, at.rules.boot() + 1);
    at.bootAt = m_network.now();
    at.asked.clear();
    at.obeyed = {};
}

void coordination_world::startScenario(const std::string &scenario)
{
    const auto owner = [this]() -> instance * {
        for (auto &self : m_instances) {
            if (self.alive && self.ownership->authority())
                return &self;
        }
        return nullptr;
    };
    const auto onOwner = [this, owner](auto act) {
        m_network.at(faultsFrom, [owner, act] {
            if (auto *self = owner())
                act(*self);
        });
    };
    if (scenario == "takeover after a kill")
        onOwner([this](instance &self) { inject(fault::Crash, self); });
    else if (scenario == "takeover after a pause")
        onOwner([this](instance &self) { inject(fault::PausePastLease, self); });
    else if (scenario == "planned handover")
        onOwner([this](instance &self) {
            self.members->stop();
            self.failed = true;
            give(self, ownership_event(handover_requested {}));
        });
    else if (scenario == "takeover with the store away")
        onOwner([this](instance &self) {
            inject(fault::StoreAway, self);
            inject(fault::Crash, self);
        });
    else if (scenario == "owner cut off from the rest")
        onOwner([this](instance &self) {
            inject(fault::CutFromPeers, self);
            inject(fault::CutFromStore, self);
        });
    else if (scenario == "a worker reached by the former owner alone")
        onOwner([this](instance &self) { isolate(self, 22s); });
    else if (scenario == "a dead owner's worker cannot be reached")
        onOwner([this](instance &self) {
            for (const auto &other : m_instances)
                m_cutUntil[{other.index, 0}] = m_network.now() + 20s;
            inject(fault::Crash, self);
        });
    else if (scenario == "a worker falls silent")
        onOwner([this](instance &self) { m_cutUntil[{self.index, 0}] = m_network.now() + 14s; });
    else if (scenario == "a worker's answers are lost")
        onOwner([this](instance &self) { m_deafUntil[{self.index, 0}] = m_network.now() + 14s; });
    else if (scenario == "a successor holds one worker")
        onOwner([this](instance &self) { splitBySuccessor(self); });
    else if (scenario == "a worker forgets its epoch")
        onOwner([this](instance &self) { forgetEpoch(self); });
    else if (scenario == "cancellations")
        m_network.at(faultsFrom, [this] { cancelAll(); });
}

void coordination_world::arm(const cell &what)
{
    m_cell = what;
    const bool atBound =
        what.first.what == fault::ClockAtBound || what.second == fault::ClockAtBound;
    if (atBound) {
        for (auto &self : m_instances)
            self.rate = 1 + driftAtBound;
        for (auto &at : m_workers)
            at.rate = 1 - driftAtBound;
    }
    const sim_time from = what.scenario == "first claim" ? 0s : faultsFrom;
    m_network.at(from, [this] { m_armed = true; });
    m_network.at(faultsUntil, [this] { m_armed = false; });
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

cell_result coordination_world::run(const cell &what)
{
    arm(what);
    startScenario(what.scenario);
    return finish(cellEnd);
}

cell_result coordination_world::runRandom(sim_time span)
{
    constexpr std::array faults = {
        fault::Crash,        fault::PausePastLease, fault::PausePastGrace,
        fault::StoreAway,    fault::StoreReplyLost, fault::StoreSlow,
        fault::CutFromPeers, fault::CutFromWorkers, fault::CutFromStore,
        fault::Rival,        fault::WorkerFailsAll, fault::CancellationWave,
        fault::WorkerRestart};
    auto &random = m_network.random();
    std::uniform_int_distribution<std::size_t> what(0, faults.size() - 1);
    std::uniform_int_distribution<std::uint32_t> who(0, instanceCount - 1);
    std::uniform_int_distribution<std::int64_t> wait(100, 5000);
    for (sim_time when = 5s; when < span - 40s; when += std::chrono::milliseconds(wait(random))) {
        const fault drawn = faults[what(random)];
        const auto victim = who(random);
        m_network.at(when, [this, drawn, victim] { inject(drawn, m_instances[victim]); });
    }
    std::uniform_int_distribution<int> message(0, 30);
    m_network.onPhase([this, message, span](step, phase, std::uint32_t) mutable {
        constexpr std::array disturbances = {fault::Lost, fault::Duplicated, fault::Delayed,
                                             fault::Reordered};
        const auto drawn = static_cast<std::size_t>(message(m_network.random()));
        if (drawn < disturbances.size() && m_network.now() < span - 40s)
            m_network.disturb(disturbances[drawn]);
    });
    return finish(span);
}

} // namespace plantaingap::matrix
