/// The check command of shallotfordctl: validates a fleet text or a daemon's
/// settings without contacting a daemon.

#include "ctl_check.h"

#include "ctl_table.h"
#include "shallotford/fleet.h"

#include <ostream>
#include <sstream>

namespace shallotford {

namespace {

const char*
NameOf(TextKind aKind)
{
  return aKind == TextKind::Fleet ? "fleet text" : "settings";
}

Json::Value
ToJson(const std::vector<std::string>& aLines)
{
  Json::Value list(Json::arrayValue);
  for (const std::string& line : aLines) {
    list.append(line);
  }
  return list;
}

Json::Value
ToJson(const CheckReport& aReport)
{
  Json::Value value(Json::objectValue);
  value["file"] = aReport.m_file;
  value["kind"] = aReport.m_kind == TextKind::Fleet ? "fleet" : "settings";
  value["valid"] = aReport.IsValid();
  value["errors"] = ToJson(aReport.m_errors);
  value["remedy"] = aReport.m_remedy;
  value["warnings"] = ToJson(aReport.m_warnings);
  if (aReport.m_kind == TextKind::Fleet && aReport.IsValid()) {
    value["revision"] = static_cast<Json::UInt64>(aReport.m_revision);
  }
  return value;
}

bool
HasAny(const Json::Value& aObject, std::initializer_list<const char*> aNames)
{
  for (const char* name : aNames) {
    if (aObject.isMember(name)) {
      return true;
    }
  }
  return false;
}

} // namespace

std::vector<std::string>
SplitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

TextKind
KindOfText(const std::string& aText)
{
  Json::Value root;
  try {
    root = ParseJson(aText);
  } catch (const Error&) {
    return TextKind::Fleet;
  }
  if (!root.isObject() || HasAny(root, { "revision", "services", "models" })) {
    return TextKind::Fleet;
  }
  bool isSettings =
    HasAny(root, { "peers", "operators", "platform", "failure_domain" });
  return isSettings ? TextKind::Settings : TextKind::Fleet;
}

CheckReport
CheckText(const std::string& aText, const std::string& aName)
{
  CheckReport report{ .m_file = aName,
                      .m_kind = KindOfText(aText),
                      .m_revision = 0,
                      .m_errors = {},
                      .m_remedy = {},
                      .m_warnings = {} };
  try {
    if (report.m_kind == TextKind::Settings) {
      ParseSettings(aText, aName);
      return report;
    }
    FleetPtr fleet = ParseFleetText(aText, aName);
    report.m_revision = fleet->m_revision;
    report.m_warnings = fleet->m_warnings;
  } catch (const Error& error) {
    report.m_errors = SplitLines(error.what());
    report.m_remedy = error.Remedy();
  }
  return report;
}

void
PrintReport(const CheckReport& aReport, bool aJson, CtlIo& aIo)
{
  if (aJson) {
    aIo.m_out << WriteJson(ToJson(aReport)) << '\n';
    return;
  }
  for (const std::string& warning : aReport.m_warnings) {
    aIo.m_out << Styled("warning", CellStyle::Warning, aIo.m_colour) << ": "
              << Printable(warning) << '\n';
  }
  for (const std::string& error : aReport.m_errors) {
    aIo.m_out << Styled("error", CellStyle::Bad, aIo.m_colour) << ": "
              << Printable(error) << '\n';
  }
  if (!aReport.IsValid()) {
    aIo.m_out << "  remedy: " << Printable(aReport.m_remedy) << '\n';
    return;
  }
  aIo.m_out << aReport.m_file << ": "
            << Styled("valid", CellStyle::Good, aIo.m_colour) << ' '
            << NameOf(aReport.m_kind);
  if (aReport.m_kind == TextKind::Fleet) {
    aIo.m_out << ", revision " << aReport.m_revision;
  }
  aIo.m_out << '\n';
}

} // namespace shallotford
