#ifndef SHALLOTFORD_BENCH_POLICY_SIMULATION_FLOW_H
#define SHALLOTFORD_BENCH_POLICY_SIMULATION_FLOW_H

/// How a request flows through an entry VM of the policy bench.

#include "policy_simulation.h"

namespace shallotford::bench {

inline void
Simulation::OnArrival(std::uint32_t aId)
{
  const Arrival& arrival = m_arrivals[aId];
  Active& request = m_active[aId];
  request.m_arrival = &arrival;
  request.m_id = aId;
  request.m_vm = m_options.m_policy.m_oracle ? 0 : arrival.m_vm;
  if (arrival.m_cancelAfter != Duration::max())
    m_queue.After(arrival.m_cancelAfter, [this, aId] {
      const auto found = m_active.find(aId);
      if (found != m_active.end())
        End(found->second, Outcome::Cancelled);
    });
  m_queue.After(kPatience, [this, aId] {
    const auto found = m_active.find(aId);
    if (found != m_active.end() && found->second.m_tokens == 0)
      End(found->second, Outcome::GaveUp);
  });
  if (!m_options.m_policy.m_admission) {
    bool mayWait = false;
    const bool full = m_options.m_policy.m_capped &&
                      m_vms[request.m_vm]->m_prefills >= m_prefillCap;
    if (full || !TryPlace(request, false, mayWait))
      End(request, Outcome::Refused);
    return;
  }
  const Duration target = m_cluster.Service().m_targets.m_firstToken;
  const auto refusal = m_vms[request.m_vm]->m_queue.Push(
    m_queue.Now(),
    { .m_id = aId,
      .m_caller = "c" + std::to_string(arrival.m_caller),
      .m_cost = TokenCost(arrival.m_promptTokens, arrival.m_maxOutputTokens),
      .m_giveUpAt = arrival.m_at + target });
  if (refusal) {
    End(request, Outcome::Refused);
    return;
  }
  Pump(request.m_vm);
}

inline void
Simulation::PostPump(std::uint32_t aVm)
{
  Vm& vm = *m_vms[aVm];
  if (vm.m_pumpPosted)
    return;
  vm.m_pumpPosted = true;
  m_queue.After(kPumpPeriod, [this, aVm] {
    m_vms[aVm]->m_pumpPosted = false;
    Pump(aVm);
  });
}

inline void
Simulation::Pump(std::uint32_t aVm)
{
  Vm& vm = *m_vms[aVm];
  for (const QueuedRequest& expired : vm.m_queue.Expire(m_queue.Now()))
    End(m_active.at(std::uint32_t(expired.m_id)), Outcome::Refused);
  std::vector<QueuedRequest> unplaced;
  while (unplaced.size() < kMostUnplaced) {
    const auto next = vm.m_queue.Pop(m_queue.Now());
    if (!next)
      break;
    Active& request = m_active.at(std::uint32_t(next->m_id));
    bool mayWait = false;
    if (TryPlace(request, false, mayWait))
      continue;
    if (mayWait)
      unplaced.push_back(*next);
    else
      End(request, Outcome::Refused);
  }
  for (const QueuedRequest& request : unplaced)
    vm.m_queue.PutBack(request);
  if (vm.m_queue.Waiting() > 0)
    PostPump(aVm);
}

inline bool
Simulation::TryPlace(Active& aRequest, bool aMustRun, bool& aMayWait)
{
  Vm& vm = *m_vms[aRequest.m_vm];
  if (m_options.m_policy.m_oracle)
    ReadTruth(vm);
  const PlacementResult result = vm.m_placer->Place(
    m_queue.Now(), RequestOf(aRequest, aMustRun), vm.m_table, *vm.m_random);
  if (const auto* refusal = std::get_if<PlacementRefusal>(&result)) {
    aMayWait = refusal->m_mayWait;
    return false;
  }
  StartAttempt(aRequest, std::get<Placement>(result));
  return true;
}

inline void
Simulation::StartAttempt(Active& aRequest, const Placement& aPlacement)
{
  Vm& vm = *m_vms[aRequest.m_vm];
  ++aRequest.m_attempt;
  aRequest.m_placed = true;
  aRequest.m_brokenAt.reset();
  aRequest.m_prefillOpen = true;
  ++vm.m_prefills;
  aRequest.m_start = aRequest.m_tokens;
  aRequest.m_prefillEngine = m_cluster.Find(aPlacement.m_prefillEngine);
  aRequest.m_decodeEngine = m_cluster.Find(aPlacement.m_decodeEngine);
  aRequest.m_claim = aPlacement.m_claim;
  aRequest.m_claimPending = aRequest.m_claimRefused = false;
  aRequest.m_transferring = false;
  aRequest.m_import.clear();
  aRequest.m_export.clear();
  aRequest.m_work =
    vm.m_table.OnPlaced(m_queue.Now(), RequestOf(aRequest, false), aPlacement);
  switch (aPlacement.m_claim) {
    case ClaimPolicy::ClaimFirst:
      SendClaim(aRequest);
      return;
    case ClaimPolicy::AtPredictedEnd:
      Later(aRequest, aPlacement.m_claimDelay, [this](Active& aActive) {
        SendClaim(aActive);
      });
      break;
    case ClaimPolicy::PrefillFirst:
      break;
  }
  SendPrefill(aRequest);
}

inline void
Simulation::SendPrefill(Active& aRequest)
{
  const Duration latency = LatencyTo(aRequest, aRequest.m_prefillEngine);
  m_vms[aRequest.m_vm]->m_table.OnStep(
    m_queue.Now(), aRequest.m_work, WorkStep::Prefilling);
  Later(aRequest, latency, [this, latency](Active& aActive) {
    const std::uint32_t engine = aActive.m_prefillEngine;
    standin::PrefillRequest prefill;
    prefill.m_stream = StreamOf(aActive);
    prefill.m_model = m_cluster.Model().m_name;
    prefill.m_prefixes = aActive.m_arrival->m_prefixes;
    prefill.m_promptTokens =
      aActive.m_arrival->m_promptTokens + aActive.m_start;
    const bool up = m_cluster.Engines()[engine].m_up;
    const bool taken =
      up && !m_cluster
               .Call(engine,
                     [&](EngineModel& aModel) {
                       return aModel.StartPrefill(m_queue.Now(), prefill);
                     })
               .m_refused;
    if (!taken)
      Later(aActive, latency, [this, engine](Active& aFailed) {
        AttemptFailed(aFailed, engine);
      });
  });
}

inline void
Simulation::SendClaim(Active& aRequest)
{
  if (aRequest.m_claimPending || !aRequest.m_import.empty())
    return;
  aRequest.m_claimPending = true;
  const Duration latency = LatencyTo(aRequest, aRequest.m_decodeEngine);
  Later(aRequest, latency, [this, latency](Active& aActive) {
    const std::uint32_t engine = aActive.m_decodeEngine;
    standin::ImportRequest import;
    import.m_stream = StreamOf(aActive);
    import.m_model = m_cluster.Model().m_name;
    import.m_promptTokens = aActive.m_arrival->m_promptTokens + aActive.m_start;
    import.m_maxTokens = aActive.m_arrival->m_maxOutputTokens - aActive.m_start;
    standin::Admission answer{ "", standin::RefuseReason::Leaving };
    if (m_cluster.Engines()[engine].m_up)
      answer = m_cluster.Call(engine, [&](EngineModel& aModel) {
        return aModel.ClaimImport(m_queue.Now(), import);
      });
    ++m_result.m_claims;
    Later(aActive, latency, [this, answer](Active& aAnswered) {
      OnClaimAnswer(aAnswered, answer);
    });
  });
}

inline void
Simulation::OnClaimAnswer(Active& aRequest, const standin::Admission& aAnswer)
{
  aRequest.m_claimPending = false;
  Vm& vm = *m_vms[aRequest.m_vm];
  if (aAnswer.m_refused) {
    ++m_result.m_claimsRefused;
    vm.m_table.OnClaimRefused(m_queue.Now(),
                              aRequest.m_work,
                              ParseRefusalReason(ToString(*aAnswer.m_refused)));
    const bool again = aRequest.m_claimRefused;
    aRequest.m_claimRefused = true;
    if (again)
      Later(aRequest, kClaimRetry, [this](Active& aActive) {
        MoveDecode(aActive);
      });
    else
      MoveDecode(aRequest);
    return;
  }
  aRequest.m_import = aAnswer.m_id;
  vm.m_table.OnClaimed(m_queue.Now(), aRequest.m_work);
  if (!aRequest.m_export.empty())
    StartTransfer(aRequest);
  else if (aRequest.m_claim == ClaimPolicy::ClaimFirst)
    SendPrefill(aRequest);
}

inline void
Simulation::MoveDecode(Active& aRequest)
{
  Vm& vm = *m_vms[aRequest.m_vm];
  if (m_options.m_policy.m_oracle)
    ReadTruth(vm);
  const bool mustRun = aRequest.m_tokens > 0;
  const PlacementResult result =
    vm.m_placer->PlaceDecode(m_queue.Now(),
                             RequestOf(aRequest, mustRun),
                             m_cluster.Address(aRequest.m_prefillEngine),
                             vm.m_table,
                             *vm.m_random);
  if (const auto* placement = std::get_if<Placement>(&result)) {
    aRequest.m_decodeEngine = m_cluster.Find(placement->m_decodeEngine);
    vm.m_table.OnDecodeMoved(
      m_queue.Now(), aRequest.m_work, placement->m_decodeEngine);
    SendClaim(aRequest);
    return;
  }
  const auto& refusal = std::get<PlacementRefusal>(result);
  if (refusal.m_kind == ErrorKind::Overloaded && !refusal.m_mayWait) {
    End(aRequest, Outcome::Refused);
    return;
  }
  Later(
    aRequest, kClaimRetry, [this](Active& aActive) { MoveDecode(aActive); });
}

inline void
Simulation::ClosePrefill(Active& aRequest)
{
  if (aRequest.m_prefillOpen)
    --m_vms[aRequest.m_vm]->m_prefills;
  aRequest.m_prefillOpen = false;
}

inline void
Simulation::OnPrefilled(Active& aRequest,
                        const std::string& aExport,
                        std::uint32_t aCachedTokens)
{
  aRequest.m_export = aExport;
  ClosePrefill(aRequest);
  m_vms[aRequest.m_vm]->m_table.OnPrefilled(
    m_queue.Now(), aRequest.m_work, aCachedTokens);
  if (!aRequest.m_import.empty()) {
    StartTransfer(aRequest);
    return;
  }
  SendClaim(aRequest);
  // The export is gone by then if no claim was granted.
  Later(aRequest, 900ms, [this](Active& aActive) {
    if (!aActive.m_transferring)
      AttemptFailed(aActive, EngineTable::kNoEngine);
  });
}

inline void
Simulation::StartTransfer(Active& aRequest)
{
  aRequest.m_transferring = true;
  m_vms[aRequest.m_vm]->m_table.OnStep(
    m_queue.Now(), aRequest.m_work, WorkStep::Transferring);
  const std::uint32_t from = aRequest.m_prefillEngine;
  const std::uint32_t to = aRequest.m_decodeEngine;
  const Duration latency = LatencyTo(aRequest, to) +
                           Cluster::Latency(m_cluster.Engines()[to].m_region,
                                            m_cluster.Engines()[from].m_region);
  Later(aRequest, latency, [this, from, to](Active& aActive) {
    const std::string name = aActive.m_export;
    const auto content =
      m_cluster.Engines()[from].m_up
        ? m_cluster.Call(from,
                         [&](EngineModel& aModel) {
                           return aModel.BeginPull(m_queue.Now(), name);
                         })
        : std::nullopt;
    if (!content) {
      AttemptFailed(aActive, EngineTable::kNoEngine);
      return;
    }
    const std::uint64_t bytes = std::uint64_t{ content->m_promptTokens } *
                                m_cluster.Model().m_kvBytesPerToken;
    const std::string import = aActive.m_import;
    m_cluster.Transfer(
      from,
      to,
      bytes,
      [this,
       from,
       to,
       name,
       import,
       filled = *content,
       id = aActive.m_id,
       attempt = aActive.m_attempt] {
        const bool whole =
          m_cluster.Engines()[to].m_up &&
          m_cluster.Call(to, [&](EngineModel& aModel) {
            return aModel.FillImport(m_queue.Now(), import, filled);
          });
        if (m_cluster.Engines()[from].m_up)
          m_cluster.Call(from, [&](EngineModel& aModel) {
            aModel.EndPull(m_queue.Now(), name, whole);
            return true;
          });
        const auto found = m_active.find(id);
        if (found == m_active.end() || found->second.m_attempt != attempt)
          return;
        if (whole)
          OnTransferred(found->second);
        else
          AttemptFailed(found->second, EngineTable::kNoEngine);
      });
  });
}

inline void
Simulation::OnTransferred(Active& aRequest)
{
  const Duration latency = LatencyTo(aRequest, aRequest.m_decodeEngine);
  m_vms[aRequest.m_vm]->m_table.OnStep(
    m_queue.Now(), aRequest.m_work, WorkStep::Decoding);
  Later(aRequest, 2 * latency, [this](Active& aActive) {
    const std::uint32_t engine = aActive.m_decodeEngine;
    standin::StreamRequest stream;
    stream.m_stream = StreamOf(aActive);
    stream.m_import = aActive.m_import;
    stream.m_start = aActive.m_start;
    stream.m_maxTokens = aActive.m_arrival->m_outputTokens - aActive.m_start;
    const bool started = m_cluster.Engines()[engine].m_up &&
                         m_cluster.Call(engine, [&](EngineModel& aModel) {
                           return aModel.StartStream(m_queue.Now(), stream);
                         });
    if (!started)
      AttemptFailed(aActive, engine);
  });
}

inline void
Simulation::OnToken(Active& aRequest, TimePoint aAt)
{
  const TimePoint at = aAt + LatencyTo(aRequest, aRequest.m_decodeEngine);
  if (aRequest.m_tokens++ == 0)
    aRequest.m_firstToken = at;
  if (aRequest.m_tokens >= aRequest.m_arrival->m_outputTokens)
    Later(aRequest, at - m_queue.Now(), [this](Active& aActive) {
      End(aActive, Outcome::Answered);
    });
}

inline void
Simulation::AttemptFailed(Active& aRequest, std::uint32_t aEngine)
{
  Release(aRequest);
  ++aRequest.m_attempt;
  if (aEngine != EngineTable::kNoEngine) {
    aRequest.m_excluded.push_back(m_cluster.Address(aEngine));
    m_vms[aRequest.m_vm]->m_table.OnHealth(m_queue.Now(),
                                           m_cluster.Address(aEngine),
                                           m_cluster.Engines()[aEngine].m_up);
  }
  const bool begun = aRequest.m_tokens > 0;
  if (!begun && aRequest.m_attempt >= 2 * kMostAttempts) {
    End(aRequest, Outcome::Failed);
    return;
  }
  if (begun && m_options.m_policy.m_admission) {
    aRequest.m_brokenAt = m_queue.Now();
    Resume(aRequest);
    return;
  }
  bool mayWait = false;
  if (!TryPlace(aRequest, begun, mayWait))
    End(aRequest, Outcome::Failed);
}

/// Places a broken stream again once a prefill engine has room.
inline void
Simulation::Resume(Active& aRequest)
{
  bool mayWait = false;
  if (TryPlace(aRequest, false, mayWait))
    return;
  Later(
    aRequest, kResumeRetryDelay, [this](Active& aActive) { Resume(aActive); });
}

/// Cancels whatever this attempt holds at engines.
inline void
Simulation::Release(Active& aRequest)
{
  if (!aRequest.m_placed)
    return;
  aRequest.m_placed = false;
  ClosePrefill(aRequest);
  m_vms[aRequest.m_vm]->m_table.OnEnded(m_queue.Now(), aRequest.m_work);
  const std::string stream = StreamOf(aRequest);
  for (const std::uint32_t engine :
       { aRequest.m_prefillEngine, aRequest.m_decodeEngine }) {
    // After any call that is still on its way.
    const Duration latency = LatencyTo(aRequest, engine) + 1ms;
    m_queue.After(latency, [this, engine, stream] {
      if (m_cluster.Engines()[engine].m_up)
        m_cluster.Call(engine, [&](EngineModel& aModel) {
          return aModel.Cancel(m_queue.Now(), stream);
        });
    });
  }
}

} // namespace shallotford::bench

#endif // SHALLOTFORD_BENCH_POLICY_SIMULATION_FLOW_H
