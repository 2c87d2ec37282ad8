/// RoutedRequest: what the time of its attempts tells of upstreams.

#include "router_pace.h"
#include "router_request.h"

namespace shallotford {

void
RoutedRequest::NotePace(AttemptEnd aEnd)
{
  bool isUnsure = m_callerSlow || m_sentAt <= m_shared.m_heldUpAt;
  bool answered = aEnd == AttemptEnd::Answered;
  TimePoint now = m_shared.m_loop.Now();
  Upstream& upstream = *m_upstream;
  auto learn = [&](const std::string& aKind, double aUnits, Duration aTook) {
    m_shared.m_upstreams.OnWork(upstream, aKind, aUnits, aTook, now);
  };
  if (isUnsure) {
    return;
  }
  if (m_phase == Phase::Prefill) {
    if (answered || aEnd == AttemptEnd::TimedOut) {
      learn("prefill", m_facts.m_promptTokens, now - m_sentAt);
    }
  } else if (m_phase == Phase::Run && answered && m_streaming) {
    // Only this attempt has brought events; a resumed one brings a part.
    bool isWhole = m_runs == 0 && !m_facts.m_resumes && m_answerBegun;
    if (isWhole) {
      learn("events", m_facts.m_outputTokens, m_lastBytesAt - m_firstEventAt);
    }
  } else if (m_phase == Phase::Run && answered) {
    constexpr int kStatusClass = 100;
    bool isDone = m_heldAnswer.m_head.m_status / kStatusClass == 2;
    learn("route " + m_route->m_name, isDone ? 1 : 0, now - m_sentAt);
  }
  LogPace(m_shared.m_log, upstream, now);
}

} // namespace shallotford
