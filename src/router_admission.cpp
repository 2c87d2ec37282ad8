/// Queues of requests that wait for memory of decode engines.

#include "router_admission.h"

#include "config.h"

namespace shallotford {

std::uint64_t
Admission::Enter(const std::string& aQueue,
                 AdmissionClientI& aClient,
                 WaitingRequest aRequest)
{
  std::uint64_t number = ++m_lastNumber;
  m_clients[number] = { .m_queue = aQueue, .m_client = &aClient };
  aRequest.m_id = number;
  m_forecasts[aQueue].OnWait(m_queues[aQueue], m_timers.Now());
  m_queues[aQueue].Add(aRequest);
  Arm();
  return number;
}

void
Admission::Leave(std::uint64_t aNumber)
{
  auto found = m_clients.find(aNumber);
  if (found == m_clients.end()) {
    return;
  }
  m_queues[found->second.m_queue].Remove(aNumber);
  m_clients.erase(found);
}

void
Admission::OnFreed(const std::string& aQueue)
{
  StartNext(aQueue);
}

bool
Admission::HasTimely(const std::string& aQueue, std::int32_t aUrgency) const
{
  auto found = m_queues.find(aQueue);
  return found != m_queues.end() &&
         found->second.HasTimely(m_timers.Now(), aUrgency);
}

void
Admission::OnGrant(const std::string& aQueue, const MemoryGrant& aGrant)
{
  m_queues[aQueue].OnGrant(aGrant.m_urgency);
  m_forecasts[aQueue].OnGrant(aGrant);
}

std::optional<Duration>
Admission::Excess(const std::string& aQueue,
                  const WaitingRequest& aRequest) const
{
  auto queue = m_queues.find(aQueue);
  auto forecast = m_forecasts.find(aQueue);
  if (queue == m_queues.end() || forecast == m_forecasts.end()) {
    return std::nullopt;
  }
  return forecast->second.Excess(queue->second, aRequest, m_timers.Now());
}

bool
Admission::TellsUrgency(const RoutingPtr& aConfig, const std::string& aService)
{
  if (m_config != aConfig) {
    m_config = aConfig;
    m_withUrgencies = ServicesWithUrgencies(*aConfig);
  }
  return m_withUrgencies.contains(aService);
}

void
Admission::Arm()
{
  if (m_armed || m_clients.empty()) {
    return;
  }
  m_armed = true;
  m_timer = m_timers.RunAfter(kAdmissionPeriod, [this] {
    m_armed = false;
    Tick();
    Arm();
  });
}

void
Admission::Tick()
{
  for (auto& [name, queue] : m_queues) {
    for (std::uint64_t number : queue.TakeExpired(m_timers.Now())) {
      AdmissionClientI* client = m_clients.at(number).m_client;
      m_clients.erase(number);
      client->OnExpired();
    }
    StartNext(name);
  }
}

void
Admission::StartNext(const std::string& aQueue)
{
  auto found = m_queues.find(aQueue);
  if (found == m_queues.end()) {
    return;
  }
  std::optional<MemoryTurn> turn = found->second.Take(m_timers.Now());
  if (!turn) {
    return;
  }
  AdmissionClientI* client = m_clients.at(turn->m_id).m_client;
  m_clients.erase(turn->m_id);
  client->OnMayReserve(turn->m_isOwed);
}

} // namespace shallotford
