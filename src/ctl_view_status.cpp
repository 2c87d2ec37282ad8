/// The status command of shallotfordctl: prints the state of each VM, its
/// request counters and, for a single VM, the other VMs that it lists.

#include "ctl_view.h"

#include <iomanip>
#include <sstream>

namespace shallotford {

namespace {

/// Returns the percentage of prefilled tokens whose result was never used.
Cell
WasteCell(const Json::Value& aStatus)
{
  constexpr double kPercent = 100;
  double done = aStatus.get("prefill_tokens", 0).asDouble();
  double wasted = aStatus.get("wasted_prefill_tokens", 0).asDouble();
  if (done <= 0) {
    return { "-" };
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << kPercent * wasted / done
       << " %";
  return { text.str() };
}

Cell
ConflictCell(const Json::Value& aStatus)
{
  Cell cell = CellOf(aStatus, "conflicts");
  if (cell.m_text != "0" && cell.m_text != "-") {
    cell.m_style = CellStyle::Bad;
  }
  return cell;
}

class StatusView : public ViewI
{
public:
  OperatorCall Call() const override { return { .m_method = "status" }; }

  void Print(const std::vector<VmAnswer>& aAnswers,
             std::ostream& aOut,
             bool aColour) const override
  {
    PrintVms(aAnswers, aOut, aColour);
    aOut << '\n';
    PrintRequests(aAnswers, aOut, aColour);
    if (aAnswers.size() == 1) {
      aOut << '\n';
      PrintMembers(*aAnswers.front().m_result, aOut, aColour);
    }
  }

private:
  static void PrintVms(const std::vector<VmAnswer>& aAnswers,
                       std::ostream& aOut,
                       bool aColour)
  {
    Table table({ { "VM" },
                  { "PEER ADDRESS" },
                  { "REGION" },
                  { "DOMAIN" },
                  { "VERSION" },
                  { "READY" },
                  { "DRAINING" },
                  { "REVISION", Alignment::Right },
                  { "CONFLICTS", Alignment::Right },
                  { "CANCELS", Alignment::Right },
                  { "TICKETS", Alignment::Right } });
    for (const VmAnswer& answer : aAnswers) {
      const Json::Value& status = *answer.m_result;
      table.AddRow({ { answer.m_vm },
                     CellOf(status, "vm"),
                     CellOf(status, "region"),
                     CellOf(status, "failure_domain"),
                     CellOf(status, "version"),
                     FlagCell(status, "ready", false),
                     CellOf(status, "draining"),
                     CellOf(status, "revision"),
                     ConflictCell(status),
                     CellOf(status, "pending_cancels"),
                     CellOf(status, "used_tickets") });
    }
    table.Write(aOut, aColour);
  }

  static void PrintRequests(const std::vector<VmAnswer>& aAnswers,
                            std::ostream& aOut,
                            bool aColour)
  {
    Table table({ { "VM" },
                  { "LIVE", Alignment::Right },
                  { "OPENED", Alignment::Right },
                  { "ANSWERED", Alignment::Right },
                  { "REFUSED", Alignment::Right },
                  { "FAILED", Alignment::Right },
                  { "CANCELLED", Alignment::Right },
                  { "RETRIES", Alignment::Right },
                  { "CONTINUED", Alignment::Right },
                  { "GOODPUT", Alignment::Right },
                  { "WASTED PREFILL", Alignment::Right } });
    for (const VmAnswer& answer : aAnswers) {
      const Json::Value& status = *answer.m_result;
      const Json::Value& ended = status["requests_ended"];
      table.AddRow({ { answer.m_vm },
                     CellOf(status, "requests_live"),
                     CellOf(status, "requests_opened"),
                     CellOf(ended, "answered"),
                     CellOf(ended, "refused"),
                     CellOf(ended, "failed"),
                     CellOf(ended, "cancelled"),
                     CellOf(status, "retries"),
                     CellOf(status, "continued"),
                     CellOf(status, "goodput"),
                     WasteCell(status) });
    }
    table.Write(aOut, aColour);
  }

  static void PrintMembers(const Json::Value& aStatus,
                           std::ostream& aOut,
                           bool aColour)
  {
    Table table({ { "LISTED VM" },
                  { "HEARD" },
                  { "LEAVING" },
                  { "REVISION", Alignment::Right } });
    for (const Json::Value& member : ListOf(aStatus, "vms")) {
      table.AddRow({ CellOf(member, "address"),
                     FlagCell(member, "heard", false),
                     CellOf(member, "leaving"),
                     CellOf(member, "revision") });
    }
    table.Write(aOut, aColour);
  }
};

} // namespace

std::unique_ptr<ViewI>
MakeStatusView()
{
  return std::make_unique<StatusView>();
}

} // namespace shallotford
