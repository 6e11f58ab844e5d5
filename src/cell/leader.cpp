#include "cell/leader.h"

#include "support/boot_time.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using support::bootNow;
using support::log_event;
using support::log_level;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view jobsTable = "jobs";
constexpr std::string_view progressTable = "progress";
constexpr std::string_view endedTable = "ended";

// Operations of one transaction without the two on the leader's row; the platform's limit is 100.
constexpr std::size_t maxBatchEntries = 98;
// After a takeover, ended jobs are loaded into memory up to about this many.
constexpr std::size_t maxEndedJobsLoaded = 20'000;
// Changes made within this time share a write.
constexpr milliseconds groupCommitDelay {10};
// A write without a reply is hedged with another attempt after the longer of attemptInterval and
// slowStoreAttemptFactor times the last write's duration. commitTimeout applies to each attempt.
constexpr milliseconds attemptInterval {300};
constexpr int slowStoreAttemptFactor = 2;
constexpr milliseconds commitTimeout {2000};
constexpr std::uint32_t maxOpenAttempts = 7;
// Backoff after a write that the store rejected.
constexpr milliseconds rejectedWriteBackoff {120};
constexpr milliseconds readTimeout {1500};
// Of a read for which callers' requests wait: it is repeated while they do.
constexpr milliseconds awaitedReadTimeout {300};
// Backoffs between attempts to read, for the initial load and for reads that can wait.
constexpr milliseconds initialReadBackoff {30};
constexpr milliseconds maxReadBackoff {400};
// How long a worker may hold a lease renewal open while no run ends; the timeout is added to it.
constexpr milliseconds leaseRenewalHold {700};
constexpr milliseconds leaseRenewalTimeout {700};
constexpr milliseconds leaseRenewalRetryInterval {150};
// The next lease renewal waits at most this long for reported ends to be stored.
constexpr milliseconds reportedEndsStoreTimeout {400};

constexpr milliseconds configurationPollTimeout {1500};
// How often it is checked whether the watch of the configuration has fallen behind: so many times
// in the revocation bound.
constexpr int configurationChecks = 25;
// Findings of a rejected configuration that are logged.
constexpr std::size_t maxFindingsLogged = 10;
constexpr milliseconds workerPollTimeout {1000};
// Changes of workers that come closer together than this are read together.
constexpr milliseconds minWorkerPollInterval {100};
// The whole list of workers is read again at this interval, in case a change was missed.
constexpr milliseconds wholeListInterval {20'000};
// A worker that another incarnation has replaced is asked again after this time.
constexpr milliseconds replacedWorkerInterval {800};
// If a write has had no reply for this long and for three times the last write's duration, new jobs
// are rejected at once.
constexpr milliseconds storeUnavailableThreshold {400};

constexpr double thousandths = 1000;

// The smallest key that is read after `key`.
std::string nextKey(const std::string &key)
{
    return key + '\x01';
}

} // namespace

leader::leader(asio::io_context &context, cell_ports ports, leader_options options, leader_row row,
               std::uint64_t revision, time_point claimSentAt)
    : m_context(context)
    , m_ports(std::move(ports))
    , m_options(std::move(options))
    , m_storePart(m_options.partition.storePart())
    , m_row(std::move(row))
    , m_revision(revision)
    , m_scheduler(m_options.scheduler)
    , m_lastCommitSentAt(claimSentAt)
    , m_changeTimer(context)
    , m_configurationFreshness(m_options.keyRevocation)
    , m_limitHolder(m_options.partition.index, m_row.term)
    , m_limitGrantor(m_options.partition.count)
    , m_limitTimer(context)
{
    m_wallClock.addReading(m_options.instance, support::wallNow(), bootNow());
    m_scheduler.startTerm(m_row.term, bootNow());
    m_scheduler.commitSent(claimSentAt);
}

void leader::onCommitted(time_point sentAt)
{
    m_lastCommitSentAt = sentAt;
    m_renewalsPaused = false;
    m_scheduler.commitSent(sentAt);
}

row_key leader::rowKey(std::string_view table, std::string_view key) const
{
    return {std::string(table), std::string(key), m_storePart};
}

key_range leader::wholeTable(std::string_view table) const
{
    return {std::string(table), m_storePart, {}, {}};
}

