#ifndef PLANTAINGAP_JOBS_WORKSPACES_LIMIT_SHARES_H
#define PLANTAINGAP_JOBS_WORKSPACES_LIMIT_SHARES_H

#include <cstdint>
#include <map>
#include <optional>
#include <plantaingap/resources.h>
#include <string>
#include <string_view>
#include <vector>

// Division of the workspaces' limits among the partitions of a cell. The sum of what all partitions
// may use of a workspace's limit never exceeds it, whichever messages or leaders are lost. Nothing
// depends on time. See docs/design/LIMITS-OF-PARTITIONS.md.
namespace plantaingap::jobs {

// Limits by workspace, of limited workspaces only; 0 means no limit of that resource.
using workspace_limits = std::map<std::string, resources>;

// What a partition uses of a workspace's limit.
struct limit_use
{
    std::string workspace;
    resources used;
    // Used, and demanded by tasks that wait and have room on workers.
    resources wanted;
    // The sender will not exceed this unless a reply to this request or a later one allows it.
    resources ceiling;
};

struct limit_request
{
    std::uint32_t partition = 0;
    // Term of the sender, and the number of the request in it.
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    // Version of the configuration.
    std::uint64_t configuration = 0;
    std::vector<limit_use> uses;
};

struct limit_reply
{
    // False if nothing was granted.
    bool answered = false;
    // The request that is answered.
    std::uint64_t number = 0;
    std::map<std::string, resources> ceilings;
};

// At the leader of partition 0. Designed for up to 64 partitions that each want more than the limit
// holds, with demands from small tasks to gangs as large as the limit.
class limit_grantor
{
public:
    explicit limit_grantor(std::uint32_t partitions);

    // The row as stored before the term, none if there is none. Returns false if it is unreadable:
    // nothing is granted then, because what the partitions may use is not known.
    bool load(std::optional<std::string_view> row);
    void configure(std::uint64_t version, const workspace_limits &limits);

    struct answer
    {
        limit_reply reply;
        // The reply may be sent once this revision of the row or a later one is stored; 0: at once.
        std::uint64_t storedRevision = 0;
    };
    // None if the request is not answered: it is repeated, outdated or of another configuration.
    std::optional<answer> handle(const limit_request &request);

    // The row's value, and its revision, which grows with each change that must be stored.
    std::string encode() const;
    std::uint64_t revision() const { return m_revision; }
    // What may be used of the workspace's limit by all partitions together; the limit or more
    // while the use of a partition is unknown.
    resources granted(const std::string &workspace) const;

private:
    // Of a workspace in a partition.
    struct share
    {
        // The most that the partition may use.
        resources ceiling;
        resources used;
        resources wanted;
        // Consecutive requests with room that is too small for what waits.
        std::uint32_t stuckRequests = 0;
        // Requests since the end of the partition's last turn.
        std::uint32_t sinceTurn = 0;
        std::uint32_t longestTurn = 0;
    };
    struct partition_state
    {
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        // Of the row that has the term; 0 if it was loaded.
        std::uint64_t termRevision = 0;
        // Without an entry the partition has not reported; it may use any amount.
        std::map<std::string, share> shares;
    };
    // The partition whose wish goes before those of the others.
    struct turn
    {
        std::optional<std::uint32_t> holder;
        std::uint32_t lastHolder = 0;
        // Requests of the holder in its turn, those that had all it wants, and requests of others
        // since its last one.
        std::uint32_t requests = 0;
        std::uint32_t satisfiedRequests = 0;
        std::uint32_t othersRequests = 0;
    };
    enum class turn_result : std::uint8_t { Served, Unserved };

    share *find(std::uint32_t partition, const std::string &workspace);
    const share *find(std::uint32_t partition, const std::string &workspace) const;
    std::vector<resources> targets(const std::string &workspace, const resources &limit,
                                   std::optional<std::uint32_t> first) const;
    resources heldByOthers(const std::string &workspace, const resources &limit,
                           std::uint32_t partition) const;
    bool isStuck(const std::string &workspace, const resources &limit,
                 std::uint32_t partition) const;
    void updateTurn(const std::string &workspace, const resources &limit, std::uint32_t partition);
    void endTurn(const std::string &workspace, turn &current, turn_result result);
    void chooseTurn(const std::string &workspace, turn &current);

    std::vector<partition_state> m_partitions;
    bool m_loaded = false;
    std::uint64_t m_version = 0;
    workspace_limits m_limits;
    std::map<std::string, turn> m_turns;
    std::uint64_t m_revision = 0;
};

// At the leader of each partition, for one term.
class limit_holder
{
public:
    limit_holder(std::uint32_t partition, std::uint64_t term);

    // A lowered limit takes the ceiling, and so does a version that does not follow the last one:
    // nothing starts until it is granted anew, because the other partitions may use all of the
    // lower limit.
    void configure(std::uint64_t version, const workspace_limits &limits);
    // What the partition uses and wants of each limited workspace; `ceiling` is filled in. Replies
    // to earlier requests are ignored from now on.
    limit_request nextRequest(std::vector<limit_use> uses);
    // Returns whether the reply was taken: it answers the newest request, and the configuration has
    // not changed since.
    bool accept(const limit_reply &reply);
    // The partition may start tasks of the workspace up to this.
    resources ceiling(const std::string &workspace) const;
    const workspace_limits &limits() const { return m_limits; }

private:
    std::uint32_t m_partition;
    std::uint64_t m_term;
    std::uint64_t m_number = 0;
    bool m_awaitsReply = false;
    std::uint64_t m_version = 0;
    workspace_limits m_limits;
    std::map<std::string, resources> m_ceilings;
};

} // namespace plantaingap::jobs

#endif
