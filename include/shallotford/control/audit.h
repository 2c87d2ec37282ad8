#ifndef SHALLOTFORD_CONTROL_AUDIT_H
#define SHALLOTFORD_CONTROL_AUDIT_H

/// Audit trail: a bounded in-memory record of changes to configuration, roles,
/// orders, quarantine and membership, each with its cause.

#include "shallotford/base.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

enum class AuditKind
{
  Configuration,
  Role,
  Order,
  Quarantine,
  Membership,
};
std::string_view
ToString(AuditKind aKind);
std::optional<AuditKind>
ParseAuditKind(std::string_view aName);

/// One change.
struct AuditEntry
{
  std::uint64_t m_sequence{}; ///< set by the trail, from 1
  WallTime m_time{};
  AuditKind m_kind{ AuditKind::Configuration };
  std::string m_subject{}; ///< what changed: an address, a service, "fleet"
  std::string m_change{};  ///< what it changed to
  std::string m_cause{};
  std::uint64_t m_revision{}; ///< of the fleet text in force
};

/// Returns the entry as one line of key=value pairs.
std::string
ToLine(const AuditEntry& aEntry);

struct AuditQuery
{
  std::uint64_t m_after{ 0 }; ///< only entries of higher sequence
  std::size_t m_limit{ 1'000 };
  std::optional<AuditKind> m_kind{};
  std::string m_subject{}; ///< empty: any
};

/// Keeps the newest changes; drops the oldest ones and counts them.
class AuditTrail
{
public:
  /// @param aCapacity  maximum number of entries kept, at least 1
  explicit AuditTrail(std::size_t aCapacity);

  /// Records a change. @returns its sequence
  std::uint64_t Add(AuditEntry aEntry);
  /// Returns the newest matching entries, up to the limit, oldest first.
  std::vector<AuditEntry> Find(const AuditQuery& aQuery) const;
  std::uint64_t Dropped() const { return m_dropped; }

private:
  std::size_t m_capacity;
  std::uint64_t m_sequence{ 0 };
  std::uint64_t m_dropped{ 0 };
  std::deque<AuditEntry> m_entries;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_AUDIT_H
