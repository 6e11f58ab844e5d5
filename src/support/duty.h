#ifndef PLANTAINGAP_SUPPORT_DUTY_H
#define PLANTAINGAP_SUPPORT_DUTY_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace plantaingap::support {

// One thread that runs one io_context: a duty of the process. It runs until stop().
class duty
{
public:
    explicit duty(std::string name);
    ~duty();

    duty(const duty &) = delete;
    duty &operator=(const duty &) = delete;

    boost::asio::io_context &context() { return m_context; }
    void start();
    // Ends the loop after the handler that runs now; joins the thread. May be called twice.
    void stop();

private:
    std::string m_name;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace plantaingap::support

#endif
