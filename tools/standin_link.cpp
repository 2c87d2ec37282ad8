/// Equal shares of a link.

#include "standin_link.h"

#include <algorithm>
#include <cmath>

namespace shallotford::standin {

SharedLink::SharedLink(std::uint64_t aBytesPerSecond)
  : m_bytesPerSecond(aBytesPerSecond)
{
}

double
SharedLink::ShareNow() const
{
  return static_cast<double>(m_bytesPerSecond) /
         static_cast<double>(m_left.size());
}

void
SharedLink::MoveTo(TimePoint aNow)
{
  if (!m_left.empty()) {
    double moved =
      ShareNow() * std::chrono::duration<double>(aNow - m_at).count();
    for (auto& [number, left] : m_left) {
      left -= moved;
    }
  }
  m_at = aNow;
}

std::uint64_t
SharedLink::Add(TimePoint aNow, std::uint64_t aBytes)
{
  MoveTo(aNow);
  m_left[m_next] = static_cast<double>(aBytes);
  return m_next++;
}

TimePoint
SharedLink::NextDoneAt() const
{
  if (m_left.empty()) {
    return TimePoint::max();
  }
  double least = m_left.begin()->second;
  for (const auto& [number, left] : m_left) {
    least = std::min(least, left);
  }
  double nanoseconds = std::ceil(std::max(least, 0.0) / ShareNow() * 1e9);
  return m_at + std::chrono::nanoseconds(static_cast<long>(nanoseconds));
}

std::vector<std::uint64_t>
SharedLink::Advance(TimePoint aNow)
{
  constexpr double kByte = 1.0;
  std::vector<std::uint64_t> done;
  for (TimePoint at = NextDoneAt(); at <= aNow && !m_left.empty();
       at = NextDoneAt()) {
    MoveTo(at);
    std::erase_if(m_left, [&](const auto& aEntry) {
      bool ended = aEntry.second < kByte;
      if (ended) {
        done.push_back(aEntry.first);
      }
      return ended;
    });
  }
  MoveTo(aNow);
  return done;
}

} // namespace shallotford::standin
