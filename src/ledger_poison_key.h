#ifndef SHALLOTFORD_SRC_LEDGER_POISON_KEY_H
#define SHALLOTFORD_SRC_LEDGER_POISON_KEY_H

/// Keys of joint convictions: the fingerprints, joined by kJoint; and a bound
/// of convictions that lapse.

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace shallotford {

/// Not in a fingerprint, which is hexadecimal.
inline constexpr char kJoint = '+';

/// Lapses of one conviction that count, so that its time stays in range.
inline constexpr std::uint32_t kMaxConvictionLapses = 10;

/// Returns the fingerprints of a conviction's key. They view aKey.
inline std::vector<std::string_view>
MembersOf(std::string_view aKey)
{
  std::vector<std::string_view> members;
  while (true) {
    std::size_t end = aKey.find(kJoint);
    members.push_back(aKey.substr(0, end));
    if (end == std::string_view::npos) {
      return members;
    }
    aKey.remove_prefix(end + 1);
  }
}

} // namespace shallotford

#endif // SHALLOTFORD_SRC_LEDGER_POISON_KEY_H
