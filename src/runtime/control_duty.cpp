#include "runtime/control_duty.h"

#include "platform/row_codec.h"
#include "support/log.h"
#include "support/stable_id.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantaingap::runtime {

namespace asio = boost::asio;
using support::log_event;
using support::log_level;
using support::stableId;

namespace {

// The bound of each ring into this duty.
constexpr std::size_t ringSlots = 1024;

// How often declared jobs are compared with those that have rows.
constexpr std::chrono::milliseconds reconcileEvery {500};
// For a row that the reconciliation writes.
constexpr std::chrono::seconds rowPatience {5};

// In the order of peer::instance_state.
constexpr std::array<const char *, 6> stateNames = {"unknown",  "live",    "one_way",
                                                    "stopping", "suspect", "gone"};

} // namespace

control_duty::control_duty(control_settings settings, note_sink tell, heartbeat_sink beat)
    : m_settings(std::move(settings))
    , m_self {stableId<instance_id>(m_settings.instance), m_settings.incarnation}
    , m_duty("control")
    , m_platform(m_duty.context(), m_settings.platform, m_settings.platformTls)
    , m_services {m_duty.context(), m_platform, std::move(tell)}
    , m_beat(std::move(beat))
    , m_membership(m_self, stableId<region_id>(m_settings.region), m_settings.membership)
    , m_heartbeats(m_duty.context(), ringSlots,
                   [this](control_heartbeat &&one) { on(std::move(one)); })
    , m_replies(m_duty.context(), ringSlots, [this](peer_reply &&one) { on(std::move(one)); })
    , m_orders(m_duty.context(), ringSlots,
               [this](control_order &&one) { std::visit([this](auto &typed) { on(typed); }, one); })
{ }

control_duty::~control_duty()
{
    stop();
}

void control_duty::start()
{
    asio::co_spawn(m_duty.context(), runTicks(), asio::detached);
    asio::co_spawn(m_duty.context(), runListReads(), asio::detached);
    m_duty.start();
}

void control_duty::stop()
{
    m_duty.stop();
}

void control_duty::handOver(time_point deadline, std::function<void()> done)
{
    asio::post(m_duty.context(), [this, deadline, done = std::move(done)]() mutable {
        m_stopping = true;
        m_membership.markStopping();
        for (auto &[name, group] : m_groups)
            group->step(handover_requested {});
        beat();
        asio::co_spawn(m_duty.context(), waitHandedOver(deadline, std::move(done)), asio::detached);
    });
}

bool control_duty::replyArrived(instance_id peer, std::optional<control_heartbeat> reply,
                                time_point askedAt)
{
    return m_replies.push({peer, std::move(reply), askedAt});
}

