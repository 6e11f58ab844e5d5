#include "runtime/group_control.h"

namespace plantaingap::runtime {

namespace {

// Attempts of one tenure lie in a range of their own, so that a late report of a former tenure is
// never taken for a present one. A tenure of a generation and rank has this many for each task.
constexpr std::uint32_t attemptsPerRank = 1024;
constexpr std::uint32_t ranksPerGeneration = 4;

std::uint32_t attemptFloor(const epoch &authority)
{
    const auto tenure = authority.generation * ranksPerGeneration + authority.rank;
    return static_cast<std::uint32_t>(tenure * attemptsPerRank);
}

} // namespace

group_control::group_control(const instance_ref &self, const group_limits &limits)
    : m_limits(limits)
    , m_ownership(self, limits.ownership)
    , m_leases(limits.leases)
{ }

template<class Step>
void group_control::within(time_point now, std::vector<control_action> &actions, Step step)
{
    m_now = now;
    m_actions = &actions;
    step();
    m_actions = nullptr;
}

void group_control::setWorkers(const std::vector<decision::worker_joined> &workers, time_point now,
                               std::vector<control_action> &actions)
{
    within(now, actions, [&] {
        std::set<worker_id> listed;
        for (const auto &worker : workers) {
            listed.insert(worker.worker);
            if (!m_workers.emplace(worker.worker, worker).second)
                continue;
            feedLeases(worker_listed {worker.worker});
            feedScheduler(worker);
        }
        for (auto at = m_workers.begin(); at != m_workers.end();) {
            const auto worker = at->first;
            if (listed.contains(worker)) {
                ++at;
                continue;
            }
            at = m_workers.erase(at);
            m_leaving.erase(worker);
            m_running.erase(worker);
            feedLeases(worker_unlisted {worker});
            feedScheduler(decision::worker_dead {worker});
        }
    });
}

void group_control::step(const ownership_event &event, time_point now,
                         std::vector<control_action> &actions)
{
    within(now, actions, [&] {
        std::vector<ownership_action> made;
        m_ownership.step(event, now, made);
        for (const auto &action : made)
            pass(action);
    });
}

void group_control::step(const backend::reply_message &message, time_point now,
                         std::vector<control_action> &actions)
{
    within(now, actions, [&] {
        auto &running = m_running[message.reply.worker];
        running.clear();
        for (std::size_t at = 0; at < message.held.size(); ++at)
            running.push_back({message.reply.running[at], message.held[at]});
        // Ends first: a task that is not running any more would else count as lost.
        for (const auto &ended : message.ended)
            noteEnded(message.reply.worker, ended);
        feedLeases(message.reply);
        noteStarted(message.reply.running);
    });
}

void group_control::workerLeaving(worker_id worker, time_point now,
                                  std::vector<control_action> &actions)
{
    if (!m_workers.contains(worker) || !m_leaving.insert(worker).second)
        return;
    within(now, actions, [&] {
        feedLeases(worker_marked_leaving {worker});
        feedScheduler(decision::worker_draining {worker, now + m_limits.drain});
    });
}

void group_control::formerStopped(const instance_ref &former, time_point now,
                                  std::vector<control_action> &actions)
{
    within(now, actions, [&] { feedLeases(previous_owner_stopped {former}); });
}

void group_control::tick(time_point now, std::vector<control_action> &actions)
{
    within(now, actions, [&] {
        std::vector<ownership_action> made;
        m_ownership.step(ownership_tick {}, now, made);
        for (const auto &action : made)
            pass(action);
        feedLeases(lease_tick {});
        const auto due = takesJobs() ? m_scheduler->nextDeadline() : std::nullopt;
        if (!due || *due > now)
            return;
        std::vector<decision::task_action> tasks;
        m_scheduler->expire(now, tasks);
        for (const auto &action : tasks)
            pass(action);
    });
}

std::optional<time_point> group_control::nextDeadline() const
{
    return takesJobs() ? m_scheduler->nextDeadline() : std::nullopt;
}

void group_control::jobsLoaded(const epoch &authority,
                               const std::vector<decision::job_submitted> &jobs, time_point now,
                               std::vector<control_action> &actions)
{
    if (m_loaded || !m_scheduler || m_ownership.authority() != authority)
        return;
    within(now, actions, [&] {
        m_loaded = true;
        for (auto job : jobs) {
            job.origin = decision::job_origin::Recovered;
            job.attemptFloor = attemptFloor(authority);
            m_jobs.insert_or_assign(job.job, job);
            feedScheduler(job);
        }
        const auto unconfirmed = std::move(m_unconfirmed);
        m_unconfirmed.clear();
        for (const auto worker : unconfirmed) {
            if (m_leases.ready(worker))
                confirmWorker({worker, {}});
        }
    });
}

void group_control::step(const decision::task_event &event, time_point now,
                         std::vector<control_action> &actions)
{
    within(now, actions, [&] {
        if (const auto *submitted = std::get_if<decision::job_submitted>(&event)) {
            auto job = *submitted;
            if (m_ownership.authority())
                job.attemptFloor = attemptFloor(*m_ownership.authority());
            m_jobs.insert_or_assign(job.job, job);
            m_accepted.insert(job.job);
            feedScheduler(job);
            return;
        }
        feedScheduler(event);
    });
}

void group_control::setQuotas(const std::vector<decision::quota_changed> &quotas, time_point now,
                              std::vector<control_action> &actions)
{
    m_quotas = quotas;
    within(now, actions, [&] {
        for (const auto &quota : m_quotas)
            feedScheduler(quota);
    });
}

decision::wait_report group_control::explainWait(job_id job) const
{
    if (takesJobs())
        return m_scheduler->explainWait(job);
    return {decision::wait_reason::WorkersUnconfirmed, 0};
}

backend::task_payload group_control::payloadOf(const task_id &task) const
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end())
        return {};
    const auto &job = found->second;
    return {job.perTask, {}, job.runTime, job.checkpointable};
}

