/// Signals as calls.

#include "daemon_signals.h"

#include <csignal>

namespace shallotford {

namespace {

/// Ends the task's thread. No signal of this number has another use here.
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
