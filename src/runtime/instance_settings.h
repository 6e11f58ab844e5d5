#ifndef PLANTAINGAP_RUNTIME_INSTANCE_SETTINGS_H
#define PLANTAINGAP_RUNTIME_INSTANCE_SETTINGS_H

#include <cstdint>
#include <plantaingap/result.h>
#include <string>
#include <string_view>
#include <vector>

namespace plantaingap::runtime {

struct peer_settings
{
    std::string name;
    // IP number and port, as all addresses here.
    std::string address;
    std::string region;
};

struct worker_settings
{
    std::string name;
    std::string address;
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::string rack;
    std::string dataCentre;
    std::string region;
};

// What one entry instance is told at its start.
struct instance_settings
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string callerListen;
    std::string adminListen;
    std::string peerListen;
    std::vector<peer_settings> peers;
    // Base address of the platform; empty when the workers are listed here.
    std::string platform;
    std::vector<worker_settings> workers;
    std::vector<std::string> services;
};

// Reads JSON with comments. Keys are checked by the operator package, not here: an unknown key is
// passed over. errc::InvalidConfiguration when it is no JSON or a needed key is missing.
result<instance_settings> readInstanceSettings(std::string_view text);

} // namespace plantaingap::runtime

#endif
