#ifndef SHALLOTFORD_DIRECTORY_H
#define SHALLOTFORD_DIRECTORY_H

/// The published directory: its items, their changes, and what the changes tell
/// of the software versions that served in the past. Pure: time is passed in,
/// and there are no sockets, threads or logs.

#include "shallotford/route.h"

namespace shallotford {

// ------------------------------------------------------ software versions

/// Capacity of one service by software version, in slots of upstreams that
/// begin streams. Versions without any are left out.
using VersionCapacity = std::map<std::string, double>;

/// Smallest and largest capacity of one version over some time.
struct CapacityRange
{
  double m_least{ 0 };
  double m_most{ 0 };
};
using VersionRanges = std::map<std::string, CapacityRange>;

/// The capacities of a service's versions in a part of the past.
struct VersionSpan
{
  VersionRanges m_ranges;
  /// Further upstreams, of any service and version, of which only the later
  /// removal is known.
  std::size_t m_unknownUpstreams{ 0 };
  /// It ended this long before the end of the history at least.
  std::chrono::milliseconds m_endedAgo{ 0 };
};
using VersionSpans = std::map<std::string, std::vector<VersionSpan>>;

/// Chooses the software version that runs a stream, from the stream's id and
/// the capacity of each version: a weighted rendezvous hash. A change of
/// capacity moves only as many ids as it must.
/// @return nothing if there is no capacity
std::optional<std::string>
ChooseVersion(const VersionCapacity& aCapacity, std::string_view aStreamId);

/// Returns the version that ChooseVersion() gave while the capacities stayed in
/// aRanges, or nothing if it may have given different ones.
std::optional<std::string>
FindVersion(const VersionRanges& aRanges, std::string_view aStreamId);

/// The longest time for which callers waited for streams of each service, by
/// what they and the configurations said while the streams ran.
class StreamWaits
{
public:
  void Note(const std::string& aService,
            std::chrono::milliseconds aWait,
            TimePoint aNow);
  /// Returns the longest one of the last kOriginLifetime, or 0 if no stream of
  /// the service is known.
  /// @param aService  empty for all services
  std::chrono::milliseconds Longest(const std::string& aService,
                                    TimePoint aNow) const;
  void Expire(TimePoint aNow);

private:
  struct Wait
  {
    TimePoint m_notedAt;
    std::chrono::milliseconds m_wait;
  };

  /// By service; later ones are shorter.
  std::map<std::string, std::deque<Wait>> m_waits;
};

/// The capacities of each service's versions over the recent past. With them a
/// VM finds the version of a stream that another VM began, even if no VM
/// remembers that stream.
class VersionHistory
{
public:
  /// Record() covers the time from aFrom on.
  void StartAt(TimePoint aFrom) { m_knownFrom = aFrom; }
  /// Records the capacities of all services. While none of a service's
  /// upstreams is published, its last capacities hold.
  void Record(const std::map<std::string, VersionCapacity>& aCapacities,
              TimePoint aNow);
  /// Adds what was read of the time from aFrom on, before Record() began or
  /// beside it, until aNow. The capacities of other services aren't known in
  /// that time.
  void AddPast(const VersionSpans& aSpans, TimePoint aFrom, TimePoint aNow);
  /// Returns whether the capacities since aTime are known.
  bool Knows(TimePoint aTime) const { return aTime >= m_knownFrom; }
  /// Returns the version that runs a new stream, or nothing without capacity.
  std::optional<std::string> Choose(const std::string& aService,
                                    std::string_view aStreamId) const;
  /// Returns the version of a stream that began after aSince, or nothing if it
  /// is uncertain. An empty id stands for any stream: there is a version only
  /// if no other one served.
  std::optional<std::string> Find(const std::string& aService,
                                  std::string_view aStreamId,
                                  TimePoint aSince) const;
  void Expire(TimePoint aNow);

private:
  struct Service;
  static void Record(Service& aService,
                     const VersionCapacity& aCapacity,
                     TimePoint aNow);

  struct Past
  {
    TimePoint m_until;
    VersionRanges m_ranges; ///< empty if they aren't known
  };
  struct Service
  {
    VersionCapacity m_now;
    std::vector<Past> m_past;
    TimePoint m_forgottenUntil{ TimePoint::min() }; ///< nothing known before
  };

  TimePoint m_knownFrom{ TimePoint::max() };
  std::map<std::string, Service> m_services;
};

// -------------------------------------------------------------- directory

/// One published item with an opaque value.
struct DirectoryItem
{
  std::string m_key;
  std::string m_value; ///< any bytes; empty if removed
  std::uint64_t m_revision{ 0 };
  bool m_removed{ false };
  bool m_created{ false }; ///< the item did not exist before this revision
  /// Its removal was known before the source went back in time.
  bool m_relisted{ false };
};

/// A state of the directory's source. A source that goes back to an older copy
/// begins a new era, in which it gives out revisions again.
struct DirectoryPosition
{
  std::uint64_t m_era{ 0 };
  std::uint64_t m_revision{ 0 };

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const DirectoryPosition&) const = default;
};

/// The changes that a directory's source still has.
struct DirectoryHistory
{
  std::vector<DirectoryItem> m_changes; ///< in the order of their revisions
  /// Every change after this revision is in m_changes, or counted as missing.
  std::uint64_t m_after{ 0 };
  std::size_t m_missing{ 0 };
  /// The changes since the directory was created.
  bool m_isWhole{ false };
  /// Else the source keeps changes for this time at most; it may discard them
  /// earlier.
  std::chrono::milliseconds m_retention{ 0 };
  WallTime m_readAt{};
};

