/// Admission queue: model requests that wait to be placed, shared fairly among
/// callers.

#include "config.h"
#include "shallotford/placement.h"

#include <algorithm>

namespace shallotford {

double
TokenCost(std::uint32_t aPromptTokens, std::uint32_t aMaxOutputTokens)
{
  return aPromptTokens + kOutputTokenCost * aMaxOutputTokens;
}

AdmissionQueue::AdmissionQueue(AdmissionOptions aOptions)
  : m_options(aOptions)
{
}

void
AdmissionQueue::SetCallers(const std::vector<CallerEntry>& aCallers)
{
  m_shares.clear();
  for (const CallerEntry& caller : aCallers)
    m_shares[caller.m_name] = caller.m_share;
}

double
AdmissionQueue::ShareOf(const std::string& aCaller) const
{
  const auto found = m_shares.find(aCaller);
  const double share = found == m_shares.end() ? 1.0 : found->second;
  return std::max(share, kMinCallerShare);
}

std::optional<PlacementRefusal>
AdmissionQueue::Push(TimePoint aNow, const QueuedRequest& aRequest)
{
  if (aRequest.m_giveUpAt <= aNow)
    return PlacementRefusal{
      .m_kind = ErrorKind::DeadlineExceeded,
      .m_reason = "the time that the request may wait has passed"
    };
  const PlacementRefusal full{ .m_kind = ErrorKind::Overloaded,
                               .m_reason = "the admission queue is full",
                               .m_retryAfter = kQueueFullRetryAfter };
  if (m_byId.size() >= m_options.m_maxWaiting)
    return full;
  std::size_t waiting = 0;
  for (const auto& [priority, level] : m_levels) {
    const auto flow = level.m_flows.find(aRequest.m_caller);
    if (flow != level.m_flows.end())
      waiting += flow->second.m_waiting.size();
  }
  if (waiting >= m_options.m_maxWaitingPerCaller)
    return full;
  Insert(aRequest, false);
  return std::nullopt;
}

void
AdmissionQueue::PutBack(const QueuedRequest& aRequest)
{
  Insert(aRequest, true);
}

void
AdmissionQueue::Insert(const QueuedRequest& aRequest, bool aRefund)
{
  Level& level = m_levels[aRequest.m_priority];
  Flow& flow = level.m_flows[aRequest.m_caller];
  if (flow.m_waiting.empty()) {
    if (aRefund)
      level.m_roundRobin.push_front(aRequest.m_caller);
    else
      level.m_roundRobin.push_back(aRequest.m_caller);
  }
  if (aRefund)
    flow.m_deficit += aRequest.m_cost;
  flow.m_waiting.emplace(aRequest.m_giveUpAt, aRequest);
  m_byId[aRequest.m_id] = { aRequest.m_priority,
                            aRequest.m_caller,
                            aRequest.m_giveUpAt };
  m_expiry.emplace(aRequest.m_giveUpAt, aRequest.m_id);
  m_cost += aRequest.m_cost;
}

AdmissionQueue::Levels::iterator
AdmissionQueue::ChooseLevel()
{
  // A lower priority is served once its credit covers its next request.
  for (auto level = std::next(m_levels.begin()); level != m_levels.end();
       ++level) {
    const Flow& flow =
      level->second.m_flows.at(level->second.m_roundRobin.front());
    if (level->second.m_credit >= flow.m_waiting.begin()->second.m_cost)
      return level;
  }
  return m_levels.begin();
}

QueuedRequest
AdmissionQueue::TakeFrom(Level& aLevel)
{
  for (;;) {
    const std::string caller = aLevel.m_roundRobin.front();
    Flow& flow = aLevel.m_flows.at(caller);
    const QueuedRequest& next = flow.m_waiting.begin()->second;
    if (flow.m_deficit >= next.m_cost) {
      flow.m_deficit -= next.m_cost;
      return next;
    }
    flow.m_deficit += m_options.m_quantum * ShareOf(caller);
    aLevel.m_roundRobin.pop_front();
    aLevel.m_roundRobin.push_back(caller);
  }
}

std::optional<QueuedRequest>
AdmissionQueue::Pop(TimePoint aNow)
{
  while (!m_byId.empty()) {
    const auto level = ChooseLevel();
    const QueuedRequest request = TakeFrom(level->second);
    if (level != m_levels.begin())
      level->second.m_credit -= request.m_cost;
    for (auto lower = std::next(level); lower != m_levels.end(); ++lower)
      lower->second.m_credit += kLowPriorityShare * request.m_cost;
    Extract(request.m_id);
    if (request.m_giveUpAt > aNow)
      return request;
    m_expired.push_back(request);
  }
  return std::nullopt;
}

std::optional<QueuedRequest>
AdmissionQueue::Extract(std::uint64_t aId)
{
  const auto found = m_byId.find(aId);
  if (found == m_byId.end())
    return std::nullopt;
  const QueuePosition position = found->second;
  m_byId.erase(found);
  auto [expiry, expiryEnd] = m_expiry.equal_range(position.m_giveUpAt);
  m_expiry.erase(std::find_if(
    expiry, expiryEnd, [&](const auto& aItem) { return aItem.second == aId; }));

  const auto level = m_levels.find(position.m_priority);
  const auto flow = level->second.m_flows.find(position.m_caller);
  auto [item, itemEnd] =
    flow->second.m_waiting.equal_range(position.m_giveUpAt);
  item = std::find_if(
    item, itemEnd, [&](const auto& aItem) { return aItem.second.m_id == aId; });
  QueuedRequest request = item->second;
  flow->second.m_waiting.erase(item);
  m_cost -= request.m_cost;
  if (!flow->second.m_waiting.empty())
    return request;
  std::erase(level->second.m_roundRobin, position.m_caller);
  level->second.m_flows.erase(flow);
  if (level->second.m_flows.empty())
    m_levels.erase(level);
  return request;
}

bool
AdmissionQueue::Remove(std::uint64_t aId)
{
  return Extract(aId).has_value();
}

std::vector<QueuedRequest>
AdmissionQueue::Expire(TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  expired.swap(m_expired);
  while (!m_expiry.empty() && m_expiry.begin()->first <= aNow)
    expired.push_back(*Extract(m_expiry.begin()->second));
  return expired;
}

TimePoint
AdmissionQueue::NextExpiry() const
{
  if (!m_expired.empty())
    return m_expired.front().m_giveUpAt;
  return m_expiry.empty() ? TimePoint::max() : m_expiry.begin()->first;
}

} // namespace shallotford
