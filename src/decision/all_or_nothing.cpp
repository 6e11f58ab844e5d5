#include "decision/all_or_nothing.h"

#include "decision/preemption.h"
#include "decision/task_offers.h"
#include "decision/task_placement.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// How often it is looked whether stopping others would fill a reservation.
constexpr auto reviewPause = std::chrono::milliseconds(500);

struct worker_offer
{
    std::uint32_t worker = 0;
    std::uint32_t copies = 0;
    // Order in which workers are taken; small first.
    std::int64_t rank = 0;
};

using offers = std::vector<worker_offer>;

std::uint64_t sum(const offers &offered)
{
    std::uint64_t copies = 0;
    for (const auto &offer : offered)
        copies += offer.copies;
    return copies;
}

offers offersNow(const task_step &step, const job_record &job)
{
    offers found;
    step.ledger.open().visitFitting(job.need, [&](std::uint32_t worker) {
        if (accepts(step.ledger, job, worker))
            found.push_back({worker, copiesIn(job.need, step.ledger.worker(worker).open()), 0});
        return true;
    });
    return found;
}

// Room that is free, or held by work that may yield or will end by itself.
offers offersLater(const task_step &step, const job_record &job)
{
    offers found;
    step.ledger.yielding().visitFitting(job.need, [&](std::uint32_t worker) {
        const auto &record = step.ledger.worker(worker);
        const auto room = record.open() + record.yielding;
        const auto copies = accepts(step.ledger, job, worker) ? copiesIn(job.need, room) : 0;
        const auto free = copiesIn(job.need, record.open());
        if (copies > 0)
            found.push_back({worker, copies, -static_cast<std::int64_t>(free)});
        return true;
    });
    return found;
}

// Takes whole racks: the smallest one that holds the job alone, else the fullest first. Empty when
// one rack is asked for and none holds the job.
offers fewestRacks(const task_step &step, const job_record &job, offers offered, std::uint64_t need)
{
    std::map<rack_id, std::uint64_t> racks;
    for (const auto &offer : offered)
        racks[step.ledger.worker(offer.worker).rack] += offer.copies;
    const rack_id *alone = nullptr;
    for (const auto &[rack, copies] : racks) {
        if (copies >= need && (alone == nullptr || copies < racks[*alone]))
            alone = &rack;
    }
    if (alone == nullptr && job.spec.spread == spread_rule::OneRack)
        return {};
    const auto rackOf = [&](const worker_offer &offer) {
        return step.ledger.worker(offer.worker).rack;
    };
    if (alone != nullptr) {
        std::erase_if(offered, [&](const auto &offer) { return rackOf(offer) != *alone; });
        return offered;
    }
    std::stable_sort(offered.begin(), offered.end(), [&](const auto &left, const auto &right) {
        const auto a = racks[rackOf(left)];
        const auto b = racks[rackOf(right)];
        return a != b ? a > b : rackOf(left) < rackOf(right);
    });
    return offered;
}

// One task per domain in turn, for jobs that spread.
offers spreadOut(const task_step &step, const job_record &job, const offers &offered)
{
    std::map<std::uint32_t, std::uint32_t> given;
    offers single;
    for (const auto &offer : offered) {
        const auto domain = domainOf(job.spec.spread, step.ledger.worker(offer.worker));
        for (std::uint32_t copy = 0; copy < offer.copies; ++copy)
            single.push_back({offer.worker, 1, given[domain]++});
    }
    std::stable_sort(single.begin(), single.end(),
                     [](const auto &left, const auto &right) { return left.rank < right.rank; });
    return single;
}

offers arrange(const task_step &step, const job_record &job, offers offered, std::uint64_t need)
{
    const auto rule = job.spec.spread;
    if (rule == spread_rule::Racks || rule == spread_rule::DataCentres)
        return spreadOut(step, job, offered);
    if (rule == spread_rule::OneRack || job.need.accelerators > 0)
        return fewestRacks(step, job, std::move(offered), need);
    return offered;
}

// Every task that is not done yet, when none of them is placed or delayed; 0 otherwise.
std::uint64_t tasksTogether(const job_record &job)
{
    const bool whole = job.placed() == 0 && job.count(task_phase::Delayed) == 0;
    return whole ? job.waiting.size() : 0;
}

void startOn(task_step &step, job_record &job, const offers &arranged)
{
    job.stoppingAll = false;
    const auto skipped = mutated("tasks.start_part_of_job") ? 1U : 0U;
    for (const auto &offer : arranged) {
        for (auto copies = offer.copies; copies > 0 && job.waiting.size() > skipped; --copies)
            startNext(step, job, offer.worker);
    }
    PLANTAINGAP_INVARIANT(job.waiting.empty(), "tasks.all_or_nothing");
}

std::uint32_t claimedOn(const job_record &job, const worker_record &worker)
{
    std::uint32_t count = 0;
    for (const auto &set : worker.claims)
        count += set.job == &job ? set.count : 0;
    return count;
}

