/// Pacing of broken streams that are prefilled again.

#include "config.h"
#include "shallotford/placement.h"

namespace shallotford {

void
PaceResume(TimePoint aNow,
           TimePoint aBrokenAt,
           std::uint64_t aSpread,
           PlacementRequest& aRequest)
{
  // It takes at most half of the time to first token that a new one may.
  aRequest.m_receivedAt = aNow - aRequest.m_service->m_targets.m_firstToken / 2;
  const auto spread = kResumeSpread * (aSpread % kResumeSpreadParts) /
                      std::int64_t(kResumeSpreadParts);
  aRequest.m_mustRun = aNow >= aBrokenAt + kResumePatience + spread;
}

} // namespace shallotford
