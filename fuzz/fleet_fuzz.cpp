/// Fuzz target for ParseFleetText(), the parser of fleet texts.

#include "fuzz.h"
#include "shallotford/fleet.h"

using namespace shallotford;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string text(fuzz::AsText(aData, aSize));
  FleetPtr fleet;
  if (!fuzz::ReadsOrRefuses([&] { fleet = ParseFleetText(text, "fleet"); })) {
    return 0;
  }
  // The text must be kept unchanged, since it is passed on to peers, and every
  // reference in it must resolve.
  fuzz::Require(fleet->m_text == text);
  fuzz::Require(fleet->m_revision > 0);
  for (const ServiceEntry& service : fleet->m_services) {
    fuzz::Require(fleet->FindService(service.m_name) == &service);
    if (service.m_kind == ServiceKind::Model) {
      fuzz::Require(fleet->FindModel(service.m_model) != nullptr);
    }
    for (const std::string& dependency : service.m_dependsOn) {
      fuzz::Require(fleet->FindService(dependency) != nullptr);
    }
  }
  return 0;
}
