/// Tells when bytes, or the end, arrive on connections.

#include "net_arrival.h"

#include "shallotford/base.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace shallotford {

ArrivalWatch::ArrivalWatch()
  : m_descriptor(::epoll_create1(EPOLL_CLOEXEC))
{
  if (m_descriptor < 0) {
    throw Error(ErrorKind::Internal,
                "cannot create an epoll descriptor",
                "Raise the limit of open files (ulimit -n).");
  }
}

ArrivalWatch::~ArrivalWatch()
{
  ::close(m_descriptor);
}

std::uint64_t
ArrivalWatch::Add(int aSocket, std::function<void()> aOnArrival)
{
  std::uint64_t watch = ++m_lastWatch;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
  event.data.u64 = watch;
  ::epoll_ctl(m_descriptor, EPOLL_CTL_ADD, aSocket, &event);
  m_callbacks.emplace(watch, std::move(aOnArrival));
  return watch;
}

void
ArrivalWatch::RunDue()
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
