#ifndef SHALLOTFORD_SRC_LEDGER_POISON_KEY_H
#define SHALLOTFORD_SRC_LEDGER_POISON_KEY_H

/// Keys of joint convictions: the fingerprints, joined by kJoint.

#include <cstddef>
#include <string_view>
#include <vector>

namespace shallotford {

/// Not in a fingerprint, which is hexadecimal.
inline constexpr char kJoint = '+';

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
