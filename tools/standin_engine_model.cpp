/// Operations of the engine model: claims, pulls, streams, orders, reports.

#include "standin_engine_model.h"

#include <algorithm>

namespace shallotford::standin {

std::string_view
ToString(RefuseReason aReason)
{
  switch (aReason) {
    case RefuseReason::Memory:
      return "memory";
    case RefuseReason::Batch:
      return "batch";
    case RefuseReason::Leaving:
      return "leaving";
    case RefuseReason::Model:
      return "model";
    case RefuseReason::Role:
      break;
  }
  return "role";
}

std::string_view
ToString(HoldingState aState)
{
  switch (aState) {
    case HoldingState::Import:
      return "import";
    case HoldingState::Prefill:
      return "prefill";
    case HoldingState::Export:
      return "export";
    case HoldingState::Decode:
      return "decode";
    case HoldingState::Done:
      break;
  }
  return "done";
}

EngineModel::EngineModel(EngineModelOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(MakeSeededRandom(m_options.m_seed))
{
  m_state.m_role = m_options.m_role;
  m_state.m_model = m_options.m_model;
  m_state.m_version = m_options.m_version;
  m_state.m_checksFencing = m_options.m_checksFencing;
}

std::uint32_t
EngineModel::PiecesFor(std::uint64_t aTokens) const
{
  return static_cast<std::uint32_t>((aTokens + m_options.m_pieceTokens - 1) /
                                    m_options.m_pieceTokens);
}

std::uint32_t
EngineModel::RunningCount() const
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(m_holdings, [](const auto& aEntry) {
      HoldingState state = aEntry.second.m_state;
      return state == HoldingState::Import || state == HoldingState::Decode;
    }));
}

std::optional<RefuseReason>
EngineModel::RefusalOf(EngineRole aRole, const std::string& aModel) const
{
  if (m_state.m_leaving || m_state.m_draining) {
    return RefuseReason::Leaving;
  }
  if (m_state.m_role != aRole) {
    return RefuseReason::Role;
  }
  bool loadsModel = m_loading && m_loadOrder.m_kind == OrderKind::LoadModel;
  if (loadsModel || m_state.m_model != aModel) {
    return RefuseReason::Model;
  }
  return std::nullopt;
}

Holding&
EngineModel::Hold(TimePoint aNow,
                  const std::string& aStream,
                  HoldingState aState,
                  std::uint32_t aPieces)
{
  Holding& holding = m_holdings[aStream];
  holding.m_stream = aStream;
  holding.m_state = aState;
  holding.m_since = aNow;
  holding.m_deadline = TimePoint::max();
  holding.m_order = m_nextNumber++;
  SetPieces(holding, aPieces);
  m_stats.m_mostHeld =
    std::max(m_stats.m_mostHeld, static_cast<std::uint32_t>(m_holdings.size()));
  m_stats.m_mostRunning = std::max(m_stats.m_mostRunning, RunningCount());
  return holding;
}

void
EngineModel::SetPieces(Holding& aHolding, std::uint32_t aPieces)
{
  m_piecesHeld += aPieces;
  m_piecesHeld -= aHolding.m_pieces;
  aHolding.m_pieces = aPieces;
  m_stats.m_mostPieces = std::max(m_stats.m_mostPieces, m_piecesHeld);
}

Admission
EngineModel::ClaimImport(TimePoint aNow, const ImportRequest& aRequest)
{
  if (const Holding* held = Find(aRequest.m_stream)) {
    if (held->m_state == HoldingState::Import) {
      return { held->m_id, std::nullopt };
    }
    return { "", RefuseReason::Role };
  }
  std::optional<RefuseReason> refused =
    RefusalOf(EngineRole::Decode, aRequest.m_model);
  std::uint32_t pieces =
    PiecesFor(std::uint64_t{ aRequest.m_promptTokens } + aRequest.m_maxTokens);
  if (!refused && RunningCount() >= m_options.m_batchLimit) {
    refused = RefuseReason::Batch;
  }
  if (!refused && (pieces > m_options.m_kvPieces - m_piecesHeld ||
                   m_random->Unit() < m_options.m_refuseImportRate)) {
    refused = RefuseReason::Memory;
  }
  if (refused) {
    ++m_stats.m_importsRefused;
    return { "", refused };
  }
  Holding& holding =
    Hold(aNow, aRequest.m_stream, HoldingState::Import, pieces);
  holding.m_id = "i" + std::to_string(holding.m_order);
  holding.m_priority = aRequest.m_priority;
  if (m_options.m_unfilledImportLifetime.count() > 0) {
    holding.m_deadline = aNow + m_options.m_unfilledImportLifetime;
  }
  ++m_stats.m_importsClaimed;
  NoteLoad(aNow);
  return { holding.m_id, std::nullopt };
}