awaitable<void> leader::sleepFor(milliseconds period)
{
    asio::steady_timer timer(m_context, period);
    co_await timer.async_wait(asTuple);
}

bool leader::hasRecentCommit(time_point now) const
{
    return now < m_scheduler.leasesEndBy();
}

bool leader::storeUnavailable(time_point now) const
{
    return m_pendingWriteSince
           && now - *m_pendingWriteSince
                  > std::max<duration>(storeUnavailableThreshold, m_lastWriteTime * 3);
}

void leader::resign()
{
    if (!m_resigning && ready())
        logUnfinished();
    m_resigning = true;
}

awaitable<void> leader::run()
{
    const auto self = shared_from_this();
    log_event(log_level::Info, "leader.loading")
        .field("partition", m_options.partition.index)
        .field("term", m_row.term);
    if (!co_await loadState()) {
        m_ended = true;
        co_return;
    }
    m_ready = true;
    log_event(log_level::Info, "leader.ready")
        .field("partition", m_options.partition.index)
        .field("term", m_row.term)
        .field("jobs", static_cast<std::uint64_t>(m_scheduler.load(bootNow()).jobs))
        .field("configuration", m_scheduler.configuration().version);
    const auto spawn = [&](awaitable<void> task) {
        asio::co_spawn(m_context, std::move(task), asio::detached);
    };
    spawn(watchConfiguration());
    if (m_options.keyRevocation > milliseconds(0))
        spawn(confirmConfiguration());
    spawn(watchWorkers());
    spawn(planPeriodically());
    spawn(logLoad());
    spawn(loadEndedJobs());
    if (sharesLimits())
        spawn(shareLimitsLoop());
    co_await storeChanges();
    m_ended = true;
    m_limitTimer.cancel();
    for (const auto &timer : m_ceilingWaiters)
        timer->cancel();
    for (auto &[id, timer] : m_storeWaiters)
        timer->cancel();
    for (auto &[id, timer] : m_leaseTimers)
        timer->cancel();
    for (auto &[version, timer] : m_configurationWaiters)
        timer->cancel();
    for (const auto &[id, worker] : m_scheduler.workers().all())
        m_ports.workers.closeConnections(id);
    log_event(log_level::Info, "leader.term_ended").field("term", m_row.term);
}

// Loading at the start of the term.

awaitable<bool> leader::loadTable(key_range range, std::vector<stored_row> &rows)
{
    while (true) {
        auto read = co_await m_ports.store.read(range, clock::now() + readTimeout);
        auto *page = std::get_if<row_page>(&read);
        if (!page) {
            if (!hasRecentCommit(bootNow()))
                co_return false;
            co_await sleepFor(initialReadBackoff);
            continue;
        }
        m_configurationRevision = page->revision;
        std::ranges::move(page->rows, std::back_inserter(rows));
        if (!page->hasMore || rows.empty())
            co_return true;
        range.from = nextKey(rows.back().rowKey.key);
    }
}

awaitable<bool> leader::loadState()
{
    std::vector<stored_row> definitions;
    std::vector<stored_row> progress;
    std::vector<stored_row> configurationRows;
    // Not temporaries: GCC 12 destroys aggregate temporaries of an awaited call twice.
    const auto definitionRange = wholeTable(jobsTable);
    const auto progressRange = wholeTable(progressTable);
    const key_range configurationRange {m_ports.tables.configuration.table, {}, {}, {}};
    if (!co_await loadTable(definitionRange, definitions)
        || !co_await loadTable(progressRange, progress)) {
        co_return false;
    }
    if (grantsLimits() && !co_await loadCeilings())
        co_return false;
    const auto configurationAskedAt = bootNow();
    if (!co_await loadTable(configurationRange, configurationRows))
        co_return false;
    for (const auto &row : configurationRows)
        applyConfiguration(row);
    m_configurationFreshness.confirmed(configurationAskedAt);
    restoreJobs(definitions, progress);
    co_return co_await loadWorkers();
}

