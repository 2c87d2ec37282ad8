#ifndef SHALLOTFORD_SRC_DAEMON_METRICS_H
#define SHALLOTFORD_SRC_DAEMON_METRICS_H

/// Counters and latency histograms of one worker, in Prometheus text form.

#include "shallotford/base.h"

#include <memory>
#include <string>

namespace shallotford {

/// Latencies of requests that the worker measures.
enum class Latency
{
  FirstToken, ///< from receipt to the first token sent to the caller
  PerToken,   ///< mean time between an answer's tokens
  Request,    ///< from receipt to the end of the request
  ReadDelay,  ///< from a request's arrival at this machine to its reading
  LoopDelay,  ///< of the router's periodic work, behind its time
};

class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Observe(Latency aWhat, Duration aValue);
  /// Adds to the counter NAME{LABELS}.
  /// @param aLabels  such as outcome="answered",run="yes"; may be empty
  void Count(const std::string& aName,
             const std::string& aLabels,
             std::uint64_t aBy = 1);
  /// Sets the gauge NAME{LABELS}.
  void Set(const std::string& aName, const std::string& aLabels, double aValue);
  /// Removes the gauge NAME with all labels.
  void Clear(const std::string& aName);
  /// Returns all metrics in the Prometheus text exposition format.
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_METRICS_H