/// Prepends published items to a history, newest first: the source lists what
/// it has discarded from its history. The changes between them are counted as
/// missing.
/// @param aItems       by key, of the history's era
/// @param aMaxMissing  the history ends before more are missing
/// @param aIsEnough    called for each item that was prepended; true ends it
void
ExtendHistory(DirectoryHistory& aHistory,
              const std::map<std::string, DirectoryItem>& aItems,
              std::size_t aMaxMissing,
              const std::function<bool(const DirectoryItem&)>& aIsEnough);

/// One change of a published upstream.
struct UpstreamChange
{
  std::string m_id;
  std::optional<UpstreamEntry> m_entry; ///< empty if it was removed
  bool m_created{ false };
  std::chrono::milliseconds m_provenAge{ 0 }; ///< when the history was read
};

/// Returns the capacity of each service by software version.
/// @param aEntries  as they were published: VMs that have read the same ones
///                  get the same result
std::map<std::string, VersionCapacity>
CapacitiesOf(const std::map<std::string, UpstreamEntry>& aEntries);

/// When a history was read, and how often upstreams report.
struct HistoryClock
{
  std::uint64_t m_readAtMs{ 0 }; ///< Unix time
  std::chrono::milliseconds m_heartbeat{ 0 };
};

/// Returns how long ago a change was published at least: changes bear no times,
/// but an upstream reports its start and the number of its report.
/// @return 0 if the change doesn't show it
std::chrono::milliseconds
ProvenAge(const UpstreamChange& aChange, const HistoryClock& aClock);

/// Sets the proven ages of a history's changes, each from its own report and
/// from the later ones.
void
DateChanges(std::vector<UpstreamChange>& aChanges, const HistoryClock& aClock);

/// Returns how far back a history reaches for certain: the source may have
/// discarded older changes at any moment. An upstream whose creation isn't in
/// the history started before it.
/// @param aEntries  by id, at the end of the history
/// @param aChanges  with their proven ages
/// @return 0 if no change shows it
std::chrono::milliseconds
ProvenReach(const std::map<std::string, UpstreamEntry>& aEntries,
            const std::vector<UpstreamChange>& aChanges,
            std::uint64_t aReadAtMs);

/// Returns the capacities of each service's versions over a history, oldest
/// first, or nothing if it doesn't tell them or was discarded early. A service
/// without capacity at its begin is left out. An upstream of which only the
/// removal is known counts for each version of its service, since it may have
/// had any of them; if only one is known, the service is left out. A missing
/// change may be such a removal.
/// @param aEntries         by id, at the end of the history
/// @param aStartedAfterMs  Unix time; the creation of an upstream that started
///                         later is in a history that wasn't discarded early;
///                         nothing for a history since the directory's creation
/// @param aMissing         changes that aChanges doesn't hold
std::optional<VersionSpans>
ReplayVersions(const std::map<std::string, UpstreamEntry>& aEntries,
               const std::vector<UpstreamChange>& aChanges,
               std::optional<std::uint64_t> aStartedAfterMs,
               std::size_t aMissing = 0);

/// Changes of the items below a prefix, from the platform or another VM.
struct DirectoryDelta
{
  bool m_isSnapshot{ false }; ///< holds every item; any other was removed
  std::uint64_t m_era{ 0 };
  std::uint64_t m_upToRevision{ 0 };
  std::vector<DirectoryItem> m_items;
};

/// The published items below one prefix, in the newest revision of each.
/// Within an era an item's revision never decreases, whichever source reports
/// it. A later era replaces all items.
class Directory
{
public:
  /// Merges aDelta and returns the items that changed the directory. Deltas of
  /// an older era are ignored, and so are deltas of a later one that hold no
  /// snapshot.
  std::vector<DirectoryItem> Apply(const DirectoryDelta& aDelta,
                                   TimePoint aNow);
  /// Returns the changes after aPosition, or a snapshot if removals after it
  /// may have been discarded or if it is of an older era.
  DirectoryDelta Since(const DirectoryPosition& aPosition) const;
  /// Every change up to this position is known.
  DirectoryPosition Position() const
  {
    return { .m_era = m_era, .m_revision = m_upToRevision };
  }
  /// Returns the published items by key.
  const std::map<std::string, DirectoryItem>& Items() const { return m_items; }

private:
  void BeginEra(std::uint64_t aEra);
  bool ApplyItem(const DirectoryItem& aItem, TimePoint aNow);
  /// Returns the items that a snapshot doesn't hold any more, as removals.
  std::vector<DirectoryItem> MissingIn(const DirectoryDelta& aSnapshot) const;
  void DiscardOldRemovals(TimePoint aNow);

  struct Removal
  {
    std::uint64_t m_era;
    std::uint64_t m_revision;
    TimePoint m_at;
  };

  std::map<std::string, DirectoryItem> m_items;
  std::map<std::string, Removal> m_removals; ///< also of older eras
  std::uint64_t m_era{ 0 };
  std::uint64_t m_upToRevision{ 0 };
  /// Removals up to this revision may have been discarded.
  std::uint64_t m_discardedUpTo{ 0 };
};

} // namespace shallotford

#endif // SHALLOTFORD_DIRECTORY_H
