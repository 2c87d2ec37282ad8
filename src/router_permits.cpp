/// UpstreamPermits: the calls for permits, and the limits in gossip.

#include "router_permits.h"

#include "config.h"
#include "shallotford/rpc.h"

#include <cmath>

namespace shallotford {

namespace {

std::uint32_t
CountOf(const Json::Value& aValue)
{
  return aValue.isUInt() ? aValue.asUInt() : 0;
}

std::chrono::milliseconds
TimeOf(const Json::Value& aValue)
{
  constexpr auto kLongest =
    static_cast<std::uint32_t>(kMaxPermitRetryAfter.count());
  return std::chrono::milliseconds(std::min(CountOf(aValue), kLongest));
}

} // namespace

UpstreamPermits::UpstreamPermits(const UpstreamPermitsParts& aParts)
  : m_parts(aParts)
  , m_issuer(aParts.m_loop.Now())
{
}

// ----------------------------------------------------------------- limits

void
UpstreamPermits::OnAnswer(const UpstreamKey& aUpstream,
                          const AnswerFacts& aFacts,
                          TimePoint aSentAt)
{
  std::optional<double> before = m_limits.Find(aUpstream);
  if (aFacts.m_limit) {
    m_limits.OnNamed(aUpstream, *aFacts.m_limit, m_parts.m_loop.Now());
  } else if (aFacts.m_limitMalformed) {
    m_parts.m_metrics.Count("limits_malformed_total", "");
    m_parts.m_log.Write(LogEvent("limit_malformed", LogLevel::Warning)
                          .Add("upstream", aUpstream.m_id));
  } else {
    m_limits.OnNoneNamed(aUpstream, aSentAt);
  }
  LogChange(aUpstream, before, "own");
}

void
UpstreamPermits::LogChange(const UpstreamKey& aUpstream,
                           const std::optional<double>& aBefore,
                           std::string_view aFrom)
{
  std::optional<double> limit = m_limits.Find(aUpstream);
  if (limit == aBefore) {
    return;
  }
  m_parts.m_log.Write(
    LogEvent("upstream_limit")
      .Add("upstream", aUpstream.m_id)
      .Add("per_second", limit ? std::to_string(*limit) : "none")
      .Add("owner", OwnerOf(aUpstream))
      .Add("from", aFrom));
}

Json::Value
UpstreamPermits::ToJson(const UpstreamKey& aUpstream,
                        const NamedLimit& aLimit) const
{
  Json::Value entry(Json::arrayValue);
  entry.append(aUpstream.m_id);
  entry.append(static_cast<Json::UInt64>(aUpstream.m_startedMs));
  entry.append(aLimit.m_perSecond);
  entry.append(static_cast<Json::Int64>(
    std::chrono::duration_cast<std::chrono::milliseconds>(m_parts.m_loop.Now() -
                                                          aLimit.m_at)
      .count()));
  return entry;
}

Json::Value
UpstreamPermits::Digest() const
{
  Json::Value digest(Json::arrayValue);
  for (const auto& [upstream, limit] : m_limits.Newest(kMaxGossipedLimits)) {
    digest.append(ToJson(upstream, limit));
  }
  return digest;
}

bool
UpstreamPermits::MergeEntry(const Json::Value& aEntry)
{
  constexpr Json::ArrayIndex kFields = 4;
  bool hasFields = aEntry.isArray() && aEntry.size() == kFields &&
                   aEntry[0].isString() && aEntry[1].isUInt64() &&
                   aEntry[2].isNumeric() && aEntry[3].isInt64();
  if (!hasFields) {
    return false;
  }
  double perSecond = aEntry[2].asDouble();
  std::chrono::milliseconds age(aEntry[3].asInt64());
  bool inRange = perSecond >= 0 && perSecond <= kMaxUpstreamLimit &&
                 age >= 0ms && age < kLimitLifetime;
  if (!inRange) {
    return false;
  }
  UpstreamKey upstream{ .m_id = aEntry[0].asString(),
                        .m_startedMs = aEntry[1].asUInt64() };
  std::optional<double> before = m_limits.Find(upstream);
  m_limits.Merge(upstream,
                 { .m_perSecond = perSecond == 0
                                    ? 0
                                    : std::max(perSecond, kMinUpstreamLimit),
                   .m_at = m_parts.m_loop.Now() - age });
  LogChange(upstream, before, "peer");
  return true;
}

void
UpstreamPermits::Merge(const Json::Value& aDigest)
{
  if (!aDigest.isArray()) {
    return; // a VM of an earlier version sends none
  }
  std::size_t read = 0;
  std::size_t malformed = 0;
  for (const Json::Value& entry : aDigest) {
    if (++read > kMaxGossipedLimits) {
      break;
    }
    malformed += MergeEntry(entry) ? 0 : 1;
  }
  if (malformed > 0) {
    m_parts.m_metrics.Count("gossip_failures_total", "");
    m_parts.m_log.Write(
      LogEvent("limit_digest_malformed", LogLevel::Warning)
        .Add("entries", static_cast<std::int64_t>(malformed)));
  }
}

std::size_t
UpstreamPermits::LimitedUpstreams() const
{
  std::size_t limited = 0;
  for (const auto& [upstream, limit] : m_limits.Newest(SIZE_MAX)) {
    limited += limit.m_perSecond > 0 ? 1 : 0;
  }
  return limited;
}

void
UpstreamPermits::Expire()
{
  TimePoint now = m_parts.m_loop.Now();
  m_limits.Expire(now);
  m_issuer.Expire(now);
  m_pauses.Expire(now);
}

void
UpstreamPermits::OnPause()
{
  m_issuer.Reset(m_parts.m_loop.Now());
}

// ---------------------------------------------------------------- issuing

std::string
UpstreamPermits::OwnerOf(const UpstreamKey& aUpstream) const
{
  return m_parts.m_peers.Owner(aUpstream.m_id, m_parts.m_loop.Now());
}

PermitReply
UpstreamPermits::Issue(const UpstreamKey& aUpstream, const PermitAsk& aAsk)
{
  std::optional<double> limit = m_limits.Find(aUpstream);
  if (!limit) {
    return { .m_granted = aAsk.m_wanted };
  }
  TimePoint now = m_parts.m_loop.Now();
  // In a partition each part takes its share of the limit.
  double share = static_cast<double>(m_parts.m_peers.LiveCount(now)) /
                 static_cast<double>(m_parts.m_peers.KnownCount(now));
  return m_issuer.Issue(aUpstream, *limit * share, aAsk, now);
}

Json::Value
UpstreamPermits::OnAsk(const Json::Value& aParams)
{
  if (!MergeEntry(aParams["limit"])) {
    throw RpcError(kRpcInvalidParams, "\"limit\" is malformed");
  }
  UpstreamKey upstream{ .m_id = aParams["limit"][0].asString(),
                        .m_startedMs = aParams["limit"][1].asUInt64() };
  std::string owner = OwnerOf(upstream);
  Json::Value reply(Json::objectValue);
  if (owner != m_parts.m_peers.Self()) {
    reply["owner"] = owner;
    return reply;
  }
  PermitReply issued = Issue(
    upstream,
    { .m_vm = RpcStringParam(aParams, "from"),
      .m_wanted = CountOf(aParams["wanted"]),
      .m_sends = std::clamp(CountOf(aParams["sends"]), 1u, kMaxPermitSends),
      .m_debt = CountOf(aParams["debt"]) });
  reply["granted"] = issued.m_granted;
  reply["pause_ms"] = static_cast<Json::Int64>(issued.m_pause.count());
  reply["retry_ms"] = static_cast<Json::Int64>(issued.m_retryAfter.count());
  reply["limits"] = Digest();
  return reply;
}

// ----------------------------------------------------------------- asking

bool
UpstreamPermits::MayAcquire(const UpstreamKey& aUpstream) const
{
  return !m_limits.Find(aUpstream) ||
         m_pauses.MayAsk(aUpstream, m_parts.m_loop.Now());
}

std::chrono::milliseconds
UpstreamPermits::RetryAfter(const UpstreamKey& aUpstream) const
{
  return m_pauses.RetryAfter(aUpstream, m_parts.m_loop.Now());
}

void
UpstreamPermits::Acquire(const UpstreamKey& aUpstream,
                         std::uint32_t aSends,
                         Done aDone)
{
  if (!m_limits.Find(aUpstream)) {
    aDone(true);
    return;
  }
  if (!MayAcquire(aUpstream)) {
    aDone(false);
    return;
  }
  Asking& asking = m_asking[aUpstream];
  asking.m_next.push_back(std::move(aDone));
  asking.m_sends = std::max(asking.m_sends, aSends);
  if (!asking.m_underWay) {
    Start(aUpstream);
  }
}

void
UpstreamPermits::Charge(const UpstreamKey& aUpstream)
{
  if (!m_limits.Find(aUpstream)) {
    return;
  }
  auto ask = std::make_shared<Ask>(
    Ask{ .m_upstream = aUpstream, .m_waiting = {}, .m_debt = 1 });
  Send(ask, OwnerOf(aUpstream));
}

void
UpstreamPermits::Start(const UpstreamKey& aUpstream)
{
  Asking& asking = m_asking[aUpstream];
  asking.m_underWay = true;
  auto ask =
    std::make_shared<Ask>(Ask{ .m_upstream = aUpstream,
                               .m_waiting = std::exchange(asking.m_next, {}),
                               .m_sends = std::exchange(asking.m_sends, 1) });
  Send(ask, OwnerOf(aUpstream));
}

void
UpstreamPermits::Send(const AskPtr& aAsk, const std::string& aOwner)
{
  auto wanted = static_cast<std::uint32_t>(aAsk->m_waiting.size());
  if (aOwner == m_parts.m_peers.Self()) {
    End(aAsk,
        Issue(aAsk->m_upstream,
              { .m_vm = aOwner,
                .m_wanted = wanted,
                .m_sends = aAsk->m_sends,
                .m_debt = aAsk->m_debt }));
    return;
  }
  std::optional<double> limit = m_limits.Find(aAsk->m_upstream);
  if (!limit) {
    End(aAsk, { .m_granted = wanted }); // it ended meanwhile
    return;
  }
  Json::Value params(Json::objectValue);
  params["from"] = m_parts.m_peers.Self();
  params["limit"] = ToJson(aAsk->m_upstream, *m_limits.Get(aAsk->m_upstream));
  params["wanted"] = wanted;
  params["sends"] = aAsk->m_sends;
  params["debt"] = aAsk->m_debt;
  aAsk->m_sentAt = m_parts.m_loop.Now();
  m_parts.m_loop.CancelTimer(aAsk->m_timer);
  aAsk->m_timer = m_parts.m_loop.RunAfter(
    kPermitTimeout, [this, aAsk, aOwner, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        EndFailed(aAsk, aOwner, "no answer in time");
      }
    });
  m_parts.m_peerCalls.Call(
    aOwner,
    kPermitMethod,
    params,
    [this, aAsk, aOwner, alive = std::weak_ptr<bool>(m_alive)](
      const PeerResult& aResult) {
      if (!alive.expired()) {
        OnResult(aAsk, aOwner, aResult);
      }
    });
}

