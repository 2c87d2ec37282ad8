/// Tests of gossip, membership and the spread of revisions under faults such as
/// partitions, pauses and a stale platform, over an in-memory network in
/// virtual time.

#define BOOST_TEST_MODULE control_membership
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "control_fixture.h"
#include "control_net.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace shallotford;
using namespace shallotford::standin;
using namespace shallotford::test;

namespace {

std::string
VmAddress(std::size_t aIndex)
{
  return "10.0." + std::to_string(aIndex / 200) + "." +
         std::to_string(aIndex % 200 + 1) + ":8081";
}

std::string
TextOf(std::uint64_t aRevision, const std::string& aNote = "")
{
  return MakeText({ .m_revision = aRevision, .m_note = aNote });
}

/// A fleet in which every VM runs revision 1.
struct Fleet
{
  explicit Fleet(std::size_t aVms)
    : m_net(1)
  {
    for (std::size_t i = 0; i < aVms; ++i) {
      m_net.AddVm(VmAddress(i));
    }
    m_net.ListAll();
    m_net.Publish(TextOf(1));
    m_net.RunFor(60s);
    BOOST_REQUIRE(m_net.AllAt(1));
  }

  ControlVm& Vm(std::size_t aIndex) { return m_net.Vm(aIndex); }
  std::size_t ReachableCount(std::size_t aIndex)
  {
    return Vm(aIndex).m_membership->ReachableCount(m_net.Now());
  }
  bool MayOrder(std::size_t aIndex)
  {
    return Vm(aIndex).m_guard.MayOrder(m_net.Now(),
                                       ReachableCount(aIndex),
                                       Vm(aIndex).m_membership->ListedCount());
  }
  bool SeesLive(std::size_t aIndex, const std::string& aVm)
  {
    auto live = Vm(aIndex).m_membership->Live(m_net.Now());
    return std::find(live.begin(), live.end(), aVm) != live.end();
  }
  bool Reverted()
  {
    return std::any_of(m_net.Vms().begin(),
                       m_net.Vms().end(),
                       [](const auto& aVm) { return aVm->m_reverted; });
  }
  bool Within(const std::function<bool()>& aDone, Duration aBound)
  {
    return m_net.RunUntil(aDone, aBound).has_value();
  }

  ControlNet m_net;
};

} // namespace

BOOST_AUTO_TEST_CASE(ARevisionReachesVmsThatCannotReachThePlatform)
{
  Fleet fleet(9);
  for (std::size_t i = 1; i < 9; ++i) {
    fleet.Vm(i).m_platform.m_up = false;
  }
  fleet.m_net.RunFor(60s);
  fleet.m_net.Publish(TextOf(2));
  BOOST_TEST(fleet.Within([&] { return fleet.m_net.AllAt(2); }, 2s));
  BOOST_TEST(!fleet.Reverted());
}

BOOST_AUTO_TEST_CASE(ABootedVmWithAStalePlatformServesNoOldRevision)
{
  Fleet fleet(9);
  fleet.m_net.Publish(
    TextOf(2), [&](const ControlVm& aVm) { return &aVm != &fleet.Vm(3); });
  fleet.m_net.RunFor(5s);
  BOOST_TEST(fleet.m_net.AllAt(2));
  fleet.m_net.Boot(fleet.Vm(3)); // its platform still shows revision 1
  ControlVm& vm = fleet.Vm(3);
  bool servedOld = false;
  auto caughtUp = [&] {
    RevisionName name = vm.m_keeper.CurrentName();
    bool ready = vm.m_gate.IsReady(fleet.m_net.Now(), name);
    servedOld = servedOld || (ready && name.m_revision < 2);
    return ready;
  };
  BOOST_TEST(fleet.Within(caughtUp, 10s));
  BOOST_TEST(!servedOld);
  BOOST_TEST(vm.m_keeper.CurrentName().m_revision == 2u);
  fleet.m_net.RunFor(120s);
  BOOST_TEST(fleet.m_net.AllAt(2));
  BOOST_TEST(!fleet.Reverted());
}

