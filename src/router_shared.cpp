/// RouterShared: what the requests of a router share, and what they learn of
/// upstreams and of this VM's links.

#include "config.h"
#include "router_request.h"

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
  m_links.OnAnswer(now);
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
  m_links.OnNoAnswer(aUpstream.m_key, m_upstreams.Size(), now);
  std::vector<UpstreamPtr> all = m_upstreams.AllOf(aUpstream.m_service);
  bool areCut = m_serviceLinks[aUpstream.m_service].OnNoAnswer(
    aUpstream.m_key, all.size(), now);
  if (!areCut) {
    return;
  }
  m_log.Write(LogEvent("links_cut", LogLevel::Warning)
                .Add("service", aUpstream.m_service)
                .Add("upstreams", static_cast<std::int64_t>(all.size()))
                .Add("all_services", m_links.IsCut(now) ? "yes" : "no")
                .Add("relays", m_relays.IsEmpty() ? "none" : "known"));
  m_metrics.Count("links_cut_total", "");
  for (const UpstreamPtr& upstream : all) {
    m_pool.CloseIdle(upstream->m_entry.m_key);
  }
}

bool
RouterShared::AreLinksCut(const std::string& aService) const
{
  TimePoint now = m_loop.Now();
  auto found = m_serviceLinks.find(aService);
  return m_links.IsCut(now) ||
         (found != m_serviceLinks.end() && found->second.IsCut(now));
}

bool
RouterShared::TakeTrial(const std::string& aService)
{
  return m_serviceLinks[aService].TakeTrial(m_loop.Now());
}

} // namespace shallotford
