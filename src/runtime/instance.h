#ifndef PLANTAINGAP_RUNTIME_INSTANCE_H
#define PLANTAINGAP_RUNTIME_INSTANCE_H

#include "operator/authentication.h"
#include "operator/settings.h"
#include "support/tls.h"

#include <memory>

namespace plantaingap::runtime {

// Where an instance can be reached, with the ports that were bound; empty for what it lacks.
struct instance_addresses
{
    std::string callers;
    std::string peers;
    std::string administration;
};

// What the files named in the settings hold: certificates, keys and tokens.
struct instance_security
{
    support::tls_context callers;
    support::tls_context administration;
    support::tls_context platform;
    operators::authenticator principals;
};

// Reads those files; everything that is wrong with them is told together.
boost::system::result<instance_security, findings>
loadSecurity(const operators::instance_settings &settings);

// One entry instance: a thread for each duty (callers, scheduling, workers, peers, control), joined
// by bounded rings. Create, start, stop and destroy it on one thread.
class instance
{
public:
    instance(operators::instance_settings settings, instance_security security);
    ~instance();

    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    // Binds the listeners and starts the duties.
    std::error_code start();

    const instance_addresses &addresses() const;

    // The planned stop of docs/STOPPING.md. True when everything was finished before the deadline.
    bool stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace plantaingap::runtime

#endif
