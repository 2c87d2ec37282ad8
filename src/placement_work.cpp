/// EngineTable: the requests that this VM placed. They correct load reports,
/// which show the engines as they were some time ago.

#include "config.h"
#include "placement_table.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

std::uint32_t
PiecesFor(std::uint32_t aTokens)
{
  return (aTokens + kKvPieceTokens - 1) / kKvPieceTokens;
}

/// Updates the queue estimate of an engine to aNow and adds aTokens to it.
void
AddQueueTokens(TimePoint aNow, EngineFacts& aFacts, double aTokens)
{
  const double elapsed =
    std::chrono::duration<double>(aNow - aFacts.m_queueAt).count();
  const double left =
    std::max(0.0, aFacts.m_queueTokens - aFacts.m_tokensPerSecond * elapsed);
  aFacts.m_queueTokens = std::max(0.0, left + aTokens);
  aFacts.m_queueAt = aNow;
}

/// Returns the tokens to compute of a reported queue when it was measured.
double
QueuedWork(const EngineFacts& aFacts, const ModelDemand& aDemand)
{
  const double reported = double(aFacts.m_report.m_prefillQueueTokens);
  if (!aFacts.m_report.m_queueCountsCached)
    return reported;
  // The report also counts tokens that the prefix cache holds.
  return reported * aDemand.ComputedShare();
}

} // namespace

void
ModelDemand::Decay(TimePoint aNow)
{
  const double elapsed = std::chrono::duration<double>(aNow - m_at).count();
  const double kept = std::exp(
    -elapsed / std::chrono::duration<double>(kOwnDemandDecayTime).count());
  m_tokens *= kept;
  m_workTokens *= kept;
  m_promptTokens *= kept;
  m_at = aNow;
}

double
ModelDemand::ComputedShare() const
{
  return m_promptTokens > 0 ? m_workTokens / m_promptTokens : 1.0;
}

EngineWork*
EngineTable::Index::Find(WorkId aWork)
{
  const auto found = m_openWork.find(aWork);
  return found == m_openWork.end() ? nullptr : &found->second;
}

std::size_t
EngineTable::Index::LinkIndex(std::uint32_t aFrom, std::uint32_t aTo) const
{
  return std::size_t{ aFrom } * m_regions.size() + aTo;
}

void
EngineTable::Index::AddTransfer(const EngineWork& aWork,
                                const std::vector<EngineFacts>& aEngines,
                                int aBy)
{
  const std::uint32_t from = aEngines[aWork.m_prefillEngine].m_region;
  const std::uint32_t to = aEngines[aWork.m_decodeEngine].m_region;
  m_transfers[LinkIndex(from, to)] += aBy;
}

void
EngineTable::Index::ClosePrefill(WorkId aId,
                                 EngineWork& aWork,
                                 EngineFacts& aFacts)
{
  if (!aWork.m_prefillOpen)
    return;
  aWork.m_prefillOpen = false;
  --aFacts.m_ownPrefills;
  aFacts.m_ownPrefillTokens -= aWork.m_prefillTokens;
  std::erase(m_prefillsOf[aWork.m_prefillEngine], aId);
}

void
EngineTable::Index::AddDecode(WorkId aId,
                              EngineWork& aWork,
                              EngineFacts& aFacts)
{
  aWork.m_inReport = false;
  ++aFacts.m_ownDecodes;
  aFacts.m_ownPieces += aWork.m_pieces;
  ++aFacts.m_newDecodes;
  aFacts.m_newPieces += aWork.m_pieces;
  m_decodesOf[aWork.m_decodeEngine].push_back(aId);
}