bool isFull(const worker_record &worker)
{
    return worker.claimed.fitsIn(worker.free());
}

// Batch work gives way to a job whose team holds less, or lives within its quota with the job.
bool givesWay(const task_step &step, const job_record &job, const task_ref &ref)
{
    const auto &task = ref.job->tasks[ref.index];
    if (ref.job->spec.kind != job_kind::Batch || !mayYield(*ref.job)
        || step.now - task.startedAt < step.limits.minimumRun)
        return false;
    const auto &teams = step.ledger.teams();
    return teams.share(ref.job->spec.team) > teams.share(job.spec.team)
           || teams.shareWith(job.spec.team, {}) <= wholeQuota;
}

// What must end for the claims on this worker, backfill first and then what loses least. None when
// even that is not enough.
std::optional<victims> fillersOn(const task_step &step, const job_record &job,
                                 const worker_record &worker, bool alsoBatch)
{
    std::vector<std::pair<double, task_ref>> offered;
    auto room = worker.free();
    for (const auto &ref : worker.tasks) {
        const auto &task = ref.job->tasks[ref.index];
        if (task.phase == task_phase::Stopping)
            room += task.held;
        else if (task.backfill)
            offered.emplace_back(0, ref);
        else if (mayPreempt(step, job, ref) || (alsoBatch && givesWay(step, job, ref)))
            offered.emplace_back(lostWork(step, ref), ref);
    }
    std::stable_sort(offered.begin(), offered.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    victims chosen;
    for (const auto &[cost, ref] : offered) {
        if (worker.claimed.fitsIn(room))
            break;
        room += ref.job->tasks[ref.index].held;
        chosen.tasks.push_back(ref);
    }
    if (!worker.claimed.fitsIn(room))
        return std::nullopt;
    return chosen;
}

void startClaimed(task_step &step, job_record &job)
{
    offers arranged;
    for (const auto worker : job.claimedWorkers)
        arranged.push_back({worker, claimedOn(job, step.ledger.worker(worker)), 0});
    step.ledger.dropClaims(job);
    startOn(step, job, arranged);
}

void giveUp(task_step &step, job_record &job)
{
    const auto workers = job.claimedWorkers;
    step.ledger.dropClaims(job);
    job.nextAttempt = step.now + step.limits.reservationYield;
    for (const auto worker : workers)
        offerWorker(step, worker);
}

// Stops what still runs in the claimed room, when that is all that is missing.
bool stopFillers(task_step &step, const job_record &job, bool alsoBatch)
{
    victims fillers;
    for (const auto at : job.claimedWorkers) {
        const auto &worker = step.ledger.worker(at);
        if (isFull(worker))
            continue;
        const auto chosen = fillersOn(step, job, worker, alsoBatch);
        if (!chosen)
            return false;
        fillers.tasks.insert(fillers.tasks.end(), chosen->tasks.begin(), chosen->tasks.end());
    }
    stopVictims(step, job, fillers);
    return true;
}

} // namespace

bool startTogether(task_step &step, job_record &job)
{
    const auto need = tasksTogether(job);
    if (need == 0 || !mayStart(step, job))
        return false;
    auto offered = offersNow(step, job);
    if (sum(offered) < need)
        return false;
    const auto arranged = arrange(step, job, std::move(offered), need);
    if (sum(arranged) < need)
        return false;
    startOn(step, job, arranged);
    return true;
}

bool reserve(task_step &step, job_record &job)
{
    const auto need = tasksTogether(job);
    if (need == 0 || !mayStart(step, job))
        return false;
    auto offered = offersLater(step, job);
    if (sum(offered) < need)
        return false;
    std::stable_sort(offered.begin(), offered.end(),
                     [](const auto &left, const auto &right) { return left.rank < right.rank; });
    const auto arranged = arrange(step, job, std::move(offered), need);
    if (sum(arranged) < need)
        return false;
    auto missing = static_cast<std::uint32_t>(need);
    for (const auto &offer : arranged) {
        const auto taken = std::min(missing, offer.copies);
        if (taken > 0)
            step.ledger.addClaim(job, offer.worker, taken);
        missing -= taken;
    }
    job.reserving = true;
    job.reservedAt = step.now;
    job.nextReview = step.now;
    return true;
}

void reviewReservation(task_step &step, job_record &job)
{
    const auto full = [&](std::uint32_t at) { return isFull(step.ledger.worker(at)); };
    if (std::all_of(job.claimedWorkers.begin(), job.claimedWorkers.end(), full))
        return startClaimed(step, job);
    if (step.now < job.nextReview)
        return;
    job.nextReview = step.now + reviewPause;
    const bool patient = step.now < job.reservedAt + step.limits.reservationYield;
    const bool alsoBatch = !patient || job.level == work_level::Urgent;
    if (stopFillers(step, job, alsoBatch))
        job.filling = true;
    else if (step.now >= job.reservedAt + step.limits.reservationPatience)
        giveUp(step, job);
}

} // namespace plantaingap::decision
