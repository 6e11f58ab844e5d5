#include "support/duty.h"

#include <pthread.h>

namespace plantaingap::support {

duty::duty(std::string name)
    : m_name(std::move(name))
    , m_guard(m_context.get_executor())
{ }

duty::~duty()
{
    stop();
}

void duty::start()
{
    m_thread = std::thread([this] { m_context.run(); });
    // The kernel takes 15 characters.
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, 15).c_str());
}

void duty::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace plantaingap::support
