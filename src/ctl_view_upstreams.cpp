/// The upstreams command of shallotfordctl: prints the engines and their state
/// as each VM sees them.

#include "ctl_view.h"

namespace shallotford {

namespace {

class UpstreamsView : public ViewI
{
public:
  OperatorCall Call() const override { return { .m_method = "upstreams" }; }

  void Print(const std::vector<VmAnswer>& aAnswers,
             std::ostream& aOut,
             bool aColour) const override
  {
    Table table({ { "VM" },
                  { "ENGINE" },
                  { "ROLE" },
                  { "MODEL" },
                  { "VERSION" },
                  { "UP" },
                  { "LEAVING" },
                  { "RUNNING", Alignment::Right },
                  { "FREE PIECES", Alignment::Right },
                  { "REPORT AGE", Alignment::Right },
                  { "FENCE", Alignment::Right } });
    for (const VmAnswer& answer : aAnswers) {
      for (const Json::Value& engine : ListOf(*answer.m_result, "engines")) {
        table.AddRow({ { answer.m_vm },
                       CellOf(engine, "address"),
                       CellOf(engine, "role"),
                       CellOf(engine, "model"),
                       CellOf(engine, "version"),
                       FlagCell(engine, "up", false),
                       CellOf(engine, "leaving"),
                       CellOf(engine, "running"),
                       CellOf(engine, "free_pieces"),
                       AgeCell(engine, "report_age_ms"),
                       CellOf(engine, "fence") });
      }
    }
    table.Write(aOut, aColour);
  }
};

} // namespace

std::unique_ptr<ViewI>
MakeUpstreamsView()
{
  return std::make_unique<UpstreamsView>();
}

} // namespace shallotford
