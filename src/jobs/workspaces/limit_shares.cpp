#include "jobs/workspaces/limit_shares.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <tuple>

namespace plantaingap::jobs {

namespace json = boost::json;

namespace {

constexpr std::array<std::int64_t resources::*, 3> dimensions {
    &resources::milliCores, &resources::memoryMib, &resources::accelerators};

// Less than this part of a ceiling left unused is taken for the gap that no task fits.
constexpr std::int64_t usedUpDivisor = 8;
// Counts of requests; a partition sends four in a second.
// With room that is too small for this many requests, the partition gets a turn.
constexpr std::uint32_t stuckRequestsForTurn = 4;
// A partition that had a turn gets the next one no earlier, so that small tasks run in between.
constexpr std::uint32_t requestsBetweenTurns = 16;
// The turn ends this many requests after the partition got all it wants: enough for a placement
// pass and for the store's write of the start.
constexpr std::uint32_t satisfiedRequestsInTurn = 8;
// The longest turn, within which the runs of the others must end to make room. It is doubled after
// each turn that was too short, so that longer runs do not keep a gang waiting for ever.
constexpr std::uint32_t shortestTurnLimit = 120;
constexpr std::uint32_t longestTurnLimit = 1 << 14;
// A holder that sent none while each of the others sent this many has no leader.
constexpr std::uint32_t silentRequests = 20;

// Amounts of resources that the limit does not limit are not divided.
resources limitedPart(resources amount, const resources &limit)
{
    for (const auto dimension : dimensions) {
        if (limit.*dimension == 0)
            amount.*dimension = 0;
    }
    return amount;
}

resources least(const resources &left, const resources &right)
{
    resources result;
    for (const auto dimension : dimensions)
        result.*dimension = std::min(left.*dimension, right.*dimension);
    return result;
}

// Whether `after` limits a resource that `before` did not limit.
bool limitsMore(const resources &before, const resources &after)
{
    return std::ranges::any_of(dimensions, [&](const auto dimension) {
        return before.*dimension == 0 && after.*dimension != 0;
    });
}

bool isLower(const resources &before, const resources &after)
{
    return limitsMore(before, after) || std::ranges::any_of(dimensions, [&](const auto dimension) {
               return after.*dimension != 0 && after.*dimension < before.*dimension;
           });
}

// Enough of the ceiling is unused for each resource that is wanted.
bool hasRoom(const resources &used, const resources &wanted, const resources &ceiling)
{
    return std::ranges::all_of(dimensions, [&](const auto dimension) {
        const auto unused = ceiling.*dimension - used.*dimension;
        return wanted.*dimension <= used.*dimension || unused * usedUpDivisor >= ceiling.*dimension;
    });
}

// Divides `amount` so that each gets what it wants or at least as much as any other.
void divideEvenly(std::vector<resources> &parts, const std::vector<resources> &wanted,
                  std::vector<std::size_t> among, std::int64_t amount,
                  std::int64_t resources::*dimension)
{
    std::ranges::stable_sort(among, {},
                             [&](std::size_t index) { return wanted[index].*dimension; });
    auto remaining = std::max<std::int64_t>(amount, 0);
    for (std::size_t i = 0; i < among.size(); ++i) {
        const auto part = std::min(wanted[among[i]].*dimension,
                                   remaining / static_cast<std::int64_t>(among.size() - i));
        parts[among[i]].*dimension = part;
        remaining -= part;
    }
}

resources decodeAmount(const json::value &value)
{
    const auto &amounts = value.as_array();
    return {amounts.at(0).to_number<std::int64_t>(), amounts.at(1).to_number<std::int64_t>(),
            amounts.at(2).to_number<std::int64_t>()};
}

} // namespace

limit_grantor::limit_grantor(std::uint32_t partitions)
    : m_partitions(partitions)
{ }

bool limit_grantor::load(std::optional<std::string_view> row)
{
    m_loaded = false;
    std::vector<partition_state> loaded(m_partitions.size());
    try {
        if (row) {
            const auto value = json::parse(*row);
            const auto &partitions = value.as_object().at("partitions").as_array();
            if (partitions.size() != loaded.size())
                return false;
            for (std::size_t i = 0; i < loaded.size(); ++i) {
                const auto &stored = partitions[i].as_object();
                loaded[i].term = stored.at("term").to_number<std::uint64_t>();
                loaded[i].number = stored.at("number").to_number<std::uint64_t>();
                for (const auto &[name, ceiling] : stored.at("ceilings").as_object()) {
                    // Until the partition reports what it wants, it keeps what it has.
                    loaded[i].shares[std::string(name)].ceiling = decodeAmount(ceiling);
                }
            }
        }
    } catch (const std::exception &) {
        return false;
    }
    m_partitions = std::move(loaded);
    m_loaded = true;
    return true;
}

std::string limit_grantor::encode() const
{
    json::array partitions;
    for (const auto &partition : m_partitions) {
        json::object ceilings;
        for (const auto &[name, entry] : partition.shares) {
            ceilings[name] = json::array {entry.ceiling.milliCores, entry.ceiling.memoryMib,
                                          entry.ceiling.accelerators};
        }
        partitions.push_back(json::object {{"term", partition.term},
                                           {"number", partition.number},
                                           {"ceilings", std::move(ceilings)}});
    }
    return json::serialize(json::object {{"partitions", std::move(partitions)}});
}

void limit_grantor::configure(std::uint64_t version, const workspace_limits &limits)
{
    bool changed = false;
    for (auto &partition : m_partitions) {
        // Without a limit a partition may use any amount, so it must report before others may use
        // the limit that a later configuration sets.
        changed = std::erase_if(partition.shares,
                                [&](const auto &named) {
                                    const auto &name = named.first;
                                    const auto after = limits.find(name);
                                    if (after == limits.end())
                                        return true;
                                    const auto before = m_limits.find(name);
                                    return before != m_limits.end()
                                           && limitsMore(before->second, after->second);
                                })
                      > 0
                  || changed;
    }
    std::erase_if(m_turns, [&](const auto &named) { return !limits.contains(named.first); });
    m_version = version;
    m_limits = limits;
    m_revision += changed ? 1 : 0;
}

limit_grantor::share *limit_grantor::find(std::uint32_t partition, const std::string &workspace)
{
    auto &shares = m_partitions[partition].shares;
    const auto found = shares.find(workspace);
    return found == shares.end() ? nullptr : &found->second;
}

const limit_grantor::share *limit_grantor::find(std::uint32_t partition,
                                                const std::string &workspace) const
{
    const auto &shares = m_partitions[partition].shares;
    const auto found = shares.find(workspace);
    return found == shares.end() ? nullptr : &found->second;
}

resources limit_grantor::heldByOthers(const std::string &workspace, const resources &limit,
                                      std::uint32_t partition) const
{
    resources sum;
    for (std::uint32_t index = 0; index < m_partitions.size(); ++index) {
        const auto *entry = find(index, workspace);
        if (index != partition)
            sum += entry ? entry->ceiling : limit;
    }
    return sum;
}

resources limit_grantor::granted(const std::string &workspace) const
{
    const auto limit = m_limits.find(workspace);
    return limit == m_limits.end() ? resources {}
                                   : heldByOthers(workspace, limit->second,
                                                  static_cast<std::uint32_t>(m_partitions.size()));
}

// What each partition should get: an equal part at least, unless it wants less, and what is left
// over in equal parts ahead of demand. `first` gets all it wants.
std::vector<resources> limit_grantor::targets(const std::string &workspace, const resources &limit,
                                              std::optional<std::uint32_t> first) const
{
    const auto count = m_partitions.size();
    std::vector<resources> wanted(count);
    std::vector<std::size_t> others;
    for (std::uint32_t index = 0; index < count; ++index) {
        if (const auto *entry = find(index, workspace))
            wanted[index] = least(entry->wanted, limit);
        if (index != first)
            others.push_back(index);
    }
    std::vector<resources> parts(count);
    if (first) {
        // A task that is larger than the limit needs the whole limit to start.
        const auto &wish = wanted[*first];
        const bool whole = std::ranges::any_of(dimensions, [&](const auto dimension) {
            return limit.*dimension > 0 && wish.*dimension == limit.*dimension;
        });
        parts[*first] = whole ? limit : wish;
    }
    for (const auto dimension : dimensions) {
        const auto room = limit.*dimension - (first ? parts[*first].*dimension : 0);
        divideEvenly(parts, wanted, others, room, dimension);
        auto left = limit.*dimension;
        for (const auto &part : parts)
            left -= part.*dimension;
        for (auto &part : parts)
            part.*dimension += std::max<std::int64_t>(left, 0) / static_cast<std::int64_t>(count);
    }
    return parts;
}

// The partition has its part of the limit and leaves room in it unused, although it wants more:
// what waits is larger than that room.
bool limit_grantor::isStuck(const std::string &workspace, const resources &limit,
                            std::uint32_t partition) const
{
    const auto &entry = *find(partition, workspace);
    return !entry.wanted.fitsIn(entry.ceiling) && hasRoom(entry.used, entry.wanted, entry.ceiling)
           && targets(workspace, limit, std::nullopt)[partition].fitsIn(entry.ceiling);
}

void limit_grantor::endTurn(const std::string &workspace, turn &current, turn_result result)
{
    if (auto *holder = find(*current.holder, workspace)) {
        holder->sinceTurn = 0;
        holder->longestTurn = result == turn_result::Served
                                  ? shortestTurnLimit
                                  : std::min(holder->longestTurn * 2, longestTurnLimit);
    }
    for (std::uint32_t index = 0; index < m_partitions.size(); ++index) {
        if (auto *entry = find(index, workspace))
            entry->stuckRequests = 0;
    }
    current = {std::nullopt, *current.holder};
}

void limit_grantor::chooseTurn(const std::string &workspace, turn &current)
{
    const auto count = static_cast<std::uint32_t>(m_partitions.size());
    for (std::uint32_t i = 1; i <= count; ++i) {
        const auto index = (current.lastHolder + i) % count;
        const auto *entry = find(index, workspace);
        if (entry && entry->stuckRequests >= stuckRequestsForTurn
            && entry->sinceTurn >= requestsBetweenTurns) {
            current.holder = index;
            return;
        }
    }
}

void limit_grantor::updateTurn(const std::string &workspace, const resources &limit,
                               std::uint32_t partition)
{
    auto &current = m_turns[workspace];
    auto &entry = *find(partition, workspace);
    if (entry.longestTurn == 0) {
        entry.longestTurn = shortestTurnLimit;
        entry.sinceTurn = requestsBetweenTurns;
    }
    ++entry.sinceTurn;
    entry.stuckRequests = isStuck(workspace, limit, partition) ? entry.stuckRequests + 1 : 0;
    if (current.holder == partition) {
        ++current.requests;
        current.othersRequests = 0;
        const auto wish = targets(workspace, limit, partition)[partition];
        current.satisfiedRequests += wish.fitsIn(entry.ceiling) ? 1 : 0;
        if (!hasRoom(entry.used, entry.wanted, entry.ceiling) || entry.wanted.fitsIn(entry.used)
            || current.satisfiedRequests >= satisfiedRequestsInTurn)
            endTurn(workspace, current, turn_result::Served);
        else if (current.requests >= entry.longestTurn)
            endTurn(workspace, current, turn_result::Unserved);
    } else if (current.holder && ++current.othersRequests >= silentRequests * m_partitions.size()) {
        endTurn(workspace, current, turn_result::Served);
    }
    if (!current.holder)
        chooseTurn(workspace, current);
}

std::optional<limit_grantor::answer> limit_grantor::handle(const limit_request &request)
{
    if (!m_loaded || request.partition >= m_partitions.size() || request.configuration != m_version)
        return std::nullopt;
    auto &sender = m_partitions[request.partition];
    if (std::tie(request.term, request.number) <= std::tie(sender.term, sender.number))
        return std::nullopt;
    // A request of the former leader that arrives late must not lower the ceiling by which its
    // successor works, also not at a later leader of partition 0.
    if (request.term != sender.term)
        sender.termRevision = ++m_revision;
    sender.term = request.term;
    sender.number = request.number;
    answer result;
    result.reply.answered = true;
    result.reply.number = request.number;
    bool raised = false;
    for (const auto &use : request.uses) {
        const auto named = m_limits.find(use.workspace);
        if (named == m_limits.end())
            continue;
        const auto &limit = named->second;
        const auto reported = limitedPart(use.ceiling, limit);
        auto &entry = sender.shares[use.workspace];
        entry.ceiling = reported;
        entry.used = limitedPart(use.used, limit);
        entry.wanted = limitedPart(use.wanted, limit);
        updateTurn(use.workspace, limit, request.partition);
        const auto holder = m_turns[use.workspace].holder;
        const auto target = targets(use.workspace, limit, holder)[request.partition];
        const auto room = limit - heldByOthers(use.workspace, limit, request.partition);
        const auto told = least(target, greatest(room, {}));
        entry.ceiling = greatest(told, reported);
        raised = raised || !told.fitsIn(reported);
        result.reply.ceilings[use.workspace] = told;
    }
    // A former leader cannot store, so it cannot raise a ceiling that its successor may have
    // lowered. The number is stored with the ceiling: the request may come again later.
    result.storedRevision = raised ? ++m_revision : sender.termRevision;
    return result;
}

limit_holder::limit_holder(std::uint32_t partition, std::uint64_t term)
    : m_partition(partition)
    , m_term(term)
{ }

void limit_holder::configure(std::uint64_t version, const workspace_limits &limits)
{
    // In a version in between the limit may have been higher, and other partitions may use that.
    const bool missedVersions = version > m_version + 1;
    std::erase_if(m_ceilings, [&](const auto &named) {
        const auto after = limits.find(named.first);
        return missedVersions || after == limits.end()
               || isLower(m_limits.at(named.first), after->second);
    });
    // A reply to a request of the earlier configuration may grant too much.
    m_awaitsReply = m_awaitsReply && version == m_version;
    m_version = version;
    m_limits = limits;
}

limit_request limit_holder::nextRequest(std::vector<limit_use> uses)
{
    std::erase_if(uses, [this](const auto &use) { return !m_limits.contains(use.workspace); });
    for (auto &use : uses)
        use.ceiling = greatest(ceiling(use.workspace), use.used);
    m_awaitsReply = true;
    return {m_partition, m_term, ++m_number, m_version, std::move(uses)};
}

bool limit_holder::accept(const limit_reply &reply)
{
    if (!reply.answered || !m_awaitsReply || reply.number != m_number)
        return false;
    m_awaitsReply = false;
    for (const auto &[workspace, ceiling] : reply.ceilings) {
        if (m_limits.contains(workspace))
            m_ceilings[workspace] = ceiling;
    }
    return true;
}

resources limit_holder::ceiling(const std::string &workspace) const
{
    const auto found = m_ceilings.find(workspace);
    return found == m_ceilings.end() ? resources {} : found->second;
}

} // namespace plantaingap::jobs
