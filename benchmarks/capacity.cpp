// Measures, on the shipped code, how each role's cost grows with its size, and works the costs at
// the size of the target out from the slopes. Prints the tables of docs/CAPACITY.md; with --write
// FILE it puts them between the marks of that page, so that the page cannot drift from the code.
//     build/release/capacity --write docs/CAPACITY.md

#include "capacity_fit.h"
#include "capacity_group.h"
#include "decision/request_scheduler.h"
#include "operator/configuration_difference.h"
#include "peer/membership.h"
#include "peer/peer_codec.h"
#include "runtime/declared_cell.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <sstream>

namespace plantaingap::capacity {

namespace {

// The target, as the letter gives it, and what we choose for it.
constexpr double targetWorkers = 2700;
constexpr double targetRunning = 48'000;
constexpr double targetStarts = 190;
constexpr double targetTeams = 290;
constexpr double targetChanges = 3100;
constexpr double targetInstances = 32;
constexpr double workersPerGroup = 8;
constexpr double secondsPerDay = 86'400;
// The letter's limits for control per node.
constexpr double coreLimit = 0.015;
constexpr double memoryLimit = 256.0 * 1024 * 1024;
constexpr double bytesLimit = 13'000;
// The platform's sizes.
constexpr double storeWrites = 300;
constexpr double storeReads = 2000;

// ---- What is measured --------------------------------------------------------------------------

struct group_lines
{
    line heapByWorker;
    line microsByWorker;
    line bytesByWorker;
    line messagesByWorker;
    double microsPerTask = 0;
    // Of a group of one rack.
    double microsOfRack = 0;
    // Over tasks at a fixed number of workers.
    line heapByTask;
    line bytesByTask;
    line microsByTask;
};

void row(std::ostream &out, std::initializer_list<std::string> cells)
{
    out << '|';
    for (const auto &cell : cells)
        out << ' ' << cell << " |";
    out << '\n';
}

std::string figure(double value, int digits = 1)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

std::string kib(double bytes)
{
    return figure(bytes / 1024, 1);
}

group_lines measureGroups(std::ostream &out)
{
    out << "\n### A group's owner: leases, tasks, orders\n\n";
    row(out, {"workers", "tasks running", "heap KiB", "µs/s", "messages/s", "bytes/s",
              "µs/task start to end"});
    row(out, {"--:", "--:", "--:", "--:", "--:", "--:", "--:"});
    std::vector<point> heap;
    std::vector<point> micros;
    std::vector<point> bytes;
    std::vector<point> messages;
    group_lines lines;
    double tasksMicros = 0;
    const auto print = [&](std::uint32_t workers, std::uint32_t each, const group_cost &cost) {
        row(out, {std::to_string(workers), std::to_string(workers * each), kib(cost.heap),
                  figure(cost.processorMicros), figure(cost.messages), figure(cost.bytes, 0),
                  figure(cost.microsPerTask)});
    };
    constexpr std::uint32_t usualTasks = 18;
    for (const std::uint32_t workers : {8U, 24U, 48U, 96U, 240U}) {
        const auto cost = measureGroup(workers, usualTasks);
        print(workers, usualTasks, cost);
        heap.push_back({double(workers), cost.heap});
        micros.push_back({double(workers), cost.processorMicros});
        bytes.push_back({double(workers), cost.bytes});
        messages.push_back({double(workers), cost.messages});
        tasksMicros = std::max(tasksMicros, cost.microsPerTask);
        if (workers == workersPerGroup)
            lines.microsOfRack = cost.processorMicros;
    }
    std::vector<point> heapTasks;
    std::vector<point> bytesTasks;
    std::vector<point> microsTasks;
    constexpr std::uint32_t fixedWorkers = 48;
    for (const std::uint32_t each : {0U, 6U, 12U, 18U, 30U}) {
        const auto cost = measureGroup(fixedWorkers, each);
        print(fixedWorkers, each, cost);
        const double tasks = double(fixedWorkers) * each;
        heapTasks.push_back({tasks, cost.heap});
        bytesTasks.push_back({tasks, cost.bytes});
        microsTasks.push_back({tasks, cost.processorMicros});
    }
    lines.heapByWorker = fit(heap);
    lines.microsByWorker = fit(micros);
    lines.bytesByWorker = fit(bytes);
    lines.messagesByWorker = fit(messages);
    lines.microsPerTask = tasksMicros;
    lines.heapByTask = fit(heapTasks);
    lines.bytesByTask = fit(bytesTasks);
    lines.microsByTask = fit(microsTasks);
    return lines;
}

// A heartbeat of an instance among others, owner of some groups, in a region of all groups.
peer::peer_heartbeat heartbeatOf(int instances, int groups, int owned)
{
    peer::peer_heartbeat beat;
    beat.membership.from = {instance_id {0x12345678}, 1'764'000'000'000};
    beat.membership.sequence = 1'000'000;
    for (int index = 0; index < instances - 1; ++index)
        beat.membership.recentPeers.push_back(
            {instance_id {0x10000000U + index}, 1'764'000'000'000});
    for (int index = 0; index < groups; ++index) {
        const epoch held = index < owned ? epoch {100, 0} : epoch {};
        beat.groups.push_back({group_id {0x20000000U + index}, held, {100, 0}});
    }
    for (int index = 0; index < owned; ++index) {
        decision::group_summary summary;
        summary.group = group_id {0x20000000U + index};
        summary.service = service_id {0x30000000U};
        summary.slots = 64;
        summary.freeSlots = 10;
        summary.waiting = {1, 20, 300};
        beat.summaries.push_back(summary);
    }
    return beat;
}

struct heartbeat_cost
{
    double bytes = 0;
    double micros = 0;
};

heartbeat_cost measureHeartbeat(int instances, int groups, int owned)
{
    constexpr int rounds = 2000;
    const auto beat = heartbeatOf(instances, groups, owned);
    std::size_t bytes = 0;
    const auto start = processorTime();
    for (int index = 0; index < rounds; ++index) {
        wire::heartbeat wire;
        peer::encode(beat, wire);
        const auto text = wire.SerializeAsString();
        bytes = text.size();
        wire::heartbeat read;
        read.ParseFromString(text);
        const auto told = peer::decode(read, time_point {});
        if (told.groups.size() != beat.groups.size())
            std::abort();
    }
    const auto taken = processorTime() - start;
    return {double(bytes), double(taken.count()) / 1000 / rounds};
}

std::vector<point> measureHeartbeats(std::ostream &out)
{
    out << "\n### A heartbeat between instances\n\n";
    row(out, {"instances", "groups of the region", "groups owned", "bytes", "µs to code and read"});
    row(out, {"--:", "--:", "--:", "--:", "--:"});
    std::vector<point> byGroups;
    const std::vector<std::array<int, 3>> sizes = {{3, 6, 2},    {8, 6, 1},     {8, 2, 1},
                                                   {16, 84, 10}, {32, 169, 11}, {32, 340, 11}};
    for (const auto &[instances, groups, owned] : sizes) {
        const auto cost = measureHeartbeat(instances, groups, owned);
        row(out, {std::to_string(instances), std::to_string(groups), std::to_string(owned),
                  figure(cost.bytes, 0), figure(cost.micros)});
    }
    for (const int groups : {2, 20, 84, 169, 340})
        byGroups.push_back({double(groups), measureHeartbeat(32, groups, 11).bytes});
    return byGroups;
}

struct request_cost
{
    double heap = 0;
    double micros = 0;
};

// Waiting and running requests of one service in one group, in and out at a steady state.
request_cost measureRequests(std::uint32_t workers)
{
    constexpr std::uint32_t slots = 8;
    constexpr std::uint64_t rounds = 20'000;
    const auto before = heapBytes();
    decision::request_scheduler scheduler({});
    std::vector<decision::request_action> actions;
    time_point now {std::chrono::hours(1)};
    for (std::uint32_t index = 1; index <= workers; ++index) {
        decision::worker_added added;
        added.worker = worker_id {index};
        added.service = service_id {1};
        added.rack = rack_id {index / 8};
        added.slots = slots;
        scheduler.step(added, now, actions);
    }
    std::uint64_t next = 0;
    std::deque<request_id> running;
    const auto arrive = [&] {
        decision::request_arrived arrival;
        arrival.request = request_id {++next};
        arrival.service = service_id {1};
        arrival.kind = kind_id {1};
        arrival.declared = decision::work_class::Quick;
        arrival.deadline = now + std::chrono::seconds(30);
        actions.clear();
        scheduler.step(arrival, now, actions);
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<decision::send_request>(&action))
                running.push_back(sent->request);
        }
    };
    for (std::uint32_t index = 0; index < workers * slots * 8 / 10; ++index)
        arrive();
    request_cost cost;
    cost.heap = heapBytes() - before;
    const auto start = processorTime();
    for (std::uint64_t index = 0; index < rounds && !running.empty(); ++index) {
        now += std::chrono::microseconds(100);
        const auto ended = running.front();
        running.pop_front();
        actions.clear();
        scheduler.step(decision::request_ended {ended, decision::send_outcome::Completed}, now,
                       actions);
        arrive();
    }
    cost.micros = double((processorTime() - start).count()) / 1000 / rounds;
    return cost;
}