Admission
EngineModel::StartPrefill(TimePoint aNow, const PrefillRequest& aRequest)
{
  if (const Holding* held = Find(aRequest.m_stream)) {
    bool same = held->m_state == HoldingState::Prefill ||
                held->m_state == HoldingState::Export;
    return { "", same ? std::nullopt : std::optional(RefuseReason::Role) };
  }
  std::optional<RefuseReason> refused =
    RefusalOf(EngineRole::Prefill, aRequest.m_model);
  if (!refused && !aRequest.m_adapter.empty() &&
      !m_state.m_adapters.contains(aRequest.m_adapter)) {
    refused = RefuseReason::Model;
  }
  if (!refused && PiecesFor(aRequest.m_promptTokens) > m_options.m_kvPieces) {
    refused = RefuseReason::Memory;
  }
  if (refused) {
    return { "", refused };
  }
  // Memory is claimed when it starts to run, not while it waits.
  Holding& holding = Hold(aNow, aRequest.m_stream, HoldingState::Prefill, 0);
  holding.m_prefill = aRequest;
  holding.m_priority = aRequest.m_priority;
  holding.m_content = { aRequest.m_promptFingerprint,
                        aRequest.m_promptTokens,
                        aRequest.m_crashDecode };
  StartNextPrefill(aNow);
  NoteLoad(aNow);
  return {};
}

Holding*
EngineModel::FindById(const std::string& aId, HoldingState aState)
{
  for (auto& [stream, holding] : m_holdings) {
    if (holding.m_state == aState && holding.m_id == aId) {
      return &holding;
    }
  }
  return nullptr;
}

std::optional<KvContent>
EngineModel::BeginPull(TimePoint aNow, const std::string& aExport)
{
  Holding* holding = FindById(aExport, HoldingState::Export);
  if (!holding || holding->m_pulled) {
    return std::nullopt;
  }
  holding->m_pulled = true;
  holding->m_deadline = aNow + m_options.m_pullLimit;
  return holding->m_content;
}

bool
EngineModel::EndPull(TimePoint aNow, const std::string& aExport, bool aWhole)
{
  Holding* holding = FindById(aExport, HoldingState::Export);
  if (!holding) {
    return false;
  }
  holding->m_pulled = false;
  if (aWhole) {
    holding->m_workTokens = 0; // used, so not wasted
  }
  Release(aNow, std::string(holding->m_stream));
  return true;
}

bool
EngineModel::FillImport(TimePoint aNow,
                        const std::string& aImport,
                        const KvContent& aContent)
{
  Holding* holding = FindById(aImport, HoldingState::Import);
  if (!holding) {
    return false;
  }
  holding->m_filled = true;
  holding->m_content = aContent;
  holding->m_deadline = TimePoint::max();
  NoteLoad(aNow);
  return true;
}

const Holding*
EngineModel::FindImport(const std::string& aImport)
{
  return FindById(aImport, HoldingState::Import);
}

bool
EngineModel::StartStream(TimePoint aNow, const StreamRequest& aRequest)
{
  Holding* holding = FindById(aRequest.m_import, HoldingState::Import);
  if (!holding || !holding->m_filled ||
      holding->m_stream != aRequest.m_stream) {
    return false;
  }
  holding->m_state = HoldingState::Decode;
  holding->m_seed = aRequest.m_seedPrompt.empty()
                      ? holding->m_content.m_promptFingerprint
                      : aRequest.m_seedPrompt;
  holding->m_start = aRequest.m_start;
  holding->m_next = aRequest.m_start;
  holding->m_end = aRequest.m_start + std::max(aRequest.m_maxTokens, 1u);
  holding->m_stop = aRequest.m_stop;
  ++m_stats.m_streamsStarted;
  StartStep(aNow);
  return true;
}

