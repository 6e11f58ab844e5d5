#ifndef PLANTAINGAP_PLATFORM_LIST_H
#define PLANTAINGAP_PLATFORM_LIST_H

#include <cstdint>
#include <plantaingap/resources.h>
#include <string>
#include <vector>

// The platform's list of instances and workers, by name. It lags behind the actual state.
namespace plantaingap {

struct listed_location
{
    std::string region;
    std::string dataCentre;
    std::string rack;
};

struct named_instance
{
    std::string name;
    bool leaving = false;
};

struct named_worker
{
    std::string name;
    // IP address and port of its HTTP interface.
    std::string address;
    listed_location location;
    // The service whose backend server it runs; empty for a worker that runs only tasks.
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    resources capacity;
    bool leaving = false;
};

struct platform_list
{
    // Increases with each change of the list.
    std::uint64_t revision = 0;
    std::vector<named_instance> instances;
    std::vector<named_worker> workers;
};

} // namespace plantaingap

#endif
