#include "matrix/store_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 2;
constexpr sim_time faultsFrom = 2s;
constexpr sim_time faultsUntil = 8s;
constexpr sim_time cellEnd = 30s;
constexpr double callsPerSecond = 15;
constexpr double burst = 5;

void require(bool holds, const char *name)
{
    if (!holds)
        throw broken_invariant {name};
}

} // namespace

store_world::store_world(std::uint64_t seed)
    : m_network(seed)
    , m_instances(instanceCount)
{
    for (std::uint32_t index = 0; index < instanceCount; ++index) {
        m_instances[index].index = index;
        start(index);
    }
    m_network.onPhase(
        [this](step what, phase when, std::uint32_t sender) { meet(what, when, sender); });
}

void store_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.keys.clear();
    self.reads.clear();
    store_limits limits;
    limits.callsPerSecond = callsPerSecond;
    limits.burst = burst;
    limits.gather = 5ms;
    limits.batch = 4;
    limits.longestRetry = 1s;
    self.client = std::make_unique<platform::store_client>(limits, m_network.random()());
    scheduleTick(index);
}

void store_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].incarnation;
    m_network.at(std::max(m_network.now() + 20ms, m_instances[index].pausedUntil),
                 [this, index, incarnation] {
                     auto &self = m_instances[index];
                     if (!self.alive || self.incarnation != incarnation)
                         return;
                     if (self.pausedUntil <= m_network.now())
                         give(self, store_tick {});
                     scheduleTick(index);
                 });
}

void store_world::give(instance &self, const store_event &event)
{
    std::vector<store_action> actions;
    self.client->step(event, localTime(), actions);
    for (const auto &action : actions) {
        if (const auto *batch = std::get_if<send_commit>(&action)) {
            commit(self, *batch);
        } else if (const auto *wanted = std::get_if<send_read>(&action)) {
            read(self, *wanted);
        } else if (const auto *ended = std::get_if<write_ended>(&action)) {
            told(self, *ended);
        } else if (const auto *answer = std::get_if<read_told>(&action)) {
            const auto key = "key " + std::to_string(answer->ticket % 1000);
            const bool old =
                m_writtenAt.contains(key) && m_writtenAt[key] < self.reads[answer->ticket];
            require(answer->outcome != errc::Ok || answer->holder || !old,
                    "a read shows what was written before it was asked for");
        }
    }
}

network::answer store_world::at(const instance &self, std::function<void(instance &)> act)
{
    return [this, index = self.index, incarnation = self.incarnation, act = std::move(act)] {
        const auto run = [this, index, incarnation, act] {
            auto &later = m_instances[index];
            if (later.alive && later.incarnation == incarnation)
                act(later);
        };
        if (m_instances[index].pausedUntil > m_network.now())
            m_network.at(m_instances[index].pausedUntil, run);
        else
            run();
    };
}

void store_world::countCall(const instance &self)
{
    auto &calls = m_calls[self.index];
    calls.push_back(m_network.now());
    const auto recent =
        std::ranges::count_if(calls, [this](sim_time when) { return when > m_network.now() - 1s; });
    // A restart begins with a full burst.
    require(static_cast<double>(recent) <= callsPerSecond + 2 * burst + 1,
            "calls stay within the budget");
}

