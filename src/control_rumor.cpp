/// RumorStore: small facts that gossip passes from VM to VM until they expire.

#include "shallotford/control/membership.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

bool
RumorStore::Add(Rumor aRumor, TimePoint aNow)
{
  bool acceptable = aRumor.m_expiry > aNow &&
                    aRumor.m_id.size() <= kMaxRumorIdBytes &&
                    aRumor.m_kind.size() <= kMaxRumorIdBytes &&
                    aRumor.m_body.size() <= kMaxRumorBodyBytes;
  if (!acceptable) {
    return false;
  }
  aRumor.m_expiry = std::min(aRumor.m_expiry, aNow + kMaxRumorLifetime);
  Key key{ aRumor.m_kind, aRumor.m_id };
  auto found = m_entries.find(key);
  if (found != m_entries.end()) {
    if (found->second.m_rumor.m_version >= aRumor.m_version) {
      return false;
    }
    found->second = { std::move(aRumor), 0 };
    return true;
  }
  if (m_entries.size() >= kMaxRumors) {
    Expire(aNow);
  }
  if (m_entries.size() >= kMaxRumors) {
    return false;
  }
  m_entries.emplace(std::move(key), Entry{ std::move(aRumor), 0 });
  return true;
}

std::vector<Rumor>
RumorStore::Pick(std::size_t aMaxCount, TimePoint aNow)
{
  std::vector<Entry*> live;
  for (auto& [key, entry] : m_entries) {
    if (entry.m_rumor.m_expiry > aNow) {
      live.push_back(&entry);
    }
  }
  std::size_t count = std::min(aMaxCount, live.size());
  std::partial_sort(live.begin(),
                    live.begin() + static_cast<std::ptrdiff_t>(count),
                    live.end(),
                    [](const Entry* aLeft, const Entry* aRight) {
                      return aLeft->m_sendCount < aRight->m_sendCount;
                    });
  std::vector<Rumor> picked;
  for (std::size_t i = 0; i < count; ++i) {
    ++live[i]->m_sendCount;
    picked.push_back(live[i]->m_rumor);
  }
  return picked;
}

const Rumor*
RumorStore::Find(const std::string& aKind, const std::string& aId) const
{
  auto found = m_entries.find({ aKind, aId });
  return found == m_entries.end() ? nullptr : &found->second.m_rumor;
}

std::vector<Rumor>
RumorStore::OfKind(const std::string& aKind, TimePoint aNow) const
{
  std::vector<Rumor> found;
  for (auto at = m_entries.lower_bound({ aKind, "" });
       at != m_entries.end() && at->first.first == aKind;
       ++at) {
    if (at->second.m_rumor.m_expiry > aNow) {
      found.push_back(at->second.m_rumor);
    }
  }
  return found;
}

void
RumorStore::Expire(TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aItem) {
    return aItem.second.m_rumor.m_expiry <= aNow;
  });
}

} // namespace shallotford
