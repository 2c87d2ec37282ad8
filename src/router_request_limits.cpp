/// RoutedRequest: its cost towards its organisation's limit.

#include "config.h"
#include "router_request.h"

namespace shallotford {

bool
RoutedRequest::CountsTowardsLimit() const
{
  // The VM that passed a request on has counted it.
  return m_organisation != nullptr && !m_relayed &&
         m_organisation->m_limit.m_perSecond > 0;
}

void
RoutedRequest::AcquireUnits()
{
  double cost = CostOf(
    m_organisation->m_limit, m_facts.m_promptTokens, m_facts.m_outputTokens);
  m_shared.m_grants.Acquire(m_organisation->m_name,
                            cost,
                            [this, cost, alive = std::weak_ptr<bool>(m_alive)](
                              const OrganisationGrants::Result& aResult) {
                              if (alive.expired() || m_ended) {
                                return false;
                              }
                              OnUnits(cost, aResult);
                              return true;
                            });
}

void
RoutedRequest::OnUnits(double aCost, const OrganisationGrants::Result& aResult)
{
  if (!aResult.m_granted) {
    RefuseBeyondLimit(aResult.m_retryAfter);
    return;
  }
  m_units = aCost;
  if (!EndIfObsolete()) {
    Proceed();
  }
}

void
RoutedRequest::RefuseBeyondLimit(std::chrono::milliseconds aRetryAfter)
{
  // Spread, so that those refused together don't return together.
  double spread = 1 + kGrantRetrySpread *
                        UnitOf(StableHash(m_facts.m_id, m_facts.m_id.size()));
  auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRetryAfter * spread);
  Error error(ErrorKind::RateLimited,
              "organisation \"" + m_organisation->m_name +
                "\" is beyond its limit",
              "Send it again after the time given; it has not run.");
  error.WithRetryAfter(std::max(wait, kMinGrantPause));
  RespondError(*m_exchange, error);
  End("over_limit", HttpStatus(error.Kind()));
}

void
RoutedRequest::ReturnUnits(std::string_view aOutcome)
{
  bool hasNotRun = m_runs == 0 && !m_runSent && !m_answerBegun;
  double units = std::exchange(m_units, 0);
  if (units > 0 && (aOutcome == "refused" || hasNotRun)) {
    m_shared.m_grants.GiveBack(m_organisation->m_name, units);
  }
}

} // namespace shallotford
