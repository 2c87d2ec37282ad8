#ifndef SHALLOTFORD_TOOLS_STANDIN_LINK_H
#define SHALLOTFORD_TOOLS_STANDIN_LINK_H

/// A link of limited rate that concurrent transfers share equally, in virtual
/// time.

#include "shallotford/base.h"

#include <cstdint>
#include <map>
#include <vector>

namespace shallotford::standin {

class SharedLink
{
public:
  /// @param aBytesPerSecond  of the whole link, above 0
  explicit SharedLink(std::uint64_t aBytesPerSecond);

  /// Starts a transfer. @returns its number
  std::uint64_t Add(TimePoint aNow, std::uint64_t aBytes);
  /// Returns when the next transfer ends, or TimePoint::max().
  TimePoint NextDoneAt() const;
  /// Runs to aNow and returns the transfers that ended.
  std::vector<std::uint64_t> Advance(TimePoint aNow);

private:
  double ShareNow() const;
  void MoveTo(TimePoint aNow);

  std::uint64_t m_bytesPerSecond;
  TimePoint m_at;
  std::uint64_t m_next{ 1 };
  std::map<std::uint64_t, double> m_left; ///< bytes by transfer
};

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_LINK_H
