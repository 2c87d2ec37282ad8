/// Tests which fleet text is in force, differences of texts, readiness after
/// boot, ownership, fencing numbers, the audit trail and plans.

#define BOOST_TEST_MODULE control_revision
#include <boost/test/unit_test.hpp>

#include "control_fixture.h"
#include "shallotford/control.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace shallotford;
using namespace shallotford::test;
using namespace std::chrono_literals;

namespace {

std::string
TextOf(std::uint64_t aRevision, int aContent = 0)
{
  return MakeText(
    { .m_revision = aRevision, .m_note = std::to_string(aContent) });
}

/// One offer of a text to a VM.
struct Offer
{
  std::uint64_t m_revision{};
  int m_content{};
  enum
  {
    Whole,
    CutOff,
    Delta,
    WrongName, ///< a transfer whose text lacks the stated fingerprint
  } m_form{};
};

rc::Gen<Offer>
AnyOffer()
{
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 6),
                                     rc::gen::inRange(0, 3),
                                     rc::gen::inRange(0, 4)),
                      [](const std::tuple<std::uint64_t, int, int>& aParts) {
                        Offer offer;
                        offer.m_revision = std::get<0>(aParts);
                        offer.m_content = std::get<1>(aParts);
                        offer.m_form = static_cast<decltype(offer.m_form)>(
                          std::get<2>(aParts));
                        return offer;
                      });
}

/// Returns the text that must be in force after a history of valid texts: the
/// first one of the highest revision.
std::string
NaiveInForce(const std::vector<Offer>& aHistory)
{
  const Offer* best = nullptr;
  for (const Offer& offer : aHistory) {
    if (best == nullptr || offer.m_revision > best->m_revision) {
      best = &offer;
    }
  }
  return best == nullptr ? "" : TextOf(best->m_revision, best->m_content);
}

std::vector<std::string>
VmNames(std::size_t aCount)
{
  std::vector<std::string> vms;
  for (std::size_t i = 0; i < aCount; ++i) {
    vms.push_back("10.0.0." + std::to_string(i) + ":8081");
  }
  return vms;
}

} // namespace

BOOST_AUTO_TEST_CASE(RevisionMergeMatchesFullRecompute)
{
  BOOST_TEST(rc::check([] {
    RevisionStore store;
    std::vector<Offer> valid;
    auto offers = *rc::gen::container<std::vector<Offer>>(AnyOffer());
    std::uint64_t highest = 0;
    for (const Offer& offer : offers) {
      std::string text = TextOf(offer.m_revision, offer.m_content);
      RevisionName name{ offer.m_revision, Fingerprint(text) };
      AcceptResult result{};
      if (offer.m_form == Offer::CutOff) {
        std::string cut = text.substr(0, text.size() / 2);
        result = store.Accept(cut, "platform").m_result;
        RC_ASSERT(result == AcceptResult::Invalid);
      } else if (offer.m_form == Offer::WrongName) {
        TextTransfer transfer{ { offer.m_revision + 1, "0" }, "", "", text };
        result = store.Accept(transfer, "peer").m_result;
        RC_ASSERT(result == AcceptResult::Invalid);
      } else if (offer.m_form == Offer::Delta && store.Current()) {
        FleetPtr base = store.Current();
        TextTransfer transfer{
          name, "", base->m_fingerprint, MakeTextDelta(base->m_text, text)
        };
        store.Accept(ParseTextTransfer(ToJson(transfer)), "peer");
        valid.push_back(offer);
      } else {
        store.Accept(text, "platform");
        valid.push_back(offer);
      }
      std::string inForce = store.Current() ? store.Current()->m_text : "";
      RC_ASSERT(inForce == NaiveInForce(valid));
      RC_ASSERT(store.CurrentName().m_revision >= highest);
      highest = store.CurrentName().m_revision;
    }
    bool otherContent =
      std::any_of(valid.begin(), valid.end(), [&](const Offer& aOffer) {
        return aOffer.m_revision == highest &&
               TextOf(aOffer.m_revision, aOffer.m_content) !=
                 store.Current()->m_text;
      });
    RC_ASSERT(store.Conflicts().empty() == !otherContent);
  }));
}

