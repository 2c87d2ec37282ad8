/// Audit trail: keeps the newest changes in memory, formats and finds them.

#include "shallotford/control/audit.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace shallotford {

namespace {

constexpr std::array<std::pair<AuditKind, std::string_view>, 5> kKinds{ {
  { AuditKind::Configuration, "configuration" },
  { AuditKind::Role, "role" },
  { AuditKind::Order, "order" },
  { AuditKind::Quarantine, "quarantine" },
  { AuditKind::Membership, "membership" },
} };

/// Returns aTime in UTC as ISO 8601 with milliseconds.
std::string
Timestamp(WallTime aTime)
{
  auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  std::time_t seconds = std::chrono::system_clock::to_time_t(
    std::chrono::floor<std::chrono::seconds>(aTime));
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(1'000 + milliseconds.count() % 1'000);
  return std::string(text.data()) + "." + fraction.substr(1) + "Z";
}

bool
Matches(const AuditEntry& aEntry, const AuditQuery& aQuery)
{
  return aEntry.m_sequence > aQuery.m_after &&
         (!aQuery.m_kind || aEntry.m_kind == *aQuery.m_kind) &&
         (aQuery.m_subject.empty() || aEntry.m_subject == aQuery.m_subject);
}

} // namespace

std::string_view
ToString(AuditKind aKind)
{
  for (const auto& [kind, name] : kKinds) {
    if (kind == aKind) {
      return name;
    }
  }
  return "";
}

std::optional<AuditKind>
ParseAuditKind(std::string_view aName)
{
  for (const auto& [kind, name] : kKinds) {
    if (name == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string
ToLine(const AuditEntry& aEntry)
{
  LogEvent line("audit");
  line.Add("seq", static_cast<std::int64_t>(aEntry.m_sequence));
  line.Add("time", Timestamp(aEntry.m_time));
  line.Add("kind", ToString(aEntry.m_kind));
  line.Add("subject", aEntry.m_subject);
  line.Add("change", aEntry.m_change);
  line.Add("cause", aEntry.m_cause);
  line.Add("revision", static_cast<std::int64_t>(aEntry.m_revision));
  return line.Line();
}

AuditTrail::AuditTrail(std::size_t aCapacity)
  : m_capacity(std::max<std::size_t>(aCapacity, 1))
{
}

std::uint64_t
AuditTrail::Add(AuditEntry aEntry)
{
  aEntry.m_sequence = ++m_sequence;
  m_entries.push_back(std::move(aEntry));
  if (m_entries.size() > m_capacity) {
    m_entries.pop_front();
    ++m_dropped;
  }
  return m_sequence;
}

std::vector<AuditEntry>
AuditTrail::Find(const AuditQuery& aQuery) const
{
  std::vector<AuditEntry> found;
  for (auto entry = m_entries.rbegin();
       entry != m_entries.rend() && found.size() < aQuery.m_limit;
       ++entry) {
    if (Matches(*entry, aQuery)) {
      found.push_back(*entry);
    }
  }
  std::reverse(found.begin(), found.end());
  return found;
}

} // namespace shallotford
