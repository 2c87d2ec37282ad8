#ifndef SHALLOTFORD_SRC_DAEMON_CONTROL_H
#define SHALLOTFORD_SRC_DAEMON_CONTROL_H

/// The control task of the daemon. It keeps the fleet text and the VM list up
/// to date, gossips with the other VMs, cancels streams that no request needs,
/// sends orders to engines, and serves peers and operators. It runs on a loop
/// of its own and exchanges messages with the worker task.

#include "daemon_engine.h"
#include "daemon_messages.h"
#include "daemon_peer.h"
#include "daemon_platform.h"
#include "shallotford/control.h"

#include <functional>
#include <memory>

namespace shallotford {

/// Kind of the rumor that tells which VM has taken over the used tickets of a
/// stopped incarnation.
inline constexpr const char* kRumorSuccession = "succession";

struct ControlOptions
{
  Settings m_settings;
  VmIncarnation m_vm;
  std::uint64_t m_bootOrder{ 0 }; ///< wall time at boot, seconds
};

/// State that the parts of the control task share.
struct ControlState
{
  ControlState(const ControlOptions& aOptions,
               LoopI& aLoop,
               EngineI& aEngine,
               PlatformI& aPlatform,
               PeerI& aPeer,
               LogI& aLog,
               RandomI& aRandom);

  TimePoint Now() const { return m_loop.Now(); }
  /// Records a change in the audit trail and in the log.
  void Audit(AuditKind aKind,
             const std::string& aSubject,
             const std::string& aChange,
             const std::string& aCause);
  /// Returns the revision of the fleet text in force, or 0 without one.
  std::uint64_t Revision() const;
  /// Spreads by gossip whether an upstream is leaving.
  /// @param aSeen  when this VM learned it; a later report replaces it
  void SpreadLeaving(const std::string& aUpstream,
                     bool aLeaving,
                     WallTime aSeen);

  ControlOptions m_options;
  LoopI& m_loop;
  EngineI& m_engine;
  PlatformI& m_platform;
  PeerI& m_peer;
  LogI& m_log;
  std::function<void(ControlMessage)> m_toWorker;

  RevisionStore m_revisionStore;
  ReadinessGate m_gate;
  Membership m_membership;
  LeavingUpstreams m_leaving;
  OrderGuard m_guard;
  AuditTrail m_audit;
  std::vector<TicketSuccession> m_successions;
  bool m_draining{ false };
};

/// Keeps the fleet text and the VM list up to date, from the platform and from
/// peers.
class ConfigSync
{
public:
  ConfigSync(ControlState& aState, RandomI& aRandom);
  void Start();
  /// Has the VM list read soon, since it may have changed.
  void OnHint();
  /// Fetches the fleet text that a peer offered in gossip, if it is newer.
  void OnOffer(const RevisionOffer& aOffer);
  /// Returns the result of the peers' call "fleet_text".
  Json::Value OnFleetText(const Json::Value& aParams) const;
  /// Returns the result of the peers' call "vm_list".
  Json::Value OnVmList(const Json::Value& aParams) const;
  /// Fetches a peer's VM list, which is newer than the one of this VM.
  /// @param aHave  version of this VM's list; 0 requests the whole list
  void FetchList(const std::string& aPeer, std::uint64_t aHave);
  /// Tells the worker if it changed whether this VM may serve.
  void CheckReady();

private:
  void Tick();
  void RequestFleet(std::chrono::milliseconds aWait);
  void RequestVms(std::chrono::milliseconds aWait);
  void RecordAnswer(PlatformSchedule& aSchedule,
                    std::chrono::milliseconds aWait,
                    PlatformAnswer aAnswer);
  void OnFleet(const PlatformFleet& aFleet);
  void OnVms(const std::vector<PlatformVm>& aVms);
  void SendListedLeaving(const std::set<std::string>& aLeaving);
  void UpdateReadinessPeers();
  void FetchText(const std::string& aPeer, const RevisionName& aHave);
  void RecordOutcome(const AcceptOutcome& aOutcome, const std::string& aSource);

  ControlState& m_state;
  WatchDuty m_duty;
  PlatformSchedule m_fleetSchedule;
  PlatformSchedule m_vmsSchedule;
  std::string m_fleetVersion;
  std::string m_vmsVersion;
  std::unique_ptr<HttpClientCallI> m_fleetCall;
  std::unique_ptr<HttpClientCallI> m_vmsCall;
  bool m_fleetAnswered{ false }; ///< since boot, by the platform
  bool m_fetching{ false };
  bool m_ready{ false };
};

/// Runs the gossip exchanges and passes on the changes that they bring.
class GossipTask
{
public:
  GossipTask(ControlState& aState, ConfigSync& aConfig);
  void Start();
  /// Returns the result of the peers' call "gossip".
  Json::Value OnCall(const Json::Value& aParams);
  /// Exchanges the worker's figures for the other VMs' figures.
  void OnReport(const WorkerReport& aReport);
  /// Spreads an upstream's own report, received by this VM's worker.
  void OnLeaving(const UpstreamLeavingReport& aSeen);

private:
  void Tick();
  void ProcessChanges();
  void HandleRumor(const Rumor& aRumor);
  void SendMembership();

