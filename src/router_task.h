#ifndef SHALLOTFORD_SRC_ROUTER_TASK_H
#define SHALLOTFORD_SRC_ROUTER_TASK_H

/// The router's implementation: it owns the listeners for callers, peers and
/// operators, the requests, and this VM's state of configuration, upstreams and
/// other VMs. It runs on one event loop.

#include "daemon_peer.h"
#include "router_keys.h"
#include "router_request.h"
#include "shallotford/rpc.h"

namespace shallotford {

/// Returns the smallest number of VMs that is assumed, whether or not other VMs
/// are known.
std::size_t
MinAssumedVms(const Location& aLocation);

class RouterTask
  : public RouterI
  , private CallerHandlerI
  , private DirectoryListenerI
{
public:
  RouterTask(const RouterOptions& aOptions, const RouterParts& aParts);
  ~RouterTask() override;

  void Start() override;
  void Drain(std::function<void()> aOnDrained, TimePoint aAskedAt) override;
  void Reload(const RouterOptions& aOptions) override;
  std::uint16_t CallerPort() const override { return m_callers->Port(); }
  std::uint16_t PeerPort() const override { return m_peerServer->Port(); }
  std::uint16_t OperatorPort() const override
  {
    return m_operatorServer->Port();
  }

private:
  /// Takes the requests that other VMs pass on.
  struct RelayHandler : CallerHandlerI
  {
    explicit RelayHandler(RouterTask& aTask)
      : m_task(aTask)
    {
    }
    void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override
    {
      m_task.Accept(aExchange, aRequest, true);
    }
    void OnBadRequest(const Error& aError) override
    {
      m_task.OnBadRequest(aError);
    }
    void OnClose(CloseCause aCause) override { m_task.OnClose(aCause); }
    void OnDropped(CloseCause aCause, std::size_t aBytes) override
    {
      m_task.OnDropped(aCause, aBytes);
    }
    void OnIntake(IntakeAct aAct) override { m_task.OnIntake(aAct); }
    CallerLimits Limits() const override;
    bool IsLeaving() const override { return m_task.m_leaving; }
    RouterTask& m_task;
  };

  /// Hands requests of the port for peers or for operators to a function.
  struct Handler : HttpHandlerI
  {
    explicit Handler(
      std::function<void(HttpExchangeI&, const HttpRequest&)> aFunction)
      : m_function(std::move(aFunction))
    {
    }
    void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                   HttpRequest aRequest) override
    {
      m_function(*aExchange, aRequest);
    }
    std::function<void(HttpExchangeI&, const HttpRequest&)> m_function;
  };

  /// Opens all listeners.
  /// @throws Error (InvalidConfig) if it cannot listen
  void Listen();

  // Callers.
  void OnHead(const RequestHead& aHead) override;
  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override;
  void OnBadRequest(const Error& aError) override;
  void OnClose(CloseCause aCause) override;
  void OnDropped(CloseCause aCause, std::size_t aBytes) override;
  void OnIntake(IntakeAct aAct) override;
  CallerLimits Limits() const override;
  bool IsLeaving() const override { return m_leaving; }
  /// @param aRelayed  another VM has passed the request on
  void Accept(const CallerExchangePtr& aExchange,
              CallerRequest& aRequest,
              bool aRelayed);
  void StartRequest(const CallerExchangePtr& aExchange,
                    CallerRequest& aRequest,
                    const std::optional<RelayFacts>& aRelayed);
  /// @throws Error (NotReady) if this VM can't serve the request
  void CheckRelayed(const RelayFacts& aFacts) const;
  /// Destroys a request after its current event.
  /// @param aKey  the request, set once it is created
  void RemoveLater(const std::shared_ptr<RoutedRequest*>& aKey);
  /// @throws Error (ShuttingDown) if the request would not end in time
  void RefuseWhileLeaving(const Route& aRoute,
                          const RequestFacts& aFacts) const;
  void LogRejected(const RequestHead& aHead, const Error& aError);
  void CountRejected(const Error& aError);
  /// Returns a request's id, or "" if its fields are malformed.
  std::string IdOf(const RequestHead& aHead) const;
  void Reject(CallerExchangeI& aExchange,
              const CallerRequest& aRequest,
              const Error& aError);

  // Published configuration and upstreams. aFrom is the origin in the log:
  // "source" or "peer".
  void OnDelta(const DirectoryDelta& aDelta) override;
  void OnProven(BootTime aCallBegan) override;
  void OnSourceUp() override;
  void OnSourceDown(const std::string& aReason) override;
  void ApplyDelta(const DirectoryDelta& aDelta, std::string_view aFrom);
  /// Applies and logs an era that begins with aDelta.
  void BeginEra(const DirectoryDelta& aDelta, std::string_view aFrom);
  /// The directory's source answers.
  void OnSourceContact();
  /// @param aEra  in which the item was published
  void ApplyItem(const DirectoryItem& aItem,
                 std::uint64_t aEra,
                 std::string_view aFrom);
  void ApplyRouting(const RoutingPtr& aRouting, std::string_view aFrom);
  void ApplyUpstream(const UpstreamEntry& aEntry, std::string_view aFrom);

