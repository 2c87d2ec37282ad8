/// Reconciler: compares its orders with a full recompute under random events,
/// and checks its rules for capacity, pacing, roles, adapters and readings one
/// by one.

#define BOOST_TEST_MODULE control_reconcile
#include <boost/test/unit_test.hpp>

#include "control_engine.h"
#include "control_fixture.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace shallotford;
using namespace shallotford::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRound = 1s;

/// Engines of one service under one or two owners.
class Pool
{
public:
  explicit Pool(const TextOptions& aOptions)
    : m_fleet(MakeFleet(aOptions))
  {
    const ServiceEntry* service = m_fleet->FindService("drafting");
    for (const EngineEntry& entry : service->m_engines) {
      SimulatedEngine engine;
      engine.m_state.m_role = entry.m_role;
      engine.m_state.m_model = "draft";
      engine.m_state.m_version = aOptions.m_version;
      engine.m_state.m_adapters = { aOptions.m_adapters.begin(),
                                    aOptions.m_adapters.end() };
      m_engines[entry.m_address] = engine;
    }
  }

  SimulatedEngine& Engine(std::uint32_t aIndex)
  {
    return m_engines.at(EngineAddress(aIndex));
  }
  void Publish(const TextOptions& aOptions) { m_fleet = MakeFleet(aOptions); }

  ReconcileInput Input() const
  {
    ReconcileInput input{ .m_fleet = m_fleet,
                          .m_service = "drafting",
                          .m_readbacks = {},
                          .m_load = m_load };
    for (const auto& [address, engine] : m_engines) {
      if (!m_unreachable.contains(address)) {
        input.m_readbacks[address] = engine.Read(m_now);
      }
    }
    return input;
  }

  /// Runs one round of an owner and delivers its orders unless m_ordersLost.
  ReconcileResult Round(Reconciler& aOwner)
  {
    ReconcileResult result = aOwner.Step(m_now, Input());
    for (const Order& order : result.m_orders) {
      aOwner.OnOrderSent(order, m_now);
      if (!m_ordersLost) {
        m_engines.at(order.m_engine).HandleOrder(order, m_now);
      }
    }
    Advance(kRound);
    return result;
  }

  void Advance(Duration aTime)
  {
    m_now += aTime;
    for (auto& [address, engine] : m_engines) {
      engine.Advance(m_now);
    }
  }

  bool RunUntilSettled(Reconciler& aOwner, int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      if (Round(aOwner).m_settled) {
        return true;
      }
    }
    return false;
  }

  RoleCounts Serving() const
  {
    RoleCounts counts;
    for (const auto& [address, engine] : m_engines) {
      if (!engine.m_state.m_draining && engine.m_state.m_model == "draft") {
        ++(engine.m_state.m_role == EngineRole::Prefill ? counts.m_prefill
                                                        : counts.m_decode);
      }
    }
    return counts;
  }

  std::uint32_t Draining() const
  {
    return static_cast<std::uint32_t>(
      std::count_if(m_engines.begin(), m_engines.end(), [](const auto& aItem) {
        return aItem.second.m_state.m_draining;
      }));
  }

  FleetPtr m_fleet;
  std::map<std::string, SimulatedEngine> m_engines;
  std::set<std::string> m_unreachable;
  bool m_ordersLost{ false };
  ServiceLoad m_load;
  TimePoint m_now{ 10h };
};

/// Computes one engine's next order from its state and goal alone.
std::optional<OrderKind>
NaiveNext(const EngineReadback& aEngine, const EngineGoal& aGoal)
{
  bool model =
    aEngine.m_model == aGoal.m_model && aEngine.m_version == aGoal.m_version;
  bool role = aEngine.m_role == aGoal.m_role;
  if (!model || !role) {
    if (!aEngine.m_draining) {
      return OrderKind::Drain;
    }
    if (aEngine.m_busy) {
      return std::nullopt;
    }
    return model ? OrderKind::SetRole : OrderKind::LoadModel;
  }
  for (const std::string& adapter : aGoal.m_adapters) {
    if (!aEngine.m_adapters.contains(adapter)) {
      return OrderKind::LoadAdapter;
    }
  }
  if (aEngine.m_adapters.size() > aGoal.m_adapters.size()) {
    return OrderKind::UnloadAdapter;
  }
  if (aEngine.m_draining) {
    return OrderKind::Resume;
  }
  return std::nullopt;
}

