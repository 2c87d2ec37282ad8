/// StreamVersions: the versions of streams whose VMs are lost.

#include "router_versions.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

std::uint64_t
UnixMilliseconds(WallTime aTime)
{
  auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(sinceEpoch.count(), 0));
}

} // namespace

void
StreamVersions::Start(bool aFirstStart)
{
  if (std::exchange(m_started, true)) {
    return;
  }
  m_history.Record(CapacitiesOf(m_published), m_parts.m_loop.Now());
  m_history.StartAt(aFirstStart ? TimePoint::min() : m_parts.m_loop.Now());
  if (!aFirstStart && ListsSeveralVersions()) {
    // The history goes back farthest now.
    ReadHistory([] {});
  }
}

bool
StreamVersions::ListsSeveralVersions() const
{
  std::map<std::string, std::string> versions; // by service
  return std::any_of(
    m_published.begin(), m_published.end(), [&](const auto& aItem) {
      const UpstreamEntry& entry = aItem.second;
      auto [found, added] =
        versions.try_emplace(entry.m_service, entry.m_softwareVersion);
      return !added && found->second != entry.m_softwareVersion;
    });
}

void
StreamVersions::OnEntry(const std::string& aId,
                        const std::optional<UpstreamEntry>& aEntry)
{
  if (aEntry) {
    m_published[aId] = *aEntry;
  } else {
    m_published.erase(aId);
  }
}

void
StreamVersions::RecordCapacities()
{
  if (m_started) {
    m_history.Record(CapacitiesOf(m_published), m_parts.m_loop.Now());
  }
}

TimePoint
StreamVersions::BegunAfter(const Search& aSearch) const
{
  return m_parts.m_loop.Now() - aSearch.m_maxAge - kMaxUpstreamViewAge;
}

void
StreamVersions::Find(const StreamQuery& aQuery, Found aDone)
{
  m_parts.m_origins.Find(
    aQuery,
    [this,
     aQuery,
     done = std::move(aDone),
     alive = std::weak_ptr<bool>(m_alive)](const FoundOrigin& aFound) {
      if (alive.expired()) {
        return;
      }
      if (aFound.m_place) {
        done(aFound.m_place);
        return;
      }
      FindFromId({ .m_query = aQuery,
                   .m_maxAge = MaxStreamAge(aQuery, aFound.m_longestWait),
                   .m_possiblePlaces = aFound.m_possiblePlaces,
                   .m_done = done });
    });
}

void
StreamVersions::FindFromId(const Search& aSearch)
{
  // Other VMs may have begun the stream at a version that this one, if it was
  // cut off or held up, hasn't heard of.
  m_parts.m_source.Refresh(
    [this, aSearch, alive = std::weak_ptr<bool>(m_alive)](bool aIsCurrent) {
      if (alive.expired()) {
        return;
      }
      if (aIsCurrent) {
        FindFromHistory(aSearch);
      } else {
        EndFind(aSearch, false);
      }
    });
}

void
StreamVersions::FindFromHistory(const Search& aSearch)
{
  bool wasReadJustNow =
    m_historyReadAt &&
    m_parts.m_loop.Now() - *m_historyReadAt < kMinHistoryInterval;
  if (wasReadJustNow || m_history.Knows(BegunAfter(aSearch))) {
    EndFind(aSearch, true);
    return;
  }
  ReadHistory([this, aSearch] { EndFind(aSearch, true); });
}

std::optional<StreamPlace>
StreamVersions::PlaceOf(const Search& aSearch) const
{
  const StreamQuery& query = aSearch.m_query;
  TimePoint begunAfter = BegunAfter(aSearch);
  bool hasMoved = query.m_movedAt && *query.m_movedAt >= begunAfter;
  std::optional<std::string> version =
    m_history.Find(query.m_service, query.m_streamId, begunAfter);
  if (hasMoved || !version) {
    return {};
  }
  StreamPlace place{ .m_service = query.m_service,
                     .m_softwareVersion = *version };
  bool isContradicted = std::any_of(
    aSearch.m_possiblePlaces.begin(),
    aSearch.m_possiblePlaces.end(),
    [&](const StreamPlace& aPossible) { return aPossible != place; });
  return isContradicted ? std::nullopt : std::optional(place);
}

void
StreamVersions::EndFind(const Search& aSearch, bool aIsCurrent) const
{
  const StreamQuery& query = aSearch.m_query;
  Duration silence = m_parts.m_loop.Now() - m_sourceAnsweredAt;
  std::optional<StreamPlace> place;
  if (aIsCurrent && silence < kMaxSourceSilence) {
    place = PlaceOf(aSearch);
  }
  m_parts.m_metrics.Count("streams_found_by_id_total",
                          place ? "certain=\"yes\"" : "certain=\"no\"");
  LogEvent event("stream_version");
  event.Add("request", query.m_requestId)
    .Add("stream", query.m_streamId)
    .Add("service", query.m_service)
    .Add("software", place ? place->m_softwareVersion : "uncertain")
    .Add("current", aIsCurrent ? "yes" : "no")
    .Add("history", m_history.Knows(BegunAfter(aSearch)) ? "known" : "unknown")
    .Add("max_age", Duration(aSearch.m_maxAge))
    .Add("source_age", silence);
  if (query.m_deadline) {
    event.Add("deadline", Duration(*query.m_deadline));
  }
  m_parts.m_log.Write(event);
  aSearch.m_done(place);
}

