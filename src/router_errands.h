#ifndef SHALLOTFORD_SRC_ROUTER_ERRANDS_H
#define SHALLOTFORD_SRC_ROUTER_ERRANDS_H

/// Calls at engines that no request waits for.

#include "router_upstream.h"
#include "shallotford/router.h"

namespace shallotford {

/// Returns a call's bytes.
UpstreamCallOptions
OptionsFor(const EngineCall& aCall, std::chrono::milliseconds aTimeout);

class Errands
{
public:
  Errands(LoopI& aLoop, ConnectionPool& aPool, LogI& aLog);
  ~Errands();

  /// @param aOnAnswer  gets the answer's status; not called without an answer
  void Send(const UpstreamEntry& aUpstream,
            const EngineCall& aCall,
            std::function<void(int)> aOnAnswer = {});

private:
  class Errand;
  void Remove(Errand* aErrand);

  LoopI& m_loop;
  ConnectionPool& m_pool;
  LogI& m_log;
  std::map<Errand*, std::unique_ptr<Errand>> m_errands;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_ERRANDS_H
