#ifndef PLANTAINGAP_DECISION_KEY_MEMORY_H
#define PLANTAINGAP_DECISION_KEY_MEMORY_H

#include <cstdint>
#include <deque>
#include <optional>
#include <plantaingap/ids.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

// Sees to it that a request that is not idempotent is run at most once, at the owner of the group
// that its key belongs to. A key is in the platform's table before its request is sent; keys are
// written in batches, so that the writes per second are bounded. No I/O, clock or thread.
namespace plantaingap::decision {

// What the caller sent to name its request.
using request_key = std::string;

// Names one write, so that a lost reply can be settled by reading whether the write is there.
enum class batch_id : std::uint64_t {};

struct stored_key
{
    request_key key;
    // Until when a repeat of the request must be recognised.
    wall_time keptUntil {};
};

// One row of the table.
struct stored_batch
{
    batch_id batch {};
    std::vector<stored_key> keys;
};

// A request that is not idempotent came in.
struct key_arrived
{
    request_id request {};
    request_key key;
    // The caller no longer wants an answer after this time.
    time_point deadline {};
    wall_time keptUntil {};
};

struct keys_committed
{
    batch_id batch {};
};

// The write did not take effect, for certain.
struct commit_failed
{
    batch_id batch {};
};

// No reply: the write may have taken effect, and may still do so.
struct commit_unknown
{
    batch_id batch {};
};

// What reading a batch showed.
struct batch_read
{
    batch_id batch {};
    bool present = false;
};

// The batch could not be read.
struct batch_unread
{
    batch_id batch {};
};

// All keys that the table holds for the group, read under this owner's epoch.
struct keys_loaded
{
    std::vector<stored_batch> batches;
};

// The released request was answered with this status, or its outcome is unknown.
struct key_answered
{
    request_key key;
    std::uint32_t status = 0;
};

// The owner gave up the group: nothing may be released any more.
struct ownership_lost
{ };

using key_event = std::variant<key_arrived, keys_committed, commit_failed, commit_unknown,
                               batch_read, batch_unread, keys_loaded, key_answered, ownership_lost>;

// Write these keys in one row, conditional on the owner's epoch and on the row being absent. The
// same write deletes the rows of batches whose keys have all expired.
struct commit_keys
{
    stored_batch row;
    std::vector<batch_id> expired;
};

// Read whether the batch is in the table.
struct read_batch
{
    batch_id batch {};
};

// The request may be sent now, this once.
struct release_request
{
    request_id request {};
};

// The request is not run. For DuplicateKey the status of the first answer, if it is still known.
struct refuse_key
{
    request_id request {};
    errc code = errc::StoreUnavailable;
    std::optional<std::uint32_t> status;
};

using key_action = std::variant<commit_keys, read_batch, release_request, refuse_key>;

struct key_limits
{
    // Keys in one write; more wait for the next.
    std::uint32_t batchSize = 512;
    // Between the starts of two writes: ten a second.
    duration betweenWrites = std::chrono::milliseconds(100);
    // Between two reads of a batch whose write got no reply.
    duration betweenReads = std::chrono::seconds(1);
    // Keys held at once; more are refused until some expire.
    std::uint32_t keys = 200000;
};

class key_memory
{
public:
    // The first batch number must be above those of all former owners: the epoch's generation in
    // the upper half does that.
    key_memory(const key_limits &limits, batch_id first);

    // Takes one event and appends what is to be done.
    void step(const key_event &event, time_point now, std::vector<key_action> &actions);

    // When expire() must be called at the latest.
    std::optional<time_point> nextDeadline() const;

    // Starts the write or read that is due, refuses what waited past its deadline, and forgets
    // keys by the wall time.
    void expire(time_point now, wall_time wallNow, std::vector<key_action> &actions);

    std::size_t size() const { return m_keys.size(); }
    bool ready() const { return m_phase == owner_phase::Ready; }

private:
    enum class owner_phase : std::uint8_t { Loading, Ready, Lost };
    // A stored key is in the table, but its request was refused before it was released.
    enum class key_phase : std::uint8_t { Waiting, Writing, Stored, Released, Answered };

    struct key_state
    {
        key_phase phase = key_phase::Waiting;
        // None when the request was refused while its key was being written.
        std::optional<request_id> request;
        time_point deadline {};
        wall_time keptUntil {};
        std::uint32_t status = 0;
    };

    // The write that is under way; one at a time.
    struct write_state
    {
        stored_batch row;
        std::vector<batch_id> expired;
        // Set while the outcome has to be settled by reading.
        std::optional<time_point> readAt;
    };

    void on(const key_arrived &event, time_point now, std::vector<key_action> &actions);
    void on(const keys_committed &event, time_point now, std::vector<key_action> &actions);
    void on(const commit_failed &event, time_point now, std::vector<key_action> &actions);
    void on(const commit_unknown &event, time_point now, std::vector<key_action> &actions);
    void on(const batch_read &event, time_point now, std::vector<key_action> &actions);
    void on(const batch_unread &event, time_point now, std::vector<key_action> &actions);
    void on(const keys_loaded &event, time_point now, std::vector<key_action> &actions);
    void on(const key_answered &event, time_point now, std::vector<key_action> &actions);
    void on(const ownership_lost &event, time_point now, std::vector<key_action> &actions);

    bool writing(batch_id batch) const;
    void repeat(key_state &state, const key_arrived &event, time_point now,
                std::vector<key_action> &actions);
    void startWrite(time_point now, wall_time wallNow, std::vector<key_action> &actions);
    void settle(time_point now, std::vector<key_action> &actions);
    void finishWrite(time_point now, std::vector<key_action> &actions);
    void dropWrite(std::vector<key_action> &actions);
    void release(key_state &state, time_point now, std::vector<key_action> &actions);
    void refuse(key_state &state, errc code, std::vector<key_action> &actions);
    void refuseAll(errc code, std::vector<key_action> &actions);
    void refuseLate(time_point now, std::vector<key_action> &actions);
    void keep(const stored_batch &row);
    void noteRow(const stored_batch &row);
    void forgetExpired(wall_time wallNow);

    key_limits m_limits;
    owner_phase m_phase = owner_phase::Loading;
    // The last write could neither be confirmed nor ruled out: the store is away.
    bool m_away = false;
    std::unordered_map<request_key, key_state> m_keys;
    // Keys for the next write, in order of arrival.
    std::deque<request_key> m_waiting;
    std::optional<write_state> m_write;
    batch_id m_nextBatch {};
    time_point m_nextWrite {};
    // Deadlines of requests that were neither released nor refused.
    std::set<std::pair<time_point, request_key>> m_deadlines;
    // Keys in the table, by the time until which they are kept.
    std::set<std::pair<wall_time, request_key>> m_expiry;
    // Rows in the table, by the time when their last key expires.
    std::set<std::pair<wall_time, batch_id>> m_rows;
};

} // namespace plantaingap::decision

#endif