  // Other VMs.
  void Gossip();
  /// Exchanges gossip with aPeer.
  /// @param aDone  called first at the end
  void CallPeer(const std::string& aPeer, std::function<void()> aDone);
  /// Asks the source, and further peers, which configuration is the newest.
  void SeekProof();
  Json::Value GossipRequest();
  Json::Value OnGossip(const Json::Value& aParams);
  /// Adds the configuration in force to a reply if the source has lost it and
  /// the calling VM has an older one.
  void AddLostRouting(const Json::Value& aParams, Json::Value& aReply) const;
  void OnGossipReply(const std::string& aPeer,
                     const PeerResult& aResult,
                     BootTime aCallBegan);
  /// Takes over the proof of a peer whose changes are all known here.
  void TakePeerProof(const Json::Value& aReply, BootTime aCallBegan);
  /// @throws std::exception if a field is malformed; no item is applied then
  void ApplyPeerReply(const std::string& aPeer, const Json::Value& aReply);
  void MergePeers(const Json::Value& aPeers);
  /// Adds what this VM offers to VMs that are cut off.
  void AddRelayOffer(Json::Value& aMessage) const;
  void MergeRelayOffer(const std::string& aVm, const Json::Value& aOffer);
  /// Reads the digest of crashes in a message; ignores a malformed one.
  void MergeCrashes(const Json::Value& aMessage);

  // Operators.
  void OnOperator(HttpExchangeI& aExchange, const HttpRequest& aRequest);
  bool IsReady() const;
  void SetGauges();

  // Engines' roles at the first start of all VMs.
  void SetRoles();
  /// Returns whether this VM gives orders to engines. Only the VM with the
  /// lowest of the seed addresses does.
  bool GivesOrders() const;
  void OrderRoles(const RoutedService& aService);

  // Periodic work.
  void Tick();
  /// Returns how long the process was paused, or the machine suspended, since
  /// the last Tick().
  Duration PauseSinceTick() const;
  /// Closes idle connections if the process was paused or the machine
  /// suspended.
  void DetectPause();
  void LogReadiness();
  void CheckDrained();

  RouterOptions m_options;
  LoopI& m_loop;
  DirectorySourceI& m_source;
  const DirectoryDecoderI& m_decoder;
  const DialectI& m_dialect;
  LogI& m_log;
  RandomI& m_random;

  Metrics m_metrics;
  ConnectionPool m_pool;
  UpstreamTable m_upstreams;
  Admission m_admission;
  RelayTable m_relays;
  EngineCalls m_engineCalls;
  RouterShared m_shared;
  Directory m_directory;
  RouteTable m_routes;
  KeyGate m_keys;
  DirectoryItem m_routingItem;     ///< the configuration in force
  std::uint64_t m_routingEra{ 0 }; ///< the last era in which it was published
  PeerList m_peers;
  HttpPeer m_peerCalls;
  StreamOrigins m_origins;
  StreamVersions m_versions;
  CrashReports m_crashes;
  UpstreamPermits m_permits;
  OrganisationGrants m_grants;
  RpcServer m_rpc;
  std::shared_ptr<Intake> m_intake; ///< of callers and other VMs' requests
  std::map<IntakeAct, TimePoint> m_intakeLoggedAt;
  RelayHandler m_relayHandler{ *this };
  std::unique_ptr<CallerListener> m_relayListener;
  Handler m_peerHandler;
  Handler m_operatorHandler;
  std::unique_ptr<HttpServerI> m_peerServer;
  std::unique_ptr<HttpServerI> m_operatorServer;
  std::unique_ptr<HttpServerI> m_metricsServer;

  std::set<UpstreamKey> m_orderedEngines; ///< engines with a role order
  bool m_sourceUp{ false };
  TimePoint m_sourceContactAt{}; ///< last answer of the directory's source
  bool m_gossiping{ false };
  std::size_t m_proofCalls{ 0 }; ///< to peers, under way
  bool m_refreshing{ false };    ///< a SeekProof() at the source is under way
  TimePoint m_nextRefresh{};     ///< the earliest time for another one
  bool m_ready{ false };
  TimersI::TimerId m_tickTimer{ 0 };
  TimePoint m_lastTick{};
  TimePoint m_lastGossip{};
  Duration m_suspended{}; ///< total time that this machine was suspended

  bool m_leaving{ false };
  TimePoint m_leavingSince{};
  std::function<void()> m_onDrained;

  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
  std::map<RoutedRequest*, std::unique_ptr<RoutedRequest>> m_requests;
  std::unique_ptr<CallerListener> m_callers;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_TASK_H
