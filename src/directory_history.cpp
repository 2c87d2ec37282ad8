/// Dates a directory's history, whose changes bear no times, from what
/// upstreams report of themselves.

#include "config.h"
#include "shallotford/directory.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace shallotford {

namespace {

/// Returns the age, by the clock of this VM, of a time by an upstream's clock,
/// at least. Both are Unix times in milliseconds.
std::chrono::milliseconds
AgeAt(std::uint64_t aTimeMs, std::uint64_t aNowMs)
{
  std::uint64_t latest = aTimeMs + kMaxClockError.count();
  return std::chrono::milliseconds(aNowMs - std::min(aNowMs, latest));
}

} // namespace

std::chrono::milliseconds
ProvenAge(const UpstreamChange& aChange, const HistoryClock& aClock)
{
  if (!aChange.m_entry) {
    return {};
  }
  const UpstreamEntry& entry = *aChange.m_entry;
  bool namesNone = entry.m_key.m_startedMs == 0 || entry.m_sequence == 0;
  // The upstream was removed for its silence, during which its reports weren't
  // numbered on.
  bool cameBack = aChange.m_created && entry.m_sequence > 1;
  if (namesNone || cameBack) {
    return {};
  }
  double uptime = static_cast<double>(entry.m_sequence) * kMaxHeartbeatStretch *
                  static_cast<double>(aClock.m_heartbeat.count());
  return AgeAt(entry.m_key.m_startedMs + static_cast<std::uint64_t>(uptime),
               aClock.m_readAtMs);
}

void
DateChanges(std::vector<UpstreamChange>& aChanges, const HistoryClock& aClock)
{
  std::uint64_t lastStart = 0;
  for (UpstreamChange& change : aChanges) {
    if (change.m_entry) {
      lastStart = std::max(lastStart, change.m_entry->m_key.m_startedMs);
    }
    change.m_provenAge = ProvenAge(change, aClock);
    // An earlier change, by an upstream that started later, shows that reports
    // are missing.
    if (change.m_provenAge > AgeAt(lastStart, aClock.m_readAtMs)) {
      change.m_provenAge = {};
    }
  }
  std::chrono::milliseconds later{ 0 };
  for (auto change = aChanges.rbegin(); change != aChanges.rend(); ++change) {
    later = std::max(later, change->m_provenAge);
    change->m_provenAge = later;
  }
}

void
ExtendHistory(DirectoryHistory& aHistory,
              const std::map<std::string, DirectoryItem>& aItems,
              std::size_t aMaxMissing,
              const std::function<bool(const DirectoryItem&)>& aIsEnough)
{
  std::map<std::uint64_t, const DirectoryItem*, std::greater<>> byRevision;
  for (const auto& [key, item] : aItems) {
    if (item.m_revision > 0 && item.m_revision <= aHistory.m_after) {
      byRevision[item.m_revision] = &item;
    }
  }
  std::vector<DirectoryItem> earlier; // newest first
  for (const auto& [revision, item] : byRevision) {
    std::size_t missing = aHistory.m_missing + (aHistory.m_after - revision);
    if (missing > aMaxMissing) {
      break;
    }
    aHistory.m_missing = missing;
    aHistory.m_after = revision - 1;
    earlier.push_back(*item);
    if (aIsEnough(*item)) {
      break;
    }
  }
  aHistory.m_changes.insert(
    aHistory.m_changes.begin(), earlier.rbegin(), earlier.rend());
}

std::chrono::milliseconds
ProvenReach(const std::map<std::string, UpstreamEntry>& aEntries,
            const std::vector<UpstreamChange>& aChanges,
            std::uint64_t aReadAtMs)
{
  if (aChanges.empty()) {
    return {};
  }
  std::uint64_t beginsAfter = 0; // Unix time, in milliseconds
  std::set<std::string> changed;
  for (const UpstreamChange& change : aChanges) {
    bool isFirst = changed.insert(change.m_id).second;
    if (isFirst && change.m_entry && !change.m_created) {
      beginsAfter = std::max(beginsAfter, change.m_entry->m_key.m_startedMs);
    }
  }
  for (const auto& [id, entry] : aEntries) {
    if (!changed.contains(id)) {
      beginsAfter = std::max(beginsAfter, entry.m_key.m_startedMs);
    }
  }
  return std::min(aChanges.front().m_provenAge, AgeAt(beginsAfter, aReadAtMs));
}

} // namespace shallotford
