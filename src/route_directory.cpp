/// Merges the published items that the platform and other VMs report.

#include "config.h"
#include "shallotford/route.h"

namespace shallotford {

bool
Directory::ApplyItem(const DirectoryItem& aItem, TimePoint aNow)
{
  auto item = m_items.find(aItem.m_key);
  auto removal = m_removals.find(aItem.m_key);
  std::uint64_t known = item != m_items.end() ? item->second.m_revision : 0;
  if (removal != m_removals.end()) {
    known = std::max(known, removal->second.m_revision);
  }
  if (aItem.m_revision <= known) {
    return false;
  }
  // Every change up to m_upToRevision is known, so the item was removed since.
  bool isOutdated = known == 0 && aItem.m_revision <= m_upToRevision;
  if (isOutdated) {
    return false;
  }
  if (!aItem.m_removed) {
    m_removals.erase(aItem.m_key);
    m_items[aItem.m_key] = aItem;
    return true;
  }
  m_removals[aItem.m_key] = { .m_revision = aItem.m_revision, .m_at = aNow };
  return m_items.erase(aItem.m_key) > 0;
}

std::vector<DirectoryItem>
Directory::Apply(const DirectoryDelta& aDelta, TimePoint aNow)
{
  std::vector<DirectoryItem> changed;
  std::set<std::string> listed;
  for (const DirectoryItem& item : aDelta.m_items) {
    listed.insert(item.m_key);
    if (ApplyItem(item, aNow)) {
      changed.push_back(item);
    }
  }
  if (aDelta.m_isSnapshot) {
    std::vector<DirectoryItem> missing;
    for (const auto& [key, item] : m_items) {
      if (!listed.contains(key) && item.m_revision <= aDelta.m_upToRevision) {
        missing.push_back({ .m_key = key,
                            .m_value = {},
                            .m_revision = aDelta.m_upToRevision,
                            .m_removed = true });
      }
    }
    for (const DirectoryItem& item : missing) {
      if (ApplyItem(item, aNow)) {
        changed.push_back(item);
      }
    }
    // Items that were removed before the snapshot aren't in m_removals.
    if (aDelta.m_upToRevision > m_upToRevision) {
      m_discardedUpTo = std::max(m_discardedUpTo, aDelta.m_upToRevision);
    }
  }
  m_upToRevision = std::max(m_upToRevision, aDelta.m_upToRevision);
  DiscardOldRemovals(aNow);
  return changed;
}

void
Directory::DiscardOldRemovals(TimePoint aNow)
{
  for (auto next = m_removals.begin(); next != m_removals.end();) {
    if (aNow - next->second.m_at < kRemovalRetention) {
      ++next;
      continue;
    }
    m_discardedUpTo = std::max(m_discardedUpTo, next->second.m_revision);
    next = m_removals.erase(next);
  }
}

DirectoryDelta
Directory::Since(std::uint64_t aRevision) const
{
  DirectoryDelta delta{ .m_isSnapshot = aRevision < m_discardedUpTo,
                        .m_upToRevision = m_upToRevision,
                        .m_items = {} };
  for (const auto& [key, item] : m_items) {
    if (delta.m_isSnapshot || item.m_revision > aRevision) {
      delta.m_items.push_back(item);
    }
  }
  for (const auto& [key, removal] : m_removals) {
    if (removal.m_revision > aRevision) {
      delta.m_items.push_back({ .m_key = key,
                                .m_value = {},
                                .m_revision = removal.m_revision,
                                .m_removed = true });
    }
  }
  return delta;
}

} // namespace shallotford
