#ifndef PLANTAINGAP_JOBS_STEP_ADVICE_H
#define PLANTAINGAP_JOBS_STEP_ADVICE_H

#include <cstddef>
#include <cstdint>
#include <plantaingap/time.h>
#include <string>
#include <vector>

namespace plantaingap::jobs {

// Identifies a worker within a fleet without its id: comparing ids takes most of the time of a pass
// over many workers.
struct worker_ref
{
    // Position in the fleet; used again after the worker was removed.
    std::uint32_t slot = 0;
    // Unique among all workers of the fleet; 0 for none.
    std::uint32_t number = 0;

    bool operator==(const worker_ref &) const = default;
};

// A ticket of the placement advisor that allows a step to run on one worker.
struct ticket
{
    std::string text;
    time_point expires {};
    // Whether a start order has carried it, or it has been counted as unused.
    bool used = false;
    bool countedUnused = false;

    bool awaitsUse() const { return !used && !countedUnused; }
};

struct allowed_worker
{
    worker_ref worker;
    ticket held;
};

// Responses of the placement advisor for one step.
class step_advice
{
public:
    // Whether the step may run on the worker. The answer does not change, but tickets expire.
    bool allows(worker_ref worker) const { return find(worker) > rejectedEntry; }
    bool rejects(worker_ref worker) const { return find(worker) == rejectedEntry; }
    // The last ticket for an allowed worker, maybe expired; null for others.
    const ticket *ticketFor(worker_ref worker) const;
    ticket *ticketFor(worker_ref worker);
    // All allowed workers, including removed ones.
    const std::vector<allowed_worker> &allowed() const { return m_allowed; }
    std::vector<allowed_worker> &allowed() { return m_allowed; }
    std::size_t rejectedWorkers() const { return m_rejected; }
    // False if all tickets have expired.
    bool mayHaveTicket(time_point now) const { return m_lastExpiry > now; }

    void allow(worker_ref worker, ticket held);
    // Ignored for an allowed worker.
    void reject(worker_ref worker);
    // The answer for the worker is no longer valid.
    void forget(worker_ref worker);

    bool callPending = false;
    // After a failed call: the earliest time of the next one.
    time_point retryAt {};
    // For metrics: as of the last examination, all instances for a call were busy, and when the
    // first ticket expires that has not been counted.
    bool awaitsInstance = false;
    time_point nextExpiry = time_point::max();

private:
    static constexpr std::uint32_t unknownEntry = 0;
    static constexpr std::uint32_t rejectedEntry = 1;
    // Entries of allowed workers are their positions in m_allowed plus this.
    static constexpr std::uint32_t firstAllowedEntry = 2;

    // By slot; the number tells whether the entry is about the worker that has the slot now.
    struct answer
    {
        std::uint32_t number = 0;
        std::uint32_t entry = unknownEntry;
    };

    std::uint32_t find(worker_ref worker) const
    {
        return worker.slot < m_answers.size() && m_answers[worker.slot].number == worker.number
                   ? m_answers[worker.slot].entry
                   : unknownEntry;
    }
    answer &answerFor(worker_ref worker);

    std::vector<answer> m_answers;
    std::vector<allowed_worker> m_allowed;
    std::size_t m_rejected = 0;
    time_point m_lastExpiry {};
};

} // namespace plantaingap::jobs

#endif