BOOST_AUTO_TEST_CASE(ABootingVmThatReachesNoPeerIsNotReady)
{
  Fleet fleet(9);
  fleet.m_net.m_reaches = [&](const ControlVm& aFrom, const ControlVm& aTo) {
    return &aFrom != &fleet.Vm(0) && &aTo != &fleet.Vm(0);
  };
  fleet.m_net.Boot(fleet.Vm(0));
  fleet.m_net.RunFor(300s);
  ControlVm& vm = fleet.Vm(0);
  BOOST_TEST(vm.m_keeper.CurrentName().m_revision == 1u);
  BOOST_TEST(!vm.m_gate.IsReady(fleet.m_net.Now(), vm.m_keeper.CurrentName()));
  // A new revision from the platform proves that the platform isn't stale.
  fleet.m_net.Publish(TextOf(2));
  fleet.m_net.RunFor(5s);
  BOOST_TEST(vm.m_gate.IsReady(fleet.m_net.Now(), vm.m_keeper.CurrentName()));
}

BOOST_AUTO_TEST_CASE(AFlappingPlatformCausesNoRevertAndNoCallFlood)
{
  Fleet fleet(9);
  fleet.m_net.Publish(TextOf(3));
  fleet.m_net.RunFor(5s);
  for (int i = 0; i < 20; ++i) {
    std::string text = TextOf(4);
    fleet.m_net.Publish(i % 2 == 0 ? TextOf(2)
                                   : text.substr(0, text.size() - 20));
    fleet.m_net.RunFor(700ms);
  }
  BOOST_TEST(fleet.m_net.AllAt(3));
  BOOST_TEST(!fleet.Reverted());
  // The rate of calls to a flapping platform is limited.
  std::uint64_t before = fleet.Vm(0).m_platformCalls;
  for (int i = 0; i < 100; ++i) {
    fleet.m_net.Publish(TextOf(2 + i % 2));
    fleet.m_net.RunFor(100ms);
  }
  BOOST_TEST(fleet.Vm(0).m_platformCalls - before <= 60u);
}

BOOST_AUTO_TEST_CASE(ConflictingTextsOfOneRevisionAreReportedUntilTheNext)
{
  Fleet fleet(9);
  fleet.m_net.m_reaches = [](const ControlVm&, const ControlVm&) {
    return false;
  };
  auto first = [&](const ControlVm& aVm) { return &aVm == &fleet.Vm(0); };
  fleet.m_net.Publish(TextOf(2, "a"), first);
  fleet.m_net.Publish(TextOf(2, "b"),
                      [&](const ControlVm& aVm) { return !first(aVm); });
  fleet.m_net.RunFor(5s);
  fleet.m_net.m_reaches = [](const ControlVm&, const ControlVm&) {
    return true;
  };
  fleet.m_net.RunFor(60s);
  BOOST_TEST(fleet.Vm(0).m_keeper.Current()->m_text == TextOf(2, "a"));
  BOOST_TEST(fleet.Vm(1).m_keeper.Current()->m_text == TextOf(2, "b"));
  for (auto& vm : fleet.m_net.Vms()) {
    BOOST_TEST(vm->m_keeper.Conflicts().size() == 1u);
  }
  fleet.m_net.Publish(TextOf(3), first);
  BOOST_TEST(fleet.Within([&] { return fleet.m_net.AllAt(3); }, 2s));
  BOOST_TEST(fleet.Vm(5).m_keeper.Conflicts().empty());
}

BOOST_AUTO_TEST_CASE(AMinorityPartitionGivesNoOrdersAndRejoins)
{
  Fleet fleet(9);
  auto inMinority = [&](const ControlVm& aVm) {
    return &aVm == &fleet.Vm(1) || &aVm == &fleet.Vm(4) || &aVm == &fleet.Vm(7);
  };
  fleet.m_net.m_reaches = [&](const ControlVm& aFrom, const ControlVm& aTo) {
    return inMinority(aFrom) == inMinority(aTo);
  };
  fleet.m_net.RunFor(40s);
  for (std::size_t i = 0; i < 9; ++i) {
    bool minority = inMinority(fleet.Vm(i));
    BOOST_TEST(fleet.ReachableCount(i) == (minority ? 3u : 6u));
    BOOST_TEST(fleet.MayOrder(i) == !minority);
  }
  fleet.m_net.m_reaches = [](const ControlVm&, const ControlVm&) {
    return true;
  };
  fleet.m_net.RunFor(60s);
  for (std::size_t i = 0; i < 9; ++i) {
    BOOST_TEST(fleet.ReachableCount(i) == 9u);
  }
}

