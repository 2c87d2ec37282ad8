/// StreamOrigins: the store of streams' software versions, its replication to
/// other VMs, and lookups there.

#include "router_origins.h"

#include "config.h"

namespace shallotford {

/// One search for an origin at other VMs.
struct StreamOrigins::Lookup
{
  std::string m_requestId;
  Found m_done; ///< empty once the lookup has ended
  std::size_t m_unanswered{ 0 };
  std::optional<std::string> m_softwareVersion;
  TimersI::TimerId m_timer{ 0 };
};

void
StreamOrigins::Put(const StreamOrigin& aOrigin)
{
  TimePoint now = m_parts.m_loop.Now();
  m_waits.Note(aOrigin.m_service, aOrigin.m_wait, now);
  auto [found, added] = m_origins.try_emplace(aOrigin.m_requestId, aOrigin);
  if (added) {
    m_byAge.emplace_back(now, aOrigin.m_requestId);
    Expire();
  } else if (aOrigin.m_attempt > found->second.m_attempt) {
    found->second = aOrigin;
  }
}

void
StreamOrigins::Expire()
{
  TimePoint now = m_parts.m_loop.Now();
  m_waits.Expire(now);
  while (!m_byAge.empty() && (now - m_byAge.front().first > kOriginLifetime ||
                              m_byAge.size() > kMaxOrigins)) {
    m_origins.erase(m_byAge.front().second);
    m_byAge.pop_front();
  }
}

void
StreamOrigins::Publish(const StreamOrigin& aOrigin)
{
  Put(aOrigin);
  Json::Value params(Json::objectValue);
  params["request"] = aOrigin.m_requestId;
  params["service"] = aOrigin.m_service;
  params["software"] = aOrigin.m_softwareVersion;
  params["wait_ms"] = static_cast<Json::Int64>(aOrigin.m_wait.count());
  params["attempt"] = aOrigin.m_attempt;
  for (const std::string& peer : m_parts.m_peers.Closest(
         aOrigin.m_requestId, kOriginReplicas, m_parts.m_loop.Now())) {
    m_parts.m_peerCalls.Call(
      peer,
      "stream_begun",
      params,
      [this, peer, alive = std::weak_ptr<bool>(m_alive)](
        const PeerResult& aResult) {
        const auto* failure = std::get_if<PeerFailure>(&aResult);
        if (alive.expired() || failure == nullptr) {
          return;
        }
        m_parts.m_metrics.Count("origin_publish_failures_total", "");
        m_parts.m_log.Write(LogEvent("origin_not_stored", LogLevel::Debug)
                              .Add("peer", peer)
                              .Add("reason", failure->m_reason));
      });
  }
}

void
StreamOrigins::Find(const std::string& aRequestId, Found aDone)
{
  if (auto known = m_origins.find(aRequestId); known != m_origins.end()) {
    aDone(known->second.m_softwareVersion);
    return;
  }
  std::vector<std::string> peers =
    m_parts.m_peers.Closest(aRequestId, kOriginLookups, m_parts.m_loop.Now());
  auto lookup = std::make_shared<Lookup>();
  lookup->m_requestId = aRequestId;
  lookup->m_done = std::move(aDone);
  lookup->m_unanswered = peers.size();
  if (peers.empty()) {
    EndLookup(*lookup, "nobody");
    return;
  }
  lookup->m_timer = m_parts.m_loop.RunAfter(
    kOriginLookupTimeout, [this, lookup, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        EndLookup(*lookup, "timeout");
      }
    });
  Json::Value params(Json::objectValue);
  params["request"] = aRequestId;
  for (const std::string& peer : peers) {
    m_parts.m_peerCalls.Call(
      peer,
      "stream_origin",
      params,
      [this, lookup, alive = std::weak_ptr<bool>(m_alive)](
        const PeerResult& aResult) {
        if (!alive.expired()) {
          OnAnswer(lookup, aResult);
        }
      });
  }
}

void
StreamOrigins::OnAnswer(const std::shared_ptr<Lookup>& aLookup,
                        const PeerResult& aResult)
{
  --aLookup->m_unanswered;
  const auto* reply = std::get_if<Json::Value>(&aResult);
  if (reply != nullptr && reply->isObject() &&
      (*reply)["software"].isString()) {
    aLookup->m_softwareVersion = (*reply)["software"].asString();
  }
  if (aLookup->m_softwareVersion) {
    EndLookup(*aLookup, "peer");
  } else if (aLookup->m_unanswered == 0) {
    EndLookup(*aLookup, "nobody");
  }
}

void
StreamOrigins::EndLookup(Lookup& aLookup, std::string_view aFrom)
{
  Found done = std::exchange(aLookup.m_done, nullptr);
  if (!done) {
    return;
  }
  m_parts.m_loop.CancelTimer(aLookup.m_timer);
  m_parts.m_log.Write(
    LogEvent("stream_origin")
      .Add("request", aLookup.m_requestId)
      .Add("software", aLookup.m_softwareVersion.value_or("unknown"))
      .Add("from", aFrom)
      .Add("unanswered", static_cast<std::int64_t>(aLookup.m_unanswered)));
  done(aLookup.m_softwareVersion);
}

Json::Value
StreamOrigins::OnPublished(const Json::Value& aParams)
{
  const Json::Value& attempt = aParams["attempt"];
  if (!attempt.isUInt()) {
    throw RpcError(kRpcInvalidParams, "\"attempt\" is not a whole number");
  }
  // VMs that run an older program name neither the service nor the wait.
  const Json::Value& wait = aParams["wait_ms"];
  Put({ .m_requestId = RpcStringParam(aParams, "request"),
        .m_service =
          aParams["service"].isString() ? aParams["service"].asString() : "",
        .m_softwareVersion = RpcStringParam(aParams, "software"),
        .m_wait = std::chrono::milliseconds(
          wait.isInt64() ? std::max<Json::Int64>(wait.asInt64(), 0) : 0),
        .m_attempt = attempt.asUInt() });
  return Json::Value(Json::objectValue);
}

Json::Value
StreamOrigins::OnAsked(const Json::Value& aParams) const
{
  Json::Value reply(Json::objectValue);
  auto known = m_origins.find(RpcStringParam(aParams, "request"));
  if (known != m_origins.end()) {
    reply["software"] = known->second.m_softwareVersion;
  }
  return reply;
}

} // namespace shallotford
