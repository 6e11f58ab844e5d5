#include "matrix/config_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 3;
constexpr sim_time faultsStart = 4s;
constexpr sim_time faultsEnd = 14s;
constexpr sim_time cellEnd = 32s;

void require(bool holds, const char *name)
{
    if (!holds)
        throw invariant_violation {name};
}

} // namespace

config_world::config_world(std::uint64_t seed)
    : m_network(seed)
    , m_instances(instanceCount)
{
    for (std::uint32_t index = 0; index < instanceCount; ++index) {
        m_instances[index].index = index;
        m_instances[index].ref.instance = instance_id {index};
        start(index);
    }
    m_network.setPhaseHook([this](step reachedStep, phase reachedPhase, std::uint32_t sender) {
        handlePhase(reachedStep, reachedPhase, sender);
    });
}

void config_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.ref.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.machine = std::make_unique<peer::active_config>(self.ref, config_limits {});
    config_peers_expected expected {{}, time_point::max()};
    for (const auto &other : m_instances)
        expected.peers.push_back(other.ref.instance);
    process(self, expected);
    scheduleTick(index);
}

void config_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].ref.incarnation;
    m_network.schedule(std::max(m_network.now() + 100ms, m_instances[index].pausedUntil),
                       [this, index, incarnation] {
                           auto &self = m_instances[index];
                           if (!self.alive || self.ref.incarnation != incarnation)
                               return;
                           if (self.pausedUntil <= m_network.now())
                               tick(self);
                           scheduleTick(index);
                       });
}

void config_world::tick(instance &self)
{
    process(self, config_tick {});
    if (self.machine->ready(localTime())) {
        require(self.machine->version() >= self.highestReady,
                "the active version of an instance never decreases");
        self.highestReady = self.machine->version();
    }
    if (!beforeSend(step::Heartbeat, self))
        return;
    const config_version_received heartbeat {self.ref.instance, self.machine->version(),
                                             self.machine->digest()};
    for (auto &peer : m_instances) {
        if (peer.index == self.index)
            continue;
        m_network.call(
            step::Heartbeat, self.index,
            [this, from = self.index, to = peer.index, heartbeat]() -> network::reply_handler {
                auto &receiver = m_instances[to];
                const bool cut = receiver.cutFromPeers || m_instances[from].cutFromPeers;
                if (cut || !receiver.alive || receiver.pausedUntil > m_network.now())
                    return {};
                process(receiver, heartbeat);
                return [] {};
            },
            {});
    }
}

void config_world::process(instance &self, const config_event &event)
{
    std::vector<config_action> actions;
    self.machine->step(event, localTime(), actions);
    for (const auto &action : actions)
        execute(self, action);
}

void config_world::execute(instance &self, const config_action &action)
{
    if (std::holds_alternative<read_head>(action))
        readHead(self);
    else if (const auto *write = std::get_if<write_head>(&action))
        writeHead(self, *write);
    else if (const auto *audit = std::get_if<write_audit>(&action))
        writeAudit(self, *audit);
    else if (const auto *request = std::get_if<fetch_config>(&action))
        fetch(self, *request);
    else if (const auto *activated = std::get_if<activate_config>(&action))
        checkActivated(self, *activated);
    else if (const auto *finished = std::get_if<apply_finished>(&action))
        m_reported.push_back({m_requested[finished->ticket], finished->outcome});
}

network::reply_handler config_world::replyTo(const instance &self,
                                             std::function<void(instance &)> action)
{
    return
        [this, index = self.index, incarnation = self.ref.incarnation, action = std::move(action)] {
            const auto run = [this, index, incarnation, action] {
                auto &later = m_instances[index];
                if (later.alive && later.ref.incarnation == incarnation)
                    action(later);
            };
            if (m_instances[index].pausedUntil > m_network.now())
                m_network.schedule(m_instances[index].pausedUntil, run);
            else
                run();
        };
}

