/// How the engine model moves through time: prefill queue, decode steps,
/// lapses and crashes.

#include "standin_engine_model.h"

#include "standin_text.h"

#include <algorithm>

namespace shallotford::standin {

TimePoint
EngineModel::NextEventAt() const
{
  TimePoint next = std::min({ m_prefillEnd, m_stepEnd, m_loadEnd });
  for (const auto& [stream, holding] : m_holdings) {
    next = std::min(next, holding.m_deadline);
  }
  return next;
}

std::vector<EngineEvent>
EngineModel::Advance(TimePoint aNow)
{
  std::vector<EngineEvent> events;
  for (;;) {
    TimePoint at = NextEventAt();
    if (at > aNow || at == TimePoint::max()) {
      return events;
    }
    if (at == m_loadEnd) {
      FinishLoad(at);
      events.push_back({ .m_at = at, .m_kind = EngineEventKind::ModelLoaded });
    } else if (at == m_prefillEnd) {
      FinishPrefill(at, events);
    } else if (at == m_stepEnd) {
      FinishStep(at, events);
    } else {
      ExpireHoldings(at, events);
    }
  }
}

void
EngineModel::StartNextPrefill(TimePoint aNow)
{
  if (!m_runningPrefill.empty()) {
    return;
  }
  Holding* first = nullptr;
  for (auto& [stream, holding] : m_holdings) {
    bool waits = holding.m_state == HoldingState::Prefill;
    if (waits && (!first || holding.m_priority > first->m_priority ||
                  (holding.m_priority == first->m_priority &&
                   holding.m_order < first->m_order))) {
      first = &holding;
    }
  }
  if (!first) {
    return;
  }
  const PrefillRequest& request = first->m_prefill;
  std::uint32_t pieces = PiecesFor(request.m_promptTokens);
  if (pieces > m_options.m_kvPieces - m_piecesHeld) {
    return; // until an export is pulled or expires
  }
  SetPieces(*first, pieces);
  // At least the last token is computed, also when all of it is cached.
  first->m_cachedTokens =
    std::min(CachedTokens(request.m_prefixes),
             request.m_promptTokens > 0 ? request.m_promptTokens - 1 : 0);
  first->m_workTokens = request.m_promptTokens - first->m_cachedTokens;
  m_runningPrefill = first->m_stream;
  m_prefillStart = aNow;
  m_prefillEnd = aNow + std::chrono::microseconds(
                          std::uint64_t{ first->m_workTokens } * 1'000'000 /
                          m_options.m_prefillTokensPerSecond);
  ++m_stats.m_prefillsStarted;
}

std::uint32_t
EngineModel::TokensRunSoFar(TimePoint aNow) const
{
  auto ran =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow - m_prefillStart)
      .count() *
    m_options.m_prefillTokensPerSecond / 1'000'000;
  const Holding* holding = Find(m_runningPrefill);
  return std::min(static_cast<std::uint32_t>(ran), holding->m_workTokens);
}

void
EngineModel::FinishPrefill(TimePoint aNow, std::vector<EngineEvent>& aEvents)
{
  Holding& holding = m_holdings.at(m_runningPrefill);
  if (holding.m_prefill.m_crashPrefill) {
    CrashWithEvent(aNow, aEvents);
    return;
  }
  m_runningPrefill.clear();
  m_prefillEnd = TimePoint::max();
  holding.m_state = HoldingState::Export;
  holding.m_id = "e" + std::to_string(m_nextNumber++);
  holding.m_deadline = aNow + m_options.m_exportLifetime;
  ++m_stats.m_prefillsDone;
  m_stats.m_prefillTokensDone += holding.m_workTokens;
  m_stats.m_prefillTokensCached += holding.m_cachedTokens;
  StorePrefixes(aNow, holding);
  aEvents.push_back({ .m_at = aNow,
                      .m_kind = EngineEventKind::PrefillDone,
                      .m_stream = holding.m_stream,
                      .m_id = holding.m_id,
                      .m_cachedTokens = holding.m_cachedTokens,
                      .m_promptTokens = holding.m_prefill.m_promptTokens });
  StartNextPrefill(aNow);
  NoteLoad(aNow);
}

