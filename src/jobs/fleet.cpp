#include "jobs/fleet.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

// Racks are labels such as "r1-2"; kinds are single words.
std::string rackOf(const std::vector<std::string> &labels)
{
    const auto found = std::ranges::find_if(
        labels, [](const std::string &label) { return label.find('-') != std::string::npos; });
    return found == labels.end() ? std::string() : *found;
}

} // namespace

std::int64_t worker::clockAtMost(time_point now) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(now - clockAt).count();
    return clockMs + passed;
}

bool worker::leasesEnded(time_point now) const
{
    if (reports == 0)
        return now >= previousLeaderLeaseEnd;
    const auto passed = std::chrono::duration_cast<milliseconds>(now - clockAt).count();
    const auto certain = clockMs + passed * (1000 - clockSlowness) / 1000;
    return certain > leaseEndMs;
}

bool worker::usable(time_point now) const
{
    return listed && responsive && clockKnown && !entry.draining
           && (!health.quarantined() || now >= health.probeAt());
}

bool worker::hasLabel(std::string_view label) const
{
    return label.empty() || std::ranges::find(entry.labels, label) != entry.labels.end();
}

const std::string &workerName(const worker &known)
{
    return known.entry.id;
}

std::vector<std::string> fleet::list(const std::vector<worker_entry> &entries,
                                     time_point foreignEnd)
{
    std::vector<std::string> fresh;
    for (auto &[id, known] : m_workers)
        known->listed = false;
    for (const auto &entry : entries) {
        if (!m_workers.contains(entry.id))
            fresh.push_back(entry.id);
        auto &known = require(entry.id, foreignEnd);
        known.entry = entry;
        known.rack = rackOf(entry.labels);
        known.listed = true;
    }
    return fresh;
}

worker *fleet::find(std::string_view id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

worker &fleet::require(const std::string &id, time_point foreignEnd)
{
    auto &known = m_workers[id];
    if (!known) {
        known = std::make_unique<worker>();
        known->entry.id = id;
        known->previousLeaderLeaseEnd = foreignEnd;
    }
    return *known;
}

std::vector<std::string> fleet::sweep(time_point now)
{
    std::vector<std::string> gone;
    for (auto at = m_workers.begin(); at != m_workers.end();) {
        const auto &known = *at->second;
        if (!known.listed && known.runs.empty() && (!known.responsive || known.leasesEnded(now))) {
            gone.push_back(at->first);
            at = m_workers.erase(at);
        } else {
            ++at;
        }
    }
    return gone;
}

resources fleet::capacity() const
{
    resources sum;
    for (const auto &[id, known] : m_workers) {
        if (known->listed && !known->entry.draining)
            sum += known->entry.capacity;
    }
    return sum;
}

resources fleet::used() const
{
    resources sum;
    for (const auto &[id, known] : m_workers) {
        if (known->listed && !known->entry.draining)
            sum += known->used;
    }
    return sum;
}

} // namespace plantaingap::jobs