line measureRequestSizes(std::ostream &out)
{
    out << "\n### Requests in one group, 80% of the slots busy\n\n";
    row(out, {"workers", "heap KiB", "µs per request, in and out"});
    row(out, {"--:", "--:", "--:"});
    std::vector<point> micros;
    for (const std::uint32_t workers : {8U, 48U, 240U, 1200U, 2700U}) {
        const auto cost = measureRequests(workers);
        row(out, {std::to_string(workers), kib(cost.heap), figure(cost.micros, 2)});
        micros.push_back({double(workers), cost.micros});
    }
    return fit(micros);
}

struct set_cost
{
    double setBytes = 0;
    double differenceBytes = 0;
    double heap = 0;
    double applyMicros = 0;
};

set_cost measureSet(int declarations)
{
    const auto before = heapBytes();
    configuration declared;
    for (int index = 0; index < declarations; ++index) {
        auto &job = declared.jobs.emplace_back();
        job.name = "job-" + std::to_string(index);
        job.team = "team-" + std::to_string(index % 290);
        job.command = "run the nightly sums of house " + std::to_string(index);
        job.perTask = {1000, 1024, 0};
    }
    const auto from = operators::makeSet(std::move(declared));
    set_cost cost;
    cost.heap = heapBytes() - before;
    auto changed = from.declared;
    changed.jobs[declarations / 2].tasks = 7;
    const auto to = operators::makeSet(std::move(changed));
    const auto difference = operators::differenceOf(from, to);
    cost.setBytes = double(operators::canonicalText(from.declared).size());
    cost.differenceBytes = double(operators::differenceText(difference).size());
    const auto start = processorTime();
    if (operators::applyDifference(from, difference).has_error())
        std::abort();
    cost.applyMicros = double((processorTime() - start).count()) / 1000;
    return cost;
}