void config_world::readHead(instance &self)
{
    if (!beforeSend(step::HeadRead, self))
        return;
    m_network.call(
        step::HeadRead, self.index,
        [this, index = self.index, sentAt = localTime()]() -> network::reply_handler {
            const auto &requester = m_instances[index];
            if (!storeReachable(requester) || m_network.now() < m_storeReplyLostUntil)
                return {};
            return replyTo(requester, [this, sentAt, head = m_head](instance &later) {
                process(later, head_read {sentAt, head});
            });
        },
        replyTo(self, [this](instance &later) { process(later, head_read_failed {}); }));
}

void config_world::writeHead(instance &self, const write_head &write)
{
    if (!beforeSend(step::HeadWrite, self))
        return;
    const config_change change = write.head.recent.back();
    m_network.call(
        step::HeadWrite, self.index,
        [this, index = self.index, write, change]() -> network::reply_handler {
            if (!storeReachable(m_instances[index]))
                return {};
            const auto current = m_head.recent.empty() ? 0 : m_head.recent.back().version;
            const bool versionMatches = current + 1 == change.version;
            if (versionMatches) {
                m_head = write.head;
                m_history[change.version] = change;
                m_audited.insert(write.audit.change.write);
            }
            if (m_network.now() < m_storeReplyLostUntil)
                return {};
            const auto outcome = versionMatches ? write_outcome::Applied : write_outcome::Conflict;
            return replyTo(m_instances[index], [this, change, outcome](instance &later) {
                process(later, head_written {change.write, outcome});
            });
        },
        replyTo(self, [this, change](instance &later) {
            process(later, head_written {change.write, write_outcome::Unknown});
        }));
}

void config_world::writeAudit(instance &self, const write_audit &write)
{
    if (!beforeSend(step::AuditWrite, self))
        return;
    m_network.call(
        step::AuditWrite, self.index,
        [this, index = self.index, write]() -> network::reply_handler {
            if (!storeReachable(m_instances[index]))
                return {};
            m_audited.insert(write.entry.change.write);
            return [] {};
        },
        replyTo(self, [this, write](instance &later) { writeAudit(later, write); }));
}

void config_world::fetch(instance &self, const fetch_config &request)
{
    if (!beforeSend(step::Fetch, self))
        return;
    m_network.call(
        step::Fetch, self.index,
        [this, index = self.index, request]() -> network::reply_handler {
            const auto &requester = m_instances[index];
            if (!request.from) {
                if (!storeReachable(requester))
                    return {};
                return replyTo(requester, [this, request](instance &later) {
                    process(later, config_fetched {request.version, request.digest});
                });
            }
            // A peer returns its active version, which may be older or newer than the requested
            // one.
            const auto &peer = m_instances[number(*request.from)];
            const bool cut = requester.cutFromPeers || peer.cutFromPeers || !peer.alive;
            if (cut || peer.pausedUntil > m_network.now())
                return {};
            const config_fetched response {peer.machine->version(), peer.machine->digest()};
            return replyTo(requester,
                           [this, response](instance &later) { process(later, response); });
        },
        replyTo(self, [this](instance &later) { process(later, config_fetch_failed {}); }));
}

void config_world::apply(std::uint32_t index, std::uint64_t ticket)
{
    auto &self = m_instances[index];
    if (!self.alive || self.pausedUntil > m_network.now())
        return;
    // Every third change is prepared against an older version.
    const auto version = self.machine->version();
    const auto base = ticket % 3 == 0 && version > 0 ? version - 1 : version;
    config_apply_requested request {ticket,
                                    base,
                                    "digest " + std::to_string(ticket),
                                    "operator " + std::to_string(index),
                                    {"/services/0"},
                                    localTime() + 3s};
    m_requested[ticket] = {base + 1, request.digest, request.author, request.changed, {}};
    process(self, request);
}

void config_world::checkActivated(instance &self, const activate_config &activated)
{
    (void)self;
    const auto found = m_history.find(activated.version);
    require(found != m_history.end(), "only an accepted version becomes active");
    require(found->second.digest == activated.digest,
            "a version has the same set on all instances");
}

