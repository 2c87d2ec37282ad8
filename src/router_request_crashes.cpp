/// RoutedRequest: what its runs tell about crashed upstreams, and its refusal
/// if requests like it crash them.

#include "config.h"
#include "router_request.h"

namespace shallotford {

void
RoutedRequest::ReportRun(AttemptEnd aEnd)
{
  if (m_phase == Phase::Reserve || m_phase == Phase::Relay) {
    return;
  }
  const UpstreamKey& upstream = m_upstream->m_entry.m_key;
  constexpr int kSuccess = 2;
  bool succeeded = aEnd == AttemptEnd::Answered &&
                   m_heldAnswer.m_head.m_status / 100 == kSuccess;
  bool wasBroken =
    m_closedByUpstream && !m_hasEvents && aEnd == AttemptEnd::Broken;
  // Requests to engines share parts of their prompts, which a network fault
  // must not convict.
  bool fellSilent = aEnd == AttemptEnd::TimedOut && !ServedByEngines() &&
                    m_upstream->m_health.IsEjected();
  if (wasBroken || fellSilent) {
    m_shared.m_crashes.OnRunBroken(upstream, m_traits);
  } else if (m_phase == Phase::Run && succeeded) {
    m_shared.m_crashes.OnRunComplete(upstream, m_traits);
  }
}

bool
RoutedRequest::RefuseIfConvicted()
{
  if (!m_shared.m_crashes.IsConvicted(m_traits)) {
    return false;
  }
  m_quarantined = true;
  m_retryAfter = kQuarantineRetryAfter;
  m_shared.m_metrics.Count("quarantined_total", "");
  Finish(DecideEnd(Progress()));
  return true;
}

void
RoutedRequest::OnConviction()
{
  if (m_ended || m_answerBegun || !m_shared.m_crashes.IsConvicted(m_traits)) {
    return;
  }
  AbandonCall(AttemptEnd::Abandoned, "requests like it crash upstreams");
  RefuseIfConvicted();
}

} // namespace shallotford
