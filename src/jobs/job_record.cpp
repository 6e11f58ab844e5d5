#include "jobs/job_record.h"

#include "jobs/fleet.h"
#include "jobs/task_capacity.h"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>

namespace plantaingap::jobs {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<job_state, std::string_view>, 5> stateNames {
    {{job_state::Queued, "queued"},
     {job_state::Running, "running"},
     {job_state::Completed, "completed"},
     {job_state::Failed, "failed"},
     {job_state::Cancelled, "cancelled"}}};

// Boolean properties of a step, each stored as one character when set.
constexpr std::array<std::pair<char, bool step_definition::*>, 6> stepFlags {
    {{'g', &step_definition::gang},
     {'r', &step_definition::singleRack},
     {'c', &step_definition::checkpoints},
     {'m', &step_definition::speculative},
     {'l', &step_definition::longRunning},
     {'f', &step_definition::bestEffort}}};

json::array encodeNumbers(const std::vector<std::uint32_t> &numbers)
{
    return json::array(numbers.begin(), numbers.end());
}

std::vector<std::uint32_t> decodeNumbers(const json::value &value)
{
    std::vector<std::uint32_t> numbers;
    for (const auto &entry : value.as_array())
        numbers.push_back(entry.to_number<std::uint32_t>());
    return numbers;
}

json::array encodeStep(const step_definition &step)
{
    std::string flags;
    for (const auto &[letter, member] : stepFlags) {
        if (step.*member)
            flags.push_back(letter);
    }
    return {step.tasks,
            step.demand.milliCores,
            step.demand.memoryMib,
            step.demand.accelerators,
            step.estimate.count(),
            encodeNumbers(step.after),
            flags,
            step.label,
            step.dataRack,
            step.image,
            step.maxPerWorker,
            step.latencyTarget.count(),
            step.maxUnavailable ? static_cast<std::int64_t>(*step.maxUnavailable) : -1};
}

step_definition decodeStep(const json::array &row)
{
    step_definition step;
    step.tasks = row.at(0).to_number<std::uint32_t>();
    step.demand = {row.at(1).to_number<std::int64_t>(), row.at(2).to_number<std::int64_t>(),
                   row.at(3).to_number<std::int64_t>()};
    step.estimate = milliseconds(row.at(4).to_number<std::int64_t>());
    step.after = decodeNumbers(row.at(5));
    const std::string_view flags = row.at(6).as_string();
    for (const auto &[letter, member] : stepFlags)
        step.*member = flags.find(letter) != std::string_view::npos;
    step.label = row.at(7).as_string().c_str();
    step.dataRack = row.at(8).as_string().c_str();
    step.image = row.at(9).as_string().c_str();
    step.maxPerWorker = row.at(10).to_number<std::uint32_t>();
    step.latencyTarget = milliseconds(row.at(11).to_number<std::int64_t>());
    if (const auto down = row.at(12).to_number<std::int64_t>(); down >= 0)
        step.maxUnavailable = static_cast<std::uint32_t>(down);
    return step;
}

// Version, service, priority, attempts, stretch, slack and, if there is an advisor, its cost.
json::array encodeQueue(const queue_record &record)
{
    const auto &queue = record.queue;
    json::array row {record.version, queue.service, queue.priority,
                     queue.attempts, queue.stretch, queue.slack.count()};
    if (queue.advisor) {
        row.emplace_back(json::array {queue.advisor->perCall.count(),
                                      queue.advisor->perWorker.count(),
                                      queue.advisor->validity.count()});
    }
    return row;
}

queue_record decodeQueue(const json::array &row, const std::string &name)
{
    queue_record record;
    record.version = row.at(0).to_number<std::uint64_t>();
    auto &queue = record.queue;
    queue.name = name;
    queue.service = row.at(1).as_string().c_str();
    queue.priority = row.at(2).to_number<std::uint32_t>();
    queue.attempts = row.at(3).to_number<std::uint32_t>();
    queue.stretch = row.at(4).to_number<double>();
    queue.slack = milliseconds(row.at(5).to_number<std::int64_t>());
    if (row.size() > 6) {
        const auto &cost = row.at(6).as_array();
        queue.advisor =
            advisor_cost {std::chrono::microseconds(cost.at(0).to_number<std::int64_t>()),
                          std::chrono::microseconds(cost.at(1).to_number<std::int64_t>()),
                          milliseconds(cost.at(2).to_number<std::int64_t>())};
    }
    return record;
}

// The workers that a row names, each once; tasks refer to them by index.
class worker_index
{
public:
    int add(const task_run &task)
    {
        const auto &worker = *task.assignedWorker;
        const auto [entry, added] = m_indexes.try_emplace(worker.entry.id, m_names.size());
        if (added) {
            m_names.emplace_back(worker.entry.id);
            m_incarnations.emplace_back(worker.reports > 0 ? worker.incarnationMs
                                                           : task.recordedIncarnationMs);
        }
        return static_cast<int>(entry->second);
    }
    json::array takeNames() { return std::move(m_names); }
    json::array takeIncarnations() { return std::move(m_incarnations); }

private:
    std::map<std::string, std::size_t> m_indexes;
    json::array m_names;
    json::array m_incarnations;
};

// The cleared attempt, the one that was isolated, then attempt and evidence of each crash.
json::array encodeCrashes(const crash_history &crashes)
{
    json::array row {crashes.clearedAttempt(), crashes.aloneAttempt()};
    for (const auto &[attempt, evidence] : crashes.records()) {
        row.emplace_back(attempt);
        row.emplace_back(static_cast<std::uint32_t>(evidence));
    }
    return row;
}

crash_history decodeCrashes(const json::value &value)
{
    const auto numbers = decodeNumbers(value);
    crash_history crashes;
    crashes.clear(numbers.at(0));
    crashes.startAlone(numbers.at(1));
    for (std::size_t i = 2; i < numbers.size(); i += 2) {
        const auto evidence =
            std::min(numbers.at(i + 1), static_cast<std::uint32_t>(crash_evidence::Alone));
        crashes.add(numbers[i], static_cast<crash_evidence>(evidence));
    }
    return crashes;
}

constexpr int noWorker = -1;

// A row is written again with each change of any task of its job, so a task takes as few bytes as
// its state needs: a done task its attempt, a task that never started 0, and any other
// [attempt, worker, failed attempts, checkpoint, crashes] without the trailing elements that are
// empty.
json::value encodeTask(const task_run &task, worker_index &workers)
{
    if (task.phase == task_phase::Done && task.failedAttempts.empty() && task.attempt > 0)
        return task.attempt;
    if (task.phase == task_phase::Waiting && task.attempt == 0)
        return 0;
    const bool done = task.phase == task_phase::Done;
    json::array row {task.attempt};
    const bool checkpoint = !done && !task.checkpoint.empty();
    const bool crashes = !done && !task.crashes.records().empty();
    const bool failures = !task.failedAttempts.empty();
    const bool placed = !done && task.assignedWorker;
    if (placed || failures || checkpoint || done || crashes)
        row.emplace_back(placed ? workers.add(task) : noWorker);
    if (failures || checkpoint || done || crashes)
        row.emplace_back(encodeNumbers(task.failedAttempts));
    if (done)
        row.emplace_back(true);
    else if (checkpoint || crashes)
        row.emplace_back(task.checkpoint);
    if (crashes)
        row.emplace_back(encodeCrashes(task.crashes));
    return row;
}

// Index and worker of each done task whose run may still exist, in one array.
json::array encodeUnendedRuns(const step_run &step, worker_index &workers)
{
    json::array row;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto &task = step.tasks[i];
        if (task.phase != task_phase::Done || !task.assignedWorker)
            continue;
        row.emplace_back(i);
        row.emplace_back(workers.add(task));
    }
    return row;
}

