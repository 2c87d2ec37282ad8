/// RouterTask: gossip with other VMs, readiness, and metrics.

#include "config.h"
#include "router_pace.h"
#include "router_task.h"

namespace shallotford {

namespace {

Json::Value
ToJson(const DirectoryItem& aItem)
{
  Json::Value entry(Json::objectValue);
  entry["key"] = aItem.m_key;
  entry["revision"] = static_cast<Json::UInt64>(aItem.m_revision);
  if (aItem.m_removed) {
    entry["removed"] = true;
  } else {
    entry["value"] = EncodeBase64(aItem.m_value);
  }
  return entry;
}

DirectoryItem
ItemFromJson(const Json::Value& aValue)
{
  return { .m_key = aValue["key"].asString(),
           .m_value = DecodeBase64(aValue["value"].asString()),
           .m_revision = aValue["revision"].asUInt64(),
           .m_removed = aValue["removed"].asBool() };
}

Json::Value
ToJson(const DirectoryDelta& aDelta)
{
  Json::Value items(Json::arrayValue);
  for (const DirectoryItem& item : aDelta.m_items) {
    items.append(ToJson(item));
  }
  Json::Value delta(Json::objectValue);
  delta["era"] = static_cast<Json::UInt64>(aDelta.m_era);
  delta["up_to"] = static_cast<Json::UInt64>(aDelta.m_upToRevision);
  delta["whole"] = aDelta.m_isSnapshot;
  delta["items"] = items;
  return delta;
}

DirectoryDelta
DeltaFromJson(const Json::Value& aValue)
{
  // VMs that run an older program name no era.
  DirectoryDelta delta{ .m_isSnapshot = aValue["whole"].asBool(),
                        .m_era = aValue["era"].asUInt64(),
                        .m_upToRevision = aValue["up_to"].asUInt64(),
                        .m_items = {} };
  for (const Json::Value& entry : aValue["items"]) {
    delta.m_items.push_back(ItemFromJson(entry));
  }
  return delta;
}

void
RespondText(HttpExchangeI& aExchange, int aStatus, const std::string& aText)
{
  aExchange.Respond(aStatus, { { "content-type", "text/plain" } }, aText);
}

} // namespace

std::size_t
MinAssumedVms(const Location& aLocation)
{
  return aLocation.m_regions.size() * kAssumedVmsPerDomain;
}

void
RouterTask::Gossip()
{
  if (m_gossiping) {
    return;
  }
  std::string peer = m_peers.Next(m_random, m_loop.Now());
  if (peer.empty()) {
    return;
  }
  m_gossiping = true;
  CallPeer(peer, [this] { m_gossiping = false; });
}

void
RouterTask::CallPeer(const std::string& aPeer, std::function<void()> aDone)
{
  m_peerCalls.Call(aPeer,
                   "directory",
                   GossipRequest(),
                   [this, aPeer, began = BootNow(), done = std::move(aDone)](
                     const PeerResult& aResult) {
                     done();
                     OnGossipReply(aPeer, aResult, began);
                   });
}

void
RouterTask::SeekProof()
{
  bool isDue = !m_refreshing && m_loop.Now() >= m_nextRefresh;
  if (m_keys.IsClosed() && isDue) {
    m_refreshing = true;
    m_source.Refresh(
      [this, alive = std::weak_ptr<bool>(m_alive)](bool aIsCurrent) {
        if (alive.expired()) {
          return;
        }
        m_refreshing = false;
        if (!aIsCurrent) {
          // Another one would end the regular watch, which waits longer.
          m_nextRefresh = m_loop.Now() + kFailedRefreshPause;
        }
      });
  }
  for (std::size_t i = 0; i < kProofCallsPerTick; ++i) {
    if (!m_keys.WantsPeers() || m_proofCalls >= kMaxProofCalls) {
      return;
    }
    std::string peer = m_peers.Next(m_random, m_loop.Now());
    if (peer.empty()) {
      return;
    }
    ++m_proofCalls;
    CallPeer(peer, [this] { --m_proofCalls; });
  }
}

Json::Value
RouterTask::GossipRequest()
{
  TimePoint now = m_loop.Now();
  Json::Value request(Json::objectValue);
  request["from"] = m_peers.Self();
  request["era"] = static_cast<Json::UInt64>(m_directory.Position().m_era);
  request["up_to"] =
    static_cast<Json::UInt64>(m_directory.Position().m_revision);
  request["version"] = static_cast<Json::UInt64>(
    m_routes.Config() == nullptr ? 0 : m_routes.Config()->m_version);
  // A VM asks peers for items only while the source doesn't answer it, or if it
  // has no configuration.
  request["wants"] = now - m_sourceContactAt > m_options.m_sourceTimeout ||
                     m_routes.Config() == nullptr || m_keys.WantsPeers();
  for (const auto& [address, age] : m_peers.ContactAges(now)) {
    Json::Value entry(Json::arrayValue);
    entry.append(address);
    entry.append(static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
    request["peers"].append(entry);
  }
  AddRelayOffer(request);
  request["crashes"] = m_crashes.Digest();
  request["limits"] = m_permits.Digest();
  return request;
}

Json::Value
RouterTask::OnGossip(const Json::Value& aParams)
{
  TimePoint now = m_loop.Now();
  if (!m_leaving) {
    m_peers.OnContact(RpcStringParam(aParams, "from"), now);
  }
  MergePeers(aParams["peers"]);
  MergeRelayOffer(RpcStringParam(aParams, "from"), aParams["relay"]);
  MergeCrashes(aParams);
  m_permits.Merge(aParams["limits"]);
  Json::Value reply = GossipRequest();
  DirectoryPosition known{ .m_era = aParams["era"].asUInt64(),
                           .m_revision = aParams["up_to"].asUInt64() };
  if (aParams["wants"].asBool() && m_directory.Position() > known) {
    reply["delta"] = ToJson(m_directory.Since(known));
  }
  AddLostRouting(aParams, reply);
  m_keys.AddProofAge(reply);
  return reply;
}

void
RouterTask::AddLostRouting(const Json::Value& aParams,
                           Json::Value& aReply) const
{
  bool isLost =
    m_routes.Config() != nullptr && m_routingEra < m_directory.Position().m_era;
  if (isLost && aParams["version"].asUInt64() < m_routes.Config()->m_version) {
    aReply["lost_configuration"] = ToJson(m_routingItem);
  }
}

void
RouterTask::MergePeers(const Json::Value& aPeers)
{
  for (const Json::Value& entry : aPeers) {
    if (entry.isArray() && entry.size() == 2 && entry[0].isString() &&
        entry[1].isInt64()) {
      m_peers.OnContactReported(entry[0].asString(),
                                std::chrono::milliseconds(entry[1].asInt64()),
                                m_loop.Now());
    }
  }
}

void
RouterTask::MergeCrashes(const Json::Value& aMessage)
{
  const Json::Value& digest = aMessage["crashes"];
  if (!digest.isString() || digest.asString().empty()) {
    return;
  }
  try {
    m_crashes.Merge(digest.asString());
  } catch (const Error& error) {
    m_metrics.Count("gossip_failures_total", "");
    m_log.Write(LogEvent("crash_digest_malformed", LogLevel::Warning)
                  .Add("reason", error.what()));
  }
}

void
RouterTask::OnGossipReply(const std::string& aPeer,
                          const PeerResult& aResult,
                          BootTime aCallBegan)
{
  TimePoint now = m_loop.Now();
  if (const auto* failure = std::get_if<PeerFailure>(&aResult)) {
    m_peers.OnUnreachable(aPeer, now);
    m_metrics.Count("gossip_failures_total", "");
    m_log.Write(LogEvent("peer_silent", LogLevel::Debug)
                  .Add("peer", aPeer)
                  .Add("reason", failure->m_reason));
    return;
  }
  m_peers.OnContact(aPeer, now);
  try {
    ApplyPeerReply(aPeer, std::get<Json::Value>(aResult));
    TakePeerProof(std::get<Json::Value>(aResult), aCallBegan);
  } catch (const std::exception& error) {
    m_metrics.Count("gossip_failures_total", "");
    m_log.Write(LogEvent("peer_malformed", LogLevel::Warning)
                  .Add("peer", aPeer)
                  .Add("reason", error.what()));
  }
}

void
RouterTask::ApplyPeerReply(const std::string& aPeer, const Json::Value& aReply)
{
  MergePeers(aReply["peers"]);
  MergeRelayOffer(aPeer, aReply["relay"]);
  MergeCrashes(aReply);
  m_permits.Merge(aReply["limits"]);
  if (aReply.isMember("lost_configuration")) {
    ApplyItem(ItemFromJson(aReply["lost_configuration"]), kLostEra, "peer");
  }
  if (!aReply.isMember("delta")) {
    return;
  }
  DirectoryDelta delta = DeltaFromJson(aReply["delta"]);
  TimePoint now = m_loop.Now();
  if (now - m_sourceContactAt >= kMinSourceOutage) {
    m_upstreams.OnSourceDisturbed(now);
  }
  m_log.Write(
    LogEvent("directory_from_peer")
      .Add("peer", aPeer)
      .Add("before",
           static_cast<std::int64_t>(m_directory.Position().m_revision))
      .Add("era", static_cast<std::int64_t>(delta.m_era))
      .Add("revision", static_cast<std::int64_t>(delta.m_upToRevision))
      .Add("source_age", now - m_sourceContactAt));
  ApplyDelta(delta, "peer");
  m_source.SkipTo(m_directory.Position());
}

void
RouterTask::TakePeerProof(const Json::Value& aReply, BootTime aCallBegan)
{
  const Json::Value& age = aReply["proof_age_ms"];
  DirectoryPosition position = m_directory.Position();
  // The peer may have a configuration that the source has lost.
  bool isAsNew = aReply["era"].asUInt64() == position.m_era &&
                 aReply["up_to"].asUInt64() <= position.m_revision &&
                 m_routes.Config() != nullptr &&
                 aReply["version"].asUInt64() <= m_routes.Config()->m_version;
  if (age.isInt64() && isAsNew) {
    m_keys.OnPeer(aCallBegan, std::chrono::milliseconds(age.asInt64()));
  }
}

void
RouterTask::OnOperator(HttpExchangeI& aExchange, const HttpRequest& aRequest)
{
  if (aRequest.m_path == "/readyz") {
    bool ready = IsReady();
    RespondText(
      aExchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    return;
  }
  if (aRequest.m_path == "/metrics") {
    SetGauges();
    RespondText(aExchange, 200, m_metrics.Text());
    return;
  }
  RespondText(aExchange, 404, "there are /readyz and /metrics\n");
}

bool
RouterTask::IsReady() const
{
  if (m_leaving || m_routes.Config() == nullptr) {
    return false;
  }
  TimePoint now = m_loop.Now();
  for (const auto& [name, service] : m_routes.Config()->m_services) {
    if (m_upstreams.IsReachable(name, {}, now)) {
      return true;
    }
  }
  return m_shared.IsCutOff() && !m_relays.IsEmpty();
}

void
RouterTask::SetGauges()
{
  m_grants.SetGauges();
  auto set = [this](const std::string& aName, double aValue) {
    m_metrics.Set(aName, "", aValue);
  };
  SetPaceGauges(m_metrics, m_upstreams, m_loop.Now());
  set("upstreams", static_cast<double>(m_upstreams.Size()));
  set("requests_in_flight", static_cast<double>(m_requests.size()));
  set("caller_connections", static_cast<double>(m_callers->Count()));
  set("intake_bytes", static_cast<double>(m_intake->Bytes()));
  set("limited_upstreams", static_cast<double>(m_permits.LimitedUpstreams()));
  set("waiting_for_memory", static_cast<double>(m_admission.Size()));
  set("live_vms", static_cast<double>(m_shared.m_liveVms));
  set("source_up", m_sourceUp ? 1 : 0);
  set("links_cut", m_shared.IsCutOff() ? 1 : 0);
  set("directory_revision",
      static_cast<double>(m_directory.Position().m_revision));
  set("directory_era", static_cast<double>(m_directory.Position().m_era));
  set("upstream_connections_opened",
      static_cast<double>(m_pool.Counts().m_opened));
  set("upstream_connections_reused",
      static_cast<double>(m_pool.Counts().m_reused));
}

} // namespace shallotford
