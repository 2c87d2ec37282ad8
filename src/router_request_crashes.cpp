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
  constexpr int kSuccess = 2;
  bool succeeded = aEnd == AttemptEnd::Answered &&
                   m_heldAnswer.m_head.m_status / 100 == kSuccess;
  if (m_closedByUpstream && aEnd == AttemptEnd::Broken) {
    ReportBrokenRun(m_upstream, m_eventSpan);
  } else if (aEnd == AttemptEnd::TimedOut) {
    ReportSilence(m_upstream, m_sentAt);
  } else if (m_phase == Phase::Run && succeeded) {
    m_shared.m_crashes.OnRunComplete(m_upstream->m_entry.m_key, m_traits);
  }
}

void
RoutedRequest::ReportBrokenRun(const UpstreamPtr& aUpstream,
                               const std::optional<EventSpan>& aEventSpan)
{
  std::optional<std::chrono::milliseconds> age;
  if (aEventSpan) {
    age = aEventSpan->Length();
  }
  m_shared.m_crashes.OnRunBroken(aUpstream->m_entry.m_key, m_traits, age);
}

void
RoutedRequest::ReportSilentRun(const SilentAttempt& aSilent,
                               AttemptEnd aEnd,
                               bool aClosedByUpstream)
{
  if (aSilent.m_phase == Phase::Relay) {
    return;
  }
  if (aClosedByUpstream && aEnd == AttemptEnd::Broken) {
    ReportBrokenRun(aSilent.m_upstream, aSilent.m_eventSpan);
  } else if (aEnd == AttemptEnd::TimedOut && TimeLeft() == 0ms) {
    // Before, the upstream might still have answered.
    ReportSilence(aSilent.m_upstream, aSilent.m_sentAt);
  }
}

void
RoutedRequest::ReportSilence(const UpstreamPtr& aUpstream, TimePoint aSentAt)
{
  // Requests to engines share parts of their prompts, which a network fault
  // must not convict.
  if (!ServedByEngines() && aUpstream->m_health.IsEjected()) {
    m_shared.m_crashes.OnRunSilent(aUpstream, m_traits, aSentAt);
  }
}

bool
RoutedRequest::RefuseIfConvicted()
{
  Duration left = m_shared.m_crashes.ConvictedFor(m_traits);
  if (left == Duration::zero()) {
    return false;
  }
  m_quarantined = true;
  m_retryAfter = std::min(kQuarantineRetryAfter, Milliseconds(left) + 1ms);
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
  DropSilent(AttemptEnd::Abandoned, "requests like it crash upstreams");
  RefuseIfConvicted();
}

} // namespace shallotford
