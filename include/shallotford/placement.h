#ifndef SHALLOTFORD_PLACEMENT_H
#define SHALLOTFORD_PLACEMENT_H

/// Placement of model requests: what is known of the inference engines, the
/// joint choice of a prefill and a decode engine, the admission queue, the rate
/// limits of callers, and the goodput counters. Nothing here does I/O or reads
/// a clock: time is passed in. Each object belongs to one task.
///
/// "Own work" is the requests that this VM placed, in contrast to those of
/// other VMs. Memory for KV caches is counted in pieces of 2,000 tokens.

#include "shallotford/fleet.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>

namespace shallotford {

// ---------------------------------------------------------------- engines

/// Identifies a prompt prefix of k * 2,000 tokens.
using PrefixKey = std::uint64_t;

/// Returns the key of a prefix fingerprint in the form that engines publish.
PrefixKey
MakePrefixKey(std::string_view aFingerprint);

/// A load report of an engine. It shows the engine as it was m_age ago.
struct LoadReport
{
  EngineRole m_role{ EngineRole::Decode };
  std::string m_model; ///< empty: no model loaded
  bool m_leaving{ false };
  std::uint32_t m_running{ 0 };
  std::uint32_t m_batchLimit{ 0 };
  std::uint32_t m_piecesTotal{ 0 };
  std::uint32_t m_piecesFree{ 0 };
  std::uint64_t m_prefillQueueTokens{ 0 };
  /// Whether m_prefillQueueTokens also counts tokens that the prefix cache
  /// holds and that will not be computed.
  bool m_queueCountsCached{ true };
  std::chrono::milliseconds m_age{ 0 }; ///< time since the engine measured it
};

/// A change in an engine's prefix cache. Events come late, and some are lost.
struct CacheEvent
{
  bool m_stored{ true }; ///< false: evicted
  PrefixKey m_prefix{};
  std::uint32_t m_tokens{};
};

struct Placement;
struct PlacementRequest;

/// Identifies one placed request in an EngineTable.
using WorkId = std::uint64_t;

/// Steps of a placed request, in order. Steps may be left out.
enum class WorkStep
{
  Placed,       ///< nothing has been sent yet
  Prefilling,   ///< the prefill call was sent
  Prefilled,    ///< the prefill call was answered; the engine holds the export
  Transferring, ///< the pull was sent
  Decoding,     ///< the stream was started
  Ended,        ///< no engine holds anything of the request
};

/// Why an engine refused a request of this VM.
enum class RefusalReason
{
  Memory,
  Batch,
  Leaving,
  Model,
  Role,
  Other,
};
/// Parses the "reason" of an engine's refusal. Unknown text gives Other.
RefusalReason
ParseRefusalReason(std::string_view aText);

/// What this VM knows of one engine. EngineTable fills it, placers read it.
struct EngineFacts
{
  std::string m_address;
  std::uint32_t m_region{}; ///< index into the table's regions
  std::string m_model;      ///< that the fleet text assigns
  EngineRole m_role{ EngineRole::Decode };
  std::uint32_t m_batchLimit{ 20 };
  std::uint32_t m_kvPieces{ 200 };
  bool m_listed{ true }; ///< in the fleet text in force
  bool m_up{ true };     ///< answers
  bool m_leaving{ false };
  bool m_modelReady{ true };  ///< reports the role and model of the text
  TimePoint m_upSince{};      ///< when it last came up; epoch: always up
  TimePoint m_backOffUntil{}; ///< no new work before, as it refused some

  TimePoint m_reportedAt{}; ///< when the engine measured m_report
  bool m_hasReport{ false };
  LoadReport m_report;

  // Own work that has not ended.
  std::uint32_t m_ownPrefills{ 0 };
  std::uint64_t m_ownPrefillTokens{ 0 };
  std::uint32_t m_ownDecodes{ 0 }; ///< placed or running
  std::uint32_t m_ownPieces{ 0 };  ///< decode memory of m_ownDecodes

  // Corrections of the report: own work placed or ended since it was measured.
  std::uint32_t m_newDecodes{ 0 };
  std::uint32_t m_newPieces{ 0 };
  std::uint32_t m_endedDecodes{ 0 };
  std::uint32_t m_endedPieces{ 0 };
  /// Fewest pieces that a claim did not get since the report was measured; 0
  /// if no claim was refused for lack of memory.
  std::uint32_t m_refusedPieces{ 0 };
  TimePoint m_refusedAt{};
  double m_queueTokens{ 0 }; ///< estimated prefill queue at m_queueAt
  TimePoint m_queueAt{};
  /// The reported queue plus own work placed since. Tokens that the engine
  /// computed since are not subtracted.
  double m_undrainedTokens{ 0 };
  double m_tokensPerSecond{ 1 }; ///< prefill speed

