#ifndef PLANTAINGAP_RUNTIME_INSTANCE_H
#define PLANTAINGAP_RUNTIME_INSTANCE_H

#include "runtime/instance_settings.h"

#include <memory>

namespace plantaingap::runtime {

// One entry instance: a thread for each duty (callers, scheduling, workers), joined by bounded
// rings. Create, start, and destroy it on one thread.
class instance
{
public:
    explicit instance(instance_settings settings);
    ~instance();

    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    // Binds the listeners and starts the duties.
    std::error_code start();

    // Where callers reach it, with the port that was bound.
    std::string callerAddress() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace plantaingap::runtime

#endif
