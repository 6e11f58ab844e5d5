#include "runtime/group_shell.h"

#include "platform/row_codec.h"
#include "support/log.h"
#include "support/stable_id.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantaingap::runtime {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using support::log_event;
using support::log_level;
using support::stableId;

namespace {

// Orders to one worker that may be on their way at a time and keep their connection.
constexpr std::size_t orderConnections = 2;

decision::worker_joined joined(const named_worker &worker)
{
    decision::worker_joined event;
    event.worker = stableId<worker_id>(worker.name);
    // Workers that hold the same are of one class.
    const auto &capacity = worker.capacity;
    const auto label = std::to_string(capacity.milliCores) + "/"
                       + std::to_string(capacity.memoryMib) + "/"
                       + std::to_string(capacity.accelerators);
    event.kind = stableId<decision::worker_class>(label);
    event.rack = stableId<rack_id>(worker.location.rack);
    event.dataCentre = stableId<data_centre_id>(worker.location.dataCentre);
    event.region = stableId<region_id>(worker.location.region);
    event.capacity = capacity;
    return event;
}

job_state stateOf(decision::job_outcome outcome)
{
    switch (outcome) {
    case decision::job_outcome::Succeeded:
        return job_state::Succeeded;
    case decision::job_outcome::Failed:
        return job_state::Failed;
    case decision::job_outcome::Cancelled:
        return job_state::Cancelled;
    case decision::job_outcome::TooLate:
        break;
    }
    return job_state::TooLate;
}

wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

log_event &withEpoch(log_event &event, const epoch &authority)
{
    return event.field("generation", authority.generation).field("rank", authority.rank);
}

} // namespace

group_shell::group_shell(control_services &services, std::string name, const instance_ref &self,
                         const group_limits &limits)
    : m_services(services)
    , m_name(std::move(name))
    , m_control(self, limits)
    , m_desk(services.platform, m_name, rowKey(m_name))
{ }

void group_shell::setWorkers(std::vector<named_worker> workers)
{
    std::vector<decision::worker_joined> joining;
    std::set<worker_id> listed;
    for (auto &worker : workers) {
        const auto id = stableId<worker_id>(worker.name);
        const auto endpoint = support::parseEndpoint(worker.address);
        if (endpoint.has_error()) {
            log_event(log_level::Warning, "worker.bad_address")
                .field("worker", worker.name)
                .field("address", worker.address);
            continue;
        }
        joining.push_back(joined(worker));
        listed.insert(id);
        auto &link = m_workers[id];
        if (!link.client || link.listed.address != worker.address)
            link.client = std::make_unique<support::http_client>(m_services.context, *endpoint,
                                                                 orderConnections);
        link.listed = std::move(worker);
    }
    std::erase_if(m_workers, [&](const auto &entry) { return !listed.contains(entry.first); });
    std::vector<control_action> actions;
    m_control.setWorkers(joining, clock::now(), actions);
    carryOut(actions);
}

void group_shell::step(const ownership_event &event)
{
    std::vector<control_action> actions;
    m_control.step(event, clock::now(), actions);
    carryOut(actions);
}

void group_shell::workerLeaving(worker_id worker)
{
    std::vector<control_action> actions;
    m_control.workerLeaving(worker, clock::now(), actions);
    carryOut(actions);
}

void group_shell::setQuotas(const std::vector<decision::quota_changed> &quotas)
{
    std::vector<control_action> actions;
    m_control.setQuotas(quotas, clock::now(), actions);
    carryOut(actions);
}

void group_shell::formerStopped(const instance_ref &former)
{
    std::vector<control_action> actions;
    m_control.formerStopped(former, clock::now(), actions);
    carryOut(actions);
}

void group_shell::tick()
{
    std::vector<control_action> actions;
    m_control.tick(clock::now(), actions);
    carryOut(actions);
    if (m_desk.dirty() && !m_flushing && m_control.authority())
        spawn(flushJobs());
}

std::vector<group_shell::worker_view> group_shell::workers() const
{
    std::vector<worker_view> views;
    for (const auto &[id, link] : m_workers)
        views.push_back({link.listed, link.busySlots});
    return views;
}

