/// RouterShared: what the requests of a router share, and what they learn of
/// upstreams and of this VM's links.

#include "config.h"
#include "router_request.h"

#include <algorithm>

namespace shallotford {

RetryBudget&
RouterShared::BudgetOf(const std::string& aService)
{
  return m_budgets.try_emplace(aService, m_budgetOptions, m_startedAt)
    .first->second;
}

void
RouterShared::OnLeaving(const UpstreamKey& aUpstream)
{
  if (m_upstreams.OnLeaving(aUpstream)) {
    m_pool.CloseIdle(aUpstream);
    m_metrics.Count("upstreams_leaving_total", "");
    m_log.Write(LogEvent("upstream_leaving")
                  .Add("upstream", aUpstream.m_id)
                  .Add("from", "answer"));
  }
}

void
RouterShared::OnUpstreamAnswer(const std::string& aService)
{
  TimePoint now = m_loop.Now();
  m_reachedAt[aService] = now;
  if (!m_serviceLinks[aService].OnAnswer(now)) {
    return;
  }
  m_log.Write(
    LogEvent("links_back", LogLevel::Warning).Add("service", aService));
  for (const UpstreamPtr& upstream : m_upstreams.AllOf(aService)) {
    upstream->m_health.ForgetFailures();
  }
}

void
RouterShared::OnNoAnswer(const UpstreamEntry& aUpstream)
{
  TimePoint now = m_loop.Now();
  std::vector<UpstreamPtr> all = m_upstreams.AllOf(aUpstream.m_service);
  // A request tries upstreams of one stage, until one of them answers.
  auto tried =
    std::count_if(all.begin(), all.end(), [&](const UpstreamPtr& aOther) {
      return aOther->m_entry.m_stage == aUpstream.m_stage;
    });
  bool areCut = m_serviceLinks[aUpstream.m_service].OnNoAnswer(
    aUpstream.m_key, static_cast<std::size_t>(tried), now);
  if (!areCut) {
    return;
  }
  m_log.Write(LogEvent("links_cut", LogLevel::Warning)
                .Add("service", aUpstream.m_service)
                .Add("upstreams", static_cast<std::int64_t>(all.size()))
                .Add("all_services", IsCutOff() ? "yes" : "no")
                .Add("relays", m_relays.IsEmpty() ? "none" : "known"));
  m_metrics.Count("links_cut_total", "");
  for (const UpstreamPtr& upstream : all) {
    m_pool.CloseIdle(upstream->m_entry.m_key);
  }
}

bool
RouterShared::IsCutOff() const
{
  TimePoint now = m_loop.Now();
  bool isReached = std::any_of(
    m_reachedAt.begin(), m_reachedAt.end(), [now](const auto& aService) {
      return now - aService.second < kLinkEvidenceTime;
    });
  return !isReached && std::any_of(m_serviceLinks.begin(),
                                   m_serviceLinks.end(),
                                   [now](const auto& aService) {
                                     return aService.second.IsCut(now);
                                   });
}

bool
RouterShared::AreLinksCut(const std::string& aService) const
{
  auto found = m_serviceLinks.find(aService);
  bool isCut =
    found != m_serviceLinks.end() && found->second.IsCut(m_loop.Now());
  return isCut || IsCutOff();
}

bool
RouterShared::TakeTrial(const std::string& aService)
{
  return m_serviceLinks[aService].TakeTrial(m_loop.Now());
}

} // namespace shallotford
