#ifndef PLANTAINGAP_TESTS_ADAPTER_HTTP_WORKER_H
#define PLANTAINGAP_TESTS_ADAPTER_HTTP_WORKER_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// A worker on loopback that can start again under its id. It executes every order and never ends a
// run.
namespace plantaingap::tests {

// An order as an incarnation has executed it.
struct executed_order
{
    std::string path;
    boost::json::object body;
    std::int64_t incarnationMs = 0;
    // The worker's clock at that moment.
    std::int64_t clockMs = 0;
};

class http_worker
{
public:
    // Starts the first incarnation; its clock begins at `clockMs`.
    http_worker(boost::asio::io_context &context, std::int64_t incarnationMs, std::int64_t clockMs);
    ~http_worker();

    http_worker(const http_worker &) = delete;
    http_worker &operator=(const http_worker &) = delete;

    // IP:PORT.
    std::string address() const;
    // Another incarnation replaces the present one, whose calls get no reply and whose other
    // connections are closed.
    void restart(std::int64_t incarnationMs, std::int64_t clockMs);

    const std::vector<executed_order> &executed() const;
    // Renewals that the present incarnation holds open.
    std::size_t openRenewals() const;

    // From now on each renewal gets this status; 0 breaks its connection instead.
    void answerRenewals(unsigned status);

    // Resets further connections while so many are open.
    void limitConnections(std::size_t limit);
    // Connections that are open now, the most at a time, and those that were reset.
    std::size_t openConnections() const;
    std::size_t mostConnections() const;
    std::size_t refusedConnections() const;
    // How long the worker takes to reply.
    void replyAfter(std::chrono::milliseconds delay);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantaingap::tests

#endif
