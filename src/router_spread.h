#ifndef SHALLOTFORD_SRC_ROUTER_SPREAD_H
#define SHALLOTFORD_SRC_ROUTER_SPREAD_H

/// Spreads reports to all VMs at a cost for each that doesn't grow with their
/// number: in each round a VM passes what is new to it on to a few others.

#include "shallotford/base.h"
#include "shallotford/rpc.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace shallotford {

/// One report. VMs that make the same report give it the same id.
struct SpreadReport
{
  std::string m_id;
  Json::Value m_call;
};

/// The reports that one VM passes on. Decides only; sends nothing.
class ReportSpread
{
public:
  /// @return false if the report was known already
  bool Add(const SpreadReport& aReport, TimePoint aNow);
  /// Returns the reports of the next round, at most kMaxReportsPerRound, those
  /// first that were passed on least.
  std::vector<SpreadReport> NextRound();
  bool IsKnown(const std::string& aId) const { return m_known.contains(aId); }
  /// Returns whether reports wait for another round.
  bool IsEmpty() const { return m_waiting.empty(); }
  void Expire(TimePoint aNow);

private:
  struct Waiting
  {
    SpreadReport m_report;
    std::uint32_t m_roundsLeft{ 0 };
  };
  std::deque<Waiting> m_waiting;
  std::unordered_map<std::string, TimePoint> m_known; ///< ids
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_SPREAD_H
