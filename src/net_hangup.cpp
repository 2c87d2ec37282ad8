/// Watches connections whose request is being answered.

#include "net_hangup.h"

#include "shallotford/base.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace shallotford {

HangupWatch::HangupWatch()
  : m_descriptor(::epoll_create1(EPOLL_CLOEXEC))
{
  if (m_descriptor < 0) {
    throw Error(ErrorKind::Internal,
                "cannot create an epoll descriptor",
                "Raise the limit of open files (ulimit -n).");
  }
}

HangupWatch::~HangupWatch()
{
  ::close(m_descriptor);
}

std::uint64_t
HangupWatch::Add(int aSocket, std::function<void()> aOnReadable)
{
  std::uint64_t watch = ++m_lastWatch;
  epoll_event event{};
  event.events = EPOLLONESHOT;
  event.data.u64 = watch;
  ::epoll_ctl(m_descriptor, EPOLL_CTL_ADD, aSocket, &event);
  m_callbacks.emplace(watch, std::move(aOnReadable));
  return watch;
}

void
HangupWatch::Arm(std::uint64_t aWatch, int aSocket)
{
  epoll_event event{};
  event.events = EPOLLIN | EPOLLONESHOT;
  event.data.u64 = aWatch;
  ::epoll_ctl(m_descriptor, EPOLL_CTL_MOD, aSocket, &event);
}

void
HangupWatch::RunDue()
{
  std::array<epoll_event, 64> events{};
  int count = ::epoll_wait(
    m_descriptor, events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    auto found = m_callbacks.find(events.at(i).data.u64);
    if (found != m_callbacks.end()) {
      // A copy, since the callback may remove the watch.
      std::function<void()> callback = found->second;
      callback();
    }
  }
}

} // namespace shallotford
