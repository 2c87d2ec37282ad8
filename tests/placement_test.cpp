/// Tests of the placers: choice of engines, refusals, claim times, and the
/// correction of load reports by this VM's own requests.

#define BOOST_TEST_MODULE placement
#include "placement_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

struct Fixture : PlacementFixture
{};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Placing, Fixture)

BOOST_AUTO_TEST_CASE(every_policy_places_on_an_idle_fleet)
{
  for (const std::string& name : PlacerNames()) {
    const auto result =
      MakePlacer(name)->Place(m_now, Request(3'000), m_table, *m_random);
    BOOST_TEST(std::holds_alternative<Placement>(result), name);
  }
}

BOOST_AUTO_TEST_CASE(unknown_policy_is_refused)
{
  BOOST_CHECK_THROW(MakePlacer("best"), Error);
}

BOOST_AUTO_TEST_CASE(busy_prefill_engine_is_avoided)
{
  m_table.OnLoadReport(m_now, "p0", Report(EngineRole::Prefill, 40'000));
  for (int i = 0; i < 20; ++i) {
    const Placement placement = MustPlace(Request(3'000));
    BOOST_TEST(placement.m_prefillEngine == "p1");
  }
}

BOOST_AUTO_TEST_CASE(own_work_corrects_a_stale_report)
{
  for (int i = 0; i < 4; ++i) {
    PlacementRequest request = Request(8'000);
    m_table.OnPlaced(m_now, request, MustPlace(request));
  }
  BOOST_TEST(m_table.QueueTokens(m_now, m_table.Find("p0")) == 16'000);
  BOOST_TEST(m_table.QueueTokens(m_now, m_table.Find("p1")) == 16'000);
}

BOOST_AUTO_TEST_CASE(own_work_newer_than_a_report_stays_counted)
{
  PlacementRequest request = Request(20'000);
  const Placement placement = MustPlace(request);
  const WorkId work = m_table.OnPlaced(m_now, request, placement);
  m_table.OnClaimed(m_now, work);
  const std::uint32_t decode = m_table.Find(placement.m_decodeEngine);
  const double before = m_table.FreePieces(m_now, decode);
  m_now += 100ms;
  LoadReport report = Report(EngineRole::Decode, 0);
  report.m_age = 300ms;
  m_table.OnLoadReport(m_now, placement.m_decodeEngine, report);
  BOOST_TEST(m_table.FreePieces(m_now, decode) == before);
  report.m_age = 50ms;
  report.m_running = 1;
  report.m_piecesFree = std::uint32_t(before);
  m_table.OnLoadReport(m_now, placement.m_decodeEngine, report);
  BOOST_TEST(m_table.FreePieces(m_now, decode) == before);
  m_table.OnEnded(m_now, work);
  BOOST_TEST(m_table.FreePieces(m_now, decode) == report.m_piecesTotal);
}

BOOST_AUTO_TEST_CASE(request_goes_to_the_engine_that_caches_its_prefix)
{
  const PlacementRequest request = Request(10'000, { 1, 2, 3, 4, 5 });
  m_table.OnCacheEvent(m_now, "p1", { true, 4, 8'000 });
  for (int i = 0; i < 20; ++i) {
    const Placement placement = MustPlace(request);
    BOOST_TEST(placement.m_prefillEngine == "p1");
    BOOST_TEST(placement.m_cachedTokens == 8'000u);
  }
}

BOOST_AUTO_TEST_CASE(lack_of_usable_engines_is_refused_as_no_upstream)
{
  m_table.OnLeaving(m_now, "p0", true);
  m_table.OnHealth(m_now, "p1", false);
  const auto result =
    MakePlacer("joint")->Place(m_now, Request(100), m_table, *m_random);
  const auto* refusal = std::get_if<PlacementRefusal>(&result);
  BOOST_REQUIRE(refusal);
  BOOST_CHECK(refusal->m_kind == ErrorKind::NoUpstream);
}

BOOST_AUTO_TEST_CASE(request_that_cannot_meet_its_target_may_not_wait)
{
  m_table.OnLoadReport(m_now, "p0", Report(EngineRole::Prefill, 90'000));
  m_table.OnLoadReport(m_now, "p1", Report(EngineRole::Prefill, 90'000));
  const auto result =
    MakePlacer("joint")->Place(m_now, Request(2'000), m_table, *m_random);
  const auto* refusal = std::get_if<PlacementRefusal>(&result);
  BOOST_REQUIRE(refusal);
  BOOST_CHECK(refusal->m_kind == ErrorKind::Overloaded);
  BOOST_TEST(!refusal->m_mayWait);
  BOOST_TEST(refusal->m_retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(request_that_must_run_is_placed_past_its_target)
{
  m_table.OnLoadReport(m_now, "p0", Report(EngineRole::Prefill, 90'000));
  m_table.OnLoadReport(m_now, "p1", Report(EngineRole::Prefill, 90'000));
  PlacementRequest request = Request(2'000);
  request.m_mustRun = true;
  MustPlace(request);
}

BOOST_AUTO_TEST_CASE(claim_at_predicted_end_opens_before_the_prefill_ends)
{
  const Placement placement = MustPlace(Request(20'000));
  BOOST_TEST(placement.m_claimDelay.count() > 0);
  BOOST_CHECK(placement.m_claimDelay < placement.m_queue + placement.m_prefill);
}

BOOST_AUTO_TEST_CASE(resumed_stream_yields_to_new_requests_for_a_limited_time)
{
  for (const char* engine : { "p0", "p1" })
    m_table.OnLoadReport(m_now, engine, Report(EngineRole::Prefill, 20'000));
  PlacementRequest request = Request(2'000);
  const auto placer = MakePlacer("joint");
  const auto placed = [&](Duration aBroken) {
    PaceResume(m_now, m_now - aBroken, 7, request);
    return std::holds_alternative<Placement>(
      placer->Place(m_now, request, m_table, *m_random));
  };
  MustPlace(request); // a new request still meets its target
  BOOST_TEST(!placed(1s));
  BOOST_TEST(placed(60s));
}

BOOST_AUTO_TEST_SUITE_END()
