#include "cell/leader.h"
#include "support/boot_time.h"
#include "support/log.h"

#include <array>

// The leader's log and metrics about jobs that wait and what is spent on them.
namespace plantaingap::cell {

using support::log_event;
using support::log_level;

namespace {

// Jobs past their objective that are explained with each load log, one line each.
constexpr std::size_t overdueJobsLogged = 4;
constexpr unsigned statusOk = 200;
// Jobs that are not done and are explained when the leader resigns or is asked, one line each.
constexpr std::size_t unfinishedJobsLogged = 100;

struct figure
{
    std::string_view name;
    std::string_view metric;
    std::uint64_t jobs::kind_figures::*value;
};

constexpr std::array<figure, 8> figures {
    {{"advice_calls", "step_advice_calls_total", &jobs::kind_figures::adviceCalls},
     {"workers_named", "step_workers_named_total", &jobs::kind_figures::workersNamed},
     {"tickets_granted", "step_tickets_granted_total", &jobs::kind_figures::ticketsGranted},
     {"tickets_used", "step_tickets_used_total", &jobs::kind_figures::ticketsUsed},
     {"tickets_unused", "step_tickets_unused_total", &jobs::kind_figures::ticketsUnused},
     {"waiting", "steps_waiting", &jobs::kind_figures::waiting},
     {"late", "steps_late", &jobs::kind_figures::late},
     {"awaiting_instance", "steps_awaiting_instance", &jobs::kind_figures::awaitingInstance}}};

struct size_figure
{
    std::string_view name;
    std::uint64_t jobs::size_figures::*value;
};

// A metric is named "jobs_", the name, "_total".
constexpr std::array<size_figure, 6> sizeFigures {
    {{"submitted", &jobs::size_figures::submitted},
     {"accepted", &jobs::size_figures::accepted},
     {"refused", &jobs::size_figures::refused},
     {"on_time", &jobs::size_figures::onTime},
     {"late", &jobs::size_figures::late},
     {"without_value", &jobs::size_figures::withoutValue}}};

// Causes from this one on break a gang; the ones before tell that no cause is known.
constexpr auto firstBreak = static_cast<std::size_t>(jobs::run_end_cause::NotStarted);

std::string inSeconds(duration span)
{
    return std::to_string(std::chrono::duration<double>(span).count());
}

void addExplanation(const jobs::job_explanation &explanation, std::string &text)
{
    text.append("job=").append(explanation.job).append(" why=\"").append(explanation.why);
    text.append("\"\n");
}

template<class Function>
void forEachKind(const jobs::figures_by_queue &queues, Function function)
{
    for (const auto &[name, queue] : queues) {
        function(name, false, queue.tasks);
        function(name, true, queue.gangs);
    }
}

} // namespace

void leader::logFigures()
{
    forEachKind(m_scheduler.figures(),
                [this](const std::string &queue, bool gang, const jobs::kind_figures &kind) {
                    const auto &logged = m_loggedFigures[queue];
                    if (kind == (gang ? logged.gangs : logged.tasks))
                        return;
                    log_event line(log_level::Info, "leader.load_by_kind");
                    line.field("partition", m_options.partition.index)
                        .field("queue", queue)
                        .field("gang", gang ? 1 : 0);
                    for (const auto &[name, metric, value] : figures)
                        line.field(name, kind.*value);
                    line.field("waited_s", inSeconds(kind.waited));
                    for (auto cause = firstBreak; gang && cause < jobs::runEndCauses; ++cause) {
                        const auto name = jobs::runEndName(static_cast<jobs::run_end_cause>(cause));
                        line.field("broken_" + std::string(name), kind.gangsBroken[cause]);
                    }
                });
    m_loggedFigures = m_scheduler.figures();
}

void leader::logSizes()
{
    for (const auto &[queue, bands] : m_scheduler.sizes().figures()) {
        auto &logged = m_loggedSizes[queue];
        for (std::size_t band = 0; band < jobs::sizeBands; ++band) {
            if (bands[band] == logged[band])
                continue;
            log_event line(log_level::Info, "leader.jobs_by_size");
            line.field("partition", m_options.partition.index)
                .field("queue", queue)
                .field("size", jobs::bandName(static_cast<jobs::size_band>(band)));
            for (const auto &[name, value] : sizeFigures)
                line.field(name, bands[band].*value);
        }
        logged = bands;
    }
}

void leader::logDuties()
{
    const auto inMilliseconds = [](duration span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    log_event line(log_level::Info, "leader.duties");
    line.field("partition", m_options.partition.index)
        .field("greatest_lag_ms", inMilliseconds(m_greatestLag));
    for (std::size_t duty = 0; duty < leaderDuties; ++duty) {
        const auto spent = m_duties.spent()[duty] - m_loggedDuties[duty];
        line.field(std::string(dutyNames[duty]) + "_ms", inMilliseconds(spent));
    }
    m_loggedDuties = m_duties.spent();
    m_greatestLag = {};
}

void leader::addFigures(std::string &metrics) const
{
    const auto partition = "partition=\"" + std::to_string(m_options.partition.index) + "\"";
    forEachKind(m_scheduler.figures(),
                [&](const std::string &queue, bool gang, const jobs::kind_figures &kind) {
                    const auto labels =
                        partition + ",queue=\"" + queue + "\",gang=\"" + (gang ? "1" : "0") + "\"";
                    const auto add = [&](std::string_view name, std::string_view further,
                                         const std::string &value) {
                        metrics.append("plantaingap_").append(name).append("{").append(labels);
                        metrics.append(further).append("} ").append(value).append("\n");
                    };
                    for (const auto &[name, metric, value] : figures)
                        add(metric, {}, std::to_string(kind.*value));
                    add("steps_waited_seconds_total", {}, inSeconds(kind.waited));
                    for (auto cause = firstBreak; gang && cause < jobs::runEndCauses; ++cause) {
                        const auto name = jobs::runEndName(static_cast<jobs::run_end_cause>(cause));
                        add("gangs_broken_total", ",cause=\"" + std::string(name) + "\"",
                            std::to_string(kind.gangsBroken[cause]));
                    }
                });
}

// A line for each workspace and figure. Names come from the configuration.
void leader::addWorkspaces(std::string &metrics) const
{
    for (const auto &[name, account] : m_scheduler.accounts().all()) {
        std::string label;
        for (const char character : name) {
            if (character == '"' || character == '\\')
                label.push_back('\\');
            label.push_back(character == '\n' ? ' ' : character);
        }
        const auto add = [&](std::string_view metric, std::uint64_t value) {
            metrics.append("plantaingap_workspace_").append(metric).append("{partition=\"");
            metrics.append(std::to_string(m_options.partition.index)).append("\",workspace=\"");
            metrics.append(label).append("\"} ").append(std::to_string(value)).append("\n");
        };
        add("used_millicores", static_cast<std::uint64_t>(account.used.milliCores));
        add("used_memory_mib", static_cast<std::uint64_t>(account.used.memoryMib));
        add("limit_millicores", static_cast<std::uint64_t>(account.limit.milliCores));
        add("limit_memory_mib", static_cast<std::uint64_t>(account.limit.memoryMib));
        add("jobs_beyond_share_total", account.submittedBeyond);
        add("jobs_refused_beyond_share_total", account.refusedBeyond);
        add("jobs_refused_by_limit_total", account.refusedByLimit);
    }
}

void leader::addSizes(std::string &metrics) const
{
    const auto partition = "partition=\"" + std::to_string(m_options.partition.index) + "\"";
    for (const auto &[queue, bands] : m_scheduler.sizes().figures()) {
        for (std::size_t band = 0; band < jobs::sizeBands; ++band) {
            const auto size = jobs::bandName(static_cast<jobs::size_band>(band));
            for (const auto &[name, value] : sizeFigures) {
                metrics.append("plantaingap_jobs_").append(name).append("_total{");
                metrics.append(partition).append(",queue=\"").append(queue);
                metrics.append("\",size=\"").append(size).append("\"} ");
                metrics.append(std::to_string(bands[band].*value)).append("\n");
            }
        }
    }
}

// Names of images are callers' text of any number, so pairs appear only in the log.
void leader::addInterference(std::string &metrics) const
{
    if (!m_scheduler.keepsInterferingApart())
        return;
    const auto &model = m_scheduler.interference();
    const auto &counts = model.counts();
    const std::array<std::pair<std::string_view, std::uint64_t>, 6> values {
        {{"observations_total", counts.observations},
         {"found_total", counts.found},
         {"gone_total", counts.gone},
         {"kinds", model.kinds()},
         {"pairs", model.pairs()},
         {"pairs_apart", model.pairsApart()}}};
    for (const auto &[name, value] : values) {
        metrics.append("plantaingap_interference_").append(name).append("{partition=\"");
        metrics.append(std::to_string(m_options.partition.index)).append("\"} ");
        metrics.append(std::to_string(value)).append("\n");
    }
}

void leader::logWaits(const jobs::job_explanations &waits, time_point now)
{
    const auto log = [this](std::string_view event, const jobs::job_explanation &line) {
        log_event(log_level::Info, event)
            .field("partition", m_options.partition.index)
            .field("job", line.job)
            .field("why", line.why);
    };
    for (const auto &line : m_scheduler.explainOverdue(overdueJobsLogged, now))
        log("job.overdue", line);
    for (const auto &line : waits.jobs)
        log("job.waiting", line);
    if (waits.leftOut > 0) {
        log_event(log_level::Info, "job.waiting_suppressed")
            .field("partition", m_options.partition.index)
            .field("count", static_cast<std::uint64_t>(waits.leftOut));
    }
}

std::string leader::explainJob(const std::string &id, time_point now) const
{
    const auto state = m_scheduler.state(id);
    const std::string_view unstored = m_scheduler.awaitingStore(id) ? "not_stored" : "unknown";
    auto text = " job=" + id + " state=" + std::string(state ? jobs::stateName(*state) : unstored);
    text += "\n";
    if (state && *state > jobs::job_state::Running)
        return text;
    for (const auto &why : m_scheduler.explain(id, now))
        addExplanation({id, why}, text);
    return text;
}

caller_response leader::explainJobs(std::string_view target) const
{
    const auto now = support::bootNow();
    const auto load = m_scheduler.load(now);
    caller_response response;
    response.leads = true;
    response.status = statusOk;
    response.body = "partition=" + std::to_string(m_options.partition.index)
                    + " leader=" + m_options.instance + " term=" + std::to_string(m_row.term)
                    + " cores_used=" + std::to_string(load.used.milliCores / 1000)
                    + " cores_reserved=" + std::to_string(load.reservedMilliCores / 1000)
                    + " cores=" + std::to_string(load.capacity.milliCores / 1000);
    if (const auto id = jobIdOf(target); !id.empty()) {
        response.body += explainJob(std::string(id), now);
        return response;
    }
    const auto unfinished = m_scheduler.explainUnfinished(unfinishedJobsLogged, now);
    response.body += " explained=" + std::to_string(unfinished.jobs.size())
                     + " left_out=" + std::to_string(unfinished.leftOut) + "\n";
    for (const auto &explanation : unfinished.jobs)
        addExplanation(explanation, response.body);
    return response;
}

void leader::logUnfinished() const
{
    const auto now = support::bootNow();
    const auto load = m_scheduler.load(now);
    const auto unfinished = m_scheduler.explainUnfinished(unfinishedJobsLogged, now);
    const auto addRoom = [&load, this](log_event &line) {
        line.field("partition", m_options.partition.index)
            .field("cores_used", load.used.milliCores / 1000)
            .field("cores_reserved", load.reservedMilliCores / 1000)
            .field("cores", load.capacity.milliCores / 1000);
    };
    for (const auto &[job, why] : unfinished.jobs) {
        log_event line(log_level::Info, "job.unfinished");
        addRoom(line);
        line.field("job", job).field("why", why);
    }
    log_event line(log_level::Info, "leader.unfinished_jobs");
    addRoom(line);
    line.field("term", m_row.term)
        .field("explained", static_cast<std::uint64_t>(unfinished.jobs.size()))
        .field("left_out", static_cast<std::uint64_t>(unfinished.leftOut));
}

} // namespace plantaingap::cell
