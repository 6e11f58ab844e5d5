#ifndef PLANTAINGAP_RUNTIME_DECLARED_CELL_H
#define PLANTAINGAP_RUNTIME_DECLARED_CELL_H

#include "operator/administration.h"
#include "runtime/job_row.h"

#include <map>
#include <plantaingap/configuration.h>
#include <plantaingap/platform_list.h>
#include <string>
#include <vector>

// What follows from the configuration in force and the platform's list alone, so that every
// instance works it out alike without asking another.
namespace plantaingap::runtime {

// The group of a worker: its rack.
std::string groupOf(const named_worker &worker);

// What each group's workers hold together; leaving workers count while they are listed.
std::map<std::string, resources> groupCapacities(const platform_list &list);

// The teams' shares of one group: their quotas in proportion to the group's part of the whole
// cell's capacity, in each resource alone, rounded down so that shares never sum above a quota.
std::vector<decision::quota_changed> quotaShares(const std::vector<team_declaration> &teams,
                                                 const resources &group, const resources &cell);

// The group in which a declared job is to run: of the groups whose whole capacity could hold it,
// or, if there is none, of all, the first by rendezvous hashing of its name. Empty without groups.
std::string groupForJob(const job_spec &job, const std::map<std::string, resources> &groups);

job_spec specOf(const job_declaration &declared);

// A job's state as its row alone tells it.
operators::job_status jobStatus(const job_row &row);

} // namespace plantaingap::runtime

#endif
