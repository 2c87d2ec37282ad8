/// The worker's handling of requests that wait: in the admission queue, or for
/// the answer of a running call with the same ticket.

#include "config.h"
#include "daemon_filters.h"
#include "daemon_worker.h"

namespace shallotford {

void
Worker::Enqueue(const FlowPtr& aFlow)
{
  bool first = aFlow->m_attempt.m_id.m_attempt <= 1;
  if (!first) {
    m_modelPipeline.RestartAt(aFlow, kPlaceFilter);
    return;
  }
  std::uint64_t id = m_nextWaiting++;
  auto maxWait = std::chrono::duration_cast<Duration>(
    aFlow->m_service->m_targets.m_firstToken * kMaxQueueTimeShare);
  aFlow->m_queued = { .m_id = id,
                      .m_caller = aFlow->m_caller,
                      .m_cost = aFlow->m_cost,
                      .m_priority = aFlow->m_priority,
                      .m_giveUpAt = aFlow->m_receivedAt + maxWait };
  std::optional<PlacementRefusal> refusal =
    m_state.m_queue.Push(Now(), aFlow->m_queued);
  if (refusal) {
    RefuseQueued(aFlow, *refusal);
    return;
  }
  m_waiting[id] = aFlow;
  Dispatch();
}

void
Worker::Dispatch()
{
  if (m_dispatching) {
    return;
  }
  m_dispatching = true;
  m_blocked = false;
  while (!m_blocked) {
    std::optional<QueuedRequest> next = m_state.m_queue.Pop(Now());
    if (!next) {
      break;
    }
    auto found = m_waiting.find(next->m_id);
    if (found == m_waiting.end()) {
      continue;
    }
    FlowPtr flow = found->second;
    m_waiting.erase(found);
    if (flow->m_open) {
      m_modelPipeline.RestartAt(flow, kPlaceFilter);
    }
  }
  m_dispatching = false;
}

bool
Worker::WaitForCapacity(const FlowPtr& aFlow, const PlacementRefusal& aRefusal)
{
  bool first = aFlow->m_attempt.m_id.m_attempt <= 1;
  bool mayWait = aRefusal.m_mayWait && Now() < aFlow->m_queued.m_giveUpAt;
  if (!first || !mayWait) {
    return false;
  }
  m_state.m_queue.PutBack(aFlow->m_queued);
  m_waiting[aFlow->m_queued.m_id] = aFlow;
  m_blocked = true;
  return true;
}

void
Worker::ExpireQueue()
{
  for (const QueuedRequest& expired : m_state.m_queue.Expire(Now())) {
    auto found = m_waiting.find(expired.m_id);
    if (found == m_waiting.end()) {
      continue;
    }
    FlowPtr flow = found->second;
    m_waiting.erase(found);
    if (flow->m_open) {
      RefuseQueued(flow,
                   { .m_kind = ErrorKind::Overloaded,
                     .m_reason = "no engine became free in time to meet the "
                                 "first-token target",
                     .m_retryAfter = kOverloadRetryAfter });
    }
  }
}

void
Worker::RefuseQueued(const FlowPtr& aFlow, const PlacementRefusal& aRefusal)
{
  Error error(aRefusal.m_kind,
              aRefusal.m_reason,
              "Send the request again after the time in Retry-After.");
  error.WithRetryAfter(aRefusal.m_retryAfter);
  Apply(aFlow,
        ledger_event::NotPlaced{ .m_attempt = aFlow->m_attempt.m_id.m_attempt,
                                 .m_error = error });
}

// ---------------------------------------------------------------- tickets

void
Worker::WaitForTicket(const FlowPtr& aFlow, const TicketRef& aTicket)
{
  m_ticketWaiters[aTicket].push_back(aFlow);
}

void
Worker::ReleaseTicketWaiters(const TicketRef& aTicket)
{
  auto found = m_ticketWaiters.find(aTicket);
  if (found == m_ticketWaiters.end()) {
    return;
  }
  std::vector<FlowPtr> waiters = std::move(found->second);
  m_ticketWaiters.erase(found);
  for (const FlowPtr& waiter : waiters) {
    m_plainPipeline.RestartAt(waiter, "ticket");
  }
}

} // namespace shallotford