  /// Whether the engine may get new requests.
  bool Usable(TimePoint aNow) const
  {
    return m_listed && m_up && !m_leaving && m_modelReady &&
           aNow >= m_backOffUntil;
  }
};

/// The longest prefix of a request that an engine is believed to cache.
struct CachedPrefix
{
  std::uint32_t m_engine{}; ///< index in the EngineTable
  std::uint32_t m_tokens{};
};

/// What one VM knows of all engines of a fleet text: their load reports,
/// corrected by the requests that the VM placed or ended since.
class EngineTable
{
public:
  EngineTable();
  ~EngineTable();
  EngineTable(const EngineTable&) = delete;
  EngineTable& operator=(const EngineTable&) = delete;

  /// Applies the fleet text in force. Engines that stay keep their facts.
  void SetFleet(TimePoint aNow, const FleetText& aFleet);
  /// Sets the number of VMs that place requests, this one included; at least 1.
  void SetVmCount(std::uint32_t aCount);

  // Events. Addresses that are not in the table are ignored.
  void OnLoadReport(TimePoint aNow,
                    const std::string& aEngine,
                    const LoadReport& aReport);
  /// Sets whether the engine answers. When it comes up, its slow start begins.
  void OnHealth(TimePoint aNow, const std::string& aEngine, bool aUp);
  void OnLeaving(TimePoint aNow, const std::string& aEngine, bool aLeaving);
  void OnCacheEvent(TimePoint aNow,
                    const std::string& aEngine,
                    const CacheEvent& aEvent);
  /// Records that cache events of this engine were lost. Drops its prefix hints
  /// that are older than half their lifetime.
  void OnCacheGap(TimePoint aNow, const std::string& aEngine);

  // Own work.
  /// Adds a request that was just placed. Returns 0 if one of its engines is
  /// not in the table.
  WorkId OnPlaced(TimePoint aNow,
                  const PlacementRequest& aRequest,
                  const Placement& aPlacement);
  /// Records that the decode engine granted the import.
  void OnClaimed(TimePoint aNow, WorkId aWork);
  void OnStep(TimePoint aNow, WorkId aWork, WorkStep aStep);
  /// Records that the prefill was answered.
  /// @param aCachedTokens  prompt tokens that the engine had cached
  void OnPrefilled(TimePoint aNow, WorkId aWork, std::uint32_t aCachedTokens);
  /// Records that another decode engine was chosen, before the transfer.
  void OnDecodeMoved(TimePoint aNow, WorkId aWork, const std::string& aEngine);
  /// Removes the work: all its calls are over or cancelled.
  void OnEnded(TimePoint aNow, WorkId aWork);
  /// Records that the decode engine refused the import of this work.
  void OnClaimRefused(TimePoint aNow, WorkId aWork, RefusalReason aReason);
  /// Records a refusal. The engine gets no new work for kRefusalBackOff, or
  /// until its next report if it is leaving or has another model or role.
  void OnRefused(TimePoint aNow,
                 const std::string& aEngine,
                 RefusalReason aReason);

  // Queries.
  const std::vector<EngineFacts>& Engines() const { return m_engines; }
  /// Stands for an engine or region that isn't in the table.
  static constexpr std::uint32_t kNoEngine =
    std::numeric_limits<std::uint32_t>::max();
  /// Returns the index of an engine, or kNoEngine.
  std::uint32_t Find(const std::string& aEngine) const;
  /// Returns the indices of a service's engines in a role.
  const std::vector<std::uint32_t>& Pool(std::string_view aService,
                                         EngineRole aRole) const;
  std::uint32_t RegionIndex(std::string_view aRegion) const;
  std::uint32_t Regions() const;
  /// Returns the link between two regions, or nullptr.
  const LinkEntry* Link(std::uint32_t aFrom, std::uint32_t aTo) const;
  /// Returns the running KV transfers of this VM between two regions.
  std::uint32_t OwnTransfers(std::uint32_t aFrom, std::uint32_t aTo) const;
  std::uint32_t VmCount() const { return m_vmCount; }