void
UpstreamPermits::OnResult(const AskPtr& aAsk,
                          const std::string& aOwner,
                          const PeerResult& aResult)
{
  if (aAsk->m_answered) {
    return;
  }
  if (const auto* failure = std::get_if<PeerFailure>(&aResult)) {
    EndFailed(aAsk, aOwner, failure->m_reason);
    return;
  }
  const Json::Value& reply = std::get<Json::Value>(aResult);
  if (!reply.isObject()) {
    EndFailed(aAsk, aOwner, "the answer is malformed");
    return;
  }
  // Permits hold for sends at the time of the answer.
  if (m_parts.m_loop.Now() - aAsk->m_sentAt >= kPermitTimeout) {
    EndFailed(aAsk, aOwner, "the answer was read too late");
    return;
  }
  if (!reply["owner"].isString()) {
    Merge(reply["limits"]);
    End(aAsk,
        { .m_granted = CountOf(reply["granted"]),
          .m_pause = TimeOf(reply["pause_ms"]),
          .m_retryAfter = TimeOf(reply["retry_ms"]) });
    return;
  }
  std::string owner = reply["owner"].asString();
  if (aAsk->m_redirected || owner == m_parts.m_peers.Self()) {
    EndFailed(aAsk, aOwner, "the VMs differ about the owner");
    return;
  }
  aAsk->m_redirected = true;
  Send(aAsk, owner);
}

