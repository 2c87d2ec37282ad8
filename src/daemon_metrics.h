#ifndef SHALLOTFORD_SRC_DAEMON_METRICS_H
#define SHALLOTFORD_SRC_DAEMON_METRICS_H

/// Counters and latency histograms of one worker, in Prometheus text form.

#include "shallotford/base.h"

#include <memory>
#include <string>

namespace shallotford {

/// What the worker times.
enum class Latency
{
  FirstToken, ///< receipt to the first token given to the caller
  PerToken,   ///< mean time between an answer's tokens
  Request,    ///< receipt to the end
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
  /// Returns all of it in the Prometheus text exposition format.
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_METRICS_H
