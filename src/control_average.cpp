/// Fleet-wide means by pairwise averaging.

#include "shallotford/control/membership.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

/// Estimates below this are forgotten once nobody adds to them.
constexpr double kNegligible = 0.5;
/// Of the figures sent, so many go by turns, not by size.
constexpr std::size_t kByTurns = 3;

/// Returns the name of aKey in messages.
std::string
Hashed(const std::string& aKey)
{
  return Fingerprint(aKey).substr(0, 8);
}

double
SecondsOf(Duration aElapsed)
{
  return std::chrono::duration<double>(aElapsed).count();
}

bool
IsFigure(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

} // namespace

void
FleetAverages::SetOwn(const std::string& aKey, double aValue)
{
  if (!IsFigure(aValue)) {
    return;
  }
  Entry& entry = m_entries[Hashed(aKey)];
  // Adding the change keeps the sum over all VMs right.
  entry.m_estimate = std::max(0.0, entry.m_estimate + aValue - entry.m_own);
  entry.m_own = aValue;
}

void
FleetAverages::Leak(Duration aElapsed)
{
  double share = std::min(1.0, kAverageLeakPerSecond * SecondsOf(aElapsed));
  for (auto& [key, entry] : m_entries) {
    entry.m_estimate += share * (entry.m_own - entry.m_estimate);
  }
  std::erase_if(m_entries, [](const auto& aItem) {
    return aItem.second.m_own == 0 && aItem.second.m_estimate < kNegligible;
  });
}

double
FleetAverages::Mean(const std::string& aKey) const
{
  auto found = m_entries.find(Hashed(aKey));
  return found == m_entries.end() ? 0 : found->second.m_estimate;
}

FleetAverages::Sample
FleetAverages::Pick(std::size_t aMost)
{
  std::vector<std::pair<double, const std::string*>> bySize;
  for (const auto& [key, entry] : m_entries) {
    bySize.emplace_back(std::max(entry.m_own, entry.m_estimate), &key);
  }
  std::size_t largest = aMost - std::min(aMost, kByTurns);
  auto end = bySize.begin() +
             static_cast<std::ptrdiff_t>(std::min(largest, bySize.size()));
  std::partial_sort(bySize.begin(), end, bySize.end(), std::greater<>());
  Sample sample;
  for (auto at = bySize.begin(); at != end; ++at) {
    sample[*at->second] = m_entries[*at->second].m_estimate;
  }
  for (std::size_t i = 0; i < m_entries.size() && sample.size() < aMost; ++i) {
    auto next = m_entries.upper_bound(m_cursor);
    if (next == m_entries.end()) {
      next = m_entries.begin();
    }
    m_cursor = next->first;
    sample[next->first] = next->second.m_estimate;
  }
  return sample;
}

FleetAverages::Sample
FleetAverages::Merge(const Sample& aTheirs)
{
  Sample ours;
  for (const auto& [key, theirs] : aTheirs) {
    if (!IsFigure(theirs)) {
      continue;
    }
    Entry& entry = m_entries[key];
    ours[key] = entry.m_estimate;
    entry.m_estimate = (entry.m_estimate + theirs) / 2;
  }
  return ours;
}

void
FleetAverages::Finish(const Sample& aOurs, const Sample& aTheirs)
{
  for (const auto& [key, theirs] : aTheirs) {
    auto sent = aOurs.find(key);
    if (sent == aOurs.end() || !IsFigure(theirs)) {
      continue;
    }
    // Other exchanges may have moved the estimate since it was sent.
    Entry& entry = m_entries[key];
    entry.m_estimate =
      std::max(0.0, entry.m_estimate + (theirs - sent->second) / 2);
  }
}

} // namespace shallotford
