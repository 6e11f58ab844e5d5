#include "matrix/config_world.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t instanceCount = 3;
constexpr sim_time faultsFrom = 4s;
constexpr sim_time faultsUntil = 14s;
constexpr sim_time cellEnd = 32s;

void require(bool holds, const char *name)
{
    if (!holds)
        throw broken_invariant {name};
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
    m_network.onPhase(
        [this](step what, phase when, std::uint32_t sender) { meet(what, when, sender); });
}

void config_world::start(std::uint32_t index)
{
    auto &self = m_instances[index];
    ++self.ref.incarnation;
    self.alive = true;
    self.pausedUntil = {};
    self.machine = std::make_unique<peer::config_in_force>(self.ref, config_limits {});
    config_peers_expected expected {{}, time_point::max()};
    for (const auto &other : m_instances)
        expected.peers.push_back(other.ref.instance);
    give(self, expected);
    scheduleTick(index);
}

void config_world::scheduleTick(std::uint32_t index)
{
    const auto incarnation = m_instances[index].ref.incarnation;
    m_network.at(std::max(m_network.now() + 100ms, m_instances[index].pausedUntil),
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
    give(self, config_tick {});
    if (self.machine->ready(localTime())) {
        require(self.machine->version() >= self.highestReady, "an instance never goes back");
        self.highestReady = self.machine->version();
    }
    if (!before(step::Heartbeat, self))
        return;
    const config_version_heard beat {self.ref.instance, self.machine->version(),
                                     self.machine->digest()};
    for (auto &peer : m_instances) {
        if (peer.index == self.index)
            continue;
        m_network.call(step::Heartbeat, self.index,
                       [this, from = self.index, to = peer.index, beat]() -> network::answer {
                           auto &receiver = m_instances[to];
                           const bool cut = receiver.cutFromPeers || m_instances[from].cutFromPeers;
                           if (cut || !receiver.alive || receiver.pausedUntil > m_network.now())
                               return {};
                           give(receiver, beat);
                           return [] {};
                       },
                       {});
    }
}

void config_world::give(instance &self, const config_event &event)
{
    std::vector<config_action> actions;
    self.machine->step(event, localTime(), actions);
    for (const auto &action : actions)
        carryOut(self, action);
}

void config_world::carryOut(instance &self, const config_action &action)
{
    if (std::holds_alternative<read_head>(action))
        readHead(self);
    else if (const auto *write = std::get_if<write_head>(&action))
        writeHead(self, *write);
    else if (const auto *audit = std::get_if<write_audit>(&action))
        writeAudit(self, *audit);
    else if (const auto *wanted = std::get_if<fetch_config>(&action))
        fetch(self, *wanted);
    else if (const auto *put = std::get_if<put_in_force>(&action))
        checkForce(self, *put);
    else if (const auto *ended = std::get_if<apply_ended>(&action))
        m_told.push_back({m_asked[ended->ticket], ended->outcome});
}

network::answer config_world::at(const instance &self, std::function<void(instance &)> act)
{
    return [this, index = self.index, incarnation = self.ref.incarnation, act = std::move(act)] {
        const auto run = [this, index, incarnation, act] {
            auto &later = m_instances[index];
            if (later.alive && later.ref.incarnation == incarnation)
                act(later);
        };
        if (m_instances[index].pausedUntil > m_network.now())
            m_network.at(m_instances[index].pausedUntil, run);
        else
            run();
    };
}

void config_world::readHead(instance &self)
{
    if (!before(step::HeadRead, self))
        return;
    m_network.call(
        step::HeadRead, self.index,
        [this, index = self.index, sentAt = localTime()]() -> network::answer {
            const auto &asker = m_instances[index];
            if (!storeReachable(asker) || m_network.now() < m_storeReplyLostUntil)
                return {};
            return at(asker, [this, sentAt, head = m_head](instance &later) {
                give(later, head_read {sentAt, head});
            });
        },
        at(self, [this](instance &later) { give(later, head_read_failed {}); }));
}

void config_world::writeHead(instance &self, const write_head &write)
{
    if (!before(step::HeadWrite, self))
        return;
    const config_change change = write.head.recent.back();
    m_network.call(
        step::HeadWrite, self.index,
        [this, index = self.index, write, change]() -> network::answer {
            if (!storeReachable(m_instances[index]))
                return {};
            const auto current = m_head.recent.empty() ? 0 : m_head.recent.back().version;
            const bool fits = current + 1 == change.version;
            if (fits) {
                m_head = write.head;
                m_history[change.version] = change;
                m_audited.insert(write.audit.change.write);
            }
            if (m_network.now() < m_storeReplyLostUntil)
                return {};
            const auto outcome = fits ? write_outcome::Applied : write_outcome::Conflict;
            return at(m_instances[index], [this, change, outcome](instance &later) {
                give(later, head_written {change.write, outcome});
            });
        },
        at(self, [this, change](instance &later) {
            give(later, head_written {change.write, write_outcome::Unknown});
        }));
}

void config_world::writeAudit(instance &self, const write_audit &write)
{
    if (!before(step::AuditWrite, self))
        return;
    m_network.call(
        step::AuditWrite, self.index,
        [this, index = self.index, write]() -> network::answer {
            if (!storeReachable(m_instances[index]))
                return {};
            m_audited.insert(write.entry.change.write);
            return [] {};
        },
        at(self, [this, write](instance &later) { writeAudit(later, write); }));
}

void config_world::fetch(instance &self, const fetch_config &wanted)
{
    if (!before(step::Fetch, self))
        return;
    m_network.call(
        step::Fetch, self.index,
        [this, index = self.index, wanted]() -> network::answer {
            const auto &asker = m_instances[index];
            if (!wanted.from) {
                if (!storeReachable(asker))
                    return {};
                return at(asker, [this, wanted](instance &later) {
                    give(later, config_fetched {wanted.version, wanted.digest});
                });
            }
            // A peer gives what it has, which may be older or newer than what was asked for.
            const auto &peer = m_instances[number(*wanted.from)];
            const bool cut = asker.cutFromPeers || peer.cutFromPeers || !peer.alive;
            if (cut || peer.pausedUntil > m_network.now())
                return {};
            const config_fetched has {peer.machine->version(), peer.machine->digest()};
            return at(asker, [this, has](instance &later) { give(later, has); });
        },
        at(self, [this](instance &later) { give(later, config_fetch_failed {}); }));
}

void config_world::apply(std::uint32_t index, std::uint64_t ticket)
{
    auto &self = m_instances[index];
    if (!self.alive || self.pausedUntil > m_network.now())
        return;
    // Every third operator prepared the set against an older version.
    const auto version = self.machine->version();
    const auto base = ticket % 3 == 0 && version > 0 ? version - 1 : version;
    config_apply_requested request {ticket,
                                    base,
                                    "digest " + std::to_string(ticket),
                                    "operator " + std::to_string(index),
                                    {"/services/0"},
                                    localTime() + 3s};
    m_asked[ticket] = {base + 1, request.digest, request.author, request.changed, {}};
    give(self, request);
}

void config_world::checkForce(instance &self, const put_in_force &put)
{
    (void)self;
    const auto found = m_history.find(put.version);
    require(found != m_history.end(), "only an accepted version is in force");
    require(found->second.digest == put.digest, "a version is one set everywhere");
}

void config_world::checkEnd()
{
    const auto current = m_head.recent.back().version;
    for (const auto &self : m_instances) {
        require(self.machine->version() == current, "the accepted version is in force everywhere");
        require(self.machine->ready(localTime()), "every instance is ready again");
    }
    for (const auto &entry : m_told) {
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
            require(accepted, "a change told as accepted is accepted");
        else if (entry.outcome != errc::OutcomeUnknown)
            require(!accepted, "a change told as refused is not accepted");
    }
    for (const auto &[version, change] : m_history)
        require(m_audited.contains(change.write), "every accepted change is in the audit trail");
}

void config_world::meet(step what, phase when, std::uint32_t sender)
{
    const bool meant = m_armed && what == m_cell.first.at && when == m_cell.first.when;
    if (!meant || ++m_occurrences != m_cell.first.occurrence)
        return;
    m_reached = true;
    inject(m_cell.first.what, m_instances[sender]);
    if (m_cell.second) {
        m_network.at(m_network.now() + 300ms,
                     [this, sender] { inject(*m_cell.second, m_instances[sender]); });
    }
}

bool config_world::before(step what, instance &self)
{
    meet(what, phase::BeforeSend, self.index);
    return self.alive;
}

bool config_world::storeReachable(const instance &self) const
{
    return m_network.now() >= m_storeAwayUntil && !self.cutFromStore;
}

void config_world::inject(fault what, instance &victim)
{
    const auto now = m_network.now();
    const auto index = victim.index;
    switch (what) {
    case fault::Crash:
        victim.alive = false;
        m_network.at(now + 1500ms, [this, index] {
            if (!m_instances[index].alive)
                start(index);
        });
        return;
    case fault::PausePastLease:
        victim.pausedUntil = now + 4s;
        return;
    case fault::StoreUnavailable:
        m_storeAwayUntil = now + 6s;
        return;
    case fault::StoreReplyLost:
        m_storeReplyLostUntil = now + 1500ms;
        return;
    case fault::Rival:
        // Two more operators apply at the same moment.
        for (std::uint32_t other = 0; other < instanceCount; ++other)
            m_network.at(now, [this, other, now] {
                apply(other, 1000 + static_cast<std::uint64_t>(now.count()) + other);
            });
        return;
    case fault::CutFromPeers:
        victim.cutFromPeers = true;
        m_network.at(now + 6s, [this, index] { m_instances[index].cutFromPeers = false; });
        return;
    case fault::CutFromStore:
        victim.cutFromStore = true;
        m_network.at(now + 6s, [this, index] { m_instances[index].cutFromStore = false; });
        return;
    default:
        m_network.disturb(what);
    }
}

cell_result config_world::run(const cell &what)
{
    m_cell = what;
    const bool race = what.scenario == "operators race";
    m_network.at(faultsFrom, [this] { m_armed = true; });
    m_network.at(faultsUntil, [this] { m_armed = false; });
    std::uint64_t ticket = 0;
    for (sim_time when = 1s; when < faultsUntil; when += 700ms) {
        const auto operators = race ? instanceCount : 1;
        for (std::uint32_t index = 0; index < operators; ++index) {
            const auto at = race ? index : static_cast<std::uint32_t>(ticket % instanceCount);
            m_network.at(when, [this, at, number = ++ticket] { apply(at, number); });
        }
    }
    if (what.scenario == "start with the store away") {
        m_network.at(faultsFrom, [this] {
            inject(fault::StoreUnavailable, m_instances[0]);
            inject(fault::Crash, m_instances[0]);
        });
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
