#include "support/metrics.h"

#include <boost/histogram/make_histogram.hpp>
#include <sstream>

namespace plantaingap::support {

namespace {

constexpr unsigned bins = 35;
constexpr double shortestSeconds = 1e-5;
constexpr double longestSeconds = 100;

std::string braced(std::string_view labels)
{
    return labels.empty() ? std::string() : "{" + std::string(labels) + "}";
}

void writeType(std::string_view name, std::string_view type, std::string &out)
{
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

template<class Families>
void writeNumbers(const Families &families, std::string_view type, std::string &out)
{
    for (const auto &[name, series] : families) {
        writeType(name, type, out);
        for (const auto &[labels, value] : series)
            out.append(name + braced(labels) + " " + std::to_string(value) + "\n");
    }
}

} // namespace

time_histogram::time_histogram()
    : m_bins(boost::histogram::make_histogram_with(storage {},
                                                   log_axis(bins, shortestSeconds, longestSeconds)))
{ }

void time_histogram::observe(duration span)
{
    const double seconds = std::chrono::duration<double>(span).count();
    m_bins(seconds);
    m_sum += seconds;
    ++m_count;
}

void time_histogram::write(std::string_view name, std::string_view labels, std::string &out) const
{
    const std::string prefix = labels.empty() ? "" : std::string(labels) + ",";
    std::uint64_t below = 0;
    std::ostringstream lines;
    // Bin -1 holds what is below the axis; what is above it is in the line for +Inf alone.
    below += m_bins.at(-1);
    for (int index = 0; index < static_cast<int>(bins); ++index) {
        below += m_bins.at(index);
        lines << name << "_bucket{" << prefix << "le=\"" << m_bins.axis().bin(index).upper()
              << "\"} " << below << "\n";
    }
    lines << name << "_bucket{" << prefix << "le=\"+Inf\"} " << m_count << "\n";
    lines << name << "_sum" << braced(labels) << " " << m_sum << "\n";
    lines << name << "_count" << braced(labels) << " " << m_count << "\n";
    out.append(lines.str());
}

std::uint64_t &metrics::counter(const std::string &name, const std::string &labels)
{
    return m_counters[name][labels];
}

std::int64_t &metrics::gauge(const std::string &name, const std::string &labels)
{
    return m_gauges[name][labels];
}

time_histogram &metrics::histogram(const std::string &name, const std::string &labels)
{
    return m_histograms[name][labels];
}

std::string metrics::text() const
{
    std::string out;
    writeNumbers(m_counters, "counter", out);
    writeNumbers(m_gauges, "gauge", out);
    for (const auto &[name, series] : m_histograms) {
        writeType(name, "histogram", out);
        for (const auto &[labels, histogram] : series)
            histogram.write(name, labels, out);
    }
    return out;
}

} // namespace plantaingap::support
