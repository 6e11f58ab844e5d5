#ifndef PLANTAINGAP_DECISION_WORKER_HEALTH_H
#define PLANTAINGAP_DECISION_WORKER_HEALTH_H

#include <plantaingap/ids.h>
#include <plantaingap/time.h>
#include <unordered_map>

namespace plantaingap::decision {

// How often requests of each kind fail, whichever worker they run on.
class kind_failures
{
public:
    void observe(kind_id kind, bool failed);

    // The share of this kind's requests that fail, between 0 and 1.
    double rate(kind_id kind) const;

private:
    struct counts
    {
        double all = 0;
        double failed = 0;
    };

    std::unordered_map<kind_id, counts> m_kinds;
};

// Evidence that one worker fails whatever it is given: a cumulative sum of the log likelihood
// ratio of "fails nine in ten" against the failure rate of each request's kind. A kind that fails
// on every worker therefore adds nothing.
class worker_health
{
public:
    // Takes the outcome of one request; the rate is that of its kind.
    void observe(bool failed, double kindRate);

    // True when the evidence suffices for quarantine.
    bool suspect() const;

    bool quarantined() const { return m_quarantined; }

    // When a quarantined worker gets its next single request.
    time_point probeAt() const { return m_probeAt; }

    // Starts or prolongs the quarantine; each time in a row doubles it up to a bound.
    void quarantine(time_point now);

    // A probe was answered. True when the worker returns to service.
    bool probeAnswered();

private:
    double m_evidence = 0;
    duration m_pause {};
    time_point m_probeAt {};
    int m_answeredProbes = 0;
    bool m_quarantined = false;
};

} // namespace plantaingap::decision

#endif
