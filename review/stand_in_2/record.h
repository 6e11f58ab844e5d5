#ifndef REVIEW_STAND_IN_2_RECORD_H
#define REVIEW_STAND_IN_2_RECORD_H

#include <chrono>
#include <fstream>
#include <string>

// The record of a case: one line for each thing that was sent, answered or run.
namespace review {

using steady_clock = std::chrono::steady_clock;

class record
{
public:
    explicit record(const std::string &file)
        : m_out(file)
        , m_start(steady_clock::now())
    { }

    double seconds() const
    {
        return std::chrono::duration<double>(steady_clock::now() - m_start).count();
    }

    void write(const std::string &line)
    {
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_out << time << line << '\n';
        m_out.flush();
    }

private:
    std::ofstream m_out;
    steady_clock::time_point m_start;
};

} // namespace review

#endif
