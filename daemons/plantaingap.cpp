#include "operator/cli.h"
#include "platform/configuration_check.h"

#include <iostream>

// The operators' command line; its commands stand in src/operator/cli_*.cpp.
int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto code = plantaingap::operators::runCommandLine(
        arguments, std::cout, std::cerr, plantaingap::adapter::checkConfiguration);
    return static_cast<int>(code);
}
