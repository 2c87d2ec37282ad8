#ifndef SHALLOTFORD_ORGANISATION_H
#define SHALLOTFORD_ORGANISATION_H

/// Organisations that callers belong to: their keys, priorities and limits.
/// Pure: time is passed in, and there are no sockets, threads or logs.

#include "shallotford/base.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// The limit of one organisation over all VMs, as a token bucket.
struct RateLimit
{
  double m_perSecond{ 0 }; ///< in units; 0: no limit
  double m_burst{ 0 };     ///< units that may be saved up
  /// A unit is a token of a request's prompt or output, else a request.
  bool m_countsTokens{ false };
  double m_plainTokens{ 0 }; ///< of a request that names no tokens

  bool operator==(const RateLimit&) const = default;
};

/// An organisation as operators publish it.
struct Organisation
{
  std::string m_name;
  std::vector<std::string> m_keys; ///< each allows its requests
  /// Takes precedence over a route's priority; 0 is the most urgent.
  std::optional<std::int32_t> m_priority;
  RateLimit m_limit;
};

// ------------------------------------------------------------------ keys

/// Finds the organisation of a key by the key's digest, so that the time of a
/// look-up tells nothing of a key.
class OrganisationTable
{
public:
  OrganisationTable() = default;
  /// @param aOrganisations  must outlive this
  explicit OrganisationTable(const std::vector<Organisation>& aOrganisations);

  /// @return nullptr if no organisation has aKey
  const Organisation* FindByKey(std::string_view aKey) const;
  /// @return nullptr if there is none of that name
  const Organisation* FindByName(std::string_view aName) const;
  bool IsEmpty() const { return m_byName.empty(); }
  std::size_t Organisations() const { return m_byName.size(); }
  std::size_t Keys() const { return m_byDigest.size(); }
  /// Returns whether the names and the keys of both are the same.
  bool HasSameKeys(const OrganisationTable& aOther) const;

private:
  using Digest = std::array<unsigned char, 32>; ///< SHA-256

  static Digest DigestOf(std::string_view aKey);

  std::map<Digest, const Organisation*> m_byDigest;
  std::map<std::string, const Organisation*, std::less<>> m_byName;
};

// ----------------------------------------------------------------- proof

/// Counts the time in which the machine is suspended, which the steady clock
/// leaves out.
struct BootClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};
/// Time since the machine's boot.
using BootTime = BootClock::time_point;

/// Knows the latest time up to which the configuration in force is proven to be
/// the newest one: all changes that were acknowledged before it are in force.
class ConfigProof
{
public:
  /// @param aRevoke  time after its acknowledgement at which a withdrawn key
  ///                 must not work at any VM; nothing if that isn't asked for
  explicit ConfigProof(std::optional<Duration> aRevoke);

  /// The source has told all changes before a call to it.
  void OnSource(BootTime aCallBegan);
  /// The reply of a peer has brought this VM up to the peer's position.
  /// @param aCallBegan  begin of the call that it answers
  /// @param aPeerAge    age of the peer's own proof at its reply
  void OnPeer(BootTime aCallBegan, Duration aPeerAge);
  /// The source came back from an older copy, so it may have lost a
  /// configuration that peers have.
  void OnNewEra(BootTime aNow);

  /// @return nothing without a proof
  std::optional<Duration> Age(BootTime aNow) const;
  /// Returns whether requests with keys may be served.
  bool MayServe(BootTime aNow) const;
  /// Returns whether a key that the configuration doesn't have is surely no
  /// newer one.
  bool KnowsAllKeys(BootTime aNow) const;
  /// Returns whether further peers should be asked for a proof.
  bool WantsPeers(BootTime aNow) const;

private:
  void Advance(BootTime aProven);

  std::optional<Duration> m_revoke;
  std::optional<BootTime> m_proven;
  BootTime m_heldUntil{};   ///< no request with a key is served before
  BootTime m_settledFrom{}; ///< peers are asked before
};

} // namespace shallotford

#endif // SHALLOTFORD_ORGANISATION_H
