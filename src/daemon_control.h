#ifndef SHALLOTFORD_SRC_DAEMON_CONTROL_H
#define SHALLOTFORD_SRC_DAEMON_CONTROL_H

/// The control task: configuration, gossip, sweeps, orders and operators. It
/// runs on a loop of its own and talks to the worker by messages.

#include "daemon_engine.h"
#include "daemon_messages.h"
#include "daemon_peer.h"
#include "daemon_platform.h"
#include "shallotford/control.h"

#include <functional>
#include <memory>

namespace shallotford {

/// Rumor: which VM answers for the used tickets of a stopped incarnation.
inline constexpr const char* kRumorSuccession = "succession";

struct ControlOptions
{
  Settings m_settings;
  VmIncarnation m_vm;
  std::uint64_t m_bootOrder{ 0 }; ///< wall time at boot, seconds
};

/// What the parts of the control task share.
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
  std::uint64_t Revision() const;
  /// Tells all VMs whether an upstream is leaving.
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

  RevisionStore m_keeper;
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
  /// Something hints that the VM list has changed.
  void OnHint();
  /// Fetches what a peer's gossip offered, if it is newer.
  void OnOffer(const RevisionOffer& aOffer);
  /// Result of the peers' call "fleet_text".
  Json::Value OnFleetText(const Json::Value& aParams) const;
  /// Result of the peers' call "vm_list".
  Json::Value OnVmList(const Json::Value& aParams) const;
  /// Fetches a VM list that a peer has and that is newer than ours.
  void FetchList(const std::string& aPeer, std::uint64_t aHave);
  /// Tells the worker whether this VM may serve, when that changed.
  void CheckReady();

private:
  void Tick();
  void AskFleet(std::chrono::milliseconds aWait);
  void AskVms(std::chrono::milliseconds aWait);
  void Answered(PlatformSchedule& aSchedule,
                std::chrono::milliseconds aWait,
                PlatformAnswer aAnswer);
  void OnFleet(const PlatformFleet& aFleet);
  void OnVms(const std::vector<PlatformVm>& aVms);
  void TellLeaving(const std::set<std::string>& aLeaving);
  void SetOthers();
  void Fetch(const std::string& aPeer, const RevisionName& aHave);
  void Settle(const AcceptOutcome& aOutcome, const std::string& aSource);

  ControlState& m_state;
  WatchDuty m_duty;
  PlatformSchedule m_fleetSchedule;
  PlatformSchedule m_vmsSchedule;
  std::string m_fleetVersion;
  std::string m_vmsVersion;
  std::unique_ptr<HttpClientCallI> m_fleetCall;
  std::unique_ptr<HttpClientCallI> m_vmsCall;
  bool m_fleetSeen{ false }; ///< the platform answered since boot
  bool m_fetching{ false };
  bool m_ready{ false };
};

/// Runs the gossip exchanges and spreads what they bring.
class GossipTask
{
public:
  GossipTask(ControlState& aState, ConfigSync& aConfig);
  void Start();
  Json::Value OnCall(const Json::Value& aParams);
  /// The worker's own figures.
  void OnReport(const WorkerReport& aReport);
  /// An upstream's own word, seen by this VM.
  void OnLeaving(const UpstreamLeavingReport& aSeen);

private:
  void Tick();
  void TakeNews();
  void TakeRumor(const Rumor& aRumor);
  void TellMembership();

  ControlState& m_state;
  ConfigSync& m_config;
  std::vector<std::string> m_told; ///< live VMs as last told to the worker
};

/// Frees engine memory that is held for requests that are gone.
class SweepTask
{
public:
  explicit SweepTask(ControlState& aState);
  void Start();
  /// Result of the peers' call "owns"; answered by the worker.
  void OnOwns(const Json::Value& aParams,
              std::function<void(Json::Value)> aReply);

private:
  struct EngineSweep
  {
    std::unique_ptr<Sweeper> m_sweeper;
    CallHandle m_list;
    std::vector<CallHandle> m_cancels;
  };
  /// What direct questions showed of one VM.
  struct Contact
  {
    explicit Contact(VmIncarnation aVm)
      : m_vm(std::move(aVm))
    {
    }
    VmIncarnation m_vm;
    TimePoint m_askedAt{};
    std::optional<TimePoint> m_unansweredSince; ///< the oldest such question
  };

  void Tick();
  std::vector<std::string> OwnedEngines() const;
  void Sweep(const std::string& aEngine);
  void OnList(const std::string& aEngine,
              const EngineResult<std::vector<EngineHolding>>& aResult);
  void Ping(const Contact& aContact);
  void NoteAsked(const std::string& aAddress);
  void Ask(const std::string& aEngine, const SweepQuestion& aQuestion);
  void OnAnswer(const std::string& aEngine, const SweepAnswer& aAnswer);
  void CancelStream(const std::string& aEngine, const AttemptId& aStream);
  std::vector<SweepMember> Members(const std::vector<HeldStream>& aStreams);

  ControlState& m_state;
  std::map<std::string, EngineSweep> m_sweeps;
  std::map<std::string, Contact> m_contacts; ///< by peer address
  std::size_t m_next{ 0 };
};

/// Brings the engines of the services that this VM owns to the fleet text.
class OrderTask
{
public:
  explicit OrderTask(ControlState& aState);
  void Start();
  /// Reads engines as far as known, for operators.
  const Readbacks& Known() const { return m_readbacks; }
  /// Loads of services, and requests running at engines, as the worker's load
  /// reports show them.
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
  void TellSettled(const std::string& aService);

  ControlState& m_state;
  ReadbackSchedule m_schedule;
  Readbacks m_readbacks;
  std::set<std::string> m_urgent;
  std::map<std::string, Reconciler> m_reconcilers; ///< of owned services
  std::map<std::string, bool> m_settled;
  std::map<std::string, ServiceLoad> m_loads;
  std::map<std::string, std::uint32_t> m_running;
  std::map<std::string, TimePoint> m_toldSettled; ///< last spread, by service
  std::map<std::string, CallHandle> m_reads;
  std::map<std::string, CallHandle> m_orders;
};

/// The control task itself: it serves peers and operators.
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
  void Start(std::function<void(ControlMessage)> aToWorker);
  /// Messages of the worker.
  void OnMessage(WorkerMessage aMessage);
  /// @param aDone  called when a planned stop has handed everything over
  void SetOnDrained(std::function<void()> aDone);
  /// Begins a planned stop; one that has begun goes on.
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