void group_control::pass(const ownership_action &action)
{
    if (const auto *gained = std::get_if<authority_gained>(&action)) {
        begin(*gained);
    } else if (const auto *confirmed = std::get_if<authority_confirmed>(&action)) {
        feedLeases(*confirmed);
    } else if (const auto *lost = std::get_if<authority_lost>(&action)) {
        feedLeases(*lost);
        end();
    } else if (const auto *write = std::get_if<write_row>(&action)) {
        m_actions->emplace_back(*write);
    } else {
        m_actions->emplace_back(read_row {});
    }
}

void group_control::begin(const authority_gained &event)
{
    end();
    m_actions->emplace_back(group_gained {event.authority});
    m_scheduler = std::make_unique<decision::task_scheduler>(m_limits.tasks);
    for (const auto &[id, worker] : m_workers)
        feedScheduler(worker);
    for (const auto &quota : m_quotas)
        feedScheduler(quota);
    for (const auto worker : m_leaving)
        feedScheduler(decision::worker_draining {worker, m_now + m_limits.drain});
    feedLeases(event);
    m_actions->emplace_back(load_jobs {event.authority});
}

void group_control::end()
{
    if (!m_scheduler)
        return;
    m_scheduler.reset();
    m_loaded = false;
    m_unconfirmed.clear();
    m_formerEnds.clear();
    m_settledEnds.clear();
    m_starting.clear();
    m_jobs.clear();
    m_accepted.clear();
    m_actions->emplace_back(group_lost {});
}

void group_control::feedLeases(const lease_event &event)
{
    std::vector<lease_action> made;
    m_leases.step(event, m_now, made);
    for (const auto &action : made)
        pass(action);
}

void group_control::feedScheduler(const decision::task_event &event)
{
    if (!m_scheduler)
        return;
    std::vector<decision::task_action> made;
    m_scheduler->step(event, m_now, made);
    for (const auto &action : made)
        pass(action);
}

