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

// A worker's group: one rack of one data centre.
std::string groupOf(const named_worker &worker)
{
    return worker.place.region + "/" + worker.place.dataCentre + "/" + worker.place.rack;
}

} // namespace

control_duty::control_duty(control_settings settings, note_sink tell, heartbeat_sink beat)
    : m_settings(std::move(settings))
    , m_self {stableId<instance_id>(m_settings.instance), m_settings.incarnation}
    , m_duty("control")
    , m_platform(m_duty.context(), m_settings.platform)
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
        m_membership.stop();
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
        co_await pause(m_settings.listEvery);
    }
}

void control_duty::updateGroups(const platform_list &list)
{
    platform_list_read read;
    read.revision = list.revision;
    m_listed.clear();
    for (const auto &instance : list.instances) {
        const auto id = stableId<instance_id>(instance.name);
        m_listed.insert(id);
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
        if (worker.place.region == m_settings.region)
            groups[groupOf(worker)].push_back(worker);
    }
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
        for (const auto &former : row->formers) {
            if (!m_listed.contains(former.instance))
                shell->formerStopped(former);
        }
    }
    feed(read);
}

void control_duty::feed(const membership_event &event)
{
    std::vector<membership_action> actions;
    m_membership.step(event, clock::now(), actions);
    for (const auto &action : actions) {
        if (const auto *leaving = std::get_if<worker_leaving_seen>(&action)) {
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
    m_nextBeat = clock::now() + m_settings.membership.heartbeatEvery;
    m_beat(ownHeartbeat());
}

control_heartbeat control_duty::ownHeartbeat()
{
    control_heartbeat own;
    own.membership.from = m_self;
    own.membership.region = stableId<region_id>(m_settings.region);
    own.membership.sequence = ++m_sequence;
    own.membership.stopping = m_stopping;
    own.membership.heard = m_membership.heard();
    own.membership.leavingWorkers = m_membership.leavingWorkers();
    for (const auto &[name, group] : m_groups) {
        const auto &ownership = group->control().ownership();
        own.groups.push_back({stableId<group_id>(name), ownership.authority().value_or(epoch {}),
                              ownership.acted()});
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
    for (const auto &told : heartbeat.groups) {
        for (auto &[name, group] : m_groups) {
            if (stableId<group_id>(name) == told.group)
                group->step(epoch_heard {std::max(told.held, told.acted)});
        }
    }
}

void control_duty::on(peer_reply &&reply)
{
    feed(peer_call_ended {reply.peer, reply.heartbeat.has_value()});
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
    const auto report = group->control().whyWaiting(jobIdOf(order.name));
    order.reply(std::string(names.at(static_cast<std::size_t>(report.reason))));
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

boost::json::object control_duty::status() const
{
    boost::json::array groups;
    boost::json::array jobs;
    for (const auto &[name, group] : m_groups) {
        const auto &control = group->control();
        const auto held = control.authority().value_or(epoch {});
        boost::json::object entry {{"group", name},
                                   {"owned", control.authority().has_value()},
                                   {"generation", held.generation},
                                   {"rank", held.rank},
                                   {"takes_jobs", control.takesJobs()}};
        if (control.takesJobs()) {
            const auto &used = control.scheduler()->used();
            const auto &total = control.scheduler()->total();
            entry["used_milli_cores"] = used.milliCores;
            entry["total_milli_cores"] = total.milliCores;
            entry["used_memory_mib"] = used.memoryMib;
            entry["total_memory_mib"] = total.memoryMib;
            entry["used_accelerators"] = used.accelerators;
            entry["total_accelerators"] = total.accelerators;
        }
        groups.push_back(std::move(entry));
        if (!control.authority())
            continue;
        for (const auto &[jobName, row] : group->desk().rows()) {
            jobs.push_back(boost::json::object {{"job", jobName},
                                                {"team", row.spec.team},
                                                {"group", name},
                                                {"state", stateName(row.state)},
                                                {"tasks", row.spec.tasks},
                                                {"finished", row.finished.size()}});
        }
    }
    return {{"instance", m_settings.instance}, {"incarnation", m_self.incarnation},
            {"stopping", m_stopping},          {"live_instances", m_candidates.size()},
            {"groups", std::move(groups)},     {"jobs", std::move(jobs)}};
}

} // namespace plantaingap::runtime
