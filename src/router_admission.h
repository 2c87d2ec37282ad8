#ifndef SHALLOTFORD_SRC_ROUTER_ADMISSION_H
#define SHALLOTFORD_SRC_ROUTER_ADMISSION_H

/// Queues of requests that wait for memory of decode engines. It decides when
/// each request tries again to reserve memory.

#include "shallotford/admission.h"
#include "shallotford/net.h"
#include "shallotford/route.h"

namespace shallotford {

/// A request in the queue.
class AdmissionClientI
{
public:
  virtual ~AdmissionClientI() = default;
  /// The request may try to reserve memory now. It has left the queue.
  /// @param aIsOwed  it goes before more urgent ones
  virtual void OnMayReserve(bool aIsOwed) = 0;
  /// The request can't be served in time any more. It has left the queue.
  virtual void OnExpired() = 0;
};

/// All queues. Used by one task only.
class Admission
{
public:
  /// @param aTypicalOutput  mean output in tokens to begin with; 0: not known
  explicit Admission(TimersI& aTimers, double aTypicalOutput = 0)
    : m_timers(aTimers)
    , m_typicalOutput(aTypicalOutput)
  {
  }
  ~Admission() { m_timers.CancelTimer(m_timer); }
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  /// @param aQueue    a service, or its upstreams of one software version
  /// @param aRequest  its m_id is set here; at m_giveUpAt it leaves the queue
  /// @return a number for Leave()
  std::uint64_t Enter(const std::string& aQueue,
                      AdmissionClientI& aClient,
                      WaitingRequest aRequest);
  void Leave(std::uint64_t aNumber);
  /// Lets the next request try: memory of an engine of aQueue may have become
  /// free.
  void OnFreed(const std::string& aQueue);
  /// A request got memory of an engine of aQueue.
  void OnGrant(const std::string& aQueue, const MemoryGrant& aGrant);
  /// Returns by how much a new request would come to its turn too late, if it
  /// would.
  std::optional<Duration> Excess(const std::string& aQueue,
                                 const WaitingRequest& aRequest) const;
  /// Returns whether a new request of aUrgency has to wait behind others.
  bool HasTimely(const std::string& aQueue, std::int32_t aUrgency) const;
  std::size_t Size() const { return m_clients.size(); }
  /// Returns whether upstreams of a service are told how urgent requests are.
  bool TellsUrgency(const RoutingPtr& aConfig, const std::string& aService);
  /// Returns how much memory requests of a service need.
  GrowthEstimate& GrowthOf(const std::string& aService)
  {
    return m_growth.try_emplace(aService, m_typicalOutput).first->second;
  }

private:
  struct Client
  {
    std::string m_queue;
    AdmissionClientI* m_client;
  };

  void Arm();
  void Tick();
  void StartNext(const std::string& aQueue);

  TimersI& m_timers;
  double m_typicalOutput;
  std::map<std::string, GrowthEstimate> m_growth; ///< by service
  RoutingPtr m_config;                            ///< m_withUrgencies is of it
  std::set<std::string> m_withUrgencies;          ///< services
  std::uint64_t m_lastNumber{ 0 };
  std::map<std::string, MemoryQueue> m_queues;
  std::map<std::string, MemoryForecast> m_forecasts; ///< by queue
  std::map<std::uint64_t, Client> m_clients;
  TimersI::TimerId m_timer{ 0 };
  bool m_armed{ false };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_ADMISSION_H
