#ifndef SHALLOTFORD_SRC_CTL_VIEW_H
#define SHALLOTFORD_SRC_CTL_VIEW_H

/// Views of shallotfordctl: for each command that queries daemons, the call it
/// makes and the tables it prints. docs/API.md lists the members of each
/// answer.

#include "ctl_call.h"
#include "ctl_command.h"
#include "ctl_table.h"

#include <memory>
#include <ostream>

namespace shallotford {

class ViewI
{
public:
  virtual ~ViewI() = default;
  virtual OperatorCall Call() const = 0;
  /// Writes the tables of the VMs that answered.
  /// @param aAnswers  each has a result
  virtual void Print(const std::vector<VmAnswer>& aAnswers,
                     std::ostream& aOut,
                     bool aColour) const = 0;
  /// Returns whether the answer of one VM is enough, so that errors of the
  /// other VMs are ignored.
  virtual bool OneAnswerSuffices() const { return false; }
};

/// @param aCommand  any that queries daemons, except plan
std::unique_ptr<ViewI>
MakeView(const CtlCommand& aCommand);

std::unique_ptr<ViewI>
MakeStatusView();
std::unique_ptr<ViewI>
MakeUpstreamsView();
std::unique_ptr<ViewI>
MakeRequestsView();
std::unique_ptr<ViewI>
MakeAuditView(const AuditFilter& aFilter);
std::unique_ptr<ViewI>
MakeExplainView(const std::string& aRequest);
std::unique_ptr<ViewI>
MakeDrainView();

// These functions turn members of an answer into cells. A member that is absent
// or null gives "-"; a daemon of another version may omit some.

/// Returns text as it is, a number with at most four decimals, and a Boolean as
/// yes or no.
Cell
CellOf(const Json::Value& aObject, const char* aMember);
/// Returns a Boolean as yes or no.
/// @param aBad  value that is styled as bad; the other is styled as good
Cell
FlagCell(const Json::Value& aObject, const char* aMember, bool aBad);
/// Returns milliseconds as seconds with one decimal, such as "1.5 s".
Cell
AgeCell(const Json::Value& aObject, const char* aMember);

/// Returns the array aMember of aObject, or an empty array if it is absent.
const Json::Value&
ListOf(const Json::Value& aObject, const char* aMember);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_VIEW_H