void
CheckOrders(const Pool& aPool, const ReconcileResult& aResult)
{
  ReconcileInput input = aPool.Input();
  const ServiceEntry* service = input.m_fleet->FindService("drafting");
  auto goals =
    EngineGoals(*input.m_fleet, *service, input.m_readbacks, aResult.m_target);
  std::set<std::string> ordered;
  for (const Order& order : aResult.m_orders) {
    RC_ASSERT(ordered.insert(order.m_engine).second);
    const EngineReadback& engine = input.m_readbacks.at(order.m_engine);
    RC_ASSERT(NaiveNext(engine, goals.at(order.m_engine)) == order.m_kind);
    RC_ASSERT(order.m_fence > engine.m_acceptedFence);
    RC_ASSERT(order.m_fence >> 32 == input.m_fleet->m_revision);
  }
}

TextOptions
AnyText(std::uint64_t aRevision)
{
  TextOptions text;
  text.m_revision = aRevision;
  text.m_version = *rc::gen::elementOf(std::vector<std::string>{ "1", "2" });
  text.m_prefill = *rc::gen::inRange(1u, 6u);
  text.m_adapters = *rc::gen::elementOf(
    std::vector<std::vector<std::string>>{ {}, { "a" }, { "a", "b" } });
  text.m_ordersAtOnce = *rc::gen::inRange(1u, 4u);
  return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(RandomEventsConvergeToTheRecomputedGoal)
{
  BOOST_TEST(rc::check([] {
    TextOptions text = AnyText(1);
    Pool pool(text);
    Reconciler owner(pool.m_now);
    std::uint64_t revision = 1;
    auto events =
      *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0u, 6u)));
    for (auto [event, index] : events) {
      std::string address = EngineAddress(index);
      SimulatedEngine& engine = pool.Engine(index);
      switch (event) {
        case 0:
          text = AnyText(++revision);
          pool.Publish(text);
          break;
        case 1:
          engine.Crash();
          break;
        case 2:
          engine.m_state.m_version = "0"; // restarted from another image
          engine.m_state.m_adapters = { "x" };
          break;
        case 3:
          pool.m_unreachable.insert(address);
          break;
        case 4:
          pool.m_unreachable.erase(address);
          break;
        case 5:
          pool.m_ordersLost = !pool.m_ordersLost;
          break;
        case 6:
          engine.m_requests += engine.m_state.m_draining ? 0 : 3;
          break;
        default:
          owner = Reconciler(pool.m_now); // another VM takes over
          break;
      }
      ReconcileResult result = owner.Step(pool.m_now, pool.Input());
      CheckOrders(pool, result);
      pool.Round(owner);
      RC_ASSERT(pool.m_ordersLost || pool.Draining() <= 6u);
    }
    pool.m_unreachable.clear();
    pool.m_ordersLost = false;
    for (auto& [address, engine] : pool.m_engines) {
      engine.m_requests = 0;
    }
    // Without load the configured split is restored, one engine at a time.
    for (int i = 0; i < 900; ++i) {
      pool.Round(owner);
    }
    RC_ASSERT(pool.Round(owner).m_settled);
    RoleCounts wanted{ text.m_prefill, 6 - text.m_prefill };
    RC_ASSERT(pool.Serving() == wanted);
    for (const auto& [address, engine] : pool.m_engines) {
      RC_ASSERT(engine.m_state.m_version == text.m_version);
      RC_ASSERT(
        engine.m_state.m_adapters ==
        std::set<std::string>(text.m_adapters.begin(), text.m_adapters.end()));
    }
  }));
}

BOOST_AUTO_TEST_CASE(ChangesKeepCapacityInUseAndOrdersAtOnce)
{
  BOOST_TEST(rc::check([] {
    TextOptions text = AnyText(1);
    Pool pool(text);
    // The load leaves spare capacity in each role, so that changes can proceed.
    RoleCounts start = pool.Serving();
    pool.m_load.m_prefill = 0.6 * (start.m_prefill - 1);
    pool.m_load.m_decode = 0.6 * (start.m_decode - 1);
    Reconciler owner(pool.m_now);
    TextOptions next = text;
    next.m_revision = 2;
    next.m_version = text.m_version == "1" ? "2" : "1";
    pool.Publish(next);
    for (int i = 0; i < 100; ++i) {
      pool.Round(owner);
      RoleCounts serving = pool.Serving();
      RC_ASSERT(serving.m_prefill >= pool.m_load.m_prefill);
      RC_ASSERT(serving.m_decode >= pool.m_load.m_decode);
      RC_ASSERT(pool.Draining() <= text.m_ordersAtOnce);
    }
    RC_ASSERT(pool.Round(owner).m_settled);
  }));
}

