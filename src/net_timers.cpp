/// Timers of one loop.

#include "net_timers.h"

#include <sys/timerfd.h>
#include <unistd.h>

namespace shallotford {

namespace {

/// Returns aTime for timerfd_settime(), whose zero would disarm the timer.
timespec
ToTimespec(TimePoint aTime)
{
  auto since = std::chrono::duration_cast<std::chrono::nanoseconds>(
    aTime.time_since_epoch());
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
  timespec result{};
  result.tv_sec = seconds.count();
  result.tv_nsec = std::max<long>((since - seconds).count(), 1);
  return result;
}

} // namespace

TimerQueue::TimerQueue()
  : m_descriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
  if (m_descriptor < 0) {
    throw Error(ErrorKind::Internal,
                "cannot create a timerfd",
                "Raise the limit of open files (ulimit -n).");
  }
}

TimerQueue::~TimerQueue()
{
  ::close(m_descriptor);
}

TimersI::TimerId
TimerQueue::Add(TimePoint aDue, std::function<void()> aCallback)
{
  TimersI::TimerId id = ++m_lastId;
  m_order.emplace(aDue, id);
  m_timers.emplace(id, Timer{ aDue, std::move(aCallback) });
  return id;
}

void
TimerQueue::Cancel(TimersI::TimerId aTimer)
{
  auto found = m_timers.find(aTimer);
  if (found == m_timers.end()) {
    return;
  }
  m_order.erase({ found->second.m_due, aTimer });
  m_timers.erase(found);
}

void
TimerQueue::RunDue(TimePoint aNow)
{
  TimersI::TimerId newest = m_lastId;
  auto next = m_order.begin();
  while (next != m_order.end() && next->first <= aNow) {
    TimersI::TimerId id = next->second;
    if (id > newest) {
      ++next;
      continue;
    }
    std::function<void()> callback = std::move(m_timers.at(id).m_callback);
    m_timers.erase(id);
    m_order.erase(next);
    callback();
    next = m_order.begin();
  }
}

void
TimerQueue::Arm()
{
  TimePoint due = m_order.empty() ? TimePoint::max() : m_order.begin()->first;
  if (due == m_armed) {
    return;
  }
  m_armed = due;
  itimerspec setting{};
  if (due != TimePoint::max()) {
    setting.it_value = ToTimespec(due);
  }
  ::timerfd_settime(m_descriptor, TFD_TIMER_ABSTIME, &setting, nullptr);
}

void
TimerQueue::Acknowledge()
{
  std::uint64_t expirations = 0;
  if (::read(m_descriptor, &expirations, sizeof expirations) > 0) {
    m_expiredAt = m_armed;
    m_armed = TimePoint::max();
  }
}

} // namespace shallotford