BOOST_AUTO_TEST_CASE(AOneWayPartitionMakesNoVmUnreachable)
{
  Fleet fleet(9);
  // No message from VM 0 reaches VMs 1 to 4.
  fleet.m_net.m_reaches = [&](const ControlVm& aFrom, const ControlVm& aTo) {
    bool unreached = false;
    for (std::size_t i = 1; i <= 4; ++i) {
      unreached = unreached || &aTo == &fleet.Vm(i);
    }
    return &aFrom != &fleet.Vm(0) || !unreached;
  };
  fleet.m_net.RunFor(120s);
  for (std::size_t i = 0; i < 9; ++i) {
    BOOST_TEST(fleet.ReachableCount(i) == 9u);
  }
}

BOOST_AUTO_TEST_CASE(AVmMayNotOrderRightAfterAPause)
{
  Fleet fleet(9);
  BOOST_TEST(fleet.MayOrder(2));
  fleet.Vm(2).m_paused = true;
  fleet.m_net.RunFor(40s);
  BOOST_TEST(fleet.ReachableCount(0) == 8u);
  fleet.m_net.Publish(TextOf(2));
  fleet.m_net.RunFor(5s);
  BOOST_TEST(!fleet.MayOrder(2)); // even before the next turn of its loop
  fleet.Vm(2).m_paused = false;
  fleet.m_net.RunFor(5s);
  BOOST_TEST(!fleet.MayOrder(2));
  BOOST_TEST(fleet.Vm(2).m_keeper.CurrentName().m_revision == 2u);
  fleet.m_net.RunFor(20s);
  BOOST_TEST(fleet.MayOrder(2));
  BOOST_TEST(fleet.ReachableCount(0) == 9u);
}

BOOST_AUTO_TEST_CASE(AReplacedVmIsKnownByItsNewIncarnation)
{
  Fleet fleet(9);
  for (auto& vm : fleet.m_net.Vms()) {
    vm->m_membership->TakeEvents(fleet.m_net.Now());
  }
  fleet.m_net.RunFor(1s);
  fleet.m_net.Boot(fleet.Vm(6));
  std::uint64_t incarnation = fleet.Vm(6).m_incarnation;
  auto known = [&] {
    return std::all_of(
      fleet.m_net.Vms().begin(), fleet.m_net.Vms().end(), [&](auto& aVm) {
        return aVm->m_membership->IncarnationOf(VmAddress(6)) == incarnation;
      });
  };
  BOOST_TEST(fleet.Within(known, 5s));
  auto events = fleet.Vm(0).m_membership->TakeEvents(fleet.m_net.Now());
  BOOST_TEST(
    std::count_if(events.begin(), events.end(), [](const auto& aEvent) {
      return aEvent.m_kind == MembershipEventKind::Incarnation;
    }) == 1);
}

BOOST_AUTO_TEST_CASE(ARestartWithAnEarlierClockReplacesTheOldIncarnation)
{
  auto random = MakeSeededRandom(1);
  TimePoint now{ 1h };
  std::vector<ListedVm> list{ { "a:1" }, { "b:1" } };
  Membership a({ .m_self = { "a:1", 7 }, .m_bootOrder = 50 }, *random);
  a.SetListed(list, now);
  auto talk = [&](Membership& aFrom, const std::string& aName) {
    for (int i = 0; i < 4; ++i) {
      now += 3s;
      for (const GossipMessage& message : aFrom.Tick(now)) {
        aFrom.OnResult(message.m_to, a.OnCall(message.m_params, now), now);
      }
    }
    static_cast<void>(aName);
  };
  Membership before({ .m_self = { "b:1", 20 }, .m_bootOrder = 100 }, *random);
  before.SetListed(list, now);
  talk(before, "before");
  BOOST_TEST(a.IncarnationOf("b:1") == 20u);
  Membership after({ .m_self = { "b:1", 30 }, .m_bootOrder = 90 }, *random);
  after.SetListed(list, now);
  talk(after, "after");
  BOOST_TEST(a.IncarnationOf("b:1") == 30u);
}

