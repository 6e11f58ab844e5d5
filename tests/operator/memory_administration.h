#ifndef TESTS_OPERATOR_MEMORY_ADMINISTRATION_H
#define TESTS_OPERATOR_MEMORY_ADMINISTRATION_H

#include "operator/administration.h"

#include <algorithm>
#include <map>

// An administration over memory, for tests of what stands before it.
class memory_administration final : public plantaingap::operators::administration
{
public:
    template<class T>
    using answer = plantaingap::operators::administration::answer<T>;
    using errc = plantaingap::errc;

    std::vector<plantaingap::operators::configuration_version> versions;
    std::vector<plantaingap::operators::audit_entry> trail;
    std::map<std::string, plantaingap::operators::job_status> jobs;
    plantaingap::operators::cell_status cell;
    // When set, what the store answers to every write.
    std::error_code storeError;

    memory_administration()
    {
        versions.push_back({1, plantaingap::operators::makeSet({})});
        cell.instances.push_back({"entry-1", "north", "north-a", 1, "ready", 0, 0});
    }

    answer<plantaingap::operators::configuration_version>
    configurationAt(std::optional<std::uint64_t> version) override
    {
        const auto wanted = version.value_or(versions.back().version);
        const auto found = std::ranges::find(
            versions, wanted, &plantaingap::operators::configuration_version::version);
        if (found == versions.end())
            co_return make_error_code(errc::NotFound);
        co_return *found;
    }

    answer<plantaingap::operators::apply_outcome>
    apply(plantaingap::operators::apply_order order) override
    {
        if (storeError)
            co_return storeError;
        const auto &head = versions.back();
        plantaingap::operators::apply_outcome outcome;
        if (order.base != head.version) {
            const auto &winner = trail.back();
            outcome.conflict = {head.version, head.set.digest, winner.who, winner.when};
            co_return outcome;
        }
        outcome.version = head.version + 1;
        order.audit.toVersion = outcome.version;
        trail.push_back(order.audit);
        versions.push_back({outcome.version, order.set});
        for (auto &instance : cell.instances) {
            if (instance.instance != lagging)
                instance.version = outcome.version;
        }
        co_return outcome;
    }

    answer<plantaingap::operators::cell_status> status() override
    {
        cell.version = versions.back().version;
        cell.digest = versions.back().set.digest;
        co_return cell;
    }

    answer<plantaingap::operators::job_explanation> why(std::string job) override
    {
        if (!jobs.contains(job))
            co_return make_error_code(errc::NotFound);
        co_return plantaingap::operators::job_explanation {job, "waiting", {"no room yet"}};
    }

    answer<plantaingap::operators::job_status> job(std::string name) override
    {
        if (!jobs.contains(name))
            co_return make_error_code(errc::NotFound);
        co_return jobs[name];
    }

    answer<plantaingap::operators::job_status>
    submit(plantaingap::job_declaration job, plantaingap::operators::audit_entry audit) override
    {
        if (storeError)
            co_return storeError;
        trail.push_back(audit);
        co_return jobs[job.name] = {job.name, job.team, job.kind, "waiting", job.tasks, 0, 0, 0};
    }

    answer<plantaingap::operators::job_status>
    cancel(std::string job, plantaingap::operators::audit_entry audit) override
    {
        trail.push_back(audit);
        jobs[job].state = "cancelled";
        co_return jobs[job];
    }

    answer<std::vector<plantaingap::operators::audit_entry>>
    audit(plantaingap::operators::audit_query query) override
    {
        auto newest = trail;
        std::ranges::reverse(newest);
        newest.resize(std::min<std::size_t>(newest.size(), query.limit));
        co_return newest;
    }

    boost::asio::awaitable<std::error_code>
    record(plantaingap::operators::audit_entry entry) override
    {
        if (!storeError)
            trail.push_back(entry);
        co_return storeError;
    }

    plantaingap::wall_time now() const override
    {
        return plantaingap::wall_time(std::chrono::hours(1));
    }

    // The instance that never follows.
    std::string lagging;
};

#endif
