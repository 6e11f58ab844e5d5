#include "jobs/interference/interference_model.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// Amounts change within minutes, so older evidence counts less.
constexpr std::chrono::duration<double> halfLife {60};
// A slow-down above the first separates a pair; one below the second ends it. What is between would
// alternate with each report.
constexpr double foundSlowDown = 0.10;
constexpr double goneSlowDown = 0.05;
// The same in standard errors.
constexpr double foundErrors = 3.0;
constexpr double goneErrors = 1.5;
constexpr std::size_t minWorkers = 3;
// The variance of fewer runs on either side is too uncertain for a decision.
constexpr double minRuns = 10;
// Fewer runs beside the other kind are left of a pair that has been kept apart for minutes; it is
// let go, so that a change of the kinds is noticed.
constexpr double goneRuns = 1;
// Runs of a worker that tell as much about it as the assumption that it is like all others.
constexpr double priorRuns = 4;
// Least standard deviation of the logarithms. Reports in whole percents are no more exact.
constexpr double minDeviation = 0.05;
// Limits a single observation, so that one wrong declaration has little weight.
constexpr double maxSlowness = 30;
// A worker tells about a pair from this weight on.
constexpr double minWorkerWeight = 0.3;
constexpr std::size_t maxWorkersOfPair = 24;
constexpr std::size_t maxWorkers = 4096;
// A kind that was not at work for so long gives up its number; its evidence has decayed to a
// thirtieth.
constexpr duration kindRetention = std::chrono::minutes(5);
// Pairs and workers are dropped below this weight.
constexpr double negligibleWeight = 0.02;

kind_set setOf(std::uint32_t number)
{
    return kind_set {1} << number;
}

} // namespace

void interference_model::decaying_sums::decay(time_point now)
{
    if (now <= at)
        return;
    const auto factor = std::exp2(-(std::chrono::duration<double>(now - at) / halfLife));
    weight *= factor;
    sum *= factor;
    squares *= factor;
    at = now;
}

void interference_model::decaying_sums::add(double value, double added, time_point now)
{
    decay(now);
    weight += added;
    sum += value * added;
    squares += value * value * added;
}

interference_model::decaying_sums interference_model::decaying_sums::decayedTo(time_point now) const
{
    auto copy = *this;
    copy.decay(now);
    return copy;
}

// Without a correction for few runs: the weight decays, and a correction by it would let the
// variance grow without bound as evidence becomes old.
double interference_model::decaying_sums::variance() const
{
    if (weight <= 0)
        return 0;
    const auto average = mean();
    return std::max(squares / weight - average * average, 0.0);
}

std::optional<std::uint32_t> interference_model::numberOf(std::string_view kind, time_point now)
{
    if (const auto found = m_numbers.find(kind); found != m_numbers.end()) {
        m_kinds[found->second].seenAt = now;
        return found->second;
    }
    const auto unused =
        std::ranges::find_if(m_kinds, [](const auto &entry) { return entry.name.empty(); });
    if (unused == m_kinds.end() || kind.empty())
        return std::nullopt;
    unused->name = kind;
    unused->seenAt = now;
    const auto number = static_cast<std::uint32_t>(unused - m_kinds.begin());
    m_numbers.emplace(kind, number);
    return number;
}

double interference_model::slownessOf(std::uint64_t worker, time_point now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return 0;
    const auto sums = found->second.decayedTo(now);
    return sums.sum / (sums.weight + priorRuns);
}

void interference_model::observe(const run_observation &run, time_point now)
{
    ++m_counts.observations;
    auto &kind = m_kinds[run.kind];
    const auto measured = std::log(std::clamp(run.slowness, 1 / maxSlowness, maxSlowness));
    const auto value = measured - slownessOf(run.worker, now);
    const auto before = kind.all.decayedTo(now);
    // A run beside a kind that slows it down says nothing about its worker.
    const bool disturbed = (run.beside & kind.slowedBy) != 0;
    if (!disturbed && before.weight >= minRuns
        && (m_workers.contains(run.worker) || m_workers.size() < maxWorkers))
        m_workers[run.worker].add(measured - before.mean(), run.weight, now);
    for (std::uint32_t other = 0; other < maxKinds; ++other) {
        const auto bit = setOf(other);
        const bool with = (run.beside & bit) != 0;
        const pair_key key {run.kind, other};
        auto found = m_pairs.find(key);
        if (found == m_pairs.end() && !with)
            continue;
        // The slow-down by a known kind must not be attributed to others that are there too.
        if ((run.beside & kind.slowedBy & ~bit) != 0)
            continue;
        auto *pair = found == m_pairs.end() ? findPair(key, before) : &found->second;
        if (!pair)
            continue;
        if (with) {
            pair->with.add(value, run.weight, now);
            addWorker(*pair, run.worker, value, run.weight, now);
        } else {
            pair->without.add(value, run.weight, now);
        }
    }
    // As the start of pairs that are first seen later.
    if (!disturbed)
        kind.all.add(value, run.weight, now);
}

interference_model::pair_sums *interference_model::findPair(pair_key key,
                                                            const decaying_sums &before)
{
    if (m_pairs.size() >= maxPairs)
        return nullptr;
    auto &pair = m_pairs[key];
    pair.without = before;
    return &pair;
}

void interference_model::addWorker(pair_sums &pair, std::uint64_t worker, double value,
                                   double weight, time_point now)
{
    auto found = std::ranges::find(pair.workers, worker, &worker_sums::worker);
    if (found == pair.workers.end()) {
        if (pair.workers.size() >= maxWorkersOfPair) {
            std::erase_if(pair.workers, [now](const worker_sums &entry) {
                return entry.sums.decayedTo(now).weight < negligibleWeight;
            });
        }
        if (pair.workers.size() >= maxWorkersOfPair)
            return;
        pair.workers.push_back({worker, {}});
        found = pair.workers.end() - 1;
    }
    found->sums.add(value, weight, now);
}

