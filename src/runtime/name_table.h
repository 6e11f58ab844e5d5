#ifndef PLANTAINGAP_RUNTIME_NAME_TABLE_H
#define PLANTAINGAP_RUNTIME_NAME_TABLE_H

#include <map>
#include <optional>
#include <plantaingap/ids.h>
#include <string>
#include <string_view>
#include <vector>

namespace plantaingap::runtime {

// Gives each name a dense number, counted from 1 in the order in which names are first seen. The
// number 0 stands for all names beyond the limit together.
template<class Id>
class name_table
{
public:
    explicit name_table(std::size_t limit)
        : m_limit(limit)
    { }

    Id idOf(std::string_view name)
    {
        const auto found = m_ids.find(name);
        if (found != m_ids.end())
            return found->second;
        if (m_names.size() >= m_limit)
            return Id {};
        m_names.emplace_back(name);
        const auto id = static_cast<Id>(m_names.size());
        m_ids.emplace(name, id);
        return id;
    }

    std::optional<Id> find(std::string_view name) const
    {
        const auto found = m_ids.find(name);
        if (found == m_ids.end())
            return std::nullopt;
        return found->second;
    }

    // The name of a number that idOf() gave; empty for 0.
    std::string_view nameOf(Id id) const
    {
        return number(id) == 0 ? std::string_view() : m_names.at(number(id) - 1);
    }

private:
    std::size_t m_limit;
    std::map<std::string, Id, std::less<>> m_ids;
    std::vector<std::string> m_names;
};

} // namespace plantaingap::runtime

#endif
