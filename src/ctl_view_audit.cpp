/// The audit command of shallotfordctl: prints the audit trail of each VM.

#include "ctl_view.h"

namespace shallotford {

namespace {

class AuditView : public ViewI
{
public:
  explicit AuditView(AuditFilter aFilter)
    : m_filter(std::move(aFilter))
  {
  }

  OperatorCall Call() const override
  {
    OperatorCall call{ .m_method = "audit" };
    call.m_params["limit"] = static_cast<Json::UInt64>(m_filter.m_limit);
    if (!m_filter.m_kind.empty()) {
      call.m_params["kind"] = m_filter.m_kind;
    }
    if (!m_filter.m_subject.empty()) {
      call.m_params["subject"] = m_filter.m_subject;
    }
    return call;
  }

  void Print(const std::vector<VmAnswer>& aAnswers,
             std::ostream& aOut,
             bool aColour) const override
  {
    Table table({ { "VM" },
                  { "NO", Alignment::Right },
                  { "KIND" },
                  { "SUBJECT" },
                  { "CHANGE" },
                  { "CAUSE" },
                  { "REVISION", Alignment::Right } });
    for (const VmAnswer& answer : aAnswers) {
      for (const Json::Value& entry : ListOf(*answer.m_result, "entries")) {
        table.AddRow({ { answer.m_vm },
                       CellOf(entry, "sequence"),
                       CellOf(entry, "kind"),
                       CellOf(entry, "subject"),
                       CellOf(entry, "change"),
                       CellOf(entry, "cause"),
                       CellOf(entry, "revision") });
      }
    }
    table.Write(aOut, aColour);
    for (const VmAnswer& answer : aAnswers) {
      std::uint64_t dropped = answer.m_result->get("dropped", 0).asUInt64();
      if (dropped > 0) {
        aOut << answer.m_vm << ": " << dropped
             << " older changes were dropped\n";
      }
    }
  }

private:
  AuditFilter m_filter;
};

} // namespace

std::unique_ptr<ViewI>
MakeAuditView(const AuditFilter& aFilter)
{
  return std::make_unique<AuditView>(aFilter);
}

} // namespace shallotford
