#include "decision/request_key_store.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>
#include <utility>

namespace plantaingap::decision {

request_key_store::request_key_store(const key_limits &limits, batch_id first)
    : m_limits(limits)
    , m_nextBatch(first)
{ }

void request_key_store::step(const key_event &event, time_point now,
                             std::vector<key_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

std::optional<time_point> request_key_store::nextDeadline() const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    if (!m_deadlines.empty())
        consider(m_deadlines.begin()->first);
    if (m_write && m_write->nextReadAt)
        consider(*m_write->nextReadAt);
    if (!m_write && !m_waiting.empty())
        consider(m_nextWrite);
    return next;
}

void request_key_store::expire(time_point now, wall_time wallNow, std::vector<key_action> &actions)
{
    removeExpired(wallNow);
    refuseExpired(now, actions);
    startReadIfDue(now, actions);
    startWrite(now, wallNow, actions);
}

void request_key_store::on(const key_arrived &event, time_point now,
                           std::vector<key_action> &actions)
{
    if (m_phase != owner_phase::Ready && !mutated("keys.skip_loading")) {
        actions.emplace_back(refuse_key {event.request, errc::NotReady, std::nullopt});
        return;
    }
    const auto it = m_keys.find(event.key);
    if (it != m_keys.end())
        return handleRepeat(it->second, event, now, actions);
    if (m_storeUnavailable) {
        actions.emplace_back(refuse_key {event.request, errc::StoreUnavailable, std::nullopt});
        return;
    }
    if (m_keys.size() >= m_limits.maxKeys) {
        actions.emplace_back(refuse_key {event.request, errc::Overloaded, std::nullopt});
        return;
    }
    m_keys[event.key] =
        key_state {key_phase::Waiting, event.request, event.deadline, event.expiresAt, 0};
    m_deadlines.emplace(event.deadline, event.key);
    m_waiting.push_back(event.key);
    if (mutated("keys.skip_commit"))
        release(m_keys[event.key], now, actions);
}

void request_key_store::handleRepeat(key_state &state, const key_arrived &event, time_point now,
                                     std::vector<key_action> &actions)
{
    const bool noRequest = !state.request.has_value();
    if (state.phase == key_phase::Stored || mutated("keys.skip_duplicate_check")) {
        state.request = event.request;
        state.deadline = event.deadline;
        return release(state, now, actions);
    }
    if (noRequest && state.phase <= key_phase::Writing && !m_storeUnavailable) {
        state.request = event.request;
        state.deadline = event.deadline;
        m_deadlines.emplace(event.deadline, event.key);
        return;
    }
    // The request was never released, and the outcome of its write cannot be read at present.
    if (noRequest && state.phase <= key_phase::Writing) {
        actions.emplace_back(refuse_key {event.request, errc::StoreUnavailable, std::nullopt});
        return;
    }
    const bool completed = state.phase == key_phase::Completed;
    actions.emplace_back(refuse_key {event.request, errc::DuplicateKey,
                                     completed ? std::optional(state.status) : std::nullopt});
}

void request_key_store::on(const keys_committed &event, time_point now,
                           std::vector<key_action> &actions)
{
    if (isWriting(event.batch))
        finishWrite(now, actions);
}

void request_key_store::on(const commit_failed &event, time_point, std::vector<key_action> &actions)
{
    if (isWriting(event.batch))
        dropWrite(actions);
}

void request_key_store::on(const commit_unknown &event, time_point now,
                           std::vector<key_action> &actions)
{
    if (!isWriting(event.batch) || m_write->nextReadAt)
        return;
    m_write->nextReadAt = now;
    startReadIfDue(now, actions);
}

void request_key_store::on(const batch_read_completed &event, time_point now,
                           std::vector<key_action> &actions)
{
    if (!isWriting(event.batch) || !m_write->nextReadAt)
        return;
    if (event.present)
        finishWrite(now, actions);
    else
        dropWrite(actions);
}

void request_key_store::on(const batch_read_failed &event, time_point now,
                           std::vector<key_action> &actions)
{
    if (!isWriting(event.batch) || !m_write->nextReadAt)
        return;
    m_storeUnavailable = true;
    m_write->nextReadAt = now + m_limits.readRetryInterval;
    refuseAll(errc::StoreUnavailable, actions);
}

void request_key_store::on(const keys_loaded &event, time_point, std::vector<key_action> &)
{
    if (m_phase != owner_phase::Loading)
        return;
    m_phase = owner_phase::Ready;
    for (const auto &row : event.batches) {
        trackBatch(row);
        // A previous owner may have sent these requests, so they count as sent.
        for (const auto &stored : row.keys) {
            auto &state = m_keys[stored.key];
            state.phase = key_phase::Released;
            state.expiresAt = std::max(state.expiresAt, stored.expiresAt);
        }
    }
}

void request_key_store::on(const key_completed &event, time_point, std::vector<key_action> &)
{
    const auto it = m_keys.find(event.key);
    if (it == m_keys.end() || it->second.phase != key_phase::Released)
        return;
    it->second.phase = key_phase::Completed;
    it->second.status = event.status;
}

void request_key_store::on(const ownership_lost &, time_point, std::vector<key_action> &actions)
{
    m_phase = owner_phase::Lost;
    refuseAll(errc::NotReady, actions);
    m_write.reset();
}

bool request_key_store::isWriting(batch_id batch) const
{
    return m_write && m_write->row.batch == batch;
}

void request_key_store::startWrite(time_point now, wall_time wallNow,
                                   std::vector<key_action> &actions)
{
    if (m_write || m_waiting.empty() || now < m_nextWrite)
        return;
    m_write.emplace();
    m_write->row.batch = m_nextBatch;
    m_nextBatch = batch_id {number(m_nextBatch) + 1};
    while (!m_waiting.empty() && m_write->row.keys.size() < m_limits.maxBatchKeys) {
        auto &state = m_keys.at(m_waiting.front());
        state.phase = key_phase::Writing;
        m_write->row.keys.push_back({m_waiting.front(), state.expiresAt});
        m_waiting.pop_front();
    }
    while (!m_rows.empty() && m_rows.begin()->first <= wallNow) {
        m_write->expired.push_back(m_rows.begin()->second);
        m_rows.erase(m_rows.begin());
    }
    m_nextWrite = now + m_limits.writeInterval;
    actions.emplace_back(commit_keys {m_write->row, m_write->expired});
}

void request_key_store::startReadIfDue(time_point now, std::vector<key_action> &actions)
{
    if (!m_write || !m_write->nextReadAt || *m_write->nextReadAt > now)
        return;
    m_write->nextReadAt = now + m_limits.readRetryInterval;
    actions.emplace_back(read_batch {m_write->row.batch});
}

void request_key_store::finishWrite(time_point now, std::vector<key_action> &actions)
{
    const auto row = std::move(m_write->row);
    m_write.reset();
    m_storeUnavailable = false;
    trackBatch(row);
    for (const auto &stored : row.keys) {
        auto &state = m_keys.at(stored.key);
        state.phase = key_phase::Stored;
        if (!state.request)
            continue;
        m_deadlines.erase({state.deadline, stored.key});
        release(state, now, actions);
    }
}

void request_key_store::dropWrite(std::vector<key_action> &actions)
{
    const auto write = std::move(*m_write);
    m_write.reset();
    m_storeUnavailable = false;
    for (const auto &stored : write.row.keys) {
        auto &state = m_keys.at(stored.key);
        m_deadlines.erase({state.deadline, stored.key});
        refuse(state, errc::StoreUnavailable, actions);
        m_keys.erase(stored.key);
    }
    // A write whose reply was lost may still take effect. That is safe, since none of its requests
    // was released; its row is deleted after its keys expire, like any other.
    trackRowExpiry(write.row);
    // The deletions in this write did not happen either; the next write repeats them.
    for (const auto batch : write.expired)
        m_rows.emplace(wall_time {}, batch);
}

void request_key_store::release(key_state &state, time_point now, std::vector<key_action> &actions)
{
    if (state.deadline <= now)
        return refuse(state, errc::DeadlinePassed, actions);
    PLANTAINGAP_INVARIANT(m_phase == owner_phase::Ready,
                          "key released without ownership of its group");
    PLANTAINGAP_INVARIANT(state.phase == key_phase::Stored, "key released before it was stored");
    if (!mutated("keys.forget_released"))
        state.phase = key_phase::Released;
    actions.emplace_back(release_request {*std::exchange(state.request, std::nullopt)});
}

void request_key_store::refuse(key_state &state, errc code, std::vector<key_action> &actions)
{
    if (const auto request = std::exchange(state.request, std::nullopt))
        actions.emplace_back(refuse_key {*request, code, std::nullopt});
}

void request_key_store::refuseAll(errc code, std::vector<key_action> &actions)
{
    for (const auto &[deadline, key] : m_deadlines)
        refuse(m_keys.at(key), code, actions);
    m_deadlines.clear();
    // Discard only keys that are not being written; the others may already be in the table.
    for (const auto &key : m_waiting)
        m_keys.erase(key);
    m_waiting.clear();
}

void request_key_store::refuseExpired(time_point now, std::vector<key_action> &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        refuse(m_keys.at(m_deadlines.begin()->second), errc::DeadlinePassed, actions);
        m_deadlines.erase(m_deadlines.begin());
    }
}

void request_key_store::trackBatch(const stored_batch &row)
{
    for (const auto &stored : row.keys)
        m_expiry.emplace(stored.expiresAt, stored.key);
    trackRowExpiry(row);
}

void request_key_store::trackRowExpiry(const stored_batch &row)
{
    wall_time last {};
    for (const auto &stored : row.keys)
        last = std::max(last, stored.expiresAt);
    m_rows.emplace(last, row.batch);
}

void request_key_store::removeExpired(wall_time wallNow)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= wallNow) {
        // A key that was used again after it expired may be in two rows.
        const auto it = m_keys.find(m_expiry.begin()->second);
        if (it != m_keys.end() && it->second.expiresAt <= wallNow)
            m_keys.erase(it);
        m_expiry.erase(m_expiry.begin());
    }
}

} // namespace plantaingap::decision
