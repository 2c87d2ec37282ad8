#ifndef SHALLOTFORD_ADMISSION_H
#define SHALLOTFORD_ADMISSION_H

/// Decisions about the memory of decode engines when it is scarce: how much of
/// it a request needs. Pure: time is passed in.

#include "shallotford/base.h"

#include <optional>

namespace shallotford {

/// A request that is about to reserve memory of an engine.
struct MemoryNeed
{
  std::uint32_t m_promptTokens{ 0 };
  std::uint32_t m_outputTokens{ 0 }; ///< upper bound
  double m_engineRequests{ 1 };      ///< of the engine, with this one
  std::uint32_t m_engineTokens{ 0 }; ///< that its memory holds; 0: not known
  bool m_isLate{ false };            ///< it can't be on time any more
};

/// How much memory an engine needs free beside a request's prompt: what its
/// requests generate until one of them ends and frees its own. That is about
/// the mean output of one request, however many run: of n requests one ends
/// after a n-th of a mean output, and each of the n generates that much. The
/// mean is learnt from what callers say of their requests.
class GrowthEstimate
{
public:
  /// @param aTypicalOutput  mean output in tokens to begin with; 0: not known
  explicit GrowthEstimate(double aTypicalOutput = 0);
  /// @param aHint   the caller's estimate of the output, if it gives one
  /// @param aBound  the most output; 0 if it isn't known
  void OnRequest(std::optional<std::uint32_t> aHint,
                 std::uint32_t aBound,
                 TimePoint aNow);
  /// Returns the mean output of a request in tokens, or nothing if too little
  /// is known.
  std::optional<double> MeanOutput() const;
  /// Returns the tokens to reserve. An engine that grants them has room for the
  /// request until another one ends.
  std::uint32_t TokensToReserve(const MemoryNeed& aNeed) const;

private:
  /// Sums over requests that lose weight with time.
  double m_tokens;
  double m_weight;
  TimePoint m_addedAt{};
};

} // namespace shallotford

#endif // SHALLOTFORD_ADMISSION_H
