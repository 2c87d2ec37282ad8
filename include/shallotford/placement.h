#ifndef SHALLOTFORD_PLACEMENT_H
#define SHALLOTFORD_PLACEMENT_H

/// Decisions on where and when a model request runs: facts about engines,
/// joint choice of prefill and decode engine, admission, caller limits and
/// goodput. Everything here is pure: time is passed in, and one task owns each
/// object.

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

/// Names a prompt prefix of k * 2,000 tokens.
using PrefixKey = std::uint64_t;

/// Returns the key of a prefix fingerprint as engines publish it.
PrefixKey
MakePrefixKey(std::string_view aFingerprint);

/// One lagging load report of an engine.
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
  /// The queue counts whole prompts, with what the prefix cache will save.
  bool m_queueCountsCached{ true };
  std::chrono::milliseconds m_age{ 0 }; ///< time since the engine measured it
};

/// A change in an engine's prefix cache; events are late and have gaps.
struct CacheEvent
{
  bool m_stored{ true }; ///< false: evicted
  PrefixKey m_prefix{};
  std::uint32_t m_tokens{};
};

struct Placement;
struct PlacementRequest;

/// Names one piece of own work in an EngineTable.
using WorkId = std::uint64_t;

/// Steps of own work, in order; skipping some is allowed.
enum class WorkStep
{
  Placed,       ///< nothing sent yet
  Prefilling,   ///< the prefill call was sent
  Prefilled,    ///< the prefill call was answered; the export is alive
  Transferring, ///< the pull was sent
  Decoding,     ///< the stream was started
  Ended,        ///< nothing is held at any engine any more
};

/// Why an engine didn't take own work.
enum class RefusalReason
{
  Memory,
  Batch,
  Leaving,
  Model,
  Role,
  Other,
};
/// Reads an engine's "reason"; unknown text gives Other.
RefusalReason
ParseRefusalReason(std::string_view aText);

/// What is known of one engine. Filled by EngineTable, read by placers.
struct EngineFacts
{
  std::string m_address;
  std::uint32_t m_region{}; ///< index into the table's regions
  std::string m_model;      ///< wanted by the text
  EngineRole m_role{ EngineRole::Decode };
  std::uint32_t m_batchLimit{ 20 };
  std::uint32_t m_kvPieces{ 200 };
  bool m_listed{ true }; ///< in the fleet text in force
  bool m_up{ true };     ///< answers
  bool m_leaving{ false };
  bool m_modelReady{ true };  ///< reports the role and model of the text
  TimePoint m_backAt{};       ///< when it last came up; epoch: always up
  TimePoint m_backOffUntil{}; ///< refused our work; no new work before

  TimePoint m_reportedAt{}; ///< when the engine measured m_report
  bool m_hasReport{ false };
  LoadReport m_report;

  // Own work that is open.
  std::uint32_t m_ownPrefills{ 0 };
  std::uint64_t m_ownPrefillTokens{ 0 };
  std::uint32_t m_ownDecodes{ 0 }; ///< placed or running
  std::uint32_t m_ownPieces{ 0 };  ///< of those

  // Corrections of the report by own work since it was measured.
  std::uint32_t m_newDecodes{ 0 };
  std::uint32_t m_newPieces{ 0 };
  std::uint32_t m_endedDecodes{ 0 };
  std::uint32_t m_endedPieces{ 0 };
  std::uint32_t m_refusedPieces{ 0 }; ///< didn't fit at m_refusedAt; 0: none
  TimePoint m_refusedAt{};
  double m_queueTokens{ 0 }; ///< estimate at m_queueAt
  TimePoint m_queueAt{};
  double m_undrainedTokens{ 0 }; ///< reported, and own work since
  double m_tokensPerSecond{ 1 }; ///< of prefill

  /// Whether new work may be placed here at all.
  bool Usable(TimePoint aNow) const
  {
    return m_listed && m_up && !m_leaving && m_modelReady &&
           aNow >= m_backOffUntil;
  }
};

/// A candidate's cached prefix of one request.
struct CachedPrefix
{
  std::uint32_t m_engine{};
  std::uint32_t m_tokens{};
};

/// Facts about all engines of a fleet text, as one VM knows them: lagging
/// reports corrected by its own work since.
class EngineTable
{
public:
  EngineTable();
  ~EngineTable();
  EngineTable(const EngineTable&) = delete;
  EngineTable& operator=(const EngineTable&) = delete;