struct set_lines
{
    line bytes;
    line heap;
    line micros;
    double difference = 0;
};

set_lines measureSets(std::ostream &out)
{
    out << "\n### The configuration set, one declaration changed\n\n";
    row(out, {"declarations", "set KiB", "difference bytes", "heap KiB", "µs to apply"});
    row(out, {"--:", "--:", "--:", "--:", "--:"});
    std::vector<point> bytes;
    std::vector<point> heap;
    std::vector<point> micros;
    set_lines lines;
    for (const int size : {10, 100, 1000, 2500, 5000}) {
        const auto cost = measureSet(size);
        row(out, {std::to_string(size), kib(cost.setBytes), figure(cost.differenceBytes, 0),
                  kib(cost.heap), figure(cost.applyMicros, 0)});
        bytes.push_back({double(size), cost.setBytes});
        heap.push_back({double(size), cost.heap});
        micros.push_back({double(size), cost.applyMicros});
        lines.difference = cost.differenceBytes;
    }
    lines.bytes = fit(bytes);
    lines.heap = fit(heap);
    lines.micros = fit(micros);
    return lines;
}

line measureQuotas(std::ostream &out)
{
    out << "\n### Team quotas of one group\n\n";
    row(out, {"teams", "µs to apportion"});
    row(out, {"--:", "--:"});
    std::vector<point> micros;
    for (const int teams : {3, 30, 100, 290}) {
        std::vector<team_declaration> declared;
        for (int index = 0; index < teams; ++index)
            declared.push_back({"team-" + std::to_string(index), {64'000, 131'072, 4}, {}});
        constexpr int rounds = 200;
        const auto start = processorTime();
        std::size_t made = 0;
        for (int round = 0; round < rounds; ++round)
            made += runtime::quotaShares(declared, {1, 1, 1}, {3, 3, 3}).size();
        const auto cost = double((processorTime() - start).count()) / 1000 / rounds;
        row(out, {std::to_string(made / rounds), figure(cost)});
        micros.push_back({double(teams), cost});
    }
    return fit(micros);
}

// ---- What follows at the target
// ------------------------------------------------------------------

void slope(std::ostream &out, const std::string &name, const line &fitted, const std::string &unit)
{
    row(out, {name, figure(fitted.base, 2), figure(fitted.slope, 4), unit,
              figure(fitted.worst * 100, 0) + "%"});
}

