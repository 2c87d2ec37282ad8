/// Orders the requests that wait for engine memory.

#include "config.h"
#include "shallotford/admission.h"

#include <algorithm>

namespace shallotford {

void
MemoryQueue::Add(const WaitingRequest& aRequest)
{
  auto later = std::upper_bound(
    m_waiting.begin(),
    m_waiting.end(),
    aRequest,
    [](const WaitingRequest& aLeft, const WaitingRequest& aRight) {
      return aLeft.m_urgency != aRight.m_urgency
               ? aLeft.m_urgency < aRight.m_urgency
               : aLeft.m_onTimeUntil < aRight.m_onTimeUntil;
    });
  m_waiting.insert(later, aRequest);
}

void
MemoryQueue::Remove(std::uint64_t aId)
{
  std::erase_if(m_waiting, [aId](const WaitingRequest& aRequest) {
    return aRequest.m_id == aId;
  });
}

std::optional<std::uint64_t>
MemoryQueue::Next(TimePoint aNow) const
{
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const WaitingRequest* owed = IsOwed() ? Longest(aNow) : nullptr;
  if (owed != nullptr) {
    return owed->m_id;
  }
  for (const WaitingRequest& request : m_waiting) {
    if (request.m_urgency != m_waiting.front().m_urgency) {
      break;
    }
    if (aNow <= request.m_onTimeUntil) {
      return request.m_id;
    }
  }
  return m_waiting.front().m_id;
}

std::optional<MemoryTurn>
MemoryQueue::Take(TimePoint aNow)
{
  std::optional<std::uint64_t> next = Next(aNow);
  if (!next) {
    return std::nullopt;
  }
  auto found = std::find_if(
    m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest& aRequest) {
      return aRequest.m_id == *next;
    });
  bool isOwed = found->m_urgency > m_waiting.front().m_urgency;
  // If it finds no memory, a more urgent one is tried before it is again.
  m_owedTried = isOwed;
  m_waiting.erase(found);
  return MemoryTurn{ .m_id = *next, .m_isOwed = isOwed };
}

void
MemoryQueue::OnGrant(std::int32_t aUrgency)
{
  bool isUrgent = !m_waiting.empty() && aUrgency <= m_waiting.front().m_urgency;
  m_urgentGrants = isUrgent ? m_urgentGrants + 1 : 0;
  m_owedTried = false;
}

bool
MemoryQueue::IsOwed() const
{
  return m_urgentGrants >= kUrgentGrantsInTurn && !m_owedTried;
}

const WaitingRequest*
MemoryQueue::Longest(TimePoint aNow) const
{
  const WaitingRequest* longest = nullptr;
  for (const WaitingRequest& request : m_waiting) {
    if (request.m_urgency == m_waiting.front().m_urgency) {
      continue;
    }
    auto rank = [aNow](const WaitingRequest& aRequest) {
      return std::pair(aNow > aRequest.m_onTimeUntil, aRequest.m_since);
    };
    if (longest == nullptr || rank(request) < rank(*longest)) {
      longest = &request;
    }
  }
  return longest;
}

std::size_t
MemoryQueue::Ahead(const WaitingRequest& aRequest,
                   bool aIsLate,
                   TimePoint aNow) const
{
  auto goesFirst = [&](const WaitingRequest& aOther) {
    bool isTimely = aNow <= aOther.m_onTimeUntil &&
                    aOther.m_onTimeUntil <= aRequest.m_onTimeUntil;
    return aOther.m_urgency == aRequest.m_urgency && (aIsLate || isTimely);
  };
  return static_cast<std::size_t>(
    std::count_if(m_waiting.begin(), m_waiting.end(), goesFirst));
}

std::vector<std::uint64_t>
MemoryQueue::TakeExpired(TimePoint aNow)
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
MemoryQueue::HasTimely(TimePoint aNow, std::int32_t aUrgency) const
{
  return std::any_of(
    m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest& aRequest) {
      bool goesFirst = aRequest.m_urgency <= aUrgency || IsOwed();
      return goesFirst && aNow <= aRequest.m_onTimeUntil;
    });
}

} // namespace shallotford