  /// Takes a fleet text in force. Facts of engines that stay are kept.
  void SetFleet(TimePoint aNow, const FleetText& aFleet);
  /// Tells how many VMs place work, this one included (at least 1).
  void SetVmCount(std::uint32_t aCount);

  // Events; addresses that aren't in the table are ignored.
  void OnLoadReport(TimePoint aNow,
                    const std::string& aEngine,
                    const LoadReport& aReport);
  /// Tells whether the engine answers. Coming up starts its slow start.
  void OnHealth(TimePoint aNow, const std::string& aEngine, bool aUp);
  void OnLeaving(TimePoint aNow, const std::string& aEngine, bool aLeaving);
  void OnCacheEvent(TimePoint aNow,
                    const std::string& aEngine,
                    const CacheEvent& aEvent);
  /// Events of this engine were lost: its hints are aged.
  void OnCacheGap(TimePoint aNow, const std::string& aEngine);

  // Own work.
  /// Notes work that was just placed.
  WorkId OnPlaced(TimePoint aNow,
                  const PlacementRequest& aRequest,
                  const Placement& aPlacement);
  /// The decode engine granted the import.
  void OnClaimed(TimePoint aNow, WorkId aWork);
  void OnStep(TimePoint aNow, WorkId aWork, WorkStep aStep);
  /// The prefill was answered. @param aCachedTokens as the engine says
  void OnPrefilled(TimePoint aNow, WorkId aWork, std::uint32_t aCachedTokens);
  /// The work's decode engine was replaced, before the transfer.
  void OnDecodeMoved(TimePoint aNow, WorkId aWork, const std::string& aEngine);
  /// Everything of this work is over or cancelled, whatever the outcome.
  void OnEnded(TimePoint aNow, WorkId aWork);
  /// The decode engine refused the import of this work.
  void OnClaimRefused(TimePoint aNow, WorkId aWork, RefusalReason aReason);
  /// An engine refused work: it isn't asked again for a moment.
  void OnRefused(TimePoint aNow,
                 const std::string& aEngine,
                 RefusalReason aReason);

  // Reading.
  const std::vector<EngineFacts>& Engines() const { return m_engines; }
  /// Stands for an engine or region that isn't in the table.
  static constexpr std::uint32_t kNoEngine =
    std::numeric_limits<std::uint32_t>::max();
  std::uint32_t Find(const std::string& aEngine) const; ///< its index
  /// Engines of a service in a role, by index.
  const std::vector<std::uint32_t>& Pool(std::string_view aService,
                                         EngineRole aRole) const;
  std::uint32_t RegionIndex(std::string_view aRegion) const;
  std::uint32_t Regions() const;
  /// Returns the link between two regions, or nullptr.
  const LinkEntry* Link(std::uint32_t aFrom, std::uint32_t aTo) const;
  /// Transfers that this VM has running between two regions.
  std::uint32_t OwnTransfers(std::uint32_t aFrom, std::uint32_t aTo) const;
  std::uint32_t VmCount() const { return m_vmCount; }

  /// Predicted tokens waiting before a new prefill starts, without what other
  /// VMs may have sent since the report.
  double QueueTokens(TimePoint aNow, std::uint32_t aEngine) const;
  /// Work that the other VMs place on a model's prefill engines, in tokens per
  /// second, taking them for VMs like this one.
  double OthersTokensPerSecond(TimePoint aNow, const std::string& aModel) const;
  /// Predicted requests in the engine's decode batch.
  double Running(TimePoint aNow, std::uint32_t aEngine) const;
  /// Predicted free decode memory, in pieces; may be negative.
  double FreePieces(TimePoint aNow, std::uint32_t aEngine) const;
  /// Share of its capacity that an engine which came back may use, in (0, 1].
  double SlowStart(TimePoint aNow, std::uint32_t aEngine) const;
  /// Engines believed to hold a prefix of these keys, longest first.
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
  TimePoint m_receivedAt{}; ///< the first-token target counts from here
  TimePoint m_deadline{ TimePoint::max() };
  std::string m_homeRegion;            ///< of this VM
  std::vector<std::string> m_excluded; ///< engines tried before
  /// Whether an engine may run this request (suspects); empty: all may.
  std::function<bool(const std::string&)> m_allowed;
  /// Place even if the targets can't be met: a retry or a continued stream.
  bool m_mustRun{ false };
};

