/// Runs the daemon as a router: connects the routing task to the adapter of the
/// users' platform, and applies changes of the settings file.

#include "main_routing.h"

#include "daemon_signals.h"
#include "platform.h"

#include <fstream>
#include <sstream>

namespace shallotford {

namespace {

/// Interval at which the settings file is checked for changes.
constexpr std::chrono::milliseconds kSettingsCheckInterval{ 2'000 };
/// Maximum of log lines of one event name and level; further ones are only
/// counted.
constexpr std::uint32_t kMaxLinesPerSecond = 40;

/// Delay between two reads of the platform, as a share of the time within which
/// a change must be in force. The rest is for calls that fail or take long.
constexpr double kReadDelayShare = 0.32;
/// Time that a read may be late before this VM asks its peers for changes.
constexpr std::chrono::milliseconds kMaxReadLateness{ 700 };

std::chrono::milliseconds
SecondsToMilliseconds(double aSeconds)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::duration<double>(aSeconds));
}

std::chrono::milliseconds
ReadDelay(const RoutingSettings& aRouting)
{
  return SecondsToMilliseconds(kReadDelayShare * aRouting.m_changesWithin);
}

RouterOptions
ToRouterOptions(const Settings& aSettings)
{
  const RoutingSettings& routing = *aSettings.m_routing;
  return { .m_callerAddress = aSettings.m_callerAddress,
           .m_peerAddress = aSettings.m_peerAddress,
           .m_operatorAddress = aSettings.m_operatorAddress,
           .m_metricsAddress = aSettings.m_metricsAddress,
           .m_relayAddress = aSettings.m_relayAddress,
           .m_seeds = routing.m_seeds,
           .m_location = { .m_failureDomain = aSettings.m_failureDomain,
                           .m_regions = routing.m_failureDomains },
           .m_retryBudget = { .m_ratio = routing.m_retryRatio,
                              .m_slack = routing.m_retrySlack,
                              .m_window =
                                SecondsToMilliseconds(routing.m_retryWindow) },
           .m_maxConnections = IntakeConnections(aSettings.m_maxConnections,
                                                 aSettings.m_maxDescriptors),
           .m_maxIntake = IntakeBytes(aSettings.m_memory),
           .m_maxControlIntake = ControlIntakeBytes(aSettings.m_memory),
           .m_drainTime = SecondsToMilliseconds(routing.m_drainTime),
           .m_sourceTimeout = ReadDelay(routing) + kMaxReadLateness,
           .m_revoke = SecondsToMilliseconds(routing.m_revoke),
           .m_changesWithin = SecondsToMilliseconds(routing.m_changesWithin),
           .m_heartbeat = SecondsToMilliseconds(routing.m_heartbeat),
           .m_firstStart = routing.m_firstStart,
           .m_typicalRequest = { .m_promptTokens = routing.m_typicalPrompt,
                                 .m_outputTokens = routing.m_typicalOutput },
           .m_adaptive = routing.m_adaptive };
}

/// Applies the settings file to a running router when its text has changed.
class SettingsWatch
{
public:
  SettingsWatch(LoopI& aLoop, RouterI& aRouter, LogI& aLog, std::string aFile)
    : m_loop(aLoop)
    , m_router(aRouter)
    , m_log(aLog)
    , m_file(std::move(aFile))
    , m_text(ReadFile(m_file))
  {
    ScheduleCheck();
  }
  ~SettingsWatch() { m_loop.CancelTimer(m_timer); }
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  /// Applies the file if its text has changed. The settings in force stay if
  /// the file is invalid.
  void Check()
  {
    try {
      std::string text = ReadFile(m_file);
      if (text == m_text) {
        return;
      }
      m_text = text;
      Settings settings = ParseSettings(text, m_file);
      if (settings.m_routing) {
        m_router.Reload(ToRouterOptions(settings));
      }
    } catch (const Error& error) {
      m_log.Write(LogEvent("settings_refused", LogLevel::Warning)
                    .Add("reason", error.what())
                    .Add("remedy", error.Remedy()));
    }
  }

private:
  void ScheduleCheck()
  {
    m_timer = m_loop.RunAfter(kSettingsCheckInterval, [this] {
      Check();
      ScheduleCheck();
    });
  }

  LoopI& m_loop;
  RouterI& m_router;
  LogI& m_log;
  std::string m_file;
  std::string m_text; ///< of the file at the last check
  TimersI::TimerId m_timer{ 0 };
};

} // namespace

std::string
ReadFile(const std::string& aName)
{
  std::ifstream file(aName);
  if (!file) {
    throw Error(ErrorKind::InvalidConfig,
                aName + ": cannot be read",
                "Name a settings file that exists and can be read.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
RunRouting(const Settings& aSettings, const std::string& aFile)
{
  BlockSignals();
  auto output = MakeLog(aSettings.m_logLevel);
  auto clock = MakeSystemClock();
  auto log = MakeLimitedLog(*output, *clock, kMaxLinesPerSecond);
  auto random = MakeSystemRandom();
  RouterOptions options = ToRouterOptions(aSettings);
  auto loop =
    MakeLoop({ .m_name = "router",
               .m_maxSockets = options.m_maxConnections + kOtherDescriptors });
  auto source = platform::MakeStoreSource(
    *loop,
    *log,
    *random,
    { .m_address = aSettings.m_platformAddress,
      .m_history = SecondsToMilliseconds(aSettings.m_routing->m_history),
      .m_readDelay = ReadDelay(*aSettings.m_routing) });
  auto decoder = platform::MakeDecoder();
  auto dialect = platform::MakeDialect();
  auto router =
    MakeRouter(options, { *loop, *source, *decoder, *dialect, *log, *random });
  router->Start();
  log->Write(LogEvent("started")
               .Add("vm", aSettings.m_peerAddress)
               .Add("callers", aSettings.m_callerAddress)
               .Add("failure_domain", aSettings.m_failureDomain)
               .Add("version", SHALLOTFORD_VERSION));
  SettingsWatch watch(*loop, *router, *log, aFile);
  {
    SignalTask signals(
      [&] {
        loop->Post([&, askedAt = loop->Now()] {
          router->Drain([&] { loop->Stop(); }, askedAt);
        });
      },
      [&] { loop->Post([&] { watch.Check(); }); });
    loop->Run();
  }
  log->Write(LogEvent("stopped").Add("vm", aSettings.m_peerAddress));
}

} // namespace shallotford
