/// FleetAverages: estimates of fleet-wide means by averaging between two VMs at
/// a time.

#include "shallotford/control/membership.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

/// Smaller estimates are removed if this VM's own value is 0.
constexpr double kMinKeptEstimate = 0.5;
/// Number of estimates in a message that are chosen in turn, not by size.
constexpr std::size_t kRoundRobinValues = 3;

/// Returns the hash that stands for aKey in messages.
std::string
HashedKey(const std::string& aKey)
{
  return Fingerprint(aKey).substr(0, 8);
}

double
SecondsOf(Duration aElapsed)
{
  return std::chrono::duration<double>(aElapsed).count();
}

bool
IsValidValue(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

} // namespace

void
FleetAverages::SetOwn(const std::string& aKey, double aValue)
{
  if (!IsValidValue(aValue)) {
    return;
  }
  Entry& entry = m_entries[HashedKey(aKey)];
  // Adding the change keeps the sum of the estimates over all VMs correct.
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
    return aItem.second.m_own == 0 &&
           aItem.second.m_estimate < kMinKeptEstimate;
  });
}

double
FleetAverages::Mean(const std::string& aKey) const
{
  auto found = m_entries.find(HashedKey(aKey));
  return found == m_entries.end() ? 0 : found->second.m_estimate;
}

FleetAverages::Sample
FleetAverages::Pick(std::size_t aMaxCount)
{
  std::vector<std::pair<double, const std::string*>> byValue;
  for (const auto& [key, entry] : m_entries) {
    byValue.emplace_back(std::max(entry.m_own, entry.m_estimate), &key);
  }
  std::size_t largest = aMaxCount - std::min(aMaxCount, kRoundRobinValues);
  auto end = byValue.begin() +
             static_cast<std::ptrdiff_t>(std::min(largest, byValue.size()));
  std::partial_sort(byValue.begin(), end, byValue.end(), std::greater<>());
  Sample sample;
  for (auto at = byValue.begin(); at != end; ++at) {
    sample[*at->second] = m_entries[*at->second].m_estimate;
  }
  for (std::size_t i = 0; i < m_entries.size() && sample.size() < aMaxCount;
       ++i) {
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
    if (!IsValidValue(theirs)) {
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
    if (sent == aOurs.end() || !IsValidValue(theirs)) {
      continue;
    }
    // Other exchanges may have moved the estimate since it was sent.
    Entry& entry = m_entries[key];
    entry.m_estimate =
      std::max(0.0, entry.m_estimate + (theirs - sent->second) / 2);
  }
}

} // namespace shallotford
