#ifndef PLANTAINGAP_REVIEW_STAND_IN_3_STAND_INS_H
#define PLANTAINGAP_REVIEW_STAND_IN_3_STAND_INS_H

#include "common.h"

namespace review {

// The platform's store: PORT RECORD.
int runStore(const std::vector<std::string> &arguments);
// One life of a worker: see worker.cpp.
int runWorker(const std::vector<std::string> &arguments);

// Writes to the store as the operator and the platform do.
bool putRow(std::uint16_t storePort, const std::string &table, const std::string &key,
            const boost::json::value &value);
bool dropRow(std::uint16_t storePort, const std::string &table, const std::string &key);

// The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run. The
// arguments: the program of the cell, a temporary folder, the record, 1 with the disruption or 0
// without.
int runLostLeaders(const std::vector<std::string> &arguments);
int runCancelledJobs(const std::vector<std::string> &arguments);
int runOtherKind(const std::vector<std::string> &arguments);
int runLastingTask(const std::vector<std::string> &arguments);
int runHopelessJob(const std::vector<std::string> &arguments);

} // namespace review

#endif
