#ifndef PLANTAINGAP_DECISION_CLASS_ESTIMATOR_H
#define PLANTAINGAP_DECISION_CLASS_ESTIMATOR_H

#include "decision/kind_caller.h"

#include <array>
#include <cstddef>
#include <list>
#include <plantaingap/request_scheduler.h>
#include <unordered_map>

namespace plantaingap::decision {

// Estimates the class of requests from the time for which earlier ones held a slot, per kind and
// caller. The declared class only matters until requests have been observed. A caller that
// understates its requests gets only a few of them classified as quick at a time, and cannot change
// the class of other callers' requests by sending many.
class class_estimator
{
public:
    explicit class_estimator(const request_limits &limits);

    // The class to queue a request under.
    work_class classify(kind_id kind, caller_id caller, work_class declared) const;

    // The class of a request that held a slot for the given time.
    work_class classOf(duration held) const;

    // Records that a request held a slot for a time that puts it into the observed class.
    void observe(kind_id kind, caller_id caller, work_class declared, work_class observed,
                 time_point now);

    // Maximum of open requests of this kind and caller that may be classified as quick.
    std::uint32_t quickLimit(kind_id kind, caller_id caller) const;

    // Number of tracked pairs of kind and caller; bounded.
    std::size_t size() const { return m_pairs.size(); }

private:
    using class_counts = std::array<double, 3>;

    // Exponentially decayed counts of observed requests by class.
    struct history
    {
        class_counts counts {};
        time_point updatedAt {};

        void add(work_class observed, double weight, time_point now);
        double total() const { return counts[0] + counts[1] + counts[2]; }
    };

    struct pair_entry
    {
        history observations;
        std::list<kind_caller>::iterator recency;
    };

    // How often a caller's requests exceeded their declared class; applied to its unknown kinds.
    struct declaration_record
    {
        double total = 0;
        double understated = 0;
    };

    static work_class classFromCounts(const class_counts &counts);
    class_counts expectedCounts(kind_id kind, caller_id caller, work_class declared) const;
    history &findOrAddPair(const kind_caller &key);
    work_class correctDeclaration(caller_id caller, work_class declared) const;
    void recordDeclaration(caller_id caller, work_class declared, work_class observed);

    duration m_quickMaxDuration;
    duration m_normalMaxDuration;
    std::unordered_map<kind_caller, pair_entry, kind_caller_hash> m_pairs;
    // Pairs, least recently observed first.
    std::list<kind_caller> m_recency;
    std::unordered_map<kind_id, history> m_kinds;
    std::unordered_map<caller_id, declaration_record> m_callers;
};

} // namespace plantaingap::decision

#endif
