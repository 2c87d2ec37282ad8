/// EngineTable: load reports, health and leaving of engines, and queries.

#include "placement_table.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::size_t
RoleIndex(EngineRole aRole)
{
  return aRole == EngineRole::Prefill ? 0 : 1;
}

double
PrefillSpeed(const FleetText& aFleet, const std::string& aModel)
{
  for (const ModelEntry& model : aFleet.m_models)
    if (model.m_name == aModel)
      return std::max(1.0, double(model.m_prefillTokensPerSecond));
  return 1.0;
}

} // namespace

PrefixKey
MakePrefixKey(std::string_view aFingerprint)
{
  return StableHash(aFingerprint);
}

RefusalReason
ParseRefusalReason(std::string_view aText)
{
  if (aText == "memory")
    return RefusalReason::Memory;
  if (aText == "batch")
    return RefusalReason::Batch;
  if (aText == "leaving")
    return RefusalReason::Leaving;
  if (aText == "model")
    return RefusalReason::Model;
  if (aText == "role")
    return RefusalReason::Role;
  return RefusalReason::Other;
}

EngineTable::EngineTable()
  : m_index(std::make_unique<Index>())
{
}

EngineTable::~EngineTable() = default;

void
EngineTable::SetFleet(TimePoint aNow, const FleetText& aFleet)
{
  Index& index = *m_index;
  for (EngineFacts& facts : m_engines)
    facts.m_listed = false;
  // A region keeps its index for ever, so that engines and links need not be
  // renumbered.
  for (const RegionEntry& region : aFleet.m_regions)
    if (std::find(index.m_regions.begin(),
                  index.m_regions.end(),
                  region.m_name) == index.m_regions.end())
      index.m_regions.push_back(region.m_name);

  index.m_pools.clear();
  for (const ServiceEntry& service : aFleet.m_services) {
    if (service.m_kind != ServiceKind::Model)
      continue;
    Index::Pools& pools = index.m_pools[service.m_name];
    const double speed = PrefillSpeed(aFleet, service.m_model);
    for (const EngineEntry& entry : service.m_engines) {
      const auto [at, isNew] = index.m_byAddress.try_emplace(
        entry.m_address, static_cast<std::uint32_t>(m_engines.size()));
      if (isNew) {
        m_engines.emplace_back();
        m_engines.back().m_address = entry.m_address;
        m_engines.back().m_queueAt = aNow;
        m_engines.back().m_reportedAt = aNow;
      }
      EngineFacts& facts = m_engines[at->second];
      if (RegionIndex(entry.m_region) == kNoEngine)
        index.m_regions.push_back(entry.m_region);
      facts.m_region = RegionIndex(entry.m_region);
      facts.m_role = entry.m_role;
      facts.m_model = service.m_model;
      facts.m_batchLimit = entry.m_batchLimit;
      facts.m_kvPieces = entry.m_kvPieces;
      facts.m_tokensPerSecond = speed;
      facts.m_listed = true;
      pools[RoleIndex(entry.m_role)].push_back(at->second);
    }
  }
  index.m_decodesOf.resize(m_engines.size());
  index.m_prefillsOf.resize(m_engines.size());
  index.m_endedOf.resize(m_engines.size());

  const std::size_t regions = index.m_regions.size();
  index.m_links.assign(regions * regions, std::nullopt);
  for (const LinkEntry& link : aFleet.m_links) {
    const std::uint32_t from = RegionIndex(link.m_from);
    const std::uint32_t to = RegionIndex(link.m_to);
    if (from != kNoEngine && to != kNoEngine)
      index.m_links[index.LinkIndex(from, to)] = link;
  }
  index.m_transfers.assign(regions * regions, 0);
  for (const auto& [id, work] : index.m_openWork)
    if (work.m_step == WorkStep::Transferring)
      index.AddTransfer(work, m_engines, 1);
}

void
EngineTable::SetVmCount(std::uint32_t aCount)
{
  m_vmCount = std::max(1u, aCount);
}

void
EngineTable::OnLoadReport(TimePoint aNow,
                          const std::string& aEngine,
                          const LoadReport& aReport)
{
  const std::uint32_t engine = Find(aEngine);
  if (engine == kNoEngine)
    return;
  EngineFacts& facts = m_engines[engine];
  const TimePoint measured = aNow - aReport.m_age;
  if (facts.m_hasReport && measured < facts.m_reportedAt)
    return;
  facts.m_hasReport = true;
  facts.m_reportedAt = measured;
  facts.m_report = aReport;
  facts.m_leaving = aReport.m_leaving;
  facts.m_modelReady =
    aReport.m_role == facts.m_role && aReport.m_model == facts.m_model;
  m_index->RecomputeCorrections(aNow, engine, facts);
}

void
EngineTable::OnHealth(TimePoint aNow, const std::string& aEngine, bool aUp)
{
  const std::uint32_t engine = Find(aEngine);
  if (engine == kNoEngine)
    return;
  EngineFacts& facts = m_engines[engine];
  if (facts.m_up == aUp)
    return;
  facts.m_up = aUp;
  m_index->m_hints.Forget(engine, aNow);
  if (!aUp)
    return;
  facts.m_upSince = aNow;
  facts.m_hasReport = false;
  facts.m_queueTokens = double(facts.m_ownPrefillTokens);
  facts.m_undrainedTokens = facts.m_queueTokens;
  facts.m_reportedAt = aNow;
  facts.m_queueAt = aNow;
}