BOOST_AUTO_TEST_CASE(StoresConvergeInAnyOrderOfExchanges)
{
  BOOST_TEST(rc::check([] {
    std::vector<RevisionStore> stores(5);
    auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
      5, rc::gen::inRange<std::uint64_t>(1, 9));
    for (std::size_t i = 0; i < stores.size(); ++i) {
      stores[i].Accept(TextOf(revisions[i]), "platform");
    }
    auto exchange = [&](std::size_t aFrom, std::size_t aTo) {
      RevisionStore& from = stores[aFrom];
      RevisionStore& to = stores[aTo];
      if (to.CompareOffer(from.CurrentName()) == OfferStatus::Newer) {
        to.Accept(from.TransferFor(to.CurrentName()), "peer");
      }
    };
    auto exchanges =
      *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, 5),
                      rc::gen::inRange<std::size_t>(0, 5)));
    for (auto [from, to] : exchanges) {
      exchange(from, to);
    }
    for (std::size_t i = 0; i < stores.size(); ++i) {
      exchange(i, 0);
    }
    std::uint64_t highest =
      *std::max_element(revisions.begin(), revisions.end());
    RC_ASSERT(stores[0].CurrentName().m_revision == highest);
  }));
}

BOOST_AUTO_TEST_CASE(DeltasRebuildAnyText)
{
  BOOST_TEST(rc::check([](const std::string& aOld, const std::string& aNew) {
    Json::Value delta = MakeTextDelta(aOld, aNew);
    RC_ASSERT(ApplyTextDelta(aOld, delta) == aNew);
  }));
}