// Loads the jobs that ended in earlier terms. Once all are in memory, submitted jobs no longer need
// to be checked against the store.
awaitable<void> leader::loadEndedJobs()
{
    const auto self = shared_from_this();
    auto range = wholeTable(endedTable);
    std::size_t count = 0;
    while (!m_ended && count < maxEndedJobsLoaded) {
        auto read = co_await m_ports.store.read(range, clock::now() + readTimeout);
        const auto *page = std::get_if<row_page>(&read);
        if (!page) {
            co_await sleepFor(maxReadBackoff);
            continue;
        }
        for (const auto &row : page->rows) {
            if (const auto ended = jobs::parseEnded(row.value))
                m_scheduler.recordEnded(row.rowKey.key, ended->state, bootNow(), ended->workspace);
        }
        count += page->rows.size();
        if (!page->hasMore || page->rows.empty()) {
            m_endedJobsLoaded = true;
            log_event(log_level::Info, "leader.ended_jobs_loaded")
                .field("term", m_row.term)
                .field("jobs", static_cast<std::uint64_t>(count));
            co_return;
        }
        range.from = nextKey(page->rows.back().rowKey.key);
    }
}

void leader::restoreJobs(const std::vector<stored_row> &definitions,
                         const std::vector<stored_row> &progress)
{
    std::map<std::string_view, std::string_view> progressById;
    for (const auto &row : progress)
        progressById[row.rowKey.key] = row.value;
    const auto now = bootNow();
    for (const auto &row : definitions) {
        const auto stored = progressById.extract(row.rowKey.key);
        const auto job = jobs::decodeJob(row.value);
        if (!job) {
            log_event(log_level::Error, "job.unreadable").field("job", row.rowKey.key);
            continue;
        }
        std::optional<jobs::recorded_progress> recorded;
        if (!stored.empty()) {
            const auto decoded = jobs::decodeProgress(stored.mapped());
            if (!decoded) {
                log_event(log_level::Error, "progress.unreadable").field("job", row.rowKey.key);
                continue;
            }
            recorded = *decoded;
        }
        m_scheduler.restore(*job, recorded, now, m_wallClock.estimate(now));
    }
    for (const auto &[id, value] : progressById)
        restoreRemainingRuns(id, value);
}

// A job without a definition has ended before its runs.
void leader::restoreRemainingRuns(std::string_view id, std::string_view value)
{
    const auto runs = jobs::decodeRemainingRuns(id, value);
    if (runs)
        m_scheduler.restoreRemainingRuns(std::string(id), *runs);
    else
        log_event(log_level::Error, "progress.unreadable").field("job", id);
}

// Writing to the store.

transaction leader::makeTransaction(const std::vector<jobs::job_change> &batch,
                                    ended_check check) const
{
    transaction changes;
    const auto leaderKey = rowKey("cell", "leader");
    changes.preconditions.push_back({leaderKey, m_revision});
    changes.puts.emplace_back(leaderKey, encodeLeaderRow(m_row));
    if (m_ceilingsWrite)
        changes.puts.emplace_back(rowKey("cell", "limit_ceilings"), m_ceilingsWrite->row);
    for (const auto &change : batch) {
        const auto definition = rowKey(jobsTable, change.id);
        const auto progress = rowKey(progressTable, change.id);
        const auto ended = rowKey(endedTable, change.id);
        if (change.remainingRunsGone) {
            changes.deletions.push_back(progress);
            continue;
        }
        if (change.finished) {
            changes.deletions.push_back(definition);
            if (change.progress)
                changes.puts.emplace_back(progress, *change.progress);
            else
                changes.deletions.push_back(progress);
            changes.puts.emplace_back(
                ended, jobs::encodeEnded({*change.finished, m_scheduler.workspaceOf(change.id)}));
            continue;
        }
        if (change.definition) {
            if (check == ended_check::InStore)
                changes.preconditions.push_back({ended, 0});
            changes.puts.emplace_back(definition, *change.definition);
        }
        if (change.progress)
            changes.puts.emplace_back(progress, *change.progress);
    }
    return changes;
}