void limitRow(std::ostream &out, const std::string &name, double value, double limit, int digits,
              const std::string &unit)
{
    const bool over = value > limit;
    row(out, {name, figure(value, digits) + " " + unit, figure(limit, digits) + " " + unit,
              over ? "**over, " + figure(value / limit, 1) + " times**"
                   : figure((1 - value / limit) * 100, 0) + "% left"});
}

void workOut(std::ostream &out, const group_lines &groups, const std::vector<point> &beats,
             const line &requests, const set_lines &sets, const line &quotas)
{
    out << "\n### Slopes\n\n";
    row(out, {"cost", "base", "slope", "unit", "largest deviation"});
    row(out, {"---", "--:", "--:", "---", "--:"});
    slope(out, "group heap", groups.heapByWorker, "bytes, per worker with 18 tasks");
    slope(out, "group processor", groups.microsByWorker, "µs/s, per worker with 18 tasks");
    slope(out, "orders and answers", groups.messagesByWorker, "a second, per worker");
    slope(out, "order bytes", groups.bytesByWorker, "bytes/s, per worker with 18 tasks");
    slope(out, "order bytes by tasks, 48 workers", groups.bytesByTask, "bytes/s, per task");
    slope(out, "group heap by tasks, 48 workers", groups.heapByTask, "bytes, per task");
    slope(out, "heartbeat", fit(beats), "bytes, per group told");
    slope(out, "request", requests, "µs, per worker of the group");
    slope(out, "configuration set", sets.bytes, "bytes, per declaration");
    slope(out, "configuration heap", sets.heap, "bytes, per declaration");
    slope(out, "applying a difference", sets.micros, "µs, per declaration");
    slope(out, "apportioning quotas", quotas, "µs, per team");

    const double owned = targetWorkers / workersPerGroup / targetInstances;
    const double workers = targetWorkers / targetInstances;
    const double tasks = targetRunning / targetInstances;
    const double starts = targetStarts / targetInstances;
    // Small groups cost less for each worker than the line says; the smallest was measured alone.
    const double groupMicros = owned * groups.microsOfRack;
    const double taskMicros = starts * groups.microsPerTask;
    const double regionGroups = targetWorkers / workersPerGroup / 2;
    const auto beat = measureHeartbeat(int(targetInstances), int(regionGroups), int(owned));
    const double beatsPerSecond = 1000.0 / 300 * (targetInstances - 1) * 2;
    const double changes = targetChanges / secondsPerDay;
    const double declarations = 5000;
    const double applyMicros = changes * sets.micros.at(declarations);
    const double beatMicros = beatsPerSecond * beat.micros;
    const double quotaMicros = changes * owned * quotas.at(targetTeams);
    const double orderBytes =
        owned * groups.bytesByWorker.base + workers * groups.bytesByWorker.slope;
    const double beatBytes = beatsPerSecond * beat.bytes;
    const double changeBytes = changes * sets.difference;

    out << "\n### One of " << figure(targetInstances, 0)
        << " instances at the target: " << figure(owned, 1) << " groups, " << figure(workers, 0)
        << " workers, " << figure(tasks, 0) << " tasks running, " << figure(starts, 1)
        << " starts a second\n\n";
    row(out, {"kind", "messages/s", "bytes/s", "processor µs/s", "carried by"});
    row(out, {"---", "--:", "--:", "--:", "---"});
    row(out,
        {"orders and answers", figure(workers * groups.messagesByWorker.slope),
         figure(orderBytes, 0), figure(groupMicros, 0), "one lease for all tasks of a worker"});
    row(out, {"task starts and ends", figure(starts), "in the above", figure(taskMicros, 0),
              "indexed free capacity"});
    row(out, {"heartbeats, both ways", figure(beatsPerSecond), figure(beatBytes, 0),
              figure(beatMicros, 0), "none yet: every group of the region is told every time"});
    row(out, {"configuration", figure(changes, 3), figure(changeBytes, 0),
              figure(applyMicros + quotaMicros, 0), "differences, not sets"});

    const double micros = groupMicros + taskMicros + beatMicros + applyMicros + quotaMicros;
    const double heap = owned * groups.heapByWorker.base + workers * groups.heapByWorker.slope
                        + sets.heap.at(declarations);
    out << "\n### Against the letter's limits\n\n"
        << "A node is read as an entry instance, the stricter reading; the last line reads it as a "
           "worker.\n\n";
    row(out, {"limit", "worked out", "allowed", "margin"});
    row(out, {"---", "--:", "--:", "---"});
    limitRow(out, "processor, part of a core", micros / 1e6, coreLimit, 4, "");
    limitRow(out, "memory of control state", heap / 1e6, memoryLimit / 1e6, 1, "MB");
    limitRow(out, "bytes a second, orders", orderBytes, bytesLimit, 0, "B/s");
    limitRow(out, "bytes a second, heartbeats", beatBytes, bytesLimit, 0, "B/s");
    limitRow(out, "bytes a second, all", orderBytes + beatBytes + changeBytes, bytesLimit, 0,
             "B/s");
    limitRow(out, "bytes a second, per worker", groups.bytesByWorker.slope, bytesLimit, 0, "B/s");

    // Today's sizes: eight instances, six racks in three regions, one rack for each owner.
    const auto today = measureHeartbeat(8, 2, 1);
    const double todayBeats = 1000.0 / 300 * 7 * 2 * today.bytes;
    limitRow(out, "today: bytes a second, heartbeats of 8 instances", todayBeats, bytesLimit, 0,
             "B/s");
    limitRow(out, "today: bytes a second, orders of one rack", groups.bytesByWorker.at(8),
             bytesLimit, 0, "B/s");

    // One range read of group rows, one of the list, one of cancellations and one of the
    // configuration's head a second for each instance.
    const double reads = 4 * targetInstances;
    // A task's end is written with others of its job; a job's row is written at its start and end.
    const double jobWrites = 11'000 * 2 / secondsPerDay;
    const double flushes = std::min(targetStarts, owned * targetInstances * 10);
    out << "\n### The store\n\n";
    row(out, {"kind", "a second, whole cell", "the platform takes", "part"});
    row(out, {"---", "--:", "--:", "--:"});
    row(out,
        {"reads", figure(reads), figure(storeReads, 0), figure(reads / storeReads * 100, 1) + "%"});
    row(out, {"writes: progress of jobs, at the peak of starts", figure(flushes),
              figure(storeWrites, 0), figure(flushes / storeWrites * 100, 1) + "%"});
    row(out, {"writes: jobs accepted and ended, mean", figure(jobWrites, 2), figure(storeWrites, 0),
              figure(jobWrites / storeWrites * 100, 1) + "%"});
    row(out, {"writes: configuration", figure(changes * 4, 2), figure(storeWrites, 0),
              figure(changes * 4 / storeWrites * 100, 1) + "%"});

    out << "\n### Days with faults\n\n";
    row(out, {"event", "messages to workers", "store reads", "store writes"});
    row(out, {"---", "--:", "--:", "--:"});
    const auto takeover = [&](const std::string &name, double times) {
        row(out, {name, figure(times * owned * workersPerGroup * 2, 0), figure(times * owned, 0),
                  figure(times * owned, 0)});
    };
    takeover("one instance fails or is replaced", 1);
    takeover("14 failures and 420 replacements, a day", 434);
    takeover("a data centre of six, its instances", targetInstances / 6);
    takeover("one region's instances, all at once", targetInstances / 2);
}

