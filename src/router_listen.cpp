/// RouterTask: its listeners, and what they do when memory or descriptors run
/// short.

#include "config.h"
#include "daemon_listen.h"
#include "router_task.h"

namespace shallotford {

namespace {

/// One in so many connections is kept for other VMs' requests.
constexpr std::size_t kRelayPart = 16;
/// Time between two log lines on the same cause of short memory or descriptors.
constexpr std::chrono::seconds kIntakeLogPeriod{ 5 };
/// Connections of operators and of what reads metrics, a listener.
constexpr std::size_t kOperatorConnections = 64;
/// Longest body that operators send; their calls have none.
constexpr std::size_t kMaxOperatorBody = 64u << 10;
/// Connections of other VMs, which call a few at a time. The
/// rest of what is kept beside callers is for upstreams and the directory's
/// source.
constexpr std::size_t kPeerConnections =
  kOtherDescriptors / 4 * 3 - kBriefConnections;
/// Longest call of another VM: gossip of all VMs and a digest are a tenth of
/// it.
constexpr std::size_t kMaxPeerCall = 1u << 20;

ServerOptions
BoundedOptions(const std::string& aAddress,
               std::size_t aMaxConnections,
               std::size_t aMaxBody,
               const std::shared_ptr<Intake>& aIntake)
{
  ServerOptions options = ListenOptions(aAddress);
  options.m_intake = aIntake;
  options.m_maxConnections = aMaxConnections;
  options.m_maxBody = aMaxBody;
  return options;
}

ServerOptions
OperatorOptions(const std::string& aAddress,
                const std::shared_ptr<Intake>& aIntake)
{
  return BoundedOptions(
    aAddress, kOperatorConnections, kMaxOperatorBody, aIntake);
}

} // namespace

void
RouterTask::Listen()
{
  auto control = std::make_shared<Intake>(m_options.m_maxControlIntake);
  m_operatorServer = m_loop.Listen(
    OperatorOptions(m_options.m_operatorAddress, control), m_operatorHandler);
  if (!m_options.m_metricsAddress.empty()) {
    m_metricsServer = m_loop.Listen(
      OperatorOptions(m_options.m_metricsAddress, control), m_operatorHandler);
  }
  m_peerServer = m_loop.Listen(
    BoundedOptions(
      m_options.m_peerAddress, kPeerConnections, kMaxPeerCall, control),
    m_peerHandler);
  // The kernel may have chosen the port.
  std::string address = m_options.m_peerAddress;
  address.replace(address.rfind(':') + 1,
                  std::string::npos,
                  std::to_string(m_peerServer->Port()));
  m_peers.SetSelf(address);
  m_callers = std::make_unique<CallerListener>(
    m_loop,
    StreamListenerOptions{
      .m_address = m_options.m_callerAddress,
      .m_maxConnections =
        m_options.m_maxConnections - m_options.m_maxConnections / kRelayPart,
      .m_silenceTimeout = kCallerAckTimeout,
      .m_onExhausted = [this] { OnIntake(IntakeAct::Descriptors); } },
    static_cast<CallerHandlerI&>(*this),
    m_intake);
  if (!m_options.m_relayAddress.empty()) {
    m_relayListener = std::make_unique<CallerListener>(
      m_loop,
      StreamListenerOptions{
        .m_address = m_options.m_relayAddress,
        .m_maxConnections = m_options.m_maxConnections,
        .m_silenceTimeout = kCallerAckTimeout,
        .m_onExhausted = [this] { OnIntake(IntakeAct::Descriptors); } },
      m_relayHandler,
      m_intake);
  }
}

void
RouterTask::OnIntake(IntakeAct aAct)
{
  m_metrics.Count("intake_acts_total",
                  "act=\"" + std::string(ToString(aAct)) + "\"");
  TimePoint now = m_loop.Now();
  auto [logged, first] = m_intakeLoggedAt.try_emplace(aAct, now);
  if (!first && now - logged->second < kIntakeLogPeriod) {
    return;
  }
  logged->second = now;
  m_log.Write(
    LogEvent("intake", LogLevel::Warning)
      .Add("act", ToString(aAct))
      .Add("bytes", static_cast<std::int64_t>(m_intake->Bytes()))
      .Add("connections", static_cast<std::int64_t>(m_intake->Connections())));
}

} // namespace shallotford
