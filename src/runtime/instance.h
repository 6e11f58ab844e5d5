#ifndef PLANTAINGAP_RUNTIME_INSTANCE_H
#define PLANTAINGAP_RUNTIME_INSTANCE_H

#include "runtime/instance_settings.h"

#include <memory>

namespace plantaingap::runtime {

// Where an instance can be reached, with the ports that were bound; empty for what it lacks.
struct instance_addresses
{
    std::string callers;
    std::string peers;
};

// One entry instance: a thread for each duty (callers, scheduling, workers, peers, control), joined
// by bounded rings. Create, start, stop and destroy it on one thread.
class instance
{
public:
    explicit instance(instance_settings settings);
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
