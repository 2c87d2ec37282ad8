#ifndef SHALLOTFORD_SRC_ROUTER_ENGINE_CALLS_H
#define SHALLOTFORD_SRC_ROUTER_ENGINE_CALLS_H

/// Calls to engines' own APIs in the background, such as the release of
/// reserved memory; no request waits for their answers.

#include "router_upstream.h"
#include "shallotford/router.h"

namespace shallotford {

/// Returns the options that send aCall through a ConnectionPool.
UpstreamCallOptions
OptionsFor(const EngineCall& aCall, std::chrono::milliseconds aTimeout);

/// Sends background calls and logs those that fail.
class EngineCalls
{
public:
  /// Gets the head of each answer.
  using OnHead = std::function<void(const UpstreamKey&, const AnswerHead&)>;

  EngineCalls(LoopI& aLoop,
              ConnectionPool& aPool,
              LogI& aLog,
              OnHead aOnHead = {});
  ~EngineCalls();

  /// Starts a call.
  /// @param aOnAnswer  gets the answer's status; not called without an answer
  void Send(const UpstreamEntry& aUpstream,
            const EngineCall& aCall,
            std::function<void(int)> aOnAnswer = {});

private:
  class PendingCall;
  void Remove(PendingCall* aCall);

  LoopI& m_loop;
  ConnectionPool& m_pool;
  LogI& m_log;
  OnHead m_onHead;
  std::map<PendingCall*, std::unique_ptr<PendingCall>> m_calls;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_ENGINE_CALLS_H
