#ifndef PLANTAINGAP_TESTS_PROCESS_CHILD_PROCESS_H
#define PLANTAINGAP_TESTS_PROCESS_CHILD_PROCESS_H

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace plantaingap::test {

// A program of the build, run as a process of its own. It is killed when the object goes away,
// unless it has ended before. Its standard error goes to the test's, or to a file of its own.
class child_process
{
public:
    // Starts the program and waits for its ready line; the process ends with the test otherwise.
    child_process(const std::string &program, const std::vector<std::string> &arguments);
    ~child_process();

    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    // Where a listener was bound, by its key in the ready line: callers=127.0.0.1:4711.
    boost::asio::ip::tcp::endpoint address(const std::string &key) const;

    void signal(int number) const;
    // Waits for the end; the exit code, or minus the signal that ended it.
    int wait();
    // What it wrote to standard output after the ready line, up to its end.
    std::string rest();

private:
    void readReadyLine();
    void end();

    int m_pid = -1;
    int m_output = -1;
    std::string m_ready;
};

// A file with this text, removed at the end of the test.
class temporary_file
{
public:
    explicit temporary_file(const std::string &text);
    ~temporary_file();

    temporary_file(const temporary_file &) = delete;
    temporary_file &operator=(const temporary_file &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace plantaingap::test

#endif
