#ifndef PLANTAINGAP_JOBS_WORKSPACES_RETURN_SCHEDULE_H
#define PLANTAINGAP_JOBS_WORKSPACES_RETURN_SCHEDULE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <plantaingap/time.h>
#include <string>

// Spreads the return of refused callers, so that those that are refused together do not come back
// together. It targets a workspace that sends many times its usual and is refused for some seconds.
namespace plantaingap::jobs {

class return_schedule
{
public:
    // Seconds after which a refused job should be submitted again, not before `earliest` has
    // passed. The jobs of a workspace return at its rate, those that were refused before first.
    std::uint32_t assign(const std::string &workspace, double perSecond, bool refusedBefore,
                         std::chrono::seconds earliest, time_point now);

private:
    // By workspace: when the next refused job may return.
    std::map<std::string, time_point> m_nextReturn;
};

} // namespace plantaingap::jobs

#endif
