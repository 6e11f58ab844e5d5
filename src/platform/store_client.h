#ifndef PLANTAINGAP_PLATFORM_STORE_CLIENT_H
#define PLANTAINGAP_PLATFORM_STORE_CLIENT_H

#include "platform/backoff.h"

#include <deque>
#include <map>
#include <plantaingap/store_client.h>

namespace plantaingap::platform {

// State machine for durable writes and reads; include/plantaingap/store_client.h defines the driver
// contract. At most one commit is in flight; writes that arrive meanwhile join the next one. After
// a lost reply, the outcome of a commit is determined by reading each of its rows.
class store_client
{
public:
    store_client(const store_limits &limits, std::uint64_t seed);

    void step(const store_event &event, time_point now, std::vector<store_action> &actions);

    bool idle() const;

    // True from a failed call until the next successful one.
    bool unavailable() const { return m_backoff.failures() > 0; }

private:
    struct queued_write
    {
        store_write write;
        time_point deadline {};
        time_point arrivedAt {};
        // A copy of this write may have reached the table, or may still do so.
        bool mayBeStored = false;
        bool finished = false;
    };

    struct waiting_reader
    {
        // Empty if the read determines the outcome of a write to the key.
        std::optional<std::uint64_t> ticket;
        time_point deadline {};
    };

    struct read_call
    {
        std::string key;
        std::vector<waiting_reader> readers;
    };

    void on(const store_write_requested &event, time_point now, std::vector<store_action> &actions);
    void on(const store_read_requested &event, time_point now, std::vector<store_action> &actions);
    void on(const commit_call_finished &event, time_point now, std::vector<store_action> &actions);
    void on(const read_call_finished &event, time_point now, std::vector<store_action> &actions);
    void on(const store_tick &event, time_point now, std::vector<store_action> &actions);

    void send(time_point now, std::vector<store_action> &actions);
    void sendReads(time_point now, std::vector<store_action> &actions);
    void sendCommit(time_point now, std::vector<store_action> &actions);
    void expire(time_point now, std::vector<store_action> &actions);
    void finish(queued_write &write, errc outcome, std::vector<store_action> &actions);
    void resolveWrites(const std::string &key, const std::optional<write_id> &storedWrite,
                       time_point now, std::vector<store_action> &actions);
    void succeeded();
    void failed(time_point now);
    bool takeToken(time_point now);

    store_limits m_limits;
    backoff m_backoff;
    std::optional<time_point> m_retryAt;
    double m_tokens;
    std::optional<time_point> m_tokensAt;
    std::deque<queued_write> m_queue;
    std::uint64_t m_lastCall = 0;
    // The commit in flight and its writes.
    std::optional<std::uint64_t> m_batch;
    std::vector<queued_write> m_sent;
    // Writes with an unknown outcome, which is determined by reading the row.
    std::vector<queued_write> m_unresolved;
    // Reads that are not sent yet, by key.
    std::map<std::string, std::vector<waiting_reader>> m_queuedReads;
    // Reads in flight, by call number.
    std::map<std::uint64_t, read_call> m_sentReads;
};

} // namespace plantaingap::platform

#endif