std::uint64_t
EngineModel::Attach(const std::string& aStream)
{
  auto found = m_holdings.find(aStream);
  if (found == m_holdings.end() ||
      (found->second.m_state != HoldingState::Decode &&
       found->second.m_state != HoldingState::Done)) {
    return 0;
  }
  found->second.m_attachment = m_nextNumber++;
  return found->second.m_attachment;
}

void
EngineModel::Detach(const std::string& aStream, std::uint64_t aAttachment)
{
  auto found = m_holdings.find(aStream);
  if (found != m_holdings.end() && found->second.m_attachment == aAttachment) {
    found->second.m_attachment = 0;
  }
}

bool
EngineModel::Cancel(TimePoint aNow, const std::string& aStream)
{
  if (!m_holdings.contains(aStream)) {
    return false;
  }
  ++m_stats.m_cancels;
  Release(aNow, aStream);
  return true;
}

void
EngineModel::Release(TimePoint aNow, const std::string& aStream)
{
  auto found = m_holdings.find(aStream);
  Holding& holding = found->second;
  if (aStream == m_runningPrefill) {
    std::uint32_t ran = TokensRunSoFar(aNow);
    m_stats.m_prefillTokensDone += ran;
    m_stats.m_prefillTokensWasted += ran;
    m_runningPrefill.clear();
    m_prefillEnd = TimePoint::max();
  }
  if (holding.m_state == HoldingState::Export) {
    m_stats.m_prefillTokensWasted += holding.m_workTokens;
  }
  if (holding.m_filled && holding.m_next == holding.m_start) {
    m_stats.m_pulledTokensUnused += holding.m_content.m_promptTokens;
  }
  SetPieces(holding, 0);
  m_holdings.erase(found);
  StartNextPrefill(aNow);
  NoteLoad(aNow);
}

const Holding*
EngineModel::Find(const std::string& aStream) const
{
  auto found = m_holdings.find(aStream);
  return found == m_holdings.end() ? nullptr : &found->second;
}

OrderResult
EngineModel::Order(TimePoint aNow, const OrderRequest& aOrder)
{
  if (m_options.m_checksFencing && aOrder.m_fence <= m_state.m_acceptedFence) {
    return OrderResult::OldFence;
  }
  bool needsEmpty = aOrder.m_kind == OrderKind::SetRole ||
                    aOrder.m_kind == OrderKind::LoadModel;
  bool unloads = aOrder.m_kind == OrderKind::UnloadAdapter;
  if (m_loading || ((needsEmpty || unloads) && !m_holdings.empty())) {
    return OrderResult::Busy;
  }
  m_state.m_acceptedFence = aOrder.m_fence;
  ++m_stats.m_ordersAccepted;
  switch (aOrder.m_kind) {
    case OrderKind::LoadModel:
      m_loading = true;
      m_loadOrder = aOrder;
      m_loadEnd =
        m_options.m_externalLoad
          ? TimePoint::max()
          : aNow + std::chrono::milliseconds(m_options.m_weightBytes * 1'000 /
                                             m_options.m_weightBytesPerSecond);
      break;
    case OrderKind::LoadAdapter:
      m_state.m_adapters.insert(aOrder.m_adapter);
      break;
    case OrderKind::UnloadAdapter:
      m_state.m_adapters.erase(aOrder.m_adapter);
      break;
    case OrderKind::SetRole:
      m_state.m_role = aOrder.m_role;
      ClearCache(aNow);
      break;
    case OrderKind::Drain:
      m_state.m_draining = true;
      break;
    case OrderKind::Resume:
      m_state.m_draining = false;
      break;
  }
  NoteLoad(aNow);
  return OrderResult::Accepted;
}

void
EngineModel::FinishLoad(TimePoint aNow)
{
  if (!m_loading) {
    return;
  }
  m_loading = false;
  m_loadEnd = TimePoint::max();
  m_state.m_model = m_loadOrder.m_model;
  m_state.m_version = m_loadOrder.m_version;
  m_state.m_adapters.clear();
  ClearCache(aNow);
  NoteLoad(aNow);
}

EngineState
EngineModel::State() const
{
  EngineState state = m_state;
  state.m_checksFencing = m_options.m_checksFencing;
  state.m_busy = m_loading || !m_holdings.empty();
  return state;
}

void
EngineModel::SetLeaving(TimePoint aNow, bool aLeaving)
{
  m_state.m_leaving = aLeaving;
  NoteLoad(aNow);
}

} // namespace shallotford::standin
