#ifndef PLANTAINGAP_DECISION_KIND_CALLER_H
#define PLANTAINGAP_DECISION_KIND_CALLER_H

#include <cstddef>
#include <functional>
#include <plantaingap/request_scheduler.h>

namespace plantaingap::decision {

// Key of the learned durations: one caller's requests of one kind.
struct kind_caller
{
    kind_id kind {};
    caller_id caller {};

    bool operator==(const kind_caller &) const = default;
};

struct kind_caller_hash
{
    std::size_t operator()(const kind_caller &key) const
    {
        constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
        return std::hash<std::uint64_t> {}((number(key.caller) * multiplier) ^ number(key.kind));
    }
};

} // namespace plantaingap::decision

#endif
