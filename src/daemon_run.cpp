/// Runs the daemon: starts the worker and the control task, connects them, and
/// stops both after a planned stop.

#include "daemon_run.h"

#include "config.h"
#include "daemon_control.h"
#include "daemon_signals.h"
#include "daemon_worker.h"

#include <cstdio>
#include <thread>

namespace shallotford {

namespace {

VmIncarnation
BootIncarnation(const Settings& aSettings)
{
  return { .m_address = aSettings.m_peerAddress,
           .m_incarnation = MakeSystemRandom()->Next() };
}

/// Returns the wall time in seconds, which orders the incarnations of a VM.
std::uint64_t
BootOrder()
{
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count());
}

} // namespace

void
RunDaemon(const Settings& aSettings)
{
  BlockSignals();
  auto log = MakeLog(aSettings.m_logLevel);
  VmIncarnation vm = BootIncarnation(aSettings);

  auto workerLoop = MakeLoop({ .m_name = "worker" });
  auto workerEngine = MakeHttpEngine(workerLoop->Client());
  auto workerRandom = MakeSystemRandom();
  auto clock = MakeSystemClock();
  Worker worker(
    { .m_settings = aSettings, .m_vm = vm, .m_ticketKey = MakeTicketKey() },
    *workerLoop,
    *workerEngine,
    *log,
    *workerRandom,
    *clock);

  auto controlLoop = MakeLoop({ .m_name = "control" });
  auto controlEngine = MakeHttpEngine(controlLoop->Client());
  auto controlRandom = MakeSystemRandom();
  auto platform =
    MakeHttpPlatform(controlLoop->Client(), aSettings.m_platformAddress);
  HttpPeer peer(*controlLoop, worker.PeerTls());
  ControlTask control(
    { .m_settings = aSettings, .m_vm = vm, .m_bootOrder = BootOrder() },
    *controlLoop,
    *controlEngine,
    *platform,
    peer,
    *log,
    *controlRandom);

  Mailbox<ControlMessage> toWorker(*workerLoop,
                                   [&worker](ControlMessage aMessage) {
                                     worker.OnMessage(std::move(aMessage));
                                   });
  Mailbox<WorkerMessage> toControl(*controlLoop,
                                   [&control](WorkerMessage aMessage) {
                                     control.OnMessage(std::move(aMessage));
                                   });
  worker.SetControlSink([&toControl](WorkerMessage aMessage) {
    toControl.Send(std::move(aMessage));
  });
  control.SetOnDrained([&workerLoop, &controlLoop] {
    workerLoop->Stop();
    controlLoop->Stop();
  });

  worker.Start();
  control.Start([&toWorker](ControlMessage aMessage) {
    toWorker.Send(std::move(aMessage));
  });
  log->Write(LogEvent("started")
               .Add("vm", ToString(vm))
               .Add("callers", aSettings.m_callerAddress)
               .Add("version", SHALLOTFORD_VERSION));
  SignalTask signals(
    [&] { controlLoop->Post([&control] { control.Drain("signal"); }); },
    [&] {
      for (LoopI* loop : { controlLoop.get(), workerLoop.get() }) {
        loop->Post([loop] { loop->ReloadCertificates(); });
      }
    });
  std::thread workerThread([&workerLoop] { workerLoop->Run(); });
  controlLoop->Run();
  workerThread.join();
  log->Write(LogEvent("stopped").Add("vm", ToString(vm)));
}

} // namespace shallotford