// Standard error from the spread between workers, which is greater than that between runs where
// workers differ in a way that their speed does not explain. The runs without the other kind are
// not summed by worker and are taken to vary as much.
double interference_model::workerError(const pair_sums &pair, double mean, time_point now)
{
    double total = 0;
    double squares = 0;
    std::size_t count = 0;
    for (const auto &entry : pair.workers) {
        const auto sums = entry.sums.decayedTo(now);
        if (sums.weight <= 0)
            continue;
        const auto deviation = sums.sum - mean * sums.weight;
        total += sums.weight;
        squares += deviation * deviation;
        ++count;
    }
    if (count < 2 || total <= 0)
        return 0;
    const auto n = static_cast<double>(count);
    return std::sqrt(2 * squares * n / (n - 1)) / total;
}

interference_model::evidence interference_model::evaluate(const pair_sums &pair, time_point now)
{
    const auto with = pair.with.decayedTo(now);
    const auto without = pair.without.decayedTo(now);
    evidence found;
    found.with = with.weight;
    found.without = without.weight;
    if (with.weight <= 0 || without.weight <= 0)
        return found;
    found.difference = with.mean() - without.mean();
    const auto both = with.weight + without.weight;
    // The variance of few runs may be small by chance, so neither side counts below the common one.
    const auto pooled =
        std::max((with.variance() * with.weight + without.variance() * without.weight) / both,
                 minDeviation * minDeviation);
    const auto runError = std::sqrt(std::max(with.variance(), pooled) / with.weight
                                    + std::max(without.variance(), pooled) / without.weight);
    found.error = std::max(runError, workerError(pair, with.mean(), now));
    const auto noticeable = without.mean() + std::log1p(goneSlowDown);
    for (const auto &entry : pair.workers) {
        const auto sums = entry.sums.decayedTo(now);
        if (sums.weight >= minWorkerWeight && sums.mean() > noticeable)
            ++found.workers;
    }
    return found;
}

void interference_model::decide(pair_key key, pair_sums &pair, time_point now)
{
    const auto found = evaluate(pair, now);
    const auto told = estimateOf(found);
    if (!pair.apart) {
        if (found.with >= minRuns && found.without >= minRuns && found.workers >= minWorkers
            && told.slowDown > foundSlowDown && told.slowDown > foundErrors * told.standardError)
            setApart(key, pair, true, told);
        return;
    }
    if (found.with < goneRuns || told.slowDown < goneSlowDown
        || told.slowDown < goneErrors * told.standardError)
        setApart(key, pair, false, told);
}

void interference_model::setApart(pair_key key, pair_sums &pair, bool apart,
                                  const pair_estimate &estimate)
{
    pair.apart = apart;
    ++(apart ? m_counts.found : m_counts.gone);
    m_changes.push_back({apart, m_kinds[key.first].name, m_kinds[key.second].name, estimate});
    updateApart();
}

void interference_model::updateApart()
{
    m_apartCount = 0;
    for (auto &kind : m_kinds) {
        kind.slowedBy = 0;
        kind.apart = 0;
    }
    for (const auto &[key, pair] : m_pairs) {
        if (!pair.apart)
            continue;
        ++m_apartCount;
        m_kinds[key.first].slowedBy |= setOf(key.second);
        m_kinds[key.first].apart |= setOf(key.second);
        m_kinds[key.second].apart |= setOf(key.first);
    }
}

pair_estimate interference_model::estimateOf(const evidence &found)
{
    const auto factor = std::exp(found.difference);
    return {factor - 1, factor * found.error, found.with, found.workers};
}

std::optional<pair_estimate>
interference_model::estimate(std::string_view kind, std::string_view beside, time_point now) const
{
    const auto first = m_numbers.find(kind);
    const auto second = m_numbers.find(beside);
    if (first == m_numbers.end() || second == m_numbers.end())
        return std::nullopt;
    const auto found = m_pairs.find({first->second, second->second});
    if (found == m_pairs.end())
        return std::nullopt;
    return estimateOf(evaluate(found->second, now));
}

kind_set interference_model::apartFrom(std::string_view kind) const
{
    if (m_apartCount == 0)
        return 0;
    const auto found = m_numbers.find(kind);
    return found == m_numbers.end() ? 0 : m_kinds[found->second].apart;
}

bool interference_model::contains(kind_set kinds, std::string_view kind) const
{
    const auto found = m_numbers.find(kind);
    return found != m_numbers.end() && (kinds & setOf(found->second)) != 0;
}

void interference_model::forgetKind(std::uint32_t number)
{
    std::erase_if(m_pairs, [number](const auto &entry) {
        return entry.first.first == number || entry.first.second == number;
    });
    m_numbers.erase(m_kinds[number].name);
    m_kinds[number] = {};
}

void interference_model::review(time_point now)
{
    for (auto &[key, pair] : m_pairs)
        decide(key, pair, now);
    std::erase_if(m_pairs, [now](const auto &entry) {
        return !entry.second.apart && entry.second.with.decayedTo(now).weight < negligibleWeight;
    });
    std::erase_if(m_workers, [now](const auto &entry) {
        return entry.second.decayedTo(now).weight < negligibleWeight;
    });
    for (std::uint32_t number = 0; number < maxKinds; ++number) {
        const auto &kind = m_kinds[number];
        if (!kind.name.empty() && now - kind.seenAt > kindRetention && kind.apart == 0)
            forgetKind(number);
    }
}

} // namespace plantaingap::jobs