  ControlState& m_state;
  ConfigSync& m_config;
  std::vector<std::string> m_sentLive; ///< live VMs as last sent to the worker
};

/// Cancels streams that engines hold but that belong to no live request, which
/// frees the engines' memory.
class SweepTask
{
public:
  explicit SweepTask(ControlState& aState);
  void Start();
  /// Answers the peers' call "owns" with a result from the worker.
  /// @param aReply  called later, on the control task's loop
  void OnOwns(const Json::Value& aParams,
              std::function<void(Json::Value)> aReply);

private:
  struct EngineSweep
  {
    std::unique_ptr<Sweeper> m_sweeper;
    CallHandle m_list;
    std::vector<CallHandle> m_cancels;
  };
  /// The incarnation of a VM, and whether it answers calls of this VM.
  struct Contact
  {
    explicit Contact(VmIncarnation aVm)
      : m_vm(std::move(aVm))
    {
    }
    VmIncarnation m_vm;
    TimePoint m_askedAt{};
    std::optional<TimePoint> m_unansweredSince; ///< oldest unanswered call
  };

  void Tick();
  std::vector<std::string> OwnedEngines() const;
  void Sweep(const std::string& aEngine);
  void OnList(const std::string& aEngine,
              const EngineResult<std::vector<EngineHolding>>& aResult);
  void Ping(const Contact& aContact);
  void RecordQuestion(const std::string& aAddress);
  void SendQuestion(const std::string& aEngine, const SweepQuestion& aQuestion);
  void OnAnswer(const std::string& aEngine, const SweepAnswer& aAnswer);
  void CancelStream(const std::string& aEngine, const AttemptId& aStream);
  std::vector<SweepMember> Members(const std::vector<HeldStream>& aStreams);

  ControlState& m_state;
  std::map<std::string, EngineSweep> m_sweeps;
  std::map<std::string, Contact> m_contacts; ///< by peer address
  std::size_t m_next{ 0 }; ///< position in the rotation of owned engines
};

/// Brings the engines of the model services that this VM owns to the state that
/// the fleet text asks for.
class OrderTask
{
public:
  explicit OrderTask(ControlState& aState);
  void Start();
  /// Returns the last readbacks of engines, for operators.
  const Readbacks& Known() const { return m_readbacks; }
  /// Sets the loads of services and the numbers of requests that run at
  /// engines, as the worker's load reports show them.
  void SetLoads(std::map<std::string, ServiceLoad> aLoads,
                std::map<std::string, std::uint32_t> aRunning);

private:
  void Tick();
  void Read(const std::string& aEngine);
  void OnState(const std::string& aEngine,
               const EngineResult<EngineState>& aResult);
  void Step(const ServiceEntry& aService);
  void Send(const std::string& aService, const Order& aOrder);
  bool DependenciesSettled(const ServiceEntry& aService) const;
  bool IsSettled(const std::string& aService) const;
  void SpreadSettled(const std::string& aService);

  ControlState& m_state;
  ReadbackSchedule m_schedule;
  Readbacks m_readbacks;
  std::set<std::string> m_urgent;
  std::map<std::string, Reconciler> m_reconcilers; ///< of owned services
  std::map<std::string, bool> m_settled;
  std::map<std::string, ServiceLoad> m_loads;
  std::map<std::string, std::uint32_t> m_running;
  /// By service: when this VM last spread that the service is settled.
  std::map<std::string, TimePoint> m_settledSpreadAt;
  std::map<std::string, CallHandle> m_reads;
  std::map<std::string, CallHandle> m_orders;
};

/// The control task itself: it owns the parts above and serves peers and
/// operators.
class ControlTask
{
public:
  ControlTask(const ControlOptions& aOptions,
              LoopI& aLoop,
              EngineI& aEngine,
              PlatformI& aPlatform,
              PeerI& aPeer,
              LogI& aLog,
              RandomI& aRandom);
  ~ControlTask();

  /// Opens the peers' and operators' ports and starts all parts.
  /// @param aToWorker  sends a message to the worker task
  void Start(std::function<void(ControlMessage)> aToWorker);
  /// Handles a message of the worker.
  void OnMessage(WorkerMessage aMessage);
  /// @param aDone  called when a planned stop is complete
  void SetOnDrained(std::function<void()> aDone);
  /// Begins a planned stop; does nothing if one has begun already.
  void Drain(const std::string& aCause);

private:
  void Receive(UpstreamLeavingReport& aMessage);
  void Receive(WorkerReport& aMessage);
  void Receive(Drained& aMessage);
  void Receive(AuditNote& aMessage);
  void HandOver(std::vector<std::string> aTickets,
                std::set<std::string> aTried);
  void Beat();

  ControlState m_state;
  ConfigSync m_config;
  GossipTask m_gossip;
  SweepTask m_sweep;
  OrderTask m_orders;
  std::unique_ptr<HttpHandlerI> m_peerHandler;
  std::unique_ptr<HttpHandlerI> m_operatorHandler;
  std::unique_ptr<HttpServerI> m_peerServer;
  std::unique_ptr<HttpServerI> m_operatorServer;
  std::function<void()> m_drained;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_CONTROL_H