void
EngineTable::OnLeaving(TimePoint, const std::string& aEngine, bool aLeaving)
{
  const std::uint32_t engine = Find(aEngine);
  if (engine != kNoEngine)
    m_engines[engine].m_leaving = aLeaving;
}

void
EngineTable::OnRefused(TimePoint aNow,
                       const std::string& aEngine,
                       RefusalReason aReason)
{
  const std::uint32_t engine = Find(aEngine);
  if (engine == kNoEngine)
    return;
  EngineFacts& facts = m_engines[engine];
  switch (aReason) {
    case RefusalReason::Leaving:
      facts.m_leaving = true;
      break;
    case RefusalReason::Model:
    case RefusalReason::Role:
      facts.m_modelReady = false;
      break;
    default:
      facts.m_backOffUntil = aNow + kRefusalBackOff;
  }
}

void
EngineTable::OnCacheEvent(TimePoint aNow,
                          const std::string& aEngine,
                          const CacheEvent& aEvent)
{
  const std::uint32_t engine = Find(aEngine);
  if (engine == kNoEngine)
    return;
  if (aEvent.m_stored)
    m_index->m_hints.Store(aNow, engine, aEvent.m_prefix, aEvent.m_tokens);
  else
    m_index->m_hints.Evict(engine, aEvent.m_prefix);
}

void
EngineTable::OnCacheGap(TimePoint aNow, const std::string& aEngine)
{
  const std::uint32_t engine = Find(aEngine);
  if (engine != kNoEngine)
    m_index->m_hints.Forget(engine, aNow - kPrefixHintLifetime / 2);
}

std::uint32_t
EngineTable::Find(const std::string& aEngine) const
{
  const auto found = m_index->m_byAddress.find(aEngine);
  return found == m_index->m_byAddress.end() ? kNoEngine : found->second;
}

const std::vector<std::uint32_t>&
EngineTable::Pool(std::string_view aService, EngineRole aRole) const
{
  static const std::vector<std::uint32_t> sNone;
  const auto found = m_index->m_pools.find(aService);
  return found == m_index->m_pools.end() ? sNone
                                         : found->second[RoleIndex(aRole)];
}

std::uint32_t
EngineTable::RegionIndex(std::string_view aRegion) const
{
  const std::vector<std::string>& regions = m_index->m_regions;
  const auto found = std::find(regions.begin(), regions.end(), aRegion);
  if (found == regions.end())
    return kNoEngine;
  return static_cast<std::uint32_t>(found - regions.begin());
}

std::uint32_t
EngineTable::Regions() const
{
  return static_cast<std::uint32_t>(m_index->m_regions.size());
}

const LinkEntry*
EngineTable::Link(std::uint32_t aFrom, std::uint32_t aTo) const
{
  const auto& link = m_index->m_links[m_index->LinkIndex(aFrom, aTo)];
  return link ? &*link : nullptr;
}

std::uint32_t
EngineTable::OwnTransfers(std::uint32_t aFrom, std::uint32_t aTo) const
{
  return m_index->m_transfers[m_index->LinkIndex(aFrom, aTo)];
}

double
EngineTable::QueueTokens(TimePoint aNow, std::uint32_t aEngine) const
{
  const EngineFacts& facts = m_engines[aEngine];
  const double drained =
    facts.m_tokensPerSecond * Seconds(aNow - facts.m_queueAt);
  return std::max(0.0, facts.m_queueTokens - drained);
}

double
EngineTable::OthersTokensPerSecond(TimePoint aNow,
                                   const std::string& aModel) const
{
  const auto found = m_index->m_demand.find(aModel);
  if (found == m_index->m_demand.end())
    return 0;
  ModelDemand demand = found->second;
  demand.Decay(aNow);
  return demand.m_tokens / Seconds(kOwnDemandDecayTime) * (m_vmCount - 1);
}

double
EngineTable::Running(TimePoint, std::uint32_t aEngine) const
{
  const EngineFacts& facts = m_engines[aEngine];
  const double reported = facts.m_hasReport ? facts.m_report.m_running : 0;
  const double running =
    reported + facts.m_newDecodes - double(facts.m_endedDecodes);
  return std::max<double>(running, facts.m_ownDecodes);
}

double
EngineTable::FreePieces(TimePoint, std::uint32_t aEngine) const
{
  const EngineFacts& facts = m_engines[aEngine];
  const double total = facts.m_hasReport && facts.m_report.m_piecesTotal > 0
                         ? facts.m_report.m_piecesTotal
                         : facts.m_kvPieces;
  const double reported =
    facts.m_hasReport ? facts.m_report.m_piecesFree : total;
  const double free = reported - facts.m_newPieces + facts.m_endedPieces;
  const double upperBound = std::min(free, total - facts.m_ownPieces);
  if (facts.m_refusedPieces == 0)
    return upperBound;
  return std::min(upperBound, facts.m_refusedPieces - 1.0);
}

double
EngineTable::SlowStart(TimePoint aNow, std::uint32_t aEngine) const
{
  const EngineFacts& facts = m_engines[aEngine];
  if (facts.m_upSince == TimePoint{})
    return 1.0;
  const double share =
    Seconds(aNow - facts.m_upSince) / Seconds(kSlowStartTime);
  return std::clamp(share, kMinSlowStartShare, 1.0);
}

std::vector<CachedPrefix>
EngineTable::Cached(TimePoint aNow,
                    const std::vector<PrefixKey>& aPrefixes) const
{
  return m_index->m_hints.Find(aNow, aPrefixes);
}

} // namespace shallotford
