#ifndef SHALLOTFORD_SRC_ROUTER_VERSIONS_H
#define SHALLOTFORD_SRC_ROUTER_VERSIONS_H

/// The software version that runs each stream. A stream's id determines it, so
/// that any VM finds it again, even one that has just started when all others
/// were lost.

#include "daemon_metrics.h"
#include "router_origins.h"
#include "shallotford/router.h"

namespace shallotford {

struct StreamVersionsParts
{
  LoopI& m_loop;
  DirectorySourceI& m_source;
  const DirectoryDecoderI& m_decoder;
  StreamOrigins& m_origins;
  LogI& m_log;
  Metrics& m_metrics;
  const Directory& m_directory;
  std::chrono::milliseconds m_heartbeat; ///< period of upstreams' reports
};

/// A stream that a caller continues.
struct StreamQuery
{
  std::string m_requestId; ///< of the attempt that continues it, for the log
  std::string m_streamId;  ///< empty if the caller doesn't name it
  std::string m_service;
  /// Time for which the caller says that it waits from now on.
  std::optional<std::chrono::milliseconds> m_deadline;
  std::chrono::milliseconds m_timeout{ 0 }; ///< of the route, at present
};

/// Used by one task only.
class StreamVersions
{
public:
  using Found = std::function<void(const std::optional<std::string>&)>;

  explicit StreamVersions(const StreamVersionsParts& aParts)
    : m_parts(aParts)
  {
  }

  /// The first entries have been passed to OnEntry(). Further calls do nothing.
  /// @param aFirstStart  no stream began before this process
  void Start(bool aFirstStart);
  /// The entry of an upstream was published, or removed if aEntry is empty.
  void OnEntry(const std::string& aId,
               const std::optional<UpstreamEntry>& aEntry);
  /// All entries that were published together have been passed to OnEntry().
  void RecordCapacities();
  /// The directory's source has answered.
  void OnSourceAnswer() { m_sourceAnsweredAt = m_parts.m_loop.Now(); }
  void Expire() { m_history.Expire(m_parts.m_loop.Now()); }

  /// Returns the version that runs a new stream; nothing if no upstream of the
  /// service is published.
  std::optional<std::string> Choose(const std::string& aService,
                                    const std::string& aStreamId) const
  {
    return m_history.Choose(aService, aStreamId);
  }
  /// Finds the version that began a stream: from the VMs that remember it, else
  /// from its id.
  /// @param aDone  called once; gets nothing if the version is uncertain
  void Find(const StreamQuery& aQuery, Found aDone);

private:
  /// Returns whether upstreams of one service run several versions, also
  /// draining ones.
  bool ListsSeveralVersions() const;
  void FindFromId(const StreamQuery& aQuery, const Found& aDone);
  void FindFromHistory(const StreamQuery& aQuery, const Found& aDone);
  /// @param aIsCurrent  the published entries are known up to the query
  void EndFind(const StreamQuery& aQuery,
               const Found& aDone,
               bool aIsCurrent) const;
  void ReadHistory(std::function<void()> aDone);
  void OnHistory(const std::optional<DirectoryHistory>& aHistory);
  /// Adds the history, and what the published items tell of the time before.
  void AddHistory(DirectoryHistory aHistory);
  /// @param aEndedAgo  the history tells nothing of the time since
  /// @return how far back it reaches for certain
  std::chrono::milliseconds AddPast(const DirectoryHistory& aHistory,
                                    std::chrono::milliseconds aEndedAgo);
  /// Extends a history by published items until one is as old as the source
  /// keeps changes.
  void Extend(DirectoryHistory& aHistory, std::size_t aMaxMissing) const;
  std::vector<UpstreamChange> ChangesOf(const DirectoryHistory& aHistory) const;
  /// @return nothing for an item of another kind, or a malformed one
  std::optional<UpstreamChange> ChangeOf(const DirectoryItem& aItem) const;
  HistoryClock ClockOf(const DirectoryHistory& aHistory) const;
  /// Returns the age that the stream may have. It follows from how long callers
  /// wait in all; an attempt may name that time anew, or what is left of it.
  std::chrono::milliseconds MaxAge(const StreamQuery& aQuery) const;
  TimePoint BegunAfter(const StreamQuery& aQuery) const;

  StreamVersionsParts m_parts;
  VersionHistory m_history;
  std::map<std::string, UpstreamEntry> m_published; ///< by id
  bool m_started{ false };
  TimePoint m_sourceAnsweredAt{};
  std::vector<std::function<void()>> m_waiting; ///< for the source's history
  std::optional<TimePoint> m_historyReadAt;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_VERSIONS_H
