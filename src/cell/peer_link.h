#ifndef PLANTAINGAP_CELL_PEER_LINK_H
#define PLANTAINGAP_CELL_PEER_LINK_H

#include "cell/ports.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

// Calls between the instances of a cell, over gRPC.
namespace plantaingap::cell {

struct follower_beat
{
    std::string instance;
    // IP:PORT of the follower's peer listener.
    std::string address;
    wall_time wall {};
};

struct leader_beat
{
    bool leads = false;
    std::uint64_t term = 0;
    // Since the leader sent the last write that the store took.
    std::chrono::milliseconds commitAge {0};
    // Of the leader's row, after that write.
    std::uint64_t rowRevision = 0;
};

// A caller's request as any instance reads it.
struct caller_call
{
    std::string method;
    std::string host;
    std::string target;
    std::string body;
    // The caller waits no longer.
    time_point deadline {};
};

struct caller_answer
{
    // False: the callee does not lead and did nothing.
    bool leads = false;
    unsigned status = 0;
    std::string body;
    std::uint32_t retryAfterSeconds = 0;
    // The callee led when the request came, and does not know what became of it.
    bool uncertain = false;
};

struct advice_call
{
    std::string step;
    std::vector<std::string> workers;
    time_point deadline {};
};

// Handlers run on the thread of the io_context.
struct peer_handlers
{
    std::function<leader_beat(const follower_beat &)> beat;
    std::function<awaitable<caller_answer>(caller_call)> relay;
    std::function<awaitable<outcome<advice>>(advice_call)> advise;
};

class peer_link
{
public:
    peer_link(boost::asio::io_context &context, peer_handlers handle);
    ~peer_link();

    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    // Binds IP:PORT and begins to serve.
    std::error_code listen(const std::string &address);
    // Refuses new calls; calls under way have until the deadline. Blocks; the io_context must run
    // on another thread, or have no calls under way.
    void stop(time_point deadline);

    awaitable<outcome<leader_beat>> beat(std::string address, follower_beat told,
                                         time_point deadline);
    awaitable<outcome<caller_answer>> relay(std::string address, caller_call call);
    awaitable<outcome<advice>> advise(std::string address, advice_call call);
    // Drops the connection to an instance that has gone silent; the next call makes a new one.
    void reconnect(const std::string &address);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantaingap::cell

#endif
