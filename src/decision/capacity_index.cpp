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
    auto &moved = m_entries[worker];
    moved.free = free;
    const auto cell = cellOf(free);
    if (moved.cell == cell)
        return;
    unlink(worker);
    moved.cell = cell;
    moved.previous = noWorker;
    moved.next = m_heads[cell];
    if (moved.next != noWorker)
        m_entries[moved.next].previous = worker;
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
    auto &left = m_entries[worker];
    if (left.cell == noWorker)
        return;
    if (left.next != noWorker)
        m_entries[left.next].previous = left.previous;
    if (left.previous != noWorker)
        m_entries[left.previous].next = left.next;
    else
        m_heads[left.cell] = left.next;
    if (m_heads[left.cell] == noWorker)
        m_filled[left.cell / levels] &= ~(1U << (left.cell % levels));
    left.cell = noWorker;
}

} // namespace plantaingap::decision
