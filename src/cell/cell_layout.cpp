#include "cell/cell_layout.h"

#include "jobs/fleet.h"
#include "support/http_message.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace plantaingap::cell {

namespace json = boost::json;

namespace {

// Workers for each core of their leader and for each Mbit/s of its link.
constexpr std::int64_t workersPerCore = 800;
constexpr std::int64_t workersPerMbps = 50;
constexpr std::int64_t maxPartitions = 64;
constexpr std::size_t jobIdLength = 16;

// CRC-32 is the same in every version of the program; stored layouts depend on it.
std::uint32_t checksum(std::string_view text)
{
    boost::crc_32_type crc;
    crc.process_bytes(text.data(), text.size());
    return crc.checksum();
}

} // namespace

std::string encodeLayout(const cell_layout &layout)
{
    return json::serialize(json::object {{"partitions", layout.partitions}});
}

std::optional<cell_layout> decodeLayout(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        const auto count = value.as_object().at("partitions").to_number<std::int64_t>();
        if (count < 1 || count > maxPartitions)
            return std::nullopt;
        return cell_layout {static_cast<std::uint32_t>(count)};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

cell_layout layoutFor(std::size_t workers, const instance_capacity &leader)
{
    auto perLeader = std::max<std::int64_t>(leader.milliCores * workersPerCore / 1000, 1);
    if (leader.linkKbps > 0)
        perLeader =
            std::min(perLeader, std::max<std::int64_t>(leader.linkKbps * workersPerMbps / 1000, 1));
    const auto needed = (static_cast<std::int64_t>(workers) + perLeader - 1) / perLeader;
    return {static_cast<std::uint32_t>(std::clamp<std::int64_t>(needed, 1, maxPartitions))};
}

std::string partition_id::storePart() const
{
    return count == 1 ? std::string() : "p" + std::to_string(index);
}

std::string_view jobIdOf(std::string_view target)
{
    const auto path = support::targetPath(target);
    if (path.size() <= jobIdLength)
        return {};
    const auto id = path.substr(path.size() - jobIdLength);
    const bool hexadecimal =
        id.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
    return hexadecimal ? id : std::string_view();
}

std::uint32_t partitionOfJob(std::string_view jobId, std::uint32_t partitions)
{
    return checksum(jobId) % partitions;
}

// Numbered racks ("r1-7") are dealt out in turn, which gives every partition the same number of
// them; the part before the number shifts the turn, so that no partition gets the extra rack of
// every data centre.
std::uint32_t partitionOfWorker(const jobs::worker_entry &worker, std::uint32_t partitions)
{
    const auto rack = jobs::rackOf(worker.labels);
    if (rack.empty())
        return checksum(worker.id) % partitions;
    const auto dash = rack.rfind('-');
    std::uint32_t number = 0;
    const auto *end = rack.data() + rack.size();
    const auto parsed = std::from_chars(rack.data() + dash + 1, end, number);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return checksum(rack) % partitions;
    const auto shift = checksum(std::string_view(rack).substr(0, dash)) % partitions;
    return (number % partitions + shift) % partitions;
}

std::uint32_t homePartition(std::string_view instance, std::uint32_t partitions)
{
    return checksum(instance) % partitions;
}

} // namespace plantaingap::cell
