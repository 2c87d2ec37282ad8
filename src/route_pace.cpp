/// Learns the pace of upstreams, and what it makes a request cost there.

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>

namespace shallotford {

bool
UpstreamTable::WeighsPace(const std::string& aService) const
{
  return m_adaptive == AdaptiveChoice::Always ||
         (m_adaptive == AdaptiveChoice::Told &&
          m_tellingServices.contains(aService));
}

void
UpstreamTable::OnLoad(Upstream& aUpstream,
                      const UpstreamLoad& aLoad,
                      TimePoint aNow)
{
  aUpstream.m_health.OnLoad(aLoad, aNow);
  ToldLoad told{ .m_requests =
                   static_cast<double>(aLoad.m_running) + aLoad.m_waiting,
                 .m_slowness = {} };
  if (aLoad.m_tellsSlowness) {
    m_tellingServices.insert(aUpstream.m_entry.m_service);
    told.m_slowness = aLoad.m_slowness;
  }
  aUpstream.m_pace.OnLoad(told, aUpstream.m_health.InFlight(), aNow);
}

void
UpstreamTable::OnWork(Upstream& aUpstream,
                      const std::string& aKind,
                      double aUnits,
                      Duration aTook,
                      TimePoint aNow)
{
  std::string kind = aUpstream.m_entry.m_service + "\n" + aKind;
  if (!m_servicePaces.contains(kind) &&
      m_servicePaces.size() >= kMaxServicePaces) {
    std::erase_if(m_servicePaces, [&](const auto& aPace) {
      return aNow - aPace.second.UsedAt() > kServicePaceRetention;
    });
    if (m_servicePaces.size() >= kMaxServicePaces) {
      return;
    }
  }
  double load = aUpstream.m_pace.Requests(aUpstream.m_health.InFlight(), aNow) /
                Concurrency(aUpstream.m_entry);
  m_servicePaces[kind].OnWork(aUpstream.m_pace, aUnits, aTook, load, aNow);
}

double
UpstreamTable::CompletionCost(const Upstream& aUpstream, TimePoint aNow)
{
  const UpstreamPace& pace = aUpstream.m_pace;
  double limit = Concurrency(aUpstream.m_entry) * pace.LimitFactor(aNow);
  std::uint32_t inFlight = aUpstream.m_health.InFlight();
  double own = inFlight + aUpstream.m_reserved;
  double requests = pace.Requests(inFlight, aNow) + aUpstream.m_reserved;
  return PaceCost(pace.Slowness(aNow), requests / limit, own / limit);
}

} // namespace shallotford
