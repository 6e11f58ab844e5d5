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

// Entries of one write (the platform's bound is 100) without those of the leader's own row.
constexpr std::size_t batchEntries = 98;
// Finished jobs are read into memory after a takeover, unless there are more than this.
constexpr std::size_t mostEndedRead = 20'000;
// Changes that come within this span share a write.
constexpr milliseconds groupWait {10};
// A write without an answer is tried again beside it after this, or after this many times what the
// last one took; each attempt waits for its answer so long. At most so many are open at once.
constexpr milliseconds attemptEvery {300};
constexpr int slowStorePatience = 2;
constexpr milliseconds longestCommitPatience {2000};
constexpr std::uint32_t mostAttempts = 7;
// Before a write that the store refused is tried again.
constexpr milliseconds refusedBackoff {120};
constexpr milliseconds readPatience {1500};
// Between attempts to read, first and longest.
constexpr milliseconds firstBackoff {30};
constexpr milliseconds longestBackoff {400};
// How long a worker may hold a look when nothing ends.
constexpr milliseconds lookWait {700};
constexpr milliseconds lookPatience {700};
constexpr milliseconds lookRetry {150};
// Ends that wait for the store longer than this do not hold up the next look.
constexpr milliseconds storedPatience {400};

constexpr milliseconds configurationWait {1500};
constexpr milliseconds listEvery {800};
// A write without an answer for this long, or for three times what the last one took, makes new
// jobs be refused at once.
constexpr milliseconds awayAfter {400};

std::string afterKey(const std::string &key)
{
    return key + '\x01';
}

} // namespace

leader::leader(asio::io_context &context, cell_ports ports, leader_options options, leader_row row,
               std::uint64_t revision)
    : m_context(context)
    , m_ports(std::move(ports))
    , m_options(std::move(options))
    , m_row(std::move(row))
    , m_revision(revision)
    , m_scheduler(m_options.scheduler)
    , m_committedAt(bootNow())
    , m_changed(context)
{
    m_wall.told(m_options.instance, support::wallNow(), bootNow());
    m_scheduler.startTerm(m_row.term, bootNow());
}

awaitable<void> leader::pause(milliseconds span)
{
    asio::steady_timer timer(m_context, span);
    co_await timer.async_wait(asTuple);
}

bool leader::valid(time_point now) const
{
    return now - m_committedAt < m_options.validity;
}

bool leader::storeAway(time_point now) const
{
    return m_writingSince && now - *m_writingSince > std::max<duration>(awayAfter, m_writeTime * 3);
}

awaitable<void> leader::run()
{
    const auto self = shared_from_this();
    log_event(log_level::Info, "leader.taking_over").field("term", m_row.term);
    if (!co_await load()) {
        m_ended = true;
        co_return;
    }
    m_ready = true;
    log_event(log_level::Info, "leader.ready")
        .field("term", m_row.term)
        .field("jobs", static_cast<std::uint64_t>(m_scheduler.load(bootNow()).jobs))
        .field("configuration", m_scheduler.configuration().version);
    const auto duty = [&](awaitable<void> each) {
        asio::co_spawn(m_context, std::move(each), asio::detached);
    };
    duty(watchConfiguration());
    duty(watchWorkers());
    duty(planRegularly());
    duty(tellLoad());
    duty(readEnded());
    co_await storeChanges();
    m_ended = true;
    for (auto &[id, timer] : m_waiters)
        timer->cancel();
    for (auto &[id, timer] : m_looks)
        timer->cancel();
    log_event(log_level::Info, "leader.ended").field("term", m_row.term);
}

// Taking over.

awaitable<bool> leader::loadTable(const std::string &table, std::vector<stored_row> &rows)
{
    std::string from;
    while (true) {
        auto read = co_await m_ports.store.read(table, from, {}, clock::now() + readPatience);
        auto *page = std::get_if<row_page>(&read);
        if (!page) {
            if (!valid(bootNow()))
                co_return false;
            co_await pause(firstBackoff);
            continue;
        }
        m_operatorRevision = page->revision;
        std::ranges::move(page->rows, std::back_inserter(rows));
        if (!page->more || rows.empty())
            co_return true;
        from = afterKey(rows.back().at.key);
    }
}

awaitable<bool> leader::load()
{
    std::vector<stored_row> definitions;
    std::vector<stored_row> progress;
    std::vector<stored_row> operators;
    if (!co_await loadTable(std::string(jobsTable), definitions)
        || !co_await loadTable(std::string(progressTable), progress)
        || !co_await loadTable(m_ports.tables.configuration.table, operators)) {
        co_return false;
    }
    for (const auto &row : operators)
        takeConfiguration(row);
    restoreJobs(definitions, progress);
    co_return co_await readWorkers();
}

