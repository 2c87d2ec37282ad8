/// The explain command of shallotfordctl: prints the upstreams that one request
/// was routed to, and the alternatives that were considered.

#include "ctl_view.h"

namespace shallotford {

namespace {

void
PrintSummary(const Json::Value& aRequest, std::ostream& aOut)
{
  aOut << "request " << Printable(CellOf(aRequest, "request").m_text)
       << ": service " << Printable(CellOf(aRequest, "service").m_text)
       << ", caller " << Printable(CellOf(aRequest, "caller").m_text)
       << ", state " << Printable(CellOf(aRequest, "state").m_text)
       << ", outcome " << Printable(CellOf(aRequest, "outcome").m_text)
       << ", tokens " << Printable(CellOf(aRequest, "tokens").m_text) << '\n';
  Cell reason = CellOf(aRequest, "reason");
  if (reason.m_text != "-") {
    aOut << "reason: " << Printable(reason.m_text) << '\n';
  }
}

void
PrintAttempts(const Json::Value& aRequest, std::ostream& aOut, bool aColour)
{
  Table table({ { "ATTEMPT", Alignment::Right },
                { "PREFILL" },
                { "UPSTREAM" },
                { "END" } });
  for (const Json::Value& attempt : ListOf(aRequest, "attempts")) {
    table.AddRow({ CellOf(attempt, "attempt"),
                   CellOf(attempt, "prefill"),
                   CellOf(attempt, "upstream"),
                   CellOf(attempt, "end") });
  }
  table.Write(aOut, aColour);
}

void
PrintAlternatives(const Json::Value& aRequest, std::ostream& aOut, bool aColour)
{
  Table table(
    { { "ALTERNATIVE" }, { "DECODE" }, { "COST, S", Alignment::Right } });
  for (const Json::Value& alternative : ListOf(aRequest, "alternatives")) {
    table.AddRow({ CellOf(alternative, "prefill"),
                   CellOf(alternative, "decode"),
                   CellOf(alternative, "cost_s") });
  }
  if (table.RowCount() > 0) {
    aOut << '\n';
    table.Write(aOut, aColour);
  }
}

class ExplainView : public ViewI
{
public:
  explicit ExplainView(std::string aRequest)
    : m_request(std::move(aRequest))
  {
  }

  OperatorCall Call() const override
  {
    OperatorCall call{ .m_method = "explain" };
    call.m_params["request"] = m_request;
    return call;
  }

  void Print(const std::vector<VmAnswer>& aAnswers,
             std::ostream& aOut,
             bool aColour) const override
  {
    for (const VmAnswer& answer : aAnswers) {
      PrintSummary(*answer.m_result, aOut);
      aOut << '\n';
      PrintAttempts(*answer.m_result, aOut, aColour);
      PrintAlternatives(*answer.m_result, aOut, aColour);
    }
  }

  bool OneAnswerSuffices() const override { return true; }

private:
  std::string m_request;
};

} // namespace

std::unique_ptr<ViewI>
MakeExplainView(const std::string& aRequest)
{
  return std::make_unique<ExplainView>(aRequest);
}

} // namespace shallotford
