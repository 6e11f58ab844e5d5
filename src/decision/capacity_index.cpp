#include "decision/capacity_index.h"

namespace plantaingap::decision {

capacity_index::capacity_index()
{
    m_heads.fill(noWorker);
}

void capacity_index::set(std::uint32_t worker, const resources &free)
{
    if (worker >= m_entries.size())
        m_entries.resize(worker + 1);
    auto &entry = m_entries[worker];
    entry.free = free;
    const auto cell = cellOf(free);
    if (entry.cell == cell)
        return;
    unlink(worker);
    entry.cell = cell;
    entry.previous = noWorker;
    entry.next = m_heads[cell];
    if (entry.next != noWorker)
        m_entries[entry.next].previous = worker;
    m_heads[cell] = worker;
    m_filled[cell / levels] |= 1U << (cell % levels);
}

void capacity_index::remove(std::uint32_t worker)
{
    if (worker < m_entries.size())
        unlink(worker);
}

void capacity_index::unlink(std::uint32_t worker)
{
    auto &entry = m_entries[worker];
    if (entry.cell == noWorker)
        return;
    if (entry.next != noWorker)
        m_entries[entry.next].previous = entry.previous;
    if (entry.previous != noWorker)
        m_entries[entry.previous].next = entry.next;
    else
        m_heads[entry.cell] = entry.next;
    if (m_heads[entry.cell] == noWorker)
        m_filled[entry.cell / levels] &= ~(1U << (entry.cell % levels));
    entry.cell = noWorker;
}

} // namespace plantaingap::decision
