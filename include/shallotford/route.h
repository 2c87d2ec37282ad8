#ifndef SHALLOTFORD_ROUTE_H
#define SHALLOTFORD_ROUTE_H

/// Routing of HTTP requests to upstreams by host and path: what operators
/// publish, what is known of upstreams, and every decision on a request. Pure:
/// time is passed in, and there are no sockets, threads or logs.

#include "shallotford/base.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotford {

// ---------------------------------------------------------- configuration

/// What may be done with a route's requests.
enum class RouteKind
{
  Repeatable, ///< may run more than once
  RunOnce,    ///< may run at most once
  Stream,     ///< answered by events; repeatable only if resumable
};
std::string_view
ToString(RouteKind aKind);

/// A service that serves a part of a route's requests.
struct RouteTarget
{
  std::string m_service;
  double m_weight{ 1.0 }; ///< relative to the route's other targets
};

struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; ///< begins and ends with a slash
  RouteKind m_kind{ RouteKind::RunOnce };
  bool m_resumable{ false }; ///< a broken stream may go on elsewhere
  std::chrono::milliseconds m_timeout{ 30'000 };
  std::chrono::milliseconds m_latencyTarget{ 1'000 };
  /// Callers leave a stream without a first event after so long.
  std::chrono::milliseconds m_callerTimeout{ 10'000 };
  std::uint32_t m_maxAttempts{ 1 }; ///< upstreams that may run one request
  std::int32_t m_priority{ 0 };     ///< 0 is the most urgent
  std::vector<RouteTarget> m_targets;

  /// Returns whether a request may run more than once.
  bool MayRepeat() const
  {
    return m_kind == RouteKind::Repeatable ||
           (m_kind == RouteKind::Stream && m_resumable);
  }
};

/// A service as operators publish it.
struct RoutedService
{
  std::string m_name;
  std::uint32_t m_maxConnections{ 64 }; ///< of one upstream, over all callers
  bool m_engines{ false }; ///< served by prefill and decode engines
  /// Longest life of an unused reservation; 0 if engines take none.
  std::chrono::milliseconds m_reservationLifetime{ 0 };
  std::uint32_t m_engineSlots{ 0 };  ///< requests that one engine runs at once
  std::uint32_t m_engineTokens{ 0 }; ///< that one engine's memory holds
  /// Time that an engine is away to change its role; 0 if it can't.
  std::chrono::milliseconds m_roleChangeTime{ 0 };
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::size_t m_maxHead{ 16u << 10 }; ///< bytes
  std::size_t m_maxBody{ 4u << 20 };  ///< bytes
  std::chrono::milliseconds m_headTimeout{ 3'000 };
  std::chrono::milliseconds m_idleTimeout{ 15'000 };
};

/// One version of what operators publish. Immutable.
struct RoutingConfig
{
  std::uint64_t m_version{ 0 };
  std::vector<Route> m_routes;
  std::map<std::string, RoutedService> m_services;
  CallerLimits m_limits;
};
using RoutingPtr = std::shared_ptr<const RoutingConfig>;

/// Finds routes by host and longest path prefix.
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(RoutingPtr aConfig);

  /// @param aTarget  a request's path and query
  /// @return nullptr if no route matches
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  const RoutingPtr& Config() const { return m_config; }

private:
  RoutingPtr m_config;
  /// Routes of each host, in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_byHost;
};

/// Returns the target that serves a request, the same for every attempt.
/// @param aHash  of the request's id
const std::string&
ChooseTarget(const Route& aRoute, std::uint64_t aHash);

// -------------------------------------------------------------- upstreams

enum class EngineStage
{
  None, ///< a plain server
  Prefill,
  Decode,
};

std::string_view
ToString(EngineStage aStage);

/// One start of an upstream. Another start has another id or start time.
struct UpstreamKey
{
  std::string m_id;
  std::uint64_t m_startedMs{ 0 }; ///< Unix time of its start

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>
  auto operator<=>(const UpstreamKey&) const = default;
};

/// An upstream as it was published.
struct UpstreamEntry
{
  UpstreamKey m_key;
  std::string m_service;
  std::string m_address; ///< "IP:PORT"
  std::string m_failureDomain;
  std::uint32_t m_slots{ 1 }; ///< requests that run at once
  bool m_draining{ false };
  EngineStage m_stage{ EngineStage::None };
  std::uint64_t m_sequence{ 0 }; ///< of its reports; a lower one is older
};

/// Load that an upstream reported with an answer.
struct UpstreamLoad
{
  std::uint32_t m_running{ 0 };
  std::uint32_t m_waiting{ 0 };
  std::uint32_t m_slots{ 0 };
};

/// Where this VM stands, to prefer near upstreams.
struct Location
{
  std::string m_failureDomain;
  /// Region of each failure domain.
  std::map<std::string, std::string> m_regions;
};

enum class Distance
{
  SameDomain,
  SameRegion,
  OtherRegion,
};
Distance
DistanceBetween(const Location& aLocation,
                const std::string& aFrom,
                const std::string& aTo);

/// How an attempt at an upstream ended.
enum class AttemptEnd
{
  Answered,     ///< a whole answer of that upstream, whatever its status
  Failed,       ///< a whole answer that reports the upstream's own failure
  NotConnected, ///< no connection; nothing was sent
  Refused,      ///< the upstream says that it did not run the request
  Replaced,     ///< another upstream has the address; not run
  Broken,       ///< the connection or the answer broke off; may have run
  TimedOut,     ///< no answer in the time allowed; may have run
  Abandoned,    ///< given up for a reason that isn't the upstream's
};
std::string_view
ToString(AttemptEnd aEnd);

/// A moving average that fades to 0 while nothing is added.
class DecayingAverage
{
public:
  /// @param aWeight  of the newest value, 0 to 1
  DecayingAverage(Duration aHalfLife, double aWeight)
    : m_halfLife(aHalfLife)
    , m_weight(aWeight)
  {
  }
  void Add(double aValue, TimePoint aNow);
  double At(TimePoint aNow) const;

private:
  Duration m_halfLife;
  double m_weight;
  double m_value{ 0 };
  TimePoint m_addedAt{};
};

/// What this VM has seen of one upstream.
class UpstreamHealth
{
public:
  UpstreamHealth();
  void OnStart(TimePoint aNow);
  /// @param aSentAt  start of the attempt that has ended
  void OnEnd(AttemptEnd aEnd, TimePoint aSentAt, TimePoint aNow);
  void OnLoad(const UpstreamLoad& aLoad, TimePoint aNow);
  /// Returns whether requests may go there: sound, or due for one trial.
  bool IsUsable(TimePoint aNow) const;
  bool IsEjected() const { return m_ejections > 0; }
  /// Own requests that are there.
  std::uint32_t InFlight() const { return m_inFlight; }
  /// Requests there, own ones or those of a recent report, over aPlaces.
  double Utilisation(double aPlaces, TimePoint aNow) const;
  /// Share of recent requests that failed, 0 to 1; fades with time.
  double FailureShare(TimePoint aNow) const { return m_failures.At(aNow); }
  bool RefusedRecently(TimePoint aNow) const;
  /// The result of a prefill there was gone when it was fetched.
  void OnHandleLost(TimePoint aNow) { m_failures.Add(1, aNow); }
  /// A request sent at aSentAt has been without a sign of life for long. That
  /// says something of the upstream only if it answered no other since.
  /// @return whether it was ejected
  bool OnNoResponse(TimePoint aSentAt, TimePoint aNow);
  /// When it may be tried again; meaningful while IsEjected().
  TimePoint EjectedUntil() const { return m_ejectedUntil; }

private:
  void Eject(TimePoint aNow);

  std::uint32_t m_inFlight{ 0 };
  std::uint32_t m_consecutiveBreaks{ 0 };
  std::uint32_t m_ejections{ 0 }; ///< in a row
  TimePoint m_ejectedUntil{};
  DecayingAverage m_failures; ///< 1 for each failure, 0 for other answers
  std::optional<TimePoint> m_refusedAt;
  std::optional<TimePoint> m_answeredAt;
  UpstreamLoad m_load;
  std::optional<TimePoint> m_loadAt;
};

/// An upstream with what was seen of it.
struct Upstream
{
  UpstreamEntry m_entry;
  UpstreamHealth m_health;
  /// Own reservations of its memory that no request uses yet.
  std::uint32_t m_reserved{ 0 };
  /// Its entry was removed; until then it is a last resort.
  std::optional<TimePoint> m_expiresAt;
};
using UpstreamPtr = std::shared_ptr<Upstream>;

/// What a request needs of its next upstream.
struct PickRequest
{
  std::string m_service;
  EngineStage m_stage{ EngineStage::None };
  /// Where distance is measured from; this VM's domain if empty.
  std::string m_fromDomain;
  std::set<UpstreamKey> m_excluded;
  std::uint64_t m_salt{ 0 }; ///< varies the choice among equals
};

/// All upstreams that are known, by incarnation.
class UpstreamTable
{
public:
  explicit UpstreamTable(Location aLocation)
    : m_location(std::move(aLocation))
  {
  }

  /// Adds or changes an upstream, unless something newer is known of its id.
  /// A draining one never becomes ready again.
  void Put(const UpstreamEntry& aEntry);
  /// The upstream has left, or another one has its address.
  void Remove(const UpstreamKey& aKey);
  /// The entry of aId was removed. It stays as a last resort for a while,
  /// longer if many entries of its service are removed together: then the
  /// source has lost them, not the service.
  void OnEntryRemoved(const std::string& aId, TimePoint aNow);
  /// Forgets upstreams whose time as a last resort is over.
  /// @return their keys
  std::vector<UpstreamKey> Expire(TimePoint aNow);
  /// Returns whether aService has an upstream that is neither draining nor
  /// ejected.
  bool IsReachable(const std::string& aService, TimePoint aNow) const;
  UpstreamPtr Find(const UpstreamKey& aKey) const;
  /// Chooses an upstream by distance, load and failures.
  /// @return nullptr if none is usable
  UpstreamPtr Pick(const PickRequest& aRequest, TimePoint aNow) const;
  /// Returns whether any ready upstream of aService is known.
  bool Serves(const std::string& aService) const;
  std::size_t Size() const { return m_upstreams.size(); }
  std::vector<UpstreamPtr> All() const;

private:
  void Add(const UpstreamEntry& aEntry);
  void RemoveId(const std::string& aId);
  bool IsCandidate(const Upstream& aUpstream,
                   const PickRequest& aRequest) const;
  double Cost(const Upstream& aUpstream,
              const PickRequest& aRequest,
              TimePoint aNow) const;

  Location m_location;
  std::map<UpstreamKey, UpstreamPtr> m_upstreams;
};

// ------------------------------------------------------------------ roles

/// What one engine holds at once.
struct EngineCapacity
{
  std::uint32_t m_slots{ 1 };
  double m_memoryTokens{ 0 };
};

/// The mean of what requests ask of engines.
struct RequestShape
{
  double m_promptTokens{ 0 };
  double m_outputTokens{ 0 };
};

/// Returns the share of all engine time that reading prompts takes, 0 to 1,
/// where decode engines are full. It answers a load near the engines' limits,
/// at which the split decides how much is served.
double
PrefillShare(const EngineCapacity& aCapacity, const RequestShape& aShape);

/// Returns how many of aEngines should read prompts.
std::size_t
WantedPrefillEngines(std::size_t aEngines, double aPrefillShare);

/// Chooses the prefill engines of aService that should decode instead, from
/// the failure domains that have the most of them.
/// @param aChanging  prefill engines that were ordered to decode before
std::vector<UpstreamPtr>
ChooseForDecode(const std::vector<UpstreamPtr>& aUpstreams,
                const std::string& aService,
                double aPrefillShare,
                const std::set<UpstreamKey>& aChanging = {});

/// How long a service's prompts wait before prefill engines read them, as this
/// VM's requests found it. Above what keeps a first token on time, a part of
/// the prompts is left to the decode engines, which read them at half the
/// speed. It answers a lack of prefill engines, by losses or in a burst.
class PrefillDelay
{
public:
  PrefillDelay();
  /// A prefill of aPromptTokens was answered, or given up, after aTook.
  void OnPrefill(double aPromptTokens, Duration aTook, TimePoint aNow);
  /// The expected wait of a prompt; fades with time.
  Duration ExpectedWait(TimePoint aNow) const;
  /// Returns how long to wait for a prefill of aPromptTokens.
  std::chrono::milliseconds PrefillTimeout(double aPromptTokens,
                                           TimePoint aNow) const;
  /// Returns whether a decode engine should read a request's prompt.
  /// @param aHash  of the request's id
  bool ShouldSkipPrefill(std::uint64_t aHash, TimePoint aNow) const;

private:
  DecayingAverage m_wait; ///< seconds
};

// --------------------------------------------------------------- requests

/// Where one request stands, for the choice of its next step.
struct RequestProgress
{
  bool m_mayRepeat{ false };
  std::uint32_t m_maxAttempts{ 1 };
  std::uint32_t m_runs{ 0 };     ///< attempts that ran or may have run
  std::uint32_t m_refusals{ 0 }; ///< attempts that certainly did not run
  bool m_answerBegun{ false };   ///< the caller has a part of an answer
  bool m_canResume{ false };     ///< what has begun can go on elsewhere
  bool m_hasFailure{ false };    ///< an upstream's own failure can be given
  std::chrono::milliseconds m_timeLeft{ 0 };
};

/// What is done after an attempt that did not give a whole answer.
enum class NextStep
{
  TryAgain,      ///< at another upstream, if the budget allows it
  Refuse,        ///< not run: the caller may ask again
  AnswerUnknown, ///< the request may have run
  AnswerTimeout, ///< no time is left; the request may have run
  AbortAnswer,   ///< break the answer off
  PassOn,        ///< give the upstream's own answer
};
std::string_view
ToString(NextStep aStep);

/// The one place that decides how a request goes on after aEnd.
NextStep
DecideNextStep(const RequestProgress& aProgress, AttemptEnd aEnd);

/// What a request's end may say when nothing more is tried.
NextStep
DecideEnd(const RequestProgress& aProgress);

/// Limits the share of requests that are sent more than once, over all VMs.
struct RetryBudgetOptions
{
  double m_ratio{ 0.2 }; ///< extra sends per request of a service
  double m_slack{ 10 };  ///< further extra sends, over all VMs
  std::chrono::milliseconds m_window{ 10'000 };
};

/// One VM's part of a service's retry budget.
class RetryBudget
{
public:
  /// @param aStart  start of this process: what an earlier one has sent isn't
  ///                known, so the slack is withheld for one window
  RetryBudget(const RetryBudgetOptions& aOptions, TimePoint aStart)
    : m_options(aOptions)
    , m_slackFrom(aStart + aOptions.m_window)
  {
  }
  void OnRequest(TimePoint aNow);
  /// Returns whether one more extra send is allowed, and counts it.
  /// @param aVms  VMs that share the budget, at least 1
  bool Take(std::size_t aVms, TimePoint aNow);

private:
  void Expire(TimePoint aNow);

  RetryBudgetOptions m_options;
  TimePoint m_slackFrom;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_extra;
};

// ------------------------------------------------------------ admission

/// A request that waits for memory of an engine.
struct WaitingRequest
{
  std::uint64_t m_id{ 0 };
  TimePoint m_onTimeUntil; ///< served from now until then, it is on time
  TimePoint m_giveUpAt;    ///< served later, its caller has left
};

/// The order in which requests of one service get engines' memory. Requests
/// that can still be on time go first, the oldest of them before the others;
/// the late ones get what is left. It answers a load above the engines' memory
/// for some seconds, in which serving strictly in turn would make all late.
class EngineMemoryQueue
{
public:
  void Add(const WaitingRequest& aRequest);
  void Remove(std::uint64_t aId);
  /// Returns the request whose turn it is, if any waits.
  std::optional<std::uint64_t> Next(TimePoint aNow) const;
  /// Removes and returns the requests whose time is over.
  std::vector<std::uint64_t> TakeExpired(TimePoint aNow);
  /// Returns whether a new request has to wait behind others.
  bool HasTimely(TimePoint aNow) const;
  bool IsEmpty() const { return m_waiting.empty(); }
  std::size_t Size() const { return m_waiting.size(); }

private:
  std::vector<WaitingRequest> m_waiting; ///< by m_onTimeUntil
};

// -------------------------------------------------------------- directory

/// One published item. Its value is not understood here.
struct DirectoryItem
{
  std::string m_key;
  std::string m_value; ///< any bytes; empty if removed
  std::uint64_t m_revision{ 0 };
  bool m_removed{ false };
};

/// What one VM tells another of the items below a prefix.
struct DirectoryDelta
{
  bool m_isSnapshot{ false }; ///< holds every item; others are gone
  std::uint64_t m_upToRevision{ 0 };
  std::vector<DirectoryItem> m_items;
};

/// The published items below one prefix, newest revision of each. Revisions
/// only go up, whoever tells them.
class Directory
{
public:
  /// Takes aDelta over and returns the items that changed something.
  std::vector<DirectoryItem> Apply(const DirectoryDelta& aDelta,
                                   TimePoint aNow);
  /// Returns what has changed after aRevision, or everything if that isn't
  /// remembered.
  DirectoryDelta Since(std::uint64_t aRevision) const;
  /// Every change up to this revision is known.
  std::uint64_t Revision() const { return m_upToRevision; }

private:
  bool Take(const DirectoryItem& aItem, TimePoint aNow);
  void ForgetRemovals(TimePoint aNow);

  struct Removal
  {
    std::uint64_t m_revision;
    TimePoint m_at;
  };

  std::map<std::string, DirectoryItem> m_items;
  std::map<std::string, Removal> m_removals;
  std::uint64_t m_upToRevision{ 0 };
  /// Removals up to this revision may be forgotten.
  std::uint64_t m_forgottenUpTo{ 0 };
};

// ------------------------------------------------------------------ peers

/// VMs that this VM has heard of, by peer address.
class PeerList
{
public:
  /// @param aSelf   this VM's peer address
  /// @param aSeeds  addresses to begin with; they may be out of date
  PeerList(std::string aSelf, const std::vector<std::string>& aSeeds);

  void AddSeed(const std::string& aAddress);
  /// A peer answered or called.
  void OnContact(const std::string& aAddress, TimePoint aNow);
  /// Another VM heard of aAddress aAge ago.
  void OnContactReported(const std::string& aAddress,
                         Duration aAge,
                         TimePoint aNow);
  void OnUnreachable(const std::string& aAddress, TimePoint aNow);
  /// Returns the peer to talk to next; empty if there is none.
  std::string Next(RandomI& aRandom, TimePoint aNow);
  /// Returns the VMs heard of recently, this one included.
  std::size_t LiveCount(TimePoint aNow) const;
  /// Returns peers with the age of the last word of each.
  std::vector<std::pair<std::string, Duration>> ContactAges(
    TimePoint aNow) const;

private:
  struct Peer
  {
    std::optional<TimePoint> m_heard;
    TimePoint m_quietUntil{}; ///< not talked to before
    bool m_seed{ false };
  };

  std::string m_self;
  std::map<std::string, Peer> m_peers;
};

} // namespace shallotford

#endif // SHALLOTFORD_ROUTE_H
