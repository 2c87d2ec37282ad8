/// Creates the view of a command, and turns members of JSON answers into table
/// cells.

#include "ctl_view.h"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace shallotford {

namespace {

const char* const kAbsent = "-";

const Json::Value&
MemberOf(const Json::Value& aObject, const char* aMember)
{
  return aObject.isObject() ? aObject[aMember] : Json::Value::nullSingleton();
}

/// Formats a whole number without a fraction, and others with four decimals.
std::string
NumberText(double aNumber)
{
  constexpr int kDecimals = 4;
  std::ostringstream text;
  bool whole = std::floor(aNumber) == aNumber;
  text << std::fixed << std::setprecision(whole ? 0 : kDecimals) << aNumber;
  return text.str();
}

} // namespace

std::unique_ptr<ViewI>
MakeView(const CtlCommand& aCommand)
{
  switch (aCommand.m_verb) {
    case CtlVerb::Upstreams:
      return MakeUpstreamsView();
    case CtlVerb::Requests:
      return MakeRequestsView();
    case CtlVerb::Audit:
      return MakeAuditView(aCommand.m_audit);
    case CtlVerb::Explain:
      return MakeExplainView(aCommand.m_request);
    case CtlVerb::Drain:
      return MakeDrainView();
    default:
      return MakeStatusView();
  }
}

Cell
CellOf(const Json::Value& aObject, const char* aMember)
{
  const Json::Value& value = MemberOf(aObject, aMember);
  if (value.isBool()) {
    return { value.asBool() ? "yes" : "no" };
  }
  if (value.isDouble()) {
    return { NumberText(value.asDouble()) };
  }
  if (value.isNull() || !value.isConvertibleTo(Json::stringValue)) {
    return { kAbsent };
  }
  std::string text = value.asString();
  return { text.empty() ? kAbsent : text };
}

Cell
FlagCell(const Json::Value& aObject, const char* aMember, bool aBad)
{
  Cell cell = CellOf(aObject, aMember);
  const Json::Value& value = MemberOf(aObject, aMember);
  if (value.isBool()) {
    cell.m_style = value.asBool() == aBad ? CellStyle::Bad : CellStyle::Good;
  }
  return cell;
}

Cell
AgeCell(const Json::Value& aObject, const char* aMember)
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const Json::Value& value = MemberOf(aObject, aMember);
  if (!value.isNumeric()) {
    return { kAbsent };
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << value.asDouble() / kMillisecondsPerSecond << " s";
  return { text.str() };
}

const Json::Value&
ListOf(const Json::Value& aObject, const char* aMember)
{
  static const Json::Value sEmpty(Json::arrayValue);
  const Json::Value& value = MemberOf(aObject, aMember);
  return value.isArray() ? value : sEmpty;
}

} // namespace shallotford