void
EngineModel::StartStep(TimePoint aNow)
{
  if (m_stepEnd != TimePoint::max()) {
    return; // a new stream joins at the next step
  }
  std::uint32_t members = 0;
  for (auto& [stream, holding] : m_holdings) {
    holding.m_inStep = holding.m_state == HoldingState::Decode;
    members += holding.m_inStep ? 1 : 0;
  }
  if (members > 0) {
    m_stepEnd =
      aNow + m_options.m_decodeStep + members * m_options.m_decodeStepPerStream;
  }
}

void
EngineModel::FinishStep(TimePoint aNow, std::vector<EngineEvent>& aEvents)
{
  m_stepEnd = TimePoint::max();
  bool finished = false;
  for (auto& [stream, holding] : m_holdings) {
    if (!holding.m_inStep || holding.m_state != HoldingState::Decode) {
      continue;
    }
    if (holding.m_content.m_crashDecode) {
      CrashWithEvent(aNow, aEvents);
      return;
    }
    GenerateToken(aNow, holding, aEvents);
    finished = finished || holding.m_state == HoldingState::Done;
  }
  if (finished) {
    NoteLoad(aNow);
  }
  StartStep(aNow);
}

void
EngineModel::GenerateToken(TimePoint aNow,
                           Holding& aHolding,
                           std::vector<EngineEvent>& aEvents)
{
  bool stops = false;
  if (!aHolding.m_stop.empty()) {
    std::string token = TokenText(aHolding.m_seed, aHolding.m_next);
    stops = std::ranges::any_of(aHolding.m_stop, [&](const auto& aStop) {
      return !aStop.empty() && token.find(aStop) != std::string::npos;
    });
  }
  if (!stops) {
    aEvents.push_back({ .m_at = aNow,
                        .m_kind = EngineEventKind::Token,
                        .m_stream = aHolding.m_stream,
                        .m_position = aHolding.m_next });
    ++aHolding.m_next;
    ++m_stats.m_tokensGenerated;
  }
  if (!stops && aHolding.m_next < aHolding.m_end) {
    return;
  }
  aHolding.m_state = HoldingState::Done;
  aHolding.m_finishReason = stops ? "stop" : "length";
  aHolding.m_deadline = aNow + m_options.m_doneGrace;
  ++m_stats.m_streamsDone;
  aEvents.push_back({ .m_at = aNow,
                      .m_kind = EngineEventKind::StreamDone,
                      .m_stream = aHolding.m_stream,
                      .m_position = aHolding.m_next });
}

void
EngineModel::ExpireHoldings(TimePoint aNow, std::vector<EngineEvent>& aEvents)
{
  std::vector<EngineEvent> lapsed;
  for (const auto& [stream, holding] : m_holdings) {
    if (holding.m_deadline > aNow) {
      continue;
    }
    EngineEvent event{ .m_at = aNow,
                       .m_kind = EngineEventKind::StreamLapsed,
                       .m_stream = stream,
                       .m_id = holding.m_id };
    if (holding.m_state == HoldingState::Export) {
      event.m_kind = EngineEventKind::ExportExpired;
    } else if (holding.m_state == HoldingState::Import) {
      event.m_kind = EngineEventKind::ImportDropped;
      ++m_stats.m_importsDropped;
    }
    lapsed.push_back(event);
  }
  for (const EngineEvent& event : lapsed) {
    Release(aNow, event.m_stream);
    aEvents.push_back(event);
  }
}

void
EngineModel::Crash(TimePoint aNow)
{
  if (!m_runningPrefill.empty()) {
    std::uint32_t ran = TokensRunSoFar(aNow);
    m_stats.m_prefillTokensDone += ran;
    m_stats.m_prefillTokensWasted += ran;
  }
  for (const auto& [stream, holding] : m_holdings) {
    if (holding.m_state == HoldingState::Export) {
      m_stats.m_prefillTokensWasted += holding.m_workTokens;
    }
  }
  m_holdings.clear();
  m_piecesHeld = 0;
  m_runningPrefill.clear();
  m_prefillEnd = TimePoint::max();
  m_stepEnd = TimePoint::max();
  m_loadEnd = TimePoint::max();
  m_loading = false;
  m_cache.clear();
  m_cacheIndex.clear();
  m_state.m_acceptedFence = 0;
  m_state.m_draining = false;
  NoteLoad(aNow);
}

void
EngineModel::CrashWithEvent(TimePoint aNow, std::vector<EngineEvent>& aEvents)
{
  Crash(aNow);
  aEvents.push_back({ .m_at = aNow, .m_kind = EngineEventKind::Crashed });
}

} // namespace shallotford::standin
