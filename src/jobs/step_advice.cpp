#include "jobs/step_advice.h"

#include <algorithm>
#include <utility>

namespace plantaingap::jobs {

const ticket *step_advice::ticketFor(worker_ref worker) const
{
    const auto entry = find(worker);
    return entry < firstAllowedEntry ? nullptr : &m_allowed[entry - firstAllowedEntry].held;
}

ticket *step_advice::ticketFor(worker_ref worker)
{
    return const_cast<ticket *>(std::as_const(*this).ticketFor(worker));
}

// The worker that had the slot before has been removed, so its answer is not needed any more.
step_advice::answer &step_advice::answerFor(worker_ref worker)
{
    if (worker.slot >= m_answers.size())
        m_answers.resize(worker.slot + 1);
    auto &found = m_answers[worker.slot];
    if (found.number != worker.number) {
        forget({worker.slot, found.number});
        found = {worker.number, unknownEntry};
    }
    return found;
}

void step_advice::allow(worker_ref worker, ticket held)
{
    m_lastExpiry = std::max(m_lastExpiry, held.expires);
    auto &known = answerFor(worker);
    if (known.entry >= firstAllowedEntry) {
        m_allowed[known.entry - firstAllowedEntry].held = std::move(held);
        return;
    }
    m_rejected -= known.entry == rejectedEntry ? 1 : 0;
    known.entry = static_cast<std::uint32_t>(m_allowed.size()) + firstAllowedEntry;
    m_allowed.push_back({worker, std::move(held)});
}

void step_advice::reject(worker_ref worker)
{
    auto &known = answerFor(worker);
    if (known.entry != unknownEntry)
        return;
    known.entry = rejectedEntry;
    ++m_rejected;
}

void step_advice::forget(worker_ref worker)
{
    const auto entry = find(worker);
    if (entry == unknownEntry)
        return;
    m_answers[worker.slot].entry = unknownEntry;
    if (entry == rejectedEntry) {
        --m_rejected;
        return;
    }
    const auto position = entry - firstAllowedEntry;
    if (position + 1 < m_allowed.size()) {
        m_allowed[position] = std::move(m_allowed.back());
        m_answers[m_allowed[position].worker.slot].entry = entry;
    }
    m_allowed.pop_back();
}

} // namespace plantaingap::jobs
