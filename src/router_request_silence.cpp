/// RoutedRequest: upstreams that are silent. A sound upstream may send nothing
/// for a time and go on, so its call stays open until another upstream serves
/// the request.

#include "config.h"
#include "router_request.h"

namespace shallotford {

// ------------------------------------------------------ events of an attempt

std::optional<std::string>
AttemptEvents::OnReadyToSend(std::string aHead)
{
  return m_request.OnReadyToSend(std::move(aHead));
}

void
AttemptEvents::OnAnswerHead(const AnswerHead& aHead)
{
  if (auto silent = m_request.FindSilent(this)) {
    if (!m_request.IsUseful(aHead)) {
      m_request.EndSilent(
        *silent, AttemptEnd::Broken, "a late answer of no use", false);
      return;
    }
    m_request.TakeBack(*silent);
  }
  m_request.OnAnswerHead(aHead);
}

void
AttemptEvents::OnAnswerBody(std::string_view aBytes)
{
  if (auto silent = m_request.FindSilent(this)) {
    m_request.TakeBack(*silent);
  }
  m_request.OnAnswerBody(aBytes);
}

void
AttemptEvents::OnAnswerEnd()
{
  if (auto silent = m_request.FindSilent(this)) {
    m_request.TakeBack(*silent);
  }
  m_request.OnAnswerEnd();
}

void
AttemptEvents::OnCallFailed(const CallFailure& aFailure)
{
  if (auto silent = m_request.FindSilent(this)) {
    m_request.EndSilent(
      *silent, aFailure.m_end, aFailure.m_reason, aFailure.m_closedByUpstream);
    return;
  }
  m_request.OnCallFailed(aFailure);
}

// ------------------------------------------------------------- the request

Duration
RoutedRequest::SilencePatience() const
{
  bool hasHead = m_heldAnswer.m_head.m_status != 0;
  if (hasHead) {
    return kMaxStreamPause;
  }
  return IsStream() ? kFirstEventTimeout
                    : std::max(kMinAnswerHeadTimeout, m_route->m_latencyTarget);
}

void
RoutedRequest::ArmSilenceTimer(Duration aDelay)
{
  m_shared.m_loop.CancelTimer(m_silenceTimer);
  m_silenceTimer = m_shared.m_loop.RunAfter(Milliseconds(aDelay) + 1ms,
                                            [this] { CheckSilence(); });
}

void
RoutedRequest::CheckSilence()
{
  bool hasHead = m_heldAnswer.m_head.m_status != 0;
  // A plain answer that has begun isn't given up for its pauses.
  if (m_call == nullptr || !IsRun() || !HasAttemptsLeft() ||
      (hasHead && !m_streaming)) {
    return;
  }
  if (!MayRunElsewhere()) {
    ArmSilenceTimer(kSilenceSearchPeriod);
    return;
  }
  TimePoint now = m_shared.m_loop.Now();
  Duration wait = m_lastBytesAt + SilencePatience() - now;
  if (m_readingPaused) {
    wait = SilencePatience();
  } else if (!m_runSent) {
    wait = std::max<Duration>(wait, kConnectTimeout);
  }
  wait = std::max<Duration>(wait, m_nextSearchAt - now);
  if (wait > Duration::zero()) {
    ArmSilenceTimer(wait);
    return;
  }
  PutAside();
}

bool
RoutedRequest::MayRunElsewhere() const
{
  RequestProgress progress = Progress();
  ++progress.m_runs;
  return DecideNextStep(progress, AttemptEnd::TimedOut) == NextStep::TryAgain;
}

void
RoutedRequest::PutAside()
{
  TimePoint now = m_shared.m_loop.Now();
  m_nextSearchAt = now + kSilenceSearchPeriod;
  m_shared.m_loop.CancelTimer(m_attemptTimer);
  NoteLink(AttemptEnd::TimedOut);
  m_upstream->m_health.OnNoResponse(m_sentAt, now);
  m_shared.m_metrics.Count("silent_attempts_total", "");
  bool isNew = m_excluded.insert(m_upstream->m_entry.m_key).second;
  if (isNew) {
    LogSilence();
  }
  ++m_runs;
  ++m_budgetedSends;
  m_silent.push_back({ .m_events = m_currentEvents,
                       .m_phase = m_phase,
                       .m_upstream = m_upstream,
                       .m_call = std::move(m_call),
                       .m_sentAt = m_sentAt,
                       .m_lastBytesAt = m_lastBytesAt,
                       .m_heldAnswer = std::exchange(m_heldAnswer, {}),
                       .m_pendingEnd = m_pendingEnd,
                       .m_streaming = m_streaming,
                       .m_eventSpan = m_eventSpan });
  TryAgain();
}

void
RoutedRequest::LogSilence() const
{
  m_shared.m_log.Write(LogEvent("attempt_silent")
                         .Add("request", m_facts.m_id)
                         .Add("phase", ToString(m_phase))
                         .Add("upstream", m_upstream->m_entry.m_key.m_id)
                         .Add("events", m_eventSpan ? "yes" : "no")
                         .Add("silence", m_shared.m_loop.Now() - m_lastBytesAt)
                         .Add("time_left", Duration(TimeLeft())));
}

std::optional<std::size_t>
RoutedRequest::FindSilent(const AttemptEvents* aEvents) const
{
  for (std::size_t i = 0; i < m_silent.size(); ++i) {
    if (m_silent[i].m_events == aEvents) {
      return i;
    }
  }
  return {};
}

void
RoutedRequest::TakeBack(std::size_t aIndex)
{
  SilentAttempt silent = std::move(m_silent[aIndex]);
  m_silent.erase(m_silent.begin() + static_cast<std::ptrdiff_t>(aIndex));
  ++m_permitRound;
  AbandonCall(AttemptEnd::Abandoned, "a silent upstream goes on");
  if (m_queueNumber != 0) {
    m_shared.m_admission.Leave(std::exchange(m_queueNumber, 0));
  }
  ReleaseReservation();
  --m_runs;
  --m_budgetedSends;
  m_currentEvents = silent.m_events;
  m_phase = silent.m_phase;
  m_upstream = silent.m_upstream;
  m_call = std::move(silent.m_call);
  m_sentAt = silent.m_sentAt;
  m_lastBytesAt = silent.m_lastBytesAt;
  m_heldAnswer = std::move(silent.m_heldAnswer);
  m_pendingEnd = silent.m_pendingEnd;
  m_streaming = silent.m_streaming;
  m_eventSpan = silent.m_eventSpan;
  m_runSent = true;
  m_callFailure.reset();
  m_closedByUpstream = false;
  ArmSilenceTimer(SilencePatience());
}

bool
RoutedRequest::IsUseful(const AnswerHead& aHead) const
{
  constexpr int kFirstFailure = 500;
  AnswerFacts facts = m_shared.m_dialect.ReadAnswer(aHead);
  bool isOther =
    !facts.m_requestId.empty() && facts.m_requestId != m_facts.m_id;
  return facts.m_isSigned && !isOther && !facts.m_replaced &&
         !facts.m_notExecuted && aHead.m_status < kFirstFailure;
}

void
RoutedRequest::EndSilent(std::size_t aIndex,
                         AttemptEnd aEnd,
                         const std::string& aReason,
                         bool aClosedByUpstream)
{
  SilentAttempt silent = std::move(m_silent[aIndex]);
  m_silent.erase(m_silent.begin() + static_cast<std::ptrdiff_t>(aIndex));
  silent.m_call->Cancel();
  m_shared.m_loop.DestroyLater(std::move(silent.m_call));
  silent.m_upstream->m_health.OnEnd(
    aEnd, silent.m_sentAt, m_shared.m_loop.Now());
  m_shared.m_metrics.Count("attempts_total",
                           "end=\"" + std::string(shallotford::ToString(aEnd)) +
                             "\"");
  if (silent.m_streaming) {
    m_events.TakeRest();
  }
  m_shared.m_log.Write(
    LogEvent("silent_attempt_ended")
      .Add("request", m_facts.m_id)
      .Add("upstream", silent.m_upstream->m_entry.m_key.m_id)
      .Add("end", shallotford::ToString(aEnd))
      .Add("reason", aReason)
      .Add("silence", m_shared.m_loop.Now() - silent.m_lastBytesAt));
  ReportSilentRun(silent, aEnd, aClosedByUpstream);
}

void
RoutedRequest::DropSilent(AttemptEnd aEnd, const std::string& aReason)
{
  while (!m_silent.empty()) {
    EndSilent(m_silent.size() - 1, aEnd, aReason, false);
  }
}

bool
RoutedRequest::WaitForSilent()
{
  if (m_silent.empty() || TimeLeft() == 0ms || m_quarantined || m_stopped) {
    return false;
  }
  m_limited = false;
  TakeBack(m_silent.size() - 1);
  return true;
}

} // namespace shallotford
