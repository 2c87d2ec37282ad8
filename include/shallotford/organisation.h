#ifndef SHALLOTFORD_ORGANISATION_H
#define SHALLOTFORD_ORGANISATION_H

/// Organisations that callers belong to: their keys, priorities and limits.
/// Pure: time is passed in, and there are no sockets, threads or logs.

#include "shallotford/base.h"

#include <optional>
#include <string>
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

} // namespace shallotford

#endif // SHALLOTFORD_ORGANISATION_H
