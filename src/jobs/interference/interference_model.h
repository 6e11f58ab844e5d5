#ifndef PLANTAINGAP_JOBS_INTERFERENCE_INTERFERENCE_MODEL_H
#define PLANTAINGAP_JOBS_INTERFERENCE_INTERFERENCE_MODEL_H

#include "jobs/interference/run_window.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <plantaingap/time.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

// Learns which kinds of tasks slow each other down on a shared worker. It targets a fleet where a
// few pairs of kinds lose tens of percent, run lengths are declared with errors of a factor of two
// and workers differ in speed by a third.
namespace plantaingap::jobs {

// One run over a time in which the kinds beside it did not change.
struct run_observation
{
    // Number of its kind, and of those beside it; its own kind if another run of it was there.
    std::uint32_t kind = 0;
    kind_set beside = 0;
    // Distinguishes workers.
    std::uint64_t worker = 0;
    // Time for its progress relative to what is declared, or tail latency relative to its target.
    double slowness = 1;
    // Part of an independent sample: spans of one run share the error of its declaration, so that a
    // whole run counts as one.
    double weight = 1;
};

// What is known about a pair of kinds.
struct pair_estimate
{
    // By how much runs of the one kind take longer beside the other; 0.25 for a quarter.
    double slowDown = 0;
    double standardError = 0;
    // Runs of the recent past beside the other kind, and workers on which they were slower.
    double samples = 0;
    std::size_t workers = 0;
};

// A pair is kept apart from now on, or no longer.
struct interference_change
{
    bool found = false;
    // The kind that is slowed down, and the one beside it.
    std::string kind;
    std::string beside;
    pair_estimate estimate;
};

struct interference_counts
{
    std::uint64_t observations = 0;
    std::uint64_t found = 0;
    std::uint64_t gone = 0;
};

class interference_model
{
public:
    static constexpr std::size_t maxKinds = 64;
    static constexpr std::size_t maxPairs = 1024;

    // The number of a kind that is at work now; none if too many kinds are.
    std::optional<std::uint32_t> numberOf(std::string_view kind, time_point now);
    void observe(const run_observation &run, time_point now);
    // Decides which pairs are kept apart, and drops what is no longer needed. Called about once a
    // second, because a decision reads all sums of a pair and a fleet sends thousands of
    // observations in that time.
    void review(time_point now);
    // Kinds that must not share a worker with that kind where there is room.
    kind_set apartFrom(std::string_view kind) const;
    // The kind is in the set.
    bool contains(kind_set kinds, std::string_view kind) const;
    // None if the first was not observed beside the second.
    std::optional<pair_estimate> estimate(std::string_view kind, std::string_view beside,
                                          time_point now) const;
    // Returns and clears the changes since the last call.
    std::vector<interference_change> takeChanges() { return std::exchange(m_changes, {}); }

    const interference_counts &counts() const { return m_counts; }
    std::size_t kinds() const { return m_numbers.size(); }
    std::size_t pairs() const { return m_pairs.size(); }
    std::size_t pairsApart() const { return m_apartCount; }

private:
    // Weighted sums of logarithms that decay with time.
    struct decaying_sums
    {
        double weight = 0;
        double sum = 0;
        double squares = 0;
        time_point at {};

        void add(double value, double added, time_point now);
        void decay(time_point now);
        decaying_sums decayedTo(time_point now) const;
        double mean() const { return weight > 0 ? sum / weight : 0; }
        double variance() const;
    };

    struct worker_sums
    {
        std::uint64_t worker = 0;
        decaying_sums sums;
    };

    struct pair_sums
    {
        decaying_sums with;
        decaying_sums without;
        // Of `with`, by worker.
        std::vector<worker_sums> workers;
        bool apart = false;
    };

    struct kind_entry
    {
        std::string name;
        time_point seenAt {};
        decaying_sums all;
        // Kinds found to slow it down, and all that it is kept apart from.
        kind_set slowedBy = 0;
        kind_set apart = 0;
    };

    // The logarithm of the evidence about one pair.
    struct evidence
    {
        double difference = 0;
        double error = 0;
        double with = 0;
        double without = 0;
        std::size_t workers = 0;
    };

    using pair_key = std::pair<std::uint32_t, std::uint32_t>;

    static evidence evaluate(const pair_sums &pair, time_point now);
    static double workerError(const pair_sums &pair, double mean, time_point now);
    static pair_estimate estimateOf(const evidence &found);
    static void addWorker(pair_sums &pair, std::uint64_t worker, double value, double weight,
                          time_point now);
    pair_sums *findPair(pair_key key, const decaying_sums &before);
    void decide(pair_key key, pair_sums &pair, time_point now);
    void setApart(pair_key key, pair_sums &pair, bool apart, const pair_estimate &estimate);
    void updateApart();
    // Logarithm of the worker's slowness compared with others.
    double slownessOf(std::uint64_t worker, time_point now) const;
    void forgetKind(std::uint32_t number);

    std::array<kind_entry, maxKinds> m_kinds;
    std::map<std::string, std::uint32_t, std::less<>> m_numbers;
    std::map<pair_key, pair_sums> m_pairs;
    std::unordered_map<std::uint64_t, decaying_sums> m_workers;
    std::size_t m_apartCount = 0;
    std::vector<interference_change> m_changes;
    interference_counts m_counts;
};

} // namespace plantaingap::jobs

#endif
