/// Fuzzes the reader of gossip messages, as calls and as results.

#include "fuzz.h"
#include "shallotford/control.h"

using namespace shallotford;

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kVms = 4;
/// Greater than any message that Membership sends.
constexpr std::size_t kMaxMessageBytes = 64u << 10;

std::string
AddressOf(std::size_t aVm)
{
  return "10.0.0." + std::to_string(aVm + 1) + ":18001";
}

/// Returns the membership of VM 0 in a fleet of kVms listed VMs.
Membership
MakeMembership(RandomI& aRandom, TimePoint aNow)
{
  Membership membership({ .m_self = { AddressOf(0), 1 }, .m_bootOrder = 1 },
                        aRandom);
  std::vector<ListedVm> vms;
  vms.reserve(kVms);
  for (std::size_t i = 0; i < kVms; ++i) {
    vms.push_back({ .m_address = AddressOf(i), .m_leaving = false });
  }
  membership.SetListed(vms, aNow);
  return membership;
}

void
CheckView(Membership& aMembership, TimePoint aNow)
{
  fuzz::Require(aMembership.ListedCount() == kVms);
  fuzz::Require(aMembership.ReachableCount(aNow) <= kVms);
  aMembership.TakeOffers();
  aMembership.TakeEvents(aNow);
  aMembership.TakeRumors();
  for (const GossipMessage& message :
       aMembership.Tick(aNow + std::chrono::seconds{ 10 })) {
    fuzz::Require(aMembership.IsListed(message.m_to));
    fuzz::Require(WriteJson(message.m_params).size() < kMaxMessageBytes);
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  Json::Value message;
  if (!fuzz::ReadsOrRefuses(
        [&] { message = ParseJson(fuzz::AsText(aData, aSize)); })) {
    return 0;
  }
  TimePoint now{ std::chrono::seconds{ 100 } };
  auto random = MakeSeededRandom(kSeed);
  Membership called = MakeMembership(*random, now);
  fuzz::ReadsOrRefuses([&] { called.OnCall(message, now); });
  CheckView(called, now);
  Membership answered = MakeMembership(*random, now);
  fuzz::ReadsOrRefuses([&] { answered.OnResult(AddressOf(1), message, now); });
  CheckView(answered, now);
  return 0;
}
