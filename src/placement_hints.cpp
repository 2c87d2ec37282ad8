/// Prefix hints: which engine probably caches which prompt prefix.

#include "placement_hints.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

void
PrefixHints::Store(TimePoint aNow,
                   std::uint32_t aEngine,
                   PrefixKey aPrefix,
                   std::uint32_t aTokens)
{
  Trim(aNow);
  std::vector<Hint>& hints = m_hints[aPrefix];
  const Hint hint{ aEngine, aTokens, aNow };
  m_order.emplace_back(aNow, aPrefix);
  const auto same =
    std::find_if(hints.begin(), hints.end(), [&](const Hint& aHint) {
      return aHint.m_engine == aEngine;
    });
  if (same != hints.end()) {
    *same = hint;
    return;
  }
  if (hints.size() < kMaxEnginesPerPrefix) {
    hints.push_back(hint);
    ++m_count;
    return;
  }
  *std::min_element(
    hints.begin(), hints.end(), [](const Hint& aOne, const Hint& aTwo) {
      return aOne.m_at < aTwo.m_at;
    }) = hint;
}

void
PrefixHints::Evict(std::uint32_t aEngine, PrefixKey aPrefix)
{
  const auto found = m_hints.find(aPrefix);
  if (found == m_hints.end())
    return;
  m_count -= std::erase_if(found->second, [&](const Hint& aHint) {
    return aHint.m_engine == aEngine;
  });
  if (found->second.empty())
    m_hints.erase(found);
}

void
PrefixHints::Forget(std::uint32_t aEngine, TimePoint aBefore)
{
  if (m_forgetBefore.size() <= aEngine)
    m_forgetBefore.resize(aEngine + 1);
  m_forgetBefore[aEngine] = std::max(m_forgetBefore[aEngine], aBefore);
}

std::vector<CachedPrefix>
PrefixHints::Find(TimePoint aNow, const std::vector<PrefixKey>& aPrefixes) const
{
  std::vector<CachedPrefix> found;
  for (std::size_t i = aPrefixes.size(); i > 0; --i) {
    const auto hints = m_hints.find(aPrefixes[i - 1]);
    if (hints == m_hints.end())
      continue;
    for (const Hint& hint : hints->second) {
      if (hint.m_at + kPrefixHintLifetime < aNow)
        continue;
      if (hint.m_engine < m_forgetBefore.size() &&
          hint.m_at < m_forgetBefore[hint.m_engine])
        continue;
      const bool known = std::any_of(
        found.begin(), found.end(), [&](const CachedPrefix& aOther) {
          return aOther.m_engine == hint.m_engine;
        });
      if (!known)
        found.push_back({ hint.m_engine, hint.m_tokens });
    }
  }
  return found;
}

void
PrefixHints::Trim(TimePoint aNow)
{
  while (!m_order.empty() &&
         (m_order.size() >= kMaxPrefixHints ||
          m_order.front().first + kPrefixHintLifetime < aNow)) {
    const auto [at, prefix] = m_order.front();
    m_order.pop_front();
    const auto found = m_hints.find(prefix);
    if (found == m_hints.end())
      continue;
    m_count -= std::erase_if(
      found->second, [at = at](const Hint& aHint) { return aHint.m_at <= at; });
    if (found->second.empty())
      m_hints.erase(found);
  }
}

} // namespace shallotford