void
EngineTable::Index::RemoveDecode(TimePoint aNow,
                                 WorkId aId,
                                 EngineWork& aWork,
                                 EngineFacts& aFacts)
{
  --aFacts.m_ownDecodes;
  aFacts.m_ownPieces -= aWork.m_pieces;
  std::erase(m_decodesOf[aWork.m_decodeEngine], aId);
  if (!aWork.m_inReport) {
    --aFacts.m_newDecodes;
    aFacts.m_newPieces -= aWork.m_pieces;
  } else {
    ++aFacts.m_endedDecodes;
    aFacts.m_endedPieces += aWork.m_pieces;
  }
  if (!aWork.m_claimedAt)
    return;
  std::deque<EndedWork>& ended = m_endedOf[aWork.m_decodeEngine];
  // Reports remove old items. This bounds the list if no report comes.
  while (!ended.empty() && ended.front().m_endedAt + kEndedWorkLifetime < aNow)
    ended.pop_front();
  ended.push_back({ *aWork.m_claimedAt, aNow, aWork.m_pieces });
}

void
EngineTable::Index::RecomputeCorrections(TimePoint aNow,
                                         std::uint32_t aEngine,
                                         EngineFacts& aFacts)
{
  const TimePoint measured = aFacts.m_reportedAt;
  if (aFacts.m_refusedAt <= measured)
    aFacts.m_refusedPieces = 0;
  aFacts.m_newDecodes = aFacts.m_newPieces = 0;
  aFacts.m_endedDecodes = aFacts.m_endedPieces = 0;
  for (const WorkId id : m_decodesOf[aEngine]) {
    EngineWork& work = m_openWork.at(id);
    work.m_inReport = work.m_claimedAt && *work.m_claimedAt <= measured;
    if (work.m_inReport)
      continue;
    ++aFacts.m_newDecodes;
    aFacts.m_newPieces += work.m_pieces;
  }
  std::deque<EndedWork>& ended = m_endedOf[aEngine];
  while (!ended.empty() && ended.front().m_endedAt <= measured)
    ended.pop_front();
  for (const EndedWork& work : ended) {
    if (work.m_claimedAt > measured)
      continue;
    ++aFacts.m_endedDecodes;
    aFacts.m_endedPieces += work.m_pieces;
  }

  aFacts.m_queueTokens = QueuedWork(aFacts, m_demand[aFacts.m_model]);
  aFacts.m_undrainedTokens = aFacts.m_queueTokens;
  aFacts.m_queueAt = measured;
  for (const WorkId id : m_prefillsOf[aEngine]) {
    const EngineWork& work = m_openWork.at(id);
    if (work.m_placedAt <= measured)
      continue;
    AddQueueTokens(work.m_placedAt, aFacts, work.m_prefillTokens);
    aFacts.m_undrainedTokens += work.m_prefillTokens;
  }
  AddQueueTokens(aNow, aFacts, 0);
}

WorkId
EngineTable::OnPlaced(TimePoint aNow,
                      const PlacementRequest& aRequest,
                      const Placement& aPlacement)
{
  const std::uint32_t prefill = Find(aPlacement.m_prefillEngine);
  const std::uint32_t decode = Find(aPlacement.m_decodeEngine);
  if (prefill == kNoEngine || decode == kNoEngine)
    return 0;
  Index& index = *m_index;
  const WorkId id = ++index.m_lastWork;
  EngineWork& work = index.m_openWork[id];
  work.m_prefillEngine = prefill;
  work.m_decodeEngine = decode;
  work.m_promptTokens = aRequest.m_promptTokens;
  work.m_prefillTokens =
    aRequest.m_promptTokens -
    std::min(aRequest.m_promptTokens, aPlacement.m_cachedTokens);
  work.m_pieces =
    PiecesFor(aRequest.m_promptTokens + aRequest.m_maxOutputTokens);
  work.m_placedAt = aNow;
  work.m_prefixes = aRequest.m_prefixes;

  EngineFacts& facts = m_engines[prefill];
  ++facts.m_ownPrefills;
  facts.m_ownPrefillTokens += work.m_prefillTokens;
  AddQueueTokens(aNow, facts, work.m_prefillTokens);
  facts.m_undrainedTokens += work.m_prefillTokens;
  ModelDemand& demand = index.m_demand[facts.m_model];
  demand.Decay(aNow);
  demand.m_tokens += work.m_prefillTokens;
  index.m_prefillsOf[prefill].push_back(id);
  index.AddDecode(id, work, m_engines[decode]);
  return id;
}