  /// Predicts the prefill tokens ahead of a new request, without requests that
  /// other VMs may have sent since the report.
  double QueueTokens(TimePoint aNow, std::uint32_t aEngine) const;
  /// Estimates the work that the other VMs place on a model's prefill engines,
  /// in tokens per second, by assuming that each places as much as this one.
  double OthersTokensPerSecond(TimePoint aNow, const std::string& aModel) const;
  /// Predicts the number of requests in the engine's decode batch.
  double Running(TimePoint aNow, std::uint32_t aEngine) const;
  /// Predicts the free decode memory, in pieces. It may be negative.
  double FreePieces(TimePoint aNow, std::uint32_t aEngine) const;
  /// Returns the share of its usual requests that an engine takes after it came
  /// up, in (0, 1].
  double SlowStart(TimePoint aNow, std::uint32_t aEngine) const;
  /// Returns the engines that are believed to cache one of these prefixes, each
  /// with its longest, longest prefix first.
  std::vector<CachedPrefix> Cached(
    TimePoint aNow,
    const std::vector<PrefixKey>& aPrefixes) const;

private:
  struct Index;

  std::vector<EngineFacts> m_engines;
  std::uint32_t m_vmCount{ 1 };
  std::unique_ptr<Index> m_index;
};

// -------------------------------------------------------------- placement

/// One request to place. The service and model must outlive the call.
struct PlacementRequest
{
  const ServiceEntry* m_service{ nullptr };
  const ModelEntry* m_model{ nullptr };
  std::uint32_t m_promptTokens{ 0 };
  std::uint32_t m_maxOutputTokens{ 0 };
  /// Key of the first (i + 1) * 2,000 tokens, for each whole piece.
  std::vector<PrefixKey> m_prefixes;
  std::int32_t m_priority{ 0 };
  TimePoint m_receivedAt{}; ///< start of the first-token target
  TimePoint m_deadline{ TimePoint::max() };
  std::string m_homeRegion;            ///< of this VM
  std::vector<std::string> m_excluded; ///< engines of earlier attempts
  /// Tells whether an engine may run this request, which restricts suspects.
  /// If it is empty, every engine may.
  std::function<bool(const std::string&)> m_allowed;
  /// Place the request even if it misses its targets, as for a retry or a
  /// continued stream.
  bool m_mustRun{ false };
};

/// A pair of engines that was considered, shown to operators.
struct Alternative
{
  std::string m_prefillEngine;
  std::string m_decodeEngine;
  double m_cost{}; ///< predicted seconds plus penalties
};

/// Where and when a request runs.
struct Placement
{
  std::string m_prefillEngine;
  std::string m_decodeEngine;
  // Predicted times: the wait before the prefill, the prefill, the KV transfer,
  // and the wait for room at the decode engine.
  std::chrono::microseconds m_queue{ 0 };
  std::chrono::microseconds m_prefill{ 0 };
  std::chrono::microseconds m_transfer{ 0 };
  std::chrono::microseconds m_decodeWait{ 0 };
  std::chrono::microseconds m_firstToken{ 0 }; ///< predicted, from now
  std::uint32_t m_cachedTokens{ 0 };           ///< predicted
  std::uint64_t m_crossRegionBytes{ 0 };
  /// When this request claims decode memory: the service's policy, but
  /// ClaimFirst in place of AtPredictedEnd if decode memory is short.
  ClaimPolicy m_claim{ ClaimPolicy::AtPredictedEnd };
  /// Time until the import is opened; it is opened earlier if the prefill ends
  /// earlier. Zero means at once. With PrefillFirst the import is not opened
  /// before the prefill ends.
  std::chrono::microseconds m_claimDelay{ 0 };
  double m_cost{ 0 };
  std::vector<Alternative> m_alternatives; ///< best first, bounded
};

/// Why a request was not placed. It was not run.
struct PlacementRefusal
{
  /// Overloaded, NoUpstream or DeadlineExceeded.
  ErrorKind m_kind{ ErrorKind::Overloaded };
  std::string m_reason;
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// True if the request can still meet its targets once a decode engine has
  /// room, so that it may wait. False if it is to be answered at once.
  bool m_mayWait{ false };
};

/// Prepares the placement of a broken stream that has to be prefilled again.
/// Sets m_receivedAt and m_mustRun so that many streams that break together
/// leave room for new requests. If the request is refused, place it again after
/// kResumeRetryDelay; the refusal is not sent to the caller.
/// @param aBrokenAt   when the stream broke
/// @param aStreamKey  a number of this stream, which spreads over time when
///                    streams are placed although they miss their targets
void
PaceResume(TimePoint aNow,
           TimePoint aBrokenAt,
           std::uint64_t aStreamKey,
           PlacementRequest& aRequest);
constexpr std::chrono::milliseconds kResumeRetryDelay{ 50 };

using PlacementResult = std::variant<Placement, PlacementRefusal>;

/// Chooses engines for requests.
class PlacerI
{
public:
  virtual ~PlacerI() = default;
  /// Chooses the prefill and the decode engine together.
  virtual PlacementResult Place(TimePoint aNow,
                                const PlacementRequest& aRequest,
                                const EngineTable& aTable,
                                RandomI& aRandom) = 0;
  /// Chooses another decode engine, after an import was refused, for a request
  /// whose prefill was already sent.
  virtual PlacementResult PlaceDecode(TimePoint aNow,
                                      const PlacementRequest& aRequest,
                                      const std::string& aPrefillEngine,
                                      const EngineTable& aTable,
                                      RandomI& aRandom) = 0;
};

/// Returns the names that MakePlacer accepts. The first is the default.
const std::vector<std::string>&
PlacerNames();

/// @throws Error (InvalidConfig) if the name is unknown
std::unique_ptr<PlacerI>
MakePlacer(std::string_view aName);

// -------------------------------------------------------------- admission

/// Returns the token cost of a request, in tokens of prefill work.
double
TokenCost(std::uint32_t aPromptTokens, std::uint32_t aMaxOutputTokens);

/// One caller's demand on one VM, as VMs exchange it by gossip.
struct CallerDemand
{
  std::string m_caller;
  double m_tokensPerSecond{ 0 };
};

/// Rate limits of callers: one token bucket for each caller, whose rate and
/// burst are split over the VMs by their recent demand.
class CallerLimits
{
public:
  explicit CallerLimits(std::string aVm);