asio::awaitable<void> control_duty::pause(duration span)
{
    asio::steady_timer timer(m_duty.context(), clock::now() + span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> control_duty::waitHandedOver(time_point deadline, std::function<void()> done)
{
    const auto owned = [this] {
        return std::any_of(m_groups.begin(), m_groups.end(), [](const auto &entry) {
            return entry.second->control().authority().has_value();
        });
    };
    while (owned() && clock::now() < deadline)
        co_await pause(std::chrono::milliseconds(10));
    done();
}

asio::awaitable<void> control_duty::runTicks()
{
    while (true) {
        tick();
        co_await pause(m_settings.tickEvery);
    }
}

void control_duty::tick()
{
    feed(membership_tick {});
    updateCandidates();
    bool wanted = false;
    for (auto &[name, group] : m_groups) {
        group->tick();
        wanted = group->takeReadWanted() || wanted;
    }
    if (wanted && !m_reading)
        asio::co_spawn(m_duty.context(), readRows(), asio::detached);
    if (clock::now() >= m_nextBeat)
        beat();
    if (clock::now() >= m_reconcileAt)
        reconcileJobs();
}

// One range read serves all groups of the region.
asio::awaitable<void> control_duty::readRows()
{
    m_reading = true;
    const auto sentAt = clock::now();
    const auto rows = co_await m_platform.readRange(group_shell::rowKey(m_settings.region + "/"),
                                                    sentAt + m_services.callTime);
    m_reading = false;
    for (auto &[name, group] : m_groups) {
        if (rows.has_error()) {
            group->step(row_read_failed {});
            continue;
        }
        const auto key = group_shell::rowKey(name);
        const auto stored = std::find_if(rows->begin(), rows->end(),
                                         [&](const auto &row) { return row.key == key; });
        if (stored == rows->end()) {
            group->step(row_read {sentAt, std::nullopt});
            continue;
        }
        const auto row = platform::groupRowFrom(stored->value, stored->version);
        if (row)
            group->step(row_read {sentAt, *row});
        else
            group->step(row_read_failed {});
    }
}

asio::awaitable<void> control_duty::runListReads()
{
    while (true) {
        const auto list = co_await m_platform.readList(clock::now() + m_services.callTime);
        if (list.has_value())
            updateGroups(*list);
        co_await readCancellations();
        co_await pause(m_settings.listEvery);
    }
}

void control_duty::updateGroups(const platform_list &list)
{
    platform_list_read read;
    read.revision = list.revision;
    m_listed.clear();
    m_instanceNames.clear();
    m_instanceNames.emplace(m_self.instance, m_settings.instance);
    for (const auto &instance : list.instances) {
        const auto id = stableId<instance_id>(instance.name);
        m_listed.insert(id);
        m_instanceNames.insert_or_assign(id, instance.name);
        read.instances.push_back({id, instance.leaving});
    }
    std::map<std::string, std::vector<named_worker>> groups;
    for (const auto &[name, shell] : m_groups)
        groups[name];
    for (const auto &worker : list.workers) {
        const auto id = stableId<worker_id>(worker.name);
        const auto known = m_workerNames.emplace(id, worker.name).first;
        if (known->second != worker.name) {
            log_event(log_level::Error, "worker.number_taken")
                .field("worker", worker.name)
                .field("by", known->second);
            continue;
        }
        read.workers.push_back({id, worker.leaving});
        if (worker.location.region == m_settings.region)
            groups[groupOf(worker)].push_back(worker);
    }
    tellServiceGroups(list);
    const auto before = std::exchange(m_capacities, groupCapacities(list));
    for (auto &[name, workers] : groups) {
        auto &shell = m_groups[name];
        if (!shell) {
            shell = std::make_unique<group_shell>(m_services, name, m_self, m_settings.group);
            shell->step(
                candidates_changed {peer::rankCandidates(stableId<group_id>(name), m_candidates)});
        }
        shell->setWorkers(std::move(workers));
        const auto &row = shell->control().ownership().row();
        if (!row)
            continue;
        for (const auto &former : row->previousOwners) {
            if (!m_listed.contains(former.instance))
                shell->formerStopped(former);
        }
    }
    if (m_capacities != before)
        applyQuotas();
    feed(read);
}

void control_duty::tellServiceGroups(const platform_list &list)
{
    service_groups now;
    for (const auto &worker : list.workers) {
        if (!worker.service.empty())
            now.groups[worker.service].insert(groupOf(worker));
    }
    if (now == m_serviceGroups)
        return;
    m_serviceGroups = now;
    m_services.tell(std::move(now));
}

void control_duty::feed(const membership_event &event)
{
    std::vector<membership_action> actions;
    m_membership.step(event, clock::now(), actions);
    for (const auto &action : actions) {
        if (const auto *leaving = std::get_if<worker_leaving_detected>(&action)) {
            const auto name = m_workerNames.find(leaving->worker);
            for (auto &[group, shell] : m_groups)
                shell->workerLeaving(leaving->worker);
            if (name != m_workerNames.end())
                m_services.tell(worker_is_leaving {name->second});
            beat();
        } else if (const auto *changed = std::get_if<instance_changed>(&action)) {
            log_event(log_level::Info, "instance.changed")
                .field("instance", number(changed->instance.instance))
                .field("state", static_cast<unsigned>(changed->state));
        }
    }
}

void control_duty::updateCandidates()
{
    auto live = m_membership.candidates();
    if (live == m_candidates)
        return;
    m_candidates = std::move(live);
    for (auto &[name, group] : m_groups) {
        group->step(
            candidates_changed {peer::rankCandidates(stableId<group_id>(name), m_candidates)});
    }
}

void control_duty::beat()
{
    m_nextBeat = clock::now() + m_settings.membership.heartbeatInterval;
    m_beat(ownHeartbeat());
}

control_heartbeat control_duty::ownHeartbeat()
{
    control_heartbeat own;
    own.membership.from = m_self;
    own.membership.region = stableId<region_id>(m_settings.region);
    own.membership.sequence = ++m_sequence;
    own.configVersion = m_version;
    own.membership.stopping = m_stopping;
    own.membership.recentPeers = m_membership.recentPeers();
    own.membership.leavingWorkers = m_membership.leavingWorkers();
    for (const auto &[name, group] : m_groups) {
        const auto &ownership = group->control().ownership();
        own.groups.push_back({stableId<group_id>(name), ownership.authority().value_or(epoch {}),
                              ownership.highestActedEpoch()});
    }
    return own;
}

void control_duty::on(control_heartbeat &&heartbeat)
{
    feed(heartbeat.membership);
    noteEpochs(heartbeat);
    updateCandidates();
}

void control_duty::noteEpochs(const control_heartbeat &heartbeat)
{
    m_versions[heartbeat.membership.from.instance] = heartbeat.configVersion;
    for (const auto &told : heartbeat.groups) {
        for (auto &[name, group] : m_groups) {
            if (stableId<group_id>(name) == told.group)
                group->step(epoch_received {std::max(told.held, told.acted)});
        }
    }
}

void control_duty::on(peer_reply &&reply)
{
    feed(peer_call_finished {reply.peer, reply.heartbeat.has_value()});
    if (!reply.heartbeat)
        return;
    feed(reply.heartbeat->membership);
    noteEpochs(*reply.heartbeat);
    noteIdle(*reply.heartbeat, reply.askedAt);
}

// Whoever never acted under the generation that we know of is told to the group as idle.
void control_duty::noteIdle(const control_heartbeat &heartbeat, time_point askedAt)
{
    for (const auto &told : heartbeat.groups) {
        for (auto &[name, group] : m_groups) {
            const auto &row = group->control().ownership().row();
            if (!row || stableId<group_id>(name) != told.group)
                continue;
            if (told.acted.generation < row->generation)
                group->step(successor_idle {heartbeat.membership.from, row->generation, askedAt});
        }
    }
}

void control_duty::on(submit_order &order)
{
    asio::co_spawn(m_duty.context(), submit(std::move(order)), asio::detached);
}

void control_duty::on(cancel_order &order)
{
    asio::co_spawn(m_duty.context(), cancel(std::move(order)), asio::detached);
}

void control_duty::on(status_order &order)
{
    order.reply(status());
}

void control_duty::on(why_order &order)
{
    static constexpr std::array<const char *, 8> names = {
        "not_waiting", "fragmented",          "no_capacity",           "over_quota",
        "reserved",    "workers_unconfirmed", "former_task_uncertain", "retry_later"};
    const auto *group = groupWith(order.name);
    if (!group)
        return order.reply(std::nullopt);
    const auto report = group->control().explainWait(jobIdOf(order.name));
    order.reply(std::string(names.at(static_cast<std::size_t>(report.reason))));
}

void control_duty::on(declared_order &order)
{
    m_declared = std::move(order.declared);
    m_version = order.version;
    m_digest = std::move(order.digest);
    beat();
    applyQuotas();
    m_reconcileAt = clock::now();
}

void control_duty::applyQuotas()
{
    if (!m_declared)
        return;
    resources cell;
    for (const auto &[name, capacity] : m_capacities)
        cell += capacity;
    for (auto &[name, group] : m_groups)
        group->setQuotas(quotaShares(m_declared->teams, m_capacities[name], cell));
}

// Submits declared jobs of our groups that have no row, and cancels those of ours that were
// declared once and are no longer. Each is tried again until its row says so.
void control_duty::reconcileJobs()
{
    m_reconcileAt = clock::now() + reconcileEvery;
    if (!m_declared || m_stopping)
        return;
    std::set<std::string_view> declared;
    for (const auto &job : m_declared->jobs) {
        declared.insert(job.name);
        auto spec = specOf(job);
        spec.declared = true;
        const auto found = m_groups.find(groupForJob(spec, m_capacities));
        if (found == m_groups.end() || !found->second->control().takesJobs()
            || found->second->desk().find(spec.name) || !m_reconciling.insert(spec.name).second)
            continue;
        asio::co_spawn(m_duty.context(), submitDeclared(*found->second, std::move(spec)),
                       asio::detached);
    }
    for (auto &[name, group] : m_groups) {
        if (!group->control().takesJobs())
            continue;
        for (const auto &[job, row] : group->desk().rows()) {
            const bool over = !row.spec.declared || row.cancelRequested
                              || row.state != job_state::Accepted || declared.contains(job);
            if (over || !m_reconciling.insert(job).second)
                continue;
            asio::co_spawn(m_duty.context(), cancelDeclared(*group, job), asio::detached);
        }
    }
}

asio::awaitable<void> control_duty::submitDeclared(group_shell &group, job_spec spec)
{
    const auto name = spec.name;
    const auto outcome = co_await group.submit(std::move(spec), clock::now() + rowPatience);
    m_reconciling.erase(name);
    log_event(log_level::Info, "job.declared")
        .field("job", name)
        .field("group", group.name())
        .field("outcome", make_error_code(outcome).message());
}

asio::awaitable<void> control_duty::cancelDeclared(group_shell &group, std::string name)
{
    co_await group.cancel(name, clock::now() + rowPatience);
    m_reconciling.erase(name);
}

// Cancellations that other instances took for our groups stand in rows cancel/GROUP/NAME.
asio::awaitable<void> control_duty::readCancellations()
{
    const auto prefix = "cancel/" + m_settings.region + "/";
    const auto rows = co_await m_platform.readRange(prefix, clock::now() + m_services.callTime);
    if (rows.has_error())
        co_return;
    for (const auto &row : *rows) {
        auto *group = groupWith(row.value);
        if (!group)
            continue;
        const auto outcome = co_await group->cancel(row.value, clock::now() + rowPatience);
        if (outcome != errc::Ok)
            continue;
        const std::vector<platform::table_change> done = {
            {row.key, row.version, "", platform::change_kind::Remove}};
        co_await m_platform.commit(done, platform::commit_mode::Independent,
                                   clock::now() + m_services.callTime);
    }
}

// The owned group with the most room for this job; one that knows the job already goes first.
group_shell *control_duty::groupFor(const job_spec &spec)
{
    if (auto *known = groupWith(spec.name))
        return known;
    group_shell *best = nullptr;
    std::int64_t bestFree = -1;
    for (const auto &[name, group] : m_groups) {
        if (!group->control().takesJobs())
            continue;
        const auto &scheduler = *group->control().scheduler();
        const auto free = scheduler.total() - scheduler.used();
        const bool fits = (spec.each * spec.tasks).fitsIn(free);
        const auto room = fits ? free.milliCores + 1 : 0;
        if (room > bestFree) {
            best = group.get();
            bestFree = room;
        }
    }
    return best;
}

group_shell *control_duty::groupWith(std::string_view job)
{
    for (const auto &[name, group] : m_groups) {
        if (group->control().authority() && group->desk().find(job))
            return group.get();
    }
    return nullptr;
}

asio::awaitable<void> control_duty::submit(submit_order order)
{
    auto *group = groupFor(order.spec);
    errc outcome = errc::NotReady;
    if (group && !m_stopping)
        outcome = co_await group->submit(order.spec, order.deadline);
    log_event(log_level::Info, "job.submitted")
        .field("job", order.spec.name)
        .field("team", order.spec.team)
        .field("outcome", make_error_code(outcome).message());
    order.reply(outcome);
}

asio::awaitable<void> control_duty::cancel(cancel_order order)
{
    auto *group = groupWith(order.name);
    errc outcome = errc::NotFound;
    if (group)
        outcome = co_await group->cancel(order.name, order.deadline);
    order.reply(outcome);
}

operators::cell_status control_duty::status() const
{
    operators::cell_status status;
    status.version = m_version;
    status.digest = m_digest;
    for (const auto &[id, name] : m_instanceNames) {
        operators::instance_status one;
        one.instance = name;
        const bool self = id == m_self.instance;
        const auto version = m_versions.find(id);
        one.version = self ? m_version : version == m_versions.end() ? 0 : version->second;
        const auto state = self ? instance_state::Live : m_membership.stateOf(id);
        one.state = stateNames.at(static_cast<std::size_t>(state));
        status.version = std::max(status.version, one.version);
        status.instances.push_back(std::move(one));
    }
    for (const auto &[name, group] : m_groups) {
        addWorkers(*group, status);
        if (group->control().authority())
            addJobs(*group, status);
    }
    addTeams(status);
    return status;
}

void control_duty::addWorkers(const group_shell &group, operators::cell_status &status) const
{
    const auto &row = group.control().ownership().row();
    const auto owner = row ? m_instanceNames.find(row->owner.instance) : m_instanceNames.end();
    for (const auto &worker : group.workers()) {
        operators::worker_status one;
        one.worker = worker.listed.name;
        one.group = group.name();
        one.owner = owner == m_instanceNames.end() ? "" : owner->second;
        const bool ready = group.control().ready(stableId<worker_id>(worker.listed.name));
        const bool ours = group.control().authority().has_value();
        one.state = worker.listed.leaving ? "leaving"
                    : ready               ? "ready"
                    : ours                ? "unconfirmed"
                                          : "elsewhere";
        one.slots = worker.listed.slots;
        one.busy = worker.busySlots;
        one.holds = worker.listed.capacity;
        status.workers.push_back(std::move(one));
    }
}

void control_duty::addJobs(const group_shell &group, operators::cell_status &status) const
{
    for (const auto &[name, row] : group.desk().rows()) {
        auto one = jobStatus(row);
        if (group.control().takesJobs() && row.state == job_state::Accepted) {
            const auto waits = group.control().explainWait(jobIdOf(name)).tasksWaiting;
            const auto left = row.spec.tasks - static_cast<std::uint32_t>(row.finished.size());
            one.running = left - std::min(left, waits);
            one.state = one.running > 0 ? "running" : "waiting";
        }
        status.jobs.push_back(std::move(one));
    }
}

void control_duty::addTeams(operators::cell_status &status) const
{
    if (!m_declared)
        return;
    for (const auto &team : m_declared->teams)
        status.teams.push_back({team.name, team.quota, {}});
}

} // namespace plantaingap::runtime
