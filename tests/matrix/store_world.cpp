#include "matrix/store_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 2;
constexpr sim_time faultsStart = 2s;
constexpr sim_time faultsEnd = 8s;
constexpr sim_time cellEnd = 30s;
constexpr double callsPerSecond = 15;
constexpr double burst = 5;

void require(bool holds, const char *name)
{
    if (!holds)
        throw invariant_violation {name};
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
    m_network.setPhaseHook([this](step reachedStep, phase reachedPhase, std::uint32_t sender) {
        handlePhase(reachedStep, reachedPhase, sender);
    });
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
    limits.batchDelay = 5ms;
    limits.maxBatchWrites = 4;
    limits.maxRetryInterval = 1s;
    self.client = std::make_unique<platform::store_client>(limits, m_network.random()());
    scheduleTick(index);
}

void store_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].incarnation;
    m_network.schedule(std::max(m_network.now() + 20ms, m_instances[index].pausedUntil),
                       [this, index, incarnation] {
                           auto &self = m_instances[index];
                           if (!self.alive || self.incarnation != incarnation)
                               return;
                           if (self.pausedUntil <= m_network.now())
                               process(self, store_tick {});
                           scheduleTick(index);
                       });
}

void store_world::process(instance &self, const store_event &event)
{
    std::vector<store_action> actions;
    self.client->step(event, localTime(), actions);
    for (const auto &action : actions) {
        if (const auto *batch = std::get_if<send_commit>(&action)) {
            commit(self, *batch);
        } else if (const auto *request = std::get_if<send_read>(&action)) {
            read(self, *request);
        } else if (const auto *result = std::get_if<write_finished>(&action)) {
            recordOutcome(self, *result);
        } else if (const auto *response = std::get_if<read_finished>(&action)) {
            const auto key = "key " + std::to_string(response->ticket % 1000);
            const bool writtenBeforeRequest =
                m_writtenAt.contains(key) && m_writtenAt[key] < self.reads[response->ticket];
            require(response->outcome != errc::Ok || response->storedWrite || !writtenBeforeRequest,
                    "a read returns what was written before it was requested");
        }
    }
}