bool leader::resolveConflicts(const std::vector<stored_row> &conflicts,
                              std::vector<jobs::job_change> &batch, bool &applied)
{
    for (const auto &row : conflicts) {
        if (row.rowKey.table == endedTable) {
            if (row.revision == 0 || row.value.empty())
                continue;
            const auto state = jobs::parseEnded(row.value).value_or(jobs::ended_record {}).state;
            std::erase_if(batch,
                          [&row](const auto &change) { return change.id == row.rowKey.key; });
            m_scheduler.recordAlreadyEnded(row.rowKey.key, state, bootNow());
            wakeWaiters(row.rowKey.key);
            continue;
        }
        if (row.revision == m_revision)
            continue;
        const auto storedLeader = decodeLeaderRow(row.value);
        if (!storedLeader || storedLeader->holder != m_row.holder
            || storedLeader->term != m_row.term)
            return false;
        if (storedLeader->sequence != m_row.sequence)
            return false;
        // The row holds this very write: it was applied and only its reply was lost.
        applied = true;
        m_revision = row.revision;
    }
    return true;
}

void leader::onBatchStored(const std::vector<jobs::job_change> &batch)
{
    const duty_times::scope timed(m_duties, leader_duty::StoreWrites);
    for (auto &order : m_scheduler.onBatchStored(batch, bootNow())) {
        // The next leader places the task again; a start order of this term would conflict with it.
        if (m_row.resigned)
            break;
        asio::co_spawn(m_context, sendStart(std::move(order)), asio::detached);
    }
    for (const auto &change : batch) {
        wakeWaiters(change.id);
        if (change.finished) {
            log_event(log_level::Info, "job.ended")
                .field("job", change.id)
                .field("state", jobs::stateName(*change.finished));
        }
        for (const auto &effect : change.effects) {
            const auto timer = m_leaseTimers.find(effect.worker);
            if (timer != m_leaseTimers.end() && m_scheduler.workers().find(effect.worker))
                timer->second->cancel();
        }
    }
    if (!batch.empty())
        schedulePlan();
}

// The attempts at one write. While a write has no reply, further attempts are sent over new
// connections: the request may have been lost, or an unresponsive store may have recovered. The
// precondition on the leader's row lets at most one attempt be applied.
struct leader::hedged_write
{
    explicit hedged_write(asio::io_context &context)
        : replied(context)
    { }

    // Cancelled when a reply arrives.
    asio::steady_timer replied;
    std::optional<outcome<transaction_result>> reply;
    // When the attempt that got the reply was sent.
    time_point repliedAttemptSentAt {};
    std::uint32_t openAttempts = 0;
    bool rejectionLogged = false;
};

awaitable<void> leader::attemptWrite(std::shared_ptr<hedged_write> write, transaction changes)
{
    const auto self = shared_from_this();
    const auto sentAt = bootNow();
    ++m_counters["store_writes"];
    ++write->openAttempts;
    auto result = co_await m_ports.store.commit(std::move(changes), clock::now() + commitTimeout);
    --write->openAttempts;
    const auto *failure = std::get_if<call_failure>(&result);
    // An attempt without a reply leaves the write to the other attempts.
    if (write->reply || (failure && *failure == call_failure::Unknown))
        co_return;
    write->reply = std::move(result);
    write->repliedAttemptSentAt = sentAt;
    write->replied.cancel();
}

void leader::recordStoreFailure(bool refused)
{
    ++m_counters["store_failures"];
    if (!m_storeFailing)
        log_event(log_level::Warning, "store.unavailable").field("refused", refused ? 1 : 0);
    m_storeFailing = true;
}

void leader::recordRejectedWrite(hedged_write &write, const transaction &changes)
{
    ++m_counters["store_writes_rejected"];
    if (std::exchange(write.rejectionLogged, true))
        return;
    const auto valueBytes = [](const auto &put) { return put.second.size(); };
    const auto &[row, value] = *std::ranges::max_element(changes.puts, {}, valueBytes);
    log_event(log_level::Error, "store.write_rejected")
        .field("partition", m_options.partition.index)
        .field("term", m_row.term)
        .field("operations", static_cast<std::uint64_t>(changes.operationCount()))
        .field("largest_row", row.table + "/" + row.key)
        .field("largest_row_bytes", static_cast<std::uint64_t>(value.size()));
}

