#ifndef SHALLOTFORD_BENCH_POLICY_SIMULATION_RUN_H
#define SHALLOTFORD_BENCH_POLICY_SIMULATION_RUN_H

/// Events, outcomes and the run as a whole in the policy bench.

#include "policy_simulation.h"

namespace shallotford::bench {

inline void
Simulation::End(Active& aRequest, Outcome aOutcome)
{
  Release(aRequest);
  const std::uint32_t vm = aRequest.m_vm;
  m_vms[vm]->m_queue.Remove(aRequest.m_id);
  const Arrival& arrival = *aRequest.m_arrival;
  const RequestSample sample{ .m_answered = aOutcome == Outcome::Answered,
                              .m_firstToken =
                                aRequest.m_firstToken - arrival.m_at,
                              .m_decoding =
                                m_queue.Now() - aRequest.m_firstToken,
                              .m_outputTokens = aRequest.m_tokens,
                              .m_targets = m_cluster.Service().m_targets };
  m_active.erase(aRequest.m_id);
  if (aOutcome == Outcome::Cancelled || !Measured(arrival))
    return;
  const auto second =
    std::size_t(std::chrono::duration_cast<std::chrono::seconds>(
                  arrival.m_at - Workload::kStart)
                  .count());
  ++m_result.m_offered;
  ++m_offeredBySecond[second];
  if (aOutcome == Outcome::Refused)
    ++m_result.m_refused;
  if (aOutcome == Outcome::Failed)
    ++m_result.m_failed;
  if (aOutcome == Outcome::GaveUp)
    ++m_result.m_gaveUp;
  if (aOutcome != Outcome::Answered)
    return;
  ++m_result.m_answered;
  m_firstTokens.push_back(sample.m_firstToken);
  if (GoodputMeter::MeetsTargets(sample)) {
    ++m_result.m_good;
    ++m_goodBySecond[second];
  } else if (sample.m_firstToken > sample.m_targets.m_firstToken) {
    ++m_result.m_late;
  } else {
    ++m_result.m_slow;
  }
}

inline void
Simulation::OnEngineEvent(std::uint32_t aEngine,
                          const standin::EngineEvent& aEvent)
{
  using Kind = standin::EngineEventKind;
  if (aEvent.m_kind == Kind::Crashed) {
    std::vector<std::uint32_t> hit;
    for (const auto& [id, request] : m_active)
      if (request.m_placed && (request.m_prefillEngine == aEngine ||
                               request.m_decodeEngine == aEngine))
        hit.push_back(id);
    std::sort(hit.begin(), hit.end());
    for (const std::uint32_t id : hit)
      Later(m_active.at(id), 5ms, [this, aEngine](Active& aActive) {
        const bool moved = aActive.m_decodeEngine != aEngine &&
                           aActive.m_tokens > aActive.m_start;
        if (!moved)
          AttemptFailed(aActive, aEngine);
      });
    return;
  }
  if (aEvent.m_kind != Kind::Token && aEvent.m_kind != Kind::PrefillDone)
    return;
  const std::uint32_t id = std::uint32_t(std::stoul(aEvent.m_stream.substr(1)));
  const auto found = m_active.find(id);
  if (found == m_active.end() || StreamOf(found->second) != aEvent.m_stream)
    return;
  if (aEvent.m_kind == Kind::Token)
    OnToken(found->second, aEvent.m_at);
  else
    Later(found->second,
          LatencyTo(found->second, aEngine),
          [this, name = aEvent.m_id, cached = aEvent.m_cachedTokens](
            Active& aActive) { OnPrefilled(aActive, name, cached); });
}

inline void
Simulation::CollectEngines()
{
  for (const auto& engine : m_cluster.Engines()) {
    const standin::EngineStats& stats = engine.m_model->Stats();
    m_result.m_prefillTokens += stats.m_prefillTokensDone;
    m_result.m_wastedTokens +=
      stats.m_prefillTokensWasted + stats.m_pulledTokensUnused;
    m_result.m_cachedTokens += stats.m_prefillTokensCached;
  }
  m_result.m_crossRegionBytes = m_cluster.CrossRegionBytes();
  m_result.m_piecesHeld =
    m_memorySum / double(std::max<std::uint64_t>(1, m_memorySamples));
  m_result.m_seconds = std::chrono::duration<double>(
                         m_options.m_workload.m_time - m_options.m_warmUp)
                         .count();
}

inline void
Simulation::CollectRequests()
{
  for (std::size_t i = 0; i < m_offeredBySecond.size(); ++i)
    m_result.m_goodBySecond.push_back(m_offeredBySecond[i]
                                        ? double(m_goodBySecond[i]) /
                                            double(m_offeredBySecond[i])
                                        : 1.0);
  if (m_firstTokens.empty())
    return;
  auto p95 = m_firstTokens.begin() + m_firstTokens.size() * 95 / 100;
  std::nth_element(m_firstTokens.begin(), p95, m_firstTokens.end());
  m_result.m_firstTokenP95 = *p95;
}

inline SimulationResult
Simulation::Run()
{
  const std::size_t seconds =
    std::size_t(std::chrono::duration_cast<std::chrono::seconds>(
                  m_options.m_workload.m_time)
                  .count()) +
    1;
  m_offeredBySecond.resize(seconds);
  m_goodBySecond.resize(seconds);
  for (std::uint32_t id = 0; id < m_arrivals.size(); ++id)
    m_queue.At(m_arrivals[id].m_at, [this, id] { OnArrival(id); });
  if (m_options.m_outage) {
    for (const bool up : { false, true })
      m_queue.At(Workload::kStart + (up ? m_options.m_outage->m_until
                                        : m_options.m_outage->m_from),
                 [this, up] {
                   for (const std::uint32_t engine :
                        m_options.m_outage->m_engines)
                     m_cluster.SetUp(engine, up);
                 });
  }
  m_queue.After(m_options.m_warmUp, [this] { SampleMemory(); });
  m_queue.RunUntil(Workload::kStart + m_options.m_workload.m_time);
  CollectEngines();
  // What was accepted in the time is followed to its end.
  for (int i = 0; i < kMostTail && !m_active.empty(); ++i)
    m_queue.RunUntil(m_queue.Now() + 1s);
  CollectRequests();
  return m_result;
}

} // namespace shallotford::bench

#endif // SHALLOTFORD_BENCH_POLICY_SIMULATION_RUN_H
