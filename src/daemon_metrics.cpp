/// Counters and latency histograms of one worker, in Prometheus text form.

#include "daemon_metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <sstream>

namespace shallotford {

namespace {

namespace bh = boost::histogram;

constexpr std::string_view kPrefix = "shallotford_";
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr unsigned kHistogramBins = 60;
/// Bounds of the histograms of latencies. Their bins grow by a constant factor.
constexpr double kMinLatencyMicroseconds = 100;
constexpr double kMaxLatencyMicroseconds = 100e6;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram =
  decltype(bh::make_histogram(LogAxis(kHistogramBins, 1.0, 2.0)));

LatencyHistogram
MakeLatencyHistogram()
{
  return bh::make_histogram(
    LogAxis(kHistogramBins, kMinLatencyMicroseconds, kMaxLatencyMicroseconds));
}

struct Series
{
  LatencyHistogram m_histogram{ MakeLatencyHistogram() };
  double m_sum{ 0 }; ///< microseconds
  std::uint64_t m_count{ 0 };
};

constexpr std::array<std::string_view, 5> kLatencyNames = {
  "first_token_seconds", "per_token_seconds",  "request_seconds",
  "read_delay_seconds",  "loop_delay_seconds",
};

using Labelled = std::map<std::string, std::map<std::string, double>>;

std::string
WithLabels(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

void
WriteLabelled(std::ostream& aOut, const Labelled& aValues, const char* aType)
{
  for (const auto& [name, byLabels] : aValues) {
    aOut << "# TYPE " << kPrefix << name << ' ' << aType << '\n';
    for (const auto& [labels, value] : byLabels) {
      aOut << kPrefix << name << WithLabels(labels) << ' ' << value << '\n';
    }
  }
}

void
WriteHistogram(std::ostream& aOut,
               std::string_view aName,
               const Series& aSeries)
{
  aOut << "# TYPE " << kPrefix << aName << " histogram\n";
  const auto& axis = aSeries.m_histogram.axis(0);
  double cumulative = aSeries.m_histogram.at(-1);
  for (int bin = 0; bin < axis.size(); ++bin) {
    cumulative += aSeries.m_histogram.at(bin);
    double upper = axis.bin(bin).upper() / kMicrosecondsPerSecond;
    aOut << kPrefix << aName << "_bucket{le=\"" << upper << "\"} " << cumulative
         << '\n';
  }
  aOut << kPrefix << aName << "_bucket{le=\"+Inf\"} " << aSeries.m_count
       << '\n';
  aOut << kPrefix << aName << "_sum " << aSeries.m_sum / kMicrosecondsPerSecond
       << '\n';
  aOut << kPrefix << aName << "_count " << aSeries.m_count << '\n';
}

} // namespace

struct Metrics::State
{
  std::array<Series, kLatencyNames.size()> m_latencies;
  Labelled m_counters;
  Labelled m_gauges;
};

Metrics::Metrics()
  : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Observe(Latency aWhat, Duration aValue)
{
  Series& series = m_state->m_latencies.at(static_cast<std::size_t>(aWhat));
  double microseconds =
    std::chrono::duration<double, std::micro>(aValue).count();
  series.m_histogram(microseconds);
  series.m_sum += microseconds;
  ++series.m_count;
}

void
Metrics::Count(const std::string& aName,
               const std::string& aLabels,
               std::uint64_t aBy)
{
  m_state->m_counters[aName][aLabels] += static_cast<double>(aBy);
}

void
Metrics::Set(const std::string& aName,
             const std::string& aLabels,
             double aValue)
{
  m_state->m_gauges[aName][aLabels] = aValue;
}

void
Metrics::Clear(const std::string& aName)
{
  m_state->m_gauges.erase(aName);
}

std::string
Metrics::Text() const
{
  std::ostringstream out;
  out.precision(12);
  WriteLabelled(out, m_state->m_counters, "counter");
  WriteLabelled(out, m_state->m_gauges, "gauge");
  for (std::size_t i = 0; i < kLatencyNames.size(); ++i) {
    WriteHistogram(out, kLatencyNames.at(i), m_state->m_latencies.at(i));
  }
  return out.str();
}

} // namespace shallotford