// Sends another attempt and returns the first reply to any open attempt. Returns nullopt if the
// store rejects the write or sends no reply until the next attempt is due.
awaitable<std::optional<transaction_result>>
leader::hedgedWrite(std::shared_ptr<hedged_write> write, const transaction &changes)
{
    const auto interval =
        std::max<duration>(attemptInterval, m_lastWriteTime * slowStoreAttemptFactor);
    if (write->openAttempts < maxOpenAttempts)
        asio::co_spawn(m_context, attemptWrite(write, changes), asio::detached);
    write->replied.expires_after(std::chrono::duration_cast<milliseconds>(interval));
    if (!write->reply)
        co_await write->replied.async_wait(asTuple);
    const auto reply = std::exchange(write->reply, std::nullopt);
    if (reply) {
        if (const auto *result = std::get_if<transaction_result>(&*reply))
            co_return *result;
        if (std::get<call_failure>(*reply) == call_failure::Rejected)
            recordRejectedWrite(*write, changes);
    }
    recordStoreFailure(reply.has_value());
    if (reply)
        co_await sleepFor(rejectedWriteBackoff);
    else
        m_ports.store.resetConnections();
    co_return std::nullopt;
}

// Stores one batch, retrying until it is applied; false if another instance leads. All attempts
// send the same transaction, because any of them may be the one that is applied. It changes only
// after a conflict, which keeps the earlier ones from ever being applied.
awaitable<bool> leader::storeBatch(std::vector<jobs::job_change> batch)
{
    ++m_row.sequence;
    m_pendingWriteSince = bootNow();
    takeCeilings();
    const auto write = std::make_shared<hedged_write>(m_context);
    const auto check = m_endedJobsLoaded ? ended_check::InMemory : ended_check::InStore;
    auto changes = makeTransaction(batch, check);
    while (!m_superseded) {
        const auto result = co_await hedgedWrite(write, changes);
        if (!result)
            continue;
        bool applied = result->applied;
        if (applied)
            m_revision = result->revision;
        else if (!resolveConflicts(result->conflicts, batch, applied))
            co_return false;
        if (!applied) {
            changes = makeTransaction(batch, check);
            continue;
        }
        if (m_storeFailing)
            log_event(log_level::Info, "store.available").field("term", m_row.term);
        m_storeFailing = false;
        onCommitted(write->repliedAttemptSentAt);
        m_lastWriteTime = bootNow() - write->repliedAttemptSentAt;
        m_pendingWriteSince.reset();
        onCeilingsStored();
        onBatchStored(batch);
        co_return true;
    }
    co_return false;
}

std::vector<jobs::job_change> leader::takeBatch()
{
    const duty_times::scope timed(m_duties, leader_duty::StoreWrites);
    // The write includes the row of ceilings.
    return m_scheduler.takeChanges(maxBatchEntries - (hasCeilingsToStore() ? 1 : 0));
}

awaitable<void> leader::storeChanges()
{
    const auto self = shared_from_this();
    while (true) {
        if (!m_scheduler.hasChanges() && !hasCeilingsToStore() && !m_resigning) {
            m_changeTimer.expires_after(m_options.leadership.rowWriteInterval);
            co_await m_changeTimer.async_wait(asTuple);
        }
        if (m_scheduler.hasChanges())
            co_await sleepFor(groupCommitDelay);
        // The last write marks the row as resigned. The next leader learns changes that are not in
        // it from the workers.
        m_row.resigned = m_resigning;
        auto batch = takeBatch();
        if (!co_await storeBatch(std::move(batch)) || m_row.resigned)
            co_return;
        schedulePlan();
    }
}

// Configuration and workers.

void leader::applyConfiguration(const stored_row &row)
{
    const duty_times::scope timed(m_duties, leader_duty::Configuration);
    if (row.rowKey.key != m_ports.tables.configuration.key || row.removed)
        return;
    auto configuration = m_ports.codec.parseConfiguration(row.value);
    if (!configuration) {
        log_event(log_level::Error, "configuration.unreadable").field("revision", row.revision);
        return;
    }
    // A read that was delayed tells less than what is known.
    if (configuration->version < m_scheduler.configuration().version
        || row.revision < m_configurationRowRevision)
        return;
    const auto findings = jobs::reviewConfiguration(*configuration);
    if (jobs::hasErrors(findings)) {
        rejectConfiguration(row, *configuration, findings);
        if (m_scheduler.configuration().version > 0)
            return;
        // A new leader knows no earlier configuration.
        configuration = jobs::soundPart(std::move(*configuration), findings);
    }
    m_keys = jobs::key_directory(configuration->workspaces);
    m_configurationRowRevision = row.revision;
    log_event(log_level::Info, "configuration.activated")
        .field("version", configuration->version)
        .field("queues", static_cast<std::uint64_t>(configuration->queues.size()))
        .field("workspaces", static_cast<std::uint64_t>(configuration->workspaces.size()))
        .field("keys", static_cast<std::uint64_t>(m_keys.size()));
    m_scheduler.configure(std::move(*configuration));
    applyConnectionLimits();
    configureLimits();
    for (auto &[version, timer] : m_configurationWaiters)
        timer->cancel();
}