// Jobs that ended before this term. Once all are in memory, a new job need not be checked against
// the store.
awaitable<void> leader::readEnded()
{
    const auto self = shared_from_this();
    std::string from;
    std::size_t count = 0;
    while (!m_ended && count < mostEndedRead) {
        auto read = co_await m_ports.store.read(std::string(endedTable), from, {},
                                                clock::now() + readPatience);
        const auto *page = std::get_if<row_page>(&read);
        if (!page) {
            co_await pause(longestBackoff);
            continue;
        }
        for (const auto &row : page->rows) {
            if (const auto state = jobs::parseState(row.value))
                m_scheduler.recordEnded(row.at.key, *state, bootNow());
        }
        count += page->rows.size();
        if (!page->more || page->rows.empty()) {
            m_endedKnown = true;
            log_event(log_level::Info, "leader.knows_ended_jobs")
                .field("term", m_row.term)
                .field("jobs", static_cast<std::uint64_t>(count));
            co_return;
        }
        from = afterKey(page->rows.back().at.key);
    }
}

void leader::restoreJobs(const std::vector<stored_row> &definitions,
                         const std::vector<stored_row> &progress)
{
    std::map<std::string_view, std::string_view> byId;
    for (const auto &row : progress)
        byId[row.at.key] = row.value;
    const auto now = bootNow();
    for (const auto &row : definitions) {
        const auto job = jobs::decodeJob(row.value);
        if (!job) {
            log_event(log_level::Error, "job.unreadable").field("job", row.at.key);
            continue;
        }
        std::optional<jobs::recorded_progress> recorded;
        if (const auto found = byId.find(row.at.key); found != byId.end()) {
            const auto decoded = jobs::decodeProgress(found->second);
            if (!decoded) {
                log_event(log_level::Error, "progress.unreadable").field("job", row.at.key);
                continue;
            }
            recorded = *decoded;
        }
        m_scheduler.restore(*job, recorded, now, m_wall.at(now));
    }
}

// The store.

transaction leader::makeTransaction(const std::vector<jobs::job_change> &batch) const
{
    transaction changes;
    const row_key own {"cell", "leader"};
    changes.expected.push_back({own, m_revision});
    changes.puts.emplace_back(own, encodeLeaderRow(m_row));
    for (const auto &change : batch) {
        const row_key definition {std::string(jobsTable), change.id};
        const row_key progress {std::string(progressTable), change.id};
        const row_key ended {std::string(endedTable), change.id};
        if (change.finished) {
            changes.removals.push_back(definition);
            changes.removals.push_back(progress);
            changes.puts.emplace_back(ended, std::string(jobs::stateName(*change.finished)));
            continue;
        }
        if (change.definition) {
            if (!m_endedKnown)
                changes.expected.push_back({ended, 0});
            changes.puts.emplace_back(definition, *change.definition);
        }
        if (change.progress)
            changes.puts.emplace_back(progress, *change.progress);
    }
    return changes;
}

bool leader::settleConflicts(const std::vector<stored_row> &conflicts,
                             std::vector<jobs::job_change> &batch, bool &applied)
{
    for (const auto &row : conflicts) {
        if (row.at.table == endedTable) {
            if (row.revision == 0 || row.value.empty())
                continue;
            const auto state = jobs::parseState(row.value).value_or(jobs::job_state::Completed);
            std::erase_if(batch, [&row](const auto &change) { return change.id == row.at.key; });
            m_scheduler.recordAlreadyEnded(row.at.key, state, bootNow());
            wake(row.at.key);
            continue;
        }
        if (row.revision == m_revision)
            continue;
        const auto found = decodeLeaderRow(row.value);
        if (!found || found->holder != m_row.holder || found->term != m_row.term)
            return false;
        if (found->sequence != m_row.sequence)
            return false;
        // The write was done; only its answer was lost.
        applied = true;
        m_revision = row.revision;
    }
    return true;
}

void leader::batchStored(const std::vector<jobs::job_change> &batch)
{
    for (auto &order : m_scheduler.onBatchStored(batch, bootNow())) {
        // The next leader places the task anew; an order of this one would be in its way.
        if (m_row.resigned)
            break;
        asio::co_spawn(m_context, sendStart(std::move(order)), asio::detached);
    }
    for (const auto &change : batch) {
        wake(change.id);
        if (change.finished) {
            log_event(log_level::Info, "job.ended")
                .field("job", change.id)
                .field("state", jobs::stateName(*change.finished));
        }
        for (const auto &effect : change.effects) {
            const auto look = m_looks.find(effect.worker);
            if (look != m_looks.end() && m_scheduler.workers().find(effect.worker))
                look->second->cancel();
        }
    }
    if (!batch.empty())
        planSoon();
}

