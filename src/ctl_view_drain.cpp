/// The drain command of shallotfordctl: begins a planned stop of each VM.

#include "ctl_view.h"

namespace shallotford {

namespace {

class DrainView : public ViewI
{
public:
  OperatorCall Call() const override { return { .m_method = "drain" }; }

  void Print(const std::vector<VmAnswer>& aAnswers,
             std::ostream& aOut,
             bool aColour) const override
  {
    Table table({ { "VM" }, { "DRAINING" } });
    for (const VmAnswer& answer : aAnswers) {
      table.AddRow(
        { { answer.m_vm }, FlagCell(*answer.m_result, "draining", false) });
    }
    table.Write(aOut, aColour);
  }
};

} // namespace

std::unique_ptr<ViewI>
MakeDrainView()
{
  return std::make_unique<DrainView>();
}

} // namespace shallotford
