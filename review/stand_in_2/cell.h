#ifndef REVIEW_STAND_IN_2_CELL_H
#define REVIEW_STAND_IN_2_CELL_H

#include "store.h"
#include "worker.h"

#include <filesystem>
#include <memory>
#include <sys/types.h>
#include <vector>

// A small deployment: the platform's store, workers, and entry instances as separate processes.
namespace review {

struct queue
{
    std::string name;
    int priority = 1;
    int attempts = 3;
    double stretch = 4.0;
    int sloMs = 3000;
};

struct deployment
{
    std::size_t instances = 3;
    std::size_t workers = 12;
    std::vector<queue> queues;
};

class cell
{
public:
    cell(asio::io_context &context, record &log, deployment wanted, plan_of_run plan);
    ~cell();

    // Starts all; false if no instance is ready in time.
    asio::awaitable<bool> start();
    void startInstance(std::size_t index);
    void signal(std::size_t index, int number);
    // Ends the process by force and waits for it.
    void kill(std::size_t index);

    // A client's request to the next instance, recorded.
    asio::awaitable<std::optional<answer>>
    ask(std::string method, const queue &to, std::string id, std::string body,
        std::chrono::milliseconds patience = std::chrono::milliseconds(3000));
    // Submits a job, again as long as no answer tells whether it was accepted.
    asio::awaitable<bool> submit(const queue &to, std::string id, std::string body);
    // The state that an instance tells; empty without a 200.
    asio::awaitable<std::string> state(const queue &of, std::string id);

    asio::io_context &context() { return m_context; }
    record &log() { return m_log; }
    store &rows() { return m_store; }
    const std::vector<std::unique_ptr<worker>> &workers() const { return m_workers; }
    const queue &queueAt(std::size_t index) const { return m_wanted.queues[index]; }
    std::size_t instances() const { return m_instances.size(); }
    bool alive(std::size_t index) const;

private:
    struct instance
    {
        std::string name;
        std::uint16_t front = 0;
        std::uint16_t ready = 0;
        std::uint16_t peers = 0;
        pid_t process = -1;
    };
    void writeSettings(const instance &one) const;
    void writeConfiguration();

    asio::io_context &m_context;
    record &m_log;
    deployment m_wanted;
    store m_store;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<instance> m_instances;
    std::filesystem::path m_folder;
    std::size_t m_next = 0;
};

// 16 hexadecimal digits.
std::string jobId(std::uint64_t number);

} // namespace review

#endif