// The workers that a row names, and their incarnations if it has them.
struct recorded_workers
{
    const json::array *names = nullptr;
    const json::array *incarnations = nullptr;
};

void setWorker(recorded_task &task, std::size_t index, const recorded_workers &workers)
{
    task.worker = workers.names->at(index).as_string().c_str();
    if (workers.incarnations)
        task.incarnationMs = workers.incarnations->at(index).to_number<std::int64_t>();
}

recorded_task decodeTask(const json::value &value, const recorded_workers &workers)
{
    recorded_task task;
    if (!value.is_array()) {
        task.attempt = value.to_number<std::uint32_t>();
        task.done = task.attempt > 0;
        return task;
    }
    const auto &row = value.get_array();
    task.attempt = row.at(0).to_number<std::uint32_t>();
    const auto worker = row.size() > 1 ? row.at(1).to_number<int>() : noWorker;
    if (worker != noWorker)
        setWorker(task, static_cast<std::size_t>(worker), workers);
    if (row.size() > 2)
        task.failedAttempts = decodeNumbers(row.at(2));
    if (row.size() > 3) {
        task.done = row.at(3).is_bool();
        if (!task.done)
            task.checkpoint = row.at(3).as_string().c_str();
    }
    if (row.size() > 4)
        task.crashes = decodeCrashes(row.at(4));
    return task;
}