  void SetCallers(TimePoint aNow, const std::vector<CallerEntry>& aCallers);
  /// Sets the live VMs, by address, and drops the demand of all others.
  void SetVms(TimePoint aNow, const std::vector<std::string>& aVms);
  /// Stores the demand figures that another VM sent by gossip.
  void OnPeerDemand(TimePoint aNow,
                    const std::string& aVm,
                    const std::vector<CallerDemand>& aDemand);
  /// Stores the demand of all other VMs together, as estimated from the
  /// averages of gossip. While it is fresh, the figures of single VMs are not
  /// used.
  void OnOthersDemand(TimePoint aNow, const std::vector<CallerDemand>& aDemand);
  /// Counts the request as demand, and takes its cost from the bucket if the
  /// caller's share on this VM allows it. Returns zero if it was taken, else
  /// the time after which the caller may try again.
  std::chrono::milliseconds Take(TimePoint aNow,
                                 const std::string& aCaller,
                                 double aCost);
  /// Returns the cost of a request that was never run to the bucket.
  void GiveBack(const std::string& aCaller, double aCost);
  /// Returns this VM's recent demand, to be sent by gossip.
  std::vector<CallerDemand> Demand(TimePoint aNow) const;
  /// Returns the share of a caller's limit that this VM may grant, in [0, 1].
  double Share(TimePoint aNow, const std::string& aCaller) const;

private:
  struct PeerDemand
  {
    double m_tokensPerSecond{ 0 };
    TimePoint m_at{};
  };
  struct Bucket
  {
    double m_rate{ 0 };   ///< tokens per second of all VMs; 0: no limit
    double m_burst{ 0 };  ///< tokens of all VMs
    double m_level{ 0 };  ///< tokens left on this VM; negative: debt
    double m_demand{ 0 }; ///< decaying sum of tokens requested on this VM
    TimePoint m_at{};     ///< when m_level and m_demand were computed
    std::map<std::string, PeerDemand> m_peers; ///< by VM
    std::optional<PeerDemand> m_others;        ///< sum of all other VMs
  };
  double OwnDemand(TimePoint aNow, const Bucket& aBucket) const;
  double PeerDemandOf(TimePoint aNow,
                      const Bucket& aBucket,
                      const std::string& aVm,
                      TimePoint aListedAt,
                      double aMeanDemand) const;
  double ShareOf(TimePoint aNow, const Bucket& aBucket) const;
  void Refill(TimePoint aNow, Bucket& aBucket) const;

  std::string m_vm;
  std::map<std::string, TimePoint> m_vms; ///< other VMs, with first listing
  std::map<std::string, TimePoint> m_lastDemandAt; ///< by VM
  std::map<std::string, Bucket> m_buckets;         ///< by caller
};

/// A request in the admission queue.
struct QueuedRequest
{
  std::uint64_t m_id{}; ///< set by the daemon, unique in the queue
  std::string m_caller;
  double m_cost{ 0 }; ///< TokenCost
  std::int32_t m_priority{ 0 };
  TimePoint m_giveUpAt{}; ///< when it is refused if it still waits
};

struct AdmissionOptions
{
  std::size_t m_maxWaiting{ 1024 };         ///< requests
  std::size_t m_maxWaitingPerCaller{ 256 }; ///< requests
  double m_quantum{ 8'000 }; ///< tokens per round for a caller of share 1
};

/// Queue that is fair among callers by token cost. Higher priorities go first,
/// and lower ones keep a small guaranteed share. Callers of one priority share
/// by deficit round robin. Of one caller's requests, the one whose m_giveUpAt
/// is earliest goes first.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionOptions aOptions = {});