/// A pair that was weighed, for operators.
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
  std::chrono::microseconds m_queue{ 0 };
  std::chrono::microseconds m_prefill{ 0 };
  std::chrono::microseconds m_transfer{ 0 };
  std::chrono::microseconds m_decodeWait{ 0 };
  std::chrono::microseconds m_firstToken{ 0 }; ///< predicted, from now
  std::uint32_t m_cachedTokens{ 0 };           ///< predicted
  std::uint64_t m_crossRegionBytes{ 0 };
  /// How this request claims: the service's policy, but ClaimFirst in place of
  /// AtPredictedEnd where decode memory is tight.
  ClaimPolicy m_claim{ ClaimPolicy::AtPredictedEnd };
  /// Open the import after this time, or when the prefill ends if that is
  /// earlier. Zero: at once. PrefillFirst: not before the prefill's end.
  std::chrono::microseconds m_claimDelay{ 0 };
  double m_cost{ 0 };
  std::vector<Alternative> m_alternatives; ///< best first, bounded
};

/// No placement; the request was not run.
struct PlacementRefusal
{
  ErrorKind m_kind{ ErrorKind::Overloaded }; ///< or NoUpstream
  std::string m_reason;
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// The targets may still be met if it is placed again within a moment: keep
  /// it waiting. False: give up now, and answer at once.
  bool m_mayWait{ false };
};

/// Paces a broken stream that has to be prefilled again: sets when it counts
/// as received and whether it must run, so that many broken streams at a time
/// leave room for new requests. If it is refused all the same, place it again
/// after kResumeRetryDelay; it is never answered as refused.
/// @param aBrokenAt  when the stream broke
/// @param aSpread    any number of the stream's own, to spread the last resort
void
PaceResume(TimePoint aNow,
           TimePoint aBrokenAt,
           std::uint64_t aSpread,
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
  /// Chooses another decode engine for a request whose prefill was already
  /// sent, after an import was refused.
  virtual PlacementResult PlaceDecode(TimePoint aNow,
                                      const PlacementRequest& aRequest,
                                      const std::string& aPrefillEngine,
                                      const EngineTable& aTable,
                                      RandomI& aRandom) = 0;
};

/// Names that MakePlacer knows; the first is the default.
const std::vector<std::string>&
PlacerNames();

/// @throws Error (InvalidConfig) if the name is unknown
std::unique_ptr<PlacerI>
MakePlacer(std::string_view aName);

// -------------------------------------------------------------- admission

/// Returns the token cost of a request, in tokens of prefill work.
double
TokenCost(std::uint32_t aPromptTokens, std::uint32_t aMaxOutputTokens);

/// Figures of one caller's demand on one VM, carried by gossip.
struct CallerDemand
{
  std::string m_caller;
  double m_tokensPerSecond{ 0 };
};

/// Token buckets per caller, split over the VMs by recent demand.
class CallerLimits
{
public:
  explicit CallerLimits(std::string aVm);

  void SetCallers(TimePoint aNow, const std::vector<CallerEntry>& aCallers);
  /// Live VMs by address; demand of others is forgotten.
  void SetVms(TimePoint aNow, const std::vector<std::string>& aVms);
  /// Demand figures of another VM, as gossip brought them.
  void OnPeerDemand(TimePoint aNow,
                    const std::string& aVm,
                    const std::vector<CallerDemand>& aDemand);
  /// Demand of all other VMs together, as gossip's averages estimate it; goes
  /// before the figures of single VMs while it is fresh.
  void OnOthersDemand(TimePoint aNow, const std::vector<CallerDemand>& aDemand);
  /// Counts the request as demand, and takes its cost if the caller's share
  /// here allows it. Returns zero if taken, else when to come back.
  std::chrono::milliseconds Take(TimePoint aNow,
                                 const std::string& aCaller,
                                 double aCost);
  /// Gives back what a request that was never run had taken.
  void GiveBack(const std::string& aCaller, double aCost);
  /// This VM's recent demand, to be gossiped.
  std::vector<CallerDemand> Demand(TimePoint aNow) const;
  /// Share of a caller's limit that this VM may grant, in [0, 1].
  double Share(TimePoint aNow, const std::string& aCaller) const;

private:
  struct PeerDemand
  {
    double m_tokensPerSecond{ 0 };
    TimePoint m_at{};
  };
  struct Bucket
  {
    double m_rate{ 0 };   ///< tokens per second over the fleet; 0: no limit
    double m_burst{ 0 };  ///< tokens over the fleet
    double m_level{ 0 };  ///< tokens here
    double m_demand{ 0 }; ///< decaying sum of tokens asked for here
    TimePoint m_at{};     ///< of m_level and m_demand
    std::map<std::string, PeerDemand> m_peers;
    std::optional<PeerDemand> m_others; ///< sum of all other VMs, if told
  };
  double OwnDemand(TimePoint aNow, const Bucket& aBucket) const;
  double PeerDemandOf(TimePoint aNow,
                      const Bucket& aBucket,
                      const std::string& aVm,
                      TimePoint aListedAt,
                      double aTypical) const;
  double ShareOf(TimePoint aNow, const Bucket& aBucket) const;
  void Refill(TimePoint aNow, Bucket& aBucket) const;