void config_world::checkEnd()
{
    const auto current = m_head.recent.back().version;
    for (const auto &self : m_instances) {
        require(self.machine->version() == current,
                "the accepted version is active on all instances");
        require(self.machine->ready(localTime()), "every instance is ready again");
    }
    for (const auto &entry : m_reported) {
        const bool accepted = std::ranges::any_of(m_history, [&](const auto &version) {
            return version.second.digest == entry.change.digest;
        });
        if (entry.outcome == errc::Ok) {
            const auto found = std::ranges::find_if(m_history, [&](const auto &version) {
                return version.second.digest == entry.change.digest;
            });
            require(found != m_history.end() && found->first == entry.change.version,
                    "a change follows the version that it was prepared against");
        }
        if (entry.outcome == errc::Ok)
            require(accepted, "a change reported as accepted is accepted");
        else if (entry.outcome != errc::OutcomeUnknown)
            require(!accepted, "a change reported as rejected is not accepted");
    }
    for (const auto &[version, change] : m_history)
        require(m_audited.contains(change.write), "every accepted change is in the audit trail");
}

void config_world::handlePhase(step reachedStep, phase reachedPhase, std::uint32_t sender)
{
    const bool isInjectionPoint =
        m_armed && reachedStep == m_cell.first.atStep && reachedPhase == m_cell.first.atPhase;
    if (!isInjectionPoint || ++m_occurrences != m_cell.first.occurrence)
        return;
    m_reached = true;
    inject(m_cell.first.injectedFault, m_instances[sender]);
    if (m_cell.second) {
        m_network.schedule(m_network.now() + 300ms,
                           [this, sender] { inject(*m_cell.second, m_instances[sender]); });
    }
}

bool config_world::beforeSend(step reachedStep, instance &self)
{
    handlePhase(reachedStep, phase::BeforeSend, self.index);
    return self.alive;
}

bool config_world::storeReachable(const instance &self) const
{
    return m_network.now() >= m_storeUnavailableUntil && !self.cutFromStore;
}

void config_world::inject(fault injected, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    switch (injected) {
    case fault::Crash:
        victim.alive = false;
        m_network.schedule(now + 1500ms, [this, index] {
            if (!m_instances[index].alive)
                start(index);
        });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 4s;
        return;
    case fault::StoreUnavailable:
        m_storeUnavailableUntil = now + 6s;
        return;
    case fault::StoreReplyLost:
        m_storeReplyLostUntil = now + 1500ms;
        return;
    case fault::ConcurrentActor:
        // An operator at each instance applies a change at the same time.
        for (std::uint32_t other = 0; other < instanceCount; ++other)
            m_network.schedule(now, [this, other, now] {
                apply(other, 1000 + static_cast<std::uint64_t>(now.count()) + other);
            });
        return;
    case fault::CutFromPeers:
        victim.cutFromPeers = true;
        m_network.schedule(now + 6s, [this, index] { m_instances[index].cutFromPeers = false; });
        return;
    case fault::CutFromStore:
        victim.cutFromStore = true;
        m_network.schedule(now + 6s, [this, index] { m_instances[index].cutFromStore = false; });
        return;
    default:
        m_network.setMessageFault(injected);
    }
}

cell_result config_world::run(const cell &matrixCell)
{
    m_cell = matrixCell;
    const bool race = matrixCell.scenario == "concurrent operators";
    m_network.schedule(faultsStart, [this] { m_armed = true; });
    m_network.schedule(faultsEnd, [this] { m_armed = false; });
    std::uint64_t ticket = 0;
    for (sim_time when = 1s; when < faultsEnd; when += 700ms) {
        const auto operators = race ? instanceCount : 1;
        for (std::uint32_t index = 0; index < operators; ++index) {
            const auto at = race ? index : static_cast<std::uint32_t>(ticket % instanceCount);
            m_network.schedule(when, [this, at, number = ++ticket] { apply(at, number); });
        }
    }
    if (matrixCell.scenario == "start while the store is unavailable") {
        m_network.schedule(faultsStart, [this] {
            inject(fault::StoreUnavailable, m_instances[0]);
            inject(fault::Crash, m_instances[0]);
        });
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