void store_world::commit(instance &self, const send_commit &batch)
{
    meet(step::Commit, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    countCall(self);
    const auto deliver = [this, index = self.index, batch]() -> network::answer {
        if (!reachable(m_instances[index]))
            return {};
        commit_ended ended {batch.batch, {}, true};
        for (const auto &write : batch.writes) {
            const bool inserted = m_table.try_emplace(write.key, write.write).second;
            if (inserted)
                m_writtenAt[write.key] = m_network.now();
            ended.outcomes.push_back(inserted ? write_outcome::Applied : write_outcome::Conflict);
        }
        if (m_network.now() < m_replyLostUntil)
            return {};
        return at(m_instances[index], [this, ended](instance &later) { give(later, ended); });
    };
    const auto lost = at(self, [this, id = batch.batch](instance &later) {
        give(later, commit_ended {id, {}, true});
    });
    if (m_network.now() >= m_slowUntil) {
        m_network.call(step::Commit, self.index, deliver, lost);
        return;
    }
    // The table applies the commit long after its caller has given up.
    m_network.at(m_network.now() + 10s, [deliver] {
        if (const auto reply = deliver())
            reply();
    });
    m_network.at(m_network.now() + 1s, lost);
}

void store_world::read(instance &self, const send_read &wanted)
{
    meet(step::ReadBack, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    countCall(self);
    m_network.call(
        step::ReadBack, self.index,
        [this, index = self.index, wanted]() -> network::answer {
            if (!reachable(m_instances[index]) || m_network.now() < m_replyLostUntil)
                return {};
            read_ended ended {wanted.call, true, {}};
            const auto found = m_table.find(wanted.key);
            if (found != m_table.end())
                ended.holder = found->second;
            return at(m_instances[index], [this, ended](instance &later) { give(later, ended); });
        },
        at(self, [this, call = wanted.call](instance &later) {
            give(later, read_ended {call, false, {}});
        }));
}

void store_world::request(std::uint32_t index, const std::string &key)
{
    auto &self = m_instances[index];
    if (!self.alive || self.pausedUntil > m_network.now())
        return;
    const write_id write {{instance_id {index}, self.incarnation}, ++self.writes};
    self.keys[write] = key;
    m_asked[write] = key;
    give(self, store_write_requested {key, write, localTime() + 2s});
}

void store_world::ask(std::uint32_t index, const std::string &key)
{
    auto &self = m_instances[index];
    if (!self.alive || self.pausedUntil > m_network.now())
        return;
    const auto ticket = ++m_tickets * 1000 + std::stoull(key.substr(4));
    self.reads[ticket] = m_network.now();
    give(self, store_read_requested {ticket, key, localTime() + 2s});
}

void store_world::told(instance &self, const write_ended &ended)
{
    require(!m_told.contains(ended.write), "each write is told once");
    m_told[ended.write] = ended.outcome;
    // Only a durable key lets the request go.
    if (ended.outcome == errc::Ok)
        sendToWorker(self, self.keys[ended.write]);
}

void store_world::sendToWorker(instance &self, const std::string &key)
{
    meet(step::RequestSend, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    // The connection carries a request once: a doubled delivery is the worker's to pass over.
    auto seen = std::make_shared<bool>(false);
    m_network.call(step::RequestSend, self.index,
                   [this, key, seen]() -> network::answer {
                       if (!*seen)
                           ++m_runs[key];
                       *seen = true;
                       require(m_runs[key] <= 1,
                               "a request that is not idempotent runs at most once");
                       return [] {};
                   },
                   {});
}

void store_world::checkEnd()
{
    for (const auto &[write, key] : m_asked) {
        const auto held = m_table.find(key);
        const bool durable = held != m_table.end() && held->second == write;
        const auto found = m_told.find(write);
        if (found == m_told.end())
            continue;
        if (found->second == errc::Ok)
            require(durable, "what was told as durable is in the table");
        else if (found->second != errc::OutcomeUnknown)
            require(!durable, "what was told as refused is never in the table");
    }
    for (const auto &self : m_instances) {
        for (const auto &[write, key] : self.keys)
            require(m_told.contains(write), "every write is told an outcome");
    }
}

void store_world::meet(step what, phase when, std::uint32_t sender)
{
    const bool meant = m_armed && what == m_cell.first.at && when == m_cell.first.when;
    if (!meant || ++m_occurrences != m_cell.first.occurrence)
        return;
    m_reached = true;
    inject(m_cell.first.what, m_instances[sender]);
    if (m_cell.second) {
        m_network.at(m_network.now() + 200ms,
                     [this, sender] { inject(*m_cell.second, m_instances[sender]); });
    }
}

bool store_world::reachable(const instance &self) const
{
    return m_network.now() >= m_awayUntil && !self.cutFromStore;
}

void store_world::inject(fault what, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    switch (what) {
    case fault::Crash:
        victim.alive = false;
        m_network.at(now + 1s, [this, index] {
            if (!m_instances[index].alive)
                start(index);
        });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 3s;
        return;
    case fault::StoreUnavailable:
        m_awayUntil = now + 4s;
        return;
    case fault::StoreReplyLost:
        m_replyLostUntil = now + 1500ms;
        return;
    case fault::StoreSlow:
        m_slowUntil = now + 3s;
        return;
    case fault::CutFromStore:
        victim.cutFromStore = true;
        m_network.at(now + 4s, [this, index] { m_instances[index].cutFromStore = false; });
        return;
    default:
        m_network.disturb(what);
    }
}

cell_result store_world::run(const cell &what)
{
    m_cell = what;
    m_network.at(faultsFrom, [this] { m_armed = true; });
    m_network.at(faultsUntil, [this] { m_armed = false; });
    const sim_time repeatAfter = what.scenario == "repeats at once" ? 2ms : 300ms;
    std::uint64_t number = 0;
    for (sim_time when = 100ms; when < faultsUntil; when += 150ms) {
        const auto key = "key " + std::to_string(++number);
        const auto first = static_cast<std::uint32_t>(number % instanceCount);
        m_network.at(when, [this, first, key] { request(first, key); });
        // The caller repeats through the balancer, here and there.
        m_network.at(when + repeatAfter, [this, first, key] { request(1 - first, key); });
        m_network.at(when + 2 * repeatAfter, [this, first, key] { request(first, key); });
        for (int reader = 0; reader < 3; ++reader)
            m_network.at(when + reader * 4ms, [this, first, key] { ask(first, key); });
    }
    cell_result result;
    invariantHandler = [](const char *name, const char *, int) { throw broken_invariant {name}; };
    try {
        m_network.runUntil(cellEnd);
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
