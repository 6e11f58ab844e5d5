#ifndef PLANTAINGAP_CELL_PEER_TRANSPORT_H
#define PLANTAINGAP_CELL_PEER_TRANSPORT_H

#include "cell/ports.h"
#include "jobs/workspaces/limit_shares.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

// gRPC calls between the instances of a cell.
namespace plantaingap::cell {

// Sent by a follower to the leader.
struct heartbeat_request
{
    std::string instance;
    // IP:PORT of the follower's peer listener.
    std::string address;
    // The follower's wall clock when it sent the heartbeat.
    wall_time wall {};
    // Index of the partition whose leader is addressed.
    std::uint32_t partition = 0;
    // The follower calls the placement advisor for this partition.
    bool takesAdviceCalls = true;
    // How long the follower would wait before it takes the partition over.
    std::chrono::milliseconds takeoverDelay {0};
    // The follower has the processor that a leader needs, and leads no partition.
    bool canLead = true;
};

struct heartbeat_reply
{
    // False if the callee does not lead or has resigned.
    bool leads = false;
    std::uint64_t term = 0;
    // Time since the leader sent its last committed write.
    std::chrono::milliseconds commitAge {0};
    // Revision of the leader's row after that write.
    std::uint64_t rowRevision = 0;
    // Time until the next heartbeat is expected; 0 for the default interval.
    std::chrono::milliseconds interval {0};
};

// A caller's HTTP request as received by any instance.
struct caller_request
{
    std::string method;
    std::string host;
    std::string target;
    std::string body;
    // When the caller stops waiting.
    time_point deadline {};
    // Index of the partition whose leader is addressed.
    std::uint32_t partition = 0;
    // The highest version of the configuration that the sender has seen in force; an answer by an
    // older one would contradict an earlier answer.
    std::uint64_t configurationVersion = 0;
    // The Authorization header. Never logged.
    std::string authorization;
};

struct caller_response
{
    // False if the callee does not lead. Nothing was done then, unless outcomeUnknown is set.
    bool leads = false;
    unsigned status = 0;
    std::string body;
    std::uint32_t retryAfterSeconds = 0;
    // The callee led when it received the request and cannot tell whether it took effect.
    bool outcomeUnknown = false;
    // Version of the configuration by which the request was handled.
    std::uint64_t configurationVersion = 0;
    // For a request for the state of a queue: its waiting jobs in the leader's partition.
    std::optional<std::uint64_t> waitingJobs;
};

// Asks another instance to call the placement advisor, which serves one call of each instance at a
// time.
struct peer_advice_request
{
    std::string step;
    std::vector<std::string> workers;
    time_point deadline {};
};

// Handlers of other instances' calls; they run on the thread of the io_context.
struct peer_handlers
{
    std::function<heartbeat_reply(const heartbeat_request &)> heartbeat;
    std::function<awaitable<caller_response>(caller_request)> callerRequest;
    std::function<awaitable<outcome<advice>>(peer_advice_request)> adviceRequest;
    // Handled by the leader of partition 0.
    std::function<awaitable<jobs::limit_reply>(jobs::limit_request)> limitRequest = {};
};

class peer_transport
{
public:
    peer_transport(boost::asio::io_context &context, peer_handlers handlers);
    ~peer_transport();

    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    // Binds IP:PORT and starts serving.
    std::error_code listen(const std::string &address);
    // Rejects new calls and cancels those still open at the deadline. Blocks until all calls have
    // ended, so the io_context must run on another thread or have no open calls.
    void stop(time_point deadline);

    awaitable<outcome<heartbeat_reply>>
    sendHeartbeat(std::string address, heartbeat_request request, time_point deadline);
    awaitable<outcome<caller_response>> forwardRequest(std::string address, caller_request request);
    awaitable<outcome<advice>> requestAdvice(std::string address, peer_advice_request request);
    // Asks the leader of partition 0 for shares of the workspaces' limits.
    awaitable<outcome<jobs::limit_reply>>
    shareLimits(std::string address, jobs::limit_request request, time_point deadline);
    // Drops the connection to an unresponsive instance; the next call opens a new one.
    void dropConnection(const std::string &address);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantaingap::cell

#endif