std::string tables()
{
    std::ostringstream out;
    const auto groups = measureGroups(out);
    const auto beats = measureHeartbeats(out);
    const auto requests = measureRequestSizes(out);
    const auto sets = measureSets(out);
    const auto quotas = measureQuotas(out);
    workOut(out, groups, beats, requests, sets, quotas);
    return out.str();
}

// Puts the text between the page's marks; false when the page has none.
bool replaceTables(const std::string &file, const std::string &text)
{
    constexpr std::string_view begin = "<!-- begin of generated tables -->\n";
    constexpr std::string_view end = "<!-- end of generated tables -->";
    std::ifstream in(file);
    std::string page {std::istreambuf_iterator<char>(in), {}};
    const auto from = page.find(begin);
    const auto to = page.find(end);
    if (from == std::string::npos || to == std::string::npos)
        return false;
    page.replace(from + begin.size(), to - from - begin.size(), text + "\n");
    std::ofstream(file) << page;
    return true;
}

} // namespace

} // namespace plantaingap::capacity

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description allowed("capacity: cost by size, and at the target");
    allowed.add_options()("help", "this text")("write", options::value<std::string>(),
                                               "page whose tables are replaced");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, allowed), given);
    if (given.count("help") > 0) {
        std::cout << allowed << '\n';
        return 0;
    }
    const auto text = plantaingap::capacity::tables();
    std::cout << text;
    if (given.count("write") > 0
        && !plantaingap::capacity::replaceTables(given["write"].as<std::string>(), text)) {
        std::cerr << "the page has no marks for the tables\n";
        return 1;
    }
    return 0;
}
