#ifndef SHALLOTFORD_SRC_DAEMON_SIGNALS_H
#define SHALLOTFORD_SRC_DAEMON_SIGNALS_H

/// Signals as calls on a thread of their own.

#include <functional>
#include <thread>

namespace shallotford {

/// Blocks the signals that SignalTask takes. To be called before any thread is
/// started.
void
BlockSignals();

/// Waits for signals while it lives.
class SignalTask
{
public:
  /// @param aOnStop    SIGTERM or SIGINT; called on this task's thread
  /// @param aOnReload  SIGHUP; called on this task's thread
  SignalTask(std::function<void()> aOnStop, std::function<void()> aOnReload);
  ~SignalTask();
  SignalTask(const SignalTask&) = delete;
  SignalTask& operator=(const SignalTask&) = delete;

private:
  void Run();

  std::function<void()> m_onStop;
  std::function<void()> m_onReload;
  std::thread m_thread;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_SIGNALS_H
