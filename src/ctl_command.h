#ifndef SHALLOTFORD_SRC_CTL_COMMAND_H
#define SHALLOTFORD_SRC_CTL_COMMAND_H

/// Parses the command line of shallotfordctl, and holds its help text.

#include "shallotford/net.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

extern const char* const kCtlUsage;

enum class CtlVerb
{
  Help,
  Version,
  Check,
  Plan,
  Status,
  Upstreams,
  Requests,
  Audit,
  Explain,
  Drain,
};

/// Selects the entries of the audit trail to show.
struct AuditFilter
{
  std::string m_kind;           ///< empty: any
  std::string m_subject;        ///< empty: any
  std::uint64_t m_limit{ 100 }; ///< newest entries of each VM
};

struct CtlCommand
{
  CtlVerb m_verb{ CtlVerb::Help };
  std::string m_file;    ///< of check and plan
  std::string m_request; ///< of explain
  AuditFilter m_audit;
  std::vector<std::string> m_vms; ///< operators' addresses
  bool m_fleet{ false };          ///< --fleet was given
  bool m_json{ false };
  std::optional<std::chrono::seconds> m_watch;
  TlsFiles m_tls;
};

/// @throws Error (InvalidRequest), with the remedy, if the command line is
/// invalid
CtlCommand
ParseCommand(const std::vector<std::string>& aArguments);

/// Reads the operators' addresses of --fleet: a comma-separated list, or the
/// lines of the file that it names. Skips empty lines and lines that begin
/// with '#'.
/// @throws Error (InvalidRequest) if an address is invalid or there is none;
/// (InvalidConfig) if the file can't be read
std::vector<std::string>
ReadFleetAddresses(const std::string& aFleet);

/// Returns a file's bytes.
/// @throws Error (InvalidConfig) if it can't be read
std::string
ReadWholeFile(const std::string& aName);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_COMMAND_H
