/// RoutedRequest: the choice of upstreams, and the attempts at them.

#include "router_request.h"

#include "config.h"

namespace shallotford {

namespace {

/// Returns the id of the request that began the stream, or of the request
/// itself.
const std::string&
StreamId(const RequestFacts& aFacts)
{
  return aFacts.m_resumedId.empty() ? aFacts.m_id : aFacts.m_resumedId;
}

/// Returns a digest of what all attempts at one request have in common.
std::string
KeyOf(const CallerRequest& aRequest, const RequestFacts& aFacts)
{
  const std::string* host = FindField(aRequest.m_head.m_fields, "host");
  std::string text = aRequest.m_head.m_method + " " +
                     (host == nullptr ? "" : *host) + aRequest.m_head.m_target;
  for (const std::string& part : aFacts.m_promptParts) {
    text += "\n" + part;
  }
  return Hex(StableHash(*aRequest.m_body, StableHash(text)));
}

} // namespace

RoutedRequest::RoutedRequest(RouterShared& aShared,
                             RoutedRequestOptions aOptions)
  : m_shared(aShared)
  , m_exchange(std::move(aOptions.m_exchange))
  , m_request(std::move(aOptions.m_request))
  , m_facts(std::move(aOptions.m_facts))
  , m_routing(std::move(aOptions.m_routing))
  , m_route(aOptions.m_route)
  , m_organisation(aOptions.m_organisation)
  , m_service(ChooseTarget(*m_route, StableHash(StreamId(m_facts))))
  , m_traits(TraitsOf(m_service, m_request, m_facts))
  , m_relayed(std::move(aOptions.m_relayed))
  , m_onEnd(std::move(aOptions.m_onEnd))
  , m_received(m_request.m_arrivedAt)
  , m_deadline(m_received +
               std::min(m_facts.m_deadline.value_or(m_route->m_timeout),
                        m_route->m_timeout))
  , m_retryAfter(kNoUpstreamRetryAfter)
{
  FindRank();
}

RoutedRequest::~RoutedRequest()
{
  m_shared.m_loop.CancelTimer(m_deadlineTimer);
  m_shared.m_loop.CancelTimer(m_attemptTimer);
  m_shared.m_loop.CancelTimer(m_silenceTimer);
}

void
RoutedRequest::Start()
{
  if (!m_relayed) {
    m_shared.BudgetOf(m_service).OnRequest(m_shared.m_loop.Now());
  }
  m_readDelay = m_shared.m_loop.Now() - m_received;
  m_shared.m_metrics.Observe(Latency::ReadDelay, m_readDelay);
  m_exchange->OnClosed([this] { OnCallerDisconnected(); });
  m_exchange->OnDrained([this] { OnCallerDrained(); });
  m_deadlineTimer =
    m_shared.m_loop.RunAfter(TimeLeft(), [this] { OnDeadline(); });
  if (EndIfObsolete()) {
    return;
  }
  if (CountsTowardsLimit()) {
    AcquireUnits();
  } else {
    Proceed();
  }
}

void
RoutedRequest::Proceed()
{
  if (IsStream()) {
    m_requestKey = KeyOf(m_request, m_facts);
  }
  if (IsStream() && m_relayed && m_relayed->m_softwareVersion) {
    ContinueStream(
      StreamPlace{ .m_service = m_service,
                   .m_softwareVersion = *m_relayed->m_softwareVersion });
  } else if (IsStream() && m_facts.m_resumes) {
    FindStream();
  } else if (!IsStream() || ChooseSoftwareVersion()) {
    Begin();
  } else {
    Finish(DecideEnd(Progress()));
  }
}

void
RoutedRequest::OnCallerDrained()
{
  if (std::exchange(m_readingPaused, false)) {
    m_lastBytesAt = m_shared.m_loop.Now();
  }
  if (m_call != nullptr) {
    m_call->ResumeReading();
  }
}

bool
RoutedRequest::ChooseSoftwareVersion()
{
  if (m_facts.m_id.empty()) {
    return true;
  }
  m_softwareVersion = m_shared.m_versions.Choose(m_service, m_facts.m_id);
  TimePoint now = m_shared.m_loop.Now();
  if (AreLinksCut()) {
    return true;
  }
  // Sent again, the request gets another id and with it another choice.
  return m_shared.m_upstreams.IsReachable(m_service, m_softwareVersion, now) ||
         !m_shared.m_upstreams.IsReachable(m_service, {}, now);
}

void
RoutedRequest::FindStream()
{
  m_shared.m_versions.Find(
    { .m_requestId = m_facts.m_id,
      .m_streamId = m_facts.m_resumedId,
      .m_requestKey = m_requestKey,
      .m_service = m_facts.m_resumedId.empty() ? OnlyService() : m_service,
      .m_deadline = m_facts.m_deadline,
      .m_timeout = m_route->m_timeout,
      .m_movedAt = m_shared.m_routeMoves.MovedAt(*m_route) },
    [this, alive = std::weak_ptr<bool>(m_alive)](
      const std::optional<StreamPlace>& aPlace) {
      if (!alive.expired() && !m_ended) {
        ContinueStream(aPlace);
      }
    });
}

bool
RoutedRequest::LeadsTo(const std::string& aService) const
{
  return std::any_of(m_route->m_targets.begin(),
                     m_route->m_targets.end(),
                     [&](const RouteTarget& aTarget) {
                       return aTarget.m_service == aService &&
                              aTarget.m_weight > 0;
                     });
}

std::string
RoutedRequest::OnlyService() const
{
  auto serving = std::count_if(
    m_route->m_targets.begin(),
    m_route->m_targets.end(),
    [](const RouteTarget& aTarget) { return aTarget.m_weight > 0; });
  return serving > 1 ? std::string() : m_service;
}

void
RoutedRequest::Begin()
{
  bool tries = !AreLinksCut() || m_shared.TakeTrial(m_service);
  if (!tries && TryRelay()) {
    return;
  }
  if (!tries && m_relayed) {
    // The VM that has the caller chooses another one.
    Finish(DecideEnd(Progress()));
    return;
  }
  if (ServedByEngines()) {
    StartAtEngines();
  } else {
    StartRun();
  }
}

void
RoutedRequest::ContinueStream(const std::optional<StreamPlace>& aPlace)
{
  // VMs that run an older program don't say the service.
  bool isHere =
    aPlace && (aPlace->m_service.empty() || aPlace->m_service == m_service);
  if (!aPlace || (!isHere && !LeadsTo(aPlace->m_service))) {
    // Any choice might join the output of two versions or services.
    Finish(DecideEnd(Progress()));
    return;
  }
  m_softwareVersion = aPlace->m_softwareVersion;
  if (!isHere) {
    m_service = aPlace->m_service;
    m_serviceFound = true;
    m_traits = TraitsOf(m_service, m_request, m_facts);
    FindRank();
  }
  Begin();
}

void
RoutedRequest::PinSoftwareVersion()
{
  if (IsStream() && !m_softwareVersion) {
    m_softwareVersion = m_upstream->m_entry.m_softwareVersion;
  }
}

// --------------------------------------------------------------- queries

std::chrono::milliseconds
RoutedRequest::TimeLeft() const
{
  return std::max(Milliseconds(m_deadline - m_shared.m_loop.Now()), 0ms);
}

std::chrono::milliseconds
RoutedRequest::Elapsed() const
{
  return Milliseconds(m_shared.m_loop.Now() - m_received);
}

RequestProgress
RoutedRequest::Progress() const
{
  return { .m_mayRepeat = m_route->MayRepeat(),
           .m_maxAttempts = m_relayed ? 1 : m_route->m_maxAttempts,
           .m_runs = m_runs,
           .m_refusals = m_refusals,
           .m_answerBegun = m_answerBegun,
           .m_canResume = IsStream() && !m_events.LastId().empty(),
           .m_hasFailure = m_failure.has_value(),
           .m_timeLeft = TimeLeft() };
}

const RoutedService*
RoutedRequest::Service() const
{
  auto found = m_routing->m_services.find(m_service);
  return found == m_routing->m_services.end() ? nullptr : &found->second;
}

bool
RoutedRequest::ServedByEngines() const
{
  const RoutedService* service = Service();
  return service != nullptr && service->m_engines;
}

std::int32_t
RoutedRequest::Urgency() const
{
  return m_organisation != nullptr && m_organisation->m_priority
           ? *m_organisation->m_priority
           : m_route->m_priority;
}

void
RoutedRequest::FindRank()
{
  m_isRanked = ServedByEngines() &&
               m_shared.m_admission.TellsUrgency(m_routing, m_service);
}

std::string
RoutedRequest::QueueName() const
{
  // Memory that engines of one version free is of no use for another one's
  // streams.
  return m_softwareVersion ? m_service + " " + *m_softwareVersion : m_service;
}

bool
RoutedRequest::IsStream() const
{
  return m_route->m_kind == RouteKind::Stream;
}

bool
RoutedRequest::HasAttemptsLeft() const
{
  // The VM that passed a request on decides about further attempts.
  return m_route->MayRepeat() && !m_relayed &&
         m_runs + 1 < m_route->m_maxAttempts;
}

// -------------------------------------------------------------- attempts

UpstreamPtr
RoutedRequest::Pick(EngineStage aStage, const std::string& aFromDomain)
{
  PickRequest request{ .m_service = m_service,
                       .m_stage = aStage,
                       .m_fromDomain = aFromDomain,
                       .m_excluded = m_enginesWithoutRoom,
                       .m_salt = StableHash(m_facts.m_id),
                       .m_softwareVersion = {} };
  if (aStage != EngineStage::Prefill) {
    request.m_softwareVersion = m_softwareVersion;
  }
  request.m_excluded.insert(m_excluded.begin(), m_excluded.end());
  m_permitWait.reset();
  for (;;) {
    UpstreamPtr upstream =
      m_shared.m_upstreams.Pick(request, m_shared.m_loop.Now());
    if (upstream == nullptr) {
      return nullptr;
    }
    const UpstreamKey& key = upstream->m_entry.m_key;
    bool mayAcquire = m_shared.m_permits.MayAcquire(key);
    if (mayAcquire && HasRoomFor(*upstream)) {
      return upstream;
    }
    if (!mayAcquire) {
      std::chrono::milliseconds wait = m_shared.m_permits.RetryAfter(key);
      m_permitWait = std::min(m_permitWait.value_or(wait), wait);
    }
    request.m_excluded.insert(key);
  }
}

bool
RoutedRequest::HasRoomFor(const Upstream& aUpstream) const
{
  const RoutedService* service = Service();
  if (service == nullptr) {
    return true;
  }
  double share = kMaxConnectionShare * service->m_maxConnections /
                 static_cast<double>(m_shared.m_liveVms);
  return aUpstream.m_health.InFlight() < std::max(1.0, share);
}

bool
RoutedRequest::TakeRetryBudget()
{
  bool isGranted = m_shared.BudgetOf(m_service).Take(m_shared.m_liveVms,
                                                     m_shared.m_loop.Now());
  if (!isGranted) {
    m_retryDenied = true;
    m_shared.m_metrics.Count("retries_denied_total", "");
  }
  return isGranted;
}

UpstreamPtr
RoutedRequest::PickForRun()
{
  if (!m_reservation.empty()) {
    bool isExcluded = m_excluded.contains(m_reservedEngine->m_entry.m_key);
    if (!isExcluded && m_reservedEngine->TakesRequests(m_shared.m_loop.Now())) {
      return m_reservedEngine;
    }
    ReleaseReservation();
  }
  EngineStage stage =
    ServedByEngines() ? EngineStage::Decode : EngineStage::None;
  std::string fromDomain;
  if (m_prefillUpstream != nullptr) {
    fromDomain = m_prefillUpstream->m_entry.m_failureDomain;
  }
  return Pick(stage, fromDomain);
}

void
RoutedRequest::StartRun()
{
  UpstreamPtr upstream = PickForRun();
  if (upstream == nullptr) {
    if (m_permitWait) {
      RefuseForLimits();
    } else {
      Finish(DecideEnd(Progress()));
    }
    return;
  }
  Send(upstream, Phase::Run);
}

// ------------------------------------------------------ end of an attempt

void
RoutedRequest::EndAttempt(AttemptEnd aEnd, const std::string& aReason)
{
  m_shared.m_loop.CancelTimer(m_attemptTimer);
  m_shared.m_loop.CancelTimer(m_silenceTimer);
  ReleaseCall();
  NoteLink(aEnd);
  // An idle connection may end at any time, which says nothing of its upstream.
  bool staleConnection = aEnd == AttemptEnd::NotConnected && m_callFailure &&
                         m_callFailure->m_reused;
  m_upstream->m_health.OnEnd(staleConnection ? AttemptEnd::Abandoned : aEnd,
                             m_sentAt,
                             m_shared.m_loop.Now());
  m_shared.m_metrics.Count("attempts_total",
                           "end=\"" + std::string(shallotford::ToString(aEnd)) +
                             "\"");
  bool full = m_phase == Phase::Reserve && aEnd == AttemptEnd::Refused;
  // A silent engine may have memory in a later round.
  bool silent = m_phase == Phase::Reserve && aEnd == AttemptEnd::TimedOut;
  if (full || silent) {
    m_enginesWithoutRoom.insert(m_upstream->m_entry.m_key);
  }
  if (aEnd != AttemptEnd::Answered && !full) {
    LogAttempt(aEnd, aReason);
    if (!staleConnection && !silent) {
      m_excluded.insert(m_upstream->m_entry.m_key);
    }
  }
  ReportRun(aEnd);
  NotePace(aEnd);
  if (aEnd == AttemptEnd::Replaced) {
    m_shared.m_upstreams.Remove(m_upstream->m_entry.m_key);
  }
  switch (m_phase) {
    case Phase::Reserve:
      AfterReserve(aEnd);
      return;
    case Phase::Prefill:
      AfterPrefill(aEnd);
      return;
    case Phase::Run:
    case Phase::Relay:
      AfterRun(aEnd);
      return;
  }
}

void
RoutedRequest::AfterRun(AttemptEnd aEnd)
{
  bool notRun = aEnd == AttemptEnd::NotConnected ||
                aEnd == AttemptEnd::Refused || aEnd == AttemptEnd::Replaced;
  m_runs += notRun ? 0 : 1;
  m_refusals += notRun ? 1 : 0;
  // What a VM sent before it refused counts in its own budget.
  bool refusedByVm = m_phase == Phase::Relay && notRun;
  m_budgetedSends += aEnd == AttemptEnd::NotConnected || refusedByVm ? 0 : 1;
  if (aEnd == AttemptEnd::Refused && !m_prefillHandle.empty()) {
    m_prefillUpstream->m_health.OnHandleLost(m_shared.m_loop.Now());
  }
  if (aEnd == AttemptEnd::Answered) {
    DropSilent(AttemptEnd::TimedOut, "another upstream answered");
    if (m_answerBegun) {
      FinishStream();
    } else if (m_streaming) {
      BeginAnswer(m_heldAnswer.m_head);
      FinishStream();
    } else {
      Deliver(m_heldAnswer);
    }
    return;
  }
  WasteRunsPrompt(aEnd);
  if (aEnd == AttemptEnd::Failed) {
    m_failure = std::move(m_heldAnswer);
  }
  NextStep next = DecideNextStep(Progress(), aEnd);
  if (next == NextStep::TryAgain) {
    TryAgain();
    return;
  }
  Finish(next);
}

void
RoutedRequest::TryAgain()
{
  if (m_silent.empty()) {
    m_events.TakeRest();
  }
  m_brokenAt = m_lastBytesAt;
  if ((m_phase == Phase::Relay || AreLinksCut()) && TryRelay()) {
    return;
  }
  m_prefillHandle.clear();
  m_prefillUpstream = nullptr;
  m_skipPrefill = true;
  bool reserve =
    ServedByEngines() && Service()->m_reservationLifetime.count() > 0;
  if (reserve) {
    ReleaseReservation(); // of a run that never left
    OnMayReserve(false);
  } else {
    StartRun();
  }
}

std::string_view
RoutedRequest::ToString(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Reserve:
      return "reserve";
    case Phase::Prefill:
      return "prefill";
    case Phase::Run:
      return "run";
    case Phase::Relay:
      return "relay";
  }
  return "?";
}

bool
RoutedRequest::ReleaseCall()
{
  if (m_call == nullptr) {
    return false;
  }
  bool wasSent = m_call->Cancel();
  m_shared.m_loop.DestroyLater(std::move(m_call));
  return wasSent;
}

} // namespace shallotford
