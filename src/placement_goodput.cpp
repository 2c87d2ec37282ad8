/// Counters of goodput, wasted prefill tokens and cross-region bytes.

#include "shallotford/placement.h"

namespace shallotford {

bool
GoodputMeter::MeetsTargets(const RequestSample& aSample)
{
  if (!aSample.m_answered ||
      aSample.m_firstToken > aSample.m_targets.m_firstToken)
    return false;
  if (aSample.m_outputTokens < 2)
    return true;
  const std::uint32_t gaps = aSample.m_outputTokens - 1;
  return aSample.m_decoding <= aSample.m_targets.m_perToken * gaps;
}

void
GoodputMeter::OnEnded(const RequestSample& aSample)
{
  ++m_figures.m_ended;
  if (aSample.m_answered)
    ++m_figures.m_answered;
  if (MeetsTargets(aSample))
    ++m_figures.m_good;
}

void
GoodputMeter::OnPrefill(std::uint32_t aComputedTokens, bool aUsed)
{
  m_figures.m_prefillTokens += aComputedTokens;
  if (!aUsed)
    m_figures.m_wastedTokens += aComputedTokens;
}

void
GoodputMeter::OnTransfer(std::uint64_t aBytes, bool aCrossRegion)
{
  if (aCrossRegion)
    m_figures.m_crossRegionBytes += aBytes;
}

} // namespace shallotford
