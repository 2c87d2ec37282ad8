/// Every interleaving of two owners, a pause, a crash and one engine.
///
/// Each owner repeats: read the engine, decide, and let its order arrive. The
/// steps of both mix in every possible way, so an order may arrive any time
/// after it was decided: that is a paused owner, or a slow network.

#define BOOST_TEST_MODULE control_order
#include <boost/test/unit_test.hpp>

#include "control_engine.h"
#include "control_fixture.h"

#include <set>

using namespace shallotford;
using namespace shallotford::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 300ms;

struct Owner
{
  FleetPtr m_fleet;
  Reconciler m_reconciler{ TimePoint{} };
  int m_roundsLeft{ 0 };
  std::optional<EngineReadback> m_read{};
  std::optional<Order> m_order{}; ///< on its way
};

struct World
{
  OrderedEngine m_engine;
  std::vector<Owner> m_owners;
  int m_crashesLeft{ 0 };
  TimePoint m_now{ 10h };
  bool m_newerTaken{ false }; ///< since the last crash
  int m_lateOrders{ 0 };      ///< old revision taken after the newer one
};

struct Outcome
{
  std::uint64_t m_worlds{ 0 };
  std::uint64_t m_repeatedFences{ 0 };
  std::uint64_t m_oldAfterNew{ 0 };
  std::uint64_t m_cutRequests{ 0 };
  std::uint64_t m_unsettled{ 0 };
  int m_mostLateOrders{ 0 };
};

ReconcileInput
InputOf(const FleetPtr& aFleet, const EngineReadback& aRead)
{
  return { .m_fleet = aFleet,
           .m_service = "drafting",
           .m_readbacks = { { EngineAddress(5), aRead } },
           .m_load = {} };
}

void
Arrive(World& aWorld, Owner& aOwner, Outcome& aOutcome)
{
  Order order = *aOwner.m_order;
  aOwner.m_order.reset();
  OrderedEngine& engine = aWorld.m_engine;
  std::set<std::uint64_t> before(engine.m_accepted.begin(),
                                 engine.m_accepted.end());
  std::uint32_t requests = engine.m_requests;
  if (engine.Take(order, aWorld.m_now) != OrderAnswer::Accepted) {
    return;
  }
  aOutcome.m_repeatedFences += before.contains(order.m_fence) ? 1 : 0;
  bool cuts =
    order.m_kind == OrderKind::LoadModel || order.m_kind == OrderKind::SetRole;
  aOutcome.m_cutRequests += cuts && requests > 0 ? 1 : 0;
  if (order.m_fence >> 32 == 2) {
    aWorld.m_newerTaken = true;
  } else if (aWorld.m_newerTaken) {
    ++aOutcome.m_oldAfterNew;
    ++aWorld.m_lateOrders;
  }
}

/// The last owner goes on alone until the engine is at its goal.
void
Finish(World aWorld, Outcome& aOutcome)
{
  ++aOutcome.m_worlds;
  aOutcome.m_mostLateOrders =
    std::max(aOutcome.m_mostLateOrders, aWorld.m_lateOrders);
  Owner& owner = aWorld.m_owners.back();
  for (int i = 0; i < 40; ++i) {
    aWorld.m_now += 1s;
    aWorld.m_engine.Advance(aWorld.m_now);
    EngineReadback read = aWorld.m_engine.Read(aWorld.m_now);
    ReconcileResult result =
      owner.m_reconciler.Step(aWorld.m_now, InputOf(owner.m_fleet, read));
    if (result.m_settled) {
      return;
    }
    for (const Order& order : result.m_orders) {
      owner.m_reconciler.OnOrderSent(order, aWorld.m_now);
      aWorld.m_engine.Take(order, aWorld.m_now);
    }
  }
  ++aOutcome.m_unsettled;
}

void
Explore(const World& aWorld, Outcome& aOutcome)
{
  bool ended = true;
  for (std::size_t i = 0; i < aWorld.m_owners.size(); ++i) {
    const Owner& owner = aWorld.m_owners[i];
    if (!owner.m_order && !owner.m_read && owner.m_roundsLeft == 0) {
      continue;
    }
    ended = false;
    World next = aWorld;
    next.m_now += kStep;
    next.m_engine.Advance(next.m_now);
    Owner& mover = next.m_owners[i];
    if (mover.m_order) {
      Arrive(next, mover, aOutcome);
    } else if (mover.m_read) {
      ReconcileResult result = mover.m_reconciler.Step(
        next.m_now, InputOf(mover.m_fleet, *mover.m_read));
      mover.m_read.reset();
      if (!result.m_orders.empty()) {
        mover.m_order = result.m_orders.front();
        mover.m_reconciler.OnOrderSent(*mover.m_order, next.m_now);
      }
    } else {
      --mover.m_roundsLeft;
      mover.m_read = next.m_engine.Read(next.m_now);
    }
    Explore(next, aOutcome);
  }
  if (aWorld.m_crashesLeft > 0 && !ended) {
    World next = aWorld;
    --next.m_crashesLeft;
    next.m_engine.Crash();
    next.m_newerTaken = false;
    Explore(next, aOutcome);
  }
  if (ended) {
    Finish(aWorld, aOutcome);
  }
}

