/// ReportSpread: which reports a VM passes on in a round.

#include "router_spread.h"

#include "config.h"

namespace shallotford {

bool
ReportSpread::Add(const SpreadReport& aReport, TimePoint aNow)
{
  if (!m_known.emplace(aReport.m_id, aNow).second) {
    return false;
  }
  m_waiting.push_back(
    { .m_report = aReport, .m_roundsLeft = kRoundsPerReport });
  if (m_waiting.size() > kMaxWaitingReports) {
    m_waiting.pop_front();
  }
  return true;
}

std::vector<SpreadReport>
ReportSpread::NextRound()
{
  std::vector<SpreadReport> round;
  std::size_t count = std::min(m_waiting.size(), kMaxReportsPerRound);
  for (std::size_t i = 0; i < count; ++i) {
    Waiting next = std::move(m_waiting.front());
    m_waiting.pop_front();
    round.push_back(next.m_report);
    if (--next.m_roundsLeft > 0) {
      m_waiting.push_back(std::move(next));
    }
  }
  return round;
}

void
ReportSpread::Expire(TimePoint aNow)
{
  std::erase_if(m_known, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kReportMemory;
  });
}

} // namespace shallotford
