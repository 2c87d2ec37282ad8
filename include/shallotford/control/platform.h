#ifndef SHALLOTFORD_CONTROL_PLATFORM_H
#define SHALLOTFORD_CONTROL_PLATFORM_H

/// Schedules a VM's calls to the platform: a few VMs keep watches (long polls)
/// open, the others learn of changes by gossip and poll rarely, so that the
/// calls of a large fleet stay far below the platform's rate limit.

#include "shallotford/base.h"

#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// Decides whether this VM keeps watches open: if it is one of those chosen for
/// the current hour, or if no VM's watch appears to be answered.
class WatchDuty
{
public:
  /// @param aLive       live VMs by peer address
  /// @param aLastWatch  when any VM's watch was last answered
  bool Watches(const std::string& aSelf,
               const std::vector<std::string>& aLive,
               std::optional<TimePoint> aLastWatch,
               TimePoint aNow,
               WallTime aWallNow);

private:
  std::optional<TimePoint> m_startedAt;
  std::optional<TimePoint> m_fallbackUntil;
};

/// How the platform answered a call.
enum class PlatformAnswer
{
  Changed,   ///< 200: another version than the call named
  Unchanged, ///< 204
  Failure,   ///< no answer, or an error
};

/// Schedule of the calls for one document ("/config/fleet" or "/vms").
class PlatformSchedule
{
public:
  struct Options
  {
    /// Time between the polls of a VM that keeps no watch.
    Duration m_pollEvery{ std::chrono::seconds{ 60 } };
  };
  PlatformSchedule(Options aOptions, RandomI& aRandom);

  /// Returns how long the platform may hold the call that is due now before it
  /// answers (0 for a poll), or nothing if no call is due.
  /// @param aWatches  whether this VM keeps a watch open
  std::optional<std::chrono::milliseconds> Due(TimePoint aNow, bool aWatches);
  void OnAnswer(PlatformAnswer aAnswer, TimePoint aNow);
  /// Brings the next call forward, because something suggests a change, such as
  /// a call from a VM that isn't listed.
  void OnHint(TimePoint aNow);

private:
  Options m_options;
  RandomI& m_random;
  bool m_calling{ false };
  bool m_lastCallWatched{ false };
  std::uint32_t m_failures{ 0 };
  std::optional<TimePoint> m_next;
  std::optional<TimePoint> m_lastHint;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_PLATFORM_H
