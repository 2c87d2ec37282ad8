/// Keeps the known upstreams and chooses the one of lowest cost for a request.

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>
#include <limits>

namespace shallotford {

namespace {

const std::string&
RegionOf(const Location& aLocation, const std::string& aDomain)
{
  auto found = aLocation.m_regions.find(aDomain);
  return found == aLocation.m_regions.end() ? aDomain : found->second;
}

/// Spreads the requests of all VMs over upstreams of equal cost.
double
RandomCost(const UpstreamEntry& aEntry, std::uint64_t aSalt)
{
  return kMaxRandomCost * UnitOf(StableHash(aEntry.m_key.m_id, aSalt));
}

/// Returns the cost of the load by count of requests.
double
UtilisationCost(const Upstream& aUpstream, TimePoint aNow)
{
  double concurrency = Concurrency(aUpstream.m_entry);
  double utilisation = aUpstream.m_health.Utilisation(concurrency, aNow) +
                       aUpstream.m_reserved / concurrency;
  return utilisation + kWaitingCost * std::max(0.0, utilisation - 1);
}

bool
IsOfVersion(const UpstreamEntry& aEntry,
            const std::optional<std::string>& aSoftwareVersion)
{
  return !aSoftwareVersion || aEntry.m_softwareVersion == *aSoftwareVersion;
}

/// Returns an extra cost for an upstream that is ejected or has no entry, so
/// that it is chosen only if no other is left. It may still serve a request
/// that would be refused otherwise.
double
UnavailableCost(const Upstream& aUpstream, TimePoint aNow)
{
  if (!aUpstream.m_health.IsUsable(aNow)) {
    using Seconds = std::chrono::duration<double>;
    return kEjectedCost +
           Seconds(aUpstream.m_health.EjectedUntil() - aNow).count();
  }
  return aUpstream.m_expiresAt ? kRemovedEntryCost : 0;
}

} // namespace

double
DistanceCost(Distance aDistance)
{
  switch (aDistance) {
    case Distance::SameDomain:
      return 0;
    case Distance::SameRegion:
      return kSameRegionCost;
    case Distance::OtherRegion:
      return kOtherRegionCost;
  }
  return 0;
}

std::string_view
ToString(EngineStage aStage)
{
  switch (aStage) {
    case EngineStage::None:
      return "none";
    case EngineStage::Prefill:
      return "prefill";
    case EngineStage::Decode:
      return "decode";
  }
  return "?";
}

double
Concurrency(const UpstreamEntry& aEntry)
{
  switch (aEntry.m_stage) {
    case EngineStage::Prefill:
      return std::min<double>(kPrefillConcurrency, aEntry.m_slots);
    case EngineStage::Decode:
      return std::min<double>(kDecodeConcurrency, aEntry.m_slots);
    case EngineStage::None:
      return aEntry.m_slots;
  }
  return 1;
}

Distance
DistanceBetween(const Location& aLocation,
                const std::string& aFrom,
                const std::string& aTo)
{
  if (aFrom == aTo) {
    return Distance::SameDomain;
  }
  return RegionOf(aLocation, aFrom) == RegionOf(aLocation, aTo)
           ? Distance::SameRegion
           : Distance::OtherRegion;
}

void
UpstreamTable::Put(const UpstreamEntry& aEntry)
{
  bool hasLeft =
    std::find(m_left.begin(), m_left.end(), aEntry.m_key) != m_left.end();
  if (hasLeft) {
    return;
  }
  auto newest = m_upstreams.upper_bound(
    { .m_id = aEntry.m_key.m_id, .m_startedMs = UINT64_MAX });
  bool known = newest != m_upstreams.begin() &&
               std::prev(newest)->first.m_id == aEntry.m_key.m_id;
  if (!known) {
    Add(aEntry);
    return;
  }
  Upstream& upstream = *std::prev(newest)->second;
  std::uint64_t startedMs = upstream.m_entry.m_key.m_startedMs;
  if (startedMs > aEntry.m_key.m_startedMs) {
    return;
  }
  if (startedMs < aEntry.m_key.m_startedMs) {
    RemoveId(aEntry.m_key.m_id);
    Add(aEntry);
    return;
  }
  upstream.m_expiresAt.reset();
  upstream.m_heldUntil = {};
  // A server that leaves never becomes ready again, so the order of its
  // reports doesn't matter for this.
  bool draining = upstream.m_entry.m_draining || aEntry.m_draining;
  upstream.m_entry.m_draining = draining;
  if (aEntry.m_sequence < upstream.m_entry.m_sequence) {
    return;
  }
  upstream.m_entry = aEntry;
  upstream.m_entry.m_draining = draining;
}

void
UpstreamTable::OnRelisted(const std::string& aId,
                          std::chrono::milliseconds aHeartbeat,
                          TimePoint aNow)
{
  for (const auto& [key, upstream] : m_upstreams) {
    if (key.m_id == aId) {
      upstream->m_heldUntil =
        aNow + kHeartbeatsPerLease * aHeartbeat + kRelistedEntryMargin;
    }
  }
}

bool
UpstreamTable::OnLeaving(const UpstreamKey& aKey)
{
  UpstreamPtr upstream = Find(aKey);
  if (upstream == nullptr) {
    RememberLeft(aKey);
    return false;
  }
  return !std::exchange(upstream->m_entry.m_draining, true);
}

void
UpstreamTable::OnSourceDisturbed(TimePoint aNow)
{
  m_lossUntil = aNow + kMassRemovalGrace;
}

void
UpstreamTable::Add(const UpstreamEntry& aEntry)
{
  auto upstream = std::make_shared<Upstream>();
  upstream->m_entry = aEntry;
  m_upstreams[aEntry.m_key] = upstream;
}

void
UpstreamTable::Remove(const UpstreamKey& aKey)
{
  auto found = m_upstreams.find(aKey);
  if (found == m_upstreams.end()) {
    return;
  }
  if (found->second->m_entry.m_draining) {
    RememberLeft(aKey);
  }
  found->second->m_entry.m_draining = true;
  m_upstreams.erase(found);
}

void
UpstreamTable::RemoveId(const std::string& aId)
{
  auto next = m_upstreams.lower_bound({ .m_id = aId, .m_startedMs = 0 });
  while (next != m_upstreams.end() && next->first.m_id == aId) {
    if (next->second->m_entry.m_draining) {
      RememberLeft(next->first);
    }
    next->second->m_entry.m_draining = true;
    next = m_upstreams.erase(next);
  }
}

void
UpstreamTable::RememberLeft(const UpstreamKey& aKey)
{
  m_left.push_back(aKey);
  if (m_left.size() > kMaxLeftUpstreams) {
    m_left.pop_front();
  }
}

void
UpstreamTable::OnEntryRemoved(const std::string& aId, TimePoint aNow)
{
  UpstreamPtr removed;
  for (const auto& [key, upstream] : m_upstreams) {
    removed = key.m_id == aId ? upstream : removed;
  }
  if (removed == nullptr) {
    return;
  }
  removed->m_expiresAt = aNow + kRemovedEntryGrace;
  std::vector<UpstreamPtr> removals;
  std::size_t all = 0;
  for (const auto& [key, upstream] : m_upstreams) {
    if (upstream->m_entry.m_service != removed->m_entry.m_service ||
        upstream->m_entry.m_draining) {
      continue;
    }
    ++all;
    if (upstream->m_expiresAt) {
      removals.push_back(upstream);
    }
  }
  bool massRemoval = aNow < m_lossUntil && removals.size() > 1 &&
                     static_cast<double>(removals.size()) >=
                       kMinMassRemovalShare * static_cast<double>(all);
  for (const UpstreamPtr& upstream : removals) {
    if (massRemoval) {
      upstream->m_expiresAt = std::max(*upstream->m_expiresAt, m_lossUntil);
    }
  }
}

std::vector<UpstreamKey>
UpstreamTable::Expire(TimePoint aNow)
{
  std::vector<UpstreamKey> expired;
  for (const auto& [key, upstream] : m_upstreams) {
    if (upstream->m_expiresAt && aNow >= *upstream->m_expiresAt) {
      expired.push_back(key);
    }
  }
  for (const UpstreamKey& key : expired) {
    Remove(key);
  }
  return expired;
}

bool
UpstreamTable::IsReachable(const std::string& aService,
                           const std::optional<std::string>& aSoftwareVersion,
                           TimePoint aNow) const
{
  for (const auto& [key, upstream] : m_upstreams) {
    const UpstreamEntry& entry = upstream->m_entry;
    if (entry.m_service == aService && upstream->TakesRequests(aNow) &&
        IsOfVersion(entry, aSoftwareVersion) &&
        upstream->m_health.IsUsable(aNow)) {
      return true;
    }
  }
  return false;
}

UpstreamPtr
UpstreamTable::Find(const UpstreamKey& aKey) const
{
  auto found = m_upstreams.find(aKey);
  return found == m_upstreams.end() ? nullptr : found->second;
}

bool
UpstreamTable::IsCandidate(const Upstream& aUpstream,
                           const PickRequest& aRequest,
                           TimePoint aNow) const
{
  const UpstreamEntry& entry = aUpstream.m_entry;
  return aUpstream.TakesRequests(aNow) &&
         entry.m_service == aRequest.m_service &&
         entry.m_stage == aRequest.m_stage &&
         IsOfVersion(entry, aRequest.m_softwareVersion) &&
         !aRequest.m_excluded.contains(entry.m_key);
}

double
UpstreamTable::Cost(const Upstream& aUpstream,
                    const PickRequest& aRequest,
                    TimePoint aNow) const
{
  const UpstreamEntry& entry = aUpstream.m_entry;
  const UpstreamHealth& health = aUpstream.m_health;
  const std::string& from = aRequest.m_fromDomain.empty()
                              ? m_location.m_failureDomain
                              : aRequest.m_fromDomain;
  bool weighsPace = WeighsPace(entry.m_service);
  double cost =
    DistanceCost(DistanceBetween(m_location, from, entry.m_failureDomain));
  cost += weighsPace ? CompletionCost(aUpstream, aNow)
                     : UtilisationCost(aUpstream, aNow);
  cost += kFailureCost *
          std::max(0.0, health.FailureShare(aNow) - kToleratedFailureShare);
  cost += health.RefusedRecently(aNow) ? kRefusalCost : 0;
  return cost + (weighsPace ? PaceRandomCost(UnitOf(
                                StableHash(entry.m_key.m_id, aRequest.m_salt)))
                            : RandomCost(entry, aRequest.m_salt));
}

UpstreamPtr
UpstreamTable::Pick(const PickRequest& aRequest, TimePoint aNow) const
{
  UpstreamPtr best;
  double bestCost = std::numeric_limits<double>::max();
  for (const auto& [key, upstream] : m_upstreams) {
    if (!IsCandidate(*upstream, aRequest, aNow)) {
      continue;
    }
    double cost =
      UnavailableCost(*upstream, aNow) + Cost(*upstream, aRequest, aNow);
    if (cost < bestCost) {
      bestCost = cost;
      best = upstream;
    }
  }
  return best;
}

bool
UpstreamTable::Serves(const std::string& aService,
                      const std::optional<std::string>& aSoftwareVersion) const
{
  for (const auto& [key, upstream] : m_upstreams) {
    const UpstreamEntry& entry = upstream->m_entry;
    if (entry.m_service == aService && !entry.m_draining &&
        IsOfVersion(entry, aSoftwareVersion)) {
      return true;
    }
  }
  return false;
}

std::vector<UpstreamPtr>
UpstreamTable::All() const
{
  std::vector<UpstreamPtr> all;
  all.reserve(m_upstreams.size());
  for (const auto& [key, upstream] : m_upstreams) {
    all.push_back(upstream);
  }
  return all;
}

std::vector<UpstreamPtr>
UpstreamTable::AllOf(const std::string& aService) const
{
  std::vector<UpstreamPtr> all = All();
  std::erase_if(all, [&](const UpstreamPtr& aUpstream) {
    return aUpstream->m_entry.m_service != aService;
  });
  return all;
}

} // namespace shallotford
