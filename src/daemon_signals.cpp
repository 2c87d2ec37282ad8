/// Turns the process signals that stop the daemon or reload its certificates
/// into calls.

#include "daemon_signals.h"

#include <csignal>

namespace shallotford {

namespace {

/// Signal by which the destructor ends the task's thread. The daemon uses it
/// for nothing else.
constexpr int kStopSignal = SIGUSR2;

sigset_t
HandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : { SIGTERM, SIGINT, SIGHUP, kStopSignal }) {
    sigaddset(&signals, signal);
  }
  return signals;
}

} // namespace

void
BlockSignals()
{
  sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

SignalTask::SignalTask(std::function<void()> aOnStop,
                       std::function<void()> aOnReload)
  : m_onStop(std::move(aOnStop))
  , m_onReload(std::move(aOnReload))
  , m_thread([this] { Run(); })
{
}

SignalTask::~SignalTask()
{
  pthread_kill(m_thread.native_handle(), kStopSignal);
  m_thread.join();
}

void
SignalTask::Run()
{
  sigset_t signals = HandledSignals();
  for (;;) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal == kStopSignal) {
      return;
    }
    if (signal == SIGHUP) {
      m_onReload();
    } else {
      m_onStop();
    }
  }
}

} // namespace shallotford