BOOST_AUTO_TEST_CASE(LeavingNoticesReachEveryVmWithinTheMaxDelay)
{
  Fleet fleet(60);
  WallTime seen{ 5'000ms };
  fleet.Vm(9).m_leaving.OnAnswer("10.1.0.1:7000", true, seen);
  fleet.Vm(9).m_membership->Spread(
    kRumorLeaving, "10.1.0.1:7000", 5'000, "1", 600s, fleet.m_net.Now());
  fleet.Vm(4).m_membership->SetLeaving();
  auto all = [&](const std::function<bool(std::size_t)>& aHolds) {
    for (std::size_t i = 0; i < 60; ++i) {
      if (!aHolds(i)) {
        return false;
      }
    }
    return true;
  };
  auto stopped = [&] {
    return all([&](std::size_t aVm) {
      return fleet.Vm(aVm).m_leaving.IsLeaving("10.1.0.1:7000") &&
             !fleet.SeesLive(aVm, VmAddress(4));
    });
  };
  BOOST_TEST(fleet.Within(stopped, kMaxLeavingDelay));
  // A later answer of the upstream says that it is staying.
  fleet.Vm(30).m_membership->Spread(
    kRumorLeaving, "10.1.0.1:7000", 6'000, "0", 600s, fleet.m_net.Now());
  fleet.m_net.RunFor(10s);
  BOOST_TEST(all([&](std::size_t aVm) {
    return aVm == 30 || !fleet.Vm(aVm).m_leaving.IsLeaving("10.1.0.1:7000");
  }));
}

BOOST_AUTO_TEST_CASE(OlderAnswersDoNotOverrideNewerOnes)
{
  LeavingUpstreams leaving;
  WallTime t0{ 1'000ms };
  BOOST_TEST(!leaving.OnAnswer("a", false, t0));
  BOOST_TEST(leaving.OnAnswer("a", true, t0 + 2s));
  BOOST_TEST(!leaving.OnAnswer("a", false, t0 + 1s));
  BOOST_TEST(leaving.IsLeaving("a"));
  BOOST_TEST(leaving.OnAnswer("a", false, t0 + 3s));
  BOOST_TEST(!leaving.IsLeaving("a"));
  leaving.SetListed({ "b" });
  BOOST_TEST(leaving.All() == std::set<std::string>{ "b" });
  leaving.OnAnswer("c", true, t0);
  leaving.KeepOnly({ "b" });
  BOOST_TEST(!leaving.IsLeaving("c"));
}

BOOST_AUTO_TEST_CASE(AListKnownToOneVmReachesAllVms)
{
  Fleet fleet(20);
  // Only VM 3 learns from the platform that VM 7 is leaving and that VM 9 was
  // removed.
  std::vector<ListedVm> list;
  for (std::size_t i = 0; i < 20; ++i) {
    if (i != 9) {
      list.push_back({ VmAddress(i), i == 7 });
    }
  }
  for (auto& vm : fleet.m_net.Vms()) {
    vm->m_platform.m_up = &*vm == &fleet.Vm(3);
  }
  fleet.m_net.RunFor(60s);
  fleet.m_net.SetList(
    list, 0, [&](const ControlVm& aVm) { return &aVm == &fleet.Vm(3); });
  fleet.m_net.RunFor(5s);
  for (std::size_t i = 0; i < 20; ++i) {
    if (i == 9) {
      continue; // no VM exchanges with it any more
    }
    BOOST_TEST(fleet.Vm(i).m_membership->ListedCount() == 19u);
    BOOST_TEST(!fleet.SeesLive(i, VmAddress(7)));
  }
  Membership& vm = *fleet.Vm(0).m_membership;
  TimePoint now = fleet.m_net.Now();
  vm.SetListed({ { VmAddress(0) } }, now, 1); // an old version
  BOOST_TEST(vm.ListedCount() == 19u);
  Json::Value result = vm.ListFor(1);
  BOOST_TEST(result["base"].asUInt64() == 1u);
  result["version"] = 99;
  result["fingerprint"] = "other";
  BOOST_TEST(!vm.AcceptList(result, now));
  BOOST_CHECK_THROW(vm.AcceptList(ParseJson("[]"), now), Error);
  BOOST_TEST(vm.ListedCount() == 19u);
}

BOOST_AUTO_TEST_CASE(MessagesFromUnlistedVmsAreRejected)
{
  Fleet fleet(9);
  auto random = MakeSeededRandom(5);
  Membership stranger({ .m_self = { "10.9.9.9:1", 3 } }, *random);
  stranger.SetListed({ { "10.9.9.9:1" }, { VmAddress(0) } }, fleet.m_net.Now());
  auto messages = stranger.Tick(fleet.m_net.Now());
  BOOST_REQUIRE(!messages.empty());
  BOOST_CHECK_EXCEPTION(
    fleet.Vm(0).m_membership->OnCall(messages[0].m_params, fleet.m_net.Now()),
    Error,
    [](const Error& aError) {
      return aError.Kind() == ErrorKind::Unauthenticated;
    });
}

BOOST_AUTO_TEST_CASE(UnknownMembersAndRumorKindsAreTolerated)
{
  auto random = MakeSeededRandom(1);
  TimePoint now{ 1h };
  std::vector<ListedVm> list{ { "a:1" }, { "b:1" }, { "c:1" } };
  Membership a({ .m_self = { "a:1", 7 } }, *random);
  Membership b({ .m_self = { "b:1", 8 } }, *random);
  a.SetListed(list, now);
  b.SetListed(list, now);
  Json::Value message =
    ParseJson(R"({"v":9,"from":"b:1","inc":"8","new":{"x":[1]},)"
              R"("m":[["c:1","9",5,0,2,"more"],{"other":1}],)"
              R"("r":[["future","id",3,"body",60000,"more"],[1]]})");
  Json::Value reply = a.OnCall(message, now);
  BOOST_TEST(a.IncarnationOf("c:1") == 9u);
  BOOST_TEST(reply["r"][0][0].asString() == "future"); // passed on
  BOOST_TEST(reply["r"][0][3].asString() == "body");
  b.OnResult("a:1", reply, now);
  BOOST_TEST(b.Rumors().Find("future", "id") != nullptr);
}

BOOST_AUTO_TEST_CASE(MutatedMessagesCauseNoInternalError)
{
  auto random = MakeSeededRandom(1);
  TimePoint now{ 1h };
  std::vector<ListedVm> list{ { "a:1" }, { "b:1" } };
  Membership a({ .m_self = { "a:1", 7 } }, *random);
  Membership b({ .m_self = { "b:1", 8 } }, *random);
  a.SetListed(list, now);
  b.SetListed(list, now);
  b.SetRevision({ 3, "f" }, "1");
  b.Spread("leaving", "x", 1, "1", 60s, now);
  std::string text = WriteJson(b.Tick(now).at(0).m_params);
  BOOST_TEST(rc::check([&] {
    std::string mutated = text;
    auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      auto at = *rc::gen::inRange<std::size_t>(0, mutated.size());
      mutated[at] = *rc::gen::elementOf(std::string("0129-\"[]{},:a.e"));
    }
    try {
      a.OnResult("b:1", ParseJson(mutated), now);
      a.OnCall(ParseJson(mutated), now);
    } catch (const Error& error) {
      RC_ASSERT(error.Kind() != ErrorKind::Internal);
    }
    RC_ASSERT(a.ListedCount() == 2u);
  }));
}

BOOST_AUTO_TEST_CASE(MessagesDoNotGrowWithTheFleet)
{
  auto random = MakeSeededRandom(1);
  TimePoint now{ 1h };
  auto largest = [&](std::size_t aVms) {
    std::vector<ListedVm> list;
    for (std::size_t i = 0; i < aVms; ++i) {
      list.push_back({ VmAddress(i) });
    }
    Membership vm({ .m_self = { VmAddress(0), 7 } }, *random);
    vm.SetListed(list, now);
    vm.SetRevision({ 3, Fingerprint("x") }, "12");
    vm.SetDigest(std::string(kMaxDigestBytes, 'q'));
    std::string body(kMaxRumorBodyBytes, 'b');
    for (int i = 0; i < 2'000; ++i) {
      vm.Spread("kind", std::to_string(i), 1, body, 60s, now);
      vm.Averages().SetOwn(std::to_string(i), 1e6);
    }
    BOOST_TEST(vm.Rumors().Size() <= kMaxRumors);
    std::size_t most = 0;
    for (int i = 0; i < 50; ++i) {
      now += 3s;
      for (const GossipMessage& message : vm.Tick(now)) {
        most = std::max(most, WriteJson(message.m_params).size());
      }
    }
    return most;
  };
  BOOST_TEST(largest(360) < 2'000u);
  BOOST_TEST(largest(3'000) < 2'000u);
}

BOOST_AUTO_TEST_CASE(TotalsFollowDemandAndDropFailedVms)
{
  Fleet fleet(20);
  double sum = 0;
  for (std::size_t i = 0; i < 20; ++i) {
    double demand = 100.0 * static_cast<double>(i);
    sum += demand;
    fleet.Vm(i).m_membership->Averages().SetOwn("caller planners", demand);
  }
  auto estimate = [&](std::size_t aVm) {
    return fleet.Vm(aVm).m_membership->Total("caller planners",
                                             fleet.m_net.Now());
  };
  fleet.m_net.RunFor(120s);
  for (std::size_t i = 0; i < 20; ++i) {
    BOOST_TEST(estimate(i) > 0.7 * sum);
    BOOST_TEST(estimate(i) < 1.3 * sum);
  }
  for (std::size_t i = 10; i < 20; ++i) {
    fleet.Vm(i).m_up = false;
    sum -= 100.0 * static_cast<double>(i);
  }
  fleet.m_net.RunFor(400s);
  for (std::size_t i = 0; i < 10; ++i) {
    BOOST_TEST(estimate(i) > 0.7 * sum);
    BOOST_TEST(estimate(i) < 1.3 * sum);
  }
}

BOOST_AUTO_TEST_CASE(ChangedDigestsReachTheRingNeighbours)
{
  Fleet fleet(9);
  std::set<std::string> missing;
  fleet.Vm(0).m_membership->SetDigest("{\"convicted\":1}");
  fleet.m_net.RunFor(10s);
  // Poison trackers, which merge received digests into their own, are not part
  // of this network, so that only direct neighbours receive the digest.
  int reached = 0;
  for (std::size_t i = 1; i < 9; ++i) {
    auto digests = fleet.Vm(i).m_membership->TakeDigests();
    reached +=
      std::count(digests.begin(), digests.end(), "{\"convicted\":1}") > 0 ? 1
                                                                          : 0;
  }
  BOOST_TEST(reached >= static_cast<int>(kGossipFanout));
}

BOOST_AUTO_TEST_CASE(PlatformCallsBackOffAndFollowHints)
{
  auto random = MakeSeededRandom(1);
  PlatformSchedule calls({ .m_pollEvery = 60s }, *random);
  TimePoint now{ 1h };
  BOOST_TEST(calls.Due(now, false).value().count() == 0); // first look
  BOOST_TEST(!calls.Due(now + 1h, false).has_value());    // one at a time
  calls.OnAnswer(PlatformAnswer::Changed, now);
  BOOST_TEST(!calls.Due(now + 40s, false).has_value());
  calls.OnHint(now + 41s);
  BOOST_TEST(calls.Due(now + 41s, false).has_value());
  calls.OnAnswer(PlatformAnswer::Unchanged, now + 41s);
  BOOST_TEST(calls.Due(now + 42s, true).value() == kPlatformWait);
  int made = 0;
  now += 42s;
  calls.OnAnswer(PlatformAnswer::Failure, now);
  for (int i = 0; i < 600; ++i) {
    now += 1s;
    if (calls.Due(now, true)) {
      ++made;
      calls.OnAnswer(PlatformAnswer::Failure, now);
    }
  }
  BOOST_TEST(made < 35);
  BOOST_TEST(made > 10);
}