void
UpstreamPermits::EndFailed(const AskPtr& aAsk,
                           const std::string& aOwner,
                           const std::string& aReason)
{
  if (aAsk->m_answered) {
    return;
  }
  m_parts.m_metrics.Count("permit_calls_failed_total", "");
  m_parts.m_log.Write(LogEvent("permit_call_failed", LogLevel::Debug)
                        .Add("upstream", aAsk->m_upstream.m_id)
                        .Add("owner", aOwner)
                        .Add("reason", aReason));
  m_pauses.OnNoReply(aAsk->m_upstream, m_parts.m_loop.Now());
  Distribute(aAsk, 0);
}

void
UpstreamPermits::End(const AskPtr& aAsk, const PermitReply& aReply)
{
  auto wanted = static_cast<std::uint32_t>(aAsk->m_waiting.size());
  if (wanted > 0) {
    m_pauses.OnReply(aAsk->m_upstream, aReply, wanted, m_parts.m_loop.Now());
  }
  Distribute(aAsk, aReply.m_granted);
}

void
UpstreamPermits::Distribute(const AskPtr& aAsk, std::uint32_t aGranted)
{
  aAsk->m_answered = true;
  m_parts.m_loop.CancelTimer(aAsk->m_timer);
  if (aAsk->m_waiting.empty()) {
    return; // it only reported requests that were sent
  }
  const UpstreamKey upstream = aAsk->m_upstream;
  std::vector<Done> waiting = std::exchange(aAsk->m_waiting, {});
  std::uint32_t granted = 0;
  for (const Done& done : waiting) {
    bool isGranted = granted < aGranted;
    granted += isGranted ? 1 : 0;
    m_parts.m_metrics.Count("permits_total",
                            isGranted ? "granted=\"yes\"" : "granted=\"no\"");
    done(isGranted);
  }
  Asking& asking = m_asking[upstream];
  if (asking.m_next.empty()) {
    m_asking.erase(upstream);
    return;
  }
  if (MayAcquire(upstream)) {
    Start(upstream);
    return;
  }
  waiting = std::exchange(asking.m_next, {});
  m_asking.erase(upstream);
  for (const Done& done : waiting) {
    done(false);
  }
}

} // namespace shallotford
