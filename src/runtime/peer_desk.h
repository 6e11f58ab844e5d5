#ifndef PLANTAINGAP_RUNTIME_PEER_DESK_H
#define PLANTAINGAP_RUNTIME_PEER_DESK_H

#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "runtime/control_note.h"

#include <unordered_map>

namespace plantaingap::runtime {

// A heartbeat as the control duty gave it, and when.
struct own_beat
{
    control_heartbeat heartbeat;
    time_point takenAt {};
};

// A request that another instance forwarded to us as the owner of a group.
struct forwarded_request
{
    service_request_ptr request;
    group_id group {};
};

// Where the desk's messages go; each hands its message to another duty. Those that return false had
// no room.
struct peer_outlets
{
    std::function<bool(forwarded_request &&)> admit;
    std::function<void(peer::forward_result &&)> forwardEnded;
    std::function<void(control_heartbeat &&)> heartbeat;
    std::function<void(instance_id, std::optional<control_heartbeat>, time_point)> reply;
    std::function<void(std::vector<decision::group_summary> &&)> summaries;
};

// The duty towards other instances: sends and takes heartbeats and forwarded requests. It runs on
// the thread of its io_context.
class peer_desk
{
public:
    peer_desk(boost::asio::io_context &context, peer_outlets outlets);

    // Ids of forwarded requests have this bit, which tells them from callers' own.
    static constexpr std::uint64_t forwardedBit = std::uint64_t {1} << 63;
    static bool isForwarded(request_id id) { return (number(id) & forwardedBit) != 0; }

    // Forwarded requests that are open at once; one more is refused.
    static constexpr std::size_t openLimit = 8192;

    void addPeer(instance_id peer, const std::string &address);
    std::error_code listen(const std::string &address) { return m_server.listen(address); }
    std::uint16_t port() const { return m_server.port(); }

    // Sends the heartbeat to all peers, and answers theirs that came before it was taken.
    void beat(const own_beat &own);
    void setSummaries(std::vector<decision::group_summary> &&summaries);
    void forward(const peer::forward_call &order);
    // The answer to a forwarded request.
    void deliver(const service_response_ptr &answer);

    // Answers whatever still waits as unknown, and ends the server; blocks. On the thread of the
    // owner, after all other duties have ended; the context must run meanwhile.
    void stop(time_point deadline) { m_server.stop(deadline); }
    // On the desk's thread, before stop().
    void answerAll();

private:
    struct waiting_heartbeat
    {
        time_point arrivedAt {};
        peer::peer_server::heartbeat_reply reply;
    };

    void heartbeatArrived(peer::peer_heartbeat &&told, peer::peer_server::heartbeat_reply reply);
    void forwardArrived(service_request &&request, group_id group,
                        peer::peer_server::forward_reply reply);
    void replyArrived(instance_id peer, std::optional<peer::peer_heartbeat> told,
                      time_point askedAt);

    peer_outlets m_outlets;
    std::uint64_t m_lastId = 0;
    std::vector<instance_id> m_peers;
    std::vector<decision::group_summary> m_summaries;
    std::vector<waiting_heartbeat> m_waiting;
    std::unordered_map<request_id, peer::peer_server::forward_reply> m_open;
    peer::peer_heartbeat m_lastOwn;
    peer::peer_client m_client;
    peer::peer_server m_server;
};

} // namespace plantaingap::runtime

#endif