void
EngineTable::OnClaimed(TimePoint aNow, WorkId aWork)
{
  if (EngineWork* work = m_index->Find(aWork))
    work->m_claimedAt = aNow;
}

void
EngineTable::OnClaimRefused(TimePoint aNow, WorkId aWork, RefusalReason aReason)
{
  const EngineWork* work = m_index->Find(aWork);
  if (!work)
    return;
  EngineFacts& facts = m_engines[work->m_decodeEngine];
  if (aReason != RefusalReason::Memory) {
    OnRefused(aNow, facts.m_address, aReason);
    return;
  }
  // Requests with fewer pieces may still fit.
  if (facts.m_refusedPieces == 0 || work->m_pieces < facts.m_refusedPieces)
    facts.m_refusedPieces = work->m_pieces;
  facts.m_refusedAt = aNow;
}

void
EngineTable::OnStep(TimePoint aNow, WorkId aWork, WorkStep aStep)
{
  if (aStep == WorkStep::Ended) {
    OnEnded(aNow, aWork);
    return;
  }
  EngineWork* work = m_index->Find(aWork);
  if (!work)
    return;
  if (aStep >= WorkStep::Prefilled)
    m_index->ClosePrefill(aWork, *work, m_engines[work->m_prefillEngine]);
  if (work->m_step == WorkStep::Transferring)
    m_index->AddTransfer(*work, m_engines, -1);
  if (aStep == WorkStep::Transferring)
    m_index->AddTransfer(*work, m_engines, 1);
  work->m_step = aStep;
}

void
EngineTable::OnPrefilled(TimePoint aNow,
                         WorkId aWork,
                         std::uint32_t aCachedTokens)
{
  EngineWork* work = m_index->Find(aWork);
  if (!work)
    return;
  ModelDemand& demand =
    m_index->m_demand[m_engines[work->m_prefillEngine].m_model];
  demand.Decay(aNow);
  demand.m_promptTokens += work->m_promptTokens;
  demand.m_workTokens +=
    work->m_promptTokens - std::min(work->m_promptTokens, aCachedTokens);
  std::uint32_t tokens = 0;
  for (const PrefixKey prefix : work->m_prefixes) {
    tokens += kKvPieceTokens;
    m_index->m_hints.Store(aNow, work->m_prefillEngine, prefix, tokens);
  }
  OnStep(aNow, aWork, WorkStep::Prefilled);
}

void
EngineTable::OnDecodeMoved(TimePoint aNow,
                           WorkId aWork,
                           const std::string& aEngine)
{
  const std::uint32_t decode = Find(aEngine);
  EngineWork* work = m_index->Find(aWork);
  if (!work || decode == kNoEngine)
    return;
  m_index->RemoveDecode(aNow, aWork, *work, m_engines[work->m_decodeEngine]);
  work->m_claimedAt.reset();
  work->m_decodeEngine = decode;
  m_index->AddDecode(aWork, *work, m_engines[decode]);
}

void
EngineTable::OnEnded(TimePoint aNow, WorkId aWork)
{
  EngineWork* work = m_index->Find(aWork);
  if (!work)
    return;
  EngineFacts& facts = m_engines[work->m_prefillEngine];
  if (work->m_prefillOpen) {
    AddQueueTokens(aNow, facts, -double(work->m_prefillTokens));
    facts.m_undrainedTokens =
      std::max(0.0, facts.m_undrainedTokens - work->m_prefillTokens);
  }
  m_index->ClosePrefill(aWork, *work, facts);
  if (work->m_step == WorkStep::Transferring)
    m_index->AddTransfer(*work, m_engines, -1);
  m_index->RemoveDecode(aNow, aWork, *work, m_engines[work->m_decodeEngine]);
  m_index->m_openWork.erase(aWork);
}

} // namespace shallotford
