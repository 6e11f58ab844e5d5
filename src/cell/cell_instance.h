#ifndef PLANTAINGAP_CELL_CELL_INSTANCE_H
#define PLANTAINGAP_CELL_CELL_INSTANCE_H

#include "cell/cell_layout.h"
#include "cell/partition_member.h"
#include "cell/peer_transport.h"
#include "support/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaingap::cell {

struct instance_options
{
    std::string instance;
    boost::asio::ip::tcp::endpoint callerListen;
    boost::asio::ip::tcp::endpoint readyListen;
    // IP:PORT; also sent to other instances as this instance's peer address.
    std::string peerListen;
    // Caller connections above this limit are closed at once.
    std::size_t maxCallerConnections = 2048;
    leader_options leader;
    // What this instance can bear as a leader.
    instance_capacity capacity;
    // Additional wait before this instance takes a partition over.
    std::chrono::milliseconds takeoverDelay {0};
    // From SIGTERM until the instance stops accepting connections, and until the process ends.
    std::chrono::milliseconds stopAcceptDelay {2600};
    std::chrono::milliseconds stopDeadline {4800};
};

// One instance of a cell. Takes part in every partition of the cell and passes each caller's
// request to the partition that is responsible for it.
class cell_instance
{
public:
    // Request header with the caller's timeout in milliseconds.
    static constexpr std::string_view deadlineHeader = "Plantaingap-Deadline-Ms";

    cell_instance(boost::asio::io_context &context, instance_options options, table_store &store,
                  worker_gateway &workers, step_advisor &advisor, const platform_codec &codec,
                  platform_tables tables);

    // Binds all listeners and starts serving.
    std::error_code start();
    // Planned stop: resigns if leading, completes open requests, then calls `stopped`.
    void stop(std::function<void()> stopped);

private:
    // Reads the stored layout of the cell, or stores one when the cell starts for the first time,
    // and starts the partitions.
    awaitable<void> joinCell();
    // The stored layout. Sets `cellExists` if there is none but a leader of a cell of one
    // partition, which an earlier version of the program left.
    awaitable<std::optional<cell_layout>> readLayout(bool &storeRead, bool &cellExists);
    // The number of workers that the platform lists, empty if it cannot be read.
    awaitable<std::optional<std::size_t>> countWorkers();
    awaitable<void> storeLayout(cell_layout layout);
    void startPartitions(cell_layout layout);

    awaitable<void> finishStop(std::function<void()> stopped);
    awaitable<support::http_response> serveCaller(support::http_request request);
    // Passes the request to the partition of the job that it names, or to all partitions if it asks
    // about a queue.
    awaitable<caller_response> routeRequest(caller_request request);
    awaitable<caller_response> routeToPartition(std::uint32_t index, caller_request request);
    awaitable<caller_response> routeToAll(caller_request request);
    // Asks the leader of each partition, or of that of the job that the path ends with, why jobs
    // are not done.
    awaitable<support::http_response> explainJobs(std::string path);
    awaitable<support::http_response> serveReady(support::http_request request);
    awaitable<void> sleepFor(std::chrono::milliseconds period);
    partition_member *partition(std::uint32_t index);
    std::uint32_t partitionsLed() const;
    bool isReady() const;
    std::string metrics() const;
    // Connections to workers by use, and how many the workers have refused.
    void addWorkerConnections(std::string &metrics) const;

    boost::asio::io_context &m_context;
    instance_options m_options;
    peer_transport m_peerTransport;
    cell_ports m_ports;
    support::http_server m_callerServer;
    support::http_server m_readyServer;
    // Empty until the layout of the cell is known.
    std::vector<std::unique_ptr<partition_member>> m_partitions;
    // The highest version of the configuration by which a request was answered.
    std::uint64_t m_configurationVersion = 0;
    bool m_stopping = false;
    std::uint64_t m_callerRequests = 0;
};

} // namespace plantaingap::cell

#endif
