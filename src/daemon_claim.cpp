/// Claims decode memory for attempts, and reports failed attempts to the
/// ledger.

#include "daemon_claim.h"

#include "config.h"
#include "daemon_worker.h"

#include <utility>

namespace shallotford {

namespace {

FailureCause
CauseOf(EngineFault aFault)
{
  switch (aFault) {
    case EngineFault::NotSent:
      return FailureCause::Unreachable;
    case EngineFault::Refused:
      return FailureCause::Refused;
    case EngineFault::NotHeld:
      return FailureCause::NotHeld;
    case EngineFault::Stalled:
      return FailureCause::Stalled;
    case EngineFault::Malformed:
      return FailureCause::Malformed;
    case EngineFault::Broken:
      break;
  }
  return FailureCause::Lost;
}

SendProgress
ProgressOf(EngineFault aFault)
{
  switch (aFault) {
    case EngineFault::NotSent:
      return SendProgress::NotSent;
    case EngineFault::Broken:
      return SendProgress::Sent;
    default:
      return SendProgress::Answered;
  }
}

void
SendClaim(Worker& aWorker,
          const FlowPtr& aFlow,
          std::function<void()> aGranted);

/// Chooses another decode engine after one refused the claim.
/// @returns false if there is none, or too many were tried
bool
MoveDecode(Worker& aWorker, const FlowPtr& aFlow)
{
  FlowAttempt& attempt = aFlow->m_attempt;
  if (attempt.m_decodeMoves >= kMaxDecodeMoves) {
    return false;
  }
  ++attempt.m_decodeMoves;
  WorkerState& state = aWorker.State();
  PlacementRequest request = MakePlacementRequest(aWorker, *aFlow);
  request.m_mustRun = true;
  PlacementResult result =
    state.m_placer->PlaceDecode(aWorker.Now(),
                                request,
                                attempt.m_placement.m_prefillEngine,
                                state.m_table,
                                state.m_random);
  auto* placement = std::get_if<Placement>(&result);
  if (placement == nullptr) {
    return false;
  }
  attempt.m_placement.m_decodeEngine = placement->m_decodeEngine;
  attempt.m_placement.m_crossRegionBytes = placement->m_crossRegionBytes;
  state.m_table.OnDecodeMoved(
    aWorker.Now(), *attempt.m_work, placement->m_decodeEngine);
  return true;
}

void
OnClaimRefused(Worker& aWorker,
               const FlowPtr& aFlow,
               const EngineError& aError,
               std::function<void()> aGranted)
{
  FlowAttempt& attempt = aFlow->m_attempt;
  WorkerState& state = aWorker.State();
  std::string engine = attempt.m_placement.m_decodeEngine;
  attempt.m_claiming = false;
  state.m_metrics.Count("claims_refused_total",
                        "reason=\"" + aError.m_reason + "\"");
  if (aError.m_fault == EngineFault::Refused) {
    state.m_table.OnClaimRefused(
      aWorker.Now(), *attempt.m_work, ParseRefusalReason(aError.m_reason));
  }
  attempt.m_excluded.push_back(engine);
  if (MoveDecode(aWorker, aFlow)) {
    aWorker.Apply(
      aFlow,
      ledger_event::Moved{ .m_attempt = attempt.m_id.m_attempt,
                           .m_upstream = attempt.m_placement.m_decodeEngine });
    attempt.m_claiming = true;
    SendClaim(aWorker, aFlow, std::move(aGranted));
    return;
  }
  FailAttempt(aWorker, aFlow, engine, aError);
}

void
SendClaim(Worker& aWorker, const FlowPtr& aFlow, std::function<void()> aGranted)
{
  FlowAttempt& attempt = aFlow->m_attempt;
  ClaimCall call{ .m_stream = attempt.m_id,
                  .m_model = aFlow->m_call.m_model,
                  .m_promptTokens = attempt.m_promptTokens,
                  .m_maxTokens = aFlow->m_maxTokens,
                  .m_priority = aFlow->m_priority };
  std::uint32_t number = attempt.m_id.m_attempt;
  auto done = [&aWorker, aFlow, number, granted = std::move(aGranted)](
                EngineResult<std::string> aResult) {
    if (!IsCurrent(*aFlow, number)) {
      return;
    }
    if (auto* error = std::get_if<EngineError>(&aResult)) {
      OnClaimRefused(aWorker, aFlow, *error, granted);
      return;
    }
    FlowAttempt& current = aFlow->m_attempt;
    current.m_claiming = false;
    current.m_import = std::get<std::string>(aResult);
    aWorker.State().m_table.OnClaimed(aWorker.Now(), *current.m_work);
    aWorker.Apply(aFlow, ledger_event::MemoryReserved{ number });
    auto waiting = std::exchange(current.m_onClaimed, {});
    if (granted) {
      granted();
    }
    if (waiting) {
      waiting();
    }
  };
  attempt.m_calls.push_back(aWorker.State().m_engine.Claim(
    attempt.m_placement.m_decodeEngine, call, std::move(done)));
}

} // namespace

bool
IsCurrent(const Flow& aFlow, std::uint32_t aAttempt)
{
  return aFlow.m_open && aFlow.m_attempt.m_id.m_attempt == aAttempt;
}

PlacementRequest
MakePlacementRequest(Worker& aWorker, const Flow& aFlow)
{
  const FlowAttempt& attempt = aFlow.m_attempt;
  WorkerState& state = aWorker.State();
  TimePoint now = aWorker.Now();
  PlacementRequest request;
  request.m_service = aFlow.m_service;
  request.m_model = aFlow.m_model;
  request.m_promptTokens = attempt.m_promptTokens;
  request.m_maxOutputTokens = aFlow.m_maxTokens;
  request.m_prefixes = aFlow.m_prefixes;
  request.m_priority = aFlow.m_priority;
  request.m_receivedAt = aFlow.m_receivedAt;
  request.m_deadline = aFlow.m_receivedAt + aFlow.m_service->m_deadline;
  request.m_homeRegion = state.m_options.m_settings.m_region;
  request.m_excluded = attempt.m_excluded;
  request.m_mustRun = attempt.m_id.m_attempt > 1;
  if (state.m_poison.StatusOf(aFlow.m_fingerprint, now) ==
      PoisonStatus::Suspect) {
    request.m_allowed = [&state, now, fingerprint = aFlow.m_fingerprint](
                          const std::string& aEngine) {
      return state.m_poison.MayPlace(fingerprint, aEngine, now);
    };
  }
  return request;
}

void
ClaimMemory(Worker& aWorker,
            const FlowPtr& aFlow,
            std::function<void()> aGranted)
{
  FlowAttempt& attempt = aFlow->m_attempt;
  if (attempt.m_claiming || !attempt.m_import.empty()) {
    return;
  }
  attempt.m_claiming = true;
  SendClaim(aWorker, aFlow, std::move(aGranted));
}

void
FailAttempt(Worker& aWorker,
            const FlowPtr& aFlow,
            const std::string& aEngine,
            const EngineError& aError)
{
  ledger_event::AttemptFailed failed{
    .m_attempt = aFlow->m_attempt.m_id.m_attempt,
    .m_upstream = aEngine,
    .m_cause = CauseOf(aError.m_fault),
    .m_progress = ProgressOf(aError.m_fault),
    .m_detail = aError.m_reason,
    .m_retryAfter = {},
  };
  bool unreachable = aError.m_fault == EngineFault::Broken ||
                     aError.m_fault == EngineFault::NotSent;
  if (unreachable) {
    aWorker.CheckEngine(aEngine, aFlow, std::move(failed));
    return;
  }
  aWorker.Apply(aFlow, std::move(failed));
}

} // namespace shallotford
