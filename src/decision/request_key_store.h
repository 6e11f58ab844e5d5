#ifndef PLANTAINGAP_DECISION_REQUEST_KEY_STORE_H
#define PLANTAINGAP_DECISION_REQUEST_KEY_STORE_H

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

// Ensures that a non-idempotent request runs at most once, at the owner of the group that its key
// belongs to. A key is stored in the platform's table before its request is sent; keys are written
// in batches to bound the write rate. A state machine without I/O, clock or threads.
namespace plantaingap::decision {

// Identifies a request; provided by the caller, who repeats it when it retries.
using request_key = std::string;

// Identifies one write, so that after a lost reply a read shows whether the write took effect.
enum class batch_id : std::uint64_t {};

struct stored_key
{
    request_key key;
    // Until then a repeat of the request must be recognised.
    wall_time expiresAt {};
};

// One row of the table.
struct stored_batch
{
    batch_id batch {};
    std::vector<stored_key> keys;
};

// A non-idempotent request arrived.
struct key_arrived
{
    request_id request {};
    request_key key;
    // The caller ignores a response after this time.
    time_point deadline {};
    wall_time expiresAt {};
};

struct keys_committed
{
    batch_id batch {};
};

// The write certainly did not take effect.
struct commit_failed
{
    batch_id batch {};
};

// No reply: the write may have taken effect, or may still do so.
struct commit_unknown
{
    batch_id batch {};
};

// The read of a batch succeeded; present says whether the table contains the batch.
struct batch_read_completed
{
    batch_id batch {};
    bool present = false;
};

// The batch could not be read.
struct batch_read_failed
{
    batch_id batch {};
};

// All keys that the table holds for the group, read under this owner's epoch.
struct keys_loaded
{
    std::vector<stored_batch> batches;
};

// The released request finished with this HTTP status; also given when its outcome is unknown.
struct key_completed
{
    request_key key;
    std::uint32_t status = 0;
};

// This instance no longer owns the group and must not release further requests.
struct ownership_lost
{ };

using key_event =
    std::variant<key_arrived, keys_committed, commit_failed, commit_unknown, batch_read_completed,
                 batch_read_failed, keys_loaded, key_completed, ownership_lost>;

// Write these keys as one row, on condition that the owner's epoch is current and the row absent.
// The same write deletes the rows of batches whose keys have all expired.
struct commit_keys
{
    stored_batch row;
    std::vector<batch_id> expired;
};

// Read whether the table contains the batch.
struct read_batch
{
    batch_id batch {};
};

// Send the request; happens at most once per key.
struct release_request
{
    request_id request {};
};

// The request is not run. The status is that of the first response, for DuplicateKey if known.
struct refuse_key
{
    request_id request {};
    errc code = errc::StoreUnavailable;
    std::optional<std::uint32_t> status;
};

using key_action = std::variant<commit_keys, read_batch, release_request, refuse_key>;

struct key_limits
{
    // Maximum of keys per write; further keys wait for the next write.
    std::uint32_t maxBatchKeys = 512;
    // Minimum interval between the starts of two writes.
    duration writeInterval = std::chrono::milliseconds(100);
    // Interval between reads of a batch whose write got no reply.
    duration readRetryInterval = std::chrono::seconds(1);
    // Maximum of keys; requests with further keys are refused until some keys expire.
    std::uint32_t maxKeys = 200000;
};

class request_key_store
{
public:
    // The first batch id must exceed those of all previous owners, for instance by having the
    // epoch's generation in its upper 32 bits.
    request_key_store(const key_limits &limits, batch_id first);

    // Handles one event and appends the actions to execute.
    void step(const key_event &event, time_point now, std::vector<key_action> &actions);

    // Latest time at which expire() must be called.
    std::optional<time_point> nextDeadline() const;

    // Starts a due write or read, refuses requests whose deadline has passed, and removes keys that
    // have expired by the wall clock.
    void expire(time_point now, wall_time wallNow, std::vector<key_action> &actions);

    std::size_t size() const { return m_keys.size(); }
    bool ready() const { return m_phase == owner_phase::Ready; }

private:
    enum class owner_phase : std::uint8_t { Loading, Ready, Lost };
    // Stored: the key is in the table, but no request was released for it; a repeat may run.
    enum class key_phase : std::uint8_t { Waiting, Writing, Stored, Released, Completed };

    struct key_state
    {
        key_phase phase = key_phase::Waiting;
        // The request that awaits release; absent after it was released or refused.
        std::optional<request_id> request;
        time_point deadline {};
        wall_time expiresAt {};
        std::uint32_t status = 0;
    };

    // The write in flight; at most one.
    struct write_state
    {
        stored_batch row;
        std::vector<batch_id> expired;
        // Time of the next read of the batch; set once the outcome of the write is unknown.
        std::optional<time_point> nextReadAt;
    };

    void on(const key_arrived &event, time_point now, std::vector<key_action> &actions);
    void on(const keys_committed &event, time_point now, std::vector<key_action> &actions);
    void on(const commit_failed &event, time_point now, std::vector<key_action> &actions);
    void on(const commit_unknown &event, time_point now, std::vector<key_action> &actions);
    void on(const batch_read_completed &event, time_point now, std::vector<key_action> &actions);
    void on(const batch_read_failed &event, time_point now, std::vector<key_action> &actions);
    void on(const keys_loaded &event, time_point now, std::vector<key_action> &actions);
    void on(const key_completed &event, time_point now, std::vector<key_action> &actions);
    void on(const ownership_lost &event, time_point now, std::vector<key_action> &actions);

    bool isWriting(batch_id batch) const;
    void handleRepeat(key_state &state, const key_arrived &event, time_point now,
                      std::vector<key_action> &actions);
    void startWrite(time_point now, wall_time wallNow, std::vector<key_action> &actions);
    void startReadIfDue(time_point now, std::vector<key_action> &actions);
    void finishWrite(time_point now, std::vector<key_action> &actions);
    void dropWrite(std::vector<key_action> &actions);
    void release(key_state &state, time_point now, std::vector<key_action> &actions);
    void refuse(key_state &state, errc code, std::vector<key_action> &actions);
    void refuseAll(errc code, std::vector<key_action> &actions);
    void refuseExpired(time_point now, std::vector<key_action> &actions);
    void trackBatch(const stored_batch &row);
    void trackRowExpiry(const stored_batch &row);
    void removeExpired(wall_time wallNow);

    key_limits m_limits;
    owner_phase m_phase = owner_phase::Loading;
    // Set when the outcome of the last write is unknown and could not be read back.
    bool m_storeUnavailable = false;
    std::unordered_map<request_key, key_state> m_keys;
    // Keys for the next writes, in order of arrival.
    std::deque<request_key> m_waiting;
    std::optional<write_state> m_write;
    batch_id m_nextBatch {};
    time_point m_nextWrite {};
    // Deadlines of the requests that await release.
    std::set<std::pair<time_point, request_key>> m_deadlines;
    // Keys in the table, by expiry time.
    std::set<std::pair<wall_time, request_key>> m_expiry;
    // Rows in the table, by the expiry time of their last key.
    std::set<std::pair<wall_time, batch_id>> m_rows;
};

} // namespace plantaingap::decision

#endif