// A task as the first version of the program wrote it.
recorded_task decodeFirstVersionTask(const json::array &row)
{
    recorded_task task;
    task.done = row.at(0).to_number<int>() == 1;
    task.attempt = row.at(1).to_number<std::uint32_t>();
    task.failedAttempts = decodeNumbers(row.at(2));
    task.worker = row.at(3).as_string().c_str();
    task.checkpoint = row.at(4).as_string().c_str();
    return task;
}

// A row of the first version of the program names the worker with each task.
recorded_step decodeStepProgress(const json::object &row, const recorded_workers &workers)
{
    recorded_step step;
    step.failedAttempts = decodeNumbers(row.at("g"));
    for (const auto &task : row.at("t").as_array()) {
        step.tasks.push_back(workers.names ? decodeTask(task, workers)
                                           : decodeFirstVersionTask(task.as_array()));
    }
    if (const auto *unended = row.if_contains("u")) {
        const auto numbers = decodeNumbers(*unended);
        for (std::size_t i = 0; i + 1 < numbers.size(); i += 2)
            setWorker(step.tasks.at(numbers[i]), numbers[i + 1], workers);
    }
    return step;
}

// Runs a decoder on parsed JSON. A missing or wrongly typed field makes the row malformed.
template<class Decode>
auto decodeText(std::string_view text, Decode decode) -> result<decltype(decode(json::value()))>
{
    try {
        return decode(json::parse(text));
    } catch (const std::exception &) {
        return make_error_code(errc::Malformed);
    }
}

} // namespace

std::string encodeJob(const job_definition &definition, wall_time acceptedAt,
                      const queue_record *queue, bool beyondShare)
{
    json::array steps;
    for (const auto &step : definition.steps)
        steps.push_back(encodeStep(step));
    json::object row {
        {"id", definition.id},
        {"queue", definition.queue},
        {"payload", definition.payload},
        {"steps", std::move(steps)},
        {"occurrences", definition.occurrences},
        {"first_due_ms", definition.firstDue.time_since_epoch().count()},
        {"interval_ms", definition.interval.count()},
        {"accepted_ms", acceptedAt.time_since_epoch().count()},
    };
    if (queue)
        row.emplace("queue_rules", encodeQueue(*queue));
    if (!definition.workspace.empty())
        row.emplace("workspace", definition.workspace);
    if (beyondShare)
        row.emplace("beyond_share", true);
    return json::serialize(row);
}

result<recorded_job> decodeJob(std::string_view text)
{
    return decodeText(text, [](const json::value &value) {
        const auto &row = value.as_object();
        const auto number = [&row](std::string_view key) {
            return row.at(key).to_number<std::int64_t>();
        };
        recorded_job job;
        job.definition.id = row.at("id").as_string().c_str();
        job.definition.queue = row.at("queue").as_string().c_str();
        job.definition.payload = std::string(row.at("payload").as_string());
        for (const auto &step : row.at("steps").as_array())
            job.definition.steps.push_back(decodeStep(step.as_array()));
        job.definition.occurrences = row.at("occurrences").to_number<std::uint32_t>();
        job.definition.firstDue = wall_time(milliseconds(number("first_due_ms")));
        job.definition.interval = milliseconds(number("interval_ms"));
        job.acceptedAt = wall_time(milliseconds(number("accepted_ms")));
        if (const auto *rules = row.if_contains("queue_rules"))
            job.queueRecord = decodeQueue(rules->as_array(), job.definition.queue);
        if (const auto *workspace = row.if_contains("workspace"))
            job.definition.workspace = workspace->as_string().c_str();
        if (const auto *beyond = row.if_contains("beyond_share"))
            job.beyondShare = beyond->as_bool();
        return job;
    });
}

std::string encodeProgress(const job_run &job)
{
    json::object live;
    worker_index workers;
    for (const auto &[number, occurrence] : job.occurrences) {
        json::array steps;
        for (const auto &step : occurrence.steps) {
            json::array tasks;
            for (const auto &task : step.tasks)
                tasks.push_back(encodeTask(task, workers));
            json::object row {{"g", encodeNumbers(step.failedAttempts)}, {"t", std::move(tasks)}};
            if (auto unended = encodeUnendedRuns(step, workers); !unended.empty())
                row.emplace("u", std::move(unended));
            steps.push_back(std::move(row));
        }
        live.emplace(std::to_string(number), std::move(steps));
    }
    return json::serialize(json::object {{"made", job.occurrencesCreated},
                                         {"done", job.occurrencesDone},
                                         {"started", job.everStarted},
                                         {"workers", workers.takeNames()},
                                         {"incarnations", workers.takeIncarnations()},
                                         {"live", std::move(live)}});
}

