/// RoutedRequest: the sending of one attempt, and what it waits for.

#include "config.h"
#include "router_request.h"

namespace shallotford {

void
RoutedRequest::Send(const UpstreamPtr& aUpstream, Phase aPhase)
{
  if (RefuseIfConvicted()) {
    return;
  }
  // A reservation takes the permit of its run, or of its release, as well.
  bool hasPermit = aPhase == Phase::Run && !m_reservation.empty();
  if (hasPermit) {
    SendNow(aUpstream, aPhase);
    return;
  }
  m_shared.m_permits.Acquire(
    aUpstream->m_entry.m_key,
    aPhase == Phase::Reserve ? kMaxPermitSends : 1,
    [this,
     aUpstream,
     aPhase,
     round = m_permitRound,
     alive = std::weak_ptr<bool>(m_alive)](bool aGranted) {
      if (alive.expired() || m_ended || round != m_permitRound) {
        return;
      }
      if (aGranted && aUpstream->TakesRequests(m_shared.m_loop.Now())) {
        SendNow(aUpstream, aPhase);
      } else {
        OnNoPermit(aPhase);
      }
    });
}

void
RoutedRequest::OnNoPermit(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Reserve:
      Reserve();
      return;
    case Phase::Prefill:
      StartPrefill();
      return;
    case Phase::Run:
    case Phase::Relay:
      StartRun();
      return;
  }
}

void
RoutedRequest::RefuseForLimits()
{
  m_limited = true;
  m_retryAfter = *m_permitWait;
  m_shared.m_metrics.Count("limited_total", "");
  Finish(DecideEnd(Progress()));
}

bool
RoutedRequest::EndIfObsolete()
{
  if (m_exchange->HasCallerLeft()) {
    m_shared.m_metrics.Count("left_before_send_total", "");
    OnCallerDisconnected();
    return true;
  }
  if (TimeLeft() == 0ms) {
    EndAtDeadline(AttemptEnd::Abandoned);
    return true;
  }
  return false;
}

std::optional<std::string>
RoutedRequest::OnReadyToSend(std::string aHead)
{
  if (EndIfObsolete()) {
    return {};
  }
  if (m_phase == Phase::Reserve) {
    return aHead;
  }
  if (m_shared.m_loop.Now() - m_sentAt > kMaxDeadlineAge) {
    aHead = HeadFor(*m_upstream, m_phase);
  }
  if (m_phase == Phase::Run) {
    OnRunLeaves();
  }
  m_runSent = IsRun();
  if (!m_silent.empty()) {
    WastePrompt("engine_silent"); // it is read a second time
  }
  m_isPromptRead = m_phase != Phase::Relay && ServedByEngines();
  if (m_phase == Phase::Run && IsStream()) {
    DropSilent(AttemptEnd::TimedOut, "another upstream continues the stream");
  }
  return aHead;
}

void
RoutedRequest::OnRunLeaves()
{
  bool begins = IsStream() && !m_facts.m_resumes && !m_facts.m_id.empty();
  if (begins) {
    // Published before the first event, so that other VMs know the origin even
    // if this one is lost right after it.
    m_shared.m_origins.Publish(
      { .m_requestId = m_facts.m_id,
        .m_requestKey = m_requestKey,
        .m_place = { .m_service = m_service,
                     .m_softwareVersion =
                       m_upstream->m_entry.m_softwareVersion },
        .m_wait =
          std::max(std::min(m_facts.m_deadline.value_or(0ms), kOriginLifetime),
                   m_route->m_timeout),
        .m_attempt = m_runs + m_refusals + 1 });
  }
  if (!m_reservation.empty()) {
    --m_reservedEngine->m_reserved;
    m_reservation.clear();
  }
}

void
RoutedRequest::SendNow(const UpstreamPtr& aUpstream, Phase aPhase)
{
  if (EndIfObsolete() || RefuseIfConvicted()) {
    return;
  }
  if (aPhase == Phase::Run && m_budgetedSends > 0 && !TakeRetryBudget()) {
    Finish(DecideEnd(Progress()));
    return;
  }
  BeginAttempt(aUpstream, aPhase);
  if (aPhase == Phase::Reserve) {
    m_call =
      m_shared.m_pool.Start(aUpstream->m_entry,
                            OptionsFor(m_shared.m_dialect.ReserveCall(
                                         aUpstream->m_entry,
                                         TokensToReserve(*aUpstream),
                                         Service()->m_reservationLifetime),
                                       std::min(kReserveTimeout, TimeLeft())),
                            *this);
    return;
  }
  StartCall(aUpstream, aPhase);
  m_attemptTimer = m_shared.m_loop.RunAfter(
    ServedByEngines() ? kEngineNoResponseTimeout : kNoResponseTimeout,
    [this] { OnNoResponse(); });
}

void
RoutedRequest::StartCall(const UpstreamPtr& aUpstream, Phase aPhase)
{
  UpstreamCallHandlerI* handler = this;
  if (IsRun()) {
    m_allEvents.push_back(std::make_unique<AttemptEvents>(*this));
    m_currentEvents = m_allEvents.back().get();
    handler = m_currentEvents;
    ArmSilenceTimer(SilencePatience());
  }
  m_call = m_shared.m_pool.Start(
    aUpstream->m_entry, CallOptions(aUpstream, aPhase), *handler);
}

