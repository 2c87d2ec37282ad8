/// Orders the requests that wait for engine memory.

#include "shallotford/route.h"

#include <algorithm>

namespace shallotford {

void
EngineMemoryQueue::Add(const WaitingRequest& aRequest)
{
  auto later = std::upper_bound(
    m_waiting.begin(),
    m_waiting.end(),
    aRequest,
    [](const WaitingRequest& aLeft, const WaitingRequest& aRight) {
      return aLeft.m_onTimeUntil < aRight.m_onTimeUntil;
    });
  m_waiting.insert(later, aRequest);
}

void
EngineMemoryQueue::Remove(std::uint64_t aId)
{
  std::erase_if(m_waiting, [aId](const WaitingRequest& aRequest) {
    return aRequest.m_id == aId;
  });
}

std::optional<std::uint64_t>
EngineMemoryQueue::Next(TimePoint aNow) const
{
  for (const WaitingRequest& request : m_waiting) {
    if (aNow <= request.m_onTimeUntil) {
      return request.m_id;
    }
  }
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  return m_waiting.front().m_id;
}

std::vector<std::uint64_t>
EngineMemoryQueue::TakeExpired(TimePoint aNow)
{
  std::vector<std::uint64_t> expired;
  for (const WaitingRequest& request : m_waiting) {
    if (aNow >= request.m_giveUpAt) {
      expired.push_back(request.m_id);
    }
  }
  std::erase_if(m_waiting, [aNow](const WaitingRequest& aRequest) {
    return aNow >= aRequest.m_giveUpAt;
  });
  return expired;
}

bool
EngineMemoryQueue::HasTimely(TimePoint aNow) const
{
  return std::any_of(
    m_waiting.begin(), m_waiting.end(), [aNow](const WaitingRequest& aRequest) {
      return aNow <= aRequest.m_onTimeUntil;
    });
}

} // namespace shallotford
