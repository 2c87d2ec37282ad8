/// Forecasts when a waiting request gets engine memory, from the grants of the
/// last seconds.

#include "shallotford/admission.h"

#include <algorithm>

namespace shallotford {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

/// Time over which grants are counted: some turns of a place that is held for
/// 3 to 4 s, among tens of them.
constexpr std::chrono::milliseconds kForecastWindow = 3'000ms;
/// Time for which requests must have waited before one is refused.
constexpr std::chrono::milliseconds kMinForecastTime = 1'000ms;
/// Time after a grant without a wait in which nobody as urgent is refused, and
/// after which a queue that stood empty is judged anew.
constexpr std::chrono::milliseconds kForecastMoment = 500ms;

} // namespace

void
MemoryForecast::OnWait(const MemoryQueue& aQueue, TimePoint aNow)
{
  bool stoodEmpty = aQueue.IsEmpty() && aNow - m_waitedAt > kForecastMoment;
  if (!m_busySince || stoodEmpty) {
    m_busySince = aNow;
  }
  m_waitedAt = aNow;
}

void
MemoryForecast::OnGrant(const MemoryGrant& aGrant)
{
  while (!m_grants.empty() &&
         aGrant.m_at - m_grants.front().m_at > kForecastWindow) {
    m_grants.pop_front();
  }
  m_grants.push_back(aGrant);
}

bool
MemoryForecast::HadRoom(std::int32_t aUrgency, TimePoint aNow) const
{
  return std::any_of(
    m_grants.begin(), m_grants.end(), [&](const MemoryGrant& aGrant) {
      return !aGrant.m_waited && aGrant.m_urgency >= aUrgency &&
             aNow - aGrant.m_at < kForecastMoment;
    });
}

Duration
MemoryForecast::TurnOf(std::size_t aAhead,
                       std::int32_t aUrgency,
                       bool aIsLate,
                       TimePoint aNow) const
{
  Seconds known = std::min<Seconds>(aNow - *m_busySince, kForecastWindow);
  auto grants = std::count_if(
    m_grants.begin(), m_grants.end(), [&](const MemoryGrant& aGrant) {
      bool isAfter = std::pair(aGrant.m_urgency, aGrant.m_isLate) >=
                     std::pair(aUrgency, aIsLate);
      return isAfter && aNow - aGrant.m_at < known;
    });
  // One grant may be due just now.
  return std::chrono::duration_cast<Duration>(
    known * (static_cast<double>(aAhead) / static_cast<double>(grants + 1)));
}

std::optional<Duration>
MemoryForecast::Excess(const MemoryQueue& aQueue,
                       const WaitingRequest& aRequest,
                       TimePoint aNow) const
{
  if (aQueue.IsEmpty() || !m_busySince ||
      aNow - *m_busySince < kMinForecastTime ||
      HadRoom(aRequest.m_urgency, aNow)) {
    return std::nullopt;
  }
  Duration turn = TurnOf(
    aQueue.Ahead(aRequest, false, aNow), aRequest.m_urgency, false, aNow);
  if (aNow + turn <= aRequest.m_onTimeUntil) {
    return std::nullopt;
  }
  turn =
    TurnOf(aQueue.Ahead(aRequest, true, aNow), aRequest.m_urgency, true, aNow);
  if (aNow + turn <= aRequest.m_giveUpAt) {
    return std::nullopt;
  }
  return aNow + turn - aRequest.m_giveUpAt;
}

} // namespace shallotford
