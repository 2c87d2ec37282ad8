#ifndef SHALLOTFORD_ROUTER_H
#define SHALLOTFORD_ROUTER_H

/// Public interface of the router: it accepts callers' HTTP requests, passes
/// each one to an upstream and passes the answer back byte for byte. The
/// deployment around it is hidden behind interfaces: DirectorySourceI reads the
/// published configuration and upstreams, DialectI reads and writes the header
/// fields that carry a request's metadata.

#include "shallotford/directory.h"
#include "shallotford/http1.h"
#include "shallotford/intake.h"
#include "shallotford/vms.h"

namespace shallotford {

// ---------------------------------------------------------------- dialect

/// Metadata of a request, read from its header fields.
struct RequestFacts
{
  std::string m_id; ///< unique for each attempt of a caller
  std::optional<std::chrono::milliseconds> m_deadline; ///< from its receipt
  std::uint32_t m_promptTokens{ 0 }; ///< 0 if it isn't for a model
  std::uint32_t m_outputTokens{ 0 }; ///< upper bound
  /// The caller's estimate of the output; right at the median, often far off.
  std::optional<std::uint32_t> m_outputHint;
  /// Ids of the prompt's parts, in order. Requests share parts, except the last
  /// one.
  std::vector<std::string> m_promptParts;
  bool m_resumes{ false }; ///< continues a stream that another request began
  /// Id of the attempt that brought that stream's first event; empty if the
  /// caller doesn't name it.
  std::string m_resumedId;
};

/// Metadata added to a request that is sent to one upstream.
struct Dispatch
{
  std::chrono::milliseconds m_timeLeft{ 0 };
  std::string m_upstreamId; ///< any other upstream refuses it; may be empty
  bool m_prefillOnly{ false };
  std::string m_prefillAddress; ///< address that the KV cache is fetched from
  std::string m_prefillHandle;
  std::string m_reservation; ///< id of reserved engine memory
  std::string m_lastEventId; ///< id of the last event that the caller has
  /// Set if the configuration has organisations: the caller's one, empty on a
  /// public route. No key is passed on then.
  std::optional<std::string> m_organisation;
  /// 0 is the most urgent; not set if the upstream has no use for it.
  std::optional<std::uint32_t> m_urgency;
};

/// A call to an engine's own API, such as a reservation.
struct EngineCall
{
  std::string m_method;
  std::string m_target;
  HttpHeaders m_fields; ///< without Content-Length and the like
  std::string m_body;
};

/// An order to an engine to change its role.
struct RoleOrder
{
  EngineStage m_role{ EngineStage::Decode };
  std::string m_holder;       ///< address of the VM that gives the order
  std::uint64_t m_fence{ 0 }; ///< engines ignore orders below the highest
};

/// Metadata of an upstream's answer, read from its header fields.
struct AnswerFacts
{
  std::string m_requestId;     ///< of the request that it answers
  bool m_isSigned{ false };    ///< signed by an upstream that ran the request
  bool m_notExecuted{ false }; ///< the upstream did not run the request
  bool m_replaced{ false };    ///< another upstream now has this address
  bool m_leaving{ false };     ///< the upstream is about to stop
  std::optional<UpstreamLoad> m_load;
  /// Requests a second that the upstream takes from all VMs together, if it
  /// names a limit.
  std::optional<double> m_limit;
  bool m_limitMalformed{ false }; ///< it names one that can't be read
};

/// Translates between the router's types and the header fields and engine API
/// of one deployment.
class DialectI
{
public:
  virtual ~DialectI() = default;
  /// @throws Error (InvalidRequest) naming the field that is wrong
  virtual RequestFacts ReadRequest(const RequestHead& aHead) const = 0;
  /// Returns the key that the caller presents; empty if there is none, more
  /// than one, or one that can't be valid.
  virtual std::string ReadKey(const RequestHead& aHead) const = 0;
  /// Returns the fields for the upstream, without those of the connection
  /// (such as Connection) and of the body's framing.
  virtual HttpHeaders FieldsForUpstream(const RequestHead& aHead,
                                        const Dispatch& aDispatch) const = 0;
  virtual AnswerFacts ReadAnswer(const AnswerHead& aHead) const = 0;
  /// Returns the handle in a prefill's answer.
  /// @throws Error (UpstreamFailed) if the answer has none
  virtual std::string ReadPrefill(const std::string& aBody) const = 0;
  /// Returns the call that reserves memory of an engine, and a place in its
  /// batch.
  virtual EngineCall ReserveCall(const UpstreamEntry& aEngine,
                                 std::uint32_t aTokens,
                                 std::chrono::milliseconds aLifetime) const = 0;
  /// Returns the id of the reservation in the answer to a ReserveCall().
  /// @throws Error (UpstreamFailed) if the answer has none
  virtual std::string ReadReservation(const std::string& aBody) const = 0;
  /// Returns the call that releases a reservation.
  virtual EngineCall ReleaseCall(const UpstreamEntry& aEngine,
                                 const std::string& aReservation) const = 0;
  /// Returns the call that orders an engine to change its role.
  virtual EngineCall RoleCall(const UpstreamEntry& aEngine,
                              const RoleOrder& aOrder) const = 0;
};

// -------------------------------------------------------------- directory

/// Returns the time since this machine's boot, suspensions included.
BootTime
BootNow();

/// Receives the published entries and their changes from a directory source.
class DirectoryListenerI
{
public:
  virtual ~DirectoryListenerI() = default;
  virtual void OnDelta(const DirectoryDelta& aDelta) = 0;
  /// All changes that were acknowledged before aCallBegan have been reported,
  /// none of which was left out.
  virtual void OnProven(BootTime /*aCallBegan*/) {}
  /// The source answers, for the first time or again.
  virtual void OnSourceUp() = 0;
  /// The source doesn't answer.
  /// @param aReason  such as "status 503" or "no answer in 2500 ms"
  virtual void OnSourceDown(const std::string& aReason) = 0;
};

/// Reads and watches the published configuration and upstreams. It never
/// writes.
class DirectorySourceI
{
public:
  virtual ~DirectorySourceI() = default;
  /// Begins to read; events come on the loop's thread.
  virtual void Start(DirectoryListenerI& aListener) = 0;
  /// Continues after aPosition; all changes up to it came from another VM.
  virtual void SkipTo(const DirectoryPosition& aPosition) = 0;
  /// Reads what has changed up to now; its events come before aDone.
  /// @param aDone  called once, unless the source is destroyed before: whether
  ///               the listener knows all changes before this call
  virtual void Refresh(std::function<void(bool aIsCurrent)> aDone) = 0;
  /// Reads the past changes that the source still has.
  /// @param aDone  called once, unless the source is destroyed before; gets
  ///               nothing if they can't be read
  virtual void ReadHistory(
    std::function<void(const std::optional<DirectoryHistory>&)> aDone) = 0;
};

/// The decoded value of one published item.
struct DecodedItem
{
  RoutingPtr m_routing;                    ///< set for a configuration
  std::optional<UpstreamEntry> m_upstream; ///< set for an upstream
  std::string m_upstreamId; ///< set for an upstream, also a removed one
};

/// Decodes published items.
class DirectoryDecoderI
{
public:
  virtual ~DirectoryDecoderI() = default;
  /// Returns whether items of aKey hold the configuration.
  virtual bool IsRouting(const std::string& aKey) const = 0;
  /// @throws Error (InvalidConfig) naming the field that is wrong
  virtual DecodedItem Decode(const DirectoryItem& aItem) const = 0;
};

// ------------------------------------------------------------------- task

struct RouterOptions
{
  std::string m_callerAddress;   ///< "IP:PORT" for callers
  std::string m_peerAddress;     ///< "IP:PORT" for other VMs
  std::string m_operatorAddress; ///< "IP:PORT" for readiness and metrics
  std::string m_metricsAddress;  ///< second address for them; may be empty
  /// "IP:PORT" for requests that other VMs pass on; may be empty.
  std::string m_relayAddress;
  std::vector<std::string> m_seeds; ///< addresses of the first known peers
  Location m_location;
  RetryBudgetOptions m_retryBudget;
  /// Connections of callers and of other VMs' requests together.
  std::size_t m_maxConnections{ 2048 };
  /// Bytes that their requests and answers may hold together.
  std::size_t m_maxIntake{ kDefaultIntakeBytes };
  /// The same for calls of other VMs and operators.
  std::size_t m_maxControlIntake{ kDefaultControlIntakeBytes };
  /// Longest time from the stop signal to the end of the process.
  std::chrono::milliseconds m_drainTime{ 8'000 };
  /// Time without an answer of the directory's source after which this VM asks
  /// its peers for changes.
  std::chrono::milliseconds m_sourceTimeout{ 1'500 };
  /// Time after its acknowledgement at which a withdrawn key must not work at
  /// any VM. VMs that can't know of a withdrawal refuse requests with keys; 0:
  /// they serve them.
  std::chrono::milliseconds m_revoke{ 0 };
  /// Time after its acknowledgement at which a change that is published must be
  /// in force.
  std::chrono::milliseconds m_changesWithin{ 2'500 };
  /// Period of the heartbeats that keep upstreams' entries.
  std::chrono::milliseconds m_heartbeat{ 1'200 };
  /// All VMs start for the first time.
  bool m_firstStart{ false };
  /// Request shape by which engines' roles are set at the first start; zeros
  /// leave the roles unchanged.
  RequestShape m_typicalRequest;
  /// For which services the choice of upstreams weighs their pace.
  AdaptiveChoice m_adaptive{ AdaptiveChoice::Told };
};

/// One VM's router.
class RouterI
{
public:
  virtual ~RouterI() = default;
  /// Opens the listeners and begins to read the directory.
  /// @throws Error (InvalidConfig) if it cannot listen
  virtual void Start() = 0;
  /// Begins the planned stop; aOnDrained is called once all requests and
  /// connections have ended or the drain time is over.
  /// @param aAskedAt  time from which the drain time counts; not later than now
  virtual void Drain(std::function<void()> aOnDrained,
                     TimePoint aAskedAt = TimePoint::max()) = 0;
  /// Applies the settings that may change while it runs: the seeds.
  virtual void Reload(const RouterOptions& aOptions) = 0;
  virtual std::uint16_t CallerPort() const = 0;
  virtual std::uint16_t PeerPort() const = 0;
  virtual std::uint16_t OperatorPort() const = 0;
};

/// Dependencies of a router; all must outlive it.
struct RouterParts
{
  LoopI& m_loop;
  DirectorySourceI& m_source;
  const DirectoryDecoderI& m_decoder;
  const DialectI& m_dialect;
  LogI& m_log;
  RandomI& m_random;
};

std::unique_ptr<RouterI>
MakeRouter(const RouterOptions& aOptions, const RouterParts& aParts);

} // namespace shallotford

#endif // SHALLOTFORD_ROUTER_H
