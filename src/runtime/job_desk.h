#ifndef PLANTAINGAP_RUNTIME_JOB_DESK_H
#define PLANTAINGAP_RUNTIME_JOB_DESK_H

#include "platform/platform_client.h"
#include "runtime/job_row.h"

#include <map>
#include <plantaingap/epoch.h>
#include <set>

namespace plantaingap::runtime {

// Keys of the table's rows.
std::string jobRowKey(std::string_view group, std::string_view name);
std::string jobNameKey(std::string_view name);

// The job rows of one group, for its owner: reads them, inserts and cancels jobs durably, and
// records their progress in grouped commits. It schedules nothing.
//
// A job is inserted together with a check of the group's row: the transaction fails when another
// owner was recorded meanwhile, so a job is never accepted behind the back of an owner who has
// already read its rows. The same transaction inserts the row job-name/NAME, which says what group
// the job is in, so that a name is used once in the whole cell whichever instance is asked.
class job_desk
{
public:
    job_desk(platform::platform_client &platform, std::string group, std::string groupKey);

    // Forgets all rows; a new tenure begins with load().
    void begin(const epoch &authority);

    // Reads all rows. StoreUnavailable when the table does not answer.
    boost::asio::awaitable<result<std::vector<job_row>>> load(time_point deadline);

    // Ok: durably accepted, now or before. VersionConflict: the name is taken by another job.
    // NotReady: the group has another owner. StoreUnavailable: certainly not accepted.
    // OutcomeUnknown: it could not be settled by the deadline; submitting the same job again
    // settles it.
    boost::asio::awaitable<errc> insert(job_spec spec, time_point deadline);

    // Ok: the cancellation is durable. NotFound, StoreUnavailable or OutcomeUnknown else.
    boost::asio::awaitable<errc> requestCancel(std::string name, time_point deadline);

    // Notes progress; it is durable once flush() has written it.
    void taskFinished(const task_id &task);
    void ended(job_id job, job_state state);

    // Writes what was noted, in one commit. Gives the finished tasks that are durable now.
    boost::asio::awaitable<std::vector<task_id>> flush(time_point deadline);

    bool dirty() const { return !m_dirty.empty(); }
    const job_row *find(std::string_view name) const;
    const job_row *find(job_id job) const;
    const std::map<std::string, job_row, std::less<>> &rows() const { return m_rows; }

private:
    struct pending_progress
    {
        std::vector<task_id> finished;
    };

    std::string keyOf(std::string_view name) const;
    boost::asio::awaitable<std::optional<errc>> settleInsert(const job_spec &spec,
                                                             time_point deadline);
    boost::asio::awaitable<std::optional<errc>> settleElsewhere(const job_spec &spec,
                                                                time_point deadline);
    boost::asio::awaitable<errc> writeRow(std::string name, job_row row, time_point deadline);
    boost::asio::awaitable<void> mergeStored(std::string name, time_point deadline);
    void remember(const platform::table_row &stored, job_row row);

    platform::platform_client &m_platform;
    std::string m_group;
    std::string m_groupKey;
    epoch m_authority;
    std::map<std::string, job_row, std::less<>> m_rows;
    std::map<std::string, std::uint64_t, std::less<>> m_versions;
    std::map<job_id, std::string> m_names;
    std::map<std::string, pending_progress> m_dirty;
};

} // namespace plantaingap::runtime

#endif
