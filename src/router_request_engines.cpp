/// RoutedRequest: the reservation of a decode engine's memory, and the prefill.

#include "config.h"
#include "router_request.h"

#include <charconv>

namespace shallotford {

void
RoutedRequest::StartAtEngines()
{
  // A bound says little of the mean, so it counts only if nothing else comes.
  if (m_facts.m_outputHint || Service()->m_tokensPerEvent == 0) {
    m_shared.m_admission.GrowthOf(m_service).OnRequest(
      m_facts.m_outputHint, m_facts.m_outputTokens, m_shared.m_loop.Now());
  }
  if (Service()->m_reservationLifetime.count() == 0) {
    StartPrefill();
  } else if (m_shared.m_admission.HasTimely(QueueName(), Urgency())) {
    WaitForMemory();
  } else {
    OnMayReserve(false);
  }
}

void
RoutedRequest::NoteOutput()
{
  const RoutedService* service = Service();
  if (service == nullptr || service->m_tokensPerEvent == 0) {
    return;
  }
  const std::string& text = m_events.LastId();
  std::uint32_t events = 0;
  const char* end = text.data() + text.size();
  auto [stopped, error] = std::from_chars(text.data(), end, events);
  std::uint64_t tokens =
    std::uint64_t{ events } * std::uint64_t{ service->m_tokensPerEvent };
  bool isPlausible = error == std::errc() && stopped == end &&
                     tokens <= m_facts.m_outputTokens +
                                 std::uint64_t{ service->m_tokensPerEvent };
  if (isPlausible) {
    m_shared.m_admission.GrowthOf(m_service).OnRequest(
      static_cast<std::uint32_t>(tokens), 0, m_shared.m_loop.Now());
  }
}

void
RoutedRequest::OnMayReserve(bool aIsOwed)
{
  m_isOwed = aIsOwed;
  m_queueNumber = 0;
  m_reserveRefusals = 0;
  m_unansweredReserves = 0;
  m_enginesWithoutRoom.clear();
  Reserve();
}

void
RoutedRequest::Reserve()
{
  if (m_unansweredReserves > 0 && AreLinksCut() && TryRelay()) {
    return;
  }
  UpstreamPtr engine = m_reserveRefusals < kMaxFullEngineTries &&
                           m_unansweredReserves < kMaxUnansweredReserves
                         ? Pick(EngineStage::Decode, {})
                         : nullptr;
  if (engine != nullptr) {
    Send(engine, Phase::Reserve);
    return;
  }
  bool onlyLimited = m_permitWait && m_reserveRefusals == 0 &&
                     m_unansweredReserves == 0 && !m_answerBegun;
  bool noneAnswered = m_reserveRefusals == 0 && m_unansweredReserves > 0;
  if (onlyLimited) {
    RefuseForLimits();
  } else if (!noneAnswered || !TryRelay()) {
    WaitForMemory();
  }
}

std::uint32_t
RoutedRequest::TokensToReserve(const Upstream& aEngine) const
{
  TimePoint now = m_shared.m_loop.Now();
  const GrowthEstimate unknown;
  const GrowthEstimate& growth =
    m_isRanked ? m_shared.m_admission.GrowthOf(m_service) : unknown;
  return growth.TokensToReserve(
    { .m_promptTokens = m_facts.m_promptTokens,
      .m_outputTokens = m_facts.m_outputTokens,
      .m_engineRequests = aEngine.m_health.Utilisation(1, now) + 1,
      .m_engineTokens = Service()->m_engineTokens,
      // What is owed isn't left for others.
      .m_isLate = !m_isOwed && now > TargetDeadline() });
}

TimePoint
RoutedRequest::TargetDeadline() const
{
  return m_answerBegun
           ? ExpiresAt()
           : m_received + m_route->m_latencyTarget - kReserveToFirstEventTime;
}

TimePoint
RoutedRequest::ExpiresAt() const
{
  TimePoint from = m_answerBegun ? m_brokenAt : m_received;
  return from + m_route->m_callerTimeout - kReserveToFirstEventTime;
}

bool
RoutedRequest::MayGetMemory() const
{
  if (!m_answerBegun && !m_facts.m_resumes) {
    return m_shared.m_upstreams.Serves(m_service, m_softwareVersion);
  }
  PickRequest request{ .m_service = m_service,
                       .m_stage = EngineStage::Decode,
                       .m_fromDomain = {},
                       .m_excluded = m_excluded,
                       .m_softwareVersion = m_softwareVersion };
  return m_shared.m_upstreams.Pick(request, m_shared.m_loop.Now()) != nullptr;
}

void
RoutedRequest::WaitForMemory()
{
  m_enginesWithoutRoom.clear();
  if (!MayGetMemory()) {
    Finish(DecideEnd(Progress()));
    return;
  }
  WaitingRequest waiting{ .m_onTimeUntil = TargetDeadline(),
                          .m_giveUpAt = ExpiresAt(),
                          .m_urgency = Urgency(),
                          .m_since = m_received };
  if (RefuseByForecast(waiting)) {
    return;
  }
  m_hasWaited = true;
  m_shared.m_metrics.Count("waits_for_memory_total", "");
  m_queueNumber = m_shared.m_admission.Enter(QueueName(), *this, waiting);
}

bool
RoutedRequest::RefuseByForecast(const WaitingRequest& aWaiting)
{
  if (!m_isRanked || m_hasWaited || m_answerBegun || m_runs > 0 ||
      !m_silent.empty()) {
    return false;
  }
  std::optional<Duration> excess =
    m_shared.m_admission.Excess(QueueName(), aWaiting);
  if (!excess) {
    return false;
  }
  // Those refused together don't come back together.
  constexpr std::uint64_t kSteps = 1'024;
  double spread =
    static_cast<double>(StableHash(m_facts.m_id) % kSteps) / kSteps;
  m_retryAfter = std::max(
    Milliseconds(std::chrono::duration_cast<Duration>(*excess * (1 + spread))),
    kNoUpstreamRetryAfter);
  m_forecast = true;
  m_shared.m_metrics.Count("refused_by_forecast_total", "");
  Finish(DecideEnd(Progress()));
  return true;
}

void
RoutedRequest::OnExpired()
{
  m_queueNumber = 0;
  m_retryAfter = kBacklogRetryAfter;
  Finish(DecideEnd(Progress()));
}

void
RoutedRequest::ReleaseReservation()
{
  if (m_reservation.empty()) {
    return;
  }
  --m_reservedEngine->m_reserved;
  m_shared.m_engineCalls.Send(
    m_reservedEngine->m_entry,
    m_shared.m_dialect.ReleaseCall(m_reservedEngine->m_entry, m_reservation));
  m_reservation.clear();
}

void
RoutedRequest::StartPrefill()
{
  std::string fromDomain;
  if (m_reservedEngine != nullptr) {
    fromDomain = m_reservedEngine->m_entry.m_failureDomain;
  }
  TimePoint now = m_shared.m_loop.Now();
  const PrefillDelay& delay = m_shared.m_prefillDelays[m_service];
  m_skipPrefill =
    m_skipPrefill || delay.ShouldSkipPrefill(StableHash(m_facts.m_id), now);
  UpstreamPtr upstream =
    m_skipPrefill ? nullptr : Pick(EngineStage::Prefill, fromDomain);
  if (upstream == nullptr || m_prefillTries >= kMaxPrefillTries) {
    StartRun(); // the decode engine processes the prompt itself
    return;
  }
  ++m_prefillTries;
  Send(upstream, Phase::Prefill);
}

void
RoutedRequest::AfterReserve(AttemptEnd aEnd)
{
  if (aEnd != AttemptEnd::Answered) {
    ++(aEnd == AttemptEnd::Refused ? m_reserveRefusals : m_unansweredReserves);
    Reserve();
    return;
  }
  try {
    m_reservation = m_shared.m_dialect.ReadReservation(m_heldAnswer.m_body);
  } catch (const Error& error) {
    LogAttempt(AttemptEnd::Broken, error.what());
    ++m_unansweredReserves;
    Reserve();
    return;
  }
  m_reservedEngine = m_upstream;
  m_reservedSince = m_shared.m_loop.Now();
  ++m_reservedEngine->m_reserved;
  m_enginesWithoutRoom.clear();
  m_shared.m_admission.OnGrant(QueueName(),
                               { .m_at = m_reservedSince,
                                 .m_urgency = Urgency(),
                                 .m_isLate = m_reservedSince > TargetDeadline(),
                                 .m_waited = m_hasWaited });
  StartPrefill();
}

void
RoutedRequest::AfterPrefill(AttemptEnd aEnd)
{
  bool arrived = aEnd != AttemptEnd::NotConnected;
  if (aEnd == AttemptEnd::Answered || aEnd == AttemptEnd::TimedOut) {
    TimePoint now = m_shared.m_loop.Now();
    m_shared.m_prefillDelays[m_service].OnPrefill(
      m_facts.m_promptTokens, now - m_sentAt, now);
  }
  m_prefills += arrived ? 1 : 0;
  m_isPromptRead = m_isPromptRead && arrived && aEnd != AttemptEnd::Refused &&
                   aEnd != AttemptEnd::Replaced;
  if (aEnd != AttemptEnd::Answered) {
    WastePrompt("prefill_failed");
  }
  // A prefill that succeeded doesn't count against the retry budget. After a
  // failed one the decode engine processes the prompt, which takes one send
  // instead of two.
  m_budgetedSends += arrived && aEnd != AttemptEnd::Answered ? 1 : 0;
  m_skipPrefill = m_skipPrefill || arrived;
  if (aEnd == AttemptEnd::Answered) {
    try {
      m_prefillHandle = m_shared.m_dialect.ReadPrefill(m_heldAnswer.m_body);
      m_prefillUpstream = m_upstream;
      StartRun();
      return;
    } catch (const Error& error) {
      LogAttempt(AttemptEnd::Broken, error.what());
    }
  }
  StartPrefill();
}

} // namespace shallotford
