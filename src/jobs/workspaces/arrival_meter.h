#ifndef PLANTAINGAP_JOBS_WORKSPACES_ARRIVAL_METER_H
#define PLANTAINGAP_JOBS_WORKSPACES_ARRIVAL_METER_H

#include <cstddef>
#include <deque>
#include <map>
#include <plantaingap/time.h>
#include <string>
#include <unordered_map>

// Tells which jobs a workspace sends beyond its share of jobs a second. It targets one workspace
// that sends many times its usual.
namespace plantaingap::jobs {

struct arrival
{
    // The job is beyond the share.
    bool beyond = false;
    // It was submitted before; the answer is that of the first time.
    bool repeated = false;
};

class arrival_meter
{
public:
    // Classifies a submitted job of a workspace whose share is `perSecond` jobs.
    arrival classify(const std::string &workspace, double perSecond, const std::string &job,
                     time_point now);

private:
    struct bucket
    {
        double tokens = 0;
        time_point filledAt {};
        bool used = false;
    };
    struct remembered
    {
        std::string job;
        time_point forgetAt {};
    };

    void forget(time_point now);

    std::map<std::string, bucket> m_buckets;
    // By job: whether it is beyond the share.
    std::unordered_map<std::string, bool> m_answers;
    std::deque<remembered> m_order;
};

} // namespace plantaingap::jobs

#endif
