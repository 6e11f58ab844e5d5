#include "operator/configuration_checks.h"

#include "operator/configuration_tables.h"
#include "operator/document_values.h"

#include <algorithm>
#include <map>

namespace plantaingap::operators {

namespace {

struct place
{
    const support::json_document *document = nullptr;
    std::string path;
};

template<class Declaration>
struct placed
{
    const Declaration *declared = nullptr;
    place at;
};

std::string elementPath(std::string_view section, std::size_t index)
{
    return "/" + std::string(section) + "/" + std::to_string(index);
}

// One section over all files.
template<class Declaration>
struct placed_section
{
    // The declarations in which nothing was found wrong so far.
    std::vector<placed<Declaration>> all;
    // False when there are others, or a key that may be a misspelt section.
    bool complete = true;
};

// True when every key at the top of the file was understood.
bool sectionsKnown(const findings &found, const std::string &file)
{
    return std::ranges::none_of(found, [&](const finding &each) {
        return each.file == file && std::ranges::count(each.path, '/') < 2;
    });
}

template<class Declaration>
placed_section<Declaration> gather(const std::vector<read_file> &files, const findings &found,
                                   std::string_view section,
                                   std::vector<Declaration> configuration::*member)
{
    placed_section<Declaration> result;
    for (const auto &file : files) {
        result.complete = result.complete && sectionsKnown(found, file.document.file);
        const auto &declared = file.declared.*member;
        for (std::size_t i = 0; i < declared.size(); ++i) {
            const auto path = elementPath(section, i);
            if (isClean(found, file.document.file, path))
                result.all.push_back({&declared[i], {&file.document, path}});
            else
                result.complete = false;
        }
    }
    return result;
}

std::string describe(const resources &amount)
{
    return std::to_string(static_cast<double>(amount.milliCores) / 1000) + " cores, "
           + formatMemory(amount.memoryMib) + ", " + std::to_string(amount.accelerators)
           + " accelerators";
}

class set_checks
{
public:
    set_checks(const std::vector<read_file> &files, findings &found)
        : m_files(files)
        , m_findings(found)
        , m_services(gather(files, found, "services", &configuration::services))
        , m_teams(gather(files, found, "teams", &configuration::teams))
        , m_jobs(gather(files, found, "jobs", &configuration::jobs))
        , m_classes(gather(files, found, "worker_classes", &configuration::workerClasses))
    { }

    void run()
    {
        checkNames(m_services.all);
        checkNames(m_teams.all);
        checkNames(m_jobs.all);
        checkNames(m_classes.all);
        checkGroupRule();
        for (const auto &service : m_services.all)
            checkService(service);
        for (const auto &team : m_teams.all)
            checkTeam(team);
        for (const auto &job : m_jobs.all)
            checkJob(job);
    }

private:
    void add(const place &at, std::string_view below, std::string message)
    {
        const auto path = at.path + std::string(below);
        const int line = support::nearestNode(at.document->root, path).line;
        m_findings.push_back({at.document->file, line, path, std::move(message)});
    }

    template<class Declaration>
    void checkNames(const std::vector<placed<Declaration>> &all)
    {
        std::map<std::string_view, const place *> first;
        for (const auto &each : all) {
            const auto [known, fresh] = first.emplace(each.declared->name, &each.at);
            if (!fresh)
                add(each.at, "/name", "declared twice, first at " + describe(*known->second));
        }
    }

    static std::string describe(const place &at)
    {
        const int line = support::nearestNode(at.document->root, at.path).line;
        return at.document->file + ":" + std::to_string(line);
    }

    void checkGroupRule()
    {
        const place *first = nullptr;
        std::vector<place> places;
        for (const auto &file : m_files) {
            const auto &members = file.document.root.members;
            if (std::ranges::count(members, "groups", &support::json_member::key) == 0)
                continue;
            places.push_back({&file.document, "/groups"});
            m_rule = file.declared.groups;
        }
        for (const auto &at : places) {
            if (first)
                add(at, "", "declared twice, first at " + describe(*first));
            else
                first = &at;
        }
    }