// The attempts to make one write. A write that has no answer is tried again beside it, over another
// connection: the first may have been lost, or a silent store may be back. The chain of the
// leader's row lets only one of them be done.
struct leader::write_race
{
    explicit write_race(asio::io_context &context)
        : answered(context)
    { }

    asio::steady_timer answered;
    std::optional<outcome<transaction_result>> answer;
    time_point answerSentAt {};
    std::uint32_t open = 0;
};

awaitable<void> leader::attemptWrite(std::shared_ptr<write_race> race, transaction changes)
{
    const auto self = shared_from_this();
    const auto sentAt = bootNow();
    ++m_counters["store_writes"];
    ++race->open;
    auto done =
        co_await m_ports.store.commit(std::move(changes), clock::now() + longestCommitPatience);
    --race->open;
    const auto *failure = std::get_if<call_failure>(&done);
    // Without an answer the other attempts go on.
    if (race->answer || (failure && *failure != call_failure::Refused))
        co_return;
    race->answer = std::move(done);
    race->answerSentAt = sentAt;
    race->answered.cancel();
}

void leader::tellStoreFailing(bool refused)
{
    ++m_counters["store_failures"];
    if (!m_storeFailing)
        log_event(log_level::Warning, "store.lost").field("refused", refused ? 1 : 0);
    m_storeFailing = true;
}

// The first answer to one of the attempts at a write; none after a while without any, or after a
// refusal.
awaitable<std::optional<transaction_result>>
leader::raceWrite(std::shared_ptr<write_race> race, const std::vector<jobs::job_change> &batch)
{
    const auto every = std::max<duration>(attemptEvery, m_writeTime * slowStorePatience);
    if (race->open < mostAttempts) {
        asio::co_spawn(m_context, attemptWrite(race, makeTransaction(batch)), asio::detached);
    }
    race->answered.expires_after(std::chrono::duration_cast<milliseconds>(every));
    if (!race->answer)
        co_await race->answered.async_wait(asTuple);
    const auto answer = std::exchange(race->answer, std::nullopt);
    if (answer) {
        if (const auto *result = std::get_if<transaction_result>(&*answer))
            co_return *result;
    }
    tellStoreFailing(answer.has_value());
    if (answer)
        co_await pause(refusedBackoff);
    else
        m_ports.store.renewConnections();
    co_return std::nullopt;
}

// Stores one batch, however often that has to be tried; false when another leads.
awaitable<bool> leader::storeBatch(std::vector<jobs::job_change> batch)
{
    ++m_row.sequence;
    m_writingSince = bootNow();
    const auto race = std::make_shared<write_race>(m_context);
    while (!m_superseded) {
        const auto result = co_await raceWrite(race, batch);
        if (!result)
            continue;
        bool applied = result->applied;
        if (applied)
            m_revision = result->revision;
        else if (!settleConflicts(result->conflicts, batch, applied))
            co_return false;
        if (!applied)
            continue;
        if (m_storeFailing)
            log_event(log_level::Info, "store.regained").field("term", m_row.term);
        m_storeFailing = false;
        m_committedAt = race->answerSentAt;
        m_writeTime = bootNow() - race->answerSentAt;
        m_writingSince.reset();
        batchStored(batch);
        co_return true;
    }
    co_return false;
}

awaitable<void> leader::storeChanges()
{
    const auto self = shared_from_this();
    while (true) {
        if (!m_scheduler.hasChanges() && !m_resigning) {
            m_changed.expires_after(m_options.leadership.writeEvery);
            co_await m_changed.async_wait(asTuple);
        }
        if (m_scheduler.hasChanges())
            co_await pause(groupWait);
        // The last write gives way; what is not in it, the next leader learns from the workers.
        m_row.resigned = m_resigning;
        if (!co_await storeBatch(m_scheduler.takeChanges(batchEntries)) || m_row.resigned)
            co_return;
        planSoon();
    }
}

// The operator's rows and the list of workers.

void leader::takeConfiguration(const stored_row &row)
{
    if (row.at.key != m_ports.tables.configuration.key || row.removed)
        return;
    auto configuration = m_ports.codec.configuration(row.value);
    if (!configuration) {
        log_event(log_level::Error, "configuration.unreadable").field("revision", row.revision);
        return;
    }
    if (configuration->version < m_scheduler.configuration().version)
        return;
    log_event(log_level::Info, "configuration.in_force")
        .field("version", configuration->version)
        .field("queues", static_cast<std::uint64_t>(configuration->queues.size()));
    m_scheduler.configure(std::move(*configuration));
}

