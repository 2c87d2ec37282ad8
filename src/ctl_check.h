#ifndef SHALLOTFORD_SRC_CTL_CHECK_H
#define SHALLOTFORD_SRC_CTL_CHECK_H

/// The check command of shallotfordctl: validates a fleet text or a daemon's
/// settings without contacting a daemon.

#include "shallotford/ctl.h"

#include <string>
#include <vector>

namespace shallotford {

enum class TextKind
{
  Fleet,
  Settings,
};

/// The errors and warnings found in one text.
struct CheckReport
{
  std::string m_file;
  TextKind m_kind{ TextKind::Fleet };
  std::uint64_t m_revision{ 0 }; ///< of a valid fleet text
  /// Each entry names the line, the field and the problem.
  std::vector<std::string> m_errors;
  std::string m_remedy; ///< one remedy for all errors
  std::vector<std::string> m_warnings;

  bool IsValid() const { return m_errors.empty(); }
};

/// Determines the kind of a text from its members. A text that is neither
/// counts as a fleet text.
TextKind
KindOfText(const std::string& aText);

/// Validates a text of either kind.
/// @param aName  file name for messages
CheckReport
CheckText(const std::string& aText, const std::string& aName);

void
PrintReport(const CheckReport& aReport, bool aJson, CtlIo& aIo);

/// Returns the lines of aText.
std::vector<std::string>
SplitLines(const std::string& aText);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_CHECK_H