network::reply_handler store_world::replyTo(const instance &self,
                                            std::function<void(instance &)> action)
{
    return [this, index = self.index, incarnation = self.incarnation, action = std::move(action)] {
        const auto run = [this, index, incarnation, action] {
            auto &later = m_instances[index];
            if (later.alive && later.incarnation == incarnation)
                action(later);
        };
        if (m_instances[index].pausedUntil > m_network.now())
            m_network.schedule(m_instances[index].pausedUntil, run);
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
    // A restarted instance starts with a full token bucket.
    require(static_cast<double>(recent) <= callsPerSecond + 2 * burst + 1,
            "calls stay within the budget");
}

void store_world::commit(instance &self, const send_commit &batch)
{
    handlePhase(step::Commit, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    countCall(self);
    const auto deliver = [this, index = self.index, batch]() -> network::reply_handler {
        if (!reachable(m_instances[index]))
            return {};
        commit_call_finished result {batch.batch, {}, true};
        for (const auto &write : batch.writes) {
            const bool inserted = m_table.try_emplace(write.key, write.write).second;
            if (inserted)
                m_writtenAt[write.key] = m_network.now();
            result.outcomes.push_back(inserted ? write_outcome::Applied : write_outcome::Conflict);
        }
        if (m_network.now() < m_storeReplyLostUntil)
            return {};
        return replyTo(m_instances[index],
                       [this, result](instance &later) { process(later, result); });
    };
    const auto onTimeout = replyTo(self, [this, id = batch.batch](instance &later) {
        process(later, commit_call_finished {id, {}, true});
    });
    if (m_network.now() >= m_storeSlowUntil) {
        m_network.call(step::Commit, self.index, deliver, onTimeout);
        return;
    }
    // The table applies the commit long after the call has timed out.
    m_network.schedule(m_network.now() + 10s, [deliver] {
        if (const auto reply = deliver())
            reply();
    });
    m_network.schedule(m_network.now() + 1s, onTimeout);
}

void store_world::read(instance &self, const send_read &request)
{
    handlePhase(step::ReadBack, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    countCall(self);
    m_network.call(
        step::ReadBack, self.index,
        [this, index = self.index, request]() -> network::reply_handler {
            if (!reachable(m_instances[index]) || m_network.now() < m_storeReplyLostUntil)
                return {};
            read_call_finished result {request.call, true, {}};
            const auto found = m_table.find(request.key);
            if (found != m_table.end())
                result.storedWrite = found->second;
            return replyTo(m_instances[index],
                           [this, result](instance &later) { process(later, result); });
        },
        replyTo(self, [this, call = request.call](instance &later) {
            process(later, read_call_finished {call, false, {}});
        }));
}

void store_world::requestWrite(std::uint32_t index, const std::string &key)
{
    auto &self = m_instances[index];
    if (!self.alive || self.pausedUntil > m_network.now())
        return;
    const write_id write {{instance_id {index}, self.incarnation}, ++self.writes};
    self.keys[write] = key;
    m_requested[write] = key;
    process(self, store_write_requested {key, write, localTime() + 2s});
}

void store_world::requestRead(std::uint32_t index, const std::string &key)
{
    auto &self = m_instances[index];
    if (!self.alive || self.pausedUntil > m_network.now())
        return;
    const auto ticket = ++m_tickets * 1000 + std::stoull(key.substr(4));
    self.reads[ticket] = m_network.now();
    process(self, store_read_requested {ticket, key, localTime() + 2s});
}

void store_world::recordOutcome(instance &self, const write_finished &result)
{
    require(!m_reported.contains(result.write), "the outcome of a write is reported once");
    m_reported[result.write] = result.outcome;
    // A request is sent only after its key is durable.
    if (result.outcome == errc::Ok)
        sendToWorker(self, self.keys[result.write]);
}

void store_world::sendToWorker(instance &self, const std::string &key)
{
    handlePhase(step::RequestSend, phase::BeforeSend, self.index);
    if (!self.alive)
        return;
    // The connection delivers a request once, so a duplicate delivery is not counted as a run.
    auto delivered = std::make_shared<bool>(false);
    m_network.call(step::RequestSend, self.index,
                   [this, key, delivered]() -> network::reply_handler {
                       if (!*delivered)
                           ++m_runs[key];
                       *delivered = true;
                       require(m_runs[key] <= 1,
                               "a request that is not idempotent runs at most once");
                       return [] {};
                   },
                   {});
}

void store_world::checkEnd()
{
    for (const auto &[write, key] : m_requested) {
        const auto storedRow = m_table.find(key);
        const bool durable = storedRow != m_table.end() && storedRow->second == write;
        const auto found = m_reported.find(write);
        if (found == m_reported.end())
            continue;
        if (found->second == errc::Ok)
            require(durable, "a write reported as durable is in the table");
        else if (found->second != errc::OutcomeUnknown)
            require(!durable, "a write reported as rejected is never in the table");
    }
    for (const auto &self : m_instances) {
        for (const auto &[write, key] : self.keys)
            require(m_reported.contains(write), "every write gets an outcome");
    }
}

void store_world::handlePhase(step reachedStep, phase reachedPhase, std::uint32_t sender)
{
    const bool isInjectionPoint =
        m_armed && reachedStep == m_cell.first.atStep && reachedPhase == m_cell.first.atPhase;
    if (!isInjectionPoint || ++m_occurrences != m_cell.first.occurrence)
        return;
    m_reached = true;
    inject(m_cell.first.injectedFault, m_instances[sender]);
    if (m_cell.second) {
        m_network.schedule(m_network.now() + 200ms,
                           [this, sender] { inject(*m_cell.second, m_instances[sender]); });
    }
}

bool store_world::reachable(const instance &self) const
{
    return m_network.now() >= m_storeUnavailableUntil && !self.cutFromStore;
}

void store_world::inject(fault injected, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    switch (injected) {
    case fault::Crash:
        victim.alive = false;
        m_network.schedule(now + 1s, [this, index] {
            if (!m_instances[index].alive)
                start(index);
        });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 3s;
        return;
    case fault::StoreUnavailable:
        m_storeUnavailableUntil = now + 4s;
        return;
    case fault::StoreReplyLost:
        m_storeReplyLostUntil = now + 1500ms;
        return;
    case fault::StoreSlow:
        m_storeSlowUntil = now + 3s;
        return;
    case fault::CutFromStore:
        victim.cutFromStore = true;
        m_network.schedule(now + 4s, [this, index] { m_instances[index].cutFromStore = false; });
        return;
    default:
        m_network.setMessageFault(injected);
    }
}

cell_result store_world::run(const cell &matrixCell)
{
    m_cell = matrixCell;
    m_network.schedule(faultsStart, [this] { m_armed = true; });
    m_network.schedule(faultsEnd, [this] { m_armed = false; });
    const sim_time repeatAfter = matrixCell.scenario == "repeats at once" ? 2ms : 300ms;
    std::uint64_t number = 0;
    for (sim_time when = 100ms; when < faultsEnd; when += 150ms) {
        const auto key = "key " + std::to_string(++number);
        const auto first = static_cast<std::uint32_t>(number % instanceCount);
        m_network.schedule(when, [this, first, key] { requestWrite(first, key); });
        // The caller repeats the request, and the load balancer picks either instance.
        m_network.schedule(when + repeatAfter,
                           [this, first, key] { requestWrite(1 - first, key); });
        m_network.schedule(when + 2 * repeatAfter,
                           [this, first, key] { requestWrite(first, key); });
        for (int reader = 0; reader < 3; ++reader)
            m_network.schedule(when + reader * 4ms,
                               [this, first, key] { requestRead(first, key); });
    }
    cell_result result;
    invariantHandler = [](const char *name, const char *, int) {
        throw invariant_violation {name};
    };
    try {
        m_network.runUntil(cellEnd);
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
