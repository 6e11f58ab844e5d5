#include "process/child_process.h"

#include "support/http_client.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace plantaingap::test {

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments)
{
    std::array<int, 2> ends {};
    REQUIRE(pipe2(ends.data(), O_CLOEXEC) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::string path = std::string(PLANTAINGAP_PROGRAMS) + "/" + program;
    std::vector<std::string> words = arguments;
    std::vector<char *> argv = {path.data()};
    for (auto &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    const int failed = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    m_output = ends[0];
    REQUIRE(failed == 0);
    readReadyLine();
}

child_process::~child_process()
{
    end();
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_ready(std::move(other.m_ready))
{ }

child_process &child_process::operator=(child_process &&other) noexcept
{
    end();
    m_pid = std::exchange(other.m_pid, -1);
    m_output = std::exchange(other.m_output, -1);
    m_ready = std::move(other.m_ready);
    return *this;
}

void child_process::readReadyLine()
{
    char next = 0;
    while (read(m_output, &next, 1) == 1 && next != '\n')
        m_ready.push_back(next);
    REQUIRE_MESSAGE(m_ready.starts_with("ready "), "no ready line: ", m_ready);
}

boost::asio::ip::tcp::endpoint child_process::address(const std::string &key) const
{
    const auto start = m_ready.find(" " + key + "=");
    REQUIRE(start != std::string::npos);
    const auto from = start + key.size() + 2;
    const auto text = m_ready.substr(from, m_ready.find(' ', from) - from);
    const auto endpoint = support::parseEndpoint(text);
    REQUIRE(endpoint.has_value());
    return *endpoint;
}

void child_process::signal(int number) const
{
    REQUIRE(m_pid > 0);
    kill(m_pid, number);
}

int child_process::wait()
{
    REQUIRE(m_pid > 0);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

std::string child_process::rest()
{
    std::string text;
    std::array<char, 4096> chunk {};
    ssize_t got = 0;
    while ((got = read(m_output, chunk.data(), chunk.size())) > 0)
        text.append(chunk.data(), static_cast<std::size_t>(got));
    return text;
}

void child_process::end()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    if (m_output >= 0)
        close(m_output);
    m_output = -1;
}

temporary_file::temporary_file(const std::string &text)
    : m_path("/tmp/plantaingap-test-XXXXXX")
{
    const int file = mkstemp(m_path.data());
    REQUIRE(file >= 0);
    REQUIRE(write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    close(file);
}

temporary_file::~temporary_file()
{
    unlink(m_path.c_str());
}

} // namespace plantaingap::test