// An error in another entry must not keep a removed key valid.
void leader::rejectConfiguration(const stored_row &row, const jobs::cell_configuration &rejected,
                                 const std::vector<jobs::configuration_finding> &findings)
{
    if (row.revision != 0 && row.revision == m_configurationRowRevision)
        return;
    ++m_counters["configurations_rejected"];
    if (!rejected.workspaces.empty())
        m_keys.revokeMissing(rejected.workspaces);
    m_configurationRowRevision = row.revision;
    std::size_t logged = 0;
    for (const auto &finding : findings) {
        if (finding.level != jobs::finding_level::Error || logged++ >= maxFindingsLogged)
            continue;
        log_event(log_level::Error, "configuration.rejected")
            .field("version", rejected.version)
            .field("revision", row.revision)
            .field("entry", finding.entry)
            .field("reason", finding.message)
            .field("active_version", m_scheduler.configuration().version)
            .field("keys", static_cast<std::uint64_t>(m_keys.size()));
    }
}

awaitable<void> leader::watchConfiguration()
{
    const auto self = shared_from_this();
    const auto table = m_ports.tables.configuration.table;
    const auto hold = m_configurationFreshness.watchHold(configurationPollTimeout);
    while (!m_ended) {
        const auto askedAt = bootNow();
        auto read = co_await m_ports.store.pollChanges(table, m_configurationRevision, hold);
        if (m_ended)
            co_return;
        if (auto *page = std::get_if<row_page>(&read)) {
            m_configurationRevision = std::max(m_configurationRevision, page->revision);
            for (const auto &row : page->rows)
                applyConfiguration(row);
            m_configurationFreshness.confirmed(askedAt);
            continue;
        }
        if (std::get<call_failure>(read) == call_failure::RevisionCompacted) {
            std::vector<stored_row> rows;
            const key_range range {table, {}, {}, {}};
            const auto reloadAskedAt = bootNow();
            if (co_await loadTable(range, rows)) {
                for (const auto &row : rows)
                    applyConfiguration(row);
                m_configurationFreshness.confirmed(reloadAskedAt);
            }
            continue;
        }
        co_await sleepFor(maxReadBackoff);
    }
}

awaitable<bool> leader::awaitConfiguration(std::uint64_t version, time_point deadline)
{
    const auto self = shared_from_this();
    while (m_scheduler.configuration().version < version) {
        if (m_ended || clock::now() >= deadline)
            co_return false;
        const auto timer = std::make_shared<asio::steady_timer>(m_context, deadline);
        const auto waiter = m_configurationWaiters.emplace(version, timer);
        if (!std::exchange(m_readingConfiguration, true))
            asio::co_spawn(m_context, readConfiguration(), asio::detached);
        co_await timer->async_wait(asTuple);
        m_configurationWaiters.erase(waiter);
    }
    co_return true;
}

// Reads the configuration until the versions that requests wait for are in force, for all requests
// at once: a read for each would take the leader's time while configurations follow one another.
awaitable<void> leader::readConfiguration()
{
    const auto self = shared_from_this();
    const auto isAwaited = [this] {
        return !m_ended && !m_configurationWaiters.empty()
               && m_configurationWaiters.rbegin()->first > m_scheduler.configuration().version;
    };
    while (isAwaited()) {
        co_await readConfigurationRow(clock::now() + awaitedReadTimeout, configuration_read::Apply);
        if (isAwaited())
            co_await sleepFor(initialReadBackoff);
    }
    m_readingConfiguration = false;
}

