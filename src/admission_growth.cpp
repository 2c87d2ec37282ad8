/// Estimates how much memory an engine needs for what its requests generate.

#include "config.h"
#include "shallotford/admission.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

GrowthEstimate::GrowthEstimate(double aTypicalOutput)
  : m_tokens(aTypicalOutput * kTypicalOutputWeight)
  , m_weight(aTypicalOutput > 0 ? kTypicalOutputWeight : 0)
{
}

void
GrowthEstimate::OnRequest(std::optional<std::uint32_t> aHint,
                          std::uint32_t aBound,
                          TimePoint aNow)
{
  std::uint32_t output = aHint.value_or(aBound);
  if (aBound > 0) {
    output = std::min(output, aBound);
  }
  if (output == 0) {
    return;
  }
  using Seconds = std::chrono::duration<double>;
  double keep =
    std::exp2(-Seconds(aNow - m_addedAt) / Seconds(kOutputHalfLife));
  // After a long pause one request doesn't replace all that is known.
  double keepAtLeast = std::min(1.0, kMinOutputWeight / m_weight);
  if (m_weight > 0) {
    keep = std::max(keep, keepAtLeast);
    m_tokens *= keep;
    m_weight *= keep;
  }
  m_tokens += output;
  m_weight += 1;
  m_addedAt = aNow;
}

std::optional<double>
GrowthEstimate::MeanOutput() const
{
  if (m_weight < kMinOutputWeight) {
    return std::nullopt;
  }
  return m_tokens / m_weight;
}

std::uint32_t
GrowthEstimate::TokensToReserve(const MemoryNeed& aNeed) const
{
  std::optional<double> mean = MeanOutput();
  double growth =
    mean ? kGrowthOutputs * *mean
         : std::max(kMinGrowthTokens,
                    kGrowthTokensPerRequest * aNeed.m_engineRequests);
  double extra =
    mean ? kLateRequestExtraOutputs * *mean : double{ kLateRequestExtraTokens };
  double tokens = aNeed.m_promptTokens +
                  std::min<double>(aNeed.m_outputTokens, growth) +
                  (aNeed.m_isLate ? extra : 0);
  if (mean && aNeed.m_engineTokens > 0) {
    // No engine ever has more free while it serves others.
    double most = std::max<double>(aNeed.m_promptTokens,
                                   kMaxReservedShare * aNeed.m_engineTokens);
    tokens = std::min(tokens, most);
  }
  return static_cast<std::uint32_t>(tokens);
}

} // namespace shallotford
