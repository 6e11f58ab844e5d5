#ifndef PLANTAINGAP_SUPPORT_METRICS_H
#define PLANTAINGAP_SUPPORT_METRICS_H

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <map>
#include <plantaingap/time.h>
#include <string>
#include <string_view>

// Counters, gauges and histograms of time in the text format that the field's collectors read. One
// registry belongs to one thread; another thread asks that one for the text.
namespace plantaingap::support {

// Times from 10 µs to 100 s in 35 steps, five to a factor of ten; what lies outside is counted at
// the ends.
class time_histogram
{
public:
    time_histogram();

    void observe(duration span);
    // Appends the lines of one series.
    void write(std::string_view name, std::string_view labels, std::string &out) const;

private:
    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<log_axis>, storage> m_bins;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

class metrics
{
public:
    // Labels are written as they are, for example class="quick"; empty for none.
    std::uint64_t &counter(const std::string &name, const std::string &labels);
    std::int64_t &gauge(const std::string &name, const std::string &labels);
    time_histogram &histogram(const std::string &name, const std::string &labels);

    std::string text() const;

private:
    template<class Series>
    using family = std::map<std::string, std::map<std::string, Series>>;

    family<std::uint64_t> m_counters;
    family<std::int64_t> m_gauges;
    family<time_histogram> m_histograms;
};

} // namespace plantaingap::support

#endif
