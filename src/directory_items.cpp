/// Merges the published items that the platform and other VMs report.

#include "config.h"
#include "shallotford/directory.h"

namespace shallotford {

void
Directory::BeginEra(std::uint64_t aEra)
{
  m_era = aEra;
  // Revisions of different eras can't be compared.
  for (auto& [key, item] : m_items) {
    item.m_revision = 0;
  }
  m_upToRevision = 0;
  m_discardedUpTo = 0;
}

bool
Directory::ApplyItem(const DirectoryItem& aItem, TimePoint aNow)
{
  auto item = m_items.find(aItem.m_key);
  auto removal = m_removals.find(aItem.m_key);
  std::uint64_t known = item != m_items.end() ? item->second.m_revision : 0;
  if (removal != m_removals.end() && removal->second.m_era == m_era) {
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
  m_removals[aItem.m_key] = { .m_era = m_era,
                              .m_revision = aItem.m_revision,
                              .m_at = aNow };
  return m_items.erase(aItem.m_key) > 0;
}

std::vector<DirectoryItem>
Directory::MissingIn(const DirectoryDelta& aSnapshot) const
{
  std::set<std::string> listed;
  for (const DirectoryItem& item : aSnapshot.m_items) {
    listed.insert(item.m_key);
  }
  std::vector<DirectoryItem> missing;
  for (const auto& [key, item] : m_items) {
    if (!listed.contains(key) && item.m_revision <= aSnapshot.m_upToRevision) {
      missing.push_back({ .m_key = key,
                          .m_value = {},
                          .m_revision = aSnapshot.m_upToRevision,
                          .m_removed = true });
    }
  }
  return missing;
}

std::vector<DirectoryItem>
Directory::Apply(const DirectoryDelta& aDelta, TimePoint aNow)
{
  bool newEra = aDelta.m_era > m_era;
  if (aDelta.m_era < m_era || (newEra && !aDelta.m_isSnapshot)) {
    return {};
  }
  if (newEra) {
    BeginEra(aDelta.m_era);
  }
  std::vector<DirectoryItem> changed;
  for (const DirectoryItem& item : aDelta.m_items) {
    auto removal = m_removals.find(item.m_key);
    bool relisted = aDelta.m_isSnapshot && removal != m_removals.end() &&
                    removal->second.m_era < m_era;
    if (ApplyItem(item, aNow)) {
      changed.push_back(item);
      changed.back().m_relisted = relisted;
    }
  }
  if (aDelta.m_isSnapshot) {
    for (const DirectoryItem& item : MissingIn(aDelta)) {
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
    const Removal& removal = next->second;
    if (aNow - removal.m_at < kRemovalRetention) {
      ++next;
      continue;
    }
    if (removal.m_era == m_era) {
      m_discardedUpTo = std::max(m_discardedUpTo, removal.m_revision);
    }
    next = m_removals.erase(next);
  }
}

DirectoryDelta
Directory::Since(const DirectoryPosition& aPosition) const
{
  bool otherEra = aPosition.m_era != m_era;
  DirectoryDelta delta{ .m_isSnapshot =
                          otherEra || aPosition.m_revision < m_discardedUpTo,
                        .m_era = m_era,
                        .m_upToRevision = m_upToRevision,
                        .m_items = {} };
  for (const auto& [key, item] : m_items) {
    if (delta.m_isSnapshot || item.m_revision > aPosition.m_revision) {
      delta.m_items.push_back(item);
    }
  }
  for (const auto& [key, removal] : m_removals) {
    bool isLater = otherEra || removal.m_revision > aPosition.m_revision;
    if (removal.m_era == m_era && isLater) {
      delta.m_items.push_back({ .m_key = key,
                                .m_value = {},
                                .m_revision = removal.m_revision,
                                .m_removed = true });
    }
  }
  return delta;
}

} // namespace shallotford
