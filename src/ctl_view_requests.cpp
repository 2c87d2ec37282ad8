/// The requests command of shallotfordctl: prints the requests that each VM
/// holds.

#include "ctl_view.h"

namespace shallotford {

namespace {

Cell
OutcomeCell(const Json::Value& aRequest)
{
  Cell cell = CellOf(aRequest, "outcome");
  if (cell.m_text == "answered") {
    cell.m_style = CellStyle::Good;
  } else if (cell.m_text == "failed") {
    cell.m_style = CellStyle::Bad;
  }
  return cell;
}

class RequestsView : public ViewI
{
public:
  OperatorCall Call() const override { return { .m_method = "requests" }; }

  void Print(const std::vector<VmAnswer>& aAnswers,
             std::ostream& aOut,
             bool aColour) const override
  {
    Table table({ { "REQUEST" },
                  { "SERVICE" },
                  { "CALLER" },
                  { "STATE" },
                  { "OUTCOME" },
                  { "TOKENS", Alignment::Right },
                  { "ATTEMPTS", Alignment::Right },
                  { "AGE", Alignment::Right },
                  { "REASON" } });
    for (const VmAnswer& answer : aAnswers) {
      for (const Json::Value& request : ListOf(*answer.m_result, "requests")) {
        Json::ArrayIndex attempts = ListOf(request, "attempts").size();
        table.AddRow({ CellOf(request, "request"),
                       CellOf(request, "service"),
                       CellOf(request, "caller"),
                       CellOf(request, "state"),
                       OutcomeCell(request),
                       CellOf(request, "tokens"),
                       { std::to_string(attempts) },
                       AgeCell(request, "age_ms"),
                       CellOf(request, "reason") });
      }
    }
    table.Write(aOut, aColour);
  }
};

} // namespace

std::unique_ptr<ViewI>
MakeRequestsView()
{
  return std::make_unique<RequestsView>();
}

} // namespace shallotford
