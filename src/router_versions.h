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

/// Used by one task only.
class StreamVersions
{
public:
  using Found = std::function<void(const std::optional<StreamPlace>&)>;

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
  /// Finds where a stream began: from the VMs that remember it, else from its
  /// id.
  /// @param aDone  called once; gets nothing if that is uncertain
  void Find(const StreamQuery& aQuery, Found aDone);

private:
  struct Search
  {
    StreamQuery m_query;
    std::chrono::milliseconds m_maxAge{ 0 }; ///< of the stream
    std::set<StreamPlace> m_possiblePlaces;  ///< as VMs remember; may be empty
    Found m_done;
  };

  /// Returns whether upstreams of one service run several versions, also
  /// draining ones.
  bool ListsSeveralVersions() const;
  void FindFromId(const Search& aSearch);
  void FindFromHistory(const Search& aSearch);
  /// @param aIsCurrent  the published entries are known up to the query
  void EndFind(const Search& aSearch, bool aIsCurrent) const;
  /// Returns the place that the published entries tell, if it is certain.
  std::optional<StreamPlace> PlaceOf(const Search& aSearch) const;
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
  /// Returns the time after which this VM's view tells what VMs chose for it.
  TimePoint BegunAfter(const Search& aSearch) const;

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
