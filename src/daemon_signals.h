#ifndef SHALLOTFORD_SRC_DAEMON_SIGNALS_H
#define SHALLOTFORD_SRC_DAEMON_SIGNALS_H

/// Turns the process signals that stop the daemon or reload its certificates
/// into calls.

#include <functional>
#include <thread>

namespace shallotford {

/// Blocks the signals that SignalTask waits for, so that no other thread
/// receives them. Call it before any thread starts.
void
BlockSignals();

/// Waits for signals on a thread of its own, from construction to destruction.
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