void
StreamVersions::ReadHistory(std::function<void()> aDone)
{
  m_waiting.push_back(std::move(aDone));
  if (m_waiting.size() > 1) {
    return;
  }
  m_parts.m_source.ReadHistory(
    [this, alive = std::weak_ptr<bool>(m_alive)](
      const std::optional<DirectoryHistory>& aHistory) {
      if (alive.expired()) {
        return;
      }
      m_historyReadAt = m_parts.m_loop.Now();
      OnHistory(aHistory);
      for (const std::function<void()>& done : std::exchange(m_waiting, {})) {
        done();
      }
    });
}

void
StreamVersions::OnHistory(const std::optional<DirectoryHistory>& aHistory)
{
  if (aHistory) {
    AddHistory(*aHistory);
  } else {
    m_parts.m_log.Write(LogEvent("directory_history").Add("usable", "no"));
  }
}

void
StreamVersions::AddHistory(DirectoryHistory aHistory)
{
  if (!aHistory.m_isWhole) {
    Extend(aHistory, 0);
  }
  std::chrono::milliseconds reach = AddPast(aHistory, {});
  if (!aHistory.m_isWhole && reach < aHistory.m_retention) {
    Extend(aHistory, kMaxMissingChanges);
    AddPast(aHistory, reach);
  }
}

HistoryClock
StreamVersions::ClockOf(const DirectoryHistory& aHistory) const
{
  return { .m_readAtMs = UnixMilliseconds(aHistory.m_readAt),
           .m_heartbeat = m_parts.m_heartbeat };
}

void
StreamVersions::Extend(DirectoryHistory& aHistory,
                       std::size_t aMaxMissing) const
{
  auto isEnough = [&](const DirectoryItem& aItem) {
    std::optional<UpstreamChange> change = ChangeOf(aItem);
    return change &&
           ProvenAge(*change, ClockOf(aHistory)) >= aHistory.m_retention;
  };
  ExtendHistory(aHistory, m_parts.m_directory.Items(), aMaxMissing, isEnough);
}

std::chrono::milliseconds
StreamVersions::AddPast(const DirectoryHistory& aHistory,
                        std::chrono::milliseconds aEndedAgo)
{
  std::vector<UpstreamChange> changes = ChangesOf(aHistory);
  std::uint64_t readAtMs = UnixMilliseconds(aHistory.m_readAt);
  DateChanges(changes, ClockOf(aHistory));
  std::chrono::milliseconds reach =
    std::min(ProvenReach(m_published, changes, readAtMs), aHistory.m_retention);
  std::optional<VersionSpans> spans;
  if (aHistory.m_isWhole) {
    spans = ReplayVersions(m_published, changes, {});
  } else if (reach > aEndedAgo) {
    spans = ReplayVersions(m_published,
                           changes,
                           readAtMs - static_cast<std::uint64_t>(reach.count()),
                           aHistory.m_missing);
  }
  m_parts.m_log.Write(
    LogEvent("directory_history")
      .Add("changes", static_cast<std::int64_t>(changes.size()))
      .Add("after", static_cast<std::int64_t>(aHistory.m_after))
      .Add("missing", static_cast<std::int64_t>(aHistory.m_missing))
      .Add("whole", aHistory.m_isWhole ? "yes" : "no")
      .Add("reach", Duration(reach))
      .Add("usable", spans ? "yes" : "no"));
  if (!spans) {
    return reach;
  }
  for (auto& [service, serviceSpans] : *spans) {
    for (VersionSpan& span : serviceSpans) {
      span.m_endedAgo = std::max(span.m_endedAgo, aEndedAgo);
    }
  }
  TimePoint now = m_parts.m_loop.Now();
  m_history.AddPast(
    *spans, aHistory.m_isWhole ? TimePoint::min() : now - reach, now);
  return reach;
}

std::vector<UpstreamChange>
StreamVersions::ChangesOf(const DirectoryHistory& aHistory) const
{
  std::vector<UpstreamChange> changes;
  for (const DirectoryItem& item : aHistory.m_changes) {
    if (std::optional<UpstreamChange> change = ChangeOf(item)) {
      changes.push_back(*change);
    }
  }
  return changes;
}

std::optional<UpstreamChange>
StreamVersions::ChangeOf(const DirectoryItem& aItem) const
{
  try {
    DecodedItem decoded = m_parts.m_decoder.Decode(aItem);
    if (decoded.m_upstreamId.empty()) {
      return {};
    }
    return UpstreamChange{ .m_id = decoded.m_upstreamId,
                           .m_entry = decoded.m_upstream,
                           .m_created = aItem.m_created };
  } catch (const Error& error) {
    // The entry before it stays in force, as in the table of upstreams.
    m_parts.m_log.Write(LogEvent("history_item_ignored", LogLevel::Warning)
                          .Add("key", aItem.m_key)
                          .Add("reason", error.what()));
    return {};
  }
}

} // namespace shallotford
