#include "stand_ins.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <sys/prctl.h>

// One program for all stand-ins and cases of this review: MODE ARGUMENT...
int main(int argc, char **argv)
{
    using mode = int (*)(const std::vector<std::string> &);
    const std::map<std::string, mode> modes {{"store", review::runStore},
                                             {"worker", review::runWorker},
                                             {"lost-leaders", review::runLostLeaders},
                                             {"hopeless-job", review::runHopelessJob},
                                             {"lasting-task", review::runLastingTask},
                                             {"cancelled-jobs", review::runCancelledJobs},
                                             {"other-kind", review::runOtherKind}};
    constexpr int couldNotRun = 2;
    std::signal(SIGPIPE, SIG_IGN);
    const auto found = argc > 1 ? modes.find(argv[1]) : modes.end();
    if (found == modes.end())
        return couldNotRun;
    try {
        return found->second({argv + 2, argv + argc});
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << '\n';
        return couldNotRun;
    }
}