awaitable<bool> leader::readConfigurationRow(time_point deadline, configuration_read purpose)
{
    const auto self = shared_from_this();
    const auto &key = m_ports.tables.configuration;
    const key_range range {key.table, {}, key.key, nextKey(key.key)};
    const auto askedAt = bootNow();
    auto read = co_await m_ports.store.read(range, deadline);
    const auto *page = std::get_if<row_page>(&read);
    if (!page)
        co_return false;
    for (const auto &row : page->rows) {
        if (purpose == configuration_read::Apply || row.revision != m_configurationRowRevision)
            applyConfiguration(row);
    }
    m_configurationFreshness.confirmed(askedAt);
    co_return true;
}

// The watch may hang on a connection that is dead without either end knowing.
awaitable<void> leader::confirmConfiguration()
{
    const auto self = shared_from_this();
    const auto checkInterval =
        std::max(m_options.keyRevocation / configurationChecks, milliseconds(1));
    while (!m_ended) {
        co_await sleepFor(checkInterval);
        if (m_ended || !m_keys.required())
            continue;
        if (m_configurationFreshness.needsRead(bootNow())) {
            ++m_counters["configuration_reads"];
            co_await readConfigurationRow(clock::now() + readTimeout, configuration_read::Confirm);
        }
        if (std::exchange(m_keysUsable, canCheckKeys()) != m_keysUsable) {
            log_event(log_level::Info, "configuration.freshness")
                .field("partition", m_options.partition.index)
                .field("version", m_scheduler.configuration().version)
                .field("keys_usable", canCheckKeys() ? 1 : 0);
        }
    }
}

bool leader::canCheckKeys() const
{
    return m_configurationFreshness.usable(bootNow());
}

void leader::applyWorkerRow(const stored_row &row)
{
    const auto &id = row.rowKey.key;
    auto entry = row.removed ? std::nullopt : m_ports.codec.parseWorkerEntry(id, row.value);
    if (!row.removed && !entry)
        ++m_counters["worker_entries_unreadable"];
    if (entry && partitionOfWorker(*entry, m_options.partition.count) == m_options.partition.index)
        m_workerEntries[id] = std::move(*entry);
    else
        m_workerEntries.erase(id);
}

void leader::updateFleet()
{
    const duty_times::scope timed(m_duties, leader_duty::WorkerList);
    std::vector<jobs::worker_entry> entries;
    entries.reserve(m_workerEntries.size());
    for (const auto &[id, entry] : m_workerEntries)
        entries.push_back(entry);
    m_scheduler.updateWorkerList(m_workerList.update(std::move(entries), bootNow()));
    applyConnectionLimits();
    startLeaseRenewals();
}

void leader::applyConnectionLimits()
{
    const auto &limits = m_scheduler.configuration().connectionLimits;
    for (const auto &[id, worker] : m_scheduler.workers().all()) {
        const auto limit = limits.find(worker->entry.service);
        m_ports.workers.setConnectionLimit(
            id, limit == limits.end() ? connection_budget::defaultWorkerLimit : limit->second,
            static_cast<double>(m_row.lostLeaderThousandths) / thousandths);
    }
}

awaitable<bool> leader::loadWorkers()
{
    std::vector<stored_row> rows;
    std::uint64_t revision = 0;
    key_range range {m_ports.tables.workers, {}, {}, {}};
    bool more = true;
    while (more) {
        auto read = co_await m_ports.store.read(range, clock::now() + readTimeout);
        auto *page = std::get_if<row_page>(&read);
        if (!page)
            co_return hasRecentCommit(bootNow());
        // Changes during a read of several pages are told again after the first page's revision.
        if (revision == 0)
            revision = page->revision;
        std::ranges::move(page->rows, std::back_inserter(rows));
        more = page->hasMore && !rows.empty();
        if (more)
            range.from = nextKey(rows.back().rowKey.key);
    }
    m_workersRevision = revision;
    m_workerEntries.clear();
    for (const auto &row : rows)
        applyWorkerRow(row);
    updateFleet();
    co_return true;
}

void leader::startLeaseRenewals()
{
    for (const auto &[id, worker] : m_scheduler.workers().all()) {
        if (!worker->listed || m_leaseTimers.contains(id))
            continue;
        m_leaseTimers[id] = std::make_shared<asio::steady_timer>(m_context);
        asio::co_spawn(m_context, renewLeaseLoop(id), asio::detached);
    }
}