BOOST_AUTO_TEST_CASE(ADeltaOfOneChangeIsSmall)
{
  std::string old = MakeText({ .m_revision = 1, .m_engines = 200 });
  std::string now =
    MakeText({ .m_revision = 2, .m_prefill = 3, .m_engines = 200 });
  std::size_t size = WriteJson(MakeTextDelta(old, now)).size();
  BOOST_TEST(old.size() > 20'000u);
  BOOST_TEST(size < 600u);
}

BOOST_AUTO_TEST_CASE(MalformedTransfersAreRefused)
{
  RevisionStore store;
  store.Accept(TextOf(1), "platform");
  std::string base = store.CurrentName().m_fingerprint;
  for (const char* delta : { "[[0,999999]]",
                             "[[99999999999,1]]",
                             "[[-1,2]]",
                             "[1]",
                             "{}",
                             "[[1]]",
                             "null" }) {
    TextTransfer transfer{ { 2, "x" }, "", base, ParseJson(delta) };
    AcceptOutcome outcome = store.Accept(transfer, "peer");
    BOOST_TEST((outcome.m_result == AcceptResult::Invalid), delta);
  }
  BOOST_CHECK_THROW(ParseTextTransfer(ParseJson("{}")), Error);
  BOOST_CHECK_THROW(ParseTextTransfer(ParseJson("[]")), Error);
  BOOST_TEST(store.CurrentName().m_revision == 1u);
}

BOOST_AUTO_TEST_CASE(ConflictIsReportedUntilAHigherRevision)
{
  RevisionStore store;
  store.Accept(TextOf(4, 0), "platform");
  AcceptOutcome outcome = store.Accept(TextOf(4, 1), "10.0.0.2:8081");
  BOOST_TEST((outcome.m_result == AcceptResult::Conflict));
  BOOST_TEST(store.Current()->m_text == TextOf(4, 0));
  BOOST_REQUIRE(store.Conflicts().size() == 1u);
  BOOST_TEST(store.Conflicts()[0].m_source == "10.0.0.2:8081");
  store.Accept(TextOf(5, 1), "platform");
  BOOST_TEST(store.Conflicts().empty());
}

BOOST_AUTO_TEST_CASE(ReadinessNeedsPeersOrAFreshPlatform)
{
  TimePoint now{ 1h };
  ReadinessGate gate;
  RevisionName text{ 3, "x" };
  BOOST_TEST(!gate.IsReady(now, text)); // no list of VMs yet
  gate.SetListed({ "a", "b", "c" });
  BOOST_TEST(!gate.IsReady(now, text));
  gate.OnPlatformAnswer(now, false); // its data may be stale
  gate.OnPeerAnswer("unlisted", { 3, "x" });
  gate.OnPeerAnswer("a", {});
  BOOST_TEST(!gate.IsReady(now, text));
  gate.OnPeerAnswer("b", { 4, "y" }); // newer: to be fetched first
  BOOST_TEST(!gate.IsReady(now, text));
  BOOST_TEST(gate.IsReady(now, { 4, "y" }));
  BOOST_TEST(gate.IsReady(now + 1h, { 4, "y" })); // stays so

  ReadinessGate alone;
  alone.SetListed({ "a", "b" });
  alone.OnPlatformAnswer(now, true);
  BOOST_TEST(!alone.IsReady(now + 1h, text)); // too old
  BOOST_TEST(!alone.IsReady(now, {}));        // no text
  BOOST_TEST(alone.IsReady(now, text));
}

BOOST_AUTO_TEST_CASE(OwnershipMovesOnlyWithTheVmsThatChange)
{
  BOOST_TEST(rc::check([] {
    auto count = *rc::gen::inRange<std::size_t>(2, 40);
    auto removed = *rc::gen::inRange<std::size_t>(0, count);
    std::vector<std::string> all = VmNames(count);
    std::vector<std::string> rest = all;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
    for (std::uint32_t i = 0; i < 30; ++i) {
      std::string before = EngineOwner(EngineAddress(i), all);
      std::string after = EngineOwner(EngineAddress(i), rest);
      bool lost = before == all[removed];
      RC_ASSERT((after == before) != lost);
      std::vector<std::string> shuffled(all.rbegin(), all.rend());
      RC_ASSERT(EngineOwner(EngineAddress(i), shuffled) == before);
      RC_ASSERT(
        RendezvousOwners("engine:" + EngineAddress(i), all, 3).front() ==
        before);
    }
  }));
  BOOST_TEST(EngineOwner("x", {}).empty());
}

BOOST_AUTO_TEST_CASE(OwnershipIsSpreadEvenly)
{
  std::vector<std::string> vms = VmNames(9);
  std::map<std::string, int> owned;
  for (std::uint32_t i = 0; i < 9'000; ++i) {
    ++owned[EngineOwner("engine-" + std::to_string(i), vms)];
  }
  for (const std::string& vm : vms) {
    BOOST_TEST(owned[vm] > 800);
    BOOST_TEST(owned[vm] < 1'200);
  }
}

BOOST_AUTO_TEST_CASE(OrdersNeedAMajorityAndAnUnpausedProcess)
{
  OrderGuard guard;
  TimePoint now{ 1h };
  BOOST_TEST(!guard.MayOrder(now, 9, 9)); // no heartbeat yet
  auto run = [&](Duration aTime) {
    for (TimePoint end = now + aTime; now < end; now += 100ms) {
      guard.Heartbeat(now);
    }
    guard.Heartbeat(now);
  };
  run(5s);
  BOOST_TEST(!guard.MayOrder(now, 9, 9)); // just started
  run(10s);
  BOOST_TEST(guard.MayOrder(now, 5, 9));
  BOOST_TEST(!guard.MayOrder(now, 4, 8)); // half isn't more than half
  now += 30s;                             // paused
  BOOST_TEST(!guard.MayOrder(now, 9, 9)); // before its loop turns again
  guard.Heartbeat(now);
  BOOST_TEST(!guard.MayOrder(now, 9, 9));
  run(10s);
  BOOST_TEST(guard.MayOrder(now, 9, 9));
}

BOOST_AUTO_TEST_CASE(FencesGrowWithRevisionAndOrder)
{
  std::uint64_t revision3 = std::uint64_t{ 3 } << 32;
  BOOST_TEST(NextFence(3, 0).value() == revision3 + 1);
  BOOST_TEST(NextFence(3, revision3 + 7).value() == revision3 + 8);
  BOOST_TEST(NextFence(4, revision3 + 7).value() > revision3 + 8);
  BOOST_TEST(!NextFence(2, revision3 + 1).has_value());
}

BOOST_AUTO_TEST_CASE(AuditTrailIsBoundedAndAnswersQueries)
{
  AuditTrail trail(3);
  WallTime time{ 1'234ms };
  for (int i = 0; i < 5; ++i) {
    trail.Add({ .m_time = time,
                .m_kind = i % 2 == 0 ? AuditKind::Order : AuditKind::Role,
                .m_subject = "engine " + std::to_string(i),
                .m_change = "drain",
                .m_cause = "split",
                .m_revision = 7 });
  }
  BOOST_TEST(trail.Dropped() == 2u);
  std::vector<AuditEntry> all = trail.Find({});
  BOOST_REQUIRE(all.size() == 3u);
  BOOST_TEST(all[0].m_sequence == 3u);
  BOOST_TEST(ToLine(all[0]) ==
             "event=audit seq=3 time=1970-01-01T00:00:01.234Z kind=order "
             "subject=\"engine 2\" change=drain cause=split revision=7");
  BOOST_TEST(trail.Find({ .m_after = 4 }).size() == 1u);
  BOOST_TEST(trail.Find({ .m_kind = AuditKind::Role }).size() == 1u);
  BOOST_TEST(trail.Find({ .m_subject = "engine 4" }).size() == 1u);
  BOOST_TEST(trail.Find({ .m_limit = 1 }).at(0).m_sequence == 5u);
  BOOST_TEST((ParseAuditKind("quarantine") == AuditKind::Quarantine));
  BOOST_TEST(!ParseAuditKind("other").has_value());
}

BOOST_AUTO_TEST_CASE(PlansNameEveryChange)
{
  FleetPtr old = MakeFleet({ .m_revision = 1 });
  FleetPtr next = MakeFleet({ .m_revision = 2,
                              .m_version = "2",
                              .m_prefill = 3,
                              .m_minDecode = 2,
                              .m_weightBytes = 100,
                              .m_weightRate = 10,
                              .m_adapters = { "short" } });
  Plan plan = PlanChanges(old.get(), *next, {});
  BOOST_TEST(plan.m_modelLoads == 6u);
  BOOST_TEST(plan.m_loadTime.count() == 60);
  auto has = [&](const std::string& aSubject, const std::string& aChange) {
    return std::any_of(plan.m_changes.begin(),
                       plan.m_changes.end(),
                       [&](const PlannedChange& aPlanned) {
                         return aPlanned.m_subject == aSubject &&
                                aPlanned.m_change == aChange;
                       });
  };
  BOOST_TEST(has("service drafting", "min_decode 1 -> 2"));
  BOOST_TEST(has("engine 10.1.0.0:7000", "drain, load draft 2"));
  BOOST_TEST(
    has("engine 10.1.0.2:7000", "role decode -> prefill, as the load allows"));
  BOOST_TEST(has("engine 10.1.0.5:7000", "load adapter short"));
  BOOST_TEST(PlanChanges(next.get(), *next, {}).m_changes.empty());
  BOOST_TEST(PlanChanges(nullptr, *old, {}).m_modelLoads == 6u);
  BOOST_CHECK_THROW(PlanChanges(next.get(), *old, {}), Error);
  FleetPtr other = MakeFleet({ .m_revision = 1, .m_note = "other" });
  BOOST_CHECK_THROW(PlanChanges(old.get(), *other, {}), Error);
}
