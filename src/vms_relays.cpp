/// Decides whether this VM's links to upstreams are cut, and which other VM
/// passes its requests on.

#include "config.h"
#include "shallotford/vms.h"

#include <algorithm>
#include <limits>

namespace shallotford {

// ------------------------------------------------------------------ links

bool
LinkState::OnAnswer(TimePoint aNow)
{
  m_unanswered.clear();
  return std::exchange(m_cutUntil, TimePoint{}) > aNow;
}

bool
LinkState::OnNoAnswer(const UpstreamKey& aUpstream,
                      std::size_t aUpstreams,
                      TimePoint aNow)
{
  m_unanswered[aUpstream] = aNow;
  std::erase_if(m_unanswered, [aNow](const auto& aOne) {
    return aNow - aOne.second > kLinkEvidenceTime;
  });
  bool wasCut = IsCut(aNow);
  std::size_t enough =
    std::clamp(aUpstreams, kMinUnansweredUpstreams, kSurelyUnansweredUpstreams);
  if (wasCut || m_unanswered.size() >= enough) {
    m_cutUntil = aNow + kLinkCutTime;
  }
  return IsCut(aNow) && !wasCut;
}

bool
LinkState::TakeTrial(TimePoint aNow)
{
  if (aNow < m_nextTrial) {
    return false;
  }
  m_nextTrial = aNow + kLinkTrialPeriod;
  return true;
}

// ----------------------------------------------------------------- relays

void
RelayTable::Put(const RelayOffer& aOffer, TimePoint aNow)
{
  Relay& relay = m_relays[aOffer.m_vm];
  bool isNew = relay.m_upstream == nullptr ||
               relay.m_upstream->m_entry.m_address != aOffer.m_address;
  if (isNew) {
    relay.m_upstream = std::make_shared<Upstream>();
    relay.m_upstream->m_entry = { .m_key = { .m_id = aOffer.m_vm },
                                  .m_service = {},
                                  .m_address = aOffer.m_address,
                                  .m_failureDomain = aOffer.m_failureDomain,
                                  .m_softwareVersion = {} };
  }
  relay.m_services = aOffer.m_services;
  relay.m_offeredAt = aNow;
}

UpstreamPtr
RelayTable::Pick(const PickRequest& aRequest,
                 bool aAnyService,
                 TimePoint aNow) const
{
  UpstreamPtr best;
  double bestCost = std::numeric_limits<double>::max();
  for (const auto& [vm, relay] : m_relays) {
    const Upstream& upstream = *relay.m_upstream;
    const UpstreamEntry& entry = upstream.m_entry;
    bool reaches = relay.m_services.contains(aRequest.m_service);
    if ((!reaches && !aAnyService) ||
        aRequest.m_excluded.contains(entry.m_key)) {
      continue;
    }
    double cost =
      DistanceCost(DistanceBetween(
        m_location, m_location.m_failureDomain, entry.m_failureDomain)) +
      upstream.m_health.Utilisation(kRelayConcurrency, aNow) +
      kMaxRandomCost * UnitOf(StableHash(vm, aRequest.m_salt));
    cost += reaches ? 0 : kUnconfirmedRelayCost;
    cost += upstream.m_health.IsUsable(aNow) ? 0 : kEjectedCost;
    if (cost < bestCost) {
      bestCost = cost;
      best = relay.m_upstream;
    }
  }
  return best;
}

void
RelayTable::Expire(TimePoint aNow)
{
  std::erase_if(m_relays, [aNow](const auto& aOne) {
    return aNow - aOne.second.m_offeredAt > kRelayOfferLifetime;
  });
}

} // namespace shallotford
