#ifndef PLANTAINGAP_IDS_H
#define PLANTAINGAP_IDS_H

#include <compare>
#include <cstdint>
#include <type_traits>

// Strongly typed integer ids. The decision package uses these dense numbers only. Other packages
// map external names to ids once, when a name first occurs.
namespace plantaingap {

enum class worker_id : std::uint32_t {};
enum class rack_id : std::uint32_t {};
enum class data_centre_id : std::uint32_t {};
enum class region_id : std::uint32_t {};
enum class group_id : std::uint32_t {};
enum class instance_id : std::uint32_t {};
enum class team_id : std::uint32_t {};
enum class service_id : std::uint32_t {};
// Kind of a request or task. Request sizes are estimated per kind.
enum class kind_id : std::uint32_t {};
enum class request_id : std::uint64_t {};
enum class job_id : std::uint64_t {};

// One attempt of a task of a job. The attempt number increases with each start, which
// distinguishes a late report of an earlier attempt from a current one.
struct task_id
{
    job_id job {};
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const task_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// Returns the underlying integer of an id, for indexing and printing.
template<class Id>
constexpr auto number(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

} // namespace plantaingap

#endif
