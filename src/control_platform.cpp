/// When to call the platform.

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
  if (!m_since) {
    m_since = aNow;
  }
  TimePoint last = aLastWatch ? std::max(*aLastWatch, *m_since) : *m_since;
  if (aNow - last > kWatchSilence) {
    m_actingUntil = aNow + kActingWatchTime;
  }
  bool acting = m_actingUntil && aNow < *m_actingUntil;
  return acting || aLive.empty() || HoldsPlatformWatch(aSelf, aLive, aWallNow);
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
  bool takesOver = aWatches && !m_watched && m_failures == 0;
  if (m_next && aNow < *m_next && !takesOver) {
    return std::nullopt;
  }
  m_calling = true;
  bool first = !m_next;
  m_watched = aWatches;
  return aWatches && !first ? kPlatformWait : std::chrono::milliseconds{ 0 };
}

void
PlatformSchedule::OnAnswer(PlatformAnswer aAnswer, TimePoint aNow)
{
  m_calling = false;
  double jitter = 0.75 + 0.5 * m_random.Unit();
  if (aAnswer == PlatformAnswer::Failure) {
    std::uint32_t doublings = std::min(m_failures++, kPlatformBackoffDoublings);
    Duration pause = kPlatformBackoff * (1u << doublings);
    m_next = aNow + std::chrono::duration_cast<Duration>(pause * jitter);
    return;
  }
  m_failures = 0;
  // A platform that flaps between versions answers at once, again and again.
  Duration pause =
    m_watched ? Duration{ kPlatformWatchPause } : m_options.m_pollEvery;
  m_next = aNow + std::chrono::duration_cast<Duration>(pause * jitter);
}

void
PlatformSchedule::OnHint(TimePoint aNow)
{
  if (m_hintedAt && aNow - *m_hintedAt < kPlatformHintEvery) {
    return;
  }
  m_hintedAt = aNow;
  if (m_next && m_failures == 0) {
    m_next = std::min(*m_next, aNow);
  }
}

} // namespace shallotford
