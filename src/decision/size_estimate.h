#ifndef PLANTAINGAP_DECISION_SIZE_ESTIMATE_H
#define PLANTAINGAP_DECISION_SIZE_ESTIMATE_H

#include "decision/kind_caller.h"

#include <array>
#include <cstddef>
#include <list>
#include <plantaingap/request_scheduler.h>
#include <unordered_map>

namespace plantaingap::decision {

// Learns the class of requests from the time that they held a slot, per kind and caller. What is
// declared counts only until something was seen. A caller that calls long work quick is believed
// for a few requests at once at most, and moves no other caller's class by sending a lot.
class size_estimate
{
public:
    explicit size_estimate(const request_limits &limits);

    // The class to queue a request under.
    work_class classify(kind_id kind, caller_id caller, work_class declared) const;

    // The class of a request that held a slot for so long.
    work_class classOf(duration served) const;

    // A request held a slot long enough to be known as of this class.
    void observe(kind_id kind, caller_id caller, work_class declared, work_class seen,
                 time_point now);

    // How many requests of this kind and caller may be queued or running as quick work at once.
    std::uint32_t quickWindow(kind_id kind, caller_id caller) const;

    // Pairs of kind and caller that are remembered; bounded.
    std::size_t size() const { return m_pairs.size(); }

private:
    using class_counts = std::array<double, 3>;

    // Decayed counts by class.
    struct history
    {
        class_counts seen {};
        time_point at {};

        void add(work_class observed, double weight, time_point now);
        double total() const { return seen[0] + seen[1] + seen[2]; }
    };

    struct pair_entry
    {
        history past;
        std::list<kind_caller>::iterator recency;
    };

    // Classes by which a caller's kinds exceeded their declaration, for kinds not seen before.
    struct trust
    {
        double declarations = 0;
        double understated = 0;
    };

    static work_class judge(const class_counts &counts);
    class_counts expect(kind_id kind, caller_id caller, work_class declared) const;
    history &remember(const kind_caller &key);
    work_class distrust(caller_id caller, work_class declared) const;
    void judgeCaller(caller_id caller, work_class declared, work_class seen);

    duration m_quickAtMost;
    duration m_normalAtMost;
    std::unordered_map<kind_caller, pair_entry, kind_caller_hash> m_pairs;
    // Least recently observed first.
    std::list<kind_caller> m_recency;
    std::unordered_map<kind_id, history> m_kinds;
    std::unordered_map<caller_id, trust> m_callers;
};

} // namespace plantaingap::decision

#endif
