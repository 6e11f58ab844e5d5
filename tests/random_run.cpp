#include "matrix/coordination_world.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

// Long randomised runs of ownership and leases. A run is determined by its seed, so
// `random-run --seed N --count 1` replays run N exactly. Exits with 1 at the first violated
// invariant.
int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("Runs the coordination state machines under random faults");
    options.add_options()("help", "show this help")(
        "seed", po::value<std::uint64_t>()->default_value(1), "seed of the first run")(
        "count", po::value<std::uint64_t>()->default_value(100),
        "maximum number of runs, 0 for no limit")("minutes", po::value<double>()->default_value(0),
                                                  "maximum duration in minutes, 0 for no limit")(
        "seconds", po::value<int>()->default_value(100), "virtual time of each run in seconds");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    const auto first = values["seed"].as<std::uint64_t>();
    const auto count = values["count"].as<std::uint64_t>();
    const auto minutes = values["minutes"].as<double>();
    const auto started = std::chrono::steady_clock::now();
    const auto timeIsUp = [&] {
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - started;
        return minutes > 0 && passed.count() >= minutes * 60;
    };
    std::uint64_t steps = 0;
    std::uint64_t runs = 0;
    for (; (count == 0 || runs < count) && !timeIsUp(); ++runs) {
        plantaingap::matrix::coordination_world world(first + runs);
        const auto result = world.runRandom(std::chrono::seconds(values["seconds"].as<int>()));
        steps += result.steps;
        if (!result.violatedInvariant.empty()) {
            std::printf("event=random.broken seed=%llu invariant=\"%s\"\n",
                        static_cast<unsigned long long>(first + runs),
                        result.violatedInvariant.c_str());
            return 1;
        }
    }
    std::printf("event=random.done first_seed=%llu runs=%llu steps=%llu broken=0\n",
                static_cast<unsigned long long>(first), static_cast<unsigned long long>(runs),
                static_cast<unsigned long long>(steps));
    return 0;
}
