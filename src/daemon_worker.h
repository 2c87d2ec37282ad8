#ifndef SHALLOTFORD_SRC_DAEMON_WORKER_H
#define SHALLOTFORD_SRC_DAEMON_WORKER_H

/// The worker task: it owns the callers' socket, the calls to upstreams and
/// every decision about requests. All of it runs on one loop.

#include "daemon_callers.h"
#include "daemon_flow.h"
#include "daemon_messages.h"
#include "daemon_metrics.h"
#include "daemon_plain.h"
#include "daemon_suspects.h"

#include <deque>
#include <map>
#include <set>

namespace shallotford {

struct WorkerOptions
{
  Settings m_settings;
  VmIncarnation m_vm;
  std::string m_placer{ "joint" };
  TicketKey m_ticketKey{};
};

/// State that a worker shares with its filters.
struct WorkerState
{
  WorkerState(const WorkerOptions& aOptions,
              LoopI& aLoop,
              EngineI& aEngine,
              LogI& aLog,
              RandomI& aRandom,
              const ClockI& aClock);

  WorkerOptions m_options;
  LoopI& m_loop;
  EngineI& m_engine;
  LogI& m_log;
  RandomI& m_random;
  const ClockI& m_clock; ///< wall time; decisions use the loop's time

  FleetPtr m_fleet;               ///< in force; null until the first one
  std::vector<std::string> m_vms; ///< peer addresses on the VM list
  std::vector<TicketSuccession> m_successions;

  CallerDirectory m_callers;
  CallerLimits m_limits;
  AdmissionQueue m_queue;
  EngineTable m_table;
  PlainServerTable m_plain;
  std::unique_ptr<PlacerI> m_placer;
  RetryPolicy m_retries;
  Ledger m_ledger;
  TicketRegistry m_tickets;
  PoisonTracker m_poison;
  SuspectCoordination m_suspects;
  CancelQueue m_cancels;
  GoodputMeter m_goodput;
  Metrics m_metrics;
};

/// Runs flows: applies ledger events and carries out the ledger's actions.
class Worker : public HttpHandlerI
{
public:
  /// All references must outlive the worker.
  Worker(const WorkerOptions& aOptions,
         LoopI& aLoop,
         EngineI& aEngine,
         LogI& aLog,
         RandomI& aRandom,
         const ClockI& aClock);
  ~Worker() override;

  /// Opens the callers' port and starts the periodic work.
  void Start();
  /// Handles a message of the control task.
  void OnMessage(ControlMessage aMessage);
  /// Sets the function that receives messages to the control task.
  void SetControlSink(std::function<void(WorkerMessage)> aSink);

  void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                 HttpRequest aRequest) override;

