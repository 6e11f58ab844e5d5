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
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

void request_table::erase(request_state &request)
{
    setTimer(request, std::nullopt);
    // The key is copied: the entry that holds it goes away.
    const auto key = request.arrival.request;
    m_requests.erase(key);
}

void request_table::setTimer(request_state &request, std::optional<time_point> at)
{
    if (request.timer)
        m_timers.erase({*request.timer, request.arrival.request});
    request.timer = at;
    if (at)
        m_timers.emplace(*at, request.arrival.request);
}

std::optional<time_point> request_table::nextTimer() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

request_state *request_table::takeDue(time_point now)
{
    if (m_timers.empty() || m_timers.begin()->first > now)
        return nullptr;
    auto *request = find(m_timers.begin()->second);
    setTimer(*request, std::nullopt);
    return request;
}

} // namespace plantaingap::decision