void group_control::pass(const lease_action &action)
{
    if (const auto *order = std::get_if<send_order>(&action)) {
        m_actions->emplace_back(order->order);
    } else if (const auto *ready = std::get_if<worker_ready>(&action)) {
        m_actions->emplace_back(*ready);
        confirmWorker(*ready);
    } else if (const auto *unready = std::get_if<worker_unready>(&action)) {
        m_actions->emplace_back(*unready);
        m_unconfirmed.erase(unready->worker);
        // A leaving worker still answers; the scheduler is draining it.
        if (!m_leaving.contains(unready->worker))
            feedScheduler(decision::worker_lost {unready->worker});
    } else if (const auto *stopped = std::get_if<task_stopped>(&action)) {
        m_starting.erase(stopped->task);
        feedScheduler(decision::task_confirmed_stopped {stopped->task});
    } else if (const auto *refused = std::get_if<start_refused>(&action)) {
        m_starting.erase(refused->task);
        feedScheduler(decision::task_ended {refused->task, decision::task_outcome::NotStarted});
    } else if (const auto *heard = std::get_if<epoch_received>(&action)) {
        std::vector<ownership_action> made;
        m_ownership.step(*heard, m_now, made);
        for (const auto &next : made)
            pass(next);
    }
}

void group_control::confirmWorker(const worker_ready &event)
{
    if (!m_loaded) {
        m_unconfirmed.insert(event.worker);
        return;
    }
    // What a former owner started and has ended since is told as running, holding nothing, and then
    // as ended: the scheduler adopts it under its attempt and does not run it again.
    auto running = m_running[event.worker];
    const auto ends = std::move(m_formerEnds[event.worker]);
    m_formerEnds.erase(event.worker);
    for (const auto &[task, outcome] : ends)
        running.push_back({task, {}});
    feedScheduler(decision::worker_confirmed {event.worker, std::move(running)});
    for (const auto &[task, outcome] : ends) {
        m_settledEnds.insert(task);
        settleEnd({task, outcome});
    }
}

bool group_control::startedHere(const task_id &task) const
{
    const auto &authority = m_ownership.authority();
    return authority && task.attempt > attemptFloor(*authority);
}

void group_control::noteEnded(worker_id worker, const backend::ended_task &ended)
{
    if (!m_scheduler)
        return;
    if (startedHere(ended.task))
        return settleEnd(ended);
    if (!m_settledEnds.contains(ended.task))
        m_formerEnds[worker].emplace(ended.task, ended.outcome);
}

void group_control::settleEnd(const backend::ended_task &ended)
{
    m_starting.erase(ended.task);
    if (ended.outcome == decision::task_outcome::Succeeded)
        m_actions->emplace_back(task_finished {ended.task});
    feedScheduler(decision::task_ended {ended.task, ended.outcome});
}

void group_control::noteStarted(const std::vector<task_id> &running)
{
    for (const auto &task : running) {
        if (m_starting.erase(task) > 0)
            feedScheduler(decision::task_started {task});
    }
}

void group_control::pass(const decision::task_action &action)
{
    if (const auto *starting = std::get_if<decision::start_task>(&action)) {
        start(*starting);
    } else if (const auto *stopping = std::get_if<decision::stop_task>(&action)) {
        feedLeases(stop_requested {stopping->task});
    } else if (const auto *finished = std::get_if<decision::finish_job>(&action)) {
        m_jobs.erase(finished->job);
        m_accepted.erase(finished->job);
        m_actions->emplace_back(*finished);
    } else if (const auto *rejected = std::get_if<decision::reject_job>(&action)) {
        m_jobs.erase(rejected->job);
        m_accepted.erase(rejected->job);
        m_actions->emplace_back(*rejected);
    } else if (const auto *checkpoint = std::get_if<decision::checkpoint_task>(&action)) {
        m_actions->emplace_back(*checkpoint);
    } else if (const auto *throttle = std::get_if<decision::throttle_task>(&action)) {
        m_actions->emplace_back(*throttle);
    } else if (const auto *quarantine = std::get_if<decision::quarantine_worker>(&action)) {
        m_actions->emplace_back(*quarantine);
    } else if (const auto *returned = std::get_if<decision::release_worker>(&action)) {
        m_actions->emplace_back(*returned);
    }
}

void group_control::start(const decision::start_task &action)
{
    m_starting.insert(action.task);
    const bool accepted = m_accepted.contains(action.task.job);
    const auto origin = accepted ? task_origin::Accepted : task_origin::Inherited;
    feedLeases(start_requested {action.worker, action.task, origin});
}

} // namespace plantaingap::runtime
