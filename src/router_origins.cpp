/// StreamOrigins: the store of streams' origins, its replication to other VMs,
/// and lookups there.

#include "router_origins.h"

#include "config.h"

#include <set>

namespace shallotford {

namespace {

std::chrono::milliseconds
ReadMilliseconds(const Json::Value& aValue)
{
  constexpr Json::Int64 kMax =
    std::chrono::milliseconds(kMaxCompleteTime).count();
  return std::chrono::milliseconds(
    aValue.isInt64() ? std::clamp<Json::Int64>(aValue.asInt64(), 0, kMax) : 0);
}

Json::Int64
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

std::string
ReadText(const Json::Value& aValue)
{
  return aValue.isString() ? aValue.asString() : std::string();
}

/// Returns the key by which VMs are chosen that keep a stream's origin.
const std::string&
PlacementKey(const std::string& aRequestKey, const std::string& aRequestId)
{
  return aRequestKey.empty() ? aRequestId : aRequestKey;
}

} // namespace

/// One search for an origin at other VMs.
struct StreamOrigins::Lookup
{
  StreamQuery m_query;
  Found m_done; ///< empty once the lookup has ended
  std::size_t m_unanswered{ 0 };
  std::optional<StreamPlace> m_named; ///< found by the stream's id
  std::vector<Candidate> m_candidates;
  std::size_t m_asked{ 0 }; ///< VMs, this one included
  /// VMs that may keep an origin and can't be asked, or haven't answered.
  std::size_t m_missing{ 0 };
  std::vector<Duration> m_completeFor; ///< of those that have answered
  std::chrono::milliseconds m_longestWait{ 0 };
  TimersI::TimerId m_timer{ 0 };
};

std::chrono::milliseconds
MaxStreamAge(const StreamQuery& aQuery, std::chrono::milliseconds aLongestWait)
{
  return aQuery.m_deadline
           ? std::max({ *aQuery.m_deadline, aQuery.m_timeout, aLongestWait })
           : kOriginLifetime;
}

void
StreamOrigins::Start(bool aFirstStart)
{
  m_completeFrom =
    aFirstStart ? TimePoint::min() : m_parts.m_loop.Now() + kMaxUpstreamViewAge;
}

void
StreamOrigins::Put(const StreamOrigin& aOrigin)
{
  TimePoint now = m_parts.m_loop.Now();
  m_waits.Note(aOrigin.m_place.m_service, aOrigin.m_wait, now);
  auto [found, added] = m_origins.try_emplace(
    aOrigin.m_requestId, Record{ .m_origin = aOrigin, .m_begunAt = now });
  if (added) {
    m_byAge.emplace_back(now, aOrigin.m_requestId);
    AddToIndex(found->second);
    Expire();
  } else if (aOrigin.m_attempt > found->second.m_origin.m_attempt) {
    RemoveFromIndex(found->second.m_origin);
    found->second.m_origin = aOrigin;
    AddToIndex(found->second);
  }
}

void
StreamOrigins::AddToIndex(const Record& aRecord)
{
  const StreamOrigin& origin = aRecord.m_origin;
  if (origin.m_requestKey.empty()) {
    return;
  }
  std::vector<KeyPlace>& places = m_placesByKey[origin.m_requestKey];
  auto found =
    std::find_if(places.begin(), places.end(), [&](const KeyPlace& aPlace) {
      return aPlace.m_place == origin.m_place;
    });
  if (found == places.end()) {
    found = places.insert(places.end(),
                          { .m_place = origin.m_place, .m_lastBegunAt = {} });
  }
  found->m_lastBegunAt = std::max(found->m_lastBegunAt, aRecord.m_begunAt);
  ++found->m_count;
}

void
StreamOrigins::RemoveFromIndex(const StreamOrigin& aOrigin)
{
  auto places = m_placesByKey.find(aOrigin.m_requestKey);
  if (places == m_placesByKey.end()) {
    return;
  }
  std::erase_if(places->second, [&](KeyPlace& aPlace) {
    return aPlace.m_place == aOrigin.m_place && --aPlace.m_count == 0;
  });
  if (places->second.empty()) {
    m_placesByKey.erase(places);
  }
}

void
StreamOrigins::Forget(const std::string& aRequestId)
{
  auto known = m_origins.find(aRequestId);
  if (known != m_origins.end()) {
    RemoveFromIndex(known->second.m_origin);
    m_origins.erase(known);
  }
}

void
StreamOrigins::Expire()
{
  TimePoint now = m_parts.m_loop.Now();
  m_waits.Expire(now);
  while (!m_byAge.empty() && (now - m_byAge.front().first > kOriginLifetime ||
                              m_byAge.size() > kMaxOrigins)) {
    m_completeFrom = std::max(m_completeFrom, m_byAge.front().first);
    Forget(m_byAge.front().second);
    m_byAge.pop_front();
  }
}

const StreamPlace*
StreamOrigins::FindById(const std::string& aRequestId) const
{
  auto known = m_origins.find(aRequestId);
  return known == m_origins.end() ? nullptr : &known->second.m_origin.m_place;
}

Duration
StreamOrigins::CompleteFor() const
{
  if (m_parts.m_wasPaused()) {
    return Duration::zero();
  }
  if (m_completeFrom == TimePoint::min()) {
    return kMaxCompleteTime;
  }
  return std::clamp<Duration>(
    m_parts.m_loop.Now() - m_completeFrom, Duration::zero(), kMaxCompleteTime);
}

std::vector<StreamOrigins::Candidate>
StreamOrigins::FindByKey(const std::string& aRequestKey) const
{
  TimePoint now = m_parts.m_loop.Now();
  std::vector<Candidate> candidates;
  auto places = m_placesByKey.find(aRequestKey);
  if (places == m_placesByKey.end()) {
    return candidates;
  }
  candidates.reserve(places->second.size());
  for (const KeyPlace& place : places->second) {
    candidates.push_back(
      { .m_place = place.m_place, .m_age = now - place.m_lastBegunAt });
  }
  return candidates;
}

std::set<StreamPlace>
StreamOrigins::PossiblePlaces(const Lookup& aLookup)
{
  std::chrono::milliseconds maxAge =
    MaxStreamAge(aLookup.m_query, aLookup.m_longestWait);
  std::set<StreamPlace> places;
  for (const Candidate& candidate : aLookup.m_candidates) {
    if (candidate.m_age <= maxAge) {
      places.insert(candidate.m_place);
    }
  }
  return places;
}

bool
StreamOrigins::IsComplete(const Lookup& aLookup)
{
  std::chrono::milliseconds maxAge =
    MaxStreamAge(aLookup.m_query, aLookup.m_longestWait);
  auto complete = std::count_if(
    aLookup.m_completeFor.begin(),
    aLookup.m_completeFor.end(),
    [maxAge](Duration aCompleteFor) { return aCompleteFor >= maxAge; });
  // Each origin is kept by kOriginReplicas of the VMs that were asked, or by
  // all of them, even if the VM that published it is lost.
  std::size_t missing = aLookup.m_missing - static_cast<std::size_t>(complete);
  return missing < std::min(kOriginReplicas, aLookup.m_asked);
}

void
StreamOrigins::Publish(const StreamOrigin& aOrigin)
{
  Put(aOrigin);
  Json::Value params(Json::objectValue);
  params["request"] = aOrigin.m_requestId;
  params["key"] = aOrigin.m_requestKey;
  params["service"] = aOrigin.m_place.m_service;
  params["software"] = aOrigin.m_place.m_softwareVersion;
  params["wait_ms"] = ToMilliseconds(aOrigin.m_wait);
  params["attempt"] = aOrigin.m_attempt;
  for (const std::string& peer : m_parts.m_peers.Closest(
         PlacementKey(aOrigin.m_requestKey, aOrigin.m_requestId),
         kOriginReplicas,
         m_parts.m_loop.Now())) {
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
StreamOrigins::Find(const StreamQuery& aQuery, Found aDone)
{
  if (const StreamPlace* known = FindById(aQuery.m_streamId)) {
    aDone({ .m_place = *known, .m_possiblePlaces = {}, .m_longestWait = {} });
    return;
  }
  std::vector<std::string> peers = m_parts.m_peers.Closest(
    PlacementKey(aQuery.m_requestKey, aQuery.m_streamId),
    kOriginLookups,
    m_parts.m_loop.Now());
  auto lookup = std::make_shared<Lookup>();
  lookup->m_query = aQuery;
  lookup->m_done = std::move(aDone);
  lookup->m_unanswered = peers.size();
  lookup->m_candidates = FindByKey(aQuery.m_requestKey);
  TimePoint now = m_parts.m_loop.Now();
  std::size_t lost =
    m_parts.m_peers.KnownCount(now) - m_parts.m_peers.LiveCount(now);
  lookup->m_asked = peers.size() + 1;
  lookup->m_missing = lookup->m_asked + lost;
  lookup->m_completeFor = { CompleteFor() };
  lookup->m_longestWait = LongestWait(aQuery.m_service);
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
  params["request"] = aQuery.m_streamId;
  params["key"] = aQuery.m_requestKey;
  params["service"] = aQuery.m_service;
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
  if (reply != nullptr && reply->isObject()) {
    Merge(*aLookup, *reply);
  }
  if (aLookup->m_named) {
    EndLookup(*aLookup, "peer");
  } else if (aLookup->m_unanswered == 0) {
    EndLookup(*aLookup, "all");
  }
}

void
StreamOrigins::Merge(Lookup& aLookup, const Json::Value& aReply)
{
  if (aReply["software"].isString()) {
    aLookup.m_named =
      StreamPlace{ .m_service = ReadText(aReply["service"]),
                   .m_softwareVersion = aReply["software"].asString() };
  }
  aLookup.m_longestWait =
    std::max(aLookup.m_longestWait, ReadMilliseconds(aReply["wait_ms"]));
  aLookup.m_completeFor.push_back(ReadMilliseconds(aReply["complete_ms"]));
  for (const Json::Value& stream : aReply["streams"]) {
    if (!stream.isObject() || !stream["software"].isString()) {
      continue;
    }
    aLookup.m_candidates.push_back(
      { .m_place = { .m_service = ReadText(stream["service"]),
                     .m_softwareVersion = stream["software"].asString() },
        .m_age = ReadMilliseconds(stream["age_ms"]) });
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
  const StreamQuery& query = aLookup.m_query;
  FoundOrigin found{ .m_place = aLookup.m_named,
                     .m_possiblePlaces = {},
                     .m_longestWait = aLookup.m_longestWait };
  if (query.m_streamId.empty()) {
    found.m_possiblePlaces = PossiblePlaces(aLookup);
    if (found.m_possiblePlaces.size() == 1 && IsComplete(aLookup)) {
      found.m_place = *found.m_possiblePlaces.begin();
    }
  }
  LogEvent event("stream_origin");
  event.Add("request", query.m_requestId)
    .Add("stream", query.m_streamId)
    .Add("key", query.m_requestKey)
    .Add("software",
         found.m_place ? found.m_place->m_softwareVersion : "unknown")
    .Add("candidates", static_cast<std::int64_t>(aLookup.m_candidates.size()))
    .Add("from", aFrom)
    .Add("unanswered", static_cast<std::int64_t>(aLookup.m_unanswered));
  m_parts.m_log.Write(event);
  done(found);
}

Json::Value
StreamOrigins::OnPublished(const Json::Value& aParams)
{
  const Json::Value& attempt = aParams["attempt"];
  if (!attempt.isUInt()) {
    throw RpcError(kRpcInvalidParams, "\"attempt\" is not a whole number");
  }
  // VMs that run an older program name neither key, service nor wait.
  Put({ .m_requestId = RpcStringParam(aParams, "request"),
        .m_requestKey = ReadText(aParams["key"]),
        .m_place = { .m_service = ReadText(aParams["service"]),
                     .m_softwareVersion = RpcStringParam(aParams, "software") },
        .m_wait = ReadMilliseconds(aParams["wait_ms"]),
        .m_attempt = attempt.asUInt() });
  return Json::Value(Json::objectValue);
}

Json::Value
StreamOrigins::OnAsked(const Json::Value& aParams) const
{
  Json::Value reply(Json::objectValue);
  if (const StreamPlace* known = FindById(RpcStringParam(aParams, "request"))) {
    reply["service"] = known->m_service;
    reply["software"] = known->m_softwareVersion;
  }
  reply["wait_ms"] = ToMilliseconds(LongestWait(ReadText(aParams["service"])));
  for (const Candidate& candidate : FindByKey(ReadText(aParams["key"]))) {
    Json::Value stream(Json::objectValue);
    stream["service"] = candidate.m_place.m_service;
    stream["software"] = candidate.m_place.m_softwareVersion;
    stream["age_ms"] = ToMilliseconds(candidate.m_age);
    reply["streams"].append(stream);
  }
  reply["complete_ms"] = ToMilliseconds(CompleteFor());
  return reply;
}

} // namespace shallotford
