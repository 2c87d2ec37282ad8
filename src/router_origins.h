#ifndef SHALLOTFORD_SRC_ROUTER_ORIGINS_H
#define SHALLOTFORD_SRC_ROUTER_ORIGINS_H

/// Where each recent stream began. A caller may take a stream up again at any
/// VM, so each VM leaves its streams' origins with some others, and asks others
/// for those that it doesn't know.

#include "daemon_metrics.h"
#include "daemon_peer.h"
#include "shallotford/directory.h"
#include "shallotford/rpc.h"
#include "shallotford/vms.h"

#include <set>

namespace shallotford {

/// Where a stream runs: no other service or software version continues it.
struct StreamPlace
{
  std::string m_service; ///< empty if a VM of an older program doesn't say it
  std::string m_softwareVersion;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const StreamPlace&) const = default;
};

/// What VMs remember of a stream that one request began.
struct StreamOrigin
{
  std::string m_requestId;
  /// Equal for all attempts of a caller at one request, and for requests of
  /// other callers that are the same; may be empty.
  std::string m_requestKey;
  StreamPlace m_place;
  /// Time for which its caller waits in all, at least.
  std::chrono::milliseconds m_wait{ 0 };
  /// Number of the request's attempt; a higher one replaces a lower one.
  std::uint32_t m_attempt{ 0 };
};

/// A stream that a caller continues.
struct StreamQuery
{
  std::string m_requestId; ///< of the attempt that continues it, for the log
  /// Id of the attempt that brought the first event; empty if the caller
  /// doesn't name it.
  std::string m_streamId;
  std::string m_requestKey;
  std::string m_service; ///< empty if requests like it may reach several
  /// Time for which the caller says that it waits from now on.
  std::optional<std::chrono::milliseconds> m_deadline;
  std::chrono::milliseconds m_timeout{ 0 }; ///< of the route, at present
  /// When the route last got other services or weights, if it did.
  std::optional<TimePoint> m_movedAt;
};

/// Returns the age that a stream may have. It follows from how long callers
/// wait in all; an attempt may name that time anew, or what is left of it.
/// @param aLongestWait  of callers of the service lately; 0 if it isn't known
std::chrono::milliseconds
MaxStreamAge(const StreamQuery& aQuery, std::chrono::milliseconds aLongestWait);

/// What VMs remember of a stream that was looked for.
struct FoundOrigin
{
  std::optional<StreamPlace> m_place; ///< nothing if it is uncertain
  /// Where streams with the key began that may be the one; none if the stream
  /// was looked for by its id.
  std::set<StreamPlace> m_possiblePlaces;
  /// Longest time for which callers of the service waited lately, as far as the
  /// VMs that were asked know; 0 if they know none.
  std::chrono::milliseconds m_longestWait{ 0 };
};

struct StreamOriginsParts
{
  LoopI& m_loop;
  PeerI& m_peerCalls;
  const PeerList& m_peers;
  LogI& m_log;
  Metrics& m_metrics;
  /// Returns whether the process was paused and OnPause() is due.
  std::function<bool()> m_wasPaused;
};

/// Used by one task only.
class StreamOrigins
{
public:
  using Found = std::function<void(const FoundOrigin&)>;

  explicit StreamOrigins(const StreamOriginsParts& aParts)
    : m_parts(aParts)
  {
  }

  /// Other VMs choose this one to keep origins soon.
  /// @param aFirstStart  no stream began before this process
  void Start(bool aFirstStart);
  /// The process was paused: it may have missed what other VMs told.
  void OnPause() { m_completeFrom = m_parts.m_loop.Now(); }

  /// Stores an origin here and at kOriginReplicas other VMs.
  void Publish(const StreamOrigin& aOrigin);
  /// Finds where a stream began, here or at other VMs: by the id of its first
  /// attempt, or by its key if all streams with that key began at one place.
  /// @param aDone  called once, within kOriginLookupTimeout
  void Find(const StreamQuery& aQuery, Found aDone);
  /// Returns the longest time for which callers waited for streams of a service
  /// lately, as far as this VM knows; 0 if it knows none.
  std::chrono::milliseconds LongestWait(const std::string& aService) const
  {
    return m_waits.Longest(aService, m_parts.m_loop.Now());
  }
  /// Discards origins older than kOriginLifetime.
  void Expire();

  // Calls of other VMs.
  Json::Value OnPublished(const Json::Value& aParams);
  Json::Value OnAsked(const Json::Value& aParams) const;

private:
  struct Lookup;

  /// Streams with the key that was looked for, as one VM remembers them.
  struct Candidate
  {
    StreamPlace m_place;
    Duration m_age{}; ///< of the youngest one
  };
  struct Record
  {
    StreamOrigin m_origin;
    TimePoint m_begunAt;
  };
  /// The streams of one key at one place.
  struct KeyPlace
  {
    StreamPlace m_place;
    TimePoint m_lastBegunAt;
    std::size_t m_count{ 0 };
  };

  void Put(const StreamOrigin& aOrigin);
  void Forget(const std::string& aRequestId);
  void AddToIndex(const Record& aRecord);
  void RemoveFromIndex(const StreamOrigin& aOrigin);
  const StreamPlace* FindById(const std::string& aRequestId) const;
  /// Returns the youngest stream of each place.
  std::vector<Candidate> FindByKey(const std::string& aRequestKey) const;
  /// Returns for how long this VM has been told of all streams for which it was
  /// chosen to keep the origin.
  Duration CompleteFor() const;
  /// Returns the places of the streams that are young enough.
  static std::set<StreamPlace> PossiblePlaces(const Lookup& aLookup);
  /// Returns whether one of the VMs that were chosen to keep an origin has
  /// answered in any case.
  static bool IsComplete(const Lookup& aLookup);
  void OnAnswer(const std::shared_ptr<Lookup>& aLookup,
                const PeerResult& aResult);
  static void Merge(Lookup& aLookup, const Json::Value& aReply);
  void EndLookup(Lookup& aLookup, std::string_view aFrom);

  StreamOriginsParts m_parts;
  StreamWaits m_waits;
  TimePoint m_completeFrom{ TimePoint::max() }; ///< of what others told
  std::map<std::string, Record> m_origins;      ///< by request id
  std::map<std::string, std::vector<KeyPlace>> m_placesByKey;
  std::deque<std::pair<TimePoint, std::string>> m_byAge; ///< ids, oldest first
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_ORIGINS_H
