#ifndef SHALLOTFORD_CONTROL_PLATFORM_H
#define SHALLOTFORD_CONTROL_PLATFORM_H

/// When to call the platform: a few VMs keep waiting watches, the others hear
/// of news by gossip and poll rarely, so that the calls of a large fleet stay
/// far below the platform's rate.

#include "shallotford/base.h"

#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// Decides whether this VM keeps waiting watches: when it is one of those whose
/// turn it is, or when nobody's watch seems to be answered.
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
  std::optional<TimePoint> m_since;
  std::optional<TimePoint> m_actingUntil;
};

/// How the platform answered a call.
enum class PlatformAnswer
{
  Changed,   ///< 200: another version than the one named
  Unchanged, ///< 204
  Failure,   ///< no answer, or an error
};

/// Schedule of the calls for one document ("/config/fleet" or "/vms").
class PlatformSchedule
{
public:
  struct Options
  {
    /// Between the polls of a VM that keeps no watch.
    Duration m_pollEvery{ std::chrono::seconds{ 60 } };
  };
  PlatformSchedule(Options aOptions, RandomI& aRandom);

  /// Returns the wait time of the call to make now, or nothing.
  /// @param aWatches  whether this VM keeps the waiting watch
  std::optional<std::chrono::milliseconds> Due(TimePoint aNow, bool aWatches);
  void OnAnswer(PlatformAnswer aAnswer, TimePoint aNow);
  /// Something hints at news, such as a call from a VM that isn't listed.
  void OnHint(TimePoint aNow);

private:
  Options m_options;
  RandomI& m_random;
  bool m_calling{ false };
  bool m_watched{ false };
  std::uint32_t m_failures{ 0 };
  std::optional<TimePoint> m_next;
  std::optional<TimePoint> m_hintedAt;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_PLATFORM_H
