/// RouterTask: changes of the published configuration and upstreams.

#include "config.h"
#include "router_task.h"

namespace shallotford {

void
RouterTask::OnDelta(const DirectoryDelta& aDelta)
{
  OnSourceContact();
  m_versions.OnSourceAnswer();
  ApplyDelta(aDelta, "source");
}

void
RouterTask::OnProven(BootTime aCallBegan)
{
  m_keys.OnSource(aCallBegan);
}

void
RouterTask::OnSourceContact()
{
  TimePoint now = m_loop.Now();
  if (now - m_sourceContactAt >= kMinSourceOutage) {
    m_upstreams.OnSourceDisturbed(now);
  }
  m_sourceContactAt = now;
}

void
RouterTask::OnSourceUp()
{
  OnSourceContact();
  if (!std::exchange(m_sourceUp, true)) {
    m_log.Write(
      LogEvent("source_up")
        .Add("era", static_cast<std::int64_t>(m_directory.Position().m_era))
        .Add("revision",
             static_cast<std::int64_t>(m_directory.Position().m_revision)));
  }
}

void
RouterTask::OnSourceDown(const std::string& aReason)
{
  m_metrics.Count("source_failures_total", "");
  if (std::exchange(m_sourceUp, false)) {
    m_log.Write(
      LogEvent("source_down", LogLevel::Warning)
        .Add("reason", aReason)
        .Add("era", static_cast<std::int64_t>(m_directory.Position().m_era))
        .Add("revision",
             static_cast<std::int64_t>(m_directory.Position().m_revision)));
  }
}

void
RouterTask::BeginEra(const DirectoryDelta& aDelta, std::string_view aFrom)
{
  DirectoryPosition before = m_directory.Position();
  m_upstreams.OnSourceDisturbed(m_loop.Now());
  m_keys.OnNewEra();
  m_log.Write(
    LogEvent("directory_era", LogLevel::Warning)
      .Add("era", static_cast<std::int64_t>(aDelta.m_era))
      .Add("revision", static_cast<std::int64_t>(aDelta.m_upToRevision))
      .Add("era_before", static_cast<std::int64_t>(before.m_era))
      .Add("revision_before", static_cast<std::int64_t>(before.m_revision))
      .Add("from", aFrom));
}

void
RouterTask::ApplyDelta(const DirectoryDelta& aDelta, std::string_view aFrom)
{
  bool newEra = aDelta.m_isSnapshot && m_directory.Position().m_revision > 0 &&
                aDelta.m_era > m_directory.Position().m_era;
  if (newEra) {
    BeginEra(aDelta, aFrom);
  }
  for (const DirectoryItem& item : m_directory.Apply(aDelta, m_loop.Now())) {
    ApplyItem(item, aDelta.m_era, aFrom);
    if (!aDelta.m_isSnapshot) {
      // Other VMs may have read the changes one by one.
      m_versions.RecordCapacities();
    }
  }
  m_versions.Start(m_options.m_firstStart);
  m_versions.RecordCapacities();
  LogReadiness();
}

void
RouterTask::ApplyItem(const DirectoryItem& aItem,
                      std::uint64_t aEra,
                      std::string_view aFrom)
{
  DecodedItem item;
  try {
    item = m_decoder.Decode(aItem);
  } catch (const Error& error) {
    m_log.Write(LogEvent("item_ignored", LogLevel::Warning)
                  .Add("key", aItem.m_key)
                  .Add("revision", static_cast<std::int64_t>(aItem.m_revision))
                  .Add("reason", error.what()));
    m_metrics.Count("items_ignored_total", "");
    if (m_decoder.IsRouting(aItem.m_key)) {
      m_keys.OnUnreadable();
    }
    return;
  }
  if (item.m_routing != nullptr) {
    ApplyRouting(item.m_routing, aFrom);
    bool isInForce = m_routes.Config() != nullptr &&
                     m_routes.Config()->m_version == item.m_routing->m_version;
    if (isInForce) {
      m_routingItem = aItem;
      m_routingEra = aEra;
      // One that the source has lost says nothing of what it has published.
      if (aEra == m_directory.Position().m_era) {
        m_keys.OnReadable();
      }
    }
  }
  if (!item.m_upstreamId.empty()) {
    m_versions.OnEntry(item.m_upstreamId, item.m_upstream);
  }
  if (item.m_upstream) {
    ApplyUpstream(*item.m_upstream, aFrom);
    if (aItem.m_relisted) {
      m_upstreams.OnRelisted(
        item.m_upstreamId, m_options.m_heartbeat, m_loop.Now());
      m_log.Write(
        LogEvent("upstream_relisted").Add("upstream", item.m_upstreamId));
    }
  }
  if (aItem.m_removed && !item.m_upstreamId.empty()) {
    m_upstreams.OnEntryRemoved(item.m_upstreamId, m_loop.Now());
    m_log.Write(LogEvent("upstream_removed")
                  .Add("upstream", item.m_upstreamId)
                  .Add("revision", static_cast<std::int64_t>(aItem.m_revision))
                  .Add("from", aFrom));
  }
}

void
RouterTask::ApplyRouting(const RoutingPtr& aRouting, std::string_view aFrom)
{
  std::uint64_t current =
    m_routes.Config() == nullptr ? 0 : m_routes.Config()->m_version;
  if (aRouting->m_version <= current) {
    return;
  }
  if (m_routes.Config() != nullptr) {
    m_shared.m_routeMoves.Record(*m_routes.Config(), *aRouting, m_loop.Now());
  }
  m_routes = RouteTable(aRouting);
  m_keys.OnConfig(aRouting);
  m_grants.SetLimits(aRouting->m_organisations);
  m_log.Write(
    LogEvent("configuration")
      .Add("version", static_cast<std::int64_t>(aRouting->m_version))
      .Add("before", static_cast<std::int64_t>(current))
      .Add("routes", static_cast<std::int64_t>(aRouting->m_routes.size()))
      .Add("idle_timeout", aRouting->m_limits.m_idleTimeout)
      .Add("head_timeout", aRouting->m_limits.m_headTimeout)
      .Add("from", aFrom));
}

void
RouterTask::ApplyUpstream(const UpstreamEntry& aEntry, std::string_view aFrom)
{
  UpstreamPtr known = m_upstreams.Find(aEntry.m_key);
  bool changed = known == nullptr ||
                 known->m_entry.m_draining != aEntry.m_draining ||
                 known->m_entry.m_stage != aEntry.m_stage;
  m_upstreams.Put(aEntry);
  bool isIgnored =
    known == nullptr && m_upstreams.Find(aEntry.m_key) == nullptr;
  if (!changed || isIgnored) {
    return;
  }
  if (aEntry.m_draining) {
    m_pool.CloseIdle(aEntry.m_key);
  }
  m_log.Write(
    LogEvent("upstream")
      .Add("upstream", aEntry.m_key.m_id)
      .Add("started_ms", static_cast<std::int64_t>(aEntry.m_key.m_startedMs))
      .Add("service", aEntry.m_service)
      .Add("address", aEntry.m_address)
      .Add("stage", ToString(aEntry.m_stage))
      .Add("software", aEntry.m_softwareVersion)
      .Add("draining", aEntry.m_draining ? "yes" : "no")
      .Add("from", aFrom));
}

} // namespace shallotford
