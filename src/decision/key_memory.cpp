#include "decision/key_memory.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>
#include <utility>

namespace plantaingap::decision {

key_memory::key_memory(const key_limits &limits, batch_id first)
    : m_limits(limits)
    , m_nextBatch(first)
{ }

void key_memory::step(const key_event &event, time_point now, std::vector<key_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

std::optional<time_point> key_memory::nextDeadline() const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    if (!m_deadlines.empty())
        consider(m_deadlines.begin()->first);
    if (m_write && m_write->readAt)
        consider(*m_write->readAt);
    if (!m_write && !m_waiting.empty())
        consider(m_nextWrite);
    return next;
}

void key_memory::expire(time_point now, wall_time wallNow, std::vector<key_action> &actions)
{
    forgetExpired(wallNow);
    refuseLate(now, actions);
    settle(now, actions);
    startWrite(now, wallNow, actions);
}

void key_memory::on(const key_arrived &event, time_point now, std::vector<key_action> &actions)
{
    if (m_phase != owner_phase::Ready && !mutated("keys.skip_loading")) {
        actions.emplace_back(refuse_key {event.request, errc::NotReady, std::nullopt});
        return;
    }
    const auto found = m_keys.find(event.key);
    if (found != m_keys.end())
        return repeat(found->second, event, now, actions);
    if (m_away) {
        actions.emplace_back(refuse_key {event.request, errc::StoreUnavailable, std::nullopt});
        return;
    }
    if (m_keys.size() >= m_limits.keys) {
        actions.emplace_back(refuse_key {event.request, errc::Overloaded, std::nullopt});
        return;
    }
    m_keys[event.key] =
        key_state {key_phase::Waiting, event.request, event.deadline, event.keptUntil, 0};
    m_deadlines.emplace(event.deadline, event.key);
    m_waiting.push_back(event.key);
    if (mutated("keys.skip_commit"))
        release(m_keys[event.key], now, actions);
}

void key_memory::repeat(key_state &state, const key_arrived &event, time_point now,
                        std::vector<key_action> &actions)
{
    const bool unheld = !state.request.has_value();
    if (state.phase == key_phase::Stored || mutated("keys.skip_duplicate_check")) {
        state.request = event.request;
        state.deadline = event.deadline;
        return release(state, now, actions);
    }
    if (unheld && state.phase <= key_phase::Writing && !m_away) {
        state.request = event.request;
        state.deadline = event.deadline;
        m_deadlines.emplace(event.deadline, event.key);
        return;
    }
    // Never released and the table cannot say more now.
    if (unheld && state.phase <= key_phase::Writing) {
        actions.emplace_back(refuse_key {event.request, errc::StoreUnavailable, std::nullopt});
        return;
    }
    const bool answered = state.phase == key_phase::Answered;
    actions.emplace_back(refuse_key {event.request, errc::DuplicateKey,
                                     answered ? std::optional(state.status) : std::nullopt});
}

void key_memory::on(const keys_committed &event, time_point now, std::vector<key_action> &actions)
{
    if (writing(event.batch))
        finishWrite(now, actions);
}

void key_memory::on(const commit_failed &event, time_point, std::vector<key_action> &actions)
{
    if (writing(event.batch))
        dropWrite(actions);
}

void key_memory::on(const commit_unknown &event, time_point now, std::vector<key_action> &actions)
{
    if (!writing(event.batch) || m_write->readAt)
        return;
    m_write->readAt = now;
    settle(now, actions);
}

void key_memory::on(const batch_read &event, time_point now, std::vector<key_action> &actions)
{
    if (!writing(event.batch) || !m_write->readAt)
        return;
    if (event.present)
        finishWrite(now, actions);
    else
        dropWrite(actions);
}

void key_memory::on(const batch_unread &event, time_point now, std::vector<key_action> &actions)
{
    if (!writing(event.batch) || !m_write->readAt)
        return;
    m_away = true;
    m_write->readAt = now + m_limits.betweenReads;
    refuseAll(errc::StoreUnavailable, actions);
}

void key_memory::on(const keys_loaded &event, time_point, std::vector<key_action> &)
{
    if (m_phase != owner_phase::Loading)
        return;
    m_phase = owner_phase::Ready;
    for (const auto &row : event.batches) {
        keep(row);
        // Whether a former owner sent these requests cannot be known, so they count as sent.
        for (const auto &stored : row.keys) {
            auto &state = m_keys[stored.key];
            state.phase = key_phase::Released;
            state.keptUntil = std::max(state.keptUntil, stored.keptUntil);
        }
    }
}

void key_memory::on(const key_answered &event, time_point, std::vector<key_action> &)
{
    const auto found = m_keys.find(event.key);
    if (found == m_keys.end() || found->second.phase != key_phase::Released)
        return;
    found->second.phase = key_phase::Answered;
    found->second.status = event.status;
}

void key_memory::on(const ownership_lost &, time_point, std::vector<key_action> &actions)
{
    m_phase = owner_phase::Lost;
    refuseAll(errc::NotReady, actions);
    m_write.reset();
}

bool key_memory::writing(batch_id batch) const
{
    return m_write && m_write->row.batch == batch;
}

void key_memory::startWrite(time_point now, wall_time wallNow, std::vector<key_action> &actions)
{
    if (m_write || m_waiting.empty() || now < m_nextWrite)
        return;
    m_write.emplace();
    m_write->row.batch = m_nextBatch;
    m_nextBatch = batch_id {number(m_nextBatch) + 1};
    while (!m_waiting.empty() && m_write->row.keys.size() < m_limits.batchSize) {
        auto &state = m_keys.at(m_waiting.front());
        state.phase = key_phase::Writing;
        m_write->row.keys.push_back({m_waiting.front(), state.keptUntil});
        m_waiting.pop_front();
    }
    while (!m_rows.empty() && m_rows.begin()->first <= wallNow) {
        m_write->expired.push_back(m_rows.begin()->second);
        m_rows.erase(m_rows.begin());
    }
    m_nextWrite = now + m_limits.betweenWrites;
    actions.emplace_back(commit_keys {m_write->row, m_write->expired});
}

void key_memory::settle(time_point now, std::vector<key_action> &actions)
{
    if (!m_write || !m_write->readAt || *m_write->readAt > now)
        return;
    m_write->readAt = now + m_limits.betweenReads;
    actions.emplace_back(read_batch {m_write->row.batch});
}

void key_memory::finishWrite(time_point now, std::vector<key_action> &actions)
{
    const auto row = std::move(m_write->row);
    m_write.reset();
    m_away = false;
    keep(row);
    for (const auto &stored : row.keys) {
        auto &state = m_keys.at(stored.key);
        state.phase = key_phase::Stored;
        if (!state.request)
            continue;
        m_deadlines.erase({state.deadline, stored.key});
        release(state, now, actions);
    }
}

void key_memory::dropWrite(std::vector<key_action> &actions)
{
    const auto write = std::move(*m_write);
    m_write.reset();
    m_away = false;
    for (const auto &stored : write.row.keys) {
        auto &state = m_keys.at(stored.key);
        m_deadlines.erase({state.deadline, stored.key});
        refuse(state, errc::StoreUnavailable, actions);
        m_keys.erase(stored.key);
    }
    // A write whose reply was lost may still take effect. That is safe, since nothing of it was
    // released; its row is deleted with the others.
    noteRow(write.row);
    // The deletions did not happen either: the next write does them.
    for (const auto batch : write.expired)
        m_rows.emplace(wall_time {}, batch);
}

void key_memory::release(key_state &state, time_point now, std::vector<key_action> &actions)
{
    if (state.deadline <= now)
        return refuse(state, errc::DeadlinePassed, actions);
    PLANTAINGAP_INVARIANT(m_phase == owner_phase::Ready, "key released without its group");
    PLANTAINGAP_INVARIANT(state.phase == key_phase::Stored, "key released before it was stored");
    if (!mutated("keys.forget_released"))
        state.phase = key_phase::Released;
    actions.emplace_back(release_request {*std::exchange(state.request, std::nullopt)});
}

void key_memory::refuse(key_state &state, errc code, std::vector<key_action> &actions)
{
    if (const auto request = std::exchange(state.request, std::nullopt))
        actions.emplace_back(refuse_key {*request, code, std::nullopt});
}

void key_memory::refuseAll(errc code, std::vector<key_action> &actions)
{
    for (const auto &[deadline, key] : m_deadlines)
        refuse(m_keys.at(key), code, actions);
    m_deadlines.clear();
    // What is not being written is forgotten; what is, may be in the table.
    for (const auto &key : m_waiting)
        m_keys.erase(key);
    m_waiting.clear();
}

void key_memory::refuseLate(time_point now, std::vector<key_action> &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        refuse(m_keys.at(m_deadlines.begin()->second), errc::DeadlinePassed, actions);
        m_deadlines.erase(m_deadlines.begin());
    }
}

void key_memory::keep(const stored_batch &row)
{
    for (const auto &stored : row.keys)
        m_expiry.emplace(stored.keptUntil, stored.key);
    noteRow(row);
}

void key_memory::noteRow(const stored_batch &row)
{
    wall_time last {};
    for (const auto &stored : row.keys)
        last = std::max(last, stored.keptUntil);
    m_rows.emplace(last, row.batch);
}

void key_memory::forgetExpired(wall_time wallNow)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= wallNow) {
        // A key that was used again after it expired may stand in two rows.
        const auto found = m_keys.find(m_expiry.begin()->second);
        if (found != m_keys.end() && found->second.keptUntil <= wallNow)
            m_keys.erase(found);
        m_expiry.erase(m_expiry.begin());
    }
}

} // namespace plantaingap::decision
