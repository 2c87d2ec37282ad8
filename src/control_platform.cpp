/// Schedules polls and watches (long polls) of the platform's documents.

#include "shallotford/control/platform.h"

#include "config.h"
#include "shallotford/control/ownership.h"

#include <algorithm>

namespace shallotford {

bool
WatchDuty::Watches(const std::string& aSelf,
                   const std::vector<std::string>& aLive,
                   std::optional<TimePoint> aLastWatch,
                   TimePoint aNow,
                   WallTime aWallNow)
{
  if (!m_startedAt) {
    m_startedAt = aNow;
  }
  TimePoint last =
    aLastWatch ? std::max(*aLastWatch, *m_startedAt) : *m_startedAt;
  if (aNow - last > kFleetWatchTimeout) {
    m_fallbackUntil = aNow + kFallbackWatchTime;
  }
  bool fallback = m_fallbackUntil && aNow < *m_fallbackUntil;
  return fallback || aLive.empty() ||
         HoldsPlatformWatch(aSelf, aLive, aWallNow);
}

PlatformSchedule::PlatformSchedule(Options aOptions, RandomI& aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
{
}

std::optional<std::chrono::milliseconds>
PlatformSchedule::Due(TimePoint aNow, bool aWatches)
{
  if (m_calling) {
    return std::nullopt;
  }
  bool becameWatcher = aWatches && !m_lastCallWatched && m_failures == 0;
  if (m_next && aNow < *m_next && !becameWatcher) {
    return std::nullopt;
  }
  m_calling = true;
  bool first = !m_next;
  m_lastCallWatched = aWatches;
  return aWatches && !first ? kPlatformWait : std::chrono::milliseconds{ 0 };
}

void
PlatformSchedule::OnAnswer(PlatformAnswer aAnswer, TimePoint aNow)
{
  m_calling = false;
  double jitter = 0.75 + 0.5 * m_random.Unit();
  if (aAnswer == PlatformAnswer::Failure) {
    std::uint32_t doublings =
      std::min(m_failures++, kMaxPlatformBackoffDoublings);
    Duration pause = kPlatformBackoff * (1u << doublings);
    m_next = aNow + std::chrono::duration_cast<Duration>(pause * jitter);
    return;
  }
  m_failures = 0;
  // The pause after a watch limits the rate of calls to a platform that
  // alternates between versions and so answers every watch at once.
  Duration pause =
    m_lastCallWatched ? Duration{ kPlatformWatchPause } : m_options.m_pollEvery;
  m_next = aNow + std::chrono::duration_cast<Duration>(pause * jitter);
}

void
PlatformSchedule::OnHint(TimePoint aNow)
{
  if (m_lastHint && aNow - *m_lastHint < kMinPlatformHintInterval) {
    return;
  }
  m_lastHint = aNow;
  if (m_next && m_failures == 0) {
    m_next = std::min(*m_next, aNow);
  }
}

} // namespace shallotford
