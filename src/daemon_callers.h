#ifndef SHALLOTFORD_SRC_DAEMON_CALLERS_H
#define SHALLOTFORD_SRC_DAEMON_CALLERS_H

/// Identifies callers by the bearer keys of their requests.

#include "shallotford/fleet.h"

#include <array>
#include <map>
#include <string>

namespace shallotford {

/// Compares bearer keys with the salted hashes of the fleet text.
class CallerDirectory
{
public:
  CallerDirectory();
  /// Replaces the callers by those of aFleet and clears the cache of verified
  /// keys.
  void SetFleet(FleetPtr aFleet);
  /// Returns the caller whose key aAuthorization carries ("Bearer KEY"), or
  /// nullptr for an anonymous caller if the fleet text allows anonymous
  /// callers.
  /// @param aAuthorization  header value; nullptr if there is none
  /// @throws Error (Unauthenticated)
  const CallerEntry* Identify(const std::string* aAuthorization);

private:
  using Digest = std::array<unsigned char, 32>;
  const CallerEntry* Verify(std::string_view aKey);
  Digest CacheKey(std::string_view aKey) const;

  FleetPtr m_fleet;
  /// Salt of the hashes by which the cache finds keys. Hashes are stored so
  /// that no bearer key stays in memory.
  std::string m_cacheSalt;
  std::map<Digest, const CallerEntry*> m_verified;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_CALLERS_H