    void checkService(const placed<service_declaration> &service)
    {
        const auto &declared = *service.declared;
        if (declared.slotsPerWorker > declared.connectionsPerWorker)
            add(service.at, "/slots_per_worker",
                std::to_string(declared.slotsPerWorker)
                    + " slots need as many connections, there are "
                    + std::to_string(declared.connectionsPerWorker));
        std::map<std::string_view, std::size_t> names;
        for (std::size_t i = 0; i < declared.kinds.size(); ++i) {
            const auto &kind = declared.kinds[i];
            const auto path = elementPath("kinds", i);
            if (!names.emplace(kind.name, i).second)
                add(service.at, path + "/name", "kind '" + kind.name + "' is declared twice");
            const auto deadline = kind.deadline.value_or(declared.deadline);
            if (kind.expectedDuration && *kind.expectedDuration > deadline)
                add(service.at, path + "/expected",
                    "expected to run " + formatDuration(*kind.expectedDuration)
                        + ", longer than the deadline " + formatDuration(deadline));
        }
    }

    bool capacityKnown() const { return m_classes.complete && !m_classes.all.empty(); }

    resources cellCapacity() const
    {
        resources capacity;
        for (const auto &each : m_classes.all)
            capacity += each.declared->perWorker * each.declared->workers;
        return capacity;
    }

    std::uint32_t workersPerGroup(const worker_class_declaration &declared) const
    {
        if (m_rule == group_rule::DataCentre)
            return declared.workers;
        return std::min(declared.workers, declared.workersPerRack);
    }

    void checkTeam(const placed<team_declaration> &team)
    {
        const auto capacity = cellCapacity();
        if (capacityKnown() && !team.declared->quota.fitsIn(capacity))
            add(team.at, "/quota",
                "more than the cell holds (" + operators::describe(capacity) + ")");
    }

    void checkJob(const placed<job_declaration> &job)
    {
        const auto &declared = *job.declared;
        std::vector<std::string_view> teams;
        for (const auto &team : m_teams.all)
            teams.push_back(team.declared->name);
        if (m_teams.complete && std::ranges::count(teams, declared.team) == 0)
            add(job.at, "/team",
                "no team '" + declared.team + "'" + nearestNameHint(declared.team, teams));
        if (declared.perTask == resources {})
            add(job.at, "/each", "a task must take something");
        if (declared.kind == job_kind::Service && declared.startBy)
            add(job.at, "/start_by", "a service job has no time to start by");
        if (capacityKnown())
            checkRoom(job);
    }

    // How many of the tasks the workers of one class in one group can hold at once.
    std::int64_t tasksInGroup(const job_declaration &job,
                              const worker_class_declaration &workers) const
    {
        std::int64_t perWorker = job.tasks;
        const auto limit = [&perWorker](std::int64_t holds, std::int64_t takes) {
            if (takes > 0)
                perWorker = std::min(perWorker, holds / takes);
        };
        limit(workers.perWorker.milliCores, job.perTask.milliCores);
        limit(workers.perWorker.memoryMib, job.perTask.memoryMib);
        limit(workers.perWorker.accelerators, job.perTask.accelerators);
        if (job.spread == task_spread::Workers)
            perWorker = std::min<std::int64_t>(perWorker, 1);
        return perWorker * workersPerGroup(workers);
    }

    void checkRoom(const placed<job_declaration> &job)
    {
        std::int64_t most = 0;
        for (const auto &each : m_classes.all)
            most = std::max(most, tasksInGroup(*job.declared, *each.declared));
        if (most == 0)
            add(job.at, "/each", "no worker is large enough for one task");
        else if (job.declared->kind == job_kind::AllOrNothing && most < job.declared->tasks)
            add(job.at, "/tasks",
                "no group holds " + std::to_string(job.declared->tasks)
                    + " such tasks at once, at most " + std::to_string(most));
    }

    const std::vector<read_file> &m_files;
    findings &m_findings;
    placed_section<service_declaration> m_services;
    placed_section<team_declaration> m_teams;
    placed_section<job_declaration> m_jobs;
    placed_section<worker_class_declaration> m_classes;
    group_rule m_rule = group_rule::Rack;
};

} // namespace

void checkConfiguration(const std::vector<read_file> &files, findings &found)
{
    set_checks(files, found).run();
}

} // namespace plantaingap::operators