BOOST_AUTO_TEST_CASE(NoOrdersWhileAllCapacityIsInUse)
{
  Pool pool({ .m_version = "1", .m_prefill = 2 });
  pool.m_load = { .m_prefill = 1.9, .m_decode = 3.9 };
  Reconciler owner(pool.m_now);
  pool.Publish({ .m_revision = 2, .m_version = "2", .m_prefill = 2 });
  for (int i = 0; i < 20; ++i) {
    ReconcileResult result = pool.Round(owner);
    BOOST_TEST(result.m_orders.empty());
    BOOST_TEST(!result.m_settled);
    BOOST_TEST(!result.m_waitReasons.empty());
  }
  pool.m_load = {};
  BOOST_TEST(pool.RunUntilSettled(owner, 60));
}

BOOST_AUTO_TEST_CASE(NoModelOrRoleChangeWhileRequestsRun)
{
  Pool pool({});
  Reconciler owner(pool.m_now);
  for (std::uint32_t i = 0; i < 6; ++i) {
    pool.Engine(i).m_requests = 5;
  }
  pool.Publish({ .m_revision = 2, .m_version = "2" });
  for (int i = 0; i < 60; ++i) {
    ReconcileResult result = owner.Step(pool.m_now, pool.Input());
    for (const Order& order : result.m_orders) {
      bool interrupts = order.m_kind == OrderKind::LoadModel ||
                        order.m_kind == OrderKind::SetRole;
      if (interrupts) {
        BOOST_TEST(pool.m_engines.at(order.m_engine).m_requests == 0u);
      }
    }
    pool.Round(owner);
  }
  BOOST_TEST(pool.Round(owner).m_settled);
}

BOOST_AUTO_TEST_CASE(ModelLoadsStayWithinTheWeightStoreRate)
{
  TextOptions text{ .m_ordersAtOnce = 6,
                    .m_weightBytes = 100,
                    .m_weightRate = 10 };
  Pool pool(text);
  Reconciler owner(pool.m_now);
  text.m_revision = 2;
  text.m_version = "2";
  pool.Publish(text);
  TimePoint start = pool.m_now;
  auto loads = [&] {
    int sum = 0;
    for (const auto& [address, engine] : pool.m_engines) {
      sum += engine.m_loads;
    }
    return sum;
  };
  while (loads() < 6 && pool.m_now - start < 200s) {
    pool.Round(owner);
    // One load takes 10 s of the rate, and a new owner waits as long at first.
    BOOST_TEST(loads() <= (pool.m_now - start) / 10s);
  }
  BOOST_TEST(loads() == 6);
  BOOST_TEST((pool.m_now - start <= 90s));
}

BOOST_AUTO_TEST_CASE(OrdersWaitForDependenciesAndStopWhenOutdated)
{
  Pool pool({});
  Reconciler owner(pool.m_now);
  pool.Publish({ .m_revision = 2, .m_version = "2" });
  ReconcileInput input = pool.Input();
  input.m_dependenciesSettled = false;
  BOOST_TEST(owner.Step(pool.m_now, input).m_orders.empty());
  // While the owner was paused, an engine accepted an order of revision 3.
  pool.Engine(4).m_state.m_acceptedFence = std::uint64_t{ 3 } << 32;
  ReconcileResult result = owner.Step(pool.m_now, pool.Input());
  BOOST_TEST(result.m_outdated);
  BOOST_TEST(result.m_orders.empty());
  // No order is based on a state that was read 30 s ago.
  pool.Engine(4).m_state.m_acceptedFence = 0;
  input = pool.Input();
  BOOST_TEST(owner.Step(pool.m_now + 30s, input).m_orders.empty());
}

BOOST_AUTO_TEST_CASE(OldStatesCountButOrdersNeedFreshOnes)
{
  TextOptions text{ .m_prefill = 20, .m_engines = 100 };
  Pool pool(text);
  Reconciler owner(pool.m_now);
  text.m_revision = 2;
  text.m_version = "2";
  pool.Publish(text);
  ReconcileInput input = pool.Input();
  input.m_allRead = false;
  BOOST_TEST(owner.Step(pool.m_now, input).m_orders.empty());
  input.m_allRead = true;
  pool.m_now += 60s;
  ReconcileResult result = owner.Step(pool.m_now, input);
  BOOST_TEST((result.m_target == RoleCounts{ 20, 80 }));
  BOOST_TEST(result.m_orders.empty());
  BOOST_REQUIRE(result.m_toRead.size() == 2u); // m_ordersAtOnce
  for (const std::string& engine : result.m_toRead) {
    input.m_readbacks[engine] = pool.m_engines.at(engine).Read(pool.m_now);
  }
  result = owner.Step(pool.m_now, input);
  BOOST_TEST(result.m_orders.size() == 2u);
  BOOST_TEST(result.m_toRead.size() == 2u);
}

