#include "platform/store_client.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::platform {

store_client::store_client(const store_limits &limits, std::uint64_t seed)
    : m_limits(limits)
    , m_backoff(limits.minRetryInterval, limits.maxRetryInterval, seed)
    , m_tokens(limits.burst)
{ }

void store_client::step(const store_event &event, time_point now,
                        std::vector<store_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

bool store_client::idle() const
{
    return m_queue.empty() && !m_batch && m_unresolved.empty() && m_queuedReads.empty()
           && m_sentReads.empty();
}

void store_client::on(const store_write_requested &event, time_point now,
                      std::vector<store_action> &actions)
{
    queued_write write {{event.key, event.write}, event.deadline, now, false, false};
    if (m_queue.size() >= m_limits.maxQueuedWrites) {
        finish(write, errc::Overloaded, actions);
        return;
    }
    m_queue.push_back(std::move(write));
    send(now, actions);
}

void store_client::on(const store_read_requested &event, time_point now,
                      std::vector<store_action> &actions)
{
    if (mutated("store.share_sent_read")) {
        for (auto &[call, read] : m_sentReads) {
            if (read.key == event.key) {
                read.readers.push_back({event.ticket, event.deadline});
                return;
            }
        }
    }
    // Requests share a read only until it is sent: a later one needs a read of its own, to see the
    // row as of some time after the request.
    m_queuedReads[event.key].push_back({event.ticket, event.deadline});
    send(now, actions);
}

void store_client::on(const commit_call_finished &event, time_point now,
                      std::vector<store_action> &actions)
{
    if (m_batch != event.batch)
        return;
    m_batch.reset();
    std::vector<queued_write> sent;
    sent.swap(m_sent);
    const bool responded = event.outcomes.size() == sent.size();
    if (responded)
        succeeded();
    else
        failed(now);
    for (std::size_t index = 0; index < sent.size(); ++index) {
        auto &write = sent[index];
        const auto outcome = responded ? event.outcomes[index] : write_outcome::Unknown;
        if (outcome == write_outcome::Applied) {
            finish(write, errc::Ok, actions);
            continue;
        }
        if (!event.sent || outcome == write_outcome::NotSent) {
            m_queue.push_back(std::move(write));
            continue;
        }
        // A conflict may stem from this same write, sent twice by a retry in a lower layer: read
        // the row to find out.
        if (outcome == write_outcome::Conflict && mutated("store.conflict_is_lost")) {
            finish(write, errc::DuplicateKey, actions);
            continue;
        }
        if (mutated("store.unknown_is_lost") || mutated("store.unknown_is_applied")) {
            finish(write, mutated("store.unknown_is_lost") ? errc::StoreUnavailable : errc::Ok,
                   actions);
            continue;
        }
        write.mayBeStored = true;
        m_queuedReads[write.write.key].push_back({std::nullopt, write.deadline});
        m_unresolved.push_back(std::move(write));
    }
    send(now, actions);
}

void store_client::on(const read_call_finished &event, time_point now,
                      std::vector<store_action> &actions)
{
    const auto found = m_sentReads.find(event.call);
    if (found == m_sentReads.end())
        return;
    const read_call read = std::move(found->second);
    m_sentReads.erase(found);
    if (event.responded)
        succeeded();
    else
        failed(now);
    for (const auto &reader : read.readers) {
        if (!event.responded)
            m_queuedReads[read.key].push_back(reader);
        else if (reader.ticket)
            actions.emplace_back(read_finished {*reader.ticket, errc::Ok, event.storedWrite});
        else
            resolveWrites(read.key, event.storedWrite, now, actions);
    }
    send(now, actions);
}

// Compares the row's write identity with the writes to that key. If there is no row, the write may
// still be in flight, so it is sent again instead of being reported as failed.
void store_client::resolveWrites(const std::string &key, const std::optional<write_id> &storedWrite,
                                 time_point now, std::vector<store_action> &actions)
{
    std::vector<queued_write> candidates;
    candidates.swap(m_unresolved);
    for (auto &write : candidates) {
        if (write.write.key != key) {
            m_unresolved.push_back(std::move(write));
        } else if (storedWrite) {
            const bool sameWrite =
                *storedWrite == write.write.write || mutated("store.skip_write_identity");
            finish(write, sameWrite ? errc::Ok : errc::DuplicateKey, actions);
        } else if (!write.finished) {
            write.arrivedAt = now;
            m_queue.push_back(std::move(write));
        }
    }
}

void store_client::on(const store_tick & /*event*/, time_point now,
                      std::vector<store_action> &actions)
{
    expire(now, actions);
    send(now, actions);
}

void store_client::expire(time_point now, std::vector<store_action> &actions)
{
    std::erase_if(m_queue, [&](auto &write) {
        if (write.deadline > now)
            return false;
        const bool neverStored = !write.mayBeStored || mutated("store.late_is_lost");
        finish(write, neverStored ? errc::StoreUnavailable : errc::OutcomeUnknown, actions);
        return true;
    });
    for (auto &write : m_unresolved) {
        if (write.deadline <= now)
            finish(write, errc::OutcomeUnknown, actions);
    }
    for (auto &write : m_sent) {
        if (write.deadline <= now)
            finish(write, errc::OutcomeUnknown, actions);
    }
    std::erase_if(m_unresolved, [](const auto &write) { return write.finished; });
    for (auto &[key, readers] : m_queuedReads) {
        std::erase_if(readers, [&](const auto &reader) {
            const bool expired = reader.deadline <= now;
            if (expired && reader.ticket)
                actions.emplace_back(
                    read_finished {*reader.ticket, errc::StoreUnavailable, std::nullopt});
            return expired;
        });
    }
    std::erase_if(m_queuedReads, [](const auto &entry) { return entry.second.empty(); });
}

void store_client::finish(queued_write &write, errc outcome, std::vector<store_action> &actions)
{
    if (write.finished)
        return;
    write.finished = true;
    actions.emplace_back(write_finished {write.write.write, outcome});
}

void store_client::send(time_point now, std::vector<store_action> &actions)
{
    if (m_retryAt && now < *m_retryAt)
        return;
    sendReads(now, actions);
    sendCommit(now, actions);
}

void store_client::sendReads(time_point now, std::vector<store_action> &actions)
{
    while (!m_queuedReads.empty() && takeToken(now)) {
        auto entry = m_queuedReads.extract(m_queuedReads.begin());
        const auto call = ++m_lastCall;
        actions.emplace_back(send_read {call, entry.key()});
        m_sentReads[call] = {std::move(entry.key()), std::move(entry.mapped())};
    }
}

void store_client::sendCommit(time_point now, std::vector<store_action> &actions)
{
    if (m_batch || m_queue.empty())
        return;
    const bool full = m_queue.size() >= m_limits.maxBatchWrites;
    if (!full && now - m_queue.front().arrivedAt < m_limits.batchDelay)
        return;
    if (!takeToken(now))
        return;
    m_batch = ++m_lastCall;
    send_commit commit {*m_batch, {}};
    while (!m_queue.empty() && m_sent.size() < m_limits.maxBatchWrites) {
        commit.writes.push_back(m_queue.front().write);
        m_sent.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    PLANTAINGAP_INVARIANT(commit.writes.size() <= m_limits.maxBatchWrites, "store.batch_bound");
    actions.emplace_back(std::move(commit));
}

void store_client::succeeded()
{
    m_backoff.succeeded();
    m_retryAt.reset();
}

void store_client::failed(time_point now)
{
    m_retryAt = m_backoff.failed(now);
}

bool store_client::takeToken(time_point now)
{
    if (mutated("store.skip_budget"))
        return true;
    if (m_tokensAt) {
        const std::chrono::duration<double> elapsed = now - *m_tokensAt;
        m_tokens = std::min(m_limits.burst, m_tokens + elapsed.count() * m_limits.callsPerSecond);
    }
    m_tokensAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace plantaingap::platform
