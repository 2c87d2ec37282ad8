#ifndef SHALLOTFORD_SRC_CTL_CHECK_H
#define SHALLOTFORD_SRC_CTL_CHECK_H

/// Checks a fleet text or a daemon's settings.

#include "shallotford/ctl.h"

#include <string>
#include <vector>

namespace shallotford {

enum class TextKind
{
  Fleet,
  Settings,
};

/// What a check found.
struct CheckReport
{
  std::string m_file;
  TextKind m_kind{ TextKind::Fleet };
  std::uint64_t m_revision{ 0 }; ///< of a valid fleet text
  /// Each names line, field and problem.
  std::vector<std::string> m_errors;
  std::string m_remedy; ///< of all errors
  std::vector<std::string> m_warnings;

  bool IsValid() const { return m_errors.empty(); }
};

/// Tells by its members which of the two a text is. What is neither counts as
/// a fleet text.
TextKind
KindOfText(const std::string& aText);

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
