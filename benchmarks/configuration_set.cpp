#include "operator/configuration_set.h"
#include "operator/configuration_difference.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

// What a change of the configuration costs at the size of the target: 290 teams, 1,000 services and
// 10,000 declared jobs, of which one changes. Prints the median of some rounds.

using namespace plantaingap;
using namespace plantaingap::operators;

namespace {

constexpr int teams = 290;
constexpr int services = 1000;
constexpr int jobs = 10'000;
constexpr int rounds = 11;

configuration targetSize()
{
    configuration declared;
    for (int i = 0; i < teams; ++i)
        declared.teams.push_back({"team-" + std::to_string(i), {64'000, 131'072, 4}, {"desk"}});
    for (int i = 0; i < services; ++i) {
        auto &service = declared.services.emplace_back();
        service.name = "service-" + std::to_string(i);
        service.kinds.emplace_back().name = "quick";
    }
    for (int i = 0; i < jobs; ++i) {
        auto &job = declared.jobs.emplace_back();
        job.name = "job-" + std::to_string(i);
        job.team = "team-" + std::to_string(i % teams);
        job.perTask = {1000, 1024, 0};
    }
    return declared;
}

template<class Work>
void measure(const std::string &name, Work work)
{
    std::vector<std::int64_t> times;
    for (int i = 0; i < rounds; ++i) {
        const auto start = std::chrono::steady_clock::now();
        work();
        const auto taken = std::chrono::steady_clock::now() - start;
        times.push_back(std::chrono::duration_cast<std::chrono::microseconds>(taken).count());
    }
    std::ranges::sort(times);
    std::cout << name << ": median " << times[rounds / 2] << " us, worst " << times.back()
              << " us\n";
}

} // namespace

int main()
{
    const auto before = makeSet(targetSize());
    auto changed = before.declared;
    changed.jobs[jobs / 2].tasks = 7;
    const auto after = makeSet(std::move(changed));
    const auto text = canonicalText(before.declared);
    const auto difference = differenceOf(before, after);
    std::cout << "set: " << text.size()
              << " bytes; difference of one job: " << differenceText(difference).size()
              << " bytes\n";
    bool sound = true;
    measure("read and check the set", [&] { sound = sound && parseSet("set", text).has_value(); });
    measure("make the difference",
            [&] { sound = sound && differenceOf(before, after).to == after.digest; });
    measure("apply the difference",
            [&] { sound = sound && applyDifference(before, difference).has_value(); });
    std::cout << (sound ? "sound\n" : "NOT SOUND\n");
    return sound ? 0 : 1;
}
