#ifndef SHALLOTFORD_SRC_NET_TIMERS_H
#define SHALLOTFORD_SRC_NET_TIMERS_H

/// Timers of one loop, woken by a timerfd. libwebsockets' own timers are no
/// use here: its poll() waits in whole milliseconds.

#include "shallotford/net.h"

#include <set>
#include <unordered_map>

namespace shallotford {

class TimerQueue
{
public:
  TimerQueue();
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /// Returns the timerfd that becomes readable when a timer is due.
  int Descriptor() const { return m_descriptor; }
  TimersI::TimerId Add(TimePoint aDue, std::function<void()> aCallback);
  void Cancel(TimersI::TimerId aTimer);
  /// Runs the timers due at aNow that existed before the call.
  void RunDue(TimePoint aNow);
  /// Sets the timerfd to the earliest timer, if that has changed.
  void Arm();
  /// Makes the timerfd unreadable again.
  void Acknowledge();
  /// Returns whether a timer is due at aNow.
  bool IsDue(TimePoint aNow) const
  {
    return !m_order.empty() && m_order.begin()->first <= aNow;
  }
  /// Returns the time for which the descriptor was last found readable.
  TimePoint ExpiredAt() const { return m_expiredAt; }

private:
  struct Timer
  {
    TimePoint m_due;
    std::function<void()> m_callback;
  };

  int m_descriptor;
  TimersI::TimerId m_lastId{ 0 };
  TimePoint m_armed{ TimePoint::max() };
  TimePoint m_expiredAt{};
  std::set<std::pair<TimePoint, TimersI::TimerId>> m_order;
  std::unordered_map<TimersI::TimerId, Timer> m_timers;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_TIMERS_H
