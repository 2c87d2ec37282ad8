/// What the engine model tells: load reports that lag, the prefix cache and its
/// events.

#include "standin_engine_model.h"

namespace shallotford::standin {

namespace {

/// Cache events kept for readers that come late.
constexpr std::size_t kCacheEventsKept = 4'096;
/// Load notes kept although the lag has passed: the last one only.
constexpr std::size_t kLoadNotesLeast = 1;

} // namespace

LoadReport
EngineModel::TrueLoad(TimePoint) const
{
  LoadReport report;
  report.m_role = m_state.m_role;
  report.m_model = m_state.m_model;
  report.m_leaving = m_state.m_leaving || m_state.m_draining;
  report.m_running = RunningCount();
  report.m_batchLimit = m_options.m_batchLimit;
  report.m_piecesTotal = m_options.m_kvPieces;
  report.m_piecesFree = m_options.m_kvPieces - m_piecesHeld;
  for (const auto& [stream, holding] : m_holdings) {
    if (holding.m_state == HoldingState::Prefill) {
      report.m_prefillQueueTokens += holding.m_prefill.m_promptTokens;
    }
  }
  return report;
}

void
EngineModel::NoteLoad(TimePoint aNow)
{
  LoadReport report = TrueLoad(aNow);
  if (!m_loadNotes.empty() && m_loadNotes.back().m_at == aNow) {
    m_loadNotes.back().m_report = report;
  } else {
    m_loadNotes.push_back({ aNow, report });
  }
  while (m_loadNotes.size() > kLoadNotesLeast &&
         m_loadNotes[1].m_at + m_options.m_loadLag <= aNow) {
    m_loadNotes.pop_front();
  }
}

LoadReport
EngineModel::Load(TimePoint aNow) const
{
  LoadReport report;
  bool found = false;
  for (const LoadNote& note : m_loadNotes) {
    if (note.m_at + m_options.m_loadLag <= aNow) {
      report = note.m_report;
      found = true;
    }
  }
  if (!found) {
    // Nothing had happened yet: the engine was empty.
    report = TrueLoad(aNow);
    report.m_running = 0;
    report.m_piecesFree = report.m_piecesTotal;
    report.m_prefillQueueTokens = 0;
    report.m_leaving = false;
  }
  report.m_age = m_options.m_loadLag;
  return report;
}

CacheEvents
EngineModel::CacheEventsAfter(TimePoint aNow, std::uint64_t aAfter) const
{
  CacheEvents result;
  result.m_next = aAfter;
  for (const CacheEvent& event : m_cacheEvents) {
    if (event.m_visibleAt > aNow) {
      break;
    }
    if (event.m_seq > aAfter) {
      result.m_events.push_back(event);
      result.m_next = event.m_seq;
    }
  }
  return result;
}

std::uint32_t
EngineModel::CachedTokens(const std::vector<std::string>& aPrefixes) const
{
  std::uint32_t pieces = 0;
  while (pieces < aPrefixes.size() &&
         m_cacheIndex.contains(aPrefixes[pieces])) {
    ++pieces;
  }
  return pieces * m_options.m_pieceTokens;
}

void
EngineModel::PublishCacheEvent(TimePoint aNow,
                               bool aStored,
                               const CachedPrefix& aPrefix)
{
  std::uint64_t seq = m_nextCacheSeq++;
  if (m_random->Unit() < m_options.m_cacheEventGapRate) {
    return;
  }
  m_cacheEvents.push_back({ seq,
                            aStored,
                            aPrefix.m_prefix,
                            aPrefix.m_tokens,
                            aNow + m_options.m_cacheEventDelay });
  if (m_cacheEvents.size() > kCacheEventsKept) {
    m_cacheEvents.pop_front();
  }
}

void
EngineModel::StorePrefixes(TimePoint aNow, const Holding& aHolding)
{
  // The longest first, so that the shortest ends as the most recently used and
  // eviction cuts chains at their end.
  const std::vector<std::string>& prefixes = aHolding.m_prefill.m_prefixes;
  for (std::size_t i = prefixes.size(); i-- > 0;) {
    auto known = m_cacheIndex.find(prefixes[i]);
    if (known != m_cacheIndex.end()) {
      m_cache.splice(m_cache.begin(), m_cache, known->second);
      continue;
    }
    auto tokens = static_cast<std::uint32_t>((i + 1) * m_options.m_pieceTokens);
    m_cache.push_front({ prefixes[i], tokens });
    m_cacheIndex[prefixes[i]] = m_cache.begin();
    PublishCacheEvent(aNow, true, m_cache.front());
  }
  while (m_cache.size() > m_options.m_prefixCachePieces) {
    PublishCacheEvent(aNow, false, m_cache.back());
    m_cacheIndex.erase(m_cache.back().m_prefix);
    m_cache.pop_back();
  }
}

void
EngineModel::ClearCache(TimePoint aNow)
{
  for (const CachedPrefix& prefix : m_cache) {
    PublishCacheEvent(aNow, false, prefix);
  }
  m_cache.clear();
  m_cacheIndex.clear();
}

} // namespace shallotford::standin