bool group_shell::takeReadWanted()
{
    return std::exchange(m_readWanted, false);
}

void group_shell::spawn(asio::awaitable<void> work)
{
    asio::co_spawn(m_services.context, std::move(work), asio::detached);
}

void group_shell::carryOut(const std::vector<control_action> &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &typed) { on(typed); }, action);
}

void group_shell::on(const read_row &)
{
    m_readWanted = true;
}

void group_shell::on(const write_row &action)
{
    spawn(writeGroupRow(action.row));
}

void group_shell::on(const group_gained &action)
{
    log_event event(log_level::Info, "group.gained");
    withEpoch(event.field("group", m_name), action.authority);
    m_desk.begin(action.authority);
    m_services.tell(group_owned {m_name, action.authority});
}

void group_shell::on(const group_lost &)
{
    log_event(log_level::Info, "group.lost").field("group", m_name);
    m_services.tell(group_given_up {m_name});
}

void group_shell::on(const load_jobs &action)
{
    spawn(loadJobs(action.authority));
}

void group_shell::on(const worker_order &action)
{
    backend::order_message message {m_name, action, {}, {}};
    const auto worker = std::visit([](const auto &order) { return order.worker; }, action);
    if (const auto *starting = std::get_if<start_order>(&action)) {
        message.payload = m_control.payloadOf(starting->task);
        if (const auto *row = m_desk.find(starting->task.job))
            message.payload.command = row->spec.command;
    }
    const auto link = m_workers.find(worker);
    if (link == m_workers.end())
        return;
    message.acknowledged = std::move(link->second.acknowledged);
    link->second.acknowledged.clear();
    spawn(sendOrder(worker, std::move(message)));
}

void group_shell::on(const worker_ready &action)
{
    const auto link = m_workers.find(action.worker);
    if (link == m_workers.end() || !m_control.authority())
        return;
    m_services.tell(worker_usable {m_name, *m_control.authority(), link->second.listed,
                                   link->second.busySlots});
}

void group_shell::on(const worker_unready &action)
{
    const auto link = m_workers.find(action.worker);
    if (link != m_workers.end())
        m_services.tell(worker_unusable {m_name, link->second.listed.name});
}

void group_shell::on(const task_finished &action)
{
    m_desk.taskFinished(action.task);
}

void group_shell::on(const decision::checkpoint_task &action)
{
    // The scheduler stops the task when its time for a checkpoint is over.
    log_event(log_level::Info, "task.checkpoint")
        .field("job", number(action.task.job))
        .field("index", action.task.index);
}

void group_shell::on(const decision::throttle_task &action)
{
    log_event(log_level::Info, "task.throttle")
        .field("job", number(action.task.job))
        .field("index", action.task.index);
}

void group_shell::on(const decision::reject_job &action)
{
    m_desk.ended(action.job, job_state::Rejected);
}

void group_shell::on(const decision::finish_job &action)
{
    m_desk.ended(action.job, stateOf(action.outcome));
}

void group_shell::on(const decision::quarantine_worker &action)
{
    const auto link = m_workers.find(action.worker);
    if (link != m_workers.end())
        log_event(log_level::Warning, "worker.quarantined")
            .field("worker", link->second.listed.name);
}

void group_shell::on(const decision::release_worker &action)
{
    const auto link = m_workers.find(action.worker);
    if (link != m_workers.end())
        log_event(log_level::Info, "worker.returned").field("worker", link->second.listed.name);
}

asio::awaitable<void> group_shell::writeGroupRow(group_row row)
{
    const std::vector<platform::table_change> changes = {
        {rowKey(m_name), row.generation - 1, platform::groupRowText(row)}};
    const auto outcomes = co_await m_services.platform.commit(
        changes, platform::commit_mode::Independent, clock::now() + m_services.callTime);
    step(row_written {row.write, outcomes.front()});
}