  // For the filters.
  WorkerState& State() { return m_state; }
  TimePoint Now() const { return m_state.m_loop.Now(); }
  /// Applies a ledger event of a flow and carries out the resulting actions.
  void Apply(const FlowPtr& aFlow, LedgerEvent aEvent);
  /// Opens the ledger entry of a flow that passed the first filters.
  void Open(const FlowPtr& aFlow, RequestSpec aSpec);
  void Next(const FlowPtr& aFlow);
  /// Ends the flow's current attempt at this VM: cancels its calls and timers,
  /// reports the end of a suspect's granted run, and records in the engine
  /// table or the plain servers' table that the attempt's work ended.
  void DropAttempt(Flow& aFlow);
  /// Places waiting requests in fair order, until one finds no capacity.
  void Dispatch();
  /// Puts a flow back into the queue if capacity may become available in time.
  /// @returns false if the refusal is final
  bool WaitForCapacity(const FlowPtr& aFlow, const PlacementRefusal& aRefusal);
  /// Handles a failed connection to an engine: checks at once whether the
  /// engine crashed, since a crash concerns every request on it, and then
  /// applies aFailure.
  void CheckEngine(const std::string& aEngine,
                   const FlowPtr& aFlow,
                   ledger_event::AttemptFailed aFailure);
  /// Keeps call handles alive until the loop's next turn: a handle must not be
  /// destroyed inside its own callback.
  void Discard(std::vector<CallHandle> aCalls);
  void Discard(CallHandle aCall);
  /// Whether a service has a usable upstream; a model service needs one for
  /// each role.
  bool IsServiceUp(const std::string& aService) const;
  /// Certificates for calls to other VMs.
  TlsFiles PeerTls() const;
  /// Handles an upstream's own report of whether it is leaving.
  void ReportLeaving(const std::string& aUpstream, bool aLeaving);
  /// Sends a plain flow's answer and ends it.
  void Deliver(const FlowPtr& aFlow,
               int aStatus,
               const HttpHeaders& aHeaders,
               std::string_view aBody);
  /// Keeps a flow until the running call with the same ticket has its answer.
  void WaitForTicket(const FlowPtr& aFlow, const TicketRef& aTicket);
  /// Restarts the flows that waited for aTicket.
  void ReleaseTicketWaiters(const TicketRef& aTicket);
  /// Ends the live requests that are convicted of crashing engines.
  void EndConvicted();
  /// Refuses a flow with aError; none of it ran here.
  void Refuse(const FlowPtr& aFlow, const Error& aError);

private:
  void Route(const FlowPtr& aFlow);
  void Perform(LedgerActions aActions);
  void PerformOne(ledger_action::StartAttempt& aAction);
  void PerformOne(ledger_action::DeliverToken& aAction);
  void PerformOne(ledger_action::QueueCancel& aAction);
  void PerformOne(ledger_action::EndRequest& aAction);
  void BeginAttempt(const FlowPtr& aFlow);
  void Finish(const FlowPtr& aFlow, const ledger_action::EndRequest& aEnd);
  void Tick();
  void SendDueCancels();
  void PollEngines();
  void PollEngine(const std::string& aEngine);
  using Failures = std::vector<std::pair<FlowPtr, ledger_event::AttemptFailed>>;
  /// A check whether an engine crashed, and the failures that wait for its
  /// result.
  struct EngineCheck
  {
    CallHandle m_call;
    bool m_running{ false };
    std::uint32_t m_tries{ 0 };
    Failures m_failures;
  };
  void SendEngineCheck(const std::string& aEngine);
  bool RepeatEngineCheck(
    const std::string& aEngine,
    const EngineResult<std::vector<EngineHolding>>& aResult);
  void OnEngineChecked(const std::string& aEngine,
                       const EngineResult<std::vector<EngineHolding>>& aResult);
  void OnEngineDown(const std::string& aEngine);
  /// Reports a crash to the coordinator; the attempts fail after its answer.
  void OnEngineCrashed(const std::string& aEngine,
                       Failures aFailures,
                       bool aUnreachable);
  void OnCrashVerdict(const std::string& aEngine,
                      const CrashVerdict& aVerdict,
                      bool aUnreachable);
  void FailAttempts(const std::string& aEngine,
                    const Failures& aFailures,
                    bool aUnreachable);
  std::vector<std::string> BatchFingerprints(const std::string& aEngine) const;
  void OnLoadReport(const std::string& aEngine,
                    const EngineResult<LoadReport>& aResult);
  void PollCacheEvents(const std::string& aEngine);
  void AttachStream(const FlowPtr& aFlow);
  void WriteToken(Flow& aFlow, const ledger_action::DeliverToken& aToken);
  void WriteEnd(Flow& aFlow, const ledger_action::EndRequest& aEnd);
  void CountEnd(const Flow& aFlow, const ledger_action::EndRequest& aEnd);
  void RespondError(Flow& aFlow, const Error& aError);
  void SetEngines(const FleetText& aFleet);
  void ApplyCacheEvents(const std::string& aEngine,
                        std::uint64_t aCursor,
                        const EngineCacheEvents& aEvents);
  bool LostAllStreams(const std::string& aEngine,
                      const EngineResult<std::vector<EngineHolding>>& aResult);
  void SendCancel(const CancelCall& aCancel);
  void Enqueue(const FlowPtr& aFlow);
  void ExpireQueue();
  void RefuseQueued(const FlowPtr& aFlow, const PlacementRefusal& aRefusal);
  void BeginStream(Flow& aFlow, std::string& aOut);
  void PauseForSlowCaller(Flow& aFlow);
  void WriteAnswerEnd(Flow& aFlow, const ledger_action::EndRequest& aEnd);
  void SettleTicket(Flow& aFlow, const ledger_action::EndRequest& aEnd);
  void IssueTicket(const FlowPtr& aFlow);
  /// @throws Error (NotReady, ShuttingDown) if requests are not served now
  void CheckServing() const;
  void AnswerHealth(const FlowPtr& aFlow);
  WorkerSnapshot TakeSnapshot(const std::optional<RequestId>& aRequest) const;
  EngineSnapshot Describe(const EngineFacts& aEngine) const;
  void UpdateGauges();
  /// Sends this worker's figures to the control task, periodically.
  void Report();
  void AddLoads(WorkerReport& aReport) const;
  void Receive(FleetInForce& aMessage);
  void Receive(MembershipView& aMessage);
  void Receive(PeerUpdate& aMessage);
  void Receive(ForwardedCall& aMessage);
  void Receive(SnapshotQuery& aMessage);
  void Receive(OwnershipQuery& aMessage);
  void Receive(SuspectQuery& aMessage);
  void Receive(DrainCommand& aMessage);
  void Receive(TicketHandOver& aMessage);
  void Receive(TicketSuccessions& aMessage);
  void Receive(UpstreamLeaving& aMessage);
  void Receive(PlatformReady& aMessage);
  void CheckDrained();

  WorkerState m_state;
  Pipeline m_modelPipeline;
  Pipeline m_plainPipeline;
  std::unique_ptr<HttpServerI> m_server;
  std::map<RequestId, FlowPtr> m_flows;
  std::map<std::uint64_t, FlowPtr> m_waiting; ///< by admission queue id
  std::map<TicketRef, std::vector<FlowPtr>> m_ticketWaiters;
  std::deque<LedgerAction> m_actions;
  bool m_performing{ false };
  bool m_dispatching{ false };
  bool m_blocked{ false }; ///< the next waiting request found no capacity
  bool m_cancelsDue{ false };
  bool m_ready{ false };
  bool m_drained{ false };
  std::vector<std::string> m_engines; ///< addresses of the text in force
  std::size_t m_nextPoll{ 0 };
  std::map<std::string, CallHandle> m_polls; ///< load reports under way
  std::map<std::string, CallHandle> m_eventPolls;
  std::map<std::string, std::uint64_t> m_cacheCursor;
  std::map<std::string, std::uint32_t> m_failedPolls;
  std::map<std::string, EngineCheck> m_checks;
  std::map<std::string, Failures> m_crashes; ///< by engine; await a verdict
  std::set<std::string> m_leaving; ///< upstreams that reported it themselves
  std::uint64_t m_nextWaiting{ 1 };
  std::optional<TimePoint> m_drainingSince;
  std::uint64_t m_nextCancel{ 0 };
  std::map<std::uint64_t, CallHandle> m_cancelCalls;
  std::function<void(WorkerMessage)> m_controlSink;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_WORKER_H
