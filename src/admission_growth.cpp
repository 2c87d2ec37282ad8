/// Estimates how much memory an engine needs for what its requests generate.

#include "config.h"
#include "shallotford/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shallotford {

namespace {

/// Mean outputs that one request counts at most. Answers are up to 2.4 times
/// the mean, and estimates of them seldom more than 3 times off.
constexpr double kMaxOutputsOfOne = 8;
/// Tokens that it counts at most while no mean is known: more than the longest
/// answers that users state (12,000).
constexpr double kMaxUnknownOutput = 16'384;

} // namespace

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
  std::optional<double> mean = MeanOutput();
  double counted = std::min<double>(
    output, mean ? kMaxOutputsOfOne * *mean : kMaxUnknownOutput);
  if (m_addedAt == TimePoint{}) {
    m_addedAt = aNow; // the start value loses weight from the first request on
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
  m_tokens += counted;
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
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(tokens, kMost));
}

} // namespace shallotford