result<recorded_progress> decodeProgress(std::string_view text)
{
    return decodeText(text, [](const json::value &value) {
        const auto &row = value.as_object();
        recorded_progress progress;
        progress.occurrencesCreated = row.at("made").to_number<std::uint32_t>();
        progress.occurrencesDone = row.at("done").to_number<std::uint32_t>();
        progress.everStarted = row.at("started").as_bool();
        recorded_workers workers;
        if (const auto *names = row.if_contains("workers"))
            workers.names = &names->as_array();
        if (const auto *incarnations = row.if_contains("incarnations"))
            workers.incarnations = &incarnations->as_array();
        for (const auto &[number, steps] : row.at("live").as_object()) {
            auto &into = progress.live[static_cast<std::uint32_t>(std::stoul(number))];
            for (const auto &step : steps.as_array())
                into.push_back(decodeStepProgress(step.as_object(), workers));
        }
        return progress;
    });
}

std::string encodeRemainingRuns(const job_run &job)
{
    json::array steps;
    worker_index workers;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            json::array runs;
            for (const auto &task : step.tasks) {
                if (task.assignedWorker)
                    runs.push_back(json::array {task.index, task.attempt, workers.add(task)});
            }
            if (runs.empty())
                continue;
            const auto demand = effectiveDemand(*step.definition);
            steps.push_back(json::array {number, step.number, demand.milliCores, demand.memoryMib,
                                         demand.accelerators, std::move(runs),
                                         step.definition->demand.milliCores});
        }
    }
    json::object row {{"workers", workers.takeNames()}, {"remaining", std::move(steps)}};
    if (!job.definition.workspace.empty())
        row.emplace("workspace", job.definition.workspace);
    return json::serialize(row);
}

result<std::vector<remaining_run>> decodeRemainingRuns(std::string_view job, std::string_view text)
{
    return decodeText(text, [job](const json::value &value) {
        const auto &row = value.as_object();
        const auto &workers = row.at("workers").as_array();
        std::vector<remaining_run> runs;
        std::string workspace;
        if (const auto *name = row.if_contains("workspace"))
            workspace = name->as_string().c_str();
        for (const auto &entry : row.at("remaining").as_array()) {
            const auto &step = entry.as_array();
            task_name name {std::string(job), step.at(0).to_number<std::uint32_t>(),
                            step.at(1).to_number<std::uint32_t>(), 0};
            const resources demand {step.at(2).to_number<std::int64_t>(),
                                    step.at(3).to_number<std::int64_t>(),
                                    step.at(4).to_number<std::int64_t>()};
            // Of a best-effort step the cores that it declares; rows of earlier versions lack them.
            auto charged = demand;
            if (step.size() > 6)
                charged.milliCores = step.at(6).to_number<std::int64_t>();
            for (const auto &task : step.at(5).as_array()) {
                const auto numbers = decodeNumbers(task);
                name.index = numbers.at(0);
                runs.push_back({name.text(), numbers.at(1),
                                workers.at(numbers.at(2)).as_string().c_str(), demand, workspace,
                                charged});
            }
        }
        return runs;
    });
}

std::string_view stateName(job_state state)
{
    for (const auto &[value, name] : stateNames) {
        if (value == state)
            return name;
    }
    return "unknown";
}

// The state and, after a space, the workspace. Earlier versions wrote the state only.
std::string encodeEnded(const ended_record &record)
{
    std::string text(stateName(record.state));
    if (!record.workspace.empty())
        text.append(" ").append(record.workspace);
    return text;
}

std::optional<ended_record> parseEnded(std::string_view text)
{
    const auto space = text.find(' ');
    const auto state = parseState(text.substr(0, space));
    if (!state)
        return std::nullopt;
    ended_record record {*state, {}};
    if (space != std::string_view::npos)
        record.workspace = text.substr(space + 1);
    return record;
}

std::optional<job_state> parseState(std::string_view text)
{
    for (const auto &[value, name] : stateNames) {
        if (name == text)
            return value;
    }
    return std::nullopt;
}

} // namespace plantaingap::jobs