asio::awaitable<void> group_shell::loadJobs(epoch authority)
{
    while (m_control.authority() == authority) {
        const auto rows = co_await m_desk.load(clock::now() + m_services.callTime);
        if (m_control.authority() != authority)
            co_return;
        if (rows.has_error()) {
            asio::steady_timer pause(m_services.context, std::chrono::milliseconds(500));
            boost::system::error_code ignored;
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        std::vector<decision::job_submitted> jobs;
        for (const auto &row : *rows) {
            if (row.state == job_state::Accepted)
                jobs.push_back(jobSubmitted(row, clock::now(), wallNow()));
        }
        log_event event(log_level::Info, "group.jobs_loaded");
        withEpoch(event.field("group", m_name).field("jobs", std::uint64_t {jobs.size()}),
                  authority);
        std::vector<control_action> actions;
        m_control.jobsLoaded(authority, jobs, clock::now(), actions);
        for (const auto &row : *rows) {
            if (row.cancelRequested && row.state == job_state::Accepted)
                m_control.step(decision::job_cancelled {jobIdOf(row.spec.name)}, clock::now(),
                               actions);
        }
        carryOut(actions);
        co_return;
    }
}

asio::awaitable<void> group_shell::sendOrder(worker_id worker, backend::order_message message)
{
    const auto askedAt = clock::now();
    const auto link = m_workers.find(worker);
    if (link == m_workers.end())
        co_return;
    auto request = support::makeRequest(http::verb::post, "/orders",
                                        boost::json::serialize(backend::orderToJson(message)));
    const auto outcome =
        co_await link->second.client->fetch(std::move(request), askedAt + m_services.callTime);
    if (outcome.has_error() || outcome->result() != http::status::ok)
        co_return;
    boost::system::error_code error;
    const auto document = boost::json::parse(outcome->body(), error);
    auto answer = error ? result<backend::reply_message>(make_error_code(errc::Malformed))
                        : backend::replyFromJson(document, worker);
    if (answer.has_error()) {
        log_event(log_level::Warning, "worker.bad_answer").field("worker", number(worker));
        co_return;
    }
    answer->reply.askedAt = askedAt;
    const auto still = m_workers.find(worker);
    if (still == m_workers.end())
        co_return;
    const bool changed = still->second.busySlots != answer->busySlots;
    still->second.busySlots = answer->busySlots;
    if (changed && m_control.authority() && m_control.ready(worker))
        m_services.tell(worker_slots_held {m_name, still->second.listed.name, answer->busySlots});
    std::vector<control_action> actions;
    m_control.step(*answer, clock::now(), actions);
    carryOut(actions);
}

asio::awaitable<void> group_shell::flushJobs()
{
    m_flushing = true;
    const auto durable = co_await m_desk.flush(clock::now() + m_services.callTime);
    m_flushing = false;
    // Every worker is told; those that know nothing of a task pass over it.
    for (auto &[id, link] : m_workers)
        link.acknowledged.insert(link.acknowledged.end(), durable.begin(), durable.end());
}

asio::awaitable<errc> group_shell::submit(job_spec spec, time_point deadline)
{
    if (!m_control.takesJobs())
        co_return errc::NotReady;
    const auto authority = m_control.authority();
    const bool known = m_desk.find(spec.name) != nullptr;
    const auto outcome = co_await m_desk.insert(spec, deadline);
    const bool ours = m_control.takesJobs() && m_control.authority() == authority;
    if (outcome != errc::Ok || known || !ours)
        co_return outcome;
    std::vector<control_action> actions;
    const job_row row {spec, job_state::Accepted, false, {}};
    m_control.step(jobSubmitted(row, clock::now(), wallNow()), clock::now(), actions);
    carryOut(actions);
    co_return outcome;
}

asio::awaitable<errc> group_shell::cancel(std::string name, time_point deadline)
{
    const auto outcome = co_await m_desk.requestCancel(name, deadline);
    if (outcome != errc::Ok)
        co_return outcome;
    std::vector<control_action> actions;
    m_control.step(decision::job_cancelled {jobIdOf(name)}, clock::now(), actions);
    carryOut(actions);
    co_return outcome;
}

} // namespace plantaingap::runtime