  std::string m_vm;
  std::map<std::string, TimePoint> m_vms;   ///< others, with when first listed
  std::map<std::string, TimePoint> m_heard; ///< when demand last came
  std::map<std::string, Bucket> m_buckets;
};

/// A request that waits for its turn.
struct QueuedRequest
{
  std::uint64_t m_id{}; ///< the daemon's own, unique among those waiting
  std::string m_caller;
  double m_cost{ 0 }; ///< TokenCost
  std::int32_t m_priority{ 0 };
  TimePoint m_giveUpAt{}; ///< it is refused at this time
};

struct AdmissionOptions
{
  std::size_t m_maxWaiting{ 1024 };         ///< requests
  std::size_t m_maxWaitingPerCaller{ 256 }; ///< requests
  double m_quantum{ 8'000 };                ///< tokens per round at share 1
};

/// Fair queue among callers by token cost: higher priorities first, with a
/// small guaranteed share for lower ones; deficit round robin among the callers
/// of a priority; earliest time to give up first inside a caller.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionOptions aOptions = {});

  void SetCallers(const std::vector<CallerEntry>& aCallers);
  /// Queues a request. Returns a refusal if the queue is full.
  std::optional<PlacementRefusal> Push(TimePoint aNow,
                                       const QueuedRequest& aRequest);
  /// Takes the next request out, if any; expired ones are never returned.
  std::optional<QueuedRequest> Pop(TimePoint aNow);
  /// Puts a popped request back in front of its caller's others.
  void PutBack(const QueuedRequest& aRequest);
  /// Removes a request whose caller went away. Returns whether it waited.
  bool Remove(std::uint64_t aId);
  /// Takes out the requests whose time to give up has come.
  std::vector<QueuedRequest> Expire(TimePoint aNow);
  /// Returns the earliest time to give up, or TimePoint::max().
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
  /// The callers that wait at one priority.
  struct Level
  {
    std::map<std::string, Flow> m_flows;
    std::deque<std::string> m_round; ///< callers in turn
    double m_credit{ 0 }; ///< tokens earned while higher ones were served
  };
  struct Where
  {
    std::int32_t m_priority{};
    std::string m_caller;
    TimePoint m_giveUpAt{};
  };
  using Levels = std::map<std::int32_t, Level, std::greater<>>;

  void Insert(const QueuedRequest& aRequest, bool aRefund);
  Levels::iterator ChooseLevel();
  QueuedRequest TakeFrom(Level& aLevel);
  /// Takes a request out of its flow, wherever it is.
  std::optional<QueuedRequest> Extract(std::uint64_t aId);
  double ShareOf(const std::string& aCaller) const;

  AdmissionOptions m_options;
  std::map<std::string, double> m_shares;
  Levels m_levels;
  std::unordered_map<std::uint64_t, Where> m_byId;
  std::multimap<TimePoint, std::uint64_t> m_expiry;
  std::vector<QueuedRequest> m_expired; ///< met by Pop, not yet told
  double m_cost{ 0 };
};

// ---------------------------------------------------------------- goodput

/// How one request ended, for the meter.
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
  std::uint64_t m_prefillTokens{ 0 }; ///< computed by engines for us
  std::uint64_t m_wastedTokens{ 0 };  ///< of those, result never used
  std::uint64_t m_crossRegionBytes{ 0 };
};

/// Counts goodput, wasted prefill and cross-region bytes.
class GoodputMeter
{
public:
  /// Whether an answer met both of its targets.
  static bool MeetsTargets(const RequestSample& aSample);
  void OnEnded(const RequestSample& aSample);
  /// A prefill is over. @param aUsed whether its export reached a decode engine
  void OnPrefill(std::uint32_t aComputedTokens, bool aUsed);
  void OnTransfer(std::uint64_t aBytes, bool aCrossRegion);
  const GoodputFigures& Figures() const { return m_figures; }

private:
  GoodputFigures m_figures;
};

} // namespace shallotford

#endif // SHALLOTFORD_PLACEMENT_H
