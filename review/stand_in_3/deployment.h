#ifndef PLANTAINGAP_REVIEW_STAND_IN_3_DEPLOYMENT_H
#define PLANTAINGAP_REVIEW_STAND_IN_3_DEPLOYMENT_H

#include "common.h"

#include <boost/json/array.hpp>
#include <set>

namespace review {

// A small deployment on loopback: the store, workers and three instances of the cell, each a
// process of its own. The processes end with it.
class deployment
{
public:
    // The arguments of a case: the program of the cell, a temporary folder, the record.
    explicit deployment(const std::vector<std::string> &arguments);

    struct worker
    {
        std::string id;
        std::string kind = "a";
        std::string rack = "r1-1";
        std::int64_t cpu = 8000;
        std::int64_t memory = 32768;
        // From the start of the process to its first report about itself to the store.
        std::int64_t firstReportMs = 0;
        // Of each call to it, as between regions.
        std::int64_t roundTripMs = 0;
        std::uint16_t port = 0;
        int process = 0;
    };

    void startWorker(worker made);
    // Ends the worker's process at once.
    void crashWorker(const std::string &id);
    // Starts another life of the worker at the same address.
    void restartWorker(const std::string &id, const std::string &kind, std::int64_t firstReportMs);
    // Starts a further instance and returns its number, from 0.
    std::size_t startInstance();
    // The instance's process stands still for good, as if its machine had lost its power.
    void freezeInstance(std::size_t instance);
    // The instance that leads by its own metrics; none if none does.
    std::optional<std::size_t> leader() const;
    // Stores the configuration, with one queue, and starts the instances. False if they do not
    // become ready.
    bool startCell(int attempts);

    // One attempt of a client at the instance; 0 without an answer.
    unsigned submit(const std::string &id, const boost::json::array &steps, const std::string &spec,
                    std::size_t instance);
    unsigned cancel(const std::string &id, std::size_t instance);
    // The state that the instance tells, the status if it is not 200, or empty without an answer.
    std::string state(const std::string &id, std::size_t instance);
    static constexpr std::size_t instances = 3;

    // The lines of the record so far that contain the text.
    std::vector<std::string> recorded(const std::string &text) const;

private:
    std::optional<answer> send(std::string_view method, const std::string &id,
                               const std::string &body, std::size_t instance);

    std::string m_program;
    std::string m_self;
    std::string m_folder;
    std::string m_record;
    std::uint16_t m_store;
    std::vector<std::uint16_t> m_callers;
    std::vector<std::uint16_t> m_ready;
    std::vector<int> m_instances;
    std::set<std::size_t> m_frozen;
    std::map<std::string, worker> m_workers;
    child_processes m_children;
};

// Whether the condition held before the time was over; it is checked each 50 ms.
bool waitFor(std::int64_t timeMs, const std::function<bool()> &condition);

std::string jobId(std::uint64_t number);

} // namespace review

#endif
