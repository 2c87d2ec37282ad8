/// RoutedRequest: the answer to the caller, deadline, cancellation, and the log
/// line at the request's end.

#include "config.h"
#include "router_request.h"

namespace shallotford {

void
RoutedRequest::Deliver(HeldAnswer& aAnswer)
{
  HttpHeaders fields;
  bool toHead = m_request.m_head.m_method == "HEAD";
  for (const HttpHeader& field : aAnswer.m_head.m_fields) {
    bool length = SameFieldName(field.m_name, "content-length");
    if (!IsConnectionField(aAnswer.m_head.m_fields, field.m_name) ||
        (toHead && length)) {
      fields.push_back(field);
    }
  }
  AddRelayField(fields);
  int status = aAnswer.m_head.m_status;
  m_exchange->Respond(
    status, aAnswer.m_head.m_reason, std::move(fields), aAnswer.m_body);
  // The request lives on until the loop's next turn.
  std::string().swap(aAnswer.m_body);
  End("answered", status);
}

void
RoutedRequest::FinishStream()
{
  if (!m_events.Rest().empty()) {
    m_exchange->Write(m_events.Rest());
  }
  m_exchange->End();
  End("answered", m_heldAnswer.m_head.m_status);
}

void
RoutedRequest::Finish(NextStep aStep)
{
  if (aStep != NextStep::PassOn && (TryRelay() || WaitForSilent())) {
    return;
  }
  switch (aStep) {
    case NextStep::PassOn:
      Deliver(*m_failure);
      return;
    case NextStep::AbortAnswer:
      m_exchange->Abort();
      End("cut", 0);
      return;
    case NextStep::AnswerUnknown: {
      Error error(ErrorKind::UpstreamFailed,
                  "the upstream broke off its answer",
                  "The request may have run; check before sending it again.",
                  RunState::Unknown);
      RespondError(*m_exchange, error);
      End("failed", HttpStatus(error.Kind()));
      return;
    }
    case NextStep::AnswerTimeout: {
      Error error(ErrorKind::DeadlineExceeded,
                  "no answer came in " + std::to_string(Elapsed().count()) +
                    " ms",
                  "The request may have run; check before sending it again.",
                  RunState::Unknown);
      RespondError(*m_exchange, error);
      End("timed_out", HttpStatus(error.Kind()));
      return;
    }
    case NextStep::TryAgain:
    case NextStep::Refuse:
      Refuse();
      return;
  }
}

void
RoutedRequest::Refuse()
{
  auto share = std::chrono::duration_cast<std::chrono::milliseconds>(
    TimeLeft() * kMaxRetryAfterShare);
  std::string reason =
    "no upstream of service \"" + m_service + "\" took the request";
  if (m_quarantined) {
    reason = "requests like this one crash the upstreams of service \"" +
             m_service + "\"";
  } else if (m_forecast) {
    reason = "the engines of service \"" + m_service +
             "\" will have no memory for it in time";
  } else if (m_limited) {
    reason = "the upstreams of service \"" + m_service +
             "\" take no more requests a second";
  }
  Error error(ErrorKind::NoUpstream,
              reason,
              m_quarantined ? "Change its prompt; it has not run."
                            : "Send it again after the time given; it has "
                              "not run.");
  // An earlier return would find the limits unchanged.
  error.WithRetryAfter(m_limited ? m_retryAfter
                                 : std::min(m_retryAfter, share));
  RespondError(*m_exchange, error);
  End("refused", HttpStatus(error.Kind()));
}

void
RoutedRequest::OnDeadline()
{
  bool noAnswer = m_heldAnswer.m_head.m_status == 0;
  EndAtDeadline(noAnswer ? AttemptEnd::TimedOut : AttemptEnd::Abandoned);
}

void
RoutedRequest::EndAtDeadline(AttemptEnd aEnd)
{
  AbandonCall(aEnd, "the request's time is over");
  DropSilent(aEnd, "the request's time is over");
  RequestProgress progress = Progress();
  progress.m_timeLeft = std::chrono::milliseconds::zero();
  Finish(DecideEnd(progress));
}

void
RoutedRequest::OnStop()
{
  if (m_ended) {
    return;
  }
  m_stopped = true;
  AbandonCall(AttemptEnd::Abandoned, "this VM stops");
  DropSilent(AttemptEnd::Abandoned, "this VM stops");
  Finish(DecideEnd(Progress()));
}

void
RoutedRequest::AbandonCall(AttemptEnd aEnd, const std::string& aReason)
{
  if (m_call == nullptr) {
    return;
  }
  bool wasSent = ReleaseCall();
  m_shared.m_loop.CancelTimer(m_attemptTimer);
  m_shared.m_loop.CancelTimer(m_silenceTimer);
  NoteLink(aEnd);
  m_upstream->m_health.OnEnd(aEnd, m_sentAt, m_shared.m_loop.Now());
  LogAttempt(aEnd, aReason);
  ReportRun(aEnd);
  m_runs += IsRun() && wasSent ? 1 : 0;
}

void
RoutedRequest::OnCallerDisconnected()
{
  if (m_call != nullptr) {
    ReleaseCall();
    m_shared.m_loop.CancelTimer(m_attemptTimer);
    m_shared.m_loop.CancelTimer(m_silenceTimer);
    TimePoint now = m_shared.m_loop.Now();
    // If the upstream sent no bytes for a long time before the caller
    // disconnected, the attempt counts as timed out.
    bool noAnswer = now - m_lastBytesAt >= kMaxStreamPause;
    AttemptEnd end = noAnswer ? AttemptEnd::TimedOut : AttemptEnd::Abandoned;
    m_upstream->m_health.OnEnd(end, m_sentAt, now);
    ReportRun(end);
  }
  DropSilent(AttemptEnd::Abandoned, "the caller has left");
  End("cancelled", 0);
}

void
RoutedRequest::WastePrompt(std::string_view aCause)
{
  if (!std::exchange(m_isPromptRead, false)) {
    return;
  }
  ++m_wastedPrompts;
  m_wasteCause = aCause;
  m_shared.m_metrics.Count("wasted_prefills_total",
                           "cause=\"" + m_wasteCause + "\"");
}

void
RoutedRequest::WasteRunsPrompt(AttemptEnd aEnd)
{
  bool notRun = aEnd == AttemptEnd::NotConnected ||
                aEnd == AttemptEnd::Refused || aEnd == AttemptEnd::Replaced;
  if (notRun && m_prefillHandle.empty()) {
    m_isPromptRead = false; // no engine has read it
    return;
  }
  if (aEnd == AttemptEnd::Refused) {
    WastePrompt("handle_refused");
  } else if (aEnd == AttemptEnd::Failed) {
    WastePrompt("run_failed");
  } else if (aEnd == AttemptEnd::TimedOut) {
    WastePrompt("engine_silent");
  } else {
    WastePrompt("engine_lost");
  }
}

void
RoutedRequest::End(std::string_view aOutcome, int aStatus)
{
  if (std::exchange(m_ended, true)) {
    return;
  }
  if (aOutcome != "answered") {
    WastePrompt(aOutcome);
  }
  DropSilent(AttemptEnd::Abandoned, "the request has ended");
  m_shared.m_loop.CancelTimer(m_deadlineTimer);
  m_shared.m_loop.CancelTimer(m_silenceTimer);
  m_exchange->OnClosed(nullptr);
  m_exchange->OnDrained(nullptr);
  if (m_queueNumber != 0) {
    m_shared.m_admission.Leave(m_queueNumber);
  }
  ReleaseReservation();
  ReturnUnits(aOutcome);
  if (m_answerBegun && ServedByEngines()) {
    m_shared.m_admission.OnFreed(QueueName());
  }
  Duration took = m_shared.m_loop.Now() - m_received;
  if (m_answerBegun && IsStream() && aOutcome == "answered") {
    m_shared.m_streamTimes.OnEnd(
      *m_route, m_facts.m_outputTokens, took, m_shared.m_loop.Now());
    NoteOutput();
  }
  LogEvent event("request_end",
                 aOutcome == "answered" ? LogLevel::Info : LogLevel::Warning);
  event.Add("request", m_facts.m_id)
    .Add("route", m_route->m_name)
    .Add("version", static_cast<std::int64_t>(m_routing->m_version))
    .Add("kind", shallotford::ToString(m_route->m_kind))
    .Add("service", m_service)
    .Add("outcome", aOutcome)
    .Add("status", static_cast<std::int64_t>(aStatus))
    .Add("runs", static_cast<std::int64_t>(m_runs))
    .Add("refusals", static_cast<std::int64_t>(m_refusals))
    .Add("prefills", static_cast<std::int64_t>(m_prefills))
    .Add("took", took)
    .Add("read_delay", m_readDelay);
  if (m_prefillUpstream != nullptr) {
    event.Add("prefill", m_prefillUpstream->m_entry.m_key.m_id);
  }
  if (m_upstream != nullptr) {
    event.Add("upstream", m_upstream->m_entry.m_key.m_id)
      .Add("software", m_upstream->m_entry.m_softwareVersion);
  }
  if (m_organisation != nullptr) {
    event.Add("organisation", m_organisation->m_name);
  }
  if (m_forecast) {
    event.Add("forecast", "yes");
  }
  if (m_quarantined) {
    event.Add("quarantined", "yes");
  }
  if (m_limited) {
    event.Add("limited", "yes");
  }
  if (m_retryDenied) {
    event.Add("retry_budget", "spent");
  }
  if (m_relays > 0) {
    event.Add("relays", static_cast<std::int64_t>(m_relays));
  }
  if (m_relayed) {
    event.Add("relayed", "yes");
  }
  if (!m_facts.m_promptParts.empty()) {
    event.Add("parts", JoinedParts());
  }
  if (!m_requestKey.empty()) {
    event.Add("key", m_requestKey);
  }
  if (m_facts.m_resumes) {
    event.Add("resumes",
              m_facts.m_resumedId.empty() ? "unnamed" : m_facts.m_resumedId);
  }
  if (m_answerBegun) {
    AddBodyState(event);
  }
  if (m_wastedPrompts > 0) {
    event.Add("wasted_prefills", static_cast<std::int64_t>(m_wastedPrompts))
      .Add("wasted_tokens",
           std::int64_t{ m_wastedPrompts } * m_facts.m_promptTokens)
      .Add("wasted_by", m_wasteCause);
  }
  if (m_reservedEngine != nullptr) {
    event.Add("reserved", m_reservedSince - m_received)
      .Add("prompt", static_cast<std::int64_t>(m_facts.m_promptTokens))
      .Add("output", static_cast<std::int64_t>(m_facts.m_outputTokens))
      .Add(
        "prefill_delay",
        m_shared.m_prefillDelays[m_service].ExpectedWait(m_shared.m_loop.Now()))
      .Add("last_event", m_events.LastId());
  }
  if (m_answerBegun) {
    event.Add("first_event", m_firstEventAt - m_received);
  }
  m_shared.m_log.Write(event);
  m_shared.m_metrics.Count(
    "requests_total",
    "kind=\"" + std::string(shallotford::ToString(m_route->m_kind)) +
      "\",outcome=\"" + std::string(aOutcome) + "\"");
  m_shared.m_metrics.Observe(Latency::Request, took);
  if (m_answerBegun) {
    m_shared.m_metrics.Observe(Latency::FirstToken,
                               m_firstEventAt - m_received);
  }
  m_onEnd();
}

void
RoutedRequest::AddBodyState(LogEvent& aEvent) const
{
  aEvent.Add("framing", shallotford::ToString(m_heldAnswer.m_head.m_framing))
    .Add("incomplete_event", static_cast<std::int64_t>(m_events.Rest().size()));
}

void
RoutedRequest::LogAttempt(AttemptEnd aEnd, const std::string& aReason) const
{
  LogEvent event("attempt_failed", LogLevel::Warning);
  event.Add("request", m_facts.m_id)
    .Add("phase", ToString(m_phase))
    .Add("upstream", m_upstream->m_entry.m_key.m_id)
    .Add("address", m_upstream->m_entry.m_address)
    .Add("software", m_upstream->m_entry.m_softwareVersion)
    .Add("end", shallotford::ToString(aEnd))
    .Add("reason", aReason)
    .Add("status", static_cast<std::int64_t>(m_heldAnswer.m_head.m_status))
    .Add("in_flight",
         static_cast<std::int64_t>(m_upstream->m_health.InFlight()))
    .Add("took", m_shared.m_loop.Now() - m_sentAt)
    .Add("time_left", Duration(TimeLeft()));
  if (m_callFailure) {
    event.Add("connection", m_callFailure->m_reused ? "reused" : "new")
      .Add("sent_bytes", static_cast<std::int64_t>(m_callFailure->m_sentBytes));
  }
  if (!m_facts.m_promptParts.empty()) {
    event.Add("parts", JoinedParts());
  }
  if (m_streaming) {
    event.Add("events", m_eventSpan ? "yes" : "no");
    AddBodyState(event);
  }
  m_shared.m_log.Write(event);
}

std::string
RoutedRequest::JoinedParts() const
{
  std::string joined;
  for (const std::string& part : m_facts.m_promptParts) {
    joined += (joined.empty() ? "" : ",") + part;
  }
  return joined;
}

} // namespace shallotford