void
RoutedRequest::BeginAttempt(const UpstreamPtr& aUpstream, Phase aPhase)
{
  m_phase = aPhase;
  m_upstream = aUpstream;
  m_heldAnswer = {};
  m_pendingEnd = AttemptEnd::Broken;
  m_streaming = false;
  m_eventSpan.reset();
  m_runSent = false;
  m_callFailure.reset();
  m_closedByUpstream = false;
  m_sentAt = m_shared.m_loop.Now();
  aUpstream->m_health.OnStart(m_sentAt);
  m_lastBytesAt = m_sentAt;
  m_shared.m_loop.CancelTimer(m_attemptTimer);
}

UpstreamCallOptions
RoutedRequest::CallOptions(const UpstreamPtr& aUpstream, Phase aPhase)
{
  return { .m_head = HeadFor(*aUpstream, aPhase),
           .m_body = m_request.m_body,
           .m_isHead = m_request.m_head.m_method == "HEAD",
           .m_maxReuseIdle = m_route->MayRepeat() || aPhase == Phase::Prefill
                               ? kMaxReuseIdleRepeatable
                               : kMaxReuseIdleNonRepeatable,
           .m_sendTimeout = SendTimeout(aPhase),
           .m_headTimeout = HeadTimeout(aPhase),
           .m_bodyTimeout = BodyTimeout(),
           .m_wholeTimeout =
             aPhase == Phase::Prefill ? HeadTimeout(aPhase) : 0ms };
}

std::string
RoutedRequest::HeadFor(const Upstream& aUpstream, Phase aPhase) const
{
  Dispatch dispatch{ .m_timeLeft = TimeLeft(),
                     .m_upstreamId = aPhase == Phase::Relay
                                       ? std::string()
                                       : aUpstream.m_entry.m_key.m_id,
                     .m_prefillOnly = aPhase == Phase::Prefill,
                     .m_prefillAddress = {},
                     .m_prefillHandle = {},
                     .m_reservation = {},
                     .m_lastEventId = m_events.LastId() };
  if (aPhase == Phase::Run && !m_prefillHandle.empty()) {
    dispatch.m_prefillAddress = m_prefillUpstream->m_entry.m_address;
    dispatch.m_prefillHandle = m_prefillHandle;
  }
  if (aPhase == Phase::Run && m_reservedEngine.get() == &aUpstream) {
    dispatch.m_reservation = m_reservation;
  }
  if (m_routing->NeedsKeys()) {
    dispatch.m_organisation =
      m_organisation == nullptr ? "" : m_organisation->m_name;
  }
  if (aPhase != Phase::Relay && m_isRanked) {
    dispatch.m_urgency = static_cast<std::uint32_t>(std::max(Urgency(), 0));
  }
  const RequestHead& head = m_request.m_head;
  HttpHeaders fields = m_shared.m_dialect.FieldsForUpstream(head, dispatch);
  if (head.m_framing == BodyFraming::Chunked ||
      FindField(head.m_fields, "content-length") != nullptr) {
    fields.push_back(
      { "Content-Length", std::to_string(m_request.m_body->size()) });
  }
  if (aPhase == Phase::Relay) {
    AddRelayFacts({ .m_configVersion = m_routing->m_version,
                    .m_softwareVersion = m_softwareVersion,
                    .m_organisation = dispatch.m_organisation },
                  fields);
  }
  return WriteRequestHead(head.m_method, head.m_target, fields);
}

std::chrono::milliseconds
RoutedRequest::SendTimeout(Phase aPhase) const
{
  bool mayGoElsewhere = aPhase != Phase::Prefill && HasAttemptsLeft();
  return mayGoElsewhere ? std::min(TimeLeft(), Milliseconds(SilencePatience()))
                        : HeadTimeout(aPhase);
}

std::chrono::milliseconds
RoutedRequest::HeadTimeout(Phase aPhase) const
{
  std::chrono::milliseconds left = TimeLeft();
  if (aPhase == Phase::Prefill) {
    return std::min(left,
                    m_shared.m_prefillDelays[m_service].PrefillTimeout(
                      m_facts.m_promptTokens, m_shared.m_loop.Now()));
  }
  return left + kAttemptTimerMargin; // the request's own timer ends it
}

std::chrono::milliseconds
RoutedRequest::BodyTimeout() const
{
  return TimeLeft() + kAttemptTimerMargin;
}

void
RoutedRequest::OnNoResponse()
{
  if (m_upstream != nullptr && m_phase != Phase::Relay) {
    m_shared.OnNoAnswer(m_upstream->m_entry);
  }
  if (m_upstream != nullptr &&
      m_upstream->m_health.OnNoResponse(m_sentAt, m_shared.m_loop.Now())) {
    m_shared.m_log.Write(LogEvent("upstream_suspected")
                           .Add("request", m_facts.m_id)
                           .Add("upstream", m_upstream->m_entry.m_key.m_id)
                           .Add("silence", m_shared.m_loop.Now() - m_sentAt));
  }
}

} // namespace shallotford
