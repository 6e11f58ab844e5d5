#include "scenario.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <cstdlib>
#include <iostream>

// case-runner NAME RECORD: plays one case; exits with 1 if the rule was broken, 0 if it held, 2 if
// the case could not run. TROUBLE=0 plays it without the disruption.
int main(int argc, char **argv)
{
    using namespace review;
    constexpr std::array<std::pair<std::string_view, scenario>, 2> scenarios {
        {{"failing-service", &failingService}, {"starting-service", &failuresAtStartOfTasks}}};
    if (argc != 3)
        return 2;
    const char *asked = std::getenv("TROUBLE");
    const bool trouble = asked == nullptr || std::string_view(asked) != "0";
    for (const auto &[name, play] : scenarios) {
        if (name != argv[1])
            continue;
        asio::io_context context(1);
        record log(argv[2]);
        auto result = verdict::NotRun;
        asio::co_spawn(context, play(context, log, trouble),
                       [&](const std::exception_ptr &fault, verdict found) {
                           if (fault)
                               log.write("the case could not run: a stand-in failed");
                           else
                               result = found;
                           context.stop();
                       });
        context.run();
        log.write("verdict " + std::to_string(static_cast<int>(result)));
        std::quick_exit(static_cast<int>(result));
    }
    std::cerr << "unknown case\n";
    return 2;
}
