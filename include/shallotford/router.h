#ifndef SHALLOTFORD_ROUTER_H
#define SHALLOTFORD_ROUTER_H

/// The routing task: callers' connections, upstream connections, and the
/// requests between them, passed on byte for byte. What surrounds it (where
/// configuration and upstreams are published, and in which header fields
/// requests describe themselves) is behind DirectorySourceI and DialectI.

#include "shallotford/http1.h"
#include "shallotford/route.h"

namespace shallotford {

// ---------------------------------------------------------------- dialect

/// What a request says of itself beside its method, target and body.
struct RequestFacts
{
  std::string m_id; ///< unique for each attempt of a caller
  std::optional<std::chrono::milliseconds> m_deadline; ///< that it will wait
  std::uint32_t m_promptTokens{ 0 }; ///< 0 unless it is for a model
  std::uint32_t m_outputTokens{ 0 }; ///< at most
};

/// What is added to a request for one upstream.
struct Dispatch
{
  std::chrono::milliseconds m_timeLeft{ 0 };
  std::string m_upstreamId; ///< only this upstream may run it
  bool m_prefillOnly{ false };
  std::string m_prefillAddress; ///< where the KV cache is fetched from
  std::string m_prefillHandle;
  std::string m_reservation; ///< of the engine's memory
  std::string m_lastEventId; ///< id of the last event that the caller has
};

/// A call at an engine beside the requests.
struct EngineCall
{
  std::string m_method;
  std::string m_target;
  HttpHeaders m_fields; ///< without framing
  std::string m_body;
};

/// An order to an engine to change its role.
struct RoleOrder
{
  EngineStage m_role{ EngineStage::Decode };
  std::string m_holder;       ///< the VM that gives it
  std::uint64_t m_fence{ 0 }; ///< a higher one goes before a lower one
};

/// What an upstream's answer says of itself.
struct AnswerFacts
{
  std::string m_requestId;     ///< of the request that it answers
  bool m_isSigned{ false };    ///< bears the mark of an upstream that ran it
  bool m_notExecuted{ false }; ///< the upstream did not run the request
  bool m_replaced{ false };    ///< another upstream has the address
  std::optional<UpstreamLoad> m_load;
};

/// Translates between the router and the header fields of its surroundings.
class DialectI
{
public:
  virtual ~DialectI() = default;
  /// @throws Error (InvalidRequest) naming the field that is wrong
  virtual RequestFacts ReadRequest(const RequestHead& aHead) const = 0;
  /// Returns the fields that are passed on, without the connection's own and
  /// without framing.
  virtual HttpHeaders FieldsForUpstream(const RequestHead& aHead,
                                        const Dispatch& aDispatch) const = 0;
  virtual AnswerFacts ReadAnswer(const AnswerHead& aHead) const = 0;
  /// Returns the handle in a prefill's answer.
  /// @throws Error (UpstreamFailed) if it has none
  virtual std::string ReadPrefill(const std::string& aBody) const = 0;
  /// Reserves memory of an engine, and a place in its batch.
  virtual EngineCall ReserveCall(const UpstreamEntry& aEngine,
                                 std::uint32_t aTokens,
                                 std::chrono::milliseconds aLifetime) const = 0;
  /// Returns the id of a reservation.
  /// @throws Error (UpstreamFailed) if the answer has none
  virtual std::string ReadReservation(const std::string& aBody) const = 0;
  virtual EngineCall ReleaseCall(const UpstreamEntry& aEngine,
                                 const std::string& aReservation) const = 0;
  /// Orders an engine to change its role.
  virtual EngineCall RoleCall(const UpstreamEntry& aEngine,
                              const RoleOrder& aOrder) const = 0;
};

// -------------------------------------------------------------- directory

/// Receives what a directory source reads.
class DirectoryListenerI
{
public:
  virtual ~DirectoryListenerI() = default;
  virtual void OnDelta(const DirectoryDelta& aDelta) = 0;
  /// The source answers again.
  virtual void OnSourceUp() = 0;
  /// @param aReason  such as "status 503" or "no answer in 2500 ms"
  virtual void OnSourceDown(const std::string& aReason) = 0;
};

/// Reads and watches what is published. Never writes.
class DirectorySourceI
{
public:
  virtual ~DirectorySourceI() = default;
  /// Begins to read; events come on the loop's thread.
  virtual void Start(DirectoryListenerI& aListener) = 0;
  /// Another VM told all changes up to aRevision.
  virtual void SkipTo(std::uint64_t aRevision) = 0;
};

/// What one published item means.
struct DecodedItem
{
  RoutingPtr m_routing;                    ///< a configuration, or nullptr
  std::optional<UpstreamEntry> m_upstream; ///< an upstream
  std::string m_upstreamId;                ///< set for an upstream's key
};

class DirectoryDecoderI
{
public:
  virtual ~DirectoryDecoderI() = default;
  /// @throws Error (InvalidConfig) naming the field that is wrong
  virtual DecodedItem Decode(const DirectoryItem& aItem) const = 0;
};

// ------------------------------------------------------------------- task

struct RouterOptions
{
  std::string m_callerAddress;   ///< "IP:PORT" for callers
  std::string m_peerAddress;     ///< "IP:PORT" for other VMs
  std::string m_operatorAddress; ///< "IP:PORT" for readiness and metrics
  std::string m_metricsAddress;  ///< the same at a second address; may be empty
  std::vector<std::string> m_seeds; ///< peer addresses to begin with
  Location m_location;
  RetryBudgetOptions m_retryBudget;
  std::size_t m_maxConnections{ 2048 };
  /// From the stop signal to the process's end, at most.
  std::chrono::milliseconds m_drainTime{ 8'000 };
  /// The whole system starts for the first time.
  bool m_firstStart{ false };
  /// By which engines' roles are set then; zeros leave them as they are.
  RequestShape m_typicalRequest;
};

class RouterI
{
public:
  virtual ~RouterI() = default;
  /// Opens the listeners and begins to read the directory.
  /// @throws Error (InvalidConfig) if it cannot listen
  virtual void Start() = 0;
  /// Begins the planned stop; aOnDrained is called when nothing is left.
  virtual void Drain(std::function<void()> aOnDrained) = 0;
  /// Takes settings over that may change while it runs: the seeds.
  virtual void Reload(const RouterOptions& aOptions) = 0;
  virtual std::uint16_t CallerPort() const = 0;
  virtual std::uint16_t PeerPort() const = 0;
  virtual std::uint16_t OperatorPort() const = 0;
};

/// What a router works with; all must outlive it.
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
