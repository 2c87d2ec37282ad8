#ifndef SHALLOTFORD_ROUTE_H
#define SHALLOTFORD_ROUTE_H

/// Decisions of the HTTP router: which upstream serves a request, and what
/// follows an attempt that failed. Also the state that these need: the
/// published routes and the health of upstreams. Pure: time is passed in, and
/// there are no sockets, threads or logs.

#include "shallotford/capacity.h"
#include "shallotford/organisation.h"

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

/// How often a route's requests may run.
enum class RouteKind
{
  Repeatable, ///< may run more than once
  RunOnce,    ///< may run at most once
  Stream,     ///< answered by a stream of events; repeatable only if resumable
};
std::string_view
ToString(RouteKind aKind);

/// A service that serves a part of a route's requests.
struct RouteTarget
{
  std::string m_service;
  double m_weight{ 1.0 }; ///< relative to the route's other targets

  bool operator==(const RouteTarget&) const = default;
};

struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; ///< begins and ends with a slash
  RouteKind m_kind{ RouteKind::RunOnce };
  bool m_resumable{ false }; ///< another upstream may continue a broken stream
  std::chrono::milliseconds m_timeout{ 30'000 };
  std::chrono::milliseconds m_latencyTarget{ 1'000 };
  /// Time after which callers give up on a stream without a first event.
  std::chrono::milliseconds m_callerTimeout{ 10'000 };
  std::uint32_t m_maxAttempts{ 1 }; ///< upstreams that may run one request
  std::int32_t m_priority{ 0 };     ///< 0 is the most urgent
  bool m_public{ false };           ///< needs no key of an organisation
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
  /// Maximum lifetime of an unused reservation of engine memory; 0 if engines
  /// take no reservations.
  std::chrono::milliseconds m_reservationLifetime{ 0 };
  std::uint32_t m_engineSlots{ 0 };  ///< requests that one engine runs at once
  std::uint32_t m_engineTokens{ 0 }; ///< tokens that one engine's memory holds
  std::uint32_t m_tokensPerEvent{ 0 }; ///< of a stream; 0 if it isn't known
  /// Time for which an engine is unavailable while it changes its role; 0 if it
  /// can't change it.
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

/// One version of the routing configuration that operators publish. Immutable.
struct RoutingConfig
{
  std::uint64_t m_version{ 0 };
  std::vector<Route> m_routes;
  std::map<std::string, RoutedService> m_services;
  CallerLimits m_limits;
  std::vector<Organisation> m_organisations;
  /// It names the organisations, though there may be none.
  bool m_hasOrganisations{ false };

  /// Returns whether requests on routes that aren't public need a key of an
  /// organisation.
  bool NeedsKeys() const
  {
    return m_hasOrganisations || !m_organisations.empty();
  }
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
  /// Routes by host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_byHost;
};

/// Returns the services whose requests may differ in urgency, by the priorities
/// of their routes and of organisations.
std::set<std::string>
ServicesWithUrgencies(const RoutingConfig& aConfig);

/// When routes of streams last got other services or weights.
class RouteMoves
{
public:
  /// A configuration replaces another one.
  void Record(const RoutingConfig& aBefore,
              const RoutingConfig& aAfter,
              TimePoint aNow);
  /// @return nothing if it did not within kOriginLifetime, as far as known
  std::optional<TimePoint> MovedAt(const Route& aRoute) const;
  void Expire(TimePoint aNow);

private:
  std::map<std::string, TimePoint> m_movedAt; ///< by host and path prefix
};

/// Returns the service that gets a request, by the weights of the route's
/// targets. It is the same for every attempt of a request.
/// @param aHash  of the request's id
const std::string&
ChooseTarget(const Route& aRoute, std::uint64_t aHash);

// -------------------------------------------------------------- upstreams

enum class EngineStage
{
  None, ///< neither a prefill engine nor a decode engine
  Prefill,
  Decode,
};

std::string_view
ToString(EngineStage aStage);

/// Identifies one incarnation of an upstream: a restart changes the id or the
/// start time.
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
  std::uint64_t m_sequence{ 0 }; ///< of its reports; a lower number is older
  /// Version of its software, not of the model's weights. Output of different
  /// versions can't be joined.
  std::string m_softwareVersion;
};

/// Returns whether an upstream gets new streams: it is no prefill engine and
/// isn't draining.
bool
BeginsStreams(const UpstreamEntry& aEntry);

/// Returns how many requests an upstream is expected to serve at once without
/// delay, by its entry.
double
Concurrency(const UpstreamEntry& aEntry);

/// Load that an upstream reported with an answer.
struct UpstreamLoad
{
  std::uint32_t m_running{ 0 };
  std::uint32_t m_waiting{ 0 };
  std::uint32_t m_slots{ 0 };
  /// How long work takes there at this moment, against what is usual; 1 if the
  /// upstream doesn't tell it.
  double m_slowness{ 1 };
  bool m_tellsSlowness{ false };
};

/// Location of this VM, used to prefer near upstreams.
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

/// Returns the cost of a distance, in units of a fully used upstream.
double
DistanceCost(Distance aDistance);

/// How an attempt at an upstream ended.
enum class AttemptEnd
{
  Answered,     ///< a complete answer, whatever its status
  Failed,       ///< a complete answer that reports the upstream's own failure
  NotConnected, ///< nothing was sent, mostly for want of a connection
  Refused,      ///< the upstream says that it did not run the request
  Replaced,     ///< another upstream has the address; the request did not run
  Broken,       ///< the connection or the answer ended early; may have run
  TimedOut,     ///< no answer in the time allowed; may have run
  Abandoned,    ///< given up for a reason other than the upstream
};
std::string_view
ToString(AttemptEnd aEnd);

/// A moving average that decays to 0 while no values are added.
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

/// Health of one upstream, from the outcomes of this VM's requests and from
/// the loads that the upstream reports. An unhealthy upstream is ejected: for
/// a while it gets requests only if no other is left, then a single one as a
/// trial.
class UpstreamHealth
{
public:
  UpstreamHealth();
  void OnStart(TimePoint aNow);
  /// @param aSentAt  start of the attempt that has ended
  void OnEnd(AttemptEnd aEnd, TimePoint aSentAt, TimePoint aNow);
  void OnLoad(const UpstreamLoad& aLoad, TimePoint aNow);
  /// Returns whether requests may go to the upstream: it is not ejected, or is
  /// due for a trial request.
  bool IsUsable(TimePoint aNow) const;
  bool IsEjected() const { return m_ejections > 0; }
  /// This VM's requests in flight at the upstream.
  std::uint32_t InFlight() const { return m_inFlight; }
  /// Returns the requests at the upstream divided by aConcurrency. It counts
  /// this VM's requests or those of a recent load report, whichever are more.
  double Utilisation(double aConcurrency, TimePoint aNow) const;
  /// Share of recent requests that failed, 0 to 1; decays with time.
  double FailureShare(TimePoint aNow) const { return m_failures.At(aNow); }
  bool RefusedRecently(TimePoint aNow) const;
  /// The upstream no longer had the result of a prefill when it was fetched.
  void OnHandleLost(TimePoint aNow) { m_failures.Add(1, aNow); }
  /// A request sent at aSentAt has had no response for a long time. This counts
  /// against the upstream only if it has answered no other request since.
  /// @return whether it was ejected
  bool OnNoResponse(TimePoint aSentAt, TimePoint aNow);
  /// Returns whether it has answered or refused a request since aTime.
  bool HasAnsweredSince(TimePoint aTime) const
  {
    return (m_answeredAt && *m_answeredAt > aTime) ||
           (m_refusedAt && *m_refusedAt > aTime);
  }
  /// This VM's links were cut, so that past failures say nothing of the
  /// upstream.
  void ForgetFailures();
  /// Time from which a trial request may be sent; valid while IsEjected().
  TimePoint EjectedUntil() const { return m_ejectedUntil; }

private:
  void Eject(TimePoint aNow);

  std::uint32_t m_inFlight{ 0 };
  std::uint32_t m_consecutiveBreaks{ 0 };
  std::uint32_t m_ejections{ 0 }; ///< consecutive
  TimePoint m_ejectedUntil{};
  DecayingAverage m_failures; ///< 1 for each failure, 0 for other answers
  std::optional<TimePoint> m_refusedAt;
  std::optional<TimePoint> m_answeredAt;
  UpstreamLoad m_load;
  std::optional<TimePoint> m_loadAt;
};

/// An upstream with its health and the reservations of its memory.
struct Upstream
{
  UpstreamEntry m_entry;
  UpstreamHealth m_health;
  UpstreamPace m_pace;
  double m_loggedSlowness{ 1 }; ///< in the last log line on its pace
  /// This VM's reservations of its memory that no request uses yet.
  std::uint32_t m_reserved{ 0 };
  /// Set when its entry has been removed: until then, requests use it only if
  /// no other upstream is usable.
  std::optional<TimePoint> m_expiresAt;
  /// No request is sent to it before this time.
  TimePoint m_heldUntil{};

  /// Returns whether requests may be sent to it, by what is known of its entry
  /// and of its leaving. Each path that sends asks this last, as it may have
  /// waited since the upstream was chosen.
  bool TakesRequests(TimePoint aNow) const
  {
    return !m_entry.m_draining && aNow >= m_heldUntil;
  }
};
using UpstreamPtr = std::shared_ptr<Upstream>;

/// Criteria for the upstream of a request's next attempt.
struct PickRequest
{
  std::string m_service;
  EngineStage m_stage{ EngineStage::None };
  /// Failure domain from which distance is measured; this VM's if empty.
  std::string m_fromDomain;
  std::set<UpstreamKey> m_excluded;
  std::uint64_t m_salt{ 0 }; ///< varies the choice among equals
  /// Only upstreams of this software version; any if not set.
  std::optional<std::string> m_softwareVersion;
};

/// All known upstreams, by incarnation.
class UpstreamTable
{
public:
  explicit UpstreamTable(Location aLocation,
                         AdaptiveChoice aAdaptive = AdaptiveChoice::Never)
    : m_location(std::move(aLocation))
    , m_adaptive(aAdaptive)
  {
  }

  /// Adds or updates an upstream, unless a newer entry with its id is known.
  /// A draining upstream never becomes ready again, even after its removal.
  void Put(const UpstreamEntry& aEntry);
  /// The source has gone back in time and holds the removed entry of aId again.
  /// Until the entry has outlasted the lease of an upstream that is gone, its
  /// upstream gets no requests.
  /// @param aHeartbeat  period of upstreams' heartbeats
  void OnRelisted(const std::string& aId,
                  std::chrono::milliseconds aHeartbeat,
                  TimePoint aNow);
  /// An answer of the upstream says that it leaves.
  /// @return whether that is news
  bool OnLeaving(const UpstreamKey& aKey);
  /// The source answers after an outage, or has gone back in time: it may have
  /// lost entries of upstreams that still run.
  void OnSourceDisturbed(TimePoint aNow);
  /// Removes an upstream that has left or whose address another one has.
  void Remove(const UpstreamKey& aKey);
  /// The entry of aId was removed. Its upstream stays in the table for a while,
  /// for requests that find no other usable one. It stays longer if many
  /// entries of its service are removed just after OnSourceDisturbed().
  void OnEntryRemoved(const std::string& aId, TimePoint aNow);
  /// Removes upstreams that have been without an entry for too long, and
  /// records which software versions are known. Called regularly.
  /// @return the keys of the removed upstreams
  std::vector<UpstreamKey> Expire(TimePoint aNow);
  /// Returns whether aService has a usable upstream that isn't draining.
  /// @param aSoftwareVersion  any version if not set
  bool IsReachable(const std::string& aService,
                   const std::optional<std::string>& aSoftwareVersion,
                   TimePoint aNow) const;
  UpstreamPtr Find(const UpstreamKey& aKey) const;
  /// An answer of the upstream names its load.
  void OnLoad(Upstream& aUpstream, const UpstreamLoad& aLoad, TimePoint aNow);
  /// An upstream has done work of a kind of its service.
  /// @param aKind   work of one kind takes a time that grows with aUnits
  /// @param aUnits  of work; 0 if they aren't known
  void OnWork(Upstream& aUpstream,
              const std::string& aKind,
              double aUnits,
              Duration aTook,
              TimePoint aNow);
  /// Chooses an upstream by distance, load, failures and, if it is adaptive,
  /// pace.
  /// @return nullptr if no ready upstream meets aRequest's criteria
  UpstreamPtr Pick(const PickRequest& aRequest, TimePoint aNow) const;
  /// Returns whether any upstream of aService that isn't draining is known.
  /// @param aSoftwareVersion  any version if not set
  bool Serves(const std::string& aService,
              const std::optional<std::string>& aSoftwareVersion) const;
  std::size_t Size() const { return m_upstreams.size(); }
  std::vector<UpstreamPtr> All() const;
  std::vector<UpstreamPtr> AllOf(const std::string& aService) const;

private:
  void Add(const UpstreamEntry& aEntry);
  void RemoveId(const std::string& aId);
  void RememberLeft(const UpstreamKey& aKey);
  bool IsCandidate(const Upstream& aUpstream,
                   const PickRequest& aRequest,
                   TimePoint aNow) const;
  double Cost(const Upstream& aUpstream,
              const PickRequest& aRequest,
              TimePoint aNow) const;
  /// Returns whether the choice among upstreams of aService weighs their pace.
  bool WeighsPace(const std::string& aService) const;
  /// Returns the expected completion of a request, in units of a usual one.
  static double CompletionCost(const Upstream& aUpstream, TimePoint aNow);

  Location m_location;
  AdaptiveChoice m_adaptive;
  std::set<std::string> m_tellingServices; ///< whose upstreams tell slowness
  std::map<std::string, ServicePace> m_servicePaces; ///< by kind of work
  std::map<UpstreamKey, UpstreamPtr> m_upstreams;
  /// Upstreams that were leaving and have been removed, oldest first.
  std::deque<UpstreamKey> m_left;
  /// Until then, removed entries may be ones that the source has lost.
  TimePoint m_lossUntil{};
};

// ------------------------------------------------------------------ roles

/// What one engine holds at once.
struct EngineCapacity
{
  std::uint32_t m_slots{ 1 };
  double m_memoryTokens{ 0 };
};

/// Mean size of requests.
struct RequestShape
{
  double m_promptTokens{ 0 };
  double m_outputTokens{ 0 };
};

/// Returns the share of all engine time that prefill takes, 0 to 1. It assumes
/// full decode engines, as under a load near the engines' limits: there the
/// split of engines between the roles determines the throughput.
double
PrefillShare(const EngineCapacity& aCapacity, const RequestShape& aShape);

/// Returns how many of aEngines should be prefill engines.
std::size_t
WantedPrefillEngines(std::size_t aEngines, double aPrefillShare);

/// Chooses the prefill engines of aService that should decode instead, from
/// the failure domains that have the largest surplus of them.
/// @param aChanging  prefill engines that were already ordered to decode
std::vector<UpstreamPtr>
ChooseForDecode(const std::vector<UpstreamPtr>& aUpstreams,
                const std::string& aService,
                double aPrefillShare,
                const std::set<UpstreamKey>& aChanging = {});

/// Estimates how long a service's prompts wait at prefill engines, from this
/// VM's requests. If the wait would make first tokens late, because prefill
/// engines were lost or in a burst, a part of the requests skips the prefill
/// engines: decode engines process their prompts, at half the speed.
class PrefillDelay
{
public:
  PrefillDelay();
  /// A prefill of aPromptTokens was answered, or given up, after aTook.
  void OnPrefill(double aPromptTokens, Duration aTook, TimePoint aNow);
  /// Returns the expected wait of a prompt; it decays with time.
  Duration ExpectedWait(TimePoint aNow) const;
  /// Returns the timeout of a prefill of aPromptTokens.
  std::chrono::milliseconds PrefillTimeout(double aPromptTokens,
                                           TimePoint aNow) const;
  /// Returns whether a decode engine should process a request's prompt.
  /// @param aHash  of the request's id
  bool ShouldSkipPrefill(std::uint64_t aHash, TimePoint aNow) const;

private:
  DecayingAverage m_wait; ///< seconds
};

// --------------------------------------------------------------- requests

/// Progress of one request, from which its next step is chosen.
struct RequestProgress
{
  bool m_mayRepeat{ false };
  std::uint32_t m_maxAttempts{ 1 };
  std::uint32_t m_runs{ 0 };     ///< attempts that ran or may have run
  std::uint32_t m_refusals{ 0 }; ///< attempts that certainly did not run
  bool m_answerBegun{ false }; ///< the caller has received a part of an answer
  bool m_canResume{ false };   ///< another upstream can continue the answer
  bool m_hasFailure{ false };  ///< an upstream's error answer can be passed on
  std::chrono::milliseconds m_timeLeft{ 0 };
};

/// Returns the time within which a request ends, unless it is exceptionally
/// slow: a stream takes its latency target and the time of its tokens, any
/// other request may take all of its time.
/// @param aDeadline      from its receipt
/// @param aOutputTokens  upper bound
Duration
ExpectedTime(const Route& aRoute,
             std::chrono::milliseconds aDeadline,
             std::uint32_t aOutputTokens);

/// How long the streams of each route took lately, which bounds what a VM that
/// is stopping may still accept.
class StreamTimes
{
public:
  /// A stream ended in order.
  /// @param aOutputTokens  upper bound, or 0 if it isn't known
  void OnEnd(const Route& aRoute,
             std::uint32_t aOutputTokens,
             Duration aTook,
             TimePoint aNow);
  /// Returns the time within which a request ends: ExpectedTime(), or more if
  /// streams took longer lately. A stream of unknown length takes as long as
  /// the longest one lately, or all of its time if there was none.
  Duration Expected(const Route& aRoute,
                    std::chrono::milliseconds aDeadline,
                    std::uint32_t aOutputTokens,
                    TimePoint aNow) const;

private:
  /// The longest streams of one span of time.
  struct Span
  {
    TimePoint m_from{};
    Duration m_longest{};
    double m_slowest{ 0 }; ///< longest time as a share of ExpectedTime()
  };
  struct Spans
  {
    Span m_current;
    Span m_before;
  };
  std::map<std::string, Spans> m_routes; ///< by name
};

/// How a request continues or ends after an attempt.
enum class NextStep
{
  TryAgain,      ///< at another upstream, if the budget allows it
  Refuse,        ///< the request did not run; the caller may retry
  AnswerUnknown, ///< the request may have run
  AnswerTimeout, ///< no time is left; the request may have run
  AbortAnswer,   ///< abort the answer that the caller is receiving
  PassOn,        ///< send the upstream's own answer to the caller
};
std::string_view
ToString(NextStep aStep);

/// Decides how a request continues after an attempt that ended with aEnd. No
/// other code decides this.
NextStep
DecideNextStep(const RequestProgress& aProgress, AttemptEnd aEnd);

/// Decides how a request ends when no further attempt is made.
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

} // namespace shallotford

#endif // SHALLOTFORD_ROUTE_H
