#ifndef PLANTAINGAP_DECISION_WORKER_HEALTH_H
#define PLANTAINGAP_DECISION_WORKER_HEALTH_H

#include <plantaingap/ids.h>
#include <plantaingap/time.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantaingap::decision {

// Failure rate of requests by kind, over all workers.
class kind_failures
{
public:
    void observe(kind_id kind, bool failed);

    // Fraction of requests of the kind that fail, from 0 to 1.
    double rate(kind_id kind) const;

private:
    struct outcome_counts
    {
        double total = 0;
        double failed = 0;
    };

    std::unordered_map<kind_id, outcome_counts> m_countsByKind;
};

// The last outcome of each kind on each worker, to tell a kind that fails everywhere from a worker
// that fails.
class failing_kinds
{
public:
    void observe(const std::string &kind, const std::string &worker, bool failed);

    // Whether the kind fails on several workers other than this one, or on the only one, and on
    // most of them: its failures are no evidence against the worker. `others`: those on which it
    // may run.
    bool failsElsewhere(const std::string &kind, const std::string &worker,
                        std::size_t others) const;

    // Whether the kind fails on most workers on which it was run.
    bool mostlyFails(const std::string &kind) const;

private:
    struct last_outcome
    {
        std::string worker;
        bool failed = false;
    };

    // Oldest first.
    using outcomes = std::vector<last_outcome>;

    // Kinds that fail on a worker.
    std::unordered_map<std::string, outcomes> m_outcomesByKind;
};

// Detects a worker that fails requests of any kind. Keeps a cumulative sum (CUSUM) of the log
// likelihood ratio between a broken worker, which fails 90 % of its requests, and the failure rate
// of each request's kind. A kind that fails on every worker therefore adds no evidence.
class worker_health
{
public:
    // Records the outcome of one request, given the failure rate of its kind.
    void observe(bool failed, double kindRate);

    // Whether the evidence suffices for quarantine.
    bool isSuspect() const;

    bool quarantined() const { return m_quarantined; }

    // Time of the next probe, a single request, of a quarantined worker.
    time_point probeAt() const { return m_probeAt; }

    // Start of the quarantine; requests sent before it are no probes.
    time_point quarantinedAt() const { return m_quarantinedAt; }

    // Starts or extends the quarantine; each extension doubles the probe interval up to a maximum.
    void quarantine(time_point now);

    // Records a successful probe; true when it ends the quarantine.
    bool recordProbeSuccess();

private:
    double m_evidence = 0;
    duration m_probeInterval {};
    time_point m_probeAt {};
    time_point m_quarantinedAt {};
    int m_successfulProbes = 0;
    bool m_quarantined = false;
};

} // namespace plantaingap::decision

#endif