BOOST_AUTO_TEST_CASE(AdapterChangesKeepOrdersAtOnce)
{
  TextOptions text{ .m_engines = 40, .m_ordersAtOnce = 3 };
  Pool pool(text);
  Reconciler owner(pool.m_now);
  text.m_revision = 2;
  text.m_adapters = { "a" };
  pool.Publish(text);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(pool.Round(owner).m_orders.size() == 3u);
  }
  BOOST_TEST(pool.RunUntilSettled(owner, 10));
}

BOOST_AUTO_TEST_CASE(RoleSplitFollowsTheLoadWithHysteresis)
{
  Pool pool({ .m_prefill = 2, .m_minDecode = 2 });
  Reconciler owner(pool.m_now);
  pool.Round(owner);
  pool.m_load = { .m_prefill = 1.9, .m_decode = 1.0 };
  for (int i = 0; i < 20; ++i) {
    pool.Round(owner);
  }
  BOOST_TEST((pool.Serving() == RoleCounts{ 2, 4 })); // a short peak
  for (int i = 0; i < 40; ++i) {
    pool.Round(owner);
  }
  BOOST_TEST((pool.Serving() == RoleCounts{ 3, 3 }));
  // Load that alternates around the threshold causes no role changes.
  int changes = 0;
  RoleCounts last = pool.Serving();
  for (int i = 0; i < 600; ++i) {
    pool.m_load = { .m_prefill = i % 2 == 0 ? 2.6 : 1.4, .m_decode = 1.8 };
    pool.Round(owner);
    changes += pool.Serving() != last ? 1 : 0;
    last = pool.Serving();
  }
  BOOST_TEST(changes == 0);
  pool.m_load = {};
  for (int i = 0; i < 400; ++i) {
    pool.Round(owner);
  }
  BOOST_TEST((pool.Serving() == RoleCounts{ 2, 4 })); // configured split
}

BOOST_AUTO_TEST_CASE(UnreachableEngineCausesNoOrdersToOthers)
{
  Pool pool({ .m_prefill = 2 });
  Reconciler owner(pool.m_now);
  pool.Round(owner);
  pool.m_unreachable.insert(EngineAddress(0));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(pool.Round(owner).m_orders.empty());
  }
  pool.m_unreachable.clear();
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(pool.Round(owner).m_orders.empty());
  }
  // Engines that the platform is removing get no orders.
  pool.Publish({ .m_revision = 2, .m_version = "2", .m_prefill = 2 });
  pool.Engine(5).m_state.m_leaving = true;
  for (int i = 0; i < 60; ++i) {
    for (const Order& order : pool.Round(owner).m_orders) {
      BOOST_TEST(order.m_engine != EngineAddress(5));
    }
  }
}

BOOST_AUTO_TEST_CASE(DownDependencyIsFoundTransitively)
{
  FleetText fleet;
  fleet.m_services.resize(4);
  const char* names[] = { "a", "b", "c", "d" };
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.m_services[i].m_name = names[i];
  }
  fleet.m_services[0].m_dependsOn = { "b" };
  fleet.m_services[1].m_dependsOn = { "c" };
  std::set<std::string> down{ "c" };
  auto isUp = [&](const std::string& aName) { return !down.contains(aName); };
  BOOST_TEST(DownDependency(fleet, "a", isUp) == "c");
  BOOST_TEST(DownDependency(fleet, "b", isUp) == "c");
  BOOST_TEST(DownDependency(fleet, "c", isUp).empty()); // only itself is down
  BOOST_TEST(DownDependency(fleet, "d", isUp).empty());
  down = { "d" };
  BOOST_TEST(DownDependency(fleet, "a", isUp).empty());
}

BOOST_AUTO_TEST_CASE(ReadbacksStayWithinTheirBudget)
{
  ReadbackSchedule schedule(2);
  std::vector<std::string> engines;
  for (std::uint32_t i = 0; i < 100; ++i) {
    engines.push_back(EngineAddress(i));
  }
  std::map<std::string, int> reads;
  TimePoint now{ 1h };
  for (int i = 0; i < 600; ++i) { // one minute
    now += 100ms;
    for (const std::string& engine :
         schedule.Due(now, engines, { EngineAddress(7) })) {
      ++reads[engine];
    }
  }
  int others = 0;
  for (const auto& [engine, count] : reads) {
    others += engine == EngineAddress(7) ? 0 : count;
  }
  BOOST_TEST(reads[EngineAddress(7)] >= 55);
  BOOST_TEST(others >= 110);
  // The first reading of each engine isn't counted against the budget.
  BOOST_TEST(others <= 122 + 99);
  BOOST_TEST(reads.size() == 100u);
  BOOST_TEST(schedule.AllRequested(engines));
  BOOST_TEST(!ReadbackSchedule(2).AllRequested(engines));
}
