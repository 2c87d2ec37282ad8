/// Limits how fast broken streams are placed again, so that new requests still
/// find room.

#include "config.h"
#include "shallotford/placement.h"

namespace shallotford {

void
PaceResume(TimePoint aNow,
           TimePoint aBrokenAt,
           std::uint64_t aStreamKey,
           PlacementRequest& aRequest)
{
  // A resumed stream may use at most half of the first-token target, so it is
  // refused earlier than a new request.
  aRequest.m_receivedAt = aNow - aRequest.m_service->m_targets.m_firstToken / 2;
  const auto spread = kResumeForceSpread *
                      (aStreamKey % kResumeForceSpreadParts) /
                      std::int64_t(kResumeForceSpreadParts);
  aRequest.m_mustRun = aNow >= aBrokenAt + kResumeForceAfter + spread;
}

} // namespace shallotford
