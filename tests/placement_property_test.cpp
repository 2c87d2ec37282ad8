/// Property tests of the placers: comparison with an exhaustive search, and
/// bounds that hold for random engines, reports and request sequences.

#define BOOST_TEST_MODULE placement_property
#include "config.h"
#include "placement_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace shallotford;

namespace {

const std::vector<std::string> kRegions{ "r0", "r1", "r2" };

std::vector<std::string>
DrawRegions(int aMaxCount)
{
  std::vector<std::string> regions(*rc::gen::inRange(1, aMaxCount + 1));
  for (std::string& region : regions)
    region = kRegions[*rc::gen::inRange<std::size_t>(0, kRegions.size())];
  return regions;
}

/// Gives every engine a random report that leaves decode memory free.
std::map<std::string, LoadReport>
DrawReports(PlacementFixture& aFixture)
{
  std::map<std::string, LoadReport> reports;
  for (const EngineEntry& engine :
       aFixture.m_fleet.m_services.front().m_engines) {
    LoadReport report =
      PlacementFixture::Report(engine.m_role, *rc::gen::inRange(0, 30'000));
    report.m_running = *rc::gen::inRange(0, 15);
    report.m_piecesFree = *rc::gen::inRange(80, 200);
    aFixture.m_table.OnLoadReport(aFixture.m_now, engine.m_address, report);
    reports[engine.m_address] = report;
  }
  return reports;
}

double
LinkSeconds(const FleetText& aFleet,
            const std::string& aFrom,
            const std::string& aTo,
            double aBytes)
{
  for (const LinkEntry& link : aFleet.m_links)
    if (link.m_from == aFrom && link.m_to == aTo)
      return aBytes / double(link.m_bytesPerSecond);
  return 0;
}

/// Returns the time to first token of every pair, in seconds, computed without
/// EngineTable from the drawn reports, links and cached prefixes.
std::map<std::pair<std::string, std::string>, double>
AllPairs(const PlacementFixture& aFixture,
         const PlacementRequest& aRequest,
         const std::map<std::string, LoadReport>& aReports,
         const std::map<std::string, std::uint32_t>& aCached)
{
  std::map<std::pair<std::string, std::string>, double> pairs;
  const auto& engines = aFixture.m_fleet.m_services.front().m_engines;
  const double speed = aRequest.m_model->m_prefillTokensPerSecond;
  const double bytes =
    double(aRequest.m_promptTokens) * aRequest.m_model->m_kvBytesPerToken;
  for (const EngineEntry& prefill : engines)
    for (const EngineEntry& decode : engines) {
      if (prefill.m_role != EngineRole::Prefill ||
          decode.m_role != EngineRole::Decode)
        continue;
      const auto cached = aCached.find(prefill.m_address);
      const double saved = cached == aCached.end() ? 0 : cached->second;
      const double queued =
        double(aReports.at(prefill.m_address).m_prefillQueueTokens);
      const double batch = aReports.at(decode.m_address).m_running;
      const double step = 0.03 * (1 + kDecodeStepGrowth * batch);
      pairs[{ prefill.m_address, decode.m_address }] =
        (queued + aRequest.m_promptTokens - saved) / speed +
        LinkSeconds(
          aFixture.m_fleet, prefill.m_region, decode.m_region, bytes) +
        kFirstTokenSteps * step;
    }
  return pairs;
}

} // namespace

BOOST_AUTO_TEST_CASE(joint_choice_is_as_good_as_an_exhaustive_search)
{
  int placed = 0;
  BOOST_TEST(rc::check([&] {
    PlacementFixture fixture;
    fixture.UseFleet(DrawRegions(3), DrawRegions(3));
    ServiceEntry& service = fixture.m_fleet.m_services.front();
    service.m_weights = { 1.0, 0.0, 0.0 };
    for (LinkEntry& link : fixture.m_fleet.m_links)
      link.m_bytesPerSecond = *rc::gen::inRange(2, 100) * 100'000'000ull;
    fixture.m_table.SetFleet(fixture.m_now, fixture.m_fleet);
    const auto reports = DrawReports(fixture);
    const PlacementRequest request =
      fixture.Request(*rc::gen::inRange(4'000, 20'000), { 1, 2 });
    std::map<std::string, std::uint32_t> cached;
    for (const EngineEntry& engine : service.m_engines)
      if (engine.m_role == EngineRole::Prefill && *rc::gen::arbitrary<bool>()) {
        cached[engine.m_address] = 4'000;
        fixture.m_table.OnCacheEvent(
          fixture.m_now, engine.m_address, { true, 2, 4'000 });
      }
    const auto pairs = AllPairs(fixture, request, reports, cached);
    double best = 1e9;
    for (const auto& [pair, seconds] : pairs)
      best = std::min(best, seconds);
    // The placer chooses at random among near-equal pairs, and adds a small
    // penalty for a slow decode step.
    const double tolerance = kNearEqualCost + kSlowdownPenalty + 1e-5;
    const auto result = MakePlacer("joint")->Place(
      fixture.m_now, request, fixture.m_table, *fixture.m_random);
    if (const auto* placement = std::get_if<Placement>(&result)) {
      ++placed;
      const double chosen =
        pairs.at({ placement->m_prefillEngine, placement->m_decodeEngine });
      RC_ASSERT(chosen <= best + tolerance);
      const double predicted =
        std::chrono::duration<double>(placement->m_firstToken).count();
      RC_ASSERT(std::abs(predicted - chosen) < 1e-4);
    } else {
      const double target =
        std::chrono::duration<double>(service.m_targets.m_firstToken).count();
      RC_ASSERT(best + tolerance > target);
    }
  }));
  BOOST_TEST(placed > 20);
}

BOOST_AUTO_TEST_CASE(no_policy_places_on_an_unusable_engine)
{
  BOOST_TEST(rc::check([] {
    PlacementFixture fixture;
    fixture.UseFleet(DrawRegions(6), DrawRegions(6));
    std::set<std::string> unusable;
    PlacementRequest request = fixture.Request(3'000);
    request.m_mustRun = *rc::gen::arbitrary<bool>();
    std::set<std::string> forbidden;
    for (const EngineEntry& engine :
         fixture.m_fleet.m_services.front().m_engines) {
      const std::string& address = engine.m_address;
      LoadReport report = PlacementFixture::Report(engine.m_role, 0);
      const int fault = *rc::gen::inRange(0, 12);
      if (fault == 0)
        fixture.m_table.OnLeaving(fixture.m_now, address, true);
      if (fault == 1)
        fixture.m_table.OnHealth(fixture.m_now, address, false);
      if (fault == 2)
        request.m_excluded.push_back(address);
      if (fault == 3)
        forbidden.insert(address);
      if (fault == 4)
        report.m_leaving = true;
      if (fault == 5)
        report.m_model = "other";
      if (fault == 4 || fault == 5)
        fixture.m_table.OnLoadReport(fixture.m_now, address, report);
      if (fault == 6)
        fixture.m_table.OnRefused(
          fixture.m_now, address, RefusalReason::Leaving);
      if (fault <= 6)
        unusable.insert(address);
    }
    request.m_allowed = [&](const std::string& aAddress) {
      return !forbidden.contains(aAddress);
    };
    for (const std::string& name : PlacerNames()) {
      const auto result = MakePlacer(name)->Place(
        fixture.m_now, request, fixture.m_table, *fixture.m_random);
      const auto* placement = std::get_if<Placement>(&result);
      if (!placement)
        continue;
      RC_ASSERT(!unusable.contains(placement->m_prefillEngine));
      RC_ASSERT(!unusable.contains(placement->m_decodeEngine));
    }
  }));
}

BOOST_AUTO_TEST_CASE(known_memory_is_never_overcommitted)
{
  BOOST_TEST(rc::check([] {
    PlacementFixture fixture;
    fixture.UseFleet({ "r0", "r1" }, { "r0", "r1", "r2" });
    struct Held
    {
      WorkId m_id{};
      std::string m_engine;
      std::uint32_t m_pieces{};
    };
    std::vector<Held> held;
    std::map<std::string, std::uint32_t> pieces;
    std::map<std::string, std::uint32_t> requests;
    const auto placer = MakePlacer("joint");
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      fixture.m_now += std::chrono::milliseconds{ *rc::gen::inRange(0, 500) };
      if (!held.empty() && *rc::gen::inRange(0, 4) == 0) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, held.size());
        fixture.m_table.OnEnded(fixture.m_now, held[at].m_id);
        pieces[held[at].m_engine] -= held[at].m_pieces;
        --requests[held[at].m_engine];
        held.erase(held.begin() + at);
        continue;
      }
      const PlacementRequest request =
        fixture.Request(*rc::gen::inRange(100, 60'000));
      const auto result = placer->Place(
        fixture.m_now, request, fixture.m_table, *fixture.m_random);
      const auto* placement = std::get_if<Placement>(&result);
      if (!placement)
        continue;
      const WorkId id =
        fixture.m_table.OnPlaced(fixture.m_now, request, *placement);
      if (*rc::gen::arbitrary<bool>())
        fixture.m_table.OnClaimed(fixture.m_now, id);
      fixture.m_table.OnPrefilled(fixture.m_now, id, 0);
      const std::uint32_t needed =
        (request.m_promptTokens + 200 + 1'999) / 2'000;
      held.push_back({ id, placement->m_decodeEngine, needed });
      RC_ASSERT((pieces[placement->m_decodeEngine] += needed) <= 200u);
      RC_ASSERT(++requests[placement->m_decodeEngine] <= 20u);
    }
    for (const Held& work : held)
      fixture.m_table.OnEnded(fixture.m_now, work.m_id);
    for (const EngineFacts& facts : fixture.m_table.Engines()) {
      RC_ASSERT(facts.m_ownPieces == 0u);
      RC_ASSERT(facts.m_ownDecodes == 0u);
      RC_ASSERT(facts.m_ownPrefills == 0u);
      RC_ASSERT(facts.m_ownPrefillTokens == 0u);
      RC_ASSERT(facts.m_newPieces == 0u);
    }
  }));
}

BOOST_AUTO_TEST_CASE(stale_reports_do_not_send_all_vms_to_one_engine)
{
  constexpr int kVms = 9;
  std::map<std::string, int> chosen;
  for (int vm = 0; vm < kVms; ++vm) {
    PlacementFixture fixture;
    fixture.UseFleet(std::vector<std::string>(6, "r0"),
                     std::vector<std::string>(12, "r0"));
    fixture.m_random = MakeSeededRandom(100 + vm);
    fixture.m_table.SetVmCount(kVms);
    // Each VM estimates the work of the others from its own recent work.
    for (int i = 0; i < 100; ++i) {
      fixture.m_now += std::chrono::milliseconds{ 100 };
      const PlacementRequest request = fixture.Request(1'000);
      const WorkId work = fixture.m_table.OnPlaced(
        fixture.m_now, request, fixture.MustPlace(request));
      fixture.m_table.OnPrefilled(fixture.m_now, work, 0);
      fixture.m_table.OnEnded(fixture.m_now, work);
    }
    // Every VM sees one engine with a slightly shorter queue than the others.
    for (int i = 0; i < 6; ++i) {
      LoadReport report =
        PlacementFixture::Report(EngineRole::Prefill, i == 0 ? 9'000 : 12'000);
      report.m_age = std::chrono::milliseconds{ 250 };
      fixture.m_table.OnLoadReport(
        fixture.m_now, "p" + std::to_string(i), report);
    }
    ++chosen[fixture.MustPlace(fixture.Request(1'000)).m_prefillEngine];
  }
  BOOST_TEST(chosen.size() >= 3u);
  for (const auto& [engine, times] : chosen)
    BOOST_TEST(times <= kVms / 2 + 1, engine);
}

BOOST_AUTO_TEST_CASE(engine_that_came_up_gets_a_growing_share)
{
  PlacementFixture fixture;
  fixture.UseFleet({ "r0", "r0" }, std::vector<std::string>(4, "r0"));
  fixture.m_table.OnLoadReport(
    fixture.m_now, "p1", PlacementFixture::Report(EngineRole::Prefill, 8'000));
  fixture.m_table.OnHealth(fixture.m_now, "p0", false);
  fixture.m_table.OnHealth(fixture.m_now, "p0", true);
  const auto share = [&] {
    int hits = 0;
    for (int i = 0; i < 200; ++i)
      hits += fixture.MustPlace(fixture.Request(1'000)).m_prefillEngine == "p0";
    return hits / 200.0;
  };
  BOOST_TEST(share() < 0.15);
  fixture.m_now += kSlowStartTime / 2;
  fixture.m_table.OnLoadReport(
    fixture.m_now, "p1", PlacementFixture::Report(EngineRole::Prefill, 8'000));
  BOOST_TEST(share() < 0.7);
  fixture.m_now += kSlowStartTime;
  fixture.m_table.OnLoadReport(
    fixture.m_now, "p1", PlacementFixture::Report(EngineRole::Prefill, 8'000));
  BOOST_TEST(share() == 1.0);
}