  void SetCallers(const std::vector<CallerEntry>& aCallers);
  /// Queues a request. Returns a refusal if the queue is full or m_giveUpAt has
  /// passed.
  std::optional<PlacementRefusal> Push(TimePoint aNow,
                                       const QueuedRequest& aRequest);
  /// Takes out the next request, if any. Never returns an expired one.
  std::optional<QueuedRequest> Pop(TimePoint aNow);
  /// Puts a popped request back, ahead of its caller's requests with a later
  /// m_giveUpAt, and refunds its cost to its caller. If the caller has no other
  /// request at this priority, it is also the next caller to be served there.
  void PutBack(const QueuedRequest& aRequest);
  /// Removes a request whose caller closed its connection. Returns whether it
  /// was queued.
  bool Remove(std::uint64_t aId);
  /// Takes out the requests whose m_giveUpAt has come.
  std::vector<QueuedRequest> Expire(TimePoint aNow);
  /// Returns the earliest m_giveUpAt, or TimePoint::max().
  TimePoint NextExpiry() const;
  std::size_t Waiting() const { return m_byId.size(); }
  double WaitingCost() const { return m_cost; }

private:
  /// One caller's waiting requests at one priority.
  struct Flow
  {
    double m_deficit{ 0 };                             ///< tokens
    std::multimap<TimePoint, QueuedRequest> m_waiting; ///< by m_giveUpAt
  };
  /// The callers that have waiting requests at one priority.
  struct Level
  {
    std::map<std::string, Flow> m_flows;
    std::deque<std::string> m_roundRobin; ///< callers, the next one first
    /// Tokens earned while higher priorities were served.
    double m_credit{ 0 };
  };
  /// Where a request is in m_levels.
  struct QueuePosition
  {
    std::int32_t m_priority{};
    std::string m_caller;
    TimePoint m_giveUpAt{};
  };
  using Levels = std::map<std::int32_t, Level, std::greater<>>;

  void Insert(const QueuedRequest& aRequest, bool aRefund);
  Levels::iterator ChooseLevel();
  QueuedRequest TakeFrom(Level& aLevel);
  /// Removes a request from its flow and from all indices.
  std::optional<QueuedRequest> Extract(std::uint64_t aId);
  double ShareOf(const std::string& aCaller) const;

  AdmissionOptions m_options;
  std::map<std::string, double> m_shares;
  Levels m_levels;
  std::unordered_map<std::uint64_t, QueuePosition> m_byId;
  std::multimap<TimePoint, std::uint64_t> m_expiry;
  std::vector<QueuedRequest> m_expired; ///< found by Pop, for Expire
  double m_cost{ 0 };
};

// ---------------------------------------------------------------- goodput

/// How one request ended, for GoodputMeter.
struct RequestSample
{
  bool m_answered{ false };
  Duration m_firstToken{}; ///< from receipt to the first token
  Duration m_decoding{};   ///< from the first token to the last
  std::uint32_t m_outputTokens{ 0 };
  LatencyTargets m_targets;
};

struct GoodputFigures
{
  std::uint64_t m_ended{ 0 };
  std::uint64_t m_answered{ 0 };
  std::uint64_t m_good{ 0 };          ///< met both targets
  std::uint64_t m_prefillTokens{ 0 }; ///< computed for requests of this VM
  std::uint64_t m_wastedTokens{ 0 };  ///< of those, with a result never used
  std::uint64_t m_crossRegionBytes{ 0 };
};

/// Counts requests that met their latency targets (goodput), wasted prefill
/// tokens and cross-region bytes.
class GoodputMeter
{
public:
  /// Returns whether an answer met its first-token and per-token targets.
  static bool MeetsTargets(const RequestSample& aSample);
  void OnEnded(const RequestSample& aSample);
  /// Counts a prefill that is over.
  /// @param aUsed  whether its export reached a decode engine
  void OnPrefill(std::uint32_t aComputedTokens, bool aUsed);
  void OnTransfer(std::uint64_t aBytes, bool aCrossRegion);
  const GoodputFigures& Figures() const { return m_figures; }

private:
  GoodputFigures m_figures;
};

} // namespace shallotford

#endif // SHALLOTFORD_PLACEMENT_H
