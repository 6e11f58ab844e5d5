#include "decision/request_state.h"

namespace plantaingap::decision {

request_state *request_table::add(const request_arrived &arrival)
{
    const auto [entry, isNew] = m_requests.try_emplace(arrival.request);
    if (!isNew)
        return nullptr;
    entry->second.arrival = arrival;
    return &entry->second;
}

request_state *request_table::find(request_id request)
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? nullptr : &it->second;
}

void request_table::erase(request_state &request)
{
    setTimer(request, std::nullopt);
    // Copy the key, since erase() destroys the entry that contains it.
    const auto key = request.arrival.request;
    m_requests.erase(key);
}

void request_table::setTimer(request_state &request, std::optional<time_point> expiry)
{
    if (request.timer)
        m_timers.erase({*request.timer, request.arrival.request});
    request.timer = expiry;
    if (expiry)
        m_timers.emplace(*expiry, request.arrival.request);
}

std::optional<time_point> request_table::nextTimer() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

request_state *request_table::popExpired(time_point now)
{
    if (m_timers.empty() || m_timers.begin()->first > now)
        return nullptr;
    auto *request = find(m_timers.begin()->second);
    setTimer(*request, std::nullopt);
    return request;
}

} // namespace plantaingap::decision
