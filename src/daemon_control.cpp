/// The control task: its start, its handling of worker messages, and the
/// planned stop with the hand-over of used tickets.

#include "daemon_control.h"

#include "config.h"
#include "daemon_handlers.h"
#include "daemon_listen.h"
#include "shallotford/intake.h"

namespace shallotford {

ControlState::ControlState(const ControlOptions& aOptions,
                           LoopI& aLoop,
                           EngineI& aEngine,
                           PlatformI& aPlatform,
                           PeerI& aPeer,
                           LogI& aLog,
                           RandomI& aRandom)
  : m_options(aOptions)
  , m_loop(aLoop)
  , m_engine(aEngine)
  , m_platform(aPlatform)
  , m_peer(aPeer)
  , m_log(aLog)
  , m_membership(
      { .m_self = aOptions.m_vm, .m_bootOrder = aOptions.m_bootOrder },
      aRandom)
  , m_audit(aOptions.m_settings.m_auditEntries)
{
}

std::uint64_t
ControlState::Revision() const
{
  return m_revisionStore.CurrentName().m_revision;
}

void
ControlState::Audit(AuditKind aKind,
                    const std::string& aSubject,
                    const std::string& aChange,
                    const std::string& aCause)
{
  m_audit.Add({ .m_sequence = 0,
                .m_time = std::chrono::system_clock::now(),
                .m_kind = aKind,
                .m_subject = aSubject,
                .m_change = aChange,
                .m_cause = aCause,
                .m_revision = Revision() });
  m_log.Write(LogEvent("audit")
                .Add("kind", ToString(aKind))
                .Add("subject", aSubject)
                .Add("change", aChange)
                .Add("cause", aCause)
                .Add("revision", static_cast<std::int64_t>(Revision())));
}

void
ControlState::SpreadLeaving(const std::string& aUpstream,
                            bool aLeaving,
                            WallTime aSeen)
{
  auto version = std::chrono::duration_cast<std::chrono::milliseconds>(
    aSeen.time_since_epoch());
  m_membership.Spread(kRumorLeaving,
                      aUpstream,
                      static_cast<std::uint64_t>(version.count()),
                      aLeaving ? "leaving" : "back",
                      kLeavingRumorLifetime,
                      Now());
}

ControlTask::ControlTask(const ControlOptions& aOptions,
                         LoopI& aLoop,
                         EngineI& aEngine,
                         PlatformI& aPlatform,
                         PeerI& aPeer,
                         LogI& aLog,
                         RandomI& aRandom)
  : m_state(aOptions, aLoop, aEngine, aPlatform, aPeer, aLog, aRandom)
  , m_config(m_state, aRandom)
  , m_gossip(m_state, m_config)
  , m_sweep(m_state)
  , m_orders(m_state)
{
}

ControlTask::~ControlTask() = default;

namespace {

ServerOptions
PeerServerOptions(const std::string& aAddress,
                  const TlsSettings& aTls,
                  const std::shared_ptr<Intake>& aIntake)
{
  ServerOptions options = ListenOptions(aAddress);
  options.m_intake = aIntake;
  options.m_tls = { .m_certificate = aTls.m_certificate,
                    .m_key = aTls.m_key,
                    .m_peerAuthority = aTls.m_peerAuthority };
  return options;
}

} // namespace

void
ControlTask::Start(std::function<void(ControlMessage)> aToWorker)
{
  m_state.m_toWorker = std::move(aToWorker);
  const Settings& settings = m_state.m_options.m_settings;
  m_peerHandler = MakePeerHandler(m_state, m_config, m_gossip, m_sweep);
  m_operatorHandler = MakeOperatorHandler(
    m_state, m_orders, [this](const std::string& aCause) { Drain(aCause); });
  auto intake = std::make_shared<Intake>(ControlIntakeBytes(settings.m_memory));
  m_peerServer = m_state.m_loop.Listen(
    PeerServerOptions(settings.m_peerAddress, settings.m_peerTls, intake),
    *m_peerHandler);
  m_operatorServer = m_state.m_loop.Listen(
    PeerServerOptions(settings.m_operatorAddress, settings.m_peerTls, intake),
    *m_operatorHandler);
  Beat();
  m_config.Start();
  m_gossip.Start();
  m_sweep.Start();
  m_orders.Start();
}

void
ControlTask::Beat()
{
  m_state.m_guard.Heartbeat(m_state.Now());
  m_state.m_loop.RunAfter(kOrderGuardBeatPeriod, [this] { Beat(); });
}

void
ControlTask::OnMessage(WorkerMessage aMessage)
{
  std::visit([this](auto& aOne) { Receive(aOne); }, aMessage);
}

void
ControlTask::Receive(UpstreamLeavingReport& aMessage)
{
  m_gossip.OnLeaving(aMessage);
}

void
ControlTask::Receive(WorkerReport& aMessage)
{
  m_gossip.OnReport(aMessage);
  m_orders.SetLoads(std::move(aMessage.m_loads), std::move(aMessage.m_running));
}

void
ControlTask::Receive(AuditNote& aMessage)
{
  m_state.Audit(AuditKind::Quarantine,
                aMessage.m_subject,
                aMessage.m_kind,
                aMessage.m_cause);
}

// ----------------------------------------------------------- planned stop

void
ControlTask::SetOnDrained(std::function<void()> aDone)
{
  m_drained = std::move(aDone);
}

void
ControlTask::Drain(const std::string& aCause)
{
  if (m_state.m_draining) {
    return;
  }
  m_state.m_draining = true;
  m_state.m_membership.SetLeaving();
  m_state.Audit(AuditKind::Membership,
                m_state.m_options.m_vm.m_address,
                "draining",
                aCause);
  m_state.m_toWorker(DrainCommand{});
}

void
ControlTask::Receive(Drained& aMessage)
{
  if (aMessage.m_usedTickets.empty()) {
    m_drained();
    return;
  }
  HandOver(std::move(aMessage.m_usedTickets), {});
}

/// Hands the used tickets over to one live VM. If a VM refuses or does not
/// answer, the next one is tried. If none accepts, the tickets end with this
/// incarnation, and a later use of one is told that the call may have run.
void
ControlTask::HandOver(std::vector<std::string> aTickets,
                      std::set<std::string> aTried)
{
  const std::string& self = m_state.m_options.m_vm.m_address;
  std::string successor;
  for (const std::string& vm : m_state.m_membership.Live(m_state.Now())) {
    if (vm != self && aTried.count(vm) == 0) {
      successor = vm;
      break;
    }
  }
  if (successor.empty()) {
    m_state.m_log.Write(LogEvent("tickets_not_handed_over", LogLevel::Warning));
    m_drained();
    return;
  }
  aTried.insert(successor);
  Json::Value params(Json::objectValue);
  params["tickets"] = Json::Value(Json::arrayValue);
  for (const std::string& text : aTickets) {
    params["tickets"].append(text);
  }
  auto done = [this, tickets = std::move(aTickets), tried = aTried, successor](
                const PeerResult& aResult) {
    const auto* value = std::get_if<Json::Value>(&aResult);
    if (value == nullptr || !(*value)["accepted"].asBool()) {
      HandOver(tickets, tried);
      return;
    }
    m_state.Audit(AuditKind::Membership,
                  successor,
                  "successor for used tickets",
                  "planned stop of " + m_state.m_options.m_vm.m_address);
    m_drained();
  };
  m_state.m_peer.Call(successor, "take_tickets", params, std::move(done));
}

} // namespace shallotford
