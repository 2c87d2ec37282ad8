/// Runs one shallotfordctl command: queries the daemons, prints the results,
/// and determines the exit code.

#include "shallotford/ctl.h"

#include "ctl_check.h"
#include "ctl_plan.h"
#include "ctl_view.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace shallotford {

namespace {

/// Returns whether an error is caused by the operator's input, not by the
/// failure of a VM.
bool
IsInputError(ErrorKind aKind)
{
  return aKind == ErrorKind::InvalidRequest ||
         aKind == ErrorKind::InvalidConfig ||
         aKind == ErrorKind::StaleRevision ||
         aKind == ErrorKind::RevisionConflict;
}

void
PrintError(const std::string& aWhat, const std::string& aRemedy, CtlIo& aIo)
{
  aIo.m_err << "shallotfordctl: " << Printable(aWhat) << '\n';
  if (!aRemedy.empty()) {
    aIo.m_err << "  remedy: " << Printable(aRemedy) << '\n';
  }
}

void
PrintFailures(const std::vector<VmAnswer>& aFailed, CtlIo& aIo)
{
  for (const VmAnswer& answer : aFailed) {
    PrintError(answer.m_vm + ": " + answer.m_error, answer.m_remedy, aIo);
  }
}

CtlExit
ExitOf(std::size_t aFailed, std::size_t aAsked)
{
  if (aFailed == 0) {
    return CtlExit::Ok;
  }
  return aFailed == aAsked ? CtlExit::Failed : CtlExit::SomeFailed;
}

Json::Value
ToJson(const VmAnswer& aAnswer)
{
  Json::Value value(Json::objectValue);
  value["vm"] = aAnswer.m_vm;
  if (aAnswer.m_result) {
    value["result"] = *aAnswer.m_result;
    return value;
  }
  value["error"]["message"] = aAnswer.m_error;
  value["error"]["remedy"] = aAnswer.m_remedy;
  return value;
}

/// Prints a list with the result or error of each VM if --fleet is given, else
/// the result alone.
void
PrintJson(const CtlCommand& aCommand,
          const std::vector<VmAnswer>& aAnswers,
          CtlIo& aIo)
{
  Json::Value list(Json::arrayValue);
  for (const VmAnswer& answer : aAnswers) {
    list.append(ToJson(answer));
  }
  if (aCommand.m_fleet) {
    aIo.m_out << WriteJson(list) << '\n';
    return;
  }
  const Json::Value& only = list[0];
  aIo.m_out << WriteJson(only.isMember("result") ? only["result"] : only)
            << '\n';
}

CtlExit
RunView(const CtlCommand& aCommand,
        const ViewI& aView,
        OperatorsI& aOperators,
        CtlIo& aIo)
{
  std::vector<VmAnswer> answers = aOperators.Call(aView.Call());
  if (aCommand.m_json) {
    PrintJson(aCommand, answers, aIo);
  }
  auto failedFrom = std::stable_partition(
    answers.begin(), answers.end(), [](const VmAnswer& aAnswer) {
      return aAnswer.m_result.has_value();
    });
  std::vector<VmAnswer> failed(failedFrom, answers.end());
  answers.erase(failedFrom, answers.end());
  if (!answers.empty() && !aCommand.m_json) {
    aView.Print(answers, aIo.m_out, aIo.m_colour);
  }
  if (!answers.empty() && aView.OneAnswerSuffices()) {
    return CtlExit::Ok;
  }
  PrintFailures(failed, aIo);
  return ExitOf(failed.size(), failed.size() + answers.size());
}

CtlExit
RunPlan(const CtlCommand& aCommand, OperatorsI& aOperators, CtlIo& aIo)
{
  FleetPtr text =
    ParseFleetText(ReadWholeFile(aCommand.m_file), aCommand.m_file);
  RunningFleet running = ReadRunningFleet(aOperators);
  PrintFailures(running.m_failed, aIo);
  if (running.m_failed.size() == aCommand.m_vms.size()) {
    return CtlExit::Failed;
  }
  if (running.m_revisionsDiffer) {
    PrintError("the VMs have different revisions in force",
               "Wait some seconds, then see shallotfordctl status.",
               aIo);
  }
  OrderedPlan plan = MakeOrderedPlan(running, *text);
  if (aCommand.m_json) {
    aIo.m_out << WriteJson(ToJson(plan)) << '\n';
  } else {
    PrintPlan(plan, aIo.m_out, aIo.m_colour);
  }
  return ExitOf(running.m_failed.size(), aCommand.m_vms.size());
}

CtlExit
RunCheck(const CtlCommand& aCommand, CtlIo& aIo)
{
  CheckReport report =
    CheckText(ReadWholeFile(aCommand.m_file), aCommand.m_file);
  PrintReport(report, aCommand.m_json, aIo);
  return report.IsValid() ? CtlExit::Ok : CtlExit::Invalid;
}

/// Runs one round and writes its output in one piece, so that a watch never
/// shows an incomplete round.
CtlExit
RunRound(const CtlCommand& aCommand, OperatorsI& aOperators, CtlIo& aIo)
{
  std::ostringstream out;
  CtlIo round{ .m_out = out,
               .m_err = aIo.m_err,
               .m_colour = aIo.m_colour,
               .m_pace = aIo.m_pace };
  CtlExit result =
    aCommand.m_verb == CtlVerb::Plan
      ? RunPlan(aCommand, aOperators, round)
      : RunView(aCommand, *MakeView(aCommand), aOperators, round);
  aIo.m_out << out.str() << std::flush;
  return result;
}

CtlExit
RunRounds(const CtlCommand& aCommand, CtlIo& aIo)
{
  std::unique_ptr<OperatorsI> operators =
    MakeOperators(aCommand.m_vms, aCommand.m_tls);
  if (aCommand.m_watch) {
    aIo.m_pace.Start();
  }
  CtlExit result = RunRound(aCommand, *operators, aIo);
  while (aCommand.m_watch && aIo.m_pace.WaitNext(*aCommand.m_watch)) {
    if (!aCommand.m_json) {
      aIo.m_out << '\n';
    }
    result = RunRound(aCommand, *operators, aIo);
  }
  return result;
}

CtlExit
RunCommand(const CtlCommand& aCommand, CtlIo& aIo)
{
  switch (aCommand.m_verb) {
    case CtlVerb::Help:
      aIo.m_out << kCtlUsage;
      return CtlExit::Ok;
    case CtlVerb::Version:
      aIo.m_out << "shallotfordctl " << SHALLOTFORD_VERSION << '\n';
      return CtlExit::Ok;
    case CtlVerb::Check:
      return RunCheck(aCommand, aIo);
    default:
      return RunRounds(aCommand, aIo);
  }
}

} // namespace

CtlExit
RunCtl(const std::vector<std::string>& aArguments, CtlIo& aIo)
{
  try {
    return RunCommand(ParseCommand(aArguments), aIo);
  } catch (const Error& error) {
    for (const std::string& line : SplitLines(error.what())) {
      PrintError(line, "", aIo);
    }
    aIo.m_err << "  remedy: " << Printable(error.Remedy()) << '\n';
    return IsInputError(error.Kind()) ? CtlExit::Invalid : CtlExit::Failed;
  } catch (const std::exception& exception) {
    PrintError(exception.what(), "", aIo);
    return CtlExit::Failed;
  }
}

} // namespace shallotford
