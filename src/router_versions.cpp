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

std::chrono::milliseconds
StreamVersions::MaxAge(const StreamQuery& aQuery) const
{
  if (!aQuery.m_deadline) {
    return kOriginLifetime;
  }
  return std::max({ *aQuery.m_deadline,
                    aQuery.m_timeout,
                    m_parts.m_origins.LongestWait(aQuery.m_service) });
}

TimePoint
StreamVersions::BegunAfter(const StreamQuery& aQuery) const
{
  return m_parts.m_loop.Now() - MaxAge(aQuery) - kMaxUpstreamViewAge;
}

void
StreamVersions::Find(const StreamQuery& aQuery, Found aDone)
{
  if (aQuery.m_streamId.empty()) {
    FindFromId(aQuery, aDone);
    return;
  }
  m_parts.m_origins.Find(aQuery.m_streamId,
                         [this,
                          aQuery,
                          done = std::move(aDone),
                          alive = std::weak_ptr<bool>(m_alive)](
                           const std::optional<std::string>& aFound) {
                           if (alive.expired()) {
                             return;
                           }
                           if (aFound) {
                             done(aFound);
                           } else {
                             FindFromId(aQuery, done);
                           }
                         });
}

void
StreamVersions::FindFromId(const StreamQuery& aQuery, const Found& aDone)
{
  // Other VMs may have begun the stream at a version that this one, if it was
  // cut off or held up, hasn't heard of.
  m_parts.m_source.Refresh(
    [this, aQuery, aDone, alive = std::weak_ptr<bool>(m_alive)](
      bool aIsCurrent) {
      if (alive.expired()) {
        return;
      }
      if (aIsCurrent) {
        FindFromHistory(aQuery, aDone);
      } else {
        EndFind(aQuery, aDone, false);
      }
    });
}

void
StreamVersions::FindFromHistory(const StreamQuery& aQuery, const Found& aDone)
{
  if (m_history.Knows(BegunAfter(aQuery))) {
    EndFind(aQuery, aDone, true);
    return;
  }
  bool wasReadJustNow =
    m_historyReadAt &&
    m_parts.m_loop.Now() - *m_historyReadAt < kMinHistoryInterval;
  if (wasReadJustNow) {
    EndFind(aQuery, aDone, true);
    return;
  }
  ReadHistory([this, aQuery, aDone] { EndFind(aQuery, aDone, true); });
}

void
StreamVersions::EndFind(const StreamQuery& aQuery,
                        const Found& aDone,
                        bool aIsCurrent) const
{
  TimePoint now = m_parts.m_loop.Now();
  Duration silence = now - m_sourceAnsweredAt;
  std::optional<std::string> version;
  if (aIsCurrent && silence < kMaxSourceSilence) {
    version =
      m_history.Find(aQuery.m_service, aQuery.m_streamId, BegunAfter(aQuery));
  }
  m_parts.m_metrics.Count("streams_found_by_id_total",
                          version ? "certain=\"yes\"" : "certain=\"no\"");
  LogEvent event("stream_version");
  event.Add("request", aQuery.m_requestId)
    .Add("stream", aQuery.m_streamId)
    .Add("service", aQuery.m_service)
    .Add("software", version.value_or("uncertain"))
    .Add("current", aIsCurrent ? "yes" : "no")
    .Add("history", m_history.Knows(BegunAfter(aQuery)) ? "known" : "unknown")
    .Add("max_age", Duration(MaxAge(aQuery)))
    .Add("source_age", silence);
  if (aQuery.m_deadline) {
    event.Add("deadline", Duration(*aQuery.m_deadline));
  }
  m_parts.m_log.Write(event);
  aDone(version);
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