struct Setup
{
  bool m_checksFencing{ true };
  std::uint64_t m_firstRevision{ 1 }; ///< of the owner that is paused
  int m_firstRounds{ 2 };
  int m_secondRounds{ 4 };
  int m_crashes{ 0 };
};

Outcome
ExploreAll(const Setup& aSetup)
{
  auto text = [](std::uint64_t aRevision) {
    // One engine of the pool answers; it decodes whatever the text.
    return MakeFleet({ .m_revision = aRevision,
                       .m_version = std::to_string(aRevision),
                       .m_adapters = { "a" } });
  };
  World world;
  world.m_engine.m_checksFencing = aSetup.m_checksFencing;
  world.m_engine.m_requests = 1;
  world.m_engine.m_loadTime = 500ms;
  world.m_engine.m_state.m_model = "draft";
  world.m_engine.m_state.m_version = "0";
  world.m_engine.m_state.m_role = EngineRole::Decode;
  world.m_crashesLeft = aSetup.m_crashes;
  world.m_owners.push_back({ .m_fleet = text(aSetup.m_firstRevision),
                             .m_roundsLeft = aSetup.m_firstRounds });
  world.m_owners.push_back(
    { .m_fleet = text(2), .m_roundsLeft = aSetup.m_secondRounds });
  Outcome outcome;
  Explore(world, outcome);
  BOOST_TEST_MESSAGE("worlds explored: " << outcome.m_worlds);
  return outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(EnginesThatCheckTakeNoOldOrder)
{
  Outcome outcome = ExploreAll({ .m_checksFencing = true });
  BOOST_TEST(outcome.m_worlds > 1'000u);
  BOOST_TEST(outcome.m_repeatedFences == 0u);
  BOOST_TEST(outcome.m_oldAfterNew == 0u);
  BOOST_TEST(outcome.m_cutRequests == 0u);
  BOOST_TEST(outcome.m_unsettled == 0u);
}

BOOST_AUTO_TEST_CASE(EnginesThatIgnoreFencesEndAtTheNewestText)
{
  for (int rounds : { 1, 2 }) {
    Outcome outcome =
      ExploreAll({ .m_checksFencing = false, .m_firstRounds = rounds });
    BOOST_TEST(outcome.m_worlds > 100u);
    BOOST_TEST(outcome.m_cutRequests == 0u);
    BOOST_TEST(outcome.m_unsettled == 0u);
    // The engine takes what comes last, so each round that the first owner
    // begins with the old text can bring one late order. A paused owner has
    // one such round at most: OrderGuard stops the next.
    BOOST_TEST(outcome.m_oldAfterNew > 0u);
    BOOST_TEST(outcome.m_mostLateOrders <= rounds);
  }
}

BOOST_AUTO_TEST_CASE(TwoOwnersOfOneRevisionDontUndoEachOther)
{
  for (bool checks : { true, false }) {
    Outcome outcome =
      ExploreAll({ .m_checksFencing = checks, .m_firstRevision = 2 });
    BOOST_TEST(outcome.m_worlds > 1'000u);
    BOOST_TEST((!checks || outcome.m_repeatedFences == 0u));
    BOOST_TEST(outcome.m_cutRequests == 0u);
    BOOST_TEST(outcome.m_unsettled == 0u);
  }
}

BOOST_AUTO_TEST_CASE(ACrashThatLosesTheFenceIsRepaired)
{
  for (bool checks : { true, false }) {
    Outcome outcome = ExploreAll({ .m_checksFencing = checks,
                                   .m_firstRounds = 1,
                                   .m_secondRounds = 4,
                                   .m_crashes = 1 });
    BOOST_TEST(outcome.m_worlds > 1'000u);
    BOOST_TEST(outcome.m_cutRequests == 0u);
    BOOST_TEST(outcome.m_unsettled == 0u);
  }
}
