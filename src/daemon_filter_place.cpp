/// Filters that choose the engines of an attempt and claim decode memory.

#include "config.h"
#include "daemon_claim.h"
#include "daemon_filters.h"
#include "daemon_worker.h"

namespace shallotford {

namespace {

class PlaceFilter : public FilterI
{
public:
  explicit PlaceFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return kPlaceFilter; }

  void Start(const FlowPtr& aFlow) override
  {
    WorkerState& state = m_worker.State();
    PlacementRequest request = MakePlacementRequest(m_worker, *aFlow);
    PlacementResult result = state.m_placer->Place(
      m_worker.Now(), request, state.m_table, state.m_random);
    if (auto* refusal = std::get_if<PlacementRefusal>(&result)) {
      // No engine is usable for a suspect if each one runs another suspect.
      bool suspect = request.m_allowed != nullptr &&
                     refusal->m_kind == ErrorKind::NoUpstream;
      if (suspect) {
        RefuseSuspect(aFlow);
      } else {
        Refuse(aFlow, *refusal);
      }
      return;
    }
    aFlow->m_attempt.m_placement = std::get<Placement>(result);
    if (state.m_poison.StatusOf(aFlow->m_fingerprint, m_worker.Now()) ==
        PoisonStatus::Clear) {
      Proceed(aFlow, request);
      return;
    }
    RequestGrant(aFlow);
  }

private:
  void Proceed(const FlowPtr& aFlow, const PlacementRequest& aRequest)
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    attempt.m_work = m_worker.State().m_table.OnPlaced(
      m_worker.Now(), aRequest, attempt.m_placement);
    m_worker.Apply(
      aFlow,
      ledger_event::Placed{ .m_attempt = attempt.m_id.m_attempt,
                            .m_prefill = attempt.m_placement.m_prefillEngine,
                            .m_upstream = attempt.m_placement.m_decodeEngine });
    m_worker.Next(aFlow);
  }

  void Refuse(const FlowPtr& aFlow, const PlacementRefusal& aRefusal)
  {
    if (m_worker.WaitForCapacity(aFlow, aRefusal)) {
      return;
    }
    std::string remedy =
      aRefusal.m_retryAfter.count() > 0
        ? "Send the request again after the time in Retry-After."
        : "Ask the operators whether upstreams of this service are up.";
    Error error(aRefusal.m_kind, aRefusal.m_reason, remedy);
    error.WithRetryAfter(aRefusal.m_retryAfter);
    m_worker.Apply(
      aFlow,
      ledger_event::NotPlaced{ .m_attempt = aFlow->m_attempt.m_id.m_attempt,
                               .m_error = error });
  }

  void RefuseSuspect(const FlowPtr& aFlow)
  {
    PoisonStatus status =
      m_worker.State().m_poison.StatusOf(aFlow->m_fingerprint, m_worker.Now());
    if (status == PoisonStatus::Convicted) {
      m_worker.EndConvicted();
      return;
    }
    Refuse(aFlow,
           { .m_kind = ErrorKind::Overloaded,
             .m_reason = "the request is suspected of crashing an engine and "
                         "waits for an engine without other suspects",
             .m_retryAfter = kSuspectRetryAfter });
  }

  /// Asks the service's coordinator for a run at the prefill engine: a suspect
  /// runs only at an engine that runs no other suspect.
  void RequestGrant(const FlowPtr& aFlow)
  {
    std::string engine = aFlow->m_attempt.m_placement.m_prefillEngine;
    std::uint32_t number = aFlow->m_attempt.m_id.m_attempt;
    SuspectCoordination& suspects = m_worker.State().m_suspects;
    auto done = [this, aFlow, engine, number](bool aGranted) {
      bool current = IsCurrent(*aFlow, number);
      if (aGranted && !current) {
        m_worker.State().m_suspects.RunEnded(
          aFlow->m_service->m_name, aFlow->m_fingerprint, engine, false);
      } else if (aGranted) {
        aFlow->m_attempt.m_suspectEngine = engine;
        Proceed(aFlow, MakePlacementRequest(m_worker, *aFlow));
      } else if (current) {
        RefuseSuspect(aFlow);
      }
    };
    suspects.Grant(
      aFlow->m_service->m_name, aFlow->m_fingerprint, engine, std::move(done));
  }

  Worker& m_worker;
};

class ReserveFilter : public FilterI
{
public:
  explicit ReserveFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "reserve"; }

  void Start(const FlowPtr& aFlow) override
  {
    const Placement& placement = aFlow->m_attempt.m_placement;
    switch (placement.m_claim) {
      case ClaimPolicy::ClaimFirst:
        ClaimMemory(m_worker, aFlow, [this, aFlow] { m_worker.Next(aFlow); });
        return;
      case ClaimPolicy::AtPredictedEnd:
        ScheduleClaim(aFlow, placement.m_claimDelay);
        break;
      case ClaimPolicy::PrefillFirst:
        break;
    }
    m_worker.Next(aFlow);
  }

private:
  void ScheduleClaim(const FlowPtr& aFlow, Duration aDelay)
  {
    if (aDelay <= Duration::zero()) {
      ClaimMemory(m_worker, aFlow, {});
      return;
    }
    std::uint32_t number = aFlow->m_attempt.m_id.m_attempt;
    std::weak_ptr<Flow> weak = aFlow;
    auto claim = [this, weak, number] {
      FlowPtr flow = weak.lock();
      if (!flow || flow->m_attempt.m_id.m_attempt != number) {
        return;
      }
      ClaimMemory(m_worker, flow, {});
    };
    aFlow->m_attempt.m_timers.push_back(
      m_worker.State().m_loop.RunAfter(aDelay, claim));
  }

  Worker& m_worker;
};

} // namespace

std::unique_ptr<FilterI>
MakePlaceFilter(Worker& aWorker)
{
  return std::make_unique<PlaceFilter>(aWorker);
}

std::unique_ptr<FilterI>
MakeReserveFilter(Worker& aWorker)
{
  return std::make_unique<ReserveFilter>(aWorker);
}

} // namespace shallotford