awaitable<void> leader::watchWorkers()
{
    const auto self = shared_from_this();
    auto wholeListAt = bootNow() + wholeListInterval;
    while (!m_ended) {
        auto read = co_await m_ports.store.pollChanges(m_ports.tables.workers, m_workersRevision,
                                                       workerPollTimeout);
        if (m_ended)
            co_return;
        if (auto *page = std::get_if<row_page>(&read)) {
            m_workersRevision = std::max(m_workersRevision, page->revision);
            for (const auto &row : page->rows)
                applyWorkerRow(row);
            updateFleet();
        } else if (std::get<call_failure>(read) == call_failure::RevisionCompacted) {
            co_await loadWorkers();
        } else {
            co_await sleepFor(maxReadBackoff);
        }
        if (bootNow() >= wholeListAt) {
            wholeListAt = bootNow() + wholeListInterval;
            co_await loadWorkers();
        }
        for (const auto &removed : m_scheduler.workers().sweep(bootNow())) {
            log_event(log_level::Info, "worker.removed").field("worker", removed);
            m_ports.workers.closeConnections(removed);
        }
        schedulePlan();
        co_await sleepFor(minWorkerPollInterval);
    }
}

void leader::onReport(const std::string &id, const jobs::worker_report &report, time_point askedAt)
{
    const duty_times::scope timed(m_duties, leader_duty::Reports);
    m_scheduler.onReport(id, report, askedAt, bootNow());
}

// Renews a worker's lease and processes its reports until the worker is removed or the term ends.
awaitable<void> leader::renewLeaseLoop(std::string id)
{
    const auto self = shared_from_this();
    const auto timer = m_leaseTimers.at(id);
    while (!m_ended) {
        auto *worker = m_scheduler.workers().find(id);
        if (!worker)
            break;
        const auto now = bootNow();
        if (!hasRecentCommit(now)) {
            if (!std::exchange(m_renewalsPaused, true)) {
                log_event(log_level::Warning, "leader.renewals_paused")
                    .field("partition", m_options.partition.index)
                    .field("term", m_row.term);
            }
            co_await sleepFor(leaseRenewalRetryInterval);
            continue;
        }
        auto order = m_scheduler.renewLease(*worker, now);
        order.wait = worker->reports == 0 || !worker->unstoredEnds.empty() ? milliseconds(0)
                     : worker->isolating() ? m_options.scheduler.probation
                                           : leaseRenewalHold;
        ++m_counters["looks"];
        const auto deadline = clock::now() + order.wait + leaseRenewalTimeout;
        auto result = co_await m_ports.workers.renewLease(order, deadline);
        if (m_ended)
            break;
        if (auto *report = std::get_if<jobs::worker_report>(&result)) {
            if (report->staleTerm) {
                if (!m_superseded) {
                    log_event(log_level::Warning, "leader.superseded")
                        .field("term", m_row.term)
                        .field("worker", id);
                }
                m_superseded = true;
                m_scheduler.leaseRenewalFailed(id, jobs::renewal_failure::NoReply, bootNow());
                break;
            }
            // The worker may have been removed during the call.
            worker = m_scheduler.workers().find(id);
            const bool wasUnresponsive = worker && !worker->responsive;
            onReport(id, *report, now);
            if (wasUnresponsive)
                log_event(log_level::Info, "worker.responsive").field("worker", id);
            if (m_scheduler.hasChanges())
                m_changeTimer.cancel();
            schedulePlan();
            if (report->otherIncarnation) {
                co_await sleepFor(replacedWorkerInterval);
                continue;
            }
            worker = m_scheduler.workers().find(id);
            if (worker && !worker->unstoredEnds.empty()) {
                timer->expires_after(reportedEndsStoreTimeout);
                co_await timer->async_wait(asTuple);
            }
            continue;
        }
        worker = m_scheduler.workers().find(id);
        if (worker && worker->responsive)
            log_event(log_level::Warning, "worker.unresponsive").field("worker", id);
        const bool broken =
            clock::now() < deadline && std::get<call_failure>(result) == call_failure::Unknown;
        m_scheduler.leaseRenewalFailed(
            id, broken ? jobs::renewal_failure::ConnectionBroken : jobs::renewal_failure::NoReply,
            bootNow());
        co_await sleepFor(leaseRenewalRetryInterval);
    }
    m_leaseTimers.erase(id);
}

} // namespace plantaingap::cell
