#ifndef PLANTAINGAP_CELL_CELL_LAYOUT_H
#define PLANTAINGAP_CELL_CELL_LAYOUT_H

#include "jobs/worker.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Division of a cell into partitions. Each partition has its own leader, store part, jobs and
// workers, so that a fleet may be larger than one leader can serve and the loss of a leader stops
// only a part of the work. The functions are pure: every instance computes the same answer.
namespace plantaingap::cell {

// Stored once, when the cell starts for the first time.
struct cell_layout
{
    std::uint32_t partitions = 1;

    bool operator==(const cell_layout &) const = default;
};

std::string encodeLayout(const cell_layout &layout);
std::optional<cell_layout> decodeLayout(std::string_view text);

// What an instance has to offer a leader.
struct instance_capacity
{
    // Thousandths of a core.
    std::int64_t milliCores = 1000;
    // Kilobits a second of the instance's own link; 0 when unknown.
    std::int64_t linkKbps = 0;
};

// Number of partitions for a fleet whose leaders run on instances of that capacity.
cell_layout layoutFor(std::size_t workers, const instance_capacity &leader);

// One partition of a cell.
struct partition_id
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    // The part of the store's tables that holds the partition's rows. A cell of one partition uses
    // the unnamed part.
    std::string storePart() const;
};

// The job that the path of a request ends with, empty if it ends with none.
std::string_view jobIdOf(std::string_view target);
// The partition of a job. Jobs are found by their identifier alone, at any instance.
std::uint32_t partitionOfJob(std::string_view jobId, std::uint32_t partitions);
// The partition of a worker. Workers of one rack are in one partition.
std::uint32_t partitionOfWorker(const jobs::worker_entry &worker, std::uint32_t partitions);
// The partition that an instance prefers to lead, and for which it calls the placement advisor.
std::uint32_t homePartition(std::string_view instance, std::uint32_t partitions);

} // namespace plantaingap::cell

#endif
