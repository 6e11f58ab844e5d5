#ifndef PLANTAINGAP_IDS_H
#define PLANTAINGAP_IDS_H

#include <compare>
#include <cstdint>
#include <type_traits>

// Strong integer identifiers. The decision package works on these dense numbers; the names that
// people and files use are mapped to them at the edges, once, when a thing is first seen.
namespace plantaingap {

enum class worker_id : std::uint32_t {};
enum class rack_id : std::uint32_t {};
enum class data_centre_id : std::uint32_t {};
enum class region_id : std::uint32_t {};
enum class group_id : std::uint32_t {};
enum class instance_id : std::uint32_t {};
enum class team_id : std::uint32_t {};
enum class service_id : std::uint32_t {};
// The kind of a request or task: sizes are learned per kind.
enum class kind_id : std::uint32_t {};
enum class request_id : std::uint64_t {};
enum class job_id : std::uint64_t {};

// One task of a job. The attempt grows with each start, so that a late report of an earlier
// attempt is told apart from the current one.
struct task_id
{
    job_id job {};
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const task_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// The number of an identifier, for indexing and printing.
template<class Id>
constexpr auto number(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

} // namespace plantaingap

#endif
