#ifndef SHALLOTFORD_SRC_PLACEMENT_HINTS_H
#define SHALLOTFORD_SRC_PLACEMENT_HINTS_H

/// Prefix hints: which engine probably caches which prompt prefix, as learnt
/// from cache events and from prefills of this VM.

#include "shallotford/placement.h"

namespace shallotford {

/// Hints of cached prefixes, bounded in number and age. They may be wrong,
/// because cache events come late and some are lost, evictions among them.
class PrefixHints
{
public:
  void Store(TimePoint aNow,
             std::uint32_t aEngine,
             PrefixKey aPrefix,
             std::uint32_t aTokens);
  void Evict(std::uint32_t aEngine, PrefixKey aPrefix);
  /// Drops the hints of an engine that are older than aBefore.
  void Forget(std::uint32_t aEngine, TimePoint aBefore);
  /// Returns each engine with its longest fresh hint, longest first.
  std::vector<CachedPrefix> Find(TimePoint aNow,
                                 const std::vector<PrefixKey>& aPrefixes) const;
  std::size_t size() const { return m_count; }

private:
  struct Hint
  {
    std::uint32_t m_engine{};
    std::uint32_t m_tokens{};
    TimePoint m_at{};
  };
  /// Drops the oldest hints beyond the bounds of number and age.
  void Trim(TimePoint aNow);

  std::unordered_map<PrefixKey, std::vector<Hint>> m_hints;
  std::deque<std::pair<TimePoint, PrefixKey>> m_order; ///< oldest first
  std::vector<TimePoint> m_forgetBefore;               ///< by engine
  std::size_t m_count{ 0 };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_HINTS_H