awaitable<void> leader::watchConfiguration()
{
    const auto self = shared_from_this();
    const auto table = m_ports.tables.configuration.table;
    while (!m_ended) {
        auto read = co_await m_ports.store.changes(table, m_operatorRevision, configurationWait);
        if (m_ended)
            co_return;
        if (auto *page = std::get_if<row_page>(&read)) {
            m_operatorRevision = std::max(m_operatorRevision, page->revision);
            for (const auto &row : page->rows)
                takeConfiguration(row);
            continue;
        }
        if (std::get<call_failure>(read) == call_failure::HistoryLost) {
            std::vector<stored_row> rows;
            if (co_await loadTable(table, rows)) {
                for (const auto &row : rows)
                    takeConfiguration(row);
            }
            continue;
        }
        co_await pause(longestBackoff);
    }
}

awaitable<bool> leader::readWorkers()
{
    std::vector<stored_row> rows;
    std::string from;
    bool more = true;
    while (more) {
        auto read = co_await m_ports.store.read(m_ports.tables.workers, from, {},
                                                clock::now() + readPatience);
        auto *page = std::get_if<row_page>(&read);
        if (!page)
            co_return valid(bootNow());
        std::ranges::move(page->rows, std::back_inserter(rows));
        more = page->more && !rows.empty();
        if (more)
            from = afterKey(rows.back().at.key);
    }
    std::vector<jobs::worker_entry> entries;
    for (const auto &row : rows) {
        if (auto entry = m_ports.codec.workerEntry(row.at.key, row.value))
            entries.push_back(std::move(*entry));
        else
            ++m_counters["worker_entries_unreadable"];
    }
    m_scheduler.updateWorkerList(m_list.update(std::move(entries), bootNow()));
    startLooks();
    co_return true;
}

void leader::startLooks()
{
    for (const auto &[id, at] : m_scheduler.workers().all()) {
        if (!at->listed || m_looks.contains(id))
            continue;
        m_looks[id] = std::make_shared<asio::steady_timer>(m_context);
        asio::co_spawn(m_context, lookAfter(id), asio::detached);
    }
}

awaitable<void> leader::watchWorkers()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        co_await pause(listEvery);
        if (m_ended)
            co_return;
        co_await readWorkers();
        for (const auto &gone : m_scheduler.workers().sweep(bootNow())) {
            log_event(log_level::Info, "worker.gone").field("worker", gone);
            m_ports.workers.forget(gone);
        }
        planSoon();
    }
}

// Looks at one worker as long as it is known: renews its lease, takes in what ended.
awaitable<void> leader::lookAfter(std::string id)
{
    const auto self = shared_from_this();
    const auto timer = m_looks.at(id);
    while (!m_ended) {
        auto *at = m_scheduler.workers().find(id);
        if (!at)
            break;
        const auto now = bootNow();
        if (!valid(now)) {
            co_await pause(lookRetry);
            continue;
        }
        auto order = m_scheduler.renewLease(*at, now);
        order.wait = at->reports == 0 || !at->unstoredEnds.empty() ? milliseconds(0) : lookWait;
        ++m_counters["looks"];
        auto told = co_await m_ports.workers.look(order, clock::now() + order.wait + lookPatience);
        if (m_ended)
            break;
        if (auto *report = std::get_if<jobs::worker_report>(&told)) {
            if (report->staleTerm) {
                if (!m_superseded) {
                    log_event(log_level::Warning, "leader.superseded")
                        .field("term", m_row.term)
                        .field("worker", id);
                }
                m_superseded = true;
                m_scheduler.leaseRenewalFailed(id, bootNow());
                break;
            }
            const bool wasAway = !at->responsive;
            m_scheduler.onReport(id, *report, now, bootNow());
            if (wasAway)
                log_event(log_level::Info, "worker.answers").field("worker", id);
            if (m_scheduler.hasChanges())
                m_changed.cancel();
            planSoon();
            if (report->otherIncarnation) {
                co_await pause(listEvery);
                continue;
            }
            at = m_scheduler.workers().find(id);
            if (at && !at->unstoredEnds.empty()) {
                timer->expires_after(storedPatience);
                co_await timer->async_wait(asTuple);
            }
            continue;
        }
        at = m_scheduler.workers().find(id);
        if (at && at->responsive)
            log_event(log_level::Warning, "worker.silent").field("worker", id);
        m_scheduler.leaseRenewalFailed(id, bootNow());
        co_await pause(lookRetry);
    }
    m_looks.erase(id);
}

} // namespace plantaingap::cell
